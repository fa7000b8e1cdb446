"""Injected bug: a lender grants each renewal, even if it needs its home part itself by then."""

from violetroute.sharing.loans import Loans


def plant() -> None:
    def lendable(self: Loans, now: float, need: int) -> int:
        return 0 if self.suspended or now < self._home_available_at else self.home - self.floor

    Loans.lendable = lendable
