"""What the clients of a rehearsal ask, and when: drawn along a curve, or from a recorded trace."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import Random
from typing import Any

from limebridge.standins.configuration import SETTINGS
from limebridge.standins.database import CustomerDatabase

from .crowd import Front, Want
from .keys import KeyChooser
from .scenario import Class, Scenario, rate
from .score import Asked
from .trace import read


class LoadGenerator:
    """Asks through the fronts; what was asked goes to the end of `asked`."""

    def __init__(
        self,
        scenario: Scenario,
        kernel: Any,  # the virtual one, or real.py's
        fronts: Sequence[Front],
        sites: Mapping[str, str],  # of fronts, by name
        keys: KeyChooser,
        database: CustomerDatabase,
        asked: list[Asked],
    ) -> None:
        self._scenario, self._kernel, self._fronts, self._sites = scenario, kernel, fronts, sites
        self._keys, self._database, self._asked = keys, database, asked
        self._began = 0.0
        self._number = itertools.count(1)
        self._classes = {c.name: c for c in scenario.classes}

    async def run(self, began: float, rng: Random) -> None:
        """Until the scenario's time is over; `began`: s of the kernel's clock."""
        self._began = began
        if self._scenario.load.trace:
            await self._replay(rng)
            return
        scenario = self._scenario
        curve, at, end = scenario.load.curve, began, began + scenario.run.seconds
        most = max(point.rate for point in curve)
        classes, shares = scenario.classes, [c.share for c in scenario.classes]
        tenants, parts = [t.name for t in scenario.tenant], [t.share for t in scenario.tenant]
        while at < end:
            at += rng.expovariate(most)
            keep = rng.random() * most <= rate(curve, at - self._began)
            if not keep or at >= end:
                continue
            await asyncio.sleep(max(0.0, at - self._kernel.now))
            cls = rng.choices(classes, shares)[0]
            self._ask(rng, cls, rng.choices(tenants, parts)[0])

    async def _replay(self, rng: Random) -> None:
        """What was recorded, at its own times; what it doesn't name is drawn."""
        load = self._scenario.load
        tenants = [t.name for t in self._scenario.tenant]
        for each in read(Path(load.trace), set(self._classes)):
            at = each.at / load.speed
            if at >= self._scenario.run.seconds:
                break
            await asyncio.sleep(max(0.0, self._began + at - self._kernel.now))
            self._ask(rng, self._classes[each.cls], each.tenant or tenants[0], each.key.encode())

    def _ask(self, rng: Random, cls: Class, tenant: str, key: bytes = b"") -> None:
        front = rng.choice(self._fronts)
        owner = front._name
        asked = Asked(
            self._kernel.now - self._began,
            cls.name,
            tenant,
            self._sites[owner],
            cls.worth * cls.work_ms / 1000.0,
            cls.aim_ms / 1000.0,
            cls.late,
        )
        self._asked.append(asked)
        name = b"OBJ.GET" if cls.effect == "pure" else b"OBJ.SET"
        low, high = self._scenario.clients.patience
        patience = cls.deadline_ms / 1000.0 * rng.uniform(low, high)
        words = (name, key or self._keys.draw(rng), b"w%d" % next(self._number))
        asked.work = cls.work_ms / 1000.0
        asked.life = self._life(cls.deadline_ms / 1000.0 * high)
        asked.fresh = self._keys.meet(
            words[1], cls.effect == "pure", self._database.running.is_set()
        )
        Want(front, asked, cls, words, patience).go()

    def _life(self, patience: float) -> float:
        """From the first try to the end of the last, with the longest waits between them."""
        clients, most = self._scenario.clients, SETTINGS["caps"]["maxRetryAfterMs"] / 1000.0
        waits = sum(
            max(most if clients.honours_busy else 0.0, clients.wait_ms / 1000.0 * 2.0**n)
            for n in range(clients.retries)
        )
        return patience * (1 + clients.retries) + 1.2 * waits
