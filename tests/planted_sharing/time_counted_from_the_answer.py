"""Injected bug: a borrower uses a loan for too long.

It counts the loan from the receipt of the answer, and for twice `loan_s`.
"""

from violetroute.sharing.loans import BorrowedLoan, Loans


def plant() -> None:
    def accept_grant(self: Loans, now: float, lender: str, number: int, amount: int) -> bool:
        request = self._requests.pop(lender, None)
        if request is None or request[0] != number:
            return False
        if amount > 0:
            self._borrowed[lender] = BorrowedLoan(number, amount, now + 2.0 * self._terms.loan_s)
        return True

    Loans.accept_grant = accept_grant
