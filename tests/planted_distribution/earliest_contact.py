"""Planted fault: a new leader takes the wrong bound on the `as_of` of earlier leaders.

It uses the earliest leader contact of its majority instead of the latest.
"""

from collections.abc import Iterable

from violetroute.distribution import machine


def plant() -> None:
    def earliest(own: float, others: Iterable[float]) -> float:
        return min((own, *others))

    machine.latest_contact = earliest
