"""The rows of docs/CAPACITY.md: every need of every role, as a formula over measured costs."""

from __future__ import annotations

from violetroute.distribution.messages import BODY_BYTES

from .capacity import Figures, Role, Row
from .target import SECONDS_PER_DAY

BAD_NODES_OF_A_REGION = 120  # of 1,200 nodes in ten regions; a size that judgements are measured at
MEGABYTE = 1e6
BOTH_WAYS = 2.0


# --- proxy ---
def _gossip_bytes(figures: Figures) -> float:
    """What is measured is sent; on average as much is received."""
    return BOTH_WAYS * figures.at("gossip.bytes_per_s", figures.target.proxies)


def _report_bytes(figures: Figures) -> float:
    """Node health, load and heavy hitters, while a whole region's nodes are bad."""
    cost = f"sharing.bytes_per_s_{BAD_NODES_OF_A_REGION}"
    return BOTH_WAYS * figures.at(cost, figures.target.proxies)


def _configuration_bytes(figures: Figures) -> float:
    """Every change a record of the largest size: an upper bound."""
    return figures.target.config_changes_per_s * BODY_BYTES


def _purge_bytes(figures: Figures) -> float:
    return figures.at("distribution.proxy_bytes_per_s", figures.target.purges_per_s)


def _list_changes_per_s(figures: Figures) -> float:
    """A machine that fails or is restarted leaves the list and comes back."""
    target = figures.target
    share = target.nodes / (target.nodes + target.proxies)
    machines = target.machines_fail_per_day + target.machines_restart_per_day
    return 2.0 * machines * share / SECONDS_PER_DAY


def _list_bytes(figures: Figures) -> float:
    """Where each change sends the whole list, as a blocking query does."""
    return _list_changes_per_s(figures) * figures.at("list.bytes", figures.target.nodes)


def _proxy_bytes(figures: Figures) -> float:
    return (
        _gossip_bytes(figures)
        + _report_bytes(figures)
        + _purge_bytes(figures)
        + _configuration_bytes(figures)
        + _list_bytes(figures)
    )


def _list_cpu(figures: Figures) -> float:
    milliseconds = sum(
        figures.at(cost, figures.target.nodes) for cost in ("list.parse_ms", "list.change_ms")
    )
    return _list_changes_per_s(figures) * milliseconds / 1000.0


def _proxy_cpu(figures: Figures) -> float:
    return (
        figures.at("gossip.cpu_share", figures.target.proxies)
        + figures.at("distribution.proxy_cpu_share", figures.target.purges_per_s)
        + _list_cpu(figures)
    )


def _proxy_memory(figures: Figures) -> float:
    return (
        figures.at("gossip.memory_bytes", figures.target.proxies) / MEGABYTE
        + figures.at("distribution.proxy_memory_mb", figures.target.purges_per_s)
        + figures.at("judgements.memory_mb", figures.target.proxies)
        + figures.at("list.memory_mb", figures.target.nodes)
    )


# --- control machine ---
def _proxies_of_a_machine(figures: Figures) -> float:
    return figures.target.proxies / figures.target.control_machines


def _all_of_the_core(figures: Figures) -> float:
    return 1.0


