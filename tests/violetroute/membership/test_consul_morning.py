"""No request is lost and no drain is violated while Consul is unreliable and the load increases.

Consul answers late, its checks flap, both agents stop and then send truncated answers, and a node
dies.  In one variant the process gets no CPU time for 0.7 s meanwhile.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest

from limebridge.rules import RuleChecker, RuleLimits
from limebridge.standins.clients import LoadGenerator
from limebridge.standins.consul import Catalogue, Consul
from limebridge.standins.database import CustomerDatabase
from limebridge.standins.fleet import FleetNode, IdempotencyKeys
from tests.support import stall_free_loop
from tests.support.rig import Rig, wait_until
from tests.support.send_times import SendTimes
from violetroute.config import Operator
from violetroute.membership import ConsulTable
from violetroute.upstream import Attempt

CLASS = {"name": "lookup", "promiseMs": 300.0, "deadlineMs": 600.0, "effect": "pure", "worth": 2.0}
STRAY_S = 0.55  # s after the last answer in which a later send is still detected
ORDER = {
    "node_reported": 0,
    "request_sent": 1,
    "arrived": 2,
    "accepted": 3,
    "answered": 4,
    "expired": 5,
}


class Seen:
    """Collects the events at the proxy's peers for the checker, which needs them in time order."""

    def __init__(self) -> None:
        self.events: list[tuple[float, str, tuple[Any, ...]]] = []
        self.times = SendTimes()  # send and answer times in the proxy itself
        self.sent_late: list[tuple[str, str, float]] = []  # node, id, s after the final answer

    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        answered_at = self.times.answer_times.get(id_)
        if answered_at is not None and sent_at > answered_at:
            self.sent_late.append((node, id_, sent_at - answered_at))
        self.events.append((at, "arrived", (node, id_, sent_at)))

    def accepted(self, at: float, node: str, id_: str) -> None:
        self.events.append((at, "accepted", (node, id_)))

    def effect(self, at: float, node: str, id_: str) -> None: ...
    def started(self, at: float, node: str, capacity: float) -> None: ...

    def clients(self, crowd: LoadGenerator) -> None:
        for ask in crowd.finished:
            id_ = ask.command_bytes.split(b"\r\n")[6].decode()
            self.events.append(
                (ask.sent_at, "request_sent", (id_, "lookup", ask.deadline - ask.sent_at))
            )
            assert ask.outcome != "closed"
            if ask.outcome == "expired":
                self.events.append((ask.ended_at, "expired", (id_,)))
            else:
                self.events.append((ask.ended_at, "answered", (id_, ask.outcome)))

    def check_rules(self) -> RuleChecker:
        checker = RuleChecker(RuleLimits({"lookup": "pure"}))
        for at, what, rest in sorted(self.events, key=lambda e: (e[0], ORDER[e[1]])):
            getattr(checker, what)(at, *rest)
        checker.finish(max(at for at, _, _ in self.events) + 1.0)
        return checker


