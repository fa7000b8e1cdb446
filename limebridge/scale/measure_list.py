"""Costs of the node list in a proxy: size, parsing, applying it, changes, memory.

Changes are measured for one node, and for a fifth of all nodes at once.  Only the latter shows the
cost of a batch that is applied as one change per node.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

from limebridge.virtual.session import isolated_run
from violetroute.membership import Listing
from violetroute.membership.list_reader import ListReader, ObjectSplitter

from .cost_definition import define_cost
from .process_facts import cpu_seconds, least_cpu_seconds, resident_bytes
from .registry import Subject, Values
from .sample_list import DRAINING, READY, ProxyOnVirtualNetwork, changes_list, full_list_line

PARSE_ROUNDS = 15
CHANGE_ROUNDS, CHANGES_PER_ROUND = 5, 8
BATCH_DIVISOR = 5  # a batch changes one of this many nodes
TOTAL_NODES = 9600  # nodes in the lists of all proxies, to measure the memory of small lists
MIN_COPIES, MAX_COPIES = 3, 40
LOG_LEVEL = 50  # CRITICAL: suppresses the daemon's log
WARM_UP_NODES = 10


def measure(size: int) -> Values:
    """Measure all costs of a list of `size` nodes."""
    line = full_list_line(size)
    with isolated_run(LOG_LEVEL):
        _apply(ProxyOnVirtualNetwork(), _parse(full_list_line(WARM_UP_NODES)))
        copies = min(MAX_COPIES, max(MIN_COPIES, TOTAL_NODES // size))
        proxies = [ProxyOnVirtualNetwork() for _ in range(copies)]
        before = resident_bytes()
        apply_seconds = [_apply(proxy, _parse(line)) for proxy in proxies]
        memory = (resident_bytes() - before) / copies
        drain_seconds, join_seconds = _measure_changes(proxies[0], size)
        batch = _measure_batches(proxies[0], size)
    return {
        "list.bytes": len(line),
        "list.parse_ms": least_cpu_seconds(lambda: _parse(line), PARSE_ROUNDS) * 1e3,
        "list.apply_ms": min(apply_seconds) * 1e3,
        "list.change_ms": drain_seconds * 1e3,
        "list.join_ms": join_seconds * 1e3,
        "list.batch_drain_ms": batch.drain * 1e3,
        "list.batch_join_ms": batch.join * 1e3,
        "list.batch_turn_ms": batch.longest_iteration * 1e3,
        "list.memory_mb": memory / 1e6,
    }


def _parse(line: bytes) -> Listing:
    """Parse a line of discovery's response, as a watch does."""
    text = ObjectSplitter().feed(line)
    assert text is not None
    return ListReader().read(text)


def _apply(target: ProxyOnVirtualNetwork, listing: Listing) -> float:
    """CPU seconds of all event loop iterations in which the proxy applies the list."""
    return sum(_iteration_seconds(target, listing))


def _iteration_seconds(target: ProxyOnVirtualNetwork, listing: Listing) -> Iterator[float]:
    """Apply the list; yield the CPU seconds of each event loop iteration that applies a part."""
    proxy = target.proxy
    yield cpu_seconds(lambda: proxy.list_changed(listing))
    while proxy._lists.waiting:
        yield cpu_seconds(proxy._lists._next_slice)


@dataclass(slots=True)
class _BatchSeconds:
    """CPU seconds of a batch of changes, each the smallest of several rounds."""

    drain: float = math.inf
    join: float = math.inf
    longest_iteration: float = math.inf


def _measure_batches(target: ProxyOnVirtualNetwork, size: int) -> _BatchSeconds:
    """Measure a change in which a fifth of the nodes drains, and one in which they return."""
    smallest = _BatchSeconds()
    fifth = range(0, size, BATCH_DIVISOR)
    for _ in range(CHANGE_ROUNDS):
        target.advance(1.0)
        drain = list(_iteration_seconds(target, changes_list(fifth, DRAINING)))
        target.advance(1.0)
        join = list(_iteration_seconds(target, changes_list(fifth, READY)))
        smallest.drain = min(smallest.drain, sum(drain))
        smallest.join = min(smallest.join, sum(join))
        smallest.longest_iteration = min(smallest.longest_iteration, max(drain + join))
    return smallest


def _measure_changes(target: ProxyOnVirtualNetwork, size: int) -> tuple[float, float]:
    """CPU seconds of a change of one node: when it drains, and when it returns."""
    drains, joins = [], []
    for number in range(CHANGE_ROUNDS):
        first = number * CHANGES_PER_ROUND
        nodes = [node % size for node in range(first, first + CHANGES_PER_ROUND)]
        drains.append(_seconds_per_change(target, nodes, DRAINING))
        joins.append(_seconds_per_change(target, nodes, READY))
    return min(drains), min(joins)


def _seconds_per_change(target: ProxyOnVirtualNetwork, nodes: list[int], lifecycle: str) -> float:
    """Mean CPU seconds of the changes of these nodes, applied one by one."""
    seconds = 0.0
    for node in nodes:
        target.advance(1.0)
        seconds += _apply(target, changes_list([node], lifecycle))
    return seconds / len(nodes)


_cost = partial(define_cost, "list", "violetroute/membership/list_reader.py")

SUBJECT = Subject(
    name="list",
    per="node",
    costs=(
        _cost("bytes", "bytes", "Size of the whole list as discovery sends it in one line."),
        _cost("parse_ms", "ms", "CPU time to parse the line into entries."),
        _cost("apply_ms", "ms", "CPU time to apply the first list, in all event loop iterations."),
        _cost("change_ms", "ms", "CPU time to apply a change in which one node drains."),
        _cost("join_ms", "ms", "CPU time to apply a change in which one node returns."),
        _cost(
            "batch_drain_ms",
            "ms",
            "CPU time to apply a change in which a fifth of the nodes drains.",
        ),
        _cost("batch_join_ms", "ms", "CPU time to apply a change in which that fifth returns."),
        _cost("batch_turn_ms", "ms", "CPU time of the longest event loop iteration of these two."),
        _cost("memory_mb", "MB", "Resident memory of the list in a proxy."),
    ),
    sizes=(46, 200, 600, 1200, 3200),
    quick_sizes=(20, 46, 80, 140, 200),
    measure=measure,
    runs=3,
)
