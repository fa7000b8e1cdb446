"""Injected bug: a new process may spend its whole home part at once.

Loans that the previous process granted may still be active then.
"""

from violetroute.sharing.loans import Loans, LoanTerms


def plant() -> None:
    original = Loans.__init__

    def init(self: Loans, home: int, terms: LoanTerms, now: float) -> None:
        original(self, home, terms, now - terms.loan_s)

    Loans.__init__ = init
