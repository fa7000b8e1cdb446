"""A soak: one real daemon under list changes and signals, with clients that go on until its end.

Each plan is generated from a seed.  After SIGTERM the clients use every connection that stays open,
up to the earliest SIGKILL that the platform allows.  The rules are checked on what clients and
nodes observe, on the daemon's log, and on how the process ends.
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
from .soak_plan import CHANGE_STRIDE, SoakPlan, SoakResult, generate
from .violation import Violation

DRAIN_GRACE_S = 0.5  # s in which a draining node may still receive requests
SLACK_S = 0.15  # s that a busy machine may add to a checked time
NODE_DELAYS = (0.0, 0.01, 0.03, 0.15)  # shares of the longest deadline until a node answers
STANDIN_END_S = 0.5  # s for the stand-ins to end; longer than those delays


class Soak:
    """One run of a plan; files are kept in `folder`, and `command` starts the daemon."""

    def __init__(self, plan: SoakPlan, folder: Path, command: tuple[str, ...] = INSTALLED) -> None:
        self.plan = plan
        self._rng = random.Random(f"soak/{plan.seed}/run")
        self._discovery, self._nodes = Discovery(), LargeList(plan.nodes)
        self._nodes.behaviour = self._serve
        self._out_of_service_since: dict[str, float] = {}  # time of publication, by host
        self._arrivals: dict[bytes, int] = {}  # number of arrivals of a command at the nodes, by id
        self._result = SoakResult(plan)
        self._child = Child(folder, "soak", command, on_log_line=self._on_log_line)
        self._ended_at = 0.0

    async def run(self) -> SoakResult:
        """Run until the daemon has exited or is killed; returns the result with all violations."""
        plan, loop = self.plan, asyncio.get_running_loop()
        await self._discovery.start()
        await self._nodes.listen(free_ports(1)[0])
        port = await self._child.start(self._configuration(), free_ports(1)[0])
        self._clients = SoakClients(plan, port, self._arrivals)
        await self._clients.connect()
        self._started_at = loop.time()
        tasks = [
            asyncio.create_task(self._clients.run(self._started_at)),
            asyncio.create_task(self._publish_lists()),
            asyncio.create_task(self._send_signals()),
        ]
        try:
            await self._wait_for_exit()
            for task in tasks:
                task.cancel()
            for outcome in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(outcome, Exception):
                    raise outcome
        finally:
            await self._child.kill()
            await self._clients.close()
            await self._nodes.stop()
            await self._discovery.stop()
            await asyncio.sleep(STANDIN_END_S)  # calls that the stand-ins still serve
        self._clients.check(self._result, self._ended_at - self._started_at)
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
        return asyncio.get_running_loop().time() - self._started_at

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._now))

    def _report_violation(self, rule: str, text: str) -> None:
        self._result.broken.append(Violation(rule, f"{self._now:.3f} s: {text}"))

    def _on_log_line(self, line: str) -> None:
        if " ERROR " in line or "Traceback" in line:
            self._report_violation("log", line[:300])

    # --- nodes ---
    async def _serve(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        now, id_ = asyncio.get_running_loop().time(), words[2]
        self._arrivals[id_] = self._arrivals.get(id_, 0) + 1
        if b"c=once" in words[3] and self._arrivals[id_] > 1:
            self._report_violation(
                "duplicate", f"{id_.decode()} reached nodes {self._arrivals[id_]} times"
            )
        host = writer.get_extra_info("sockname")[0]
        since = self._out_of_service_since.get(host)
        if since is not None and now > since + DRAIN_GRACE_S + SLACK_S:
            self._report_violation(
                "drain", f"{host} got a request {now - since:.3f} s after it left service"
            )
        await asyncio.sleep(self.plan.deadline * self._rng.choice(NODE_DELAYS))
        writer.write(reply(b"value of " + id_))

    # --- discovery ---
    async def _publish_lists(self) -> None:
        for event in self.plan.lists:
            await self._sleep_until(event.at)
            numbers = range(event.first, self.plan.nodes, CHANGE_STRIDE)
            if event.kind == "watch_ends":
                for writer in list(self._discovery.open):
                    writer.transport.abort()
            elif event.kind == "whole":
                remaining = [n for n in range(self.plan.nodes) if n not in numbers]
                self._set_in_service(remaining, True)
                self._set_in_service(numbers, False)
                self._discovery.publish(*self._nodes.nodes(remaining), reset=True)
            elif event.kind == "one_by_one":
                await self._one_by_one(numbers[:20])
            elif event.kind in ("back", "restart"):
                started = 1e3 if event.kind == "restart" else 0.0
                self._set_in_service(numbers, True)
                self._discovery.publish(
                    *(self._nodes.node(n, started_at_ms=started) for n in numbers)
                )
            else:
                self._set_in_service(numbers, False)
                lifecycle: Literal["terminating", "terminated"] = (
                    "terminating" if event.kind == "drain" else "terminated"
                )
                self._discovery.publish(*self._nodes.nodes(numbers, lifecycle))

    async def _one_by_one(self, numbers: range) -> None:
        """Drain and restore nodes one after another, with a publication for each change."""
        for number in numbers:
            self._set_in_service([number], False)
            self._discovery.publish(self._nodes.node(number, "terminating"))
            await asyncio.sleep(0.02)
            self._set_in_service([number], True)
            self._discovery.publish(self._nodes.node(number))

    def _set_in_service(self, numbers: Any, serves: bool) -> None:
        now = asyncio.get_running_loop().time()
        for number in numbers:
            if serves or not self._discovery.open:  # without a watch, the daemon learns of it later
                self._out_of_service_since.pop(host_of(number), None)
            else:
                self._out_of_service_since.setdefault(host_of(number), now)

    # --- signals ---
    async def _send_signals(self) -> None:
        for event in self.plan.signals:
            await self._sleep_until(event.at)
            if not self._child.ended:
                child_signals.send(self._child.pid, getattr(signal, event.name))

    async def _wait_for_exit(self) -> None:
        """Check that the daemon exits after SIGTERM, and before the earliest SIGKILL."""
        plan = self.plan
        try:
            async with asyncio.timeout(max(0.0, plan.ends_at - self._now)):
                status = await self._child.wait()
                self._report_violation(
                    "crash",
                    f"the daemon exited with status {status} before its first SIGTERM or SIGINT",
                )
        except TimeoutError:
            pass
        try:
            async with asyncio.timeout(max(0.0, plan.killed_at - self._now)):
                status = await self._child.wait()
            if status != 0 and self._now > plan.ends_at:
                self._report_violation("exit", f"the daemon exited with status {status}")
        except TimeoutError:
            self._report_violation("exit", "the daemon had not exited when SIGKILL was due")
        self._ended_at = asyncio.get_running_loop().time()


def run_seed(seed: int, command: tuple[str, ...] = INSTALLED) -> SoakResult:
    """Generate and run the plan of a seed; `command` starts the daemon."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(generate(seed), Path(folder), command).run())
