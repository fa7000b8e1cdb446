"""Generates the requests of a rehearsal, at random along a rate curve or from a recorded trace."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import Random
from typing import Any

from limebridge.standins.configuration import SETTINGS
from limebridge.standins.database import CustomerDatabase

from .clients import ClientPool, RequestSender
from .keys import KeyChooser
from .scenario import Class, Scenario, rate_at
from .score import RequestRecord
from .trace import read_trace


class LoadGenerator:
    """Sends requests through the client pools and appends a record of each to `requests`."""

    def __init__(
        self,
        scenario: Scenario,
        kernel: Any,  # limebridge.virtual.Kernel, or RealTimeKernel in real.py
        pools: Sequence[ClientPool],
        sites: Mapping[str, str],  # site by the name of the pool's proxy
        keys: KeyChooser,
        database: CustomerDatabase,
        requests: list[RequestRecord],
    ) -> None:
        self._scenario, self._kernel, self._pools, self._sites = scenario, kernel, pools, sites
        self._keys, self._database, self._requests = keys, database, requests
        self._started_at = 0.0
        self._write_numbers = itertools.count(1)
        self._classes = {c.name: c for c in scenario.classes}

    async def run(self, started_at: float, rng: Random) -> None:
        """Generate load until the scenario ends; it began at `started_at` (s, kernel's clock)."""
        self._started_at = started_at
        if self._scenario.load.trace:
            await self._replay(rng)
            return
        scenario = self._scenario
        curve, at, end = scenario.load.curve, started_at, started_at + scenario.run.seconds
        max_rate = max(point.rate for point in curve)
        classes, shares = scenario.classes, [c.share for c in scenario.classes]
        tenants, tenant_shares = (
            [t.name for t in scenario.tenant],
            [t.share for t in scenario.tenant],
        )
        while at < end:
            at += rng.expovariate(max_rate)
            accepted = rng.random() * max_rate <= rate_at(curve, at - self._started_at)
            if not accepted or at >= end:
                continue
            await asyncio.sleep(max(0.0, at - self._kernel.now))
            cls = rng.choices(classes, shares)[0]
            self._send_request(rng, cls, rng.choices(tenants, tenant_shares)[0])

    async def _replay(self, rng: Random) -> None:
        """Send the recorded requests at their recorded times.

        A missing tenant is the scenario's first one, a missing key is drawn.
        """
        load = self._scenario.load
        tenants = [t.name for t in self._scenario.tenant]
        for recorded in read_trace(Path(load.trace), set(self._classes)):
            at = recorded.at / load.speed
            if at >= self._scenario.run.seconds:
                break
            await asyncio.sleep(max(0.0, self._started_at + at - self._kernel.now))
            self._send_request(
                rng,
                self._classes[recorded.cls],
                recorded.tenant or tenants[0],
                recorded.key.encode(),
            )

    def _send_request(self, rng: Random, cls: Class, tenant: str, key: bytes = b"") -> None:
        pool = rng.choice(self._pools)
        proxy = pool._name
        request = RequestRecord(
            self._kernel.now - self._started_at,
            cls.name,
            tenant,
            self._sites[proxy],
            cls.worth * cls.work_ms / 1000.0,
            cls.aim_ms / 1000.0,
            cls.late,
        )
        self._requests.append(request)
        command = b"OBJ.GET" if cls.effect == "pure" else b"OBJ.SET"
        low, high = self._scenario.clients.patience
        timeout_s = cls.deadline_ms / 1000.0 * rng.uniform(low, high)
        arguments = (command, key or self._keys.choose(rng), b"w%d" % next(self._write_numbers))
        request.work = cls.work_ms / 1000.0
        request.useful_s = self._useful_time(cls.deadline_ms / 1000.0 * high)
        request.must_fetch = self._keys.record_access(
            arguments[1], cls.effect == "pure", self._database.running.is_set()
        )
        RequestSender(pool, request, cls, arguments, timeout_s).start_attempt()

    def _useful_time(self, timeout_s: float) -> float:
        """Longest time (s) from the first attempt to the end of the last, with maximal waits.

        Clients vary each wait by a factor of up to 1.2.
        """
        clients, max_wait = self._scenario.clients, SETTINGS["caps"]["maxRetryAfterMs"] / 1000.0
        waits = sum(
            max(max_wait if clients.honours_busy else 0.0, clients.wait_ms / 1000.0 * 2.0**n)
            for n in range(clients.retries)
        )
        return timeout_s * (1 + clients.retries) + 1.2 * waits
