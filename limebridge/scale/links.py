"""Links between regions: delay, loss and cuts, in one table that all processes of a run share.

The table is a small file that every process maps into its memory. The process that runs the whole
writes it; relays (TCP) and shaped sockets (UDP) read it for each segment or datagram. So a change
holds everywhere at once and no process has to be told.
"""

from __future__ import annotations

import mmap
import random
from collections.abc import Iterator
from pathlib import Path

INTRA_REGION_DELAY_S = 0.002  # one way
MIN_INTER_REGION_DELAY_S = 0.020  # one way, of the shortest link between two regions
MAX_INTER_REGION_DELAY_S = 0.120
CUT = 1.0
FIELDS = 3  # of a link: delay in s, share of packets lost, cut (CUT) or not (0)
DELAY, LOSS, IS_CUT = range(FIELDS)
DOUBLE = 8  # bytes
FIRST_REGION_OCTET = 10  # region 0 is 127.10.0.0/16
MIN_RTO_S = 0.2  # Linux's lower bound of a retransmission timeout
MAX_RTO_DOUBLINGS = 6  # of the retransmission timeout, for one segment


class LinkTable:
    """Delay, loss and cuts from each region to each other region.  One direction each."""

    def __init__(self, path: Path, regions: int, writable: bool = False) -> None:
        """Map a table that `create` has written.  OSError, ValueError for a file that is none."""
        self.regions = regions
        size = regions * regions * FIELDS * DOUBLE
        access = mmap.ACCESS_WRITE if writable else mmap.ACCESS_READ
        with open(path, "r+b" if writable else "rb") as file:
            self._map = mmap.mmap(file.fileno(), size, access=access)
        self._values = memoryview(self._map).cast("d")

    @classmethod
    def create(cls, path: Path, regions: int, seed: int, loss: float = 0.0) -> LinkTable:
        """A table of healthy links: delays drawn from the seed, the same loss everywhere."""
        path.write_bytes(bytes(regions * regions * FIELDS * DOUBLE))
        table = cls(path, regions, writable=True)
        rng = random.Random(f"links/{seed}")
        for first in range(regions):
            for second in range(first, regions):
                delay = rng.uniform(MIN_INTER_REGION_DELAY_S, MAX_INTER_REGION_DELAY_S)
                delay = INTRA_REGION_DELAY_S if first == second else delay
                for source, target in ((first, second), (second, first)):
                    table._set(source, target, DELAY, delay)
                    table._set(source, target, LOSS, loss)
        return table

    def close(self) -> None:
        """Give the mapping back."""
        self._values.release()
        self._map.close()

    def _set(self, source: int, target: int, field: int, value: float) -> None:
        self._values[(source * self.regions + target) * FIELDS + field] = value

    def _get(self, source: int, target: int, field: int) -> float:
        return self._values[(source * self.regions + target) * FIELDS + field]

    def delay(self, source: int, target: int) -> float:
        """Seconds that a packet takes, one way."""
        return self._get(source, target, DELAY)

    def loss(self, source: int, target: int) -> float:
        """Share of the packets that are lost, 0 to 1."""
        return self._get(source, target, LOSS)

    def is_cut(self, source: int, target: int) -> bool:
        """Whether nothing passes."""
        return self._get(source, target, IS_CUT) == CUT

    def set_delay(self, source: int, target: int, seconds: float) -> None:
        """One direction's delay from now on."""
        self._set(source, target, DELAY, seconds)

    def set_loss(self, source: int, target: int, share: float) -> None:
        """One direction's loss from now on."""
        self._set(source, target, LOSS, share)

    def set_cut(self, source: int, target: int, cut: bool = True) -> None:
        """Cut or mend one direction."""
        self._set(source, target, IS_CUT, CUT if cut else 0.0)

    def isolate(self, region: int, isolated: bool = True) -> None:
        """Cut or mend a region's links to all others, both directions."""
        for other in self._others(region):
            self.set_cut(region, other, isolated)
            self.set_cut(other, region, isolated)

    def _others(self, region: int) -> Iterator[int]:
        return (other for other in range(self.regions) if other != region)


def loopback_host(region: int, number: int) -> str:
    """The loopback address of a region's member `number`: its region can be read from it."""
    return f"127.{FIRST_REGION_OCTET + region}.{number // 250}.{number % 250 + 1}"


def region_of_host(host: str) -> int:
    """The region of an address that `loopback_host` made.  -1 for another one."""
    first, _, rest = host.partition(".")
    second, _, _ = rest.partition(".")
    if first != "127" or not second.isdecimal():
        return -1
    return max(-1, int(second) - FIRST_REGION_OCTET)


def retransmission_delay(
    rng: random.Random, segments: int, loss: float, round_trip_s: float
) -> float:
    """Seconds by which lost segments delay a piece of a TCP stream.

    Each segment is lost with probability `loss`, and so is each retransmission. A lost segment
    costs a retransmission timeout (RTO), which doubles with each further loss of that segment; the
    stream waits for the segment that is delayed most. The RTO is twice the round trip, at least
    200 ms. Fast retransmission is left out: control messages are few segments long, so three
    duplicate acknowledgements rarely come. Lost acknowledgements cost nothing in this model.
    """
    if loss <= 0.0:
        return 0.0
    timeout = max(MIN_RTO_S, 2.0 * round_trip_s)
    max_delay = 0.0
    for _ in range(segments):
        delay, doublings = 0.0, 0
        while doublings < MAX_RTO_DOUBLINGS and rng.random() < loss:
            delay += timeout * 2**doublings
            doublings += 1
        max_delay = max(max_delay, delay)
    return max_delay
