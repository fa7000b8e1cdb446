"""CPU time of the periodic work of sharing between proxies, in a fleet of the target's size.

    python benchmarks/sharing_tick.py [--build CHECKOUT] [--turns 3]

All values are microseconds, the median of --turns measurements.

`tick_us`: a tick of the membership of one of 2,600 members, by how many of them are suspected.
`rumors_us`: choosing the rumors of one datagram, by how many are queued.
`round_us`: a gossip round about 1,200 nodes, by how many of them are unhealthy.

To compare two checkouts, run this for them alternately.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path

MEMBERS, NODES = 2_600, 1_200
SUSPECTS = (0, 100, 1_000)
QUEUED = (0, 8, 512)
UNHEALTHY = (0, 43)
REPORTERS = 16  # members that have reported each node
ROUNDS = 40  # rounds of one measurement


def tick(suspects: int, rounds: int = 200) -> float:
    """Microseconds of one tick of a member that suspects `suspects` others."""
    from violetroute.sharing.members import Members
    from violetroute.sharing.wire import Rumor

    members = Members("me", "l", 1, "here", "", 1.0, ("seed",), random.Random(1), 0.0)
    for number in range(MEMBERS):
        members.add_member(Rumor(f"p{number}", "l", 1, "a", f"at{number}"), 0.0)
    for number in range(suspects):
        members.receive(0.05, "x", "l", 1, Rumor(f"p{number}", "l", 1, "s", by="x"))
    members._probe_at = 1e9
    now = 0.1
    start = time.process_time()
    for _ in range(rounds):
        members.tick(now)
        now += 0.05
    return (time.process_time() - start) / rounds * 1e6


def rumors(queued: int, rounds: int = 300) -> float:
    """Microseconds to add a rumor to `queued` others and choose those of one datagram.

    With 0 queued, no rumor is added.
    """
    from violetroute.sharing.rumors import Rumors
    from violetroute.sharing.wire import Rumor

    queue = Rumors()
    all_rumors = [Rumor(f"p{number}", "l", 1, "s", by="x") for number in range(600)]
    for rumor in all_rumors[:queued]:
        queue.add(rumor)
    start = time.process_time()
    for number in range(rounds):
        if queued:
            queue.add(all_rumors[number % min(600, 2 * queued)])
        queue.next(MEMBERS)
    return (time.process_time() - start) / rounds * 1e6


def gossip_round(unhealthy: int, failures: bool = True) -> float:
    """Microseconds of one round and of the outcomes and peer reports since the previous one.

    `unhealthy`: number of nodes at which all requests fail; without `failures` peers report none.
    """
    from snowstall import CacheState, Member, Result
    from violetroute.sharing.gossip import Rounds
    from violetroute.sharing.wire import HealthReport

    rng = random.Random(1)
    rounds = Rounds("a", True, 0.0, rng)
    nodes = range(1, NODES + 1)
    rounds.update_nodes([Member(node, CacheState.READY, started_at=1.0) for node in nodes])
    up = [f"m{number}" for number in range(MEMBERS)]
    for node in nodes:
        for reporter in range(REPORTERS):
            failed = 2.0 if failures and node <= unhealthy else 0.0
            rounds.receive(0.0, up[reporter], "a", HealthReport(node, 1, 2.6 - failed, failed), 0.0)
    now, used = 0.0, 0.0
    for _ in range(ROUNDS):
        now += 0.5
        start = time.process_time()
        for _ in range(5):  # emulated requests of this proxy
            node = rng.randrange(1, NODES + 1)
            rounds.record_attempt(now, node, Result.LATE if node <= unhealthy else Result.OK)
        for name in rng.sample(up[:REPORTERS], 2):
            for node in rng.sample(nodes, 24):
                failed = 2.0 if failures and node <= unhealthy else 0.0
                rounds.receive(now, name, "a", HealthReport(node, 1, 2.6 - failed, failed), 0.0)
        rounds.run_round(now, up, [], {}, False)
        used += time.process_time() - start
    return used / ROUNDS * 1e6


def median_of(measure: Callable[[], float], turns: int) -> float:
    """The median of `turns` measurements."""
    return round(statistics.median(measure() for _ in range(turns)), 1)


def main() -> None:
    """Print the median times in microseconds, of the checkout `--build`, as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=str(Path(__file__).parent.parent))
    parser.add_argument("--turns", type=int, default=3)
    options = parser.parse_args()
    sys.path.insert(0, options.build)
    turns = options.turns
    results = {
        "tick_us": {str(n): median_of(lambda n=n: tick(n), turns) for n in SUSPECTS},  # type: ignore[misc]
        "rumors_us": {str(n): median_of(lambda n=n: rumors(n), turns) for n in QUEUED},  # type: ignore[misc]
        "round_us": {str(n): median_of(lambda n=n: gossip_round(n), turns) for n in UNHEALTHY},  # type: ignore[misc]
    }
    print(json.dumps(results))


if __name__ == "__main__":
    main()
