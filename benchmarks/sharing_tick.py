"""CPU of the parts of the talk between proxies that run all the time, at the target's size.

    python benchmarks/sharing_tick.py [--build CHECKOUT] [--turns 3]

`tick`: microseconds of a tick of one of 2,600 members, by how many of them are suspected.
`rumors`: microseconds to choose the rumors of one datagram, by how many wait.
`round`: microseconds of a round that tells of 1,200 nodes, by how many of them are bad, and of one
with no word of trouble.  The median of so many turns; run two checkouts in turn to compare them.
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
WAITING = (0, 8, 512)
BAD = (0, 43)
MIN_WITNESSES = 16  # members that have told of each node
ROUNDS = 40  # of one measurement


def tick(suspects: int, rounds: int = 200) -> float:
    """Microseconds of one tick."""
    from violetroute.sharing.members import Members
    from violetroute.sharing.wire import Rumor

    members = Members("me", "l", 1, "here", "", 1.0, ("seed",), random.Random(1), 0.0)
    for number in range(MEMBERS):
        members.add_member(Rumor(f"p{number}", "l", 1, "a", f"at{number}"), 0.0)
    for number in range(suspects):
        members.receive(0.05, "x", "l", 1, Rumor(f"p{number}", "l", 1, "s", by="x"))
    members._probe_at = 1e9
    now = 0.1
    began = time.process_time()
    for _ in range(rounds):
        members.tick(now)
        now += 0.05
    return (time.process_time() - began) / rounds * 1e6


def rumors(waiting: int, rounds: int = 300) -> float:
    """Microseconds to choose those of one datagram, one new rumor having come."""
    from violetroute.sharing.rumors import Rumors
    from violetroute.sharing.wire import Rumor

    made = Rumors()
    all_of_them = [Rumor(f"p{number}", "l", 1, "s", by="x") for number in range(600)]
    for rumor in all_of_them[:waiting]:
        made.add(rumor)
    began = time.process_time()
    for number in range(rounds):
        if waiting:
            made.add(all_of_them[number % min(600, 2 * waiting)])
        made.next(MEMBERS)
    return (time.process_time() - began) / rounds * 1e6


def round_(bad: int, trouble: bool = True) -> float:
    """Microseconds of one round, with own outcomes and word of members since the one before."""
    from snowstall import CacheState, Member, Result
    from violetroute.sharing.gossip import Rounds
    from violetroute.sharing.wire import HealthReport

    chance = random.Random(1)
    rounds = Rounds("a", True, 0.0, chance)
    nodes = range(1, NODES + 1)
    rounds.update_nodes([Member(node, CacheState.READY, started_at=1.0) for node in nodes])
    up = [f"m{number}" for number in range(MEMBERS)]
    for node in nodes:
        for witness in range(MIN_WITNESSES):
            failed = 2.0 if trouble and node <= bad else 0.0
            rounds.receive(0.0, up[witness], "a", HealthReport(node, 1, 2.6 - failed, failed), 0.0)
    now, used = 0.0, 0.0
    for _ in range(ROUNDS):
        now += 0.5
        began = time.process_time()
        for _ in range(5):  # requests that a hollow proxy pretends
            node = chance.randrange(1, NODES + 1)
            rounds.record_attempt(now, node, Result.LATE if node <= bad else Result.OK)
        for name in chance.sample(up[:MIN_WITNESSES], 2):
            for node in chance.sample(nodes, 24):
                failed = 2.0 if trouble and node <= bad else 0.0
                rounds.receive(now, name, "a", HealthReport(node, 1, 2.6 - failed, failed), 0.0)
        rounds.run_round(now, up, [], {}, False)
        used += time.process_time() - began
    return used / ROUNDS * 1e6


def median(measure: Callable[[], float], turns: int) -> float:
    """Of so many turns."""
    return round(statistics.median(measure() for _ in range(turns)), 1)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=str(Path(__file__).parent.parent))
    parser.add_argument("--turns", type=int, default=3)
    given = parser.parse_args()
    sys.path.insert(0, given.build)
    turns = given.turns
    told = {
        "tick_us": {str(n): median(lambda n=n: tick(n), turns) for n in SUSPECTS},  # type: ignore[misc]
        "rumors_us": {str(n): median(lambda n=n: rumors(n), turns) for n in WAITING},  # type: ignore[misc]
        "round_us": {str(n): median(lambda n=n: round_(n), turns) for n in BAD},  # type: ignore[misc]
    }
    print(json.dumps(told))


if __name__ == "__main__":
    main()
