"""CPU time of the event loop iterations that apply a list of 3,200 nodes.

All requests wait for each iteration; with a tenth of a core, 10 ms of CPU delay them by 100 ms.
The least of several rounds counts, since other work on the machine only ever increases CPU time.
Phases in which a machine is slow last for some seconds, so the rounds are spread over that long.
The garbage collector has the daemon's settings: the objects of the test runner are not its cost.
"""

from __future__ import annotations

import gc
import json
import math
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import pytest

from limebridge.scale.process_facts import cpu_seconds
from limebridge.scale.sample_list import DRAINING, READY, ProxyOnVirtualNetwork, node_entry
from limebridge.standins.configuration import configuration
from limebridge.standins.large_list import LargeList
from limebridge.virtual.session import isolated_run
from violetroute import garbage_collection
from violetroute.config import load
from violetroute.membership.list_reader import ListReader, ObjectSplitter

NODES = 3200
FIFTH = range(0, NODES, 5)
TURN = 0.010  # s; the most CPU time in one loop iteration, for any change
FIRST = 0.100  # s; the most CPU time for the first list
ROUNDS = 4
MOST_ROUNDS = 40  # at most; the rounds are repeated until each iteration was once within its bound
ROUND_INTERVAL = 0.25  # s between two rounds, if another one is needed
RESTARTED_AT_MS = 1_695_000_000_000


def text(numbers: Iterable[int], lifecycle: str = READY, whole: bool = False) -> bytes:
    instances = [node_entry(number, lifecycle) for number in numbers]
    return json.dumps({"generation": 2, "reset": whole, "instances": instances}).encode()


def restarts(numbers: Iterable[int], started_at_ms: int) -> bytes:
    instances = [node_entry(number) | {"startedAtMs": started_at_ms} for number in numbers]
    return json.dumps({"generation": 2, "reset": False, "instances": instances}).encode()


class Large:
    """A proxy that receives lists as from its watch."""

    def __init__(self) -> None:
        self.target, self._reader = ProxyOnVirtualNetwork(), ListReader()
        self.proxy = self.target.proxy

    def take(self, line: bytes) -> float:
        """CPU seconds to read a list and apply what takes effect at once."""
        self.target.advance(1.0)
        return cpu_seconds(lambda: self._take(line))

    def _take(self, line: bytes) -> None:
        found = ObjectSplitter().feed(line)
        assert found
        self.proxy._watch.list_changed(self._reader.read(found))

    def slices(self) -> Iterator[float]:
        """CPU seconds of each slice."""
        while self.proxy._lists.waiting:
            yield cpu_seconds(self.proxy._lists._next_slice)


@pytest.fixture(scope="module", autouse=True)
def garbage_collection_of_the_daemon() -> Iterator[None]:
    thresholds = gc.get_threshold()
    garbage_collection.configure()
    yield
    gc.set_threshold(*thresholds)
    gc.unfreeze()


@pytest.fixture(scope="module")
def large() -> Iterator[Large]:
    with isolated_run(50):
        made = Large()
        made.take(text(range(NODES), whole=True))
        list(made.slices())
        yield made


def whole_without_a_fifth() -> bytes:
    return text((number for number in range(NODES) if number not in FIFTH), whole=True)


CHANGES: dict[str, Callable[[int], list[bytes]]] = {
    "a fifth drains and comes back": lambda _: [text(FIFTH, DRAINING), text(FIFTH)],
    "a whole list without a fifth, and with it": lambda _: [
        whole_without_a_fifth(),
        text(range(NODES), whole=True),
    ],
    "a whole list that says nothing new": lambda _: [text(range(NODES), whole=True)],
    "a fifth has started anew": lambda number: [restarts(FIFTH, RESTARTED_AT_MS + number)],
    "one node drains and comes back": lambda _: [text([7], DRAINING), text([7])],
}


@pytest.mark.parametrize("change", CHANGES)
def test_no_turn_of_a_change_takes_over_10_ms_of_cpu(large: Large, change: str) -> None:
    """Incident 65d06d: one iteration took 2.2 s, and every request waited for it."""
    least = [math.inf] * len(CHANGES[change](0))
    least_slice = math.inf
    for number in range(MOST_ROUNDS):
        longest = 0.0
        for place, line in enumerate(CHANGES[change](number)):
            least[place] = min(least[place], large.take(line))
            longest = max(longest, max(large.slices(), default=0.0))
        least_slice = min(least_slice, longest)
        if max(*least, least_slice) <= TURN:
            break
        time.sleep(ROUND_INTERVAL)
    assert len(large.proxy.nodes) == NODES
    assert max(least) <= TURN, least
    assert least_slice <= TURN, least_slice


def test_the_first_list_takes_at_most_100_ms_of_cpu_in_its_turn_and_10_in_the_others() -> None:
    with isolated_run(50):
        line = text(range(NODES), whole=True)
        targets = [Large() for _ in range(ROUNDS)]
        took = [target.take(line) for target in targets]
        slices = [max(target.slices()) for target in targets]
    assert min(took) <= FIRST, took
    assert min(slices) <= TURN, slices


def test_a_reload_takes_at_most_10_ms_of_cpu(tmp_path: Path) -> None:
    nodes = LargeList(NODES)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(9, nodes.nodes())))
    read = {"PROXY_CONFIG": str(path)}
    took = [cpu_seconds(lambda: load(read, read_known=False)) for _ in range(ROUNDS)]
    assert min(took) <= TURN, took


def test_the_cost_of_a_batch_is_proportional_to_its_entries(large: Large) -> None:
    """With 3,200 nodes, an entry may cost at most four times as much as with 200."""

    def least(target: Large, numbers: range) -> float:
        costs = []
        for _ in range(ROUNDS):
            cost = target.take(text(numbers, DRAINING)) + sum(target.slices())
            cost += target.take(text(numbers)) + sum(target.slices())
            costs.append(cost / len(numbers))
        return min(costs)

    with isolated_run(50):
        small = Large()
        small.take(text(range(200), whole=True))
        list(small.slices())
        assert least(large, FIFTH) <= 4.0 * least(small, range(0, 200, 5))
