"""Applies the placement plan: follows node lists and reloads, and publishes node sizes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from violetroute import logs

from .plan import (
    ListedNode,
    PlacementTable,
    Plan,
    file_signature,
    load_plan,
    mismatch_reason,
    read_version,
    sizes,
    write_version,
)
from .ramp import Ramp

STEP_INTERVAL = 1.0  # s between two steps towards a new plan
MIN_POLL_INTERVAL = 0.1  # s between two checks of the plan file, at least


class PlanManager:
    """Holds at most one plan, and moves the node sizes towards it.

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
        self._nodes: dict[str, ListedNode] = {}
        self._ids: dict[str, int] = {}
        self._ramp = Ramp(self._table.moved_per_s)
        self._last_sizes: dict[int, float] = {}
        self._mismatch = ""
        self._step_timer: asyncio.TimerHandle | None = None
        self._poll_timer: asyncio.TimerHandle | None = None
        self._file_signature: object = None  # identifies the file's content when it was last loaded
        self._max_version = (0, 0)  # highest version of an accepted plan
        self._last_rejected = (0, 0)  # version of a rejected plan, to log it once

    @property
    def sizes(self) -> dict[int, float]:
        """The sizes last published, by node id."""
        return dict(self._last_sizes)

    def set_plan(self, plan: Plan | None, table: PlacementTable) -> None:
        """Use this plan and table from now on; called at the start and after a reload."""
        first = self._plan is None and not self._nodes
        self._table, self._mismatch = table, ""
        self._ramp.rate = table.moved_per_s
        self._schedule_poll()
        if plan is not None and not self._accepts_version(plan):
            plan = self._plan  # it is of an earlier owner: keep the current plan, if any
        self._plan = plan
        if plan is not None:
            age = (self._clock() - plan.made_at) / 3600.0
            logs.event("placement.taken", nodes=len(plan.nodes), age_h=round(age, 1))
            if age > table.stale_h:
                logs.event("placement.stale", age_h=round(age, 1))
        if not first:
            self._update_target()

    def update_nodes(
        self, whole: bool, here: Iterable[tuple[int, ListedNode]], gone: Iterable[str]
    ) -> None:
        """Update the nodes: those in service, with their ids, and the names of removed ones.

        `whole`: `here` replaces all nodes.
        """
        first = not self._nodes
        if whole:
            self._nodes, self._ids = {}, {}
        for name in gone:
            self._nodes.pop(name, None)
            self._ids.pop(name, None)
        for number, node in here:
            self._nodes[node.name], self._ids[node.name] = node, number
        if self._plan is not None:
            self._update_target(jump=first)

    def _accepts_version(self, plan: Plan) -> bool:
        """Whether the plan is not older than the newest one seen; plans made by hand always pass.

        The newest version is kept over a restart if `seen` names a file.
        """
        if self._table.seen:
            self._max_version = max(self._max_version, read_version(self._table.seen))
        if plan.fence and plan.version < self._max_version:
            if plan.version != self._last_rejected:
                self._last_rejected = plan.version
                logs.event("placement.late", fence=plan.fence, seen=self._max_version[0])
            return False
        if plan.version > self._max_version:
            self._max_version = plan.version
            if self._table.seen:
                try:
                    write_version(self._table.seen, self._max_version)
                except OSError as error:
                    logs.event("placement.unkept", reason=error.strerror)
        return True

    def _schedule_poll(self) -> None:
        """Schedule the next check of the plan file, if `every_s` is set."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
            self._poll_timer = None
        if self._table.file and self._table.every_s:
            wait = max(MIN_POLL_INTERVAL, self._table.every_s)
            self._poll_timer = self._loop.call_later(wait, self._poll)

    def _poll(self) -> None:
        """Load a changed plan file.  An invalid plan changes nothing, as with SIGHUP."""
        self._poll_timer = None
        signature = file_signature(self._table.file)
        if signature == self._file_signature:
            self._schedule_poll()
            return
        self._file_signature = signature
        try:
            plan = load_plan(self._table.file)
        except ValueError as error:
            logs.event("placement.refused", reason=str(error))
            self._schedule_poll()
            return
        if plan != self._plan and plan.version >= self._max_version:
            self.set_plan(plan, self._table)
        else:
            self._accepts_version(plan)
            self._schedule_poll()

    def close(self) -> None:
        """Cancel the timers."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
            self._poll_timer = None
        if self._step_timer is not None:
            self._step_timer.cancel()
            self._step_timer = None

    def _update_target(self, jump: bool = False) -> None:
        wanted = self._target_sizes()
        if jump or not self._ramp.current:
            even = {self._ids[name]: 1.0 for name in self._nodes}
            if jump or not wanted:
                self._ramp.jump_to(wanted)
            else:  # from no plan to a plan: without one the shares are even
                self._ramp.jump_to(even)
                self._ramp.set_target(wanted)
        elif wanted:
            self._ramp.set_target(wanted)
        else:  # from a plan to none: first to even shares, then to no sizes
            here = set(self._ids.values())
            self._ramp.set_target({number: 1.0 for number in self._ramp.current if number in here})
        self._continue_ramp()

    def _target_sizes(self) -> dict[int, float]:
        plan = self._plan
        if plan is None:
            return {}
        mismatch = mismatch_reason(plan, self._nodes, self._table.least_match)
        if mismatch != self._mismatch:
            self._mismatch = mismatch
            if mismatch:
                logs.event("placement.refused", reason=mismatch)
            else:
                logs.event("placement.fits", nodes=len(self._nodes))
        if mismatch:
            return {}
        return {self._ids[name]: size for name, size in sizes(plan, self._nodes.values()).items()}

    def _continue_ramp(self) -> None:
        self._publish_sizes()
        if self._step_timer is None and not self._ramp.finished:
            self._step_timer = self._loop.call_later(STEP_INTERVAL, self._step)

    def _step(self) -> None:
        self._step_timer = None
        self._ramp.step(STEP_INTERVAL)
        if self._ramp.finished:
            logs.event("placement.reached", nodes=len(self._ramp.current))
        self._continue_ramp()

    def _publish_sizes(self) -> None:
        ends = self._ramp.finished and (self._plan is None or bool(self._mismatch))
        if ends:
            self._ramp.jump_to({})
        if self._ramp.current != self._last_sizes:
            self._last_sizes = dict(self._ramp.current)
            self._on_sizes_changed(self._last_sizes)
