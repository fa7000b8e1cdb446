"""The leader counts a batch as applied everywhere while the last proxy has not acknowledged it."""

from violetroute.distribution.roster import Roster


def plant() -> None:
    def least(self: Roster) -> int | None:
        positions = sorted(self._positions.values())
        return positions[min(1, len(positions) - 1)] if positions else None

    Roster.min_position = property(least)  # type: ignore[assignment]
