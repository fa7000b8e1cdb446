"""The paper's claim with the module's own choice: imbalance of one, two, d and all choices.

    python benchmarks/choices.py [--keys 10000] [--messages 200000] [--sources 5] [--json]

As "When Two Choices Are not Enough" measures it: messages with Zipf keys from several sources that
do not speak with each other, no work, no time; imbalance is the highest load of a cache less the
mean, over all messages.  `d` is `Balancer` itself, each request answered before the next; `one` and
`two` are its own hashed candidates without the head, `shuffle` is round robin and `w` sends head
keys anywhere.  What the module adds to the paper (stickiness, decay, sent counts that fade) is in
`d` alone, so a deviation between `d` and `w` or `two` is those rules' price.
"""

from __future__ import annotations

import argparse
import bisect
import itertools
import json
import random
import sys

import harness  # noqa: F401  (finds the packages of this checkout)

from snowstall import (
    Balancer,
    Effect,
    ListKind,
    Member,
    Outcome,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
)
from snowstall.hashing import mix
from snowstall.head import SpaceSaving

LOOKUP = RequestClass("lookup", latency_target=300.0, deadline=600.0, effect=Effect.PURE)
STEP = 2.0  # ms between a source's messages


def drawn(skew: float, keys: int, messages: int, seed: int) -> list[int]:
    """Keys by Zipf's law, as numbers that say nothing of their rank."""
    rng = random.Random(f"{skew}/{seed}")
    total = list(itertools.accumulate(1.0 / rank**skew for rank in range(1, keys + 1)))
    return [
        mix(bisect.bisect_left(total, rng.random() * total[-1]), 7) >> 12 for _ in range(messages)
    ]


def imbalance(loads: list[int]) -> float:
    return (max(loads) - sum(loads) / len(loads)) / sum(loads)


def hashed(keys: list[int], nodes: int, sources: int, choices: int) -> float:
    """`choices` candidates of each key, the one with the least load that its source has sent."""
    loads, own = [0] * nodes, [[0] * nodes for _ in range(sources)]
    for number, key in enumerate(keys):
        sent = own[number % sources]
        best = min((mix(key, salt) % nodes for salt in range(choices)), key=sent.__getitem__)
        sent[best] += 1
        loads[best] += 1
    return imbalance(loads)


def anywhere(keys: list[int], nodes: int, sources: int) -> float:
    """W-Choices: head keys (share above 1/5n, as SpaceSaving sees it) go to the least loaded."""
    loads, own = [0] * nodes, [[0] * nodes for _ in range(sources)]
    tables = [SpaceSaving() for _ in range(sources)]
    for number, key in enumerate(keys):
        source = number % sources
        table, sent = tables[source], own[source]
        table.add(key, 0.0)
        count, error = table.estimate(key)
        if count - error > table.decayed_total() / (5.0 * nodes):
            best = min(range(nodes), key=sent.__getitem__)
        else:
            best = min(mix(key, 0) % nodes, mix(key, 1) % nodes, key=sent.__getitem__)
        sent[best] += 1
        loads[best] += 1
    return imbalance(loads)


def module(keys: list[int], nodes: int, sources: int, seed: int) -> tuple[float, int]:
    """`Balancer` as it is; also the d that it came to."""
    loads, now = [0] * nodes, 0.0
    settings = Settings(classes=(LOOKUP,), max_attempts=1)
    balancers = [Balancer(settings, seed * 1000 + source, 0.0) for source in range(sources)]
    for balancer in balancers:
        balancer.on_list(0.0, ListKind.FULL, [Member(node) for node in range(nodes)])
    for number, key in enumerate(keys):
        balancer = balancers[number % sources]
        now += STEP / sources
        for action in balancer.on_request(now, Request(number, "lookup", now + 600.0, key)):
            if isinstance(action, Send):
                loads[action.cache_id] += 1
                balancer.on_outcome(now, Outcome(number, 0, Result.OK, True, 1.0))
    return imbalance(loads), max(balancer.choices for balancer in balancers)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--keys", type=int, default=10_000)
    parser.add_argument("--messages", type=int, default=100_000)
    parser.add_argument("--sources", type=int, default=5)
    parser.add_argument("--nodes", type=int, nargs="+", default=[5, 10, 50, 100])
    parser.add_argument("--skew", type=float, nargs="+", default=[1.0, 1.2, 1.4, 1.7, 2.0])
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if not options.json:
        print(" zipf nodes      one      two        d        w  shuffle  choices")
    for skew in options.skew:
        keys = drawn(skew, options.keys, options.messages, 1)
        for nodes in options.nodes:
            of_module, choices = module(keys, nodes, options.sources, 1)
            row = {
                "zipf": skew,
                "nodes": nodes,
                "one": hashed(keys, nodes, options.sources, 1),
                "two": hashed(keys, nodes, options.sources, 2),
                "d": of_module,
                "w": anywhere(keys, nodes, options.sources),
                "shuffle": imbalance(
                    [len(keys) // nodes + (place < len(keys) % nodes) for place in range(nodes)]
                ),
                "choices": choices,
            }
            print(
                json.dumps(row)
                if options.json
                else f"{skew:5.1f} {nodes:5d} "
                + " ".join(f"{row[name]:8.5f}" for name in ("one", "two", "d", "w", "shuffle"))
                + f" {choices:8d}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
