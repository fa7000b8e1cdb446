"""Races at discovery: changes of the list against calls that fail, stall, end or never begin."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from itertools import pairwise

import pytest

from limebridge.standins.configuration import SETTINGS
from tests.support.rig import CacheNode, Rig, wait_until
from tests.support.virtual_rig import VirtualRig, get, read_answer, run_scenario
from violetroute.membership.list_reader import LINE_LIMIT, ObjectSplitter, WatchError
from violetroute.membership.native import CONNECT_TIMEOUT, LINE_TIMEOUT

# A proxy counts as notified of a change this long (s) after discovery had it and was reachable.
NOTIFIED_WITHIN = 6.0
GRACE = 0.5  # s from the notification until a drain must be in effect
Trouble = Callable[[VirtualRig], Awaitable[None]]


async def refuses(here: VirtualRig) -> None:
    """Discovery answers 503 to each call."""
    here.discovery.unavailable = True
    for writer in list(here.discovery.open):
        writer.transport.abort()
    await asyncio.sleep(9.0)
    here.discovery.unavailable = False


async def unreachable(here: VirtualRig) -> None:
    """Open watches receive nothing, and connects never succeed."""
    here.kernel.block(here.discovery.port)
    await asyncio.sleep(9.0)
    here.kernel.heal(here.discovery.port)


async def silent(here: VirtualRig) -> None:
    """Connections and calls are accepted, but all bytes from discovery are dropped."""
    here.kernel.block(here.discovery.port, to=False)
    await asyncio.sleep(9.0)
    here.kernel.heal(here.discovery.port)


async def away(here: VirtualRig) -> None:
    """Connections are refused: there is no process."""
    port, requests = here.discovery.port, here.discovery.requests
    await here.discovery.stop()
    await asyncio.sleep(9.0)
    here.discovery._server = await asyncio.start_server(here.discovery._serve, "127.0.0.1", port)
    here.discovery.requests = requests


async def paused(here: VirtualRig) -> None:
    """The proxy's process is paused and receives nothing."""
    here.process.pause(9.0)
    await asyncio.sleep(9.0)


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize(
    "trouble", [refuses, unreachable, silent, away, paused], ids=lambda trouble: trouble.__name__
)
@pytest.mark.parametrize("seed", range(6))
def test_a_drain_applies_6_s_after_discovery_has_it_and_is_reachable(
    trouble: Trouble, mode: str, seed: int
) -> None:
    """Covers the longest retry wait, the call's timeouts and calls in progress at that time."""

    async def part(here: VirtualRig) -> None:
        await here.wait_until(lambda: here.discovery.open)
        here.discovery.publish(*here.entries(), reset=True)
        reader, writer = await here.client()
        for number in range(30):  # half a second of normal service before the fault
            writer.write(get(number))
            await read_answer(reader)
        await trouble(here)
        here.discovery.publish(here.nodes[0].entry("s-0", "terminating"))
        notified_at = here.loop.time() + NOTIFIED_WITHIN
        number = 100
        while here.loop.time() < notified_at + 3.0:
            number += 1
            writer.write(get(number))
            await read_answer(reader)
            await asyncio.sleep(0.01)
        drained = here.nodes[0].port
        broken = [
            at - notified_at
            for at, port, _ in here.arrivals
            if port == drained and at > notified_at
        ]
        assert broken == [] and here.arrivals[-1][0] > notified_at + 2.0

    run_scenario(
        part,
        nodes=2,
        seed=seed,
        membershipMode=mode,
        balancers=700,
        guarantees=SETTINGS["guarantees"] | {"askWithinMs": 10_000.0},
    )


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("seed", range(6))
def test_a_drain_that_a_stalled_watch_misses_applies_6_s_after_its_last_line(
    mode: str, seed: int
) -> None:
    async def part(here: VirtualRig) -> None:
        await here.wait_until(lambda: here.discovery.open)
        here.discovery.publish(*here.entries(), reset=True)
        mute, send = set(here.discovery.open), here.discovery.send
        here.discovery.send = lambda writer, text: (  # type: ignore[method-assign]
            None if writer in mute else send(writer, text)
        )
        await asyncio.sleep(0.05 * seed)
        here.discovery.publish(here.nodes[0].entry("s-0", "terminating"))
        notified_at, drained = here.loop.time() + NOTIFIED_WITHIN, here.nodes[0].port
        reader, writer = await here.client()
        number = 0
        while here.loop.time() < notified_at + 1.0:
            number += 1
            writer.write(get(number))
            await read_answer(reader)
            await asyncio.sleep(0.01)
        assert all(at <= notified_at for at, port, _ in here.arrivals if port == drained)

    run_scenario(part, nodes=2, seed=seed, membershipMode=mode, balancers=700)


