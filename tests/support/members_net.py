"""Members of the gossip on one clock and a network in memory that delays and loses items."""

from __future__ import annotations

import random
from collections import Counter

from violetroute.sharing.members import Members
from violetroute.sharing.outgoing import Send
from violetroute.sharing.wire import ANTI_ENTROPY, Item, encode_item

TICK_S = 0.1
PERIOD_S = 1.0


class OldMembers(Members):
    """A member of the build before anti-entropy: skips its items, walks through pages."""

    def receive(
        self, now: float, name: str, life: str, incarnation: int, item: Item, place: str = ""
    ) -> list[Send]:
        """As the older build, which does not know these kinds."""
        if isinstance(item, ANTI_ENTROPY):
            return []
        return super().receive(now, name, life, incarnation, item, place)


class Net:
    """A fleet; each item takes one tick to its receiver."""

    def __init__(self, loss: float = 0.0, seed: int = 1) -> None:
        self.now, self.loss, self._seed = 0.0, loss, seed
        self._draw = random.Random(seed)
        self.here: dict[str, Members] = {}  # by place
        self.idle: set[str] = set()  # places of members that only answer
        self.sent = Counter[str]()  # bytes of anti-entropy, by place
        self.got = Counter[str]()
        self.items: list[tuple[str, str, Item]] = []  # all of anti-entropy: from, to, item
        self._way: list[tuple[Members, str, Item]] = []

    def start(
        self,
        name: str,
        life: str = "x",
        seeds: tuple[str, ...] = ("p0", "p1"),
        kind: type[Members] = Members,
    ) -> Members:
        """A process, or the next one, at the place that is called as its name."""
        made = kind(
            name,
            life,
            1 + round(self.now * 1000.0),
            name,
            "",
            PERIOD_S,
            seeds,
            random.Random(f"{name}{life}{self._seed}"),
            self.now,
        )
        self.here[name] = made
        return made

    def settled(self, count: int, kind: type[Members] = Members, prefix: str = "p") -> None:
        """So many members that know each other."""
        for number in range(count):
            self.start(f"{prefix}{number}", kind=kind)
        for member in self.here.values():
            for other in self.here.values():
                if other is not member:
                    member.add_member(other.own_rumor(), self.now)

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            way, self._way = self._way, []
            for sender, place, item in way:
                self._deliver(sender, place, item)
            for place, member in list(self.here.items()):
                if place not in self.idle:
                    self._send(member, member.tick(self.now))

    def until_knows(self, name: str, count: int, most: float) -> float:
        """Seconds until this member's list has so many; `most` if it does not come to that."""
        began = self.now
        while self.here[name].size < count and self.now - began < most:
            self.run(TICK_S)
        return self.now - began

    def whole(self) -> bool:
        """Whether all know all by their present process."""
        lives = [(member.name, member.life) for member in self.here.values()]
        return all(
            member.is_up(name, life) or name == member.name
            for member in self.here.values()
            for name, life in lives
        )

    def _send(self, sender: Members, outs: list[Send]) -> None:
        for out in outs:
            place = sender.lookup(out.to)[1] if out.to else out.place
            self._count(sender.name, place, out)
            if self._draw.random() >= self.loss:
                paced = all(isinstance(item, ANTI_ENTROPY) for item in out.items)
                rumors = () if paced else sender.rumors()
                self._way += [(sender, place, item) for item in (*out.items, *rumors)]

    def _count(self, sender: str, place: str, out: Send) -> None:
        for item in out.items:
            if isinstance(item, ANTI_ENTROPY):
                size = len(encode_item(item))
                self.items.append((sender, place, item))
                self.sent[sender] += size
                self.got[place] += size

    def _deliver(self, sender: Members, place: str, item: Item) -> None:
        there = self.here.get(place)
        if there is not None:
            origin = sender.name  # places are called as names
            answers = there.receive(
                self.now, sender.name, sender.life, sender.incarnation, item, origin
            )
            self._send(there, answers)
