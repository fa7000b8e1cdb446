"""Many gossip members on one virtual clock and one in-memory network.

Each member runs the daemon's code and sends the daemon's datagrams.  There are no client requests.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque

import msgspec

from limebridge.virtual import Kernel, VirtualLoop
from limebridge.virtual.session import isolated_run
from snowstall import LoadSample
from violetroute.membership import NodeAddresses
from violetroute.sharing import wire
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import SharingTable
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork

START_S = 1000.0  # initial value of the virtual clock
WALL_CLOCK = 1.7e9  # Unix time in s at the virtual clock's 0
FIRST_PORT = 20_000
DATAGRAM_DELAY_S = 0.0005  # s from one member to another
MAX_BACKOFF_MS = 1000.0
LOG_LEVEL = 50  # CRITICAL: suppresses the daemon's log
KEYS = wire.Keys([b"a key of a measurement"])
DEAD = "d"  # `state` of a `wire.Rumor` of a dead member


class Change(msgspec.Struct, frozen=True):
    """A change of state of a member, in the view of another member."""

    at: float  # virtual time
    name: str  # the member whose state has changed
    state: str  # as in `wire.Rumor`


class IdleProxy:
    """A proxy without requests, with the interface that `violetroute.sharing` uses."""

    def __init__(self) -> None:
        self.places = NodeAddresses()
        self.load_samples: deque[LoadSample] = deque()

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        """Ignore the reports of peers."""


class VirtualMembers:
    """Simulates the members of a fleet, which `add` and `add_all` start."""

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
        """Start one more member, with the first member as its only seed."""
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
        """Start the whole fleet; each member knows all others, as in a long-running fleet."""
        for _ in range(self.fleet_size):
            self.add()
        own = [member.members.own_rumor() for member in self.members]
        for member in self.members:
            for rumor in own:
                if rumor.name != member.name:
                    member.members.add_member(rumor, self.kernel.now)

    def rumor(self, number: int) -> wire.Rumor:
        """The rumor that member `number` sends about itself; the member need not run."""
        started_ms = round(WALL_CLOCK * 1000.0)
        return wire.Rumor(
            member_name(number), life_nonce(number), started_ms, "a", member_address(number), "a"
        )

    def introduce(self, to: Sharing, number: int) -> None:
        """Pass to member `to` a first datagram of member `number`, which need not run."""
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
        """Run all members for `seconds` of virtual time."""
        with isolated_run(LOG_LEVEL):
            self.loop.run_until_complete(asyncio.sleep(seconds))

    def kill(self, member: Sharing) -> None:
        """Stop a member as a crash does: the others are not notified."""
        member._timer.cancel()
        member._socket.close()

    def _watch_changes(self, sharing: Sharing) -> None:
        """Record in `changes` each change of state that this member sees."""
        original = sharing.members._changed

        def record_change(member: str, state: str, previous: str) -> None:
            self.changes.append(Change(self.kernel.now, member, state))
            original(member, state, previous)

        sharing.members._changed = record_change


def member_name(number: int) -> str:
    """The name of member `number`, about as long as a host name."""
    return f"proxy-{number:05d}"


def life_nonce(number: int) -> str:
    """The nonce that distinguishes this process of member `number` from later ones."""
    return random.Random(number).randbytes(6).hex()


def member_address(number: int) -> str:
    """The address of member `number` as host:port."""
    return f"127.0.0.1:{FIRST_PORT + number}"
