"""Exhaustive check of the loans of a budget, within bounds, and of bugs injected into them.

The model checker must find no violation in the real code, and each injected bug by a trace of at
most nine events.
"""

from __future__ import annotations

from typing import Any

import pytest

from limebridge.faults.budgets import Bounds, World
from limebridge.faults.state_space import check
from violetroute.sharing.loans import BorrowedLoan, Loans, LoanTerms

# Small enough for the test suite; benchmarks/sharing.py explores millions of states.
SMALL = Bounds(time_steps=3, requests=2, returns=1, copies=1, crashes=1)


def test_no_order_of_events_spends_more_than_the_budget() -> None:
    result = check(World(SMALL), max_states=30_000)
    assert result.traces == {}
    assert result.states > 10_000 and result.liveness_checks > 100


def time_counted_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: the borrower counts a loan's time from the answer, not from its request."""
    original = Loans.accept_grant

    def accept_grant(self: Loans, now: float, lender: str, number: int, amount: int) -> bool:
        if lender in self._requests:
            self._requests[lender] = self._requests[lender][0], now
        return original(self, now, lender, number, amount)

    patch.setattr(Loans, "accept_grant", accept_grant)


def return_ends_later_loans(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: a return ends all loans to its borrower, also those granted after it."""
    patch.setattr(
        Loans, "accept_return", lambda self, now, borrower, number: self._lent.pop(borrower, None)
    )


def whole_home_part_at_start(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: a new incarnation may spend its whole home part at once.

    Loans that a previous incarnation granted may still be active then.
    """
    original = Loans.__init__

    def init(self: Loans, home: int, terms: LoanTerms, now: float) -> None:
        original(self, home, terms, now - terms.loan_s)

    patch.setattr(Loans, "__init__", init)


def no_drift(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: the borrower's time is not shortened by the possible drift of two clocks."""
    patch.setattr(LoanTerms, "borrower_s", property(lambda self: self.loan_s))


def only_last_loan_deducted(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: after a smaller renewal the lender uses the difference at once.

    If the answer to the renewal is lost, the borrower still spends the greater loan.
    """
    patch.setattr(
        Loans,
        "lent_total",
        lambda self, now: sum(
            loans[-1].amount for loans in self._lent.values() if now < loans[-1].until
        ),
    )


def any_answer_accepted(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: the answer to an abandoned request is accepted for the open one."""

    def accept_grant(self: Loans, now: float, lender: str, number: int, amount: int) -> bool:
        request = self._requests.pop(lender, None)
        if request is not None and amount:
            self._borrowed[lender] = BorrowedLoan(
                number, amount, request[1] + self._terms.borrower_s
            )
        return request is not None

    patch.setattr(Loans, "accept_grant", accept_grant)


def late_grant_returned(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: a late grant is returned while an older loan of its lender is still spent.

    The return ends both loans at the lender.
    """
    patch.setattr(Loans, "number_to_refuse", lambda self, lender, number: number)


def spent_after_the_return(patch: pytest.MonkeyPatch) -> None:
    """Injected bug: a borrower returns a loan but does not stop spending it."""
    patch.setattr(
        Loans,
        "give_back",
        lambda self, lender: max(
            self._requests.get(lender, (0, 0.0))[0],
            self._borrowed[lender].number if lender in self._borrowed else 0,
        ),
    )


INJECTED_BUGS = [
    time_counted_from_the_answer,
    return_ends_later_loans,
    whole_home_part_at_start,
    no_drift,
    only_last_loan_deducted,
    any_answer_accepted,
    late_grant_returned,
    spent_after_the_return,
]


@pytest.mark.parametrize("inject", INJECTED_BUGS)
def test_an_injected_bug_is_found_by_a_short_trace(
    inject: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    inject(monkeypatch)
    crashes = int(inject is whole_home_part_at_start)
    result = check(
        World(Bounds(time_steps=3, requests=2, returns=1, copies=1, crashes=crashes)),
        max_states=120_000,
        stop_at_first=True,
    )
    assert "the sum" in result.traces, result
    assert len(result.traces["the sum"]) <= 9
