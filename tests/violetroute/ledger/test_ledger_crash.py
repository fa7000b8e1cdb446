"""The ledger through kills, power cuts, faulty disks and endpoints, on a simulated clock."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import Any

import pytest

from limebridge.virtual.ledger import Trial, run_trial
from violetroute.ledger import service
from violetroute.ledger.accounts import Book


@pytest.fixture(autouse=True)
def _quiet() -> Iterator[None]:
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def overbilled(outcome: Any) -> int:
    return sum((outcome.billed - outcome.served).values())


@pytest.mark.parametrize("seed", range(8))
def test_kills_faults_and_clock_steps_lose_only_unwritten_units_and_double_none(
    seed: int,
) -> None:
    outcome = run_trial(Trial(seed, minutes=8.0, kills=15))
    assert outcome.killed > 5 and outcome.excess == 0
    assert outcome.missing == outcome.at_risk < 4 * 35 and outcome.gaps == outcome.killed


@pytest.mark.parametrize("part", range(8))
def test_power_cuts_at_any_write(part: int) -> None:
    # benchmarks/ledger.py cuts at each of more than 2,000 writes.
    for cut_at in range(1 + part, 120, 8):
        outcome = run_trial(
            Trial(part, minutes=5.5, kills=0, fail_power_at=cut_at, faults=False, clock_steps=False)
        )
        assert outcome.excess == 0 and outcome.killed == 1
        assert outcome.missing <= 15  # units of one flush and of the write in progress


@pytest.mark.parametrize("seed", range(6))
def test_a_restored_disk_bills_no_unit_twice(seed: int) -> None:
    outcome = run_trial(Trial(seed, kills=2, restore_disk=True))
    assert overbilled(outcome) == 0 and outcome.gaps
    assert sum(outcome.held.values()) + outcome.missing > 0


def test_without_the_endpoints_state_a_restored_disk_bills_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Book, "adopt_records", lambda self, last, billed, now: [["adopt", last]])
    assert any(overbilled(run_trial(Trial(seed, kills=2, restore_disk=True))) for seed in range(12))


def inject_double(monkeypatch: pytest.MonkeyPatch) -> None:
    """Injected bug: after a crash a batch is prepared again, under a new key."""
    monkeypatch.setattr(Book, "sent_records", lambda self, seq: [])
    begin = Book.begin_records

    def begins(self: Book, name: str, nonce: str, now: float) -> list[Any]:
        records = begin(self, name, nonce, now)
        for batch in self.batches.values():
            batch.key += f"-{nonce}"
        return records

    monkeypatch.setattr(Book, "begin_records", begins)
    monkeypatch.setattr(Book, "adopt_records", lambda self, last, billed, now: [["adopt", last]])


def inject_loss(monkeypatch: pytest.MonkeyPatch) -> None:
    """Injected bug: records that wait when a write fails are lost."""
    monkeypatch.setattr(service.Ledger, "_rewrite", lambda self: setattr(self, "state", "open"))


@pytest.mark.parametrize(
    ("inject_bug", "what"), [(inject_double, "doubled"), (inject_loss, "lost")]
)
def test_injected_bugs_are_detected(
    monkeypatch: pytest.MonkeyPatch, inject_bug: Any, what: str
) -> None:
    inject_bug(monkeypatch)
    found = 0
    for seed in range(12):
        outcome = run_trial(Trial(seed, minutes=12.0, kills=25))
        found += outcome.excess if what == "doubled" else outcome.missing - outcome.at_risk
    assert found > 0
