"""Holds the plan for the daemon: hears of lists and reloads, tells the module sizes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from violetroute import logs

from .plan import (
    ListedNode,
    PlacementTable,
    Plan,
    changed,
    load_plan,
    read_seen,
    sizes,
    unfit,
    write_seen,
)
from .ramp import Ramp

STEP = 1.0  # s between two steps on the way to a new plan
LOOKS = 0.1  # s at least between two looks at the plan's file


class PlanManager:
    """One plan at a time, or none.

    `on_sizes_changed` receives the sizes by node id whenever they change, and an empty mapping when
    no plan is in force.  `clock` returns Unix seconds.  `close` cancels the timers.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        on_sizes_changed: Callable[[Mapping[int, float]], None],
    ) -> None:
        self._loop, self._clock, self._on_sizes_changed = loop, clock, on_sizes_changed
        self._plan: Plan | None = None
        self._table = PlacementTable()
        self._listed: dict[str, ListedNode] = {}
        self._ids: dict[str, int] = {}
        self._ramp = Ramp(self._table.moved_per_s)
        self._told: dict[int, float] = {}
        self._refused = ""
        self._timer: asyncio.TimerHandle | None = None
        self._looks: asyncio.TimerHandle | None = None
        self._mark: object = None  # of the file as it was read last
        self._seen = (0, 0)  # the highest version of a plan that was taken
        self._late = (0, 0)  # and one that was refused, so that it is told once

    @property
    def sizes(self) -> dict[int, float]:
        """As last told, by node id."""
        return dict(self._told)

    def take(self, plan: Plan | None, table: PlacementTable) -> None:
        """The plan from here on, at the start and after a reload."""
        first = self._plan is None and not self._listed
        self._table, self._refused = table, ""
        self._ramp.rate = table.moved_per_s
        self._follow()
        if plan is not None and not self._is_new(plan):
            plan = self._plan  # a late owner's: what was taken stays, or none
        self._plan = plan
        if plan is not None:
            age = (self._clock() - plan.made_at) / 3600.0
            logs.event("placement.taken", nodes=len(plan.nodes), age_h=round(age, 1))
            if age > table.stale_h:
                logs.event("placement.stale", age_h=round(age, 1))
        if not first:
            self._aim()

    def listed(
        self, whole: bool, here: Iterable[tuple[int, ListedNode]], gone: Iterable[str]
    ) -> None:
        """News of the list: the nodes that serve, by id and name, and the names that do not."""
        first = not self._listed
        if whole:
            self._listed, self._ids = {}, {}
        for name in gone:
            self._listed.pop(name, None)
            self._ids.pop(name, None)
        for number, like in here:
            self._listed[like.name], self._ids[like.name] = like, number
        if self._plan is not None:
            self._aim(jump=first)

    def _is_new(self, plan: Plan) -> bool:
        """No lower fence than was seen, kept over a restart where there is a file for it."""
        if self._table.seen:
            self._seen = max(self._seen, read_seen(self._table.seen))
        if plan.fence and plan.version < self._seen:
            if plan.version != self._late:
                self._late = plan.version
                logs.event("placement.late", fence=plan.fence, seen=self._seen[0])
            return False
        if plan.version > self._seen:
            self._seen = plan.version
            if self._table.seen:
                try:
                    write_seen(self._table.seen, self._seen)
                except OSError as error:
                    logs.event("placement.unkept", reason=error.strerror)
        return True

    def _follow(self) -> None:
        """Look for another file from time to time, where the table says so."""
        if self._looks is not None:
            self._looks.cancel()
            self._looks = None
        if self._table.file and self._table.every_s:
            wait = max(LOOKS, self._table.every_s)
            self._looks = self._loop.call_later(wait, self._look)

    def _look(self) -> None:
        """A plan that can't be read changes nothing, as with SIGHUP."""
        self._looks = None
        mark = changed(self._table.file)
        if mark == self._mark:
            self._follow()
            return
        self._mark = mark
        try:
            plan = load_plan(self._table.file)
        except ValueError as error:
            logs.event("placement.refused", reason=str(error))
            self._follow()
            return
        if plan != self._plan and plan.version >= self._seen:
            self.take(plan, self._table)
        else:
            self._is_new(plan)
            self._follow()

    def close(self) -> None:
        if self._looks is not None:
            self._looks.cancel()
            self._looks = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _aim(self, jump: bool = False) -> None:
        wanted = self._wanted()
        if jump or not self._ramp.now:
            even = {self._ids[name]: 1.0 for name in self._listed}
            if jump or not wanted:
                self._ramp.jump(wanted)
            else:  # from no plan to one: what holds without is an even share
                self._ramp.jump(even)
                self._ramp.aim(wanted)
        elif wanted:
            self._ramp.aim(wanted)
        else:  # from a plan to none: back to even shares, and then none
            here = set(self._ids.values())
            self._ramp.aim({number: 1.0 for number in self._ramp.now if number in here})
        self._go_on()

    def _wanted(self) -> dict[int, float]:
        plan = self._plan
        if plan is None:
            return {}
        refused = unfit(plan, self._listed, self._table.least_match)
        if refused != self._refused:
            self._refused = refused
            if refused:
                logs.event("placement.refused", reason=refused)
            else:
                logs.event("placement.fits", nodes=len(self._listed))
        if refused:
            return {}
        return {self._ids[name]: size for name, size in sizes(plan, self._listed.values()).items()}

    def _go_on(self) -> None:
        self._say()
        if self._timer is None and not self._ramp.there:
            self._timer = self._loop.call_later(STEP, self._step)

    def _step(self) -> None:
        self._timer = None
        self._ramp.step(STEP)
        if self._ramp.there:
            logs.event("placement.reached", nodes=len(self._ramp.now))
        self._go_on()

    def _say(self) -> None:
        ends = self._ramp.there and (self._plan is None or bool(self._refused))
        if ends:
            self._ramp.jump({})
        if self._ramp.now != self._told:
            self._told = dict(self._ramp.now)
            self._on_sizes_changed(self._told)