@pytest.mark.parametrize("stall_s", [0.0, 0.7])
def test_no_request_is_lost_and_no_drain_violated_while_consul_is_unreliable(
    stall_s: float,
) -> None:
    # The clients send at fixed times, so after a stall of 0.7 s without CPU time they would send
    # all missed requests at once, beyond any limit.  The clock therefore stops during a stall.  One
    # variant forces a stall.
    async def run() -> None:
        loop, seen, catalogue = asyncio.get_running_loop(), Seen(), Catalogue()
        agents = [await Consul(catalogue, n).start() for n in range(2)]
        database, effects = CustomerDatabase(latency=0.01), IdempotencyKeys(2.0)
        nodes = [
            FleetNode(
                f"c{n}",
                database,
                effects,
                seen,
                f"{n}",
                slots=4,
                service_time=0.01,
                sent_at=seen.times.sent_at,
            )
            for n in range(6)
        ]
        for node in nodes:
            await node.start()
            catalogue.register(node.name, node.port, address="127.0.0.1")

        def record_drain(target: str, body: bytes) -> None:
            if catalogue.services["c1"].checks:  # the answer has its drain
                seen.events.append((loop.time(), "node_reported", ("c1", False)))

        for agent in agents:
            agent.on_answered = record_drain
        operator = Operator(
            consul=ConsulTable(
                agents=tuple(f"127.0.0.1:{agent.port}" for agent in agents),
                wait_s=0.3,
                least_interval_s=0.02,
                return_s=0.1,
            )
        )
        async with Rig(operator=operator, classes=[CLASS]) as rig:
            seen.times.watch(rig.proxy, {node.port for node in nodes})
            crowd = LoadGenerator(rig.port, 12)
            await crowd.connect()
            await wait_until(lambda: len(rig.proxy.nodes) == 6)

            def both(change: Callable[[Consul], None]) -> None:
                for agent in agents:
                    change(agent)

            async def morning() -> None:
                await asyncio.sleep(0.2)
                both(lambda agent: setattr(agent, "delay", 0.15))
                catalogue.check("c0", "critical")
                await asyncio.sleep(0.2)
                catalogue.set_maintenance("c1", True)  # a drain, reported late
                await wait_until(lambda: len(rig.proxy.nodes) == 4)
                both(lambda agent: setattr(agent, "delay", 0.0))
                for status in ("passing", "critical") * 4:  # flapping
                    catalogue.check("c2", status)
                    await asyncio.sleep(0.05)
                catalogue.check("c2", "passing")
                await wait_until(lambda: len(rig.proxy.nodes) == 4)
                for agent in agents:  # all agents stop under load, and a node crashes
                    await agent.stop()
                await nodes[3].crash()
                await asyncio.sleep(0.25)
                time.sleep(stall_s)
                await asyncio.sleep(0.25)
                both(lambda agent: setattr(agent, "truncate_after", 150))
                for agent in agents:
                    await agent.start(agent.port)
                await asyncio.sleep(0.3)
                both(lambda agent: setattr(agent, "truncate_after", 0))
                catalogue.deregister("c3")
                catalogue.check("c0", "passing")
                await wait_until(lambda: len(rig.proxy.nodes) == 4)

            troubles = asyncio.create_task(morning())
            for rate in (80.0, 160.0, 240.0):  # increasing load
                await crowd.run(rate, 0.8)
            while not troubles.done():
                await crowd.run(160.0, 0.1)
            await troubles
            await crowd.wait_for_answers()
            crowd.close()
            await asyncio.sleep(STRAY_S)
        for agent in agents:
            await agent.stop()
        for node in nodes:
            await node.crash()
        seen.clients(crowd)
        checker = seen.check_rules()
        assert checker.violations == []
        assert seen.sent_late == []
        # The answer time is known for nearly all requests.
        assert len(seen.times.answer_times) >= 0.95 * crowd.sent
        assert crowd.count_outcomes()["served"] > 0.95 * crowd.sent
        assert any(what == "node_reported" for _, what, _ in seen.events)

    stall_free_loop.run(run())


@pytest.mark.parametrize("after_s", [0.0, 0.005, 0.1])
def test_a_proxy_that_sends_after_its_final_answer_is_detected(after_s: float) -> None:
    # Injected bug: a request that was just answered is sent to a node again.
    async def run() -> None:
        loop, seen = asyncio.get_running_loop(), Seen()
        node = FleetNode(
            "c0",
            CustomerDatabase(latency=0.01),
            IdempotencyKeys(2.0),
            seen,
            "0",
            service_time=0.01,
            sent_at=seen.times.sent_at,
        )
        async with Rig(node, classes=[CLASS]) as rig:
            seen.times.watch(rig.proxy, {node.port})
            pool, answer = rig.proxy._pool, rig.proxy._answer
            may_send = rig.proxy.may_send
            planted: set[Attempt] = set()
            answered_first: list[Any] = []

            def send_again(request: Any) -> None:
                first = request.attempts[0]
                attempt = Attempt(
                    request.id,
                    len(request.attempts),
                    first.cache_id,
                    request.command,
                    first.sent_at,
                    first.wait_until,
                )
                planted.add(attempt)
                pool.send(attempt)

            def answer_and_send(request: Any, *parts: bytes | bytearray) -> None:
                answer(request, *parts)
                if after_s and not answered_first:
                    loop.call_later(after_s, send_again, request)
                elif not answered_first:
                    send_again(request)
                answered_first.append(request)

            rig.proxy._answer = answer_and_send  # type: ignore[method-assign]
            rig.proxy.may_send = lambda each: each in planted or may_send(each)  # type: ignore[method-assign]
            crowd = LoadGenerator(rig.port, 1)
            await crowd.connect()
            await crowd.run(200.0, 0.1)
            await crowd.wait_for_answers()
            await wait_until(lambda: seen.sent_late)
            crowd.close()
        seen.clients(crowd)
        assert len(seen.sent_late) == 1 and seen.sent_late[0][2] >= after_s
        broken = [each.message for each in seen.check_rules().violations]
        if after_s >= 0.1:  # the client has read the answer by then
            assert broken == ["sent to c0 after the final answer"]

    stall_free_loop.run(run())
