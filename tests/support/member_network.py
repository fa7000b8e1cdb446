"""Members of the gossip on one clock, and a network in memory that delays and loses items."""

from __future__ import annotations

import random
from collections import Counter

from violetroute.sharing.members import Members
from violetroute.sharing.outgoing import Send
from violetroute.sharing.wire import ANTI_ENTROPY, Item, encode_item

TICK_S = 0.1
PERIOD_S = 1.0


class OldMembers(Members):
    """A member of a build without anti-entropy, which ignores its items and syncs by pages."""

    def receive(
        self, now: float, name: str, life: str, incarnation: int, item: Item, place: str = ""
    ) -> list[Send]:
        """Handle an item as the older build: anti-entropy items are unknown to it."""
        if isinstance(item, ANTI_ENTROPY):
            return []
        return super().receive(now, name, life, incarnation, item, place)


class MemberNetwork:
    """A fleet and its network; each item arrives one tick after it was sent, or is lost."""

    def __init__(self, loss: float = 0.0, seed: int = 1) -> None:
        self.now, self.loss, self._seed = 0.0, loss, seed
        self._rng = random.Random(seed)
        self.members: dict[str, Members] = {}  # by address, which equals the name
        self.passive: set[str] = set()  # addresses of members that only answer
        self.sent_bytes = Counter[str]()  # bytes of anti-entropy, by address
        self.received_bytes = Counter[str]()
        # All items of anti-entropy: sender, receiver, item.
        self.items: list[tuple[str, str, Item]] = []
        self._in_flight: list[tuple[Members, str, Item]] = []

    def start(
        self,
        name: str,
        life: str = "x",
        seeds: tuple[str, ...] = ("p0", "p1"),
        kind: type[Members] = Members,
    ) -> Members:
        """Start a process, which replaces an earlier one of its name; its address is the name."""
        member = kind(
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
        self.members[name] = member
        return member

    def start_connected(self, count: int, kind: type[Members] = Members, prefix: str = "p") -> None:
        """Start `count` members that all know each other."""
        for number in range(count):
            self.start(f"{prefix}{number}", kind=kind)
        for member in self.members.values():
            for other in self.members.values():
                if other is not member:
                    member.add_member(other.own_rumor(), self.now)

    def run(self, seconds: float) -> None:
        """Advance the clock, deliver items and tick the members."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            arriving, self._in_flight = self._in_flight, []
            for sender, address, item in arriving:
                self._deliver(sender, address, item)
            for address, member in list(self.members.items()):
                if address not in self.passive:
                    self._send(member, member.tick(self.now))

    def run_until_known(self, name: str, count: int, limit_s: float) -> float:
        """Run until a member knows `count` members, for at most `limit_s`; returns the seconds."""
        started_at = self.now
        while self.members[name].size < count and self.now - started_at < limit_s:
            self.run(TICK_S)
        return self.now - started_at

    def all_known(self) -> bool:
        """Whether each member knows the current process of every other one."""
        processes = [(member.name, member.life) for member in self.members.values()]
        return all(
            member.is_up(name, life) or name == member.name
            for member in self.members.values()
            for name, life in processes
        )

    def _send(self, sender: Members, sends: list[Send]) -> None:
        for send in sends:
            address = sender.lookup(send.to)[1] if send.to else send.place
            self._count(sender.name, address, send)
            if self._rng.random() >= self.loss:
                paced = all(isinstance(item, ANTI_ENTROPY) for item in send.items)
                rumors = () if paced else sender.rumors()
                self._in_flight += [(sender, address, item) for item in (*send.items, *rumors)]

    def _count(self, sender: str, address: str, send: Send) -> None:
        for item in send.items:
            if isinstance(item, ANTI_ENTROPY):
                size = len(encode_item(item))
                self.items.append((sender, address, item))
                self.sent_bytes[sender] += size
                self.received_bytes[address] += size

    def _deliver(self, sender: Members, address: str, item: Item) -> None:
        receiver = self.members.get(address)
        if receiver is not None:
            origin = sender.name  # the address equals the name
            answers = receiver.receive(
                self.now, sender.name, sender.life, sender.incarnation, item, origin
            )
            self._send(receiver, answers)
