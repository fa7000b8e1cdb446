"""Relays on every way between real processes, so that each can be cut one way or both."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from limebridge.faults.relay import Impairment, Relay

from .network import Link


class Links:
    """A relay from each name to each control machine.  `ports`: of the machines, by name."""

    def __init__(self, askers: Sequence[str], ports: dict[str, int], seed: int) -> None:
        self._relays = {
            (asker, machine): Relay(port, f"{seed}/{asker}/{machine}")
            for asker in askers
            for machine, port in ports.items()
            if asker != machine
        }
        self._cut: Counter[Link] = Counter()

    async def start(self) -> None:
        """Listen."""
        for relay in self._relays.values():
            await relay.start()

    async def stop(self) -> None:
        """Everything that is open ends."""
        for relay in self._relays.values():
            await relay.stop()

    def address(self, asker: str, machine: str) -> str:
        """Where the machine is for this asker."""
        return f"127.0.0.1:{self._relays[asker, machine].port}"

    def cut(self, links: Iterable[Link]) -> None:
        """Nothing passes from the first name to the second, until `mend` was called as often."""
        self._cut.update(links)
        self._apply()

    def mend(self, links: Iterable[Link]) -> None:
        """Undo one `cut`."""
        self._cut.subtract(links)
        self._apply()

    def _apply(self) -> None:
        for (asker, machine), relay in self._relays.items():
            there = Impairment(cut=self._cut[asker, machine] > 0)
            back = Impairment(cut=self._cut[machine, asker] > 0)
            if (there.cut, back.cut) != (relay.forward.cut, relay.backward.cut):
                relay.impair(there, back)
