"""Budgets checked whole within bounds; each planted fault is found there with a short story."""

from __future__ import annotations

from typing import Any

import pytest

from limebridge.faults.budgets import Bounds, World
from limebridge.faults.state_space import check
from violetroute.sharing.loans import BorrowedLoan, Loans, LoanTerms

# Small enough for the suite; benchmarks/sharing.py follows millions.
SMALL = Bounds(time_steps=3, requests=2, returns=1, copies=1, crashes=1)


def test_no_order_of_what_may_happen_spends_more_than_the_budget() -> None:
    found = check(World(SMALL), max_states=30_000)
    assert found.traces == {}
    assert found.states > 10_000 and found.liveness_checks > 100


def from_the_receipt(patch: pytest.MonkeyPatch) -> None:
    """A loan begins when its answer comes."""
    granted = Loans.accept_grant

    def late(self: Loans, now: float, lender: str, number: int, amount: int) -> bool:
        if lender in self._requests:
            self._requests[lender] = self._requests[lender][0], now
        return granted(self, now, lender, number, amount)

    patch.setattr(Loans, "accept_grant", late)


def returned_twice(patch: pytest.MonkeyPatch) -> None:
    """A return ends whatever stands, also what was lent after it."""
    patch.setattr(
        Loans, "accept_return", lambda self, now, borrower, number: self._lent.pop(borrower, None)
    )


def whole_at_once(patch: pytest.MonkeyPatch) -> None:
    """A new incarnation has all of its home part."""
    made = Loans.__init__

    def full(self: Loans, home: int, terms: LoanTerms, now: float) -> None:
        made(self, home, terms, now - terms.loan_s)

    patch.setattr(Loans, "__init__", full)


def no_drift(patch: pytest.MonkeyPatch) -> None:
    """Two clocks are taken to run alike."""
    patch.setattr(LoanTerms, "borrower_s", property(lambda self: self.loan_s))


def last_loan_alone(patch: pytest.MonkeyPatch) -> None:
    """A smaller renewal frees the rest at once, though its answer may never come."""
    patch.setattr(
        Loans,
        "lent_total",
        lambda self, now: sum(
            loans[-1].amount for loans in self._lent.values() if now < loans[-1].until
        ),
    )


def any_answer(patch: pytest.MonkeyPatch) -> None:
    """An answer to an ask that was given up counts for the one that is open."""

    def accept_grant(self: Loans, now: float, lender: str, number: int, amount: int) -> bool:
        asked = self._requests.pop(lender, None)
        if asked is not None and amount:
            self._borrowed[lender] = BorrowedLoan(number, amount, asked[1] + self._terms.borrower_s)
        return asked is not None

    patch.setattr(Loans, "accept_grant", accept_grant)


def late_answer_returned(patch: pytest.MonkeyPatch) -> None:
    """What came too late is given back, though an older loan of that lender stands."""
    patch.setattr(Loans, "number_to_refuse", lambda self, lender, number: number)


def kept_after_the_return(patch: pytest.MonkeyPatch) -> None:
    """A borrower gives back and goes on."""
    patch.setattr(
        Loans,
        "give_back",
        lambda self, lender: max(
            self._requests.get(lender, (0, 0.0))[0],
            self._borrowed[lender].number if lender in self._borrowed else 0,
        ),
    )


PLANTS = [
    from_the_receipt,
    returned_twice,
    whole_at_once,
    no_drift,
    last_loan_alone,
    any_answer,
    late_answer_returned,
    kept_after_the_return,
]


@pytest.mark.parametrize("plant", PLANTS)
def test_a_planted_fault_is_found_with_its_shortest_story(
    plant: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    crashes = int(plant is whole_at_once)
    found = check(
        World(Bounds(time_steps=3, requests=2, returns=1, copies=1, crashes=crashes)),
        max_states=120_000,
        stop_at_first=True,
    )
    assert "the sum" in found.traces, found
    assert len(found.traces["the sum"]) <= 9
