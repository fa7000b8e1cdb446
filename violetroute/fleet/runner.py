"""Runs leader election in the daemon: timers, calls to the store, starting and stopping works.

`election` and `assignment` decide; this file performs their actions by these rules:

- at most one poll is pending, and at most one call for each work;
- renewals that are due are sent together, so many works cost one call;
- a work begins after its lease was granted, and is stopped before anything else happens about an
  ended term; a lease is released once all effects of the work are over.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from violetroute import logs
from violetroute.transport import Network

from . import assignment
from .election import (
    Acquire,
    Action,
    LeaderElector,
    LeaseTiming,
    Release,
    Renew,
    TermBegan,
    TermEnded,
)
from .lease import MAX_NAME_CHARS, IncarnationId, Lease
from .log import Result, Steps
from .store import Answer, Store, StoreView
from .table import FleetTable

RANK_STEP_FRACTION = 0.25  # extra wait of a candidate per rank, as a fraction of `look_s`
CLOSE_TIMEOUT_S = 2.0  # s for works to stop and leases to be released
STORE_LOG_INTERVAL_S = 30.0  # s between two log lines about the same failure of the store


@dataclass(frozen=True, slots=True)
class Term:
    """A term of ownership, as passed to a work."""

    work: str
    fence: int
    me: IncarnationId
    is_valid: Callable[[], bool]  # whether an effect may start now
    fenced: Callable[[int], None]  # reports a rejected effect and its target's highest fence
    run: Callable[[Steps, Callable[[Result | None, str], None]], None]  # runs a log operation
    transfer: Callable[[], None]  # steps down, so that another process can take over
    term_s: float


class Work(Protocol):
    """A fleet-wide job that one owner runs at a time."""

    def begin(self, term: Term) -> None:
        """This process owns the work from now on, in this term."""

    def end(self, ended: Callable[[], None]) -> None:
        """Start no more effects; call `ended` when all are over, at once or later."""

    def close(self) -> None:
        """Stop without waiting, and cancel all timers and calls."""


class Fleet:
    """One proxy in all elections; `store` and `works` create its store and the work of a name."""

    def __init__(
        self,
        table: FleetTable,
        name: str,
        net: Network,
        store: Callable[[IncarnationId], Store],
        works: Callable[[str], Work],
        nonce: str = "",
    ) -> None:
        self.table, self._loop = table, net.loop
        self.me = IncarnationId(name[:MAX_NAME_CHARS], nonce or secrets.token_hex(8))
        self._rng = random.Random(f"{name}/{self.me.nonce}")
        self._store = store(self.me)
        self._make_work = works
        self._timing = LeaseTiming(
            table.term_s, table.drift, table.look_s * RANK_STEP_FRACTION, self._store.expires_leases
        )
        self._electors: dict[str, LeaderElector] = {}
        self._works: dict[str, Work] = {}
        self._timer: Any = None
        self._timer_at = 0.0
        self._polling = False
        # Spreads the first polls of proxies that were restarted together.
        self._poll_at = self._loop.time() + table.look_s * self._rng.random()
        self._transferred_at = self._loop.time()
        self._view: StoreView | None = None
        self._last_error, self._last_error_at = "", -STORE_LOG_INTERVAL_S
        self._unreadable: dict[str, str] = {}
        self._closing = self._closed = False
        self.configure(table.works)

    # --- from the daemon ---
    def configure(self, works: Iterable[str]) -> None:
        """Set the works for which this proxy is a candidate from now on."""
        wanted = dict.fromkeys(works)
        for work in wanted:
            if work not in self._electors:
                self._electors[work] = LeaderElector(work, self.me.nonce, self._timing, self._rng)
                self._works[work] = self._make_work(work)
        for work, elector in self._electors.items():
            elector.set_candidate(work in wanted, elector.rank)
        self._rank()
        self._schedule()

    def owned(self) -> dict[str, int]:
        """The fences of the works that this proxy owns now, by work."""
        now = self._loop.time()
        return {
            work: elector.fence
            for work, elector in self._electors.items()
            if elector.valid_fence(now)
        }

    async def close(self) -> None:
        """Stop all works and release their leases; those not released in time expire."""
        self._closing = True
        self.configure(())
        until = self._loop.time() + CLOSE_TIMEOUT_S
        while self._loop.time() < until and any(
            elector.state != "waiting" for elector in self._electors.values()
        ):
            await asyncio.sleep(0.01)
        self.stop()

    def stop(self) -> None:
        """Stop without waiting: cancel the timer, close all works and the store."""
        self._closing = self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for work in self._works.values():
            work.close()
        self._store.close()

    # --- time ---
    def _schedule(self) -> None:
        """Set the timer to what is due first."""
        if self._closed:
            return
        due = min((elector.next_at for elector in self._electors.values()), default=float("inf"))
        if not self._polling and not self._closing:
            due = min(due, self._poll_at)
        if self._timer is not None and self._timer_at == due:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer_at = due
            self._timer = self._loop.call_at(max(due, self._loop.time()), self._tick)

    def _tick(self) -> None:
        self._timer = None
        try:
            self._run_due(self._loop.time())
        finally:  # an error in one work must not stop the renewals of the others
            self._schedule()

    def _run_due(self, now: float) -> None:
        actions: list[Action] = []
        for elector in self._electors.values():
            actions += elector.tick(now)
        if any(isinstance(action, Renew) for action in actions):
            for elector in self._electors.values():  # sent in the same call
                actions += elector.renew_early(now)
        self._perform(actions)
        if not self._polling and not self._closing and now >= self._poll_at:
            self._poll()

    # --- polling the store ---
    def _poll(self) -> None:
        self._polling, sent_at = True, self._loop.time()
        self._store.poll(lambda view, error: self._polled(sent_at, view, error))

    def _polled(self, sent_at: float, view: StoreView | None, error: str) -> None:
        if self._closed:
            return
        try:
            self._process_poll(sent_at, view, error)
        finally:
            self._tick_now()

    def _process_poll(self, sent_at: float, view: StoreView | None, error: str) -> None:
        now = self._loop.time()
        self._polling = False
        self._poll_at = max(now, sent_at + self.table.look_s * (0.8 + 0.4 * self._rng.random()))
        if view is None:
            self._store_failed(error)
            self._poll_at = max(self._poll_at, now + self.table.look_s * self._rng.random())
        else:
            self._store_recovered()
            self._view = view
            self._log_unreadable(view)
            self._rank()
            actions: list[Action] = []
            for work, elector in self._electors.items():
                if work in view.unreadable:
                    elector.unreadable()
                    continue
                lease = view.leases.get(work)
                alive = lease is None or lease.nonce not in view.dead
                actions += elector.observe(now, sent_at, lease, alive)
            self._perform(actions)
            self._balance(now)

    def _tick_now(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._tick()

    def _rank(self) -> None:
        view = self._view
        if view is None:
            return
        works = [work for work, elector in self._electors.items() if elector.is_candidate]
        held = {work: lease.nonce for work, lease in view.leases.items() if not lease.free}
        if view.members is None:
            ranks = assignment.random_ranks(works, self.me, held)
        else:
            ranks = assignment.ranks(works, self.me, view.members, held)
        for work, rank in ranks.items():
            self._electors[work].set_candidate(True, rank)

    def _balance(self, now: float) -> None:
        view = self._view
        if view is None or view.members is None or now - self._transferred_at < self.table.move_s:
            return
        works = [work for work, elector in self._electors.items() if elector.is_candidate]
        held = {
            work: lease.nonce
            for work, lease in view.leases.items()
            if not lease.free and work in self._electors
        }
        work = assignment.surplus_work(works, self.me, view.members, held)
        if work is not None and self._electors[work].valid_fence(now):
            self._transferred_at = now
            logs.event("fleet.moved", work=work)
            self._perform(self._electors[work].step_down(now))

    # --- actions ---
    def _perform(self, actions: list[Action]) -> None:
        renewals: list[Renew] = []
        for action in actions:
            match action:
                case TermBegan(work, fence):
                    self._begin(work, fence)
                case TermEnded(work, fence, reason):
                    self._end(work, fence, reason)
                case Acquire():
                    self._acquire(action)
                case Release(work, number, fence):
                    self._release(work, number, fence)
                case Renew():
                    renewals.append(action)
        if renewals:
            self._renew(renewals)

    def _begin(self, work: str, fence: int) -> None:
        elector, job = self._electors[work], self._works[work]
        logs.event("fleet.gained", work=work, fence=fence)

        def is_valid() -> bool:
            return elector.valid_fence(self._loop.time()) == fence

        def fenced(floor: int) -> None:
            if elector.fence == fence:
                self._perform(elector.fenced(self._loop.time(), floor))
                self._schedule()

        def run(steps: Steps, done: Callable[[Result | None, str], None]) -> None:
            self._store.run(
                steps, lambda result, error: None if self._closed else done(result, error)
            )

        def transfer() -> None:
            if elector.fence == fence:
                self._perform(elector.step_down(self._loop.time()))
                self._schedule()

        job.begin(Term(work, fence, self.me, is_valid, fenced, run, transfer, self.table.term_s))

    def _end(self, work: str, fence: int, reason: str) -> None:
        elector = self._electors[work]
        if reason == "lapsed":
            logs.event("fleet.lapsed", work=work, fence=fence)
        elif reason == "lost":
            logs.event("fleet.lost", work=work, fence=fence)
        elif reason == "fenced":
            logs.event("fleet.fenced", work=work, fence=fence)
        else:
            logs.event("fleet.resigned", work=work, fence=fence)

        def ended() -> None:
            elector.work_stopped()
            self._schedule()

        self._works[work].end(ended)

    def _acquire(self, request: Acquire) -> None:
        elector = self._electors[request.work]

        def done(answer: Answer | None, error: str) -> None:
            if self._closed:
                return
            now = self._loop.time()
            if answer is None:
                self._store_failed(error)
                self._perform(elector.failed(now, request.number))
            elif answer.accepted and answer.lease is not None:
                self._perform(elector.granted(now, request.number, answer.lease.fence))
            else:
                logs.event("fleet.stood_aside", work=request.work, owner=_holder_name(answer.lease))
                self._perform(elector.denied(now, request.number, answer.lease))
            self._schedule()

        self._store.acquire(request, done)

    def _renew(self, renewals: list[Renew]) -> None:

        def done(answers: Mapping[str, Answer] | None, error: str) -> None:
            if self._closed:
                return
            now = self._loop.time()
            if answers is None:
                self._store_failed(error)
            for each in renewals:
                elector = self._electors[each.work]
                answer = None if answers is None else answers.get(each.work)
                if answer is None:
                    self._perform(elector.failed(now, each.number))
                elif answer.accepted:
                    self._perform(elector.renewed(now, each.number))
                    if elector.late_margin_s:
                        logs.event(
                            "fleet.renewed_late",
                            work=each.work,
                            fence=each.fence,
                            left_s=round(elector.late_margin_s, 2),
                        )
                else:
                    self._perform(elector.lost(now, each.number, answer.lease))
            self._schedule()

        self._store.renew([(each.work, each.fence) for each in renewals], done)

    def _release(self, work: str, number: int, fence: int) -> None:
        elector = self._electors[work]

        def done(answer: Answer | None, error: str) -> None:
            if self._closed:
                return
            now = self._loop.time()
            if answer is None:
                self._store_failed(error)
                self._perform(elector.failed(now, number))
            elif answer.accepted:
                logs.event("fleet.handed_back", work=work, fence=fence)
                self._perform(elector.released(now, number))
            else:
                self._perform(elector.lost(now, number, answer.lease))
            self._schedule()

        self._store.release(work, fence, done)

    # --- logging ---
    def _store_failed(self, error: str) -> None:
        now = self._loop.time()
        if error != self._last_error or now - self._last_error_at >= STORE_LOG_INTERVAL_S:
            self._last_error, self._last_error_at = error, now
            logs.event("fleet.store_failed", reason=error)

    def _store_recovered(self) -> None:
        if self._last_error:
            self._last_error = ""
            logs.event("fleet.store_back")

    def _log_unreadable(self, view: StoreView) -> None:
        for work, error in view.unreadable.items():
            if self._unreadable.get(work) != error:
                logs.event("fleet.unreadable", work=work, reason=error)
        self._unreadable = dict(view.unreadable)


def _holder_name(lease: Lease | None) -> str:
    return "" if lease is None else lease.name
