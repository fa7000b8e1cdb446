"""Compares the load imbalance of the balancer with that of the strategies it is derived from.

    python benchmarks/choices.py [--keys 10000] [--messages 200000] [--sources 5] [--json]

The setup is that of the paper "When Two Choices Are not Enough": several sources, which do not
communicate, send messages with Zipf-distributed keys; a message causes no work and takes no time.
The imbalance is the highest load of a cache minus the mean load, as a share of all messages.

`d` is `Balancer` itself; each of its requests is answered before the next one is sent.  `one` and
`two` choose among one or two candidates of a key, hashed as in the balancer, and ignore the head,
the set of hot keys.  `shuffle` is round robin, and `w` sends head keys to any cache.  `Balancer`
adds to the paper stickiness, and decay of its key counts and of its counts of sent requests.  Only
`d` has these, so a difference between `d` and `w` or `two` is their price.
"""

from __future__ import annotations

import argparse
import bisect
import itertools
import json
import random
import sys

import harness  # noqa: F401  (makes the packages of this checkout importable)

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
STEP_MS = 2.0  # ms between the messages of one source


def draw_keys(skew: float, keys: int, messages: int, seed: int) -> list[int]:
    """The keys of `messages` messages, Zipf-distributed over `keys` keys with exponent `skew`.

    Ranks are hashed, so a key does not reveal its popularity.
    """
    rng = random.Random(f"{skew}/{seed}")
    cumulative = list(itertools.accumulate(1.0 / rank**skew for rank in range(1, keys + 1)))
    return [
        mix(bisect.bisect_left(cumulative, rng.random() * cumulative[-1]), 7) >> 12
        for _ in range(messages)
    ]


def imbalance(loads: list[int]) -> float:
    """The highest load minus the mean, as a share of the total."""
    return (max(loads) - sum(loads) / len(loads)) / sum(loads)


def d_choices_imbalance(keys: list[int], nodes: int, sources: int, choices: int) -> float:
    """Imbalance if each key has `choices` hashed candidates.

    A source sends each message to the candidate to which it has sent the fewest so far.
    """
    loads, sent_by_source = [0] * nodes, [[0] * nodes for _ in range(sources)]
    for number, key in enumerate(keys):
        sent = sent_by_source[number % sources]
        best = min((mix(key, salt) % nodes for salt in range(choices)), key=sent.__getitem__)
        sent[best] += 1
        loads[best] += 1
    return imbalance(loads)


def w_choices_imbalance(keys: list[int], nodes: int, sources: int) -> float:
    """Imbalance of W-Choices: head keys may go to any node, other keys have two candidates.

    A head key has a share above 1/(5 * nodes), by the lower bound of its count in `SpaceSaving`.
    A source sends each message to the allowed node to which it has sent the fewest so far.
    """
    loads, sent_by_source = [0] * nodes, [[0] * nodes for _ in range(sources)]
    tables = [SpaceSaving() for _ in range(sources)]
    for number, key in enumerate(keys):
        source = number % sources
        table, sent = tables[source], sent_by_source[source]
        table.add(key, 0.0)
        count, error = table.estimate(key)
        if count - error > table.decayed_total() / (5.0 * nodes):
            best = min(range(nodes), key=sent.__getitem__)
        else:
            best = min(mix(key, 0) % nodes, mix(key, 1) % nodes, key=sent.__getitem__)
        sent[best] += 1
        loads[best] += 1
    return imbalance(loads)


def balancer_imbalance(keys: list[int], nodes: int, sources: int, seed: int) -> tuple[float, int]:
    """Imbalance of `Balancer`, and the highest number of choices at the end among the sources."""
    loads, now = [0] * nodes, 0.0
    settings = Settings(classes=(LOOKUP,), max_attempts=1)
    balancers = [Balancer(settings, seed * 1000 + source, 0.0) for source in range(sources)]
    for balancer in balancers:
        balancer.on_list(0.0, ListKind.FULL, [Member(node) for node in range(nodes)])
    for number, key in enumerate(keys):
        balancer = balancers[number % sources]
        now += STEP_MS / sources
        for action in balancer.on_request(now, Request(number, "lookup", now + 600.0, key)):
            if isinstance(action, Send):
                loads[action.cache_id] += 1
                balancer.on_outcome(now, Outcome(number, 0, Result.OK, True, 1.0))
    return imbalance(loads), max(balancer.choices for balancer in balancers)


def main() -> int:
    """Print a row per skew and number of nodes."""
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
        keys = draw_keys(skew, options.keys, options.messages, 1)
        for nodes in options.nodes:
            balancer, choices = balancer_imbalance(keys, nodes, options.sources, 1)
            row = {
                "zipf": skew,
                "nodes": nodes,
                "one": d_choices_imbalance(keys, nodes, options.sources, 1),
                "two": d_choices_imbalance(keys, nodes, options.sources, 2),
                "d": balancer,
                "w": w_choices_imbalance(keys, nodes, options.sources),
                "shuffle": imbalance(
                    [len(keys) // nodes + (node < len(keys) % nodes) for node in range(nodes)]
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
