"""Costs of the list of cache nodes in a proxy: bytes, parsing, applying, changes, memory.

A change is measured of one node and of a fifth of all nodes at once: a batch that is applied as
single steps shows in the second and not in the first.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

from limebridge.virtual.session import quiet
from violetroute.membership import Listing
from violetroute.membership.list_reader import ListReader, ObjectSplitter

from .cost_definition import define_cost
from .process_facts import cpu_seconds, least_cpu_seconds, resident_bytes
from .registry import Subject, Values
from .sample_list import DRAINING, READY, ProxyOnVirtualNetwork, changes_list, full_list_line

PARSE_ROUNDS = 15
CHANGE_ROUNDS, CHANGES_PER_ROUND = 5, 8
BATCH_DIVISOR = 5  # one of so many nodes changes in a batch
TOTAL_NODES = 9600  # of all copies of the proxy together, so that small lists show in memory
MIN_COPIES, MAX_COPIES = 3, 40
LOG_LEVEL = 50  # nothing of the daemon's log
WARM_UP_NODES = 10


def measure(size: int) -> Values:
    """All costs of the list with `size` nodes."""
    line = full_list_line(size)
    with quiet(LOG_LEVEL):
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
    """What a watch does with a line of discovery's answer."""
    text = ObjectSplitter().feed(line)
    assert text is not None
    return ListReader().read(text)


def _apply(target: ProxyOnVirtualNetwork, listing: Listing) -> float:
    """CPU seconds until the proxy has taken the list, in all turns."""
    return sum(_iteration_seconds(target, listing))


def _iteration_seconds(target: ProxyOnVirtualNetwork, listing: Listing) -> Iterator[float]:
    """CPU seconds of each turn of the event loop that takes the list."""
    proxy = target.proxy
    yield cpu_seconds(lambda: proxy.list_changed(listing))
    while proxy._lists.waiting:
        yield cpu_seconds(proxy._lists._next_slice)


@dataclass(slots=True)
class _BatchSeconds:
    """CPU seconds, the smallest of some rounds."""

    drain: float = math.inf
    join: float = math.inf
    longest_iteration: float = math.inf


def _measure_batches(target: ProxyOnVirtualNetwork, size: int) -> _BatchSeconds:
    """A fifth of the nodes drains in one change and comes back in another."""
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
    """CPU seconds of one node that drains, and of one that comes back."""
    drains, joins = [], []
    for number in range(CHANGE_ROUNDS):
        first = number * CHANGES_PER_ROUND
        nodes = [node % size for node in range(first, first + CHANGES_PER_ROUND)]
        drains.append(_seconds_per_change(target, nodes, DRAINING))
        joins.append(_seconds_per_change(target, nodes, READY))
    return min(drains), min(joins)


def _seconds_per_change(target: ProxyOnVirtualNetwork, nodes: list[int], lifecycle: str) -> float:
    """Mean CPU seconds of these nodes' changes, told one by one."""
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
        _cost("bytes", "bytes", "The whole list as discovery sends it in one line."),
        _cost("parse_ms", "ms", "CPU time from the line's bytes to typed entries."),
        _cost("apply_ms", "ms", "CPU time of a first whole list, in all turns."),
        _cost("change_ms", "ms", "CPU time of a proxy that is told of one node that drains."),
        _cost("join_ms", "ms", "CPU time of a proxy that is told of one node that comes back."),
        _cost(
            "batch_drain_ms", "ms", "CPU time of a fifth of the nodes that drains, in all turns."
        ),
        _cost("batch_join_ms", "ms", "CPU time of a fifth that comes back, in all turns."),
        _cost("batch_turn_ms", "ms", "CPU time of the longest turn of these two."),
        _cost("memory_mb", "MB", "Resident memory that the list takes in a proxy."),
    ),
    sizes=(46, 200, 600, 1200, 3200),
    quick_sizes=(20, 46, 80, 140, 200),
    measure=measure,
    runs=3,
)
