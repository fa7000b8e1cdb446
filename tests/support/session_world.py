"""Simulates a leader's `InForceTracker`, three machines' `Sessions` and a dozen `Subscriber`s.

The replication of the log is modelled and not run: a leader commits at any time until another one
replaces it, and learns with some delay (`as_of`) that no other one has committed anything.
Everything else is the real code.  Each process has a clock with its own rate.  Messages are
delayed, lost and copied, processes are stopped and restarted, and links are cut one by one.

After every step `check` compares what any leader has reported as in force with what each proxy that
considers itself fresh has applied.
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
    """A fault from `at` on for `lasts` seconds.

    `kind`: stop or restart of process `target` (m0 to m2, p0 to p11, leader1, leader2), or a cut of
    the machine `target`: reports, fetches or polls, or reports_back and polls_back for replies.
    "end": the proxy `target` ends its session, and a new process replaces it after `lasts`.
    """

    at: float
    kind: str
    target: str
    lasts: float = 0.0


@dataclass(frozen=True)
class Plan:
    """One run.  `change_at`: time from which a majority follows the second leader."""

    seed: int = 0
    lasts: float = 12.0
    change_at: float = 1e9
    takeover_s: float = 0.1  # delay of the first batch of the second leader
    follow_s: tuple[float, ...] = (0.1, 0.2, 0.3)  # delays until the machines follow it
    rates: tuple[float, ...] = ()  # of the clocks of leaders, machines and proxies, in turn
    loss: float = 0.01
    proxies: int = PROXIES
    lag_s: float = 0.1  # the most by which a machine's log lags behind its leader's
    faults: tuple[Fault, ...] = ()


class Process:
    """A process with its own clock; it does nothing before `stopped_until`."""

    def __init__(self, world: World, rate: float) -> None:
        self.world = world
        self._rate = rate
        self._offset = world.random.uniform(0, 1000)
        self.stopped_until = 0.0

    @property
    def now(self) -> float:
        """Current time in s of the clock of this process."""
        return self.clock(self.world.time)

    def clock(self, time: float) -> float:
        """The time of this process's clock at a time of the simulation."""
        return self._offset + time * self._rate


class Leader(Process):
    """A leader: commits batches at random times and answers reports."""

    def __init__(self, world: World, rate: float, fence: int) -> None:
        super().__init__(world, rate)
        self.fence = fence
        self.commit = 0
        self.exclusive_until = 0.0  # no other leader had committed anything up to this time
        self.in_force = InForceTracker(InForceSettings(), MACHINES, self.now)
        self.in_force_s: list[float] = []  # seconds from commit to in force
        self._committed_at: dict[int, float] = {}

    def commit_batch(self) -> None:
        """Commit a batch, unless another leader has replaced this one."""
        if self.fence != self.world.fence:
            return  # a replaced leader has no majority, so it cannot commit
        self.world.batches.append(Batch(len(self.world.batches) + 1, self.fence, 0))
        self.commit = len(self.world.batches)
        self._committed_at[self.commit] = self.world.time
        contact_at = self.clock(self.world.plan.change_at) if self.fence > 1 else inf
        self.in_force.committed(self.now, self.commit, contact_at)

    def observe_majority(self) -> None:
        """Learn that a majority still followed a short time ago, and update what is in force."""
        lag = self.world.random.uniform(0.01, 0.25)
        self.exclusive_until = max(
            self.exclusive_until, min(self.world.time - lag, self.world.deposed_at(self))
        )
        before = self.in_force.in_force
        self.in_force.tick(self.now, self.clock(self.exclusive_until))
        for position in range(before + 1, self.in_force.in_force + 1):
            if position in self._committed_at:
                self.in_force_s.append(self.world.time - self._committed_at[position])

    def handle_report(self, report: Report) -> ReportReply:
        """Handle a machine's report; returns the reply."""
        if not self.commit:
            return ReportReply(False, report.fence)
        as_of = self.clock(self.exclusive_until)
        return self.in_force.reported(self.now, report, self.commit, as_of)


