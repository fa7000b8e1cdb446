"""A new life has all of its home part, whatever the one before had lent."""

from violetroute.sharing.loans import Loans, LoanTerms


def plant() -> None:
    made = Loans.__init__

    def full(self: Loans, home: int, terms: LoanTerms, now: float) -> None:
        made(self, home, terms, now - terms.loan_s)

    Loans.__init__ = full
