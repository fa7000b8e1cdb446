"""A soak: one real daemon, lists and signals in series, clients that go on until the kill.

Each plan is drawn from a seed.  After SIGTERM clients use every connection that stays open, up to
the earliest SIGKILL that the platform allows.  What is judged was seen from outside: by clients, by
nodes, and by how the process ended.
"""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from pathlib import Path
from typing import Any, Literal

from limebridge import child_signals
from limebridge.child import INSTALLED, Child
from limebridge.ports import free_ports
from limebridge.standins.configuration import SETTINGS, configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.large_list import LargeList, host_of
from limebridge.standins.wire import reply

from .soak_clients import SoakClients
from .soak_plan import CHANGED_SHARE, SoakPlan, SoakResult, draw
from .violation import Violation

GRACE = 0.5  # s in which a node that drains may still be sent something
SLACK = 0.15  # s that a busy machine may add to a time that is judged
NODE_DELAYS = (0.0, 0.01, 0.03, 0.15)  # shares of the longest deadline until a node answers
SETTLES = 0.5  # s for stand-ins to end: beyond those delays


class Soak:
    """One run of a plan."""

    def __init__(self, plan: SoakPlan, folder: Path, command: tuple[str, ...] = INSTALLED) -> None:
        self.plan = plan
        self._chance = random.Random(f"soak/{plan.seed}/run")
        self._discovery, self._nodes = Discovery(), LargeList(plan.nodes)
        self._nodes.behaviour = self._serve
        self._out_since: dict[str, float] = {}  # hosts that left service, and when it was told
        self._arrivals: dict[bytes, int] = {}  # of commands at nodes, by id
        self._result = SoakResult(plan)
        self._child = Child(folder, "soak", command, on_log_line=self._logged)
        self._ended_at = 0.0

    async def run(self) -> SoakResult:
        """Until the daemon has ended or was killed."""
        plan, loop = self.plan, asyncio.get_running_loop()
        await self._discovery.start()
        await self._nodes.listen(free_ports(1)[0])
        port = await self._child.start(self._configuration(), free_ports(1)[0])
        self._clients = SoakClients(plan, port, self._arrivals)
        await self._clients.begin()
        self._began = loop.time()
        work = [
            asyncio.create_task(self._clients.play(self._began)),
            asyncio.create_task(self._tell_lists()),
            asyncio.create_task(self._send_signals()),
        ]
        try:
            await self._wait_for_the_end()
            for task in work:
                task.cancel()
            for outcome in await asyncio.gather(*work, return_exceptions=True):
                if isinstance(outcome, Exception):
                    raise outcome
        finally:
            await self._child.kill()
            await self._clients.close()
            await self._nodes.stop()
            await self._discovery.stop()
            await asyncio.sleep(SETTLES)  # until its calls have ended, too
        self._clients.judge(self._result, self._ended_at - self._began)
        return self._result

    def _configuration(self) -> dict[str, Any]:
        deadline = self.plan.deadline * 1e3
        classes = [
            each | {"promiseMs": deadline / 2.0, "deadlineMs": deadline}
            for each in SETTINGS["classes"]
        ]
        return configuration(
            self._discovery.port, self._nodes.nodes(), sockets=self.plan.sockets, classes=classes
        )

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._began

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._now))

    def _broken(self, rule: str, text: str) -> None:
        self._result.broken.append(Violation(rule, f"{self._now:.3f} s: {text}"))

    def _logged(self, line: str) -> None:
        if " ERROR " in line or "Traceback" in line:
            self._broken("log", line[:300])

    # --- nodes ---
    async def _serve(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        now, id_ = asyncio.get_running_loop().time(), words[2]
        self._arrivals[id_] = self._arrivals.get(id_, 0) + 1
        if b"c=once" in words[3] and self._arrivals[id_] > 1:
            self._broken("duplicate", f"{id_.decode()} came to nodes {self._arrivals[id_]} times")
        host = writer.get_extra_info("sockname")[0]
        since = self._out_since.get(host)
        if since is not None and now > since + GRACE + SLACK:
            self._broken("drain", f"{host} was asked {now - since:.3f} s after it left service")
        await asyncio.sleep(self.plan.deadline * self._chance.choice(NODE_DELAYS))
        writer.write(reply(b"value of " + id_))

    # --- discovery ---
    async def _tell_lists(self) -> None:
        for event in self.plan.lists:
            await self._until(event.at)
            numbers = range(event.first, self.plan.nodes, CHANGED_SHARE)
            if event.kind == "watch_ends":
                for writer in list(self._discovery.open):
                    writer.transport.abort()
            elif event.kind == "whole":
                left = [n for n in range(self.plan.nodes) if n not in numbers]
                self._in_service(left, True)
                self._in_service(numbers, False)
                self._discovery.publish(*self._nodes.nodes(left), reset=True)
            elif event.kind == "one_by_one":
                await self._one_by_one(numbers[:20])
            elif event.kind in ("back", "restart"):
                started = 1e3 if event.kind == "restart" else 0.0
                self._in_service(numbers, True)
                self._discovery.publish(
                    *(self._nodes.node(n, started_at_ms=started) for n in numbers)
                )
            else:
                self._in_service(numbers, False)
                lifecycle: Literal["terminating", "terminated"] = (
                    "terminating" if event.kind == "drain" else "terminated"
                )
                self._discovery.publish(*self._nodes.nodes(numbers, lifecycle))

    async def _one_by_one(self, numbers: range) -> None:
        for number in numbers:
            self._in_service([number], False)
            self._discovery.publish(self._nodes.node(number, "terminating"))
            await asyncio.sleep(0.02)
            self._in_service([number], True)
            self._discovery.publish(self._nodes.node(number))

    def _in_service(self, numbers: Any, serves: bool) -> None:
        now = asyncio.get_running_loop().time()
        for number in numbers:
            if serves or not self._discovery.open:  # who has no watch is told later
                self._out_since.pop(host_of(number), None)
            else:
                self._out_since.setdefault(host_of(number), now)

    # --- signals ---
    async def _send_signals(self) -> None:
        for event in self.plan.signals:
            await self._until(event.at)
            if not self._child.ended:
                child_signals.send(self._child.pid, getattr(signal, event.name))

    async def _wait_for_the_end(self) -> None:
        """It has to have ended by itself when SIGKILL may come."""
        plan = self.plan
        try:
            async with asyncio.timeout(max(0.0, plan.ends_at - self._now)):
                status = await self._child.wait()
                self._broken("crash", f"it ended with {status} before it was told to")
        except TimeoutError:
            pass
        try:
            async with asyncio.timeout(max(0.0, plan.killed_at - self._now)):
                status = await self._child.wait()
            if status != 0 and self._now > plan.ends_at:
                self._broken("exit", f"it ended with {status}")
        except TimeoutError:
            self._broken("exit", "it had not ended when SIGKILL came")
        self._ended_at = asyncio.get_running_loop().time()


def play(seed: int, command: tuple[str, ...] = INSTALLED) -> SoakResult:
    """Draw and run one plan."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(draw(seed), Path(folder), command).run())
