"""A real daemon with thousands of cache nodes answers in time while the list changes."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from limebridge.ports import free_ports
from limebridge.standins.clients import ClientRequest, LoadGenerator
from limebridge.standins.configuration import SETTINGS
from limebridge.standins.large_list import LargeList
from tests.support.rig import Discovery, configuration, wait_until
from tests.violetroute.test_program import Program, launch

NODES = 3200
FIFTH = range(0, NODES, 5)
RATE = 60.0  # requests a second
WAIT = 0.5  # s; each client's wait
SLACK = 0.05  # s; tolerance of each time limit over sockets
BEFORE, AFTER = 1.0, 3.0  # s of requests before and after the change


def settings() -> dict[str, Any]:
    classes = copy.deepcopy(SETTINGS["classes"])
    classes[0] |= {"promiseMs": WAIT * 600.0, "deadlineMs": WAIT * 1000.0}
    return SETTINGS | {"classes": classes}


@dataclass
class LargeFleet:
    """The daemon with discovery, its nodes and many clients."""

    daemon: Program
    discovery: Discovery
    nodes: LargeList
    crowd: LoadGenerator

    async def run(self, seconds: float) -> None:
        await self.crowd.run(RATE, seconds)

    async def check_answers(self) -> None:
        """Check that all requests are answered in time and nearly all are served."""
        await self.crowd.wait_for_answers()
        late = [ask for ask in self.crowd.finished if waited(ask) > WAIT + SLACK]
        worst = max(map(waited, self.crowd.finished))
        kinds = self.crowd.count_outcomes()
        assert not late and not kinds["expired"], f"{len(late)} late, the latest {worst:.3f} s"
        assert kinds["served"] >= 0.9 * self.crowd.sent, kinds
        assert "Traceback" not in "".join(self.daemon.log)
        assert len(self.discovery.requests) == 1, "the watch ended and was opened again"


def waited(ask: ClientRequest) -> float:
    """Seconds from a request to its answer."""
    return ask.ended_at - ask.sent_at


@asynccontextmanager
async def large_fleet(tmp_path: Path) -> AsyncIterator[LargeFleet]:
    """A daemon under load, with its list from the configuration and from a watch."""
    nodes = await LargeList(NODES).listen(free_ports(1)[0])
    discovery = await Discovery().start()
    raw = configuration(discovery.port, nodes.nodes(), listen=free_ports(1)[0])
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw | {"settings": settings()}))
    daemon = Program(await launch(path, PROXY_DISCOVERY=raw["discovery"]), path, raw)
    crowd = LoadGenerator(
        daemon.port, clients=30, wait=WAIT + 2 * SLACK, wait_field=b"%d" % (WAIT * 1000.0)
    )
    try:
        await daemon.logged("listens on")
        await wait_until(lambda: discovery.open)
        await crowd.connect()
        yield LargeFleet(daemon, discovery, nodes, crowd)
    finally:
        crowd.close()
        if daemon.process.returncode is None:
            daemon.process.kill()
            await daemon.ended()
        await discovery.stop()
        await nodes.stop()


@pytest.mark.long
def test_no_answer_is_late_while_a_fifth_of_3200_nodes_drains(tmp_path: Path) -> None:
    """Incident 65d06d: one iteration of the event loop took seconds to apply such a list."""

    async def run() -> None:
        async with large_fleet(tmp_path) as fleet:
            await fleet.run(BEFORE)
            fleet.discovery.publish(*fleet.nodes.nodes(FIFTH, "terminating"))
            await fleet.run(AFTER)
            await fleet.check_answers()

    asyncio.run(run())


@pytest.mark.long
def test_no_answer_is_late_while_a_whole_list_lacks_a_fifth_of_3200_nodes(tmp_path: Path) -> None:
    """A variant of incident 65d06d: a whole list removes the nodes that it does not name."""

    async def run() -> None:
        async with large_fleet(tmp_path) as fleet:
            await fleet.run(BEFORE)
            left = [number for number in range(NODES) if number not in FIFTH]
            fleet.discovery.publish(*fleet.nodes.nodes(left), reset=True)
            await fleet.run(AFTER)
            await fleet.check_answers()

    asyncio.run(run())


@pytest.mark.long
def test_a_whole_list_of_3200_nodes_does_not_end_the_watch(tmp_path: Path) -> None:
    """Found with incident 65d06d: a list over 512 KiB ended each watch, without a log line."""

    async def run() -> None:
        async with large_fleet(tmp_path) as fleet:
            fleet.discovery.publish(*fleet.nodes.nodes(), reset=True)
            await fleet.run(AFTER)
            await fleet.check_answers()

    asyncio.run(run())
