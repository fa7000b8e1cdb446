"""The rows of docs/CAPACITY.md for a control machine."""

from __future__ import annotations

from violetroute.distribution.control_file import Timings

from .capacity import Figures, ResourceKind, Role, Row

HALF_LOST_FACTOR = 2.0  # growth of proxies per machine when half of the machines are lost


def _proxies_per_machine(figures: Figures) -> float:
    return figures.target.proxies / figures.target.control_machines


def _one_core(figures: Figures) -> float:
    return 1.0


def _retained_batches(figures: Figures) -> float:
    """Number of batches that a machine retains, at one batch per batching window."""
    timings = Timings()
    return timings.keep_s / timings.batch_s


def _log_memory(figures: Figures) -> float:
    return figures.cost("control_log.memory_mb", _retained_batches(figures))


CONTROL_ROWS = (
    Row(
        "control-cpu",
        Role.CONTROL,
        ResourceKind.PROCESSOR_TIME,
        "its share of the proxies, with the purges",
        "of a core",
        lambda figures: figures.cost("control.cpu_share", _proxies_per_machine(figures)),
        "violetroute/distribution",
        _one_core,
    ),
    Row(
        "control-cpu-half",
        Role.CONTROL,
        ResourceKind.PROCESSOR_TIME,
        "the same when half of the control machines are lost",
        "of a core",
        lambda figures: figures.cost(
            "control.cpu_share", HALF_LOST_FACTOR * _proxies_per_machine(figures)
        ),
        "violetroute/distribution",
        _one_core,
    ),
    Row(
        "control-bytes",
        Role.CONTROL,
        ResourceKind.MESSAGES,
        "bytes out to its proxies",
        "bytes/s",
        lambda figures: figures.cost("control.bytes_out_per_s", _proxies_per_machine(figures)),
        "violetroute/distribution",
    ),
    Row(
        "control-memory",
        Role.CONTROL,
        ResourceKind.MEMORY,
        "the process with its sessions and connections, after a minute",
        "MB",
        lambda figures: figures.cost("control.memory_mb", _proxies_per_machine(figures)),
        "violetroute/distribution",
    ),
    Row(
        "control-sessions",
        Role.CONTROL,
        ResourceKind.STATE,
        "sessions of proxies, each with its position",
        "sessions",
        _proxies_per_machine,
        "violetroute/distribution/sessions.py",
    ),
    Row(
        "control-log",
        Role.CONTROL,
        ResourceKind.STATE,
        "batches of the log, kept for an hour, on disk and in memory",
        "batches",
        _retained_batches,
        "violetroute/distribution/replica.py, storage.py",
    ),
    Row(
        "control-polls",
        Role.CONTROL,
        ResourceKind.MESSAGES,
        "polls that it answers",
        "/s",
        lambda figures: figures.cost("control.messages_in_per_s", _proxies_per_machine(figures)),
        "violetroute/distribution/http_server.py",
    ),
    Row(
        "control-log-memory",
        Role.CONTROL,
        ResourceKind.MEMORY,
        "the log of a whole hour, beside this",
        "MB",
        _log_memory,
        "violetroute/distribution/replica.py",
    ),
)