class Machine(Process):
    """A control machine: its copy of the log, and its sessions with proxies."""

    def __init__(self, world: World, rate: float, name: str) -> None:
        super().__init__(world, rate)
        self.name = name
        self.log = "log"
        self.commit = 0
        self.base = LogPoint()
        self.fence = 1
        self.incarnation = 0
        self.reply_callbacks: dict[int, Callable[[PollReply], None]] = {}
        self.start()

    def start(self) -> None:
        """Start a new process, with the log and without sessions."""
        self.incarnation += 1
        self.reply_callbacks.clear()
        self.sessions = Sessions(
            SessionSettings(), self.name, f"i{self.incarnation}", self, self.world.random, self.now
        )
        self.sessions.set_ready(self.now, True)

    def after(self, position: int, max_bytes: int) -> list[msgspec.Raw] | None:
        """The committed batches after a position, encoded; called by `Sessions`."""
        return [
            msgspec.Raw(msgspec.msgpack.encode(batch))
            for batch in self.world.batches[position : self.commit]
        ]

    def bytes_after(self, position: int) -> int | None:
        """The size of these batches; called by `Sessions`."""
        return sum(map(len, map(memoryview, self.after(position, 0) or ())))

    def snapshot_at_commit(self) -> Snapshot:
        """A snapshot at the last committed position; called by `Sessions`."""
        return Snapshot(self.world.batches[self.commit - 1].point)

    def fetch(self) -> None:
        """Copy the committed log of the current leader, with a delay of up to `lag_s`."""
        leader = self.world.leaders.get(self.fence)
        if leader is None or self.world.is_cut("fetches", self.name):
            return
        delay = self.world.random.uniform(0.005, self.world.plan.lag_s)
        self.world.schedule(
            delay, self, partial(self.handle_fetch_reply, self.incarnation, leader.commit)
        )

    def handle_fetch_reply(self, incarnation: int, commit: int) -> None:
        """Handle the reply to a fetch, unless this process was restarted since."""
        if commit > self.commit and incarnation == self.incarnation:
            self.commit = commit
            self.send_answers(self.sessions.commit_advanced(self.now))

    def tick(self) -> None:
        """Run the timers, and send a report if one is due."""
        self.send_answers(self.sessions.tick(self.now))
        report = self.sessions.next_report(self.now, self.fence)
        if report is not None:
            self.send(report)

    def send(self, report: Report) -> None:
        """Send a report to its leader; the reply may be lost, or come after the timeout."""
        sessions, finished = self.sessions, [False]

        def finish(reply: ReportReply | None) -> None:
            if not finished[0] and sessions is self.sessions:
                finished[0] = True
                self.send_answers(sessions.replied(self.now, report, reply))

        def deliver() -> None:
            if not self.world.is_cut("reports_back", self.name):
                reply = leader.handle_report(report)
                self.world.deliver_later(self, partial(finish, reply))
            else:
                leader.handle_report(report)

        leader = self.world.leaders.get(report.fence)
        self.world.schedule(REPORT_TIMEOUT_S, self, partial(finish, None))
        if leader is not None and not self.world.is_cut("reports", self.name):
            self.world.deliver_later(leader, deliver, copies=True)

    def handle_poll(self, poll: Poll, on_reply: Callable[[PollReply], None]) -> None:
        """Handle a poll; `on_reply` is called with the reply."""
        ticket = next(self.world.counter)
        self.reply_callbacks[ticket] = on_reply
        self.send_answers(self.sessions.poll_received(self.now, ticket, poll))

    def send_answers(self, answers: list[PollAnswer]) -> None:
        """Send the answers of `Sessions` to the proxies."""
        for answer in answers:
            self.reply_callbacks.pop(answer.ticket)(answer.reply)


