"""Relays between real processes, so that each link can be cut in one direction or both."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from limebridge.faults.relay import Impairment, Relay

from .network import Link


class Links:
    """A relay from each requester to each control machine; `ports` are the machines', by name.

    Every relay draws its random behaviour from `seed` and the two names.
    """

    def __init__(self, requesters: Sequence[str], ports: dict[str, int], seed: int) -> None:
        self._relays = {
            (requester, machine): Relay(port, f"{seed}/{requester}/{machine}")
            for requester in requesters
            for machine, port in ports.items()
            if requester != machine
        }
        self._cut: Counter[Link] = Counter()

    async def start(self) -> None:
        """Starts all relays."""
        for relay in self._relays.values():
            await relay.start()

    async def stop(self) -> None:
        """Stops all relays and closes their connections."""
        for relay in self._relays.values():
            await relay.stop()

    def address(self, requester: str, machine: str) -> str:
        """The address at which this requester reaches the machine: that of their relay."""
        return f"127.0.0.1:{self._relays[requester, machine].port}"

    def cut(self, links: Iterable[Link]) -> None:
        """Blocks traffic from the first to the second name of each link.

        A link passes traffic again after `restore` was called as often as `cut`.
        """
        self._cut.update(links)
        self._apply()

    def restore(self, links: Iterable[Link]) -> None:
        """Undoes one `cut` of each link."""
        self._cut.subtract(links)
        self._apply()

    def _apply(self) -> None:
        for (requester, machine), relay in self._relays.items():
            forward = Impairment(cut=self._cut[requester, machine] > 0)
            backward = Impairment(cut=self._cut[machine, requester] > 0)
            if (forward.cut, backward.cut) != (relay.forward.cut, relay.backward.cut):
                relay.impair(forward, backward)