def test_lists_are_watched_from_the_start_and_a_drain_applies_at_once() -> None:
    # Guards against a fault with membershipMode `automatic`: no watch was ever opened.
    async def part(here: VirtualRig) -> None:
        await here.wait_until(lambda: here.discovery.open, GRACE)
        reader, writer = await here.client()
        here.discovery.publish(*here.entries(), reset=True)
        here.discovery.publish(here.nodes[0].entry("s-0", "terminating"))
        notified_at, drained = here.loop.time(), here.nodes[0].port
        for number in range(200):
            writer.write(get(number))
            await read_answer(reader)
            await asyncio.sleep(0.01)
        assert all(at <= notified_at + GRACE for at, port, _ in here.arrivals if port == drained)
        # A change counts as notified once discovery has it, whether or not a watch is open.
        for each in list(here.discovery.open):
            each.transport.abort()
        await here.wait_until(lambda: not here.discovery.open)
        await here.wait_until(lambda: here.discovery.open, GRACE)

    run_scenario(part, nodes=2, membershipMode="automatic", balancers=700)


# --- lines ---------------------------------------------------------------------------------
def test_a_list_may_be_indented_over_many_lines() -> None:
    splitter, raw = (
        ObjectSplitter(),
        {"generation": 4, "instances": [{"a": 'x{["\\" }', "b": [1, 2]}, {}]},
    )
    found = [splitter.feed(line) for line in json.dumps(raw, indent=2).encode().split(b"\n")]
    assert found[:-1] == [None] * (len(found) - 1) and json.loads(found[-1] or b"") == raw
    assert splitter.feed(b"  \r") == b""
    assert json.loads(splitter.feed(json.dumps(raw).encode()) or b"") == raw
    assert splitter.feed(b"{") is None and splitter.feed(b"") is None


@pytest.mark.parametrize("text", [b"}", b"nonsense", b'{"a": ', b"]["])
def test_text_that_is_no_list_is_passed_on_or_ends_at_the_size_limit(text: bytes) -> None:
    splitter = ObjectSplitter()
    with pytest.raises((ValueError, WatchError)):
        for _ in range(LINE_LIMIT):
            found = splitter.feed(text)
            if found is not None:
                json.loads(found)


def test_a_watch_accepts_an_indented_list() -> None:
    async def part() -> None:
        nodes = [CacheNode(), CacheNode()]
        async with Rig(*nodes) as rig:
            await rig.wait_for_watch()
            entries = [nodes[0].entry("s-0", "terminating"), nodes[1].entry("s-1")]
            text = json.dumps({"generation": 9, "reset": True, "instances": entries}, indent=1)
            for writer in list(rig.discovery.open):
                for line in text.encode().split(b"\n"):
                    rig.discovery.send(writer, line)
            await wait_until(lambda: len(rig.proxy.nodes) == 1)

    asyncio.run(part())


def test_a_line_that_never_ends_times_out() -> None:
    # Guards against a fault: each byte restarted the timeout, so one line could take up to 8 s.
    async def part(here: VirtualRig) -> None:
        await here.wait_until(lambda: here.discovery.open)
        writer = next(iter(here.discovery.open))
        begun, request_count = here.loop.time(), len(here.discovery.requests)
        while len(here.discovery.requests) == request_count:
            assert here.loop.time() < begun + 2.0 + LINE_TIMEOUT + 1.6
            writer.write(b"1\r\n{\r\n")
            await asyncio.sleep(0.2)

    run_scenario(part)


def test_a_call_that_never_connects_times_out() -> None:
    async def part(here: VirtualRig) -> None:
        here.kernel.block(here.discovery.port)
        waits: list[float] = []
        watch = here.proxy._watch._watch
        start = watch.start

        def started(since: int) -> None:
            waits.append(here.loop.time())
            start(since)

        watch.start = started
        await here.wait_until(lambda: len(waits) == 4)
        assert max(b - a for a, b in pairwise(waits)) <= 3.0 == CONNECT_TIMEOUT + 1.5

    run_scenario(part)