class Proxy(Process):
    """A proxy under one name; its process may be restarted."""

    def __init__(self, world: World, rate: float, name: str) -> None:
        super().__init__(world, rate)
        region = f"r{world.random.randrange(4)}"
        self.settings = SubscriberSettings(name, region, CONTROLS)
        self.machine_name = MACHINES[0]
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Start a new process."""
        self.incarnation += 1
        self.pending_poll: SendPoll | None = None
        self.subscriber = Subscriber(
            self.settings, f"i{self.incarnation}", self.world.random, self.now
        )

    def end_session(self) -> None:
        """End the session at the machine polled last; a reply to the last poll may still come."""
        poll = self.subscriber.end()
        machine = self.world.machines[self.machine_name]
        if not self.world.is_cut("polls", self.machine_name):
            action = partial(machine.handle_poll, poll, lambda reply: None)
            self.world.deliver_later(machine, action, copies=True)

    def tick(self) -> None:
        """Run the timers, and send a poll if one is due and none is pending."""
        self.subscriber.tick(self.now)
        if self.pending_poll is not None:
            return
        send_poll = self.subscriber.next(self.now)
        if isinstance(send_poll, SendPoll):
            self.send(send_poll)

    def send(self, send_poll: SendPoll) -> None:
        """Send a poll; its reply may be lost, or come after the timeout."""
        self.pending_poll, sent_at, machine = (
            send_poll,
            self.now,
            self.world.machines[send_poll.address],
        )
        self.machine_name = send_poll.address

        def finish(reply: PollReply | None) -> None:
            if self.pending_poll is send_poll:
                self.pending_poll = None
                self.subscriber.replied(self.now, sent_at, send_poll.address, reply)

        def on_reply(reply: PollReply) -> None:
            if not self.world.is_cut("polls_back", send_poll.address):
                self.world.deliver_later(self, partial(finish, reply))

        self.world.schedule(send_poll.timeout_s, self, partial(finish, None))
        if not self.world.is_cut("polls", send_poll.address):
            self.world.deliver_later(
                machine, partial(machine.handle_poll, send_poll.poll, on_reply), copies=True
            )


class World:
    """The simulation of one plan.

    `record_fresh_share`: append the share of fresh proxies after each event to `fresh_share`.
    """

    def __init__(self, plan: Plan, record_fresh_share: bool = False) -> None:
        self.plan = plan
        self._record_fresh_share = record_fresh_share
        self.random = Random(plan.seed)
        self.time = 0.0
        self.counter = count(1)
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
        """Run to the end of the plan.  Raises AssertionError if `check` fails."""
        self._repeat(self.leaders[1], self.leaders[1].observe_majority)
        self.schedule(0.05, self.leaders[1], partial(self._commit_repeatedly, self.leaders[1]))
        for machine in self.machines.values():
            self._repeat(machine, machine.tick)
            self._repeat(machine, machine.fetch)
        for proxy in self.proxies:
            self._repeat(proxy, proxy.tick)
        self.schedule(self.plan.change_at, None, self._change_leader)
        for fault in self.plan.faults:
            self.schedule(fault.at, None, partial(self._apply_fault, fault))
        while self._events and self._events[0][0] <= self.plan.lasts:
            self.time, _, process, action = heappop(self._events)
            if process is not None and self.time < process.stopped_until:
                self._push(process.stopped_until, process, action)
                continue
            action()
            self.check()

    def check(self) -> None:
        """Check that each proxy that considers itself fresh has applied what is in force."""
        in_force = max(leader.in_force.in_force for leader in self.leaders.values())
        for proxy in self.proxies:
            subscriber = proxy.subscriber
            applied = subscriber.position
            if applied < in_force and subscriber.fresh(proxy.now):
                raise AssertionError((self.time, proxy.settings.name, applied, in_force))
        if self._record_fresh_share:
            fresh = sum(proxy.subscriber.fresh(proxy.now) for proxy in self.proxies)
            self.fresh_share.append(fresh / len(self.proxies))

    def schedule(self, delay: float, process: Process | None, action: Callable[[], None]) -> None:
        """Run an action of a process after `delay`, or when the process is no longer stopped."""
        self._push(self.time + delay, process, action)

    def deliver_later(self, to: Process, action: Callable[[], None], copies: bool = False) -> None:
        """Deliver a message after a delay; it may be lost, and with `copies` duplicated."""
        if self.random.random() < self.plan.loss:
            return
        for _ in range(2 if copies and self.random.random() < self.plan.loss else 1):
            slow = self.random.random() < self.plan.loss
            self.schedule(self.random.uniform(0.3, 3.0) if slow else self._delay(), to, action)

    def is_cut(self, kind: str, machine: str) -> bool:
        """Whether messages of this kind, to or from a machine, are blocked now."""
        return self.time < self._cuts.get((kind, machine), 0.0)

    def deposed_at(self, leader: Leader) -> float:
        """The latest time up to which no leader but this one can have committed anything."""
        return 1e9 if leader.fence == self.fence else self.plan.change_at

    def _delay(self) -> float:
        return self.random.uniform(0.002, 0.06)

    def _push(self, at: float, process: Process | None, action: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self.counter), process, action))

    def _repeat(self, process: Process, action: Callable[[], None]) -> None:
        def run_and_repeat() -> None:
            action()
            self.schedule(self.random.uniform(0.5, 1.5) * STEP_S, process, run_and_repeat)

        self.schedule(self.random.uniform(0, STEP_S), process, run_and_repeat)

    def _commit_repeatedly(self, leader: Leader) -> None:
        leader.commit_batch()
        self.schedule(
            self.random.uniform(0.02, 0.2), leader, partial(self._commit_repeatedly, leader)
        )

    def _change_leader(self) -> None:
        self.fence = 2
        self.schedule(self.plan.takeover_s, None, self._take_over)
        for machine, delay in zip(self.machines.values(), self.plan.follow_s, strict=True):
            self.schedule(delay, machine, partial(setattr, machine, "fence", 2))

    def _take_over(self) -> None:
        leader = Leader(self, self._rates[1], 2)
        self.leaders[2] = leader
        self._commit_repeatedly(leader)
        self._repeat(leader, leader.observe_majority)

    def _apply_fault(self, fault: Fault) -> None:
        until = self.time + fault.lasts
        if fault.kind == "end":
            proxy = self.proxies[int(fault.target[1:]) % len(self.proxies)]
            proxy.end_session()
            self.schedule(fault.lasts, proxy, proxy.start)
            return
        if fault.kind not in ("stop", "restart"):
            self._cuts[fault.kind, fault.target] = until
            return
        process = self._process(fault.target)
        if process is None:
            return
        process.stopped_until = max(process.stopped_until, until)
        if fault.kind == "restart" and isinstance(process, Machine | Proxy):
            self.schedule(0.0, process, process.start)

    def _process(self, name: str) -> Process | None:
        if name.startswith("leader"):
            return self.leaders.get(int(name[-1]))
        if name in self.machines:
            return self.machines[name]
        return self.proxies[int(name[1:]) % len(self.proxies)]
