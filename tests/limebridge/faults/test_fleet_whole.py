"""Ownership checked whole within bounds; each planted fault is found there with a short story."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from limebridge.faults import model
from limebridge.faults.model import Bounds, World
from limebridge.faults.state_space import check
from violetroute.fleet import lease, log
from violetroute.fleet.election import LeaderElector, LeaseTiming

# Small enough for the suite; benchmarks/fleet.py follows millions.
SMALL = Bounds(
    stops=1,
    kills=0,
    lost_calls=0,
    store_losses=0,
    time_steps=4,
    effects=3,
    delayed_calls=1,
    delayed_reads=0,
    split_effects=1,
)


@pytest.mark.long
def test_no_order_of_what_may_happen_breaks_a_rule() -> None:
    found = check(World(SMALL), max_states=30_000)
    assert found.traces == {}
    assert found.states > 10_000 and found.liveness_checks > 100


def time_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    """A term is reckoned from when its grant came."""
    granted = LeaderElector.granted

    def late(self: LeaderElector, now: float, number: int, fence: int) -> Any:
        self._sent_at = now
        return granted(self, now, number, fence)

    patch.setattr(LeaderElector, "granted", late)


def kept_over_a_stop(patch: pytest.MonkeyPatch) -> None:
    """Who goes on after a stop believes what it knew."""
    patch.setattr(
        LeaderElector,
        "valid_fence",
        lambda self, now, duration=0.0: self.fence if self.state == "owner" else 0,
    )


def no_drift(patch: pytest.MonkeyPatch) -> None:
    """Two clocks are taken to run alike."""
    patch.setattr(LeaseTiming, "hold_s", property(lambda self: self.term_s))


def fence_not_checked(patch: pytest.MonkeyPatch) -> None:
    """Entries are put wherever the log ends."""

    def unchecked(kind: str) -> Any:
        def put(log_: log.FencedLog, fence: int, nonce: str, name: str, *more: Any) -> log.Steps:
            yield from log.read_to_end(log_)
            data = log.encode(log.Record(log.VERSION, log_.name, fence, nonce, kind))  # type:
            #   ignore[arg-type]
            yield log.Put(log_.name, log_.next_position, data)
            return log.Done(log_.next_position)

        return put

    patch.setattr(model, "claim", unchecked("claim"))
    patch.setattr(model, "append", unchecked("entry"))


def number_alone(patch: pytest.MonkeyPatch) -> None:
    """A forgotten store begins at 1 again, and the place of the effect looks at the number
    alone.
    """

    def claim(log_: log.FencedLog, fence: int, nonce: str, name: str) -> log.Steps:
        yield from log.read_to_end(log_)
        if log_.guard.fence > fence:
            return log.Fenced(log_.guard.fence)
        yield log.Put(
            log_.name,
            log_.next_position,
            log.encode(log.Record(log.VERSION, log_.name, fence, nonce, "claim")),
        )
        return log.Done(log_.next_position)

    patch.setattr(model, "claim", claim)


def wall_clock(patch: pytest.MonkeyPatch) -> None:
    """The fence is the second of a wall clock that has been put back."""
    acquired = lease.acquired

    def by_the_wall(work: str, current: Any, over: Any, floor: int, me: Any, wall: float) -> Any:
        made = acquired(work, current, over, 0, me, wall)
        return (
            None
            if made is None
            else msgspec.structs.replace(made, fence=9 if current is None else 3)
        )

    patch.setattr(lease, "acquired", by_the_wall)


@pytest.mark.parametrize(
    ("plant", "rule", "bounds"),
    [
        (time_from_the_answer, "alone", SMALL),
        (kept_over_a_stop, "alone", SMALL),
        (no_drift, "alone", SMALL),
        (
            fence_not_checked,
            "order",
            Bounds(
                stops=0, kills=0, lost_calls=0, delayed_calls=0, delayed_reads=0, split_effects=1
            ),
        ),
        (
            number_alone,
            "order",
            Bounds(
                stops=0, kills=0, lost_calls=0, delayed_calls=0, delayed_reads=0, split_effects=1
            ),
        ),
        (
            wall_clock,
            "goes on",
            Bounds(stops=0, store_losses=0, lost_calls=0, delayed_calls=0, delayed_reads=0),
        ),
    ],
)
def test_a_planted_fault_is_found_with_its_shortest_story(
    plant: Any, rule: str, bounds: Bounds, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    found = check(World(bounds), max_states=60_000, stop_at_first=True)
    assert rule in found.traces, found
    assert len(found.traces[rule]) <= 9
