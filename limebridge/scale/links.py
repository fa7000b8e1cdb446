"""The network links between regions: delay, loss and cuts, shared by all processes of a run.

The table is a small file that every process maps into memory.  The process that controls the run
writes it; relays (TCP) and shaped sockets (UDP) read it for each segment or datagram.  A change
therefore applies in all processes at once, without a message to them.
"""

from __future__ import annotations

import mmap
import random
from collections.abc import Iterator
from pathlib import Path

INTRA_REGION_DELAY_S = 0.002  # s one way within a region
MIN_INTER_REGION_DELAY_S = 0.020  # s one way between two regions
MAX_INTER_REGION_DELAY_S = 0.120
CUT = 1.0  # value of the IS_CUT field of a link that passes no packets
FIELDS = 3  # per link: delay in s, share of packets lost, cut (CUT) or not (0)
DELAY, LOSS, IS_CUT = range(FIELDS)
DOUBLE_BYTES = 8  # bytes of a field
FIRST_REGION_OCTET = 10  # region 0 is 127.10.0.0/16
MIN_RTO_S = 0.2  # lower bound of the retransmission timeout in Linux
MAX_RTO_DOUBLINGS = 6  # lost transmissions of one segment that are simulated


class LinkTable:
    """Delay, loss and cut state of the link from each region to each region.

    Each direction between two regions is a link of its own.
    """

    def __init__(self, path: Path, regions: int, writable: bool = False) -> None:
        """Map a table that `create` has written.

        Raises OSError if the file cannot be opened, ValueError if it is too small for `regions`.
        """
        self.regions = regions
        size = regions * regions * FIELDS * DOUBLE_BYTES
        access = mmap.ACCESS_WRITE if writable else mmap.ACCESS_READ
        with open(path, "r+b" if writable else "rb") as file:
            self._map = mmap.mmap(file.fileno(), size, access=access)
        self._values = memoryview(self._map).cast("d")

    @classmethod
    def create(cls, path: Path, regions: int, seed: int, loss: float = 0.0) -> LinkTable:
        """Write a table without cuts, with random delays from `seed` and `loss` on all links.

        Both directions between two regions have the same delay.
        """
        path.write_bytes(bytes(regions * regions * FIELDS * DOUBLE_BYTES))
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
        """Unmap the file."""
        self._values.release()
        self._map.close()

    def _set(self, source: int, target: int, field: int, value: float) -> None:
        self._values[(source * self.regions + target) * FIELDS + field] = value

    def _get(self, source: int, target: int, field: int) -> float:
        return self._values[(source * self.regions + target) * FIELDS + field]

    def delay(self, source: int, target: int) -> float:
        """The one-way delay of a packet in seconds."""
        return self._get(source, target, DELAY)

    def loss(self, source: int, target: int) -> float:
        """The share of packets that are lost, 0 to 1."""
        return self._get(source, target, LOSS)

    def is_cut(self, source: int, target: int) -> bool:
        """Whether the link passes no packets."""
        return self._get(source, target, IS_CUT) == CUT

    def set_delay(self, source: int, target: int, seconds: float) -> None:
        """Set the delay of one direction; packets already delayed keep theirs."""
        self._set(source, target, DELAY, seconds)

    def set_loss(self, source: int, target: int, share: float) -> None:
        """Set the share of packets, 0 to 1, that one direction loses from now on."""
        self._set(source, target, LOSS, share)

    def set_cut(self, source: int, target: int, cut: bool = True) -> None:
        """Cut one direction, or restore it with `cut=False`."""
        self._set(source, target, IS_CUT, CUT if cut else 0.0)

    def isolate(self, region: int, isolated: bool = True) -> None:
        """Cut a region's links to and from all others, or restore them with `isolated=False`."""
        for other in self._others(region):
            self.set_cut(region, other, isolated)
            self.set_cut(other, region, isolated)

    def _others(self, region: int) -> Iterator[int]:
        return (other for other in range(self.regions) if other != region)


def loopback_host(region: int, number: int) -> str:
    """The loopback address of a region's member `number`; `region_of_host` reads its region."""
    return f"127.{FIRST_REGION_OCTET + region}.{number // 250}.{number % 250 + 1}"


def region_of_host(host: str) -> int:
    """The region that `loopback_host` encoded in an address; -1 if it has none."""
    first, _, rest = host.partition(".")
    second, _, _ = rest.partition(".")
    if first != "127" or not second.isdecimal():
        return -1
    return max(-1, int(second) - FIRST_REGION_OCTET)


def retransmission_delay(
    rng: random.Random, segments: int, loss: float, round_trip_s: float
) -> float:
    """Seconds by which lost segments delay `segments` segments of a TCP stream.

    Each transmission of a segment is lost with probability `loss`.  A lost segment costs a
    retransmission timeout (RTO), which doubles with each further loss of that segment; the result
    is the delay of the slowest segment, because TCP delivers in order.  The RTO is twice the round
    trip, at least 200 ms.  Fast retransmission is not simulated: control messages are only a few
    segments long and rarely cause the three duplicate acknowledgements that trigger it.  Lost
    acknowledgements cause no delay in this model.
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
