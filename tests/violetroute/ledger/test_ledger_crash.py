"""The ledger through kills, power cuts, bad disks and endpoints, in memory."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import Any

import pytest

from limebridge.virtual.ledger import Trial, play
from violetroute.ledger import service
from violetroute.ledger.accounts import Book


@pytest.fixture(autouse=True)
def _quiet() -> Iterator[None]:
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def over(outcome: Any) -> int:
    return sum((outcome.billed - outcome.served).values())


@pytest.mark.parametrize("seed", range(8))
def test_kills_troubles_and_clock_steps_lose_what_was_in_memory_and_double_nothing(
    seed: int,
) -> None:
    outcome = play(Trial(seed, minutes=8.0, kills=15))
    assert outcome.killed > 5 and outcome.doubled == 0
    assert outcome.missing == outcome.at_risk < 4 * 35 and outcome.gaps == outcome.killed


@pytest.mark.parametrize("part", range(8))
def test_power_cuts_at_any_write(part: int) -> None:
    # benchmarks/ledger.py plays each of more than 2,000.
    for cut_at in range(1 + part, 120, 8):
        outcome = play(
            Trial(part, minutes=5.5, kills=0, cut_at=cut_at, troubles=False, steps=False)
        )
        assert outcome.doubled == 0 and outcome.killed == 1
        assert outcome.missing <= 15  # what was counted in one flush, and in the write under way


@pytest.mark.parametrize("seed", range(6))
def test_a_restored_disk_bills_nothing_twice(seed: int) -> None:
    outcome = play(Trial(seed, kills=2, restored=True))
    assert over(outcome) == 0 and outcome.gaps
    assert sum(outcome.held.values()) + outcome.missing > 0


def test_without_the_endpoints_word_a_restored_disk_would(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Book, "adopt_records", lambda self, last, billed, now: [["adopt", last]])
    assert any(over(play(Trial(seed, kills=2, restored=True))) for seed in range(12))


def planted_double(monkeypatch: pytest.MonkeyPatch) -> None:
    """A batch is prepared anew after a crash, under a new key."""
    monkeypatch.setattr(Book, "sent_records", lambda self, seq: [])
    begin = Book.begin_records

    def begins(self: Book, name: str, nonce: str, now: float) -> list[Any]:
        records = begin(self, name, nonce, now)
        for batch in self.batches.values():
            batch.key += f"-{nonce}"
        return records

    monkeypatch.setattr(Book, "begin_records", begins)
    monkeypatch.setattr(Book, "adopt_records", lambda self, last, billed, now: [["adopt", last]])


def planted_loss(monkeypatch: pytest.MonkeyPatch) -> None:
    """What waited when a write failed is forgotten."""
    monkeypatch.setattr(service.Ledger, "_rewrite", lambda self: setattr(self, "state", "open"))


@pytest.mark.parametrize(("plant", "what"), [(planted_double, "doubled"), (planted_loss, "lost")])
def test_planted_faults_are_found(monkeypatch: pytest.MonkeyPatch, plant: Any, what: str) -> None:
    plant(monkeypatch)
    found = 0
    for seed in range(12):
        outcome = play(Trial(seed, minutes=12.0, kills=25))
        found += outcome.doubled if what == "doubled" else outcome.missing - outcome.at_risk
    assert found > 0
