"""How long members need to know the whole fleet: after a restart of all, and as newcomers.

    python benchmarks/membership_return.py restart --count 650            # all within 10 s
    python benchmarks/membership_return.py join --count 1300 --loss 0.01   # five newcomers

Members run the daemon's own code on one virtual clock and one in-memory network.  Bytes are those
of datagrams, sent and received, without the headers of UDP and IP.  Prints one JSON document.
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import statistics
from collections.abc import Sequence
from functools import partial
from typing import Any

from limebridge.scale.virtual_members import DATAGRAM_DELAY_S, VirtualMembers
from violetroute.sharing.service import Sharing
from violetroute.transport import Address

SETTLE_S = 5.0
RESTART_WITHIN_S = 10.0
OBSERVED_S = (5, 10, 20, 40, 60, 90)  # s after the end of the restarts
MIN_RUN_S = 40  # s after that; the run continues only while some member does not know all others
NEWCOMERS, NEWCOMER_EVERY_S = 5, 1.0
JOIN_OBSERVED_S = (5, 10, 20, 30, 40, 60, 90)  # s after a newcomer's start


class CountedMembers(VirtualMembers):
    """A fleet whose members can be restarted, on a network that loses datagrams."""

    def __init__(self, size: int, loss: float = 0.0, seed: int = 1) -> None:
        super().__init__(size)
        rng = random.Random(seed)
        self.received: dict[str, int] = {}  # bytes, by name and nonce of the process
        self._salt = seed
        self.kernel.datagram_delays = lambda owner, port: (
            [] if rng.random() < loss else [DATAGRAM_DELAY_S]
        )

    def add(self) -> Sharing:
        """Start one more member, whose bytes are counted."""
        return self.count_bytes(super().add())

    def count_bytes(self, sharing: Sharing) -> Sharing:
        """Count what this member receives from now on."""
        receive, key = sharing.datagram, f"{sharing.name}/{sharing.life}"
        self.received[key] = 0

        def count_and_receive(data: bytes, origin: Address) -> None:
            self.received[key] += len(data)
            receive(data, origin)

        sharing.datagram = count_and_receive  # type: ignore[method-assign]
        return sharing

    def restart(self, number: int) -> None:
        """Stop a member as a daemon does at a regular exit, and start it with a new nonce."""
        old = self.members[number]
        old.close()
        restarted = Sharing(
            old.table,
            old._keys,
            old.name,
            "a",
            old.max_backoff,
            old._net,
            self.hosts[number],
            random.Random(f"{number} again {self._salt}").randbytes(6).hex(),
        )
        self.members[number] = self.count_bytes(restarted)

    def bytes_each(self) -> dict[str, int]:
        """Bytes that each current process has sent and received, by name and nonce."""
        return {
            (key := f"{member.name}/{member.life}"): member.bytes_sent + self.received[key]
            for member in self.members
        }

    def known_to(self, sharing: Sharing) -> int:
        """Number of members, including itself, whose current process this member knows as up."""
        lives = [(member.name, member.life) for member in self.members]
        return 1 + sum(sharing.members.is_up(name, life) for name, life in lives)


class ByteRates:
    """Statistics of the bytes per member and second, updated once a second."""

    def __init__(self, fleet: CountedMembers) -> None:
        self._fleet, self._previous = fleet, fleet.bytes_each()
        self.means: list[float] = []
        self.largest: list[int] = []

    def record_second(self) -> None:
        """Add the second that has just passed."""
        now = self._fleet.bytes_each()
        used = [total - self._previous.get(key, 0) for key, total in now.items()]
        self._previous = now
        self.means.append(statistics.fmean(used))
        self.largest.append(max(used))

    def summary(self) -> dict[str, Any]:
        """Mean bytes per member and second: of the run, of its busiest and of its last second.

        `largest_of_one`: the most of a single member in one second.
        """
        return {
            "mean": round(statistics.fmean(self.means)),
            "busiest_second": round(max(self.means)),
            "largest_of_one": max(self.largest),
            "last_second": round(self.means[-1]),
        }


def restart_all(count: int, seed: int) -> dict[str, Any]:
    """Restart all members within RESTART_WITHIN_S in a random order; how many each knows later."""
    fleet = CountedMembers(count, seed=seed)
    fleet.add_all()
    fleet.run(SETTLE_S)
    rng = random.Random(seed)
    began = fleet.kernel.now
    order = rng.sample(range(count), count)
    for number, when in zip(order, sorted(rng.random() for _ in order), strict=True):
        fleet.kernel.at(began + when * RESTART_WITHIN_S, partial(fleet.restart, number))
    rates = ByteRates(fleet)
    for _ in range(round(RESTART_WITHIN_S)):
        fleet.run(1.0)
        rates.record_second()
    observations: dict[int, dict[str, Any]] = {}
    for second in range(1, OBSERVED_S[-1] + 1):
        fleet.run(1.0)
        rates.record_second()
        if second in OBSERVED_S:
            known = [fleet.known_to(member) for member in fleet.members]
            observations[second] = {
                "mean": round(statistics.fmean(known), 1),
                "fewest": min(known),
                "all": sum(each == count for each in known),
            }
            observations[second]["bytes_per_s"] = rates.summary()
            if second >= MIN_RUN_S and min(known) == count:
                break
    return {"restart": count, "seed": seed, "after_s": observations}


def join(count: int, loss: float, seed: int) -> dict[str, Any]:
    """Add NEWCOMERS members, one after another, to a long-running fleet.

    Returns when each of them knew all members, and how many each knew at JOIN_OBSERVED_S.
    """
    fleet = CountedMembers(count, loss, seed)
    fleet.add_all()
    fleet.run(SETTLE_S)
    joined_at = {}
    for _ in range(NEWCOMERS):
        newcomer = fleet.add()
        joined_at[newcomer.name] = fleet.kernel.now
        fleet.run(NEWCOMER_EVERY_S)
    newcomers = fleet.members[count:]
    known: dict[str, dict[int, int]] = {each.name: {} for each in newcomers}
    complete_after: dict[str, float | None] = {each.name: None for each in newcomers}
    for _ in range(JOIN_OBSERVED_S[-1] + NEWCOMERS):
        for each in newcomers:
            age = round(fleet.kernel.now - joined_at[each.name])
            size = each.members.size
            if age in JOIN_OBSERVED_S:
                known[each.name][age] = size
            if complete_after[each.name] is None and size == count + NEWCOMERS:
                complete_after[each.name] = age
        if None not in complete_after.values():
            break
        fleet.run(1.0)
    return {
        "join": count,
        "loss": loss,
        "seed": seed,
        "knows_all_after_s": [*complete_after.values()],
        "known": {
            second: sorted(each[second] for each in known.values() if second in each)
            for second in JOIN_OBSERVED_S
        },
    }


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one of the two measurements and print its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("restart", "join"))
    parser.add_argument("--count", type=int, default=650)
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    if options.what == "restart":
        result = restart_all(options.count, options.seed)
    else:
        result = join(options.count, options.loss, options.seed)
    result["cpu_s"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_utime, 1)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
