"""Planted fault: one proxy is missing when a batch counts as applied everywhere.

The leader does not wait for the acknowledgement of the last proxy.
"""

from violetroute.distribution.roster import Roster


def plant() -> None:
    def second_lowest(self: Roster) -> int | None:
        positions = sorted(self._positions.values())
        return positions[min(1, len(positions) - 1)] if positions else None

    Roster.min_position = property(second_lowest)  # type: ignore[assignment]
