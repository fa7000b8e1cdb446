"""The rows of docs/CAPACITY.md for a proxy."""

from __future__ import annotations

from violetroute.distribution.messages import MAX_BODY_BYTES

from .capacity import Figures, ResourceKind, Role, Row
from .target import SECONDS_PER_DAY

# Nodes of one region, of 1,200 in ten regions; measure_judgements.py measures with this number.
UNHEALTHY_NODES_IN_REGION = 120
MEGABYTE = 1e6
BOTH_DIRECTIONS = 2.0  # factor for bytes sent and received


def _gossip_bytes(figures: Figures) -> float:
    """Twice the measured bytes, which are those sent: on average a proxy receives as many."""
    return BOTH_DIRECTIONS * figures.cost("gossip.bytes_per_s", figures.target.proxies)


def _report_bytes(figures: Figures) -> float:
    """Bytes of reports on node health, load and heavy hitters, with a whole region unhealthy."""
    cost = f"sharing.bytes_per_s_{UNHEALTHY_NODES_IN_REGION}"
    return BOTH_DIRECTIONS * figures.cost(cost, figures.target.proxies)


def _configuration_bytes(figures: Figures) -> float:
    """An upper bound: assumes that each change is a record of the maximum size."""
    return figures.target.config_changes_per_s * MAX_BODY_BYTES


def _purge_bytes(figures: Figures) -> float:
    return figures.cost("distribution.proxy_bytes_per_s", figures.target.purges_per_s)


def _list_changes_per_s(figures: Figures) -> float:
    """Two changes, leaving the list and returning, for each node that fails or restarts."""
    target = figures.target
    share = target.nodes / (target.nodes + target.proxies)
    machines = target.machines_fail_per_day + target.machines_restart_per_day
    return 2.0 * machines * share / SECONDS_PER_DAY


def _list_bytes(figures: Figures) -> float:
    """Bytes if each change transfers the whole list, as a blocking query does."""
    return _list_changes_per_s(figures) * figures.cost("list.bytes", figures.target.nodes)


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
        figures.cost(cost, figures.target.nodes) for cost in ("list.parse_ms", "list.change_ms")
    )
    return _list_changes_per_s(figures) * milliseconds / 1000.0


def _proxy_cpu(figures: Figures) -> float:
    return (
        figures.cost("gossip.cpu_share", figures.target.proxies)
        + figures.cost("distribution.proxy_cpu_share", figures.target.purges_per_s)
        + _list_cpu(figures)
    )


def _datagrams(figures: Figures) -> float:
    return BOTH_DIRECTIONS * figures.cost("gossip.datagrams_per_s", figures.target.proxies)


def _polls(figures: Figures) -> float:
    return figures.cost("distribution.proxy_polls_per_s", figures.target.purges_per_s)


def _proxy_memory(figures: Figures) -> float:
    """Includes the code of sharing and of ownership: a daemon's memory with, minus without it."""
    return (
        figures.quoted("sharing.memory_mb")
        + figures.quoted("ownership.memory_mb")
        + figures.cost("gossip.memory_bytes", figures.target.proxies) / MEGABYTE
        + figures.cost("distribution.proxy_memory_mb", figures.target.purges_per_s)
        + figures.cost("judgements.memory_mb", figures.target.proxies)
        + figures.cost("list.memory_mb", figures.target.nodes)
    )


