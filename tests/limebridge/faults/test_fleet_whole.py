"""Model check of leases: the code violates no rule, and each injected bug has a short trace."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from limebridge.faults import model
from limebridge.faults.model import Bounds, World
from limebridge.faults.state_space import check
from violetroute.fleet import lease, log
from violetroute.fleet.election import LeaderElector, LeaseTiming

# Small enough for the test suite; benchmarks/fleet.py explores millions of states.
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
def test_no_order_of_events_violates_a_rule() -> None:
    found = check(World(SMALL), max_states=30_000)
    assert found.traces == {}
    assert found.states > 10_000 and found.liveness_checks > 100


def term_from_answer(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: a term is counted from the arrival of its grant, not from the request."""
    granted = LeaderElector.granted

    def from_answer(self: LeaderElector, now: float, number: int, fence: int) -> Any:
        self._sent_at = now
        return granted(self, now, number, fence)

    patch.setattr(LeaderElector, "granted", from_answer)


def expiry_ignored_after_stop(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: a process that continues after a stop does not check its lease's expiry."""
    patch.setattr(
        LeaderElector,
        "valid_fence",
        lambda self, now, duration=0.0: self.fence if self.state == "owner" else 0,
    )


def drift_ignored(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: the term does not allow for clocks that run at different rates."""
    patch.setattr(LeaseTiming, "hold_s", property(lambda self: self.term_s))


def fence_not_checked(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: an entry is appended even if another owner has claimed the log."""

    def without_check(kind: str) -> Any:
        def append_record(
            log_: log.FencedLog, fence: int, nonce: str, name: str, *more: Any
        ) -> log.Steps:
            yield from log.read_to_end(log_)
            data = log.encode(
                log.Record(log.VERSION, log_.name, fence, nonce, kind)  # type: ignore[arg-type]
            )
            yield log.Put(log_.name, log_.next_position, data)
            return log.Done(log_.next_position)

        return append_record

    patch.setattr(model, "claim", without_check("claim"))
    patch.setattr(model, "append", without_check("entry"))


def nonce_not_compared(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: the target of effects compares fences without nonces.

    A store that has lost its data starts again at fence 1, so two incarnations get the same fence.
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


def fence_from_wall_clock(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: the fence is the time of a wall clock that has been set back."""
    acquired = lease.acquired

    def by_wall_clock(
        work: str, current: Any, expected: Any, floor: int, me: Any, wall: float
    ) -> Any:
        made = acquired(work, current, expected, 0, me, wall)
        return (
            None
            if made is None
            else msgspec.structs.replace(made, fence=9 if current is None else 3)
        )

    patch.setattr(lease, "acquired", by_wall_clock)


@pytest.mark.parametrize(
    ("plant", "rule", "bounds"),
    [
        (term_from_answer, "alone", SMALL),
        (expiry_ignored_after_stop, "alone", SMALL),
        (drift_ignored, "alone", SMALL),
        (
            fence_not_checked,
            "order",
            Bounds(
                stops=0, kills=0, lost_calls=0, delayed_calls=0, delayed_reads=0, split_effects=1
            ),
        ),
        (
            nonce_not_compared,
            "order",
            Bounds(
                stops=0, kills=0, lost_calls=0, delayed_calls=0, delayed_reads=0, split_effects=1
            ),
        ),
        (
            fence_from_wall_clock,
            "goes on",
            Bounds(stops=0, store_losses=0, lost_calls=0, delayed_calls=0, delayed_reads=0),
        ),
    ],
)
def test_an_injected_bug_is_found_with_its_shortest_trace(
    plant: Any, rule: str, bounds: Bounds, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    found = check(World(bounds), max_states=60_000, stop_at_first=True)
    assert rule in found.traces, found
    assert len(found.traces[rule]) <= 9
