"""Node lists with generated nodes in discovery's format, and a proxy that applies them."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from limebridge.standins.configuration import configuration
from limebridge.virtual import Kernel, VirtualLoop
from limebridge.virtual.net import network
from limebridge.virtual.process import VirtualTurns
from violetroute.config import Config, parse
from violetroute.membership import Listing, parse_listing
from violetroute.proxy import Proxy

ZONES = 28
DISCOVERY_PORT = 9
WALL_CLOCK = 1.7e9  # Unix time in s at the virtual clock's 0
STARTED_AT_MS = 1_690_000_000_000  # so long ago that every node counts as warm
READY, DRAINING = "in_service", "terminating"


def node_entry(number: int, lifecycle: str = READY) -> dict[str, Any]:
    """The entry of node `number` in discovery's JSON format."""
    return {
        "instanceId": f"cache-{number:05d}",
        "hostPort": f"10.{number // 62_500}.{number // 250 % 250}.{1 + number % 250}:6379",
        "zone": f"zone-{number % ZONES:02d}",
        "machineType": "cache-large",
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": STARTED_AT_MS,
    }


def full_list_line(count: int) -> bytes:
    """The line of discovery's watch that has the whole list of `count` nodes."""
    instances = [node_entry(number) for number in range(count)]
    return json.dumps({"generation": 1, "reset": True, "instances": instances}).encode()


def changes_list(numbers: Iterable[int], lifecycle: str) -> Listing:
    """A list of changes, in which these nodes have the state `lifecycle`."""
    instances = [node_entry(number, lifecycle) for number in numbers]
    return parse_listing({"generation": 2, "reset": False, "instances": instances})


def create_proxy(kernel: Kernel, loop: VirtualLoop, config: Config) -> Proxy:
    """The daemon's proxy on an in-memory network."""
    net = network(kernel, "proxy", loop, lambda: WALL_CLOCK + kernel.now, VirtualTurns(loop))
    return Proxy(config, net)


class ProxyOnVirtualNetwork:
    """The daemon's proxy without a running event loop; lists are passed directly to it."""

    def __init__(self) -> None:
        self.kernel = Kernel(1)
        loop = VirtualLoop(self.kernel)
        self.proxy = create_proxy(self.kernel, loop, parse(configuration(DISCOVERY_PORT, [])))

    def advance(self, seconds: float) -> None:
        """Advance the clock; timers that expire do not run."""
        self.kernel.now += seconds