PROXY_ROWS = (
    Row(
        "proxy-gossip",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "membership of all proxies, sent and received",
        "bytes/s",
        _gossip_bytes,
        "violetroute/sharing/members.py",
    ),
    Row(
        "proxy-reports",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "reports of node health, load and heavy hitters while a region's nodes are bad",
        "bytes/s",
        _report_bytes,
        "violetroute/sharing/report_budget.py",
    ),
    Row(
        "proxy-purges",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "purges, with polls and acknowledgements",
        "bytes/s",
        _purge_bytes,
        "violetroute/distribution",
    ),
    Row(
        "proxy-configuration",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "changes of configuration, each of 16 KiB at most",
        "bytes/s",
        _configuration_bytes,
        "violetroute/distribution/configuration.py",
    ),
    Row(
        "proxy-lists",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "whole node lists on an ordinary day",
        "bytes/s",
        _list_bytes,
        "violetroute/membership",
    ),
    Row(
        "proxy-bytes",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "all of these",
        "bytes/s",
        _proxy_bytes,
        "the five above",
        lambda figures: figures.target.control_bytes_per_s,
    ),
    Row(
        "proxy-cpu",
        Role.PROXY,
        ResourceKind.PROCESSOR_TIME,
        "membership, purges and lists",
        "of a core",
        _proxy_cpu,
        "the same",
        lambda figures: figures.target.control_cpu_share,
    ),
    Row(
        "proxy-memory",
        Role.PROXY,
        ResourceKind.MEMORY,
        "members, node health at its worst, purges, list, state of the nodes, and the code",
        "MB",
        _proxy_memory,
        "the same",
        lambda figures: figures.target.control_memory_mb,
    ),
    Row(
        "proxy-first-list",
        Role.PROXY,
        ResourceKind.PROCESSOR_TIME,
        "the first list, in many turns of the loop",
        "ms",
        lambda figures: figures.cost("list.apply_ms", figures.target.nodes),
        "snowstall/balance.py",
    ),
    Row(
        "proxy-list-turn",
        Role.PROXY,
        ResourceKind.PROCESSOR_TIME,
        "the loop stands while a fifth of the nodes drains or comes back",
        "ms",
        lambda figures: figures.cost("list.batch_turn_ms", figures.target.nodes),
        "violetroute/listing.py",
    ),
    Row(
        "proxy-request",
        Role.PROXY,
        ResourceKind.PROCESSOR_TIME,
        "the module's time for a request",
        "us",
        lambda figures: figures.cost("module.request_us", figures.target.nodes),
        "snowstall/balance.py",
    ),
    Row(
        "proxy-connections",
        Role.PROXY,
        ResourceKind.STATE,
        "open connections to nodes",
        "connections",
        lambda figures: figures.cost("connections.open", figures.target.nodes),
        "violetroute/upstream/pool.py",
    ),
    Row(
        "proxy-opens",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "connections opened",
        "/s",
        lambda figures: figures.cost("connections.opened_per_s", figures.target.nodes),
        "violetroute/upstream/pool.py",
    ),
    Row(
        "proxy-waits",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "requests that wait for a connection to open",
        "of all",
        lambda figures: figures.cost("connections.waited_share", figures.target.nodes),
        "none: every proxy uses every node",
    ),
    Row(
        "proxy-members",
        Role.PROXY,
        ResourceKind.STATE,
        "members that it knows, each with address, process and state",
        "members",
        lambda figures: figures.target.proxies,
        "violetroute/sharing/members.py",
    ),
    Row(
        "proxy-nodes",
        Role.PROXY,
        ResourceKind.STATE,
        "nodes that it knows, each with speed, limit and health",
        "nodes",
        lambda figures: figures.target.nodes,
        "snowstall/caches.py",
    ),
    Row(
        "proxy-position",
        Role.PROXY,
        ResourceKind.STATE,
        "position in the log; purges are applied and not kept",
        "position",
        lambda figures: 1.0,
        "violetroute/distribution/subscriber.py",
    ),
    Row(
        "proxy-datagrams",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "datagrams of membership, sent and received",
        "/s",
        _datagrams,
        "violetroute/sharing/members.py",
    ),
    Row(
        "proxy-polls",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "polls of a control machine, each of which acknowledges",
        "/s",
        _polls,
        "violetroute/distribution/service.py",
    ),
    Row(
        "proxy-store",
        Role.PROXY,
        ResourceKind.MESSAGES,
        "calls at the store of leases, ten jobs in the fleet, at rest",
        "/s",
        lambda figures: figures.quoted("ownership.calls_per_s_per_proxy"),
        "violetroute/fleet/election.py",
    ),
    Row(
        "proxy-request-extras",
        Role.PROXY,
        ResourceKind.PROCESSOR_TIME,
        "budgets and the ledger, for a request",
        "us",
        lambda figures: figures.quoted("budgets.request_us") + figures.quoted("ledger.request_us"),
        "violetroute/sharing/budget.py, violetroute/ledger",
    ),
    Row(
        "proxy-ledger-memory",
        Role.PROXY,
        ResourceKind.MEMORY,
        "the ledger, beside control",
        "MB",
        lambda figures: figures.quoted("ledger.memory_mb"),
        "violetroute/ledger",
    ),
)
