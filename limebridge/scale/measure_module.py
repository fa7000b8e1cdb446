"""CPU time of the decision module per request and per changed node, by number of nodes."""

from __future__ import annotations

import itertools
import random
from functools import partial

from limebridge.standins.configuration import configuration
from snowstall import (
    Balancer,
    CacheState,
    ListKind,
    Member,
    Outcome,
    Request,
    Result,
    Send,
)
from violetroute.config import parse

from .cost_definition import define_cost
from .process_facts import cpu_seconds, least_cpu_seconds
from .registry import MeasurementError, Subject, Values
from .sample_list import DISCOVERY_PORT, ZONES
from .target import load_target

KEYS, ZIPF_EXPONENT = 20_000, 0.9  # popularity by rank: 1 / rank ** exponent
ROUNDS, REQUESTS_PER_ROUND = 7, 3000
CHANGE_ROUNDS, CHANGES_PER_ROUND = 5, 8
LATENCY_MS = 20.0
REQUEST_TIMEOUT_MS = 600.0
START_MS = 1e12  # Unix ms


class ModuleUnderLoad:
    """A balancer with the target's rate of requests of one proxy; each succeeds immediately."""

    def __init__(self, nodes: int) -> None:
        settings = parse(configuration(DISCOVERY_PORT, [])).settings
        self.balancer = Balancer(settings, 1, START_MS)
        self.now = START_MS
        self._step = 1000.0 / load_target().requests_per_proxy  # ms between two requests
        self._request_ids = itertools.count(1)
        self.members = [_member(number) for number in range(nodes)]
        self.balancer.on_list(self.now, ListKind.FULL, self.members)
        rng = random.Random(1)
        weights = [1.0 / rank**ZIPF_EXPONENT for rank in range(1, KEYS + 1)]
        key_hashes = [rng.getrandbits(52) for _ in range(KEYS)]
        self.keys = rng.choices(key_hashes, weights, k=REQUESTS_PER_ROUND)

    def send_requests(self) -> None:
        """Run one round of requests.  MeasurementError if the module does not send one of them."""
        for key in self.keys:
            self.now += self._step
            self._send_request(next(self._request_ids), key)

    def _send_request(self, number: int, key: int) -> None:
        self.balancer.on_arrival(self.now, "lookup", 0.0, REQUEST_TIMEOUT_MS, 0.0, 0)
        request = Request(number, "lookup", self.now + REQUEST_TIMEOUT_MS, key)
        actions = self.balancer.on_request(self.now, request)
        if not any(type(action) is Send for action in actions):
            raise MeasurementError("the module did not send a request at the target's rate")
        outcome = Outcome(number, 0, Result.OK, True, LATENCY_MS, True)
        self.balancer.on_outcome(self.now, outcome)

    def change_nodes(self, nodes: list[int], state: CacheState) -> None:
        """Change the state of these nodes, in one list change per node."""
        for node in nodes:
            self.now += 1000.0
            self.balancer.on_list(self.now, ListKind.CHANGES, [_member(node, state)])


def measure(size: int) -> Values:
    """Measure all costs of the module with `size` nodes."""
    module = ModuleUnderLoad(size)
    module.send_requests()  # warms up
    request_seconds = least_cpu_seconds(module.send_requests, ROUNDS)
    drains, joins = [], []
    for number in range(CHANGE_ROUNDS):
        first = number * CHANGES_PER_ROUND
        nodes = [node % size for node in range(first, first + CHANGES_PER_ROUND)]
        drains.append(cpu_seconds(partial(module.change_nodes, nodes, CacheState.DRAINING)))
        joins.append(cpu_seconds(partial(module.change_nodes, nodes, CacheState.READY)))
    return {
        "module.request_us": request_seconds / REQUESTS_PER_ROUND * 1e6,
        "module.change_us": min(drains) / CHANGES_PER_ROUND * 1e6,
        "module.join_us": min(joins) / CHANGES_PER_ROUND * 1e6,
    }


def _member(number: int, state: CacheState = CacheState.READY) -> Member:
    return Member(number, state, zone=f"zone-{number % ZONES:02d}", kind="cache-large")


_cost = partial(define_cost, "module", "snowstall/balance.py")

SUBJECT = Subject(
    name="module",
    per="node",
    costs=(
        _cost(
            "request_us", "us", "CPU time of the module for one request, from arrival to outcome."
        ),
        _cost("change_us", "us", "CPU time of the module for a change in which one node drains."),
        _cost("join_us", "us", "CPU time of the module for a change in which one node returns."),
    ),
    sizes=(46, 200, 600, 1200, 2400),
    quick_sizes=(20, 46, 80, 140, 200),
    measure=measure,
    runs=3,
)
