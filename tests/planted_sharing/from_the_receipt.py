"""A loan is believed in from when it was heard of, and for as long as its lender says."""

from violetroute.sharing.loans import BorrowedLoan, Loans


def plant() -> None:
    def accept_grant(self: Loans, now: float, lender: str, number: int, amount: int) -> bool:
        asked = self._requests.pop(lender, None)
        if asked is None or asked[0] != number:
            return False
        if amount > 0:
            self._borrowed[lender] = BorrowedLoan(number, amount, now + 2.0 * self._terms.loan_s)
        return True

    Loans.accept_grant = accept_grant
