"""The fleet's part of the daemon: carries out what owners decide, and lets works run.

Decisions are `election`'s and `assignment`'s; this file has the timer, the calls at the store and
the order of things:

- one look at a time, and one call of an owner at a time for each work;
- renewals that fall due are sent together, so that many works cost one call;
- a work begins after its term was granted, and is told to end before anything else is done about a
  term that is over; a lease is handed back when what the work had begun has ended.
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

STEP_FRACTION = 0.25  # of the time between looks: how much later each place in an order asks
CLOSE_TIMEOUT_S = 2.0  # s for works to end and leases to be handed back
STORE_LOG_INTERVAL_S = 30.0  # s between two lines about a store that does not answer


@dataclass(frozen=True, slots=True)
class Term:
    """What a work is given with its ownership."""

    work: str
    fence: int
    me: IncarnationId
    is_valid: Callable[[], bool]  # whether an effect may be begun now
    fenced: Callable[[int], None]  # an effect was refused: the highest fence of its place
    run: Callable[[Steps, Callable[[Result | None, str], None]], None]  # at the store
    transfer: Callable[[], None]  # another may fare better: the lease goes back
    term_s: float


class Work(Protocol):
    """What is done by one owner at a time."""

    def begin(self, term: Term) -> None:
        """This process owns the work from now on."""

    def end(self, ended: Callable[[], None]) -> None:
        """Begin nothing more; `ended` once what had been begun is over, at once or later."""

    def close(self) -> None:
        """The process ends: no timer, no call is left."""


class Fleet:
    """One proxy's part in all elections.  `works` makes the work of each name in the table."""

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
        self._random = random.Random(f"{name}/{self.me.nonce}")
        self._store = store(self.me)
        self._make = works
        self._timing = LeaseTiming(
            table.term_s, table.drift, table.look_s * STEP_FRACTION, self._store.expires_leases
        )
        self._owners: dict[str, LeaderElector] = {}
        self._works: dict[str, Work] = {}
        self._timer: Any = None
        self._timer_at = 0.0
        self._looking = False
        # All that were restarted at once do not look at once.
        self._look_at = self._loop.time() + table.look_s * self._random.random()
        self._moved_at = self._loop.time()
        self._view: StoreView | None = None
        self._wrong, self._wrong_at = "", -STORE_LOG_INTERVAL_S
        self._unreadable: dict[str, str] = {}
        self._closing = self._closed = False
        self.configure(table.works)

    # --- from the daemon ---
    def configure(self, works: Iterable[str]) -> None:
        """Which works this proxy is ready to own from now on."""
        wanted = dict.fromkeys(works)
        for work in wanted:
            if work not in self._owners:
                self._owners[work] = LeaderElector(work, self.me.nonce, self._timing, self._random)
                self._works[work] = self._make(work)
        for work, owner in self._owners.items():
            owner.set_candidate(work in wanted, owner.rank)
        self._rank()
        self._go_on()

    def owned(self) -> dict[str, int]:
        """Works of ours that may run now, and their fences."""
        now = self._loop.time()
        return {work: owner.fence for work, owner in self._owners.items() if owner.valid_fence(now)}

    async def close(self) -> None:
        """Works end, leases are handed back; what does not end in time is seen to have lapsed."""
        self._closing = True
        self.configure(())
        until = self._loop.time() + CLOSE_TIMEOUT_S
        while self._loop.time() < until and any(
            owner.state != "waiting" for owner in self._owners.values()
        ):
            await asyncio.sleep(0.01)
        self.stop()

    def stop(self) -> None:
        """Stop without waiting: cancel the timer, close the works and the store."""
        self._closing = self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for work in self._works.values():
            work.close()
        self._store.close()

    # --- time ---
    def _go_on(self) -> None:
        """The timer at what is due first."""
        if self._closed:
            return
        due = min((owner.next_at for owner in self._owners.values()), default=float("inf"))
        if not self._looking and not self._closing:
            due = min(due, self._look_at)
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
            self._due(self._loop.time())
        finally:  # a fault of one work must not stop the others' renewals
            self._go_on()

    def _due(self, now: float) -> None:
        actions: list[Action] = []
        for owner in self._owners.values():
            actions += owner.tick(now)
        if any(isinstance(action, Renew) for action in actions):
            for owner in self._owners.values():  # the others' are sent with them
                actions += owner.renew_early(now)
        self._do(actions)
        if not self._looking and not self._closing and now >= self._look_at:
            self._look()

    # --- looking ---
    def _look(self) -> None:
        self._looking, asked_at = True, self._loop.time()
        self._store.poll(lambda view, why: self._looked(asked_at, view, why))

    def _looked(self, asked_at: float, view: StoreView | None, why: str) -> None:
        if self._closed:
            return
        try:
            self._take_in(asked_at, view, why)
        finally:
            self._tick_soon()

    def _take_in(self, asked_at: float, view: StoreView | None, why: str) -> None:
        now = self._loop.time()
        self._looking = False
        self._look_at = max(now, asked_at + self.table.look_s * (0.8 + 0.4 * self._random.random()))
        if view is None:
            self._trouble(why)
            self._look_at = max(self._look_at, now + self.table.look_s * self._random.random())
        else:
            self._well()
            self._view = view
            self._tell_unreadable(view)
            self._rank()
            actions: list[Action] = []
            for work, owner in self._owners.items():
                if work in view.unreadable:
                    owner.unreadable()
                    continue
                lease = view.leases.get(work)
                alive = lease is None or lease.nonce not in view.dead
                actions += owner.observe(now, asked_at, lease, alive)
            self._do(actions)
            self._balance(now)

    def _tick_soon(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._tick()

    def _rank(self) -> None:
        view = self._view
        if view is None:
            return
        works = [work for work, owner in self._owners.items() if owner.is_candidate]
        held = {work: lease.nonce for work, lease in view.leases.items() if not lease.free}
        if view.members is None:
            found = assignment.random_ranks(works, self.me, held)
        else:
            found = assignment.ranks(works, self.me, view.members, held)
        for work, rank in found.items():
            self._owners[work].set_candidate(True, rank)

    def _balance(self, now: float) -> None:
        view = self._view
        if view is None or view.members is None or now - self._moved_at < self.table.move_s:
            return
        works = [work for work, owner in self._owners.items() if owner.is_candidate]
        held = {
            work: lease.nonce
            for work, lease in view.leases.items()
            if not lease.free and work in self._owners
        }
        work = assignment.surplus_work(works, self.me, view.members, held)
        if work is not None and self._owners[work].valid_fence(now):
            self._moved_at = now
            logs.event("fleet.moved", work=work)
            self._do(self._owners[work].step_down(now))

    # --- doing ---
    def _do(self, actions: list[Action]) -> None:
        renewals: list[Renew] = []
        for action in actions:
            match action:
                case TermBegan(work, fence):
                    self._begin(work, fence)
                case TermEnded(work, fence, why):
                    self._end(work, fence, why)
                case Acquire():
                    self._ask(action)
                case Release(work, number, fence):
                    self._release(work, number, fence)
                case Renew():
                    renewals.append(action)
        if renewals:
            self._renew(renewals)

    def _begin(self, work: str, fence: int) -> None:
        owner, part = self._owners[work], self._works[work]
        logs.event("fleet.gained", work=work, fence=fence)

        def is_valid() -> bool:
            return owner.valid_fence(self._loop.time()) == fence

        def fenced(floor: int) -> None:
            if owner.fence == fence:
                self._do(owner.fenced(self._loop.time(), floor))
                self._go_on()

        def run(steps: Steps, told: Callable[[Result | None, str], None]) -> None:
            self._store.run(steps, lambda result, why: None if self._closed else told(result, why))

        def transfer() -> None:
            if owner.fence == fence:
                self._do(owner.step_down(self._loop.time()))
                self._go_on()

        part.begin(Term(work, fence, self.me, is_valid, fenced, run, transfer, self.table.term_s))

    def _end(self, work: str, fence: int, why: str) -> None:
        owner = self._owners[work]
        if why == "lapsed":
            logs.event("fleet.lapsed", work=work, fence=fence)
        elif why == "lost":
            logs.event("fleet.lost", work=work, fence=fence)
        elif why == "fenced":
            logs.event("fleet.fenced", work=work, fence=fence)
        else:
            logs.event("fleet.resigned", work=work, fence=fence)

        def ended() -> None:
            owner.work_stopped()
            self._go_on()

        self._works[work].end(ended)

    def _ask(self, ask: Acquire) -> None:
        owner = self._owners[ask.work]

        def told(answer: Answer | None, why: str) -> None:
            if self._closed:
                return
            now = self._loop.time()
            if answer is None:
                self._trouble(why)
                self._do(owner.failed(now, ask.number))
            elif answer.accepted and answer.lease is not None:
                self._do(owner.granted(now, ask.number, answer.lease.fence))
            else:
                logs.event("fleet.stood_aside", work=ask.work, owner=_holder(answer.lease))
                self._do(owner.denied(now, ask.number, answer.lease))
            self._go_on()

        self._store.acquire(ask, told)

    def _renew(self, renewals: list[Renew]) -> None:

        def told(answers: Mapping[str, Answer] | None, why: str) -> None:
            if self._closed:
                return
            now = self._loop.time()
            if answers is None:
                self._trouble(why)
            for each in renewals:
                owner = self._owners[each.work]
                answer = None if answers is None else answers.get(each.work)
                if answer is None:
                    self._do(owner.failed(now, each.number))
                elif answer.accepted:
                    self._do(owner.renewed(now, each.number))
                    if owner.late_margin_s:
                        logs.event(
                            "fleet.renewed_late",
                            work=each.work,
                            fence=each.fence,
                            left_s=round(owner.late_margin_s, 2),
                        )
                else:
                    self._do(owner.lost(now, each.number, answer.lease))
            self._go_on()

        self._store.renew([(each.work, each.fence) for each in renewals], told)

    def _release(self, work: str, number: int, fence: int) -> None:
        owner = self._owners[work]

        def told(answer: Answer | None, why: str) -> None:
            if self._closed:
                return
            now = self._loop.time()
            if answer is None:
                self._trouble(why)
                self._do(owner.failed(now, number))
            elif answer.accepted:
                logs.event("fleet.handed_back", work=work, fence=fence)
                self._do(owner.released(now, number))
            else:
                self._do(owner.lost(now, number, answer.lease))
            self._go_on()

        self._store.release(work, fence, told)

    # --- saying ---
    def _trouble(self, why: str) -> None:
        now = self._loop.time()
        if why != self._wrong or now - self._wrong_at >= STORE_LOG_INTERVAL_S:
            self._wrong, self._wrong_at = why, now
            logs.event("fleet.store_failed", reason=why)

    def _well(self) -> None:
        if self._wrong:
            self._wrong = ""
            logs.event("fleet.store_back")

    def _tell_unreadable(self, view: StoreView) -> None:
        for work, why in view.unreadable.items():
            if self._unreadable.get(work) != why:
                logs.event("fleet.unreadable", work=work, reason=why)
        self._unreadable = dict(view.unreadable)


def _holder(lease: Lease | None) -> str:
    return "" if lease is None else lease.name