PROXY_ROWS = (
    Row(
        "proxy-gossip",
        Role.PROXY,
        "membership of all proxies, sent and received",
        "bytes/s",
        _gossip_bytes,
        "violetroute/sharing/members.py",
    ),
    Row(
        "proxy-reports",
        Role.PROXY,
        "reports of node health, load and heavy hitters while a region's nodes are bad",
        "bytes/s",
        _report_bytes,
        "violetroute/sharing/report_budget.py",
    ),
    Row(
        "proxy-purges",
        Role.PROXY,
        "purges, with polls and acknowledgements",
        "bytes/s",
        _purge_bytes,
        "violetroute/distribution",
    ),
    Row(
        "proxy-configuration",
        Role.PROXY,
        "changes of configuration, each of 16 KiB at most",
        "bytes/s",
        _configuration_bytes,
        "violetroute/distribution/configuration.py",
    ),
    Row(
        "proxy-lists",
        Role.PROXY,
        "whole node lists on an ordinary day",
        "bytes/s",
        _list_bytes,
        "violetroute/membership",
    ),
    Row(
        "proxy-bytes",
        Role.PROXY,
        "all of these",
        "bytes/s",
        _proxy_bytes,
        "the five above",
        lambda figures: figures.target.control_bytes_per_s,
    ),
    Row(
        "proxy-cpu",
        Role.PROXY,
        "membership, purges and lists",
        "of a core",
        _proxy_cpu,
        "the same",
        lambda figures: figures.target.control_cpu_share,
    ),
    Row(
        "proxy-memory",
        Role.PROXY,
        "members, node health at its worst, purges, list and the module's state of the nodes",
        "MB",
        _proxy_memory,
        "the same",
        lambda figures: figures.target.control_memory_mb,
    ),
    Row(
        "proxy-first-list",
        Role.PROXY,
        "the loop stands while the first list is applied",
        "ms",
        lambda figures: figures.at("list.apply_ms", figures.target.nodes),
        "snowstall/balance.py",
    ),
    Row(
        "proxy-request",
        Role.PROXY,
        "the module's time for a request",
        "us",
        lambda figures: figures.at("module.request_us", figures.target.nodes),
        "snowstall/balance.py",
    ),
    Row(
        "proxy-connections",
        Role.PROXY,
        "open connections to nodes",
        "connections",
        lambda figures: figures.at("connections.open", figures.target.nodes),
        "violetroute/upstream/pool.py",
    ),
    Row(
        "proxy-opens",
        Role.PROXY,
        "connections opened",
        "/s",
        lambda figures: figures.at("connections.opened_per_s", figures.target.nodes),
        "violetroute/upstream/pool.py",
    ),
    Row(
        "proxy-waits",
        Role.PROXY,
        "requests that wait for a connection to open",
        "of all",
        lambda figures: figures.at("connections.waited_share", figures.target.nodes),
        "none: every proxy uses every node",
    ),
)

CONTROL_ROWS = (
    Row(
        "control-cpu",
        Role.CONTROL,
        "its share of the proxies, with the purges",
        "of a core",
        lambda figures: figures.at("control.cpu_share", _proxies_of_a_machine(figures)),
        "violetroute/distribution",
        _all_of_the_core,
    ),
    Row(
        "control-cpu-half",
        Role.CONTROL,
        "the same when half of the control machines are lost",
        "of a core",
        lambda figures: figures.at("control.cpu_share", 2.0 * _proxies_of_a_machine(figures)),
        "violetroute/distribution",
        _all_of_the_core,
    ),
    Row(
        "control-bytes",
        Role.CONTROL,
        "bytes out to its proxies",
        "bytes/s",
        lambda figures: figures.at("control.bytes_out_per_s", _proxies_of_a_machine(figures)),
        "violetroute/distribution",
    ),
    Row(
        "control-memory",
        Role.CONTROL,
        "sessions, connections and the log that is kept",
        "MB",
        lambda figures: figures.at("control.memory_mb", _proxies_of_a_machine(figures)),
        "violetroute/distribution",
    ),
)

OTHER_ROWS = (
    Row(
        "node-connections",
        Role.NODE,
        "open connections from all proxies",
        "connections",
        lambda figures: (
            figures.at("connections.open", figures.target.nodes)
            * figures.target.proxies
            / figures.target.nodes
        ),
        "none: every proxy uses every node",
    ),
    Row(
        "discovery-change",
        Role.DISCOVERY,
        "one changed node, told to all proxies as a whole list",
        "MB",
        lambda figures: (
            figures.at("list.bytes", figures.target.nodes) * figures.target.proxies / MEGABYTE
        ),
        "violetroute/membership/consul.py; changes alone: native.py",
    ),
    Row(
        "discovery-zone",
        Role.DISCOVERY,
        "a lost zone, a change for each of its nodes",
        "MB",
        lambda figures: (
            figures.at("list.bytes", figures.target.nodes)
            * figures.target.proxies
            * figures.target.nodes
            / figures.target.zones
            / MEGABYTE
        ),
        "violetroute/membership/consul.py; changes alone: native.py",
    ),
    Row(
        "database-cold-zone",
        Role.DATABASE,
        "misses while a zone's nodes come back cold, from all proxies",
        "/s",
        lambda figures: figures.quoted("database.cold_zone_misses_per_s"),
        "none for the fleet; each proxy's fetches limit: snowstall/gate.py",
    ),
)

ROWS: tuple[Row, ...] = (*PROXY_ROWS, *CONTROL_ROWS, *OTHER_ROWS)
