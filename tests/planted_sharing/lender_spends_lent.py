"""Injected bug: a lender still spends what it has lent."""

from violetroute.sharing.loans import Loans


def plant() -> None:
    Loans.accrued = lambda self, since, now, lent: (
        self.home * (now - since)
        + sum(
            loan.amount * max(0.0, min(now, loan.until) - since) for loan in self._borrowed.values()
        )
    )
