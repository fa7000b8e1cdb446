"""A new leader uses the earliest leader contact of its majority as bound instead of the latest."""

from collections.abc import Iterable

from violetroute.distribution import machine


def plant() -> None:
    def earliest(own: float, others: Iterable[float]) -> float:
        return min((own, *others))

    machine.latest_contact = earliest
