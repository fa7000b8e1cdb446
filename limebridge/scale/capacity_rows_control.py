"""The rows of docs/CAPACITY.md for a control machine."""

from __future__ import annotations

from violetroute.distribution.control_file import Timings

from .capacity import Figures, Kind, Role, Row

HALF_LOST = 2.0  # times as many proxies for a machine when half of the machines are lost


def _proxies_of_a_machine(figures: Figures) -> float:
    return figures.target.proxies / figures.target.control_machines


def _all_of_the_core(figures: Figures) -> float:
    return 1.0


def _batches_kept(figures: Figures) -> float:
    """Batches of the time for which a machine keeps them, one a batching window."""
    timings = Timings()
    return timings.keep_s / timings.batch_s


def _log_memory(figures: Figures) -> float:
    return figures.at("control_log.memory_mb", _batches_kept(figures))


CONTROL_ROWS = (
    Row(
        "control-cpu",
        Role.CONTROL,
        Kind.PROCESSOR_TIME,
        "its share of the proxies, with the purges",
        "of a core",
        lambda figures: figures.at("control.cpu_share", _proxies_of_a_machine(figures)),
        "violetroute/distribution",
        _all_of_the_core,
    ),
    Row(
        "control-cpu-half",
        Role.CONTROL,
        Kind.PROCESSOR_TIME,
        "the same when half of the control machines are lost",
        "of a core",
        lambda figures: figures.at("control.cpu_share", HALF_LOST * _proxies_of_a_machine(figures)),
        "violetroute/distribution",
        _all_of_the_core,
    ),
    Row(
        "control-bytes",
        Role.CONTROL,
        Kind.MESSAGES,
        "bytes out to its proxies",
        "bytes/s",
        lambda figures: figures.at("control.bytes_out_per_s", _proxies_of_a_machine(figures)),
        "violetroute/distribution",
    ),
    Row(
        "control-memory",
        Role.CONTROL,
        Kind.MEMORY,
        "the process with its sessions and connections, after a minute",
        "MB",
        lambda figures: figures.at("control.memory_mb", _proxies_of_a_machine(figures)),
        "violetroute/distribution",
    ),
    Row(
        "control-sessions",
        Role.CONTROL,
        Kind.STATE,
        "sessions of proxies, each with its position",
        "sessions",
        _proxies_of_a_machine,
        "violetroute/distribution/sessions.py",
    ),
    Row(
        "control-log",
        Role.CONTROL,
        Kind.STATE,
        "batches of the log, kept for an hour, on disk and in memory",
        "batches",
        _batches_kept,
        "violetroute/distribution/replica.py, storage.py",
    ),
    Row(
        "control-polls",
        Role.CONTROL,
        Kind.MESSAGES,
        "polls that it answers",
        "/s",
        lambda figures: figures.at("control.messages_in_per_s", _proxies_of_a_machine(figures)),
        "violetroute/distribution/http_server.py",
    ),
    Row(
        "control-log-memory",
        Role.CONTROL,
        Kind.MEMORY,
        "the log of a whole hour, beside this",
        "MB",
        _log_memory,
        "violetroute/distribution/replica.py",
    ),
)
