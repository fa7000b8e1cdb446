"""A leader's `InForceTracker`, three machines' `Sessions`, a dozen `Subscriber`s; simulated time.

The log's replication is modelled, not run: a leader commits at will until another one takes its
place, and knows (`as_of`) with some delay that no other one has committed anything.  Everything
else is the real code.  Each process has a clock of its own rate; messages are delayed, lost and
copied; processes are stopped and restarted; links are cut one by one.

After every step `check` compares what any leader has reported as in force with what every proxy
that believes itself fresh has applied.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

import msgspec

from violetroute.distribution.control_choice import ControlEndpoint, SubscriberSettings
from violetroute.distribution.in_force import InForceSettings, InForceTracker
from violetroute.distribution.messages import (
    Batch,
    LogPoint,
    Poll,
    PollReply,
    Report,
    ReportReply,
    Snapshot,
)
from violetroute.distribution.session import SessionSettings
from violetroute.distribution.sessions import PollAnswer, Sessions
from violetroute.distribution.subscriber import (
    SendPoll,
    Subscriber,
)

MACHINES = ("m0", "m1", "m2")
PROXIES = 12
CONTROLS = tuple(ControlEndpoint(name, f"r{index}") for index, name in enumerate(MACHINES))
REPORT_TIMEOUT_S = 1.0
STEP_S = 0.02


@dataclass(frozen=True)
class Fault:
    """Something that happens at `at` for `lasts` seconds.

    `kind`: stop or restart of process `target` (m0 to m2, p0 to p11, leader1, leader2), or a cut of
    the machine `target`: reports, fetches or polls, or reports_back and polls_back for replies.
    "end": the proxy `target` ends its session, lingers so long and is followed by a new process.
    """

    at: float
    kind: str
    target: str
    lasts: float = 0.0


@dataclass(frozen=True)
class Plan:
    """One run.  `change_at`: when a majority promises to follow the second leader."""

    seed: int = 0
    lasts: float = 12.0
    change_at: float = 1e9
    takeover_s: float = 0.1  # until the second leader has committed its first batch
    follow_s: tuple[float, ...] = (0.1, 0.2, 0.3)  # until each machine follows it
    rates: tuple[float, ...] = ()  # of the clocks of leaders, machines and proxies, in turn
    loss: float = 0.01
    proxies: int = PROXIES
    lag_s: float = 0.1  # that a machine's log is behind its leader's, at most
    faults: tuple[Fault, ...] = ()


class Process:
    """A clock, and a time until which nothing of it runs."""

    def __init__(self, world: World, rate: float) -> None:
        self.world = world
        self._rate = rate
        self._offset = world.random.uniform(0, 1000)
        self.stopped_until = 0.0

    @property
    def now(self) -> float:
        return self.clock(self.world.time)

    def clock(self, time: float) -> float:
        return self._offset + time * self._rate


class Leader(Process):
    """Commits a batch now and then; answers reports."""

    def __init__(self, world: World, rate: float, fence: int) -> None:
        super().__init__(world, rate)
        self.fence = fence
        self.commit = 0
        self.known_at = 0.0  # no other leader had committed anything then
        self.in_force = InForceTracker(InForceSettings(), MACHINES, self.now)
        self.in_force_s: list[float] = []  # seconds from commit to in force
        self._committed_at: dict[int, float] = {}

    def write(self) -> None:
        if self.fence != self.world.fence:
            return  # no majority follows: nothing is committed
        self.world.batches.append(Batch(len(self.world.batches) + 1, self.fence, 0))
        self.commit = len(self.world.batches)
        self._committed_at[self.commit] = self.world.time
        contact_at = self.clock(self.world.plan.change_at) if self.fence > 1 else inf
        self.in_force.committed(self.now, self.commit, contact_at)

    def look(self) -> None:
        """Learn that a majority still followed a little while ago."""
        lag = self.world.random.uniform(0.01, 0.25)
        self.known_at = max(self.known_at, min(self.world.time - lag, self.world.deposed_at(self)))
        before = self.in_force.in_force
        self.in_force.tick(self.now, self.clock(self.known_at))
        for position in range(before + 1, self.in_force.in_force + 1):
            if position in self._committed_at:
                self.in_force_s.append(self.world.time - self._committed_at[position])

    def reported(self, report: Report) -> ReportReply:
        if not self.commit:
            return ReportReply(False, report.fence)
        as_of = self.clock(self.known_at)
        return self.in_force.reported(self.now, report, self.commit, as_of)


class Machine(Process):
    """One control machine: its part of the log, and its sessions."""

    def __init__(self, world: World, rate: float, name: str) -> None:
        super().__init__(world, rate)
        self.name = name
        self.log = "log"
        self.commit = 0
        self.base = LogPoint()
        self.fence = 1
        self.incarnation = 0
        self.clients: dict[int, Callable[[PollReply], None]] = {}
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.clients.clear()
        self.sessions = Sessions(
            SessionSettings(), self.name, f"i{self.incarnation}", self, self.world.random, self.now
        )
        self.sessions.set_ready(self.now, True)

    def after(self, position: int, max_bytes: int) -> list[msgspec.Raw] | None:
        return [
            msgspec.Raw(msgspec.msgpack.encode(batch))
            for batch in self.world.batches[position : self.commit]
        ]

    def bytes_after(self, position: int) -> int | None:
        return sum(map(len, map(memoryview, self.after(position, 0) or ())))

    def snapshot_at_commit(self) -> Snapshot:
        return Snapshot(self.world.batches[self.commit - 1].point)

    def fetch(self) -> None:
        """Take what the leader that is followed had committed a little while ago."""
        leader = self.world.leaders.get(self.fence)
        if leader is None or self.world.cut("fetches", self.name):
            return
        delay = self.world.random.uniform(0.005, self.world.plan.lag_s)
        self.world.later(delay, self, partial(self.take, self.incarnation, leader.commit))

    def take(self, incarnation: int, commit: int) -> None:
        if commit > self.commit and incarnation == self.incarnation:
            self.commit = commit
            self.answer(self.sessions.commit_advanced(self.now))

    def tick(self) -> None:
        self.answer(self.sessions.tick(self.now))
        report = self.sessions.next_report(self.now, self.fence)
        if report is not None:
            self.send(report)

    def send(self, report: Report) -> None:
        sessions, done = self.sessions, [False]

        def finish(reply: ReportReply | None) -> None:
            if not done[0] and sessions is self.sessions:
                done[0] = True
                self.answer(sessions.replied(self.now, report, reply))

        def deliver() -> None:
            if not self.world.cut("reports_back", self.name):
                reply = leader.reported(report)
                self.world.message(self, partial(finish, reply))
            else:
                leader.reported(report)

        leader = self.world.leaders.get(report.fence)
        self.world.later(REPORT_TIMEOUT_S, self, partial(finish, None))
        if leader is not None and not self.world.cut("reports", self.name):
            self.world.message(leader, deliver, copies=True)

    def polled(self, poll: Poll, client: Callable[[PollReply], None]) -> None:
        ticket = next(self.world.numbers)
        self.clients[ticket] = client
        self.answer(self.sessions.poll_received(self.now, ticket, poll))

    def answer(self, answers: list[PollAnswer]) -> None:
        for answered in answers:
            self.clients.pop(answered.ticket)(answered.reply)


class Proxy(Process):
    """One proxy, through its restarts."""

    def __init__(self, world: World, rate: float, name: str) -> None:
        super().__init__(world, rate)
        region = f"r{world.random.randrange(4)}"
        self.settings = SubscriberSettings(name, region, CONTROLS)
        self.asks = MACHINES[0]
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.asked: SendPoll | None = None
        self.subscriber = Subscriber(
            self.settings, f"i{self.incarnation}", self.world.random, self.now
        )

    def end_session(self) -> None:
        """Where it asked last; the answer to its poll before may still come."""
        poll = self.subscriber.end()
        machine = self.world.machines[self.asks]
        if not self.world.cut("polls", self.asks):
            action = partial(machine.polled, poll, lambda reply: None)
            self.world.message(machine, action, copies=True)

    def tick(self) -> None:
        self.subscriber.tick(self.now)
        if self.asked is not None:
            return
        ask = self.subscriber.next(self.now)
        if isinstance(ask, SendPoll):
            self.send(ask)

    def send(self, ask: SendPoll) -> None:
        self.asked, sent_at, machine = ask, self.now, self.world.machines[ask.address]
        self.asks = ask.address

        def finish(reply: PollReply | None) -> None:
            if self.asked is ask:
                self.asked = None
                self.subscriber.replied(self.now, sent_at, ask.address, reply)

        def client(reply: PollReply) -> None:
            if not self.world.cut("polls_back", ask.address):
                self.world.message(self, partial(finish, reply))

        self.world.later(ask.timeout_s, self, partial(finish, None))
        if not self.world.cut("polls", ask.address):
            self.world.message(machine, partial(machine.polled, ask.poll, client), copies=True)


class World:
    """All of it.  `run` ends with the plan, or with AssertionError from `check`.

    `notes_fresh_share`: keep the share of fresh proxies after each event in `fresh_share`.
    """

    def __init__(self, plan: Plan, notes_fresh_share: bool = False) -> None:
        self.plan = plan
        self._notes_fresh_share = notes_fresh_share
        self.random = Random(plan.seed)
        self.time = 0.0
        self.numbers = count(1)
        self.batches: list[Batch] = []
        self.fence = 1
        self.fresh_share: list[float] = []
        self._events: list[tuple[float, int, Process | None, Callable[[], None]]] = []
        self._cuts: dict[tuple[str, str], float] = {}
        rates = iter(plan.rates)
        self._rates = [next(rates, 1.0) for _ in range(2 + len(MACHINES) + plan.proxies)]
        self.leaders = {1: Leader(self, self._rates[0], 1)}
        self.machines = {
            name: Machine(self, rate, name)
            for name, rate in zip(MACHINES, self._rates[2:5], strict=True)
        }
        self.proxies = [
            Proxy(self, rate, f"p{index}") for index, rate in enumerate(self._rates[5:])
        ]

    def run(self) -> None:
        self._repeat(self.leaders[1], self.leaders[1].look)
        self.later(0.05, self.leaders[1], partial(self._write, self.leaders[1]))
        for machine in self.machines.values():
            self._repeat(machine, machine.tick)
            self._repeat(machine, machine.fetch)
        for proxy in self.proxies:
            self._repeat(proxy, proxy.tick)
        self.later(self.plan.change_at, None, self._change_leader)
        for fault in self.plan.faults:
            self.later(fault.at, None, partial(self._fault, fault))
        while self._events and self._events[0][0] <= self.plan.lasts:
            self.time, _, process, action = heappop(self._events)
            if process is not None and self.time < process.stopped_until:
                self._push(process.stopped_until, process, action)
                continue
            action()
            self.check()

    def check(self) -> None:
        """Whoever believes itself fresh has applied what any leader reports as in force."""
        in_force = max(leader.in_force.in_force for leader in self.leaders.values())
        for proxy in self.proxies:
            subscriber = proxy.subscriber
            applied = subscriber.position
            if applied < in_force and subscriber.fresh(proxy.now):
                raise AssertionError((self.time, proxy.settings.name, applied, in_force))
        if self._notes_fresh_share:
            fresh = sum(proxy.subscriber.fresh(proxy.now) for proxy in self.proxies)
            self.fresh_share.append(fresh / len(self.proxies))

    def later(self, delay: float, process: Process | None, action: Callable[[], None]) -> None:
        """Run `action` of the process after `delay`, or when it is no longer stopped."""
        self._push(self.time + delay, process, action)

    def message(self, to: Process, action: Callable[[], None], copies: bool = False) -> None:
        """Deliver after a delay, perhaps never, perhaps twice."""
        if self.random.random() < self.plan.loss:
            return
        for _ in range(2 if copies and self.random.random() < self.plan.loss else 1):
            slow = self.random.random() < self.plan.loss
            self.later(self.random.uniform(0.3, 3.0) if slow else self._delay(), to, action)

    def cut(self, kind: str, machine: str) -> bool:
        """Whether messages of this kind are cut off at the machine now."""
        return self.time < self._cuts.get((kind, machine), 0.0)

    def deposed_at(self, leader: Leader) -> float:
        """The latest time at which nobody else had committed anything."""
        return 1e9 if leader.fence == self.fence else self.plan.change_at

    def _delay(self) -> float:
        return self.random.uniform(0.002, 0.06)

    def _push(self, at: float, process: Process | None, action: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self.numbers), process, action))

    def _repeat(self, process: Process, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.later(self.random.uniform(0.5, 1.5) * STEP_S, process, again)

        self.later(self.random.uniform(0, STEP_S), process, again)

    def _write(self, leader: Leader) -> None:
        leader.write()
        self.later(self.random.uniform(0.02, 0.2), leader, partial(self._write, leader))

    def _change_leader(self) -> None:
        self.fence = 2
        self.later(self.plan.takeover_s, None, self._take_over)
        for machine, delay in zip(self.machines.values(), self.plan.follow_s, strict=True):
            self.later(delay, machine, partial(setattr, machine, "fence", 2))

    def _take_over(self) -> None:
        leader = Leader(self, self._rates[1], 2)
        self.leaders[2] = leader
        self._write(leader)
        self._repeat(leader, leader.look)

    def _fault(self, fault: Fault) -> None:
        until = self.time + fault.lasts
        if fault.kind == "end":
            proxy = self.proxies[int(fault.target[1:]) % len(self.proxies)]
            proxy.end_session()
            self.later(fault.lasts, proxy, proxy.start)
            return
        if fault.kind not in ("stop", "restart"):
            self._cuts[fault.kind, fault.target] = until
            return
        process = self._process(fault.target)
        if process is None:
            return
        process.stopped_until = max(process.stopped_until, until)
        if fault.kind == "restart" and isinstance(process, Machine | Proxy):
            self.later(0.0, process, process.start)

    def _process(self, name: str) -> Process | None:
        if name.startswith("leader"):
            return self.leaders.get(int(name[-1]))
        if name in self.machines:
            return self.machines[name]
        return self.proxies[int(name[1:]) % len(self.proxies)]
