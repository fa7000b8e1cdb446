"""Crossings at discovery: what it has to tell against calls that fail, wait, end or never begin."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from itertools import pairwise

import pytest

from limebridge.standins.configuration import SETTINGS
from tests.support.rig import CacheNode, Rig, until
from tests.support.scene import Scene, get, read_answer, scene
from violetroute.membership.list_reader import LINE_LIMIT, ObjectSplitter, WatchError
from violetroute.membership.native import CONNECT_TIMEOUT, LINE_TIMEOUT

TOLD = 6.0  # s after discovery had it and could be reached, a change counts as told
GRACE = 0.5  # s that a drain may take from then on
Trouble = Callable[[Scene], Awaitable[None]]


async def refuses(here: Scene) -> None:
    """503 to each call."""
    here.discovery.refuse = True
    for writer in list(here.discovery.open):
        writer.transport.abort()
    await asyncio.sleep(9.0)
    here.discovery.refuse = False


async def unreachable(here: Scene) -> None:
    """Watches stay open and say nothing; connects never come up."""
    here.kernel.block(here.discovery.port)
    await asyncio.sleep(9.0)
    here.kernel.heal(here.discovery.port)


async def silent(here: Scene) -> None:
    """It takes connections and calls and answers none: what it says is lost on the way."""
    here.kernel.block(here.discovery.port, to=False)
    await asyncio.sleep(9.0)
    here.kernel.heal(here.discovery.port)


async def away(here: Scene) -> None:
    """Its connections are refused: there is no process."""
    port, asked = here.discovery.port, here.discovery.asked
    await here.discovery.stop()
    await asyncio.sleep(9.0)
    here.discovery._server = await asyncio.start_server(here.discovery._serve, "127.0.0.1", port)
    here.discovery.asked = asked


async def paused(here: Scene) -> None:
    """The process stands, and with it what it would have heard."""
    here.process.pause(9.0)
    await asyncio.sleep(9.0)


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize(
    "trouble", [refuses, unreachable, silent, away, paused], ids=lambda trouble: trouble.__name__
)
@pytest.mark.parametrize("seed", range(6))
def test_a_drain_is_kept_6_s_after_discovery_had_it_and_could_be_reached(
    trouble: Trouble, mode: str, seed: int
) -> None:
    """The worst of the module's waits, the call's own limits and what was under way just then."""

    async def part(here: Scene) -> None:
        await here.until(lambda: here.discovery.open)
        here.discovery.tell(*here.entries(), reset=True)
        reader, writer = await here.client()
        for number in range(30):  # a first half second of service, then trouble
            writer.write(get(number))
            await read_answer(reader)
        await trouble(here)
        here.discovery.tell(here.nodes[0].entry("s-0", "terminating"))
        told = here.loop.time() + TOLD
        number = 100
        while here.loop.time() < told + 3.0:
            number += 1
            writer.write(get(number))
            await read_answer(reader)
            await asyncio.sleep(0.01)
        drained = here.nodes[0].port
        broken = [at - told for at, port, _ in here.begun if port == drained and at > told]
        assert broken == [] and here.begun[-1][0] > told + 2.0

    scene(
        part,
        nodes=2,
        seed=seed,
        membershipMode=mode,
        balancers=700,
        guarantees=SETTINGS["guarantees"] | {"askWithinMs": 10_000.0},
    )


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("seed", range(6))
def test_what_a_watch_misses_that_fell_silent_is_kept_6_s_after_its_last_word(
    mode: str, seed: int
) -> None:
    async def part(here: Scene) -> None:
        await here.until(lambda: here.discovery.open)
        here.discovery.tell(*here.entries(), reset=True)
        mute, send = set(here.discovery.open), here.discovery.send
        here.discovery.send = lambda writer, text: (  # type: ignore[method-assign]
            None if writer in mute else send(writer, text)
        )
        await asyncio.sleep(0.05 * seed)
        here.discovery.tell(here.nodes[0].entry("s-0", "terminating"))
        told, drained = here.loop.time() + TOLD, here.nodes[0].port
        reader, writer = await here.client()
        number = 0
        while here.loop.time() < told + 1.0:
            number += 1
            writer.write(get(number))
            await read_answer(reader)
            await asyncio.sleep(0.01)
        assert all(at <= told for at, port, _ in here.begun if port == drained)

    scene(part, nodes=2, seed=seed, membershipMode=mode, balancers=700)


def test_pushed_lists_are_followed_from_the_start_and_a_drain_is_kept_at_once() -> None:
    # Found on a made-up customer: with membershipMode `automatic` no watch was ever opened.
    async def part(here: Scene) -> None:
        await here.until(lambda: here.discovery.open, GRACE)
        reader, writer = await here.client()
        here.discovery.tell(*here.entries(), reset=True)
        here.discovery.tell(here.nodes[0].entry("s-0", "terminating"))
        told, drained = here.loop.time(), here.nodes[0].port
        for number in range(200):
            writer.write(get(number))
            await read_answer(reader)
            await asyncio.sleep(0.01)
        assert all(at <= told + GRACE for at, port, _ in here.begun if port == drained)
        for each in list(here.discovery.open):  # what its agent has counts, watch or none
            each.transport.abort()
        await here.until(lambda: not here.discovery.open)
        await here.until(lambda: here.discovery.open, GRACE)

    scene(part, nodes=2, membershipMode="automatic", balancers=700)


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
def test_what_is_no_list_is_given_on_to_be_refused_or_ends_at_its_bound(text: bytes) -> None:
    splitter = ObjectSplitter()
    with pytest.raises((ValueError, WatchError)):
        for _ in range(LINE_LIMIT):
            found = splitter.feed(text)
            if found is not None:
                json.loads(found)


def test_an_indented_list_is_taken_from_a_watch() -> None:
    async def part() -> None:
        nodes = [CacheNode(), CacheNode()]
        async with Rig(*nodes) as rig:
            await rig.watched()
            entries = [nodes[0].entry("s-0", "terminating"), nodes[1].entry("s-1")]
            text = json.dumps({"generation": 9, "reset": True, "instances": entries}, indent=1)
            for writer in list(rig.discovery.open):
                for line in text.encode().split(b"\n"):
                    rig.discovery.send(writer, line)
            await until(lambda: len(rig.proxy.nodes) == 1)

    asyncio.run(part())


def test_a_line_that_never_ends_is_a_silence() -> None:
    # Found by reading: each byte put the end off, up to 8 s over one line.
    async def part(here: Scene) -> None:
        await here.until(lambda: here.discovery.open)
        writer = next(iter(here.discovery.open))
        begun, asked = here.loop.time(), len(here.discovery.asked)
        while len(here.discovery.asked) == asked:
            assert here.loop.time() < begun + 2.0 + LINE_TIMEOUT + 1.6
            writer.write(b"1\r\n{\r\n")
            await asyncio.sleep(0.2)

    scene(part)


def test_a_call_whose_connection_never_stands_is_given_up_within_its_time() -> None:
    async def part(here: Scene) -> None:
        here.kernel.block(here.discovery.port)
        waits: list[float] = []
        watch = here.proxy._watch._watch
        start = watch.start

        def started(since: int) -> None:
            waits.append(here.loop.time())
            start(since)

        watch.start = started
        await here.until(lambda: len(waits) == 4)
        assert max(b - a for a, b in pairwise(waits)) <= 3.0 == CONNECT_TIMEOUT + 1.5

    scene(part)
