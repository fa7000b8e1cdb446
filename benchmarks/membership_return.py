"""How membership comes back: after a restart of a whole fleet, and at a newcomer with loss.

    python benchmarks/membership_return.py restart --count 650   # all within 10 s
    python benchmarks/membership_return.py join --count 1300 --loss 0.01   # five newcomers

Members are the daemon's own code on one virtual clock and one network in memory.  Bytes are those
of the datagrams, sent and received, without the headers of UDP and IP.  Prints one JSON document.
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
LOOKS_S = (5, 10, 20, 40, 60, 90)  # after the last restart
LEAST_S = 40  # s after it; what follows is played only where some do not know all yet
NEWCOMERS, NEWCOMER_EVERY_S = 5, 1.0
JOIN_LOOKS_S = (5, 10, 20, 30, 40, 60, 90)


class CountedMembers(VirtualMembers):
    """A fleet whose members can be restarted, on a network that loses datagrams."""

    def __init__(self, size: int, loss: float = 0.0, seed: int = 1) -> None:
        super().__init__(size)
        draw = random.Random(seed)
        self.received: dict[str, int] = {}  # bytes, by name and life
        self._salt = seed
        self.kernel.datagram_delays = lambda owner, port: (
            [] if draw.random() < loss else [DATAGRAM_DELAY_S]
        )

    def add(self) -> Sharing:
        """Start one more member, whose bytes are counted."""
        return self.count_bytes(super().add())

    def count_bytes(self, sharing: Sharing) -> Sharing:
        """Count what this member receives from now on."""
        receive, key = sharing.datagram, f"{sharing.name}/{sharing.life}"
        self.received[key] = 0

        def counted(data: bytes, origin: Address) -> None:
            self.received[key] += len(data)
            receive(data, origin)

        sharing.datagram = counted  # type: ignore[method-assign]
        return sharing

    def restart(self, number: int) -> None:
        """End a member as a daemon does that is told to, and start it anew."""
        old = self.members[number]
        old.close()
        again = Sharing(
            old.table,
            old._keys,
            old.name,
            "a",
            old.max_backoff,
            old._net,
            self.hosts[number],
            random.Random(f"{number} again {self._salt}").randbytes(6).hex(),
        )
        self.members[number] = self.count_bytes(again)

    def bytes_each(self) -> dict[str, int]:
        """Bytes that each process has sent and received."""
        return {
            (key := f"{member.name}/{member.life}"): member.bytes_sent + self.received[key]
            for member in self.members
        }

    def known_to(self, sharing: Sharing) -> int:
        """Members, this one with it, that it knows by their present process."""
        lives = [(member.name, member.life) for member in self.members]
        return 1 + sum(sharing.members.is_up(name, life) for name, life in lives)


class Rates:
    """The bytes of each member in each second of a run."""

    def __init__(self, fleet: CountedMembers) -> None:
        self._fleet, self._before = fleet, fleet.bytes_each()
        self.means: list[float] = []
        self.largest: list[int] = []

    def second(self) -> None:
        """One second has passed."""
        now = self._fleet.bytes_each()
        used = [total - self._before.get(key, 0) for key, total in now.items()]
        self._before = now
        self.means.append(statistics.fmean(used))
        self.largest.append(max(used))

    def told(self) -> dict[str, Any]:
        """Means over the members, of all seconds and of the one with most; the largest member."""
        return {
            "mean": round(statistics.fmean(self.means)),
            "busiest_second": round(max(self.means)),
            "largest_of_one": max(self.largest),
            "last_second": round(self.means[-1]),
        }


def restart_all(count: int, seed: int) -> dict[str, Any]:
    """Every member is restarted within RESTART_WITHIN_S, in a random order."""
    fleet = CountedMembers(count, seed=seed)
    fleet.add_all()
    fleet.run(SETTLE_S)
    draw = random.Random(seed)
    at = fleet.kernel.now
    order = draw.sample(range(count), count)
    for number, when in zip(order, sorted(draw.random() for _ in order), strict=True):
        fleet.kernel.at(at + when * RESTART_WITHIN_S, partial(fleet.restart, number))
    rates = Rates(fleet)
    for _ in range(round(RESTART_WITHIN_S)):
        fleet.run(1.0)
        rates.second()
    looks: dict[int, dict[str, Any]] = {}
    for second in range(1, LOOKS_S[-1] + 1):
        fleet.run(1.0)
        rates.second()
        if second in LOOKS_S:
            known = [fleet.known_to(member) for member in fleet.members]
            looks[second] = {
                "mean": round(statistics.fmean(known), 1),
                "fewest": min(known),
                "all": sum(each == count for each in known),
            }
            looks[second]["bytes_per_s"] = rates.told()
            if second >= LEAST_S and min(known) == count:
                break
    return {"restart": count, "seed": seed, "after_s": looks}


def join(count: int, loss: float, seed: int) -> dict[str, Any]:
    """Newcomers, one after another, join a fleet that has run for long."""
    fleet = CountedMembers(count, loss, seed)
    fleet.add_all()
    fleet.run(SETTLE_S)
    began = {}
    for _ in range(NEWCOMERS):
        newcomer = fleet.add()
        began[newcomer.name] = fleet.kernel.now
        fleet.run(NEWCOMER_EVERY_S)
    newcomers = fleet.members[count:]
    known: dict[str, dict[int, int]] = {each.name: {} for each in newcomers}
    whole: dict[str, float | None] = {each.name: None for each in newcomers}
    for _ in range(JOIN_LOOKS_S[-1] + NEWCOMERS):
        for each in newcomers:
            age = round(fleet.kernel.now - began[each.name])
            size = each.members.size
            if age in JOIN_LOOKS_S:
                known[each.name][age] = size
            if whole[each.name] is None and size == count + NEWCOMERS:
                whole[each.name] = age
        if None not in whole.values():
            break
        fleet.run(1.0)
    return {
        "join": count,
        "loss": loss,
        "seed": seed,
        "knows_all_after_s": [*whole.values()],
        "known": {
            look: sorted(each[look] for each in known.values() if look in each)
            for look in JOIN_LOOKS_S
        },
    }


def main(arguments: Sequence[str] | None = None) -> None:
    """Play one of the two and print what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("restart", "join"))
    parser.add_argument("--count", type=int, default=650)
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args(arguments)
    if asked.what == "restart":
        seen = restart_all(asked.count, asked.seed)
    else:
        seen = join(asked.count, asked.loss, asked.seed)
    seen["cpu_s"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_utime, 1)
    print(json.dumps(seen))


if __name__ == "__main__":
    main()
