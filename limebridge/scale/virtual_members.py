"""Many members of the gossip on one virtual clock and one network in memory.

Every member is the daemon's own code with the daemon's own datagrams; there are no clients.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque

import msgspec

from limebridge.virtual import Kernel, VirtualLoop
from limebridge.virtual.session import quiet
from snowstall import LoadSample
from violetroute.membership import NodeAddresses
from violetroute.sharing import wire
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import SharingTable
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork

START_S = 1000.0  # s of the virtual clock
WALL_CLOCK = 1.7e9  # Unix s at the virtual clock's 0
FIRST_PORT = 20_000
DATAGRAM_DELAY_S = 0.0005  # s from one member to another
MAX_BACKOFF_MS = 1000.0
LOG_LEVEL = 50  # nothing of the daemon's log
KEYS = wire.Keys([b"a key of a measurement"])
DEAD = "d"  # the state of a member, as `wire.Rumor` has it


class Change(msgspec.Struct, frozen=True):
    """One member's view of another has changed."""

    at: float  # s of the virtual clock
    name: str
    state: str


class IdleProxy:
    """A proxy without requests, as `violetroute.sharing` sees it."""

    def __init__(self) -> None:
        self.places = NodeAddresses()
        self.load_samples: deque[LoadSample] = deque()

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        """What others met is not used here."""


class VirtualMembers:
    """So many members that know of each other, or none of them yet."""

    def __init__(self, fleet_size: int, probe_s: float = SharingTable().probe_s) -> None:
        self._probe_s = probe_s
        self.kernel = Kernel(1, start=START_S)
        self.kernel.datagram_delays = lambda owner, port: [DATAGRAM_DELAY_S]
        self.loop = VirtualLoop(self.kernel)
        self.fleet_size = fleet_size
        self.members: list[Sharing] = []
        self.hosts: list[IdleProxy] = []
        self.changes: list[Change] = []

    def add(self) -> Sharing:
        """Start one more member."""
        number = len(self.members)
        host = IdleProxy()
        network = SocketNetwork(
            self.loop,
            make=self.kernel.maker(member_name(number)),
            clock=lambda: WALL_CLOCK + self.kernel.now,
        )
        table = SharingTable(
            listen=member_address(number),
            proxies=self.fleet_size,
            seeds=(member_address(0),),
            probe_s=self._probe_s,
        )
        sharing = Sharing(
            table, KEYS, member_name(number), "a", MAX_BACKOFF_MS, network, host, life_nonce(number)
        )
        self._watch_changes(sharing)
        self.members.append(sharing)
        self.hosts.append(host)
        return sharing

    def add_all(self) -> None:
        """Start the whole fleet, each member knowing all others, as after a long time."""
        for _ in range(self.fleet_size):
            self.add()
        own = [member.members.own_rumor() for member in self.members]
        for member in self.members:
            for rumor in own:
                if rumor.name != member.name:
                    member.members.add_member(rumor, self.kernel.now)

    def rumor(self, number: int) -> wire.Rumor:
        """What a member that is only played would say of itself."""
        started_ms = round(WALL_CLOCK * 1000.0)
        return wire.Rumor(
            member_name(number), life_nonce(number), started_ms, "a", member_address(number), "a"
        )

    def introduce(self, to: Sharing, number: int) -> None:
        """A datagram of a member that is only played: `to` hears of it as of any other."""
        rumor = self.rumor(number)
        items = [wire.raw(wire.encode_item(item)) for item in (wire.Ping(number + 1), rumor)]
        envelope = wire.Envelope(
            rumor.name,
            rumor.life,
            rumor.incarnation,
            1,
            to.name,
            to.life,
            0,
            round((WALL_CLOCK + self.kernel.now) * 1000.0),
            items,
        )
        to.datagram(KEYS.seal(envelope), Address("127.0.0.1", FIRST_PORT + number))

    def run(self, seconds: float) -> None:
        """Let so much virtual time pass."""
        with quiet(LOG_LEVEL):
            self.loop.run_until_complete(asyncio.sleep(seconds))

    def kill(self, member: Sharing) -> None:
        """End a member without a word to the others."""
        member._timer.cancel()
        member._socket.close()

    def _watch_changes(self, sharing: Sharing) -> None:
        original = sharing.members._changed

        def record_change(member: str, state: str, previous: str) -> None:
            self.changes.append(Change(self.kernel.now, member, state))
            original(member, state, previous)

        sharing.members._changed = record_change


def member_name(number: int) -> str:
    """A member's name, about as long as a host's."""
    return f"proxy-{number:05d}"


def life_nonce(number: int) -> str:
    """What tells one process of a member from the next."""
    return random.Random(number).randbytes(6).hex()


def member_address(number: int) -> str:
    """Where a member is reached."""
    return f"127.0.0.1:{FIRST_PORT + number}"
