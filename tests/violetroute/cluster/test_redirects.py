"""Redirections from cache nodes: parsing, learned slot owners, and following them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limebridge.standins.cluster import SlotCluster
from snowstall import (
    Balancer,
    Effect,
    ListKind,
    Member,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
)
from tests.support import stall_free_loop
from tests.support.rig import Rig, get, put, serves, wait_until
from violetroute.cluster import ClusterTable, SlotMap, key_slot
from violetroute.cluster.redirects import Redirect, parse_redirect
from violetroute.config import Operator
from violetroute.transport import Address

SENDER = Address("10.0.0.9", 7)
FOLLOW = Operator(cluster=ClusterTable(follow=True))


# --- parsing and slot owners ---
@pytest.mark.parametrize(
    ("text", "slot", "address"),
    [
        (b"MOVED 3999 127.0.0.1:6381", 3999, Address("127.0.0.1", 6381)),
        (b"ASK 0 [::1]:6381", 0, Address("::1", 6381)),
        (b"ASK 0 ::1:6381", 0, Address("::1", 6381)),
        (b"MOVED 16383 :6381", 16383, Address("10.0.0.9", 6381)),
        (b"MOVED 16384 127.0.0.1:1", -1, None),
        (b"MOVED -1 127.0.0.1:1", -1, None),
        (b"MOVED x 127.0.0.1:1", -1, None),
        (b"MOVED 1", -1, None),
        (b"MOVED", -1, None),
        (b"MOVED 1 a.name:1", -1, None),
        (b"MOVED 1 127.0.0.1:0", -1, None),
        (b"MOVED 1 127.0.0.1:70000", -1, None),
        (b"MOVED 1 127.0.0.1", -1, None),
        (b"MOVED 1 \xff:1", -1, None),
    ],
)
def test_valid_and_invalid_redirections(text: bytes, slot: int, address: Address | None) -> None:
    found = parse_redirect(text, SENDER)
    assert found == Redirect(text.startswith(b"ASK"), slot, address)


@given(
    st.binary(max_size=60)
    | st.builds(
        lambda *parts: b" ".join(parts),
        st.sampled_from([b"MOVED", b"ASK", b"ERR"]),
        st.binary(max_size=8),
        st.binary(max_size=20),
    )
)
def test_any_error_line_is_parsed_without_an_exception(text: bytes) -> None:
    found = parse_redirect(text, SENDER)
    assert found is None or (found.address is None) == (found.slot < 0)


def test_moved_sets_the_owner_and_ask_does_not() -> None:
    slots, there = SlotMap(), Address("10.0.0.1", 1)
    slot = key_slot(b"k")
    slots.learn(Redirect(True, slot, there))
    slots.learn(Redirect(False, -1, None))
    assert slots.owner(b"k", {there: 5}.get) is None
    slots.learn(Redirect(False, slot, there))
    assert slots.owner(b"k", {there: 5}.get) == 5 and slots.owner(b"other", {there: 5}.get) is None
    assert slots.owner(b"k", {}.get) is None  # the owner is no longer listed
    slots.served(b"k", Address("10.0.0.1", 2))  # a late reply of another node changes nothing
    slots.served(b"other", there)
    assert slots.owner(b"k", {there: 5}.get) == slots.owner(b"other", {there: 5}.get) == 5


# --- decisions of the balancer ---
def balancer(effect: Effect = Effect.UNSAFE, cold: int = 0, attempts: int = 3) -> Balancer:
    cls = RequestClass("c", 300.0, 600.0, effect)
    made = Balancer(Settings((cls,), attempts, warm_time=20_000.0, cold_share=0.0), 1, 1000.0)
    made.on_list(
        1000.0,
        ListKind.FULL,
        [Member(n, started_at=1000.0 if n == cold else 0.0) for n in range(1, 6)],
    )
    return made


def ask(made: Balancer, owner: int | None = None) -> Any:
    return made.on_request(1000.0, Request(1, "c", 1600.0, 7, owner=owner))[0]


def moved(made: Balancer, attempt: int, to: int | None, result: Result = Result.MOVED) -> Any:
    return made.on_outcome(
        1010.0 + attempt, Outcome(1, attempt, result, False, 1.0, redirect_to=to)
    )[0]


def test_the_slot_owner_is_tried_first_and_a_redirection_uses_no_retry_budget() -> None:
    assert all(ask(balancer(), owner=n).cache_id == n for n in range(1, 6))
    made = balancer()
    made._budget = 0.0
    first = ask(made).cache_id
    target = first % 5 + 1
    sent = moved(made, 0, target)
    assert isinstance(sent, Send) and sent.cache_id == target and not sent.asking
    assert moved(made, 1, first, Result.ASK).asking


def test_a_redirection_loop_ends_with_the_attempts_and_is_refused() -> None:
    made = balancer(attempts=3)
    ask(made, owner=1)
    assert moved(made, 0, 2).cache_id == 2 and moved(made, 1, 1).cache_id == 1
    assert isinstance(moved(made, 2, 2), Refuse)


@pytest.mark.parametrize("to", [None, 77])
def test_a_redirection_to_an_unlisted_node_is_refused(to: int | None) -> None:
    made = balancer()
    ask(made, owner=1)
    assert isinstance(moved(made, 0, to), Refuse)


def test_a_draining_target_gets_no_redirected_request() -> None:
    made = balancer()
    ask(made, owner=1)
    made.on_list(1005.0, ListKind.FULL, [Member(n) for n in (1, 3, 4, 5)])
    assert isinstance(moved(made, 0, 2), Refuse)
    assert ask_again(made, owner=2).cache_id != 2


def ask_again(made: Balancer, owner: int) -> Any:
    return made.on_request(1020.0, Request(2, "c", 1600.0, 7, owner=owner))[0]


def test_a_cold_owner_gets_no_redirected_request() -> None:
    made = balancer(cold=2)
    ask(made, owner=1)
    assert isinstance(moved(made, 0, 2), Refuse)
    assert ask_again(made, owner=2).cache_id != 2


def test_after_a_lost_answer_nothing_is_redirected() -> None:
    made = balancer()
    ask(made, owner=1)
    assert isinstance(moved(made, 0, 2), Send)
    after = made.on_outcome(1020.0, Outcome(1, 1, Result.RESET, False, 1.0))
    assert not any(isinstance(action, Send | Refuse) for action in after)


# --- on real sockets ---
def clustered(
    part: Callable[[Rig, SlotCluster], Awaitable[None]], operator: Operator = FOLLOW
) -> None:
    async def run() -> None:
        cluster = SlotCluster(3)
        async with Rig(*cluster.nodes) as rig:
            rig.proxy.reload(replace(rig.config, operator=operator))
            await part(rig, cluster)

    stall_free_loop.run(run())


def test_moved_is_followed_once_and_the_owner_is_remembered() -> None:
    async def part(rig: Rig, cluster: SlotCluster) -> None:
        for round_ in range(3):
            keys = [b"k%d" % number for number in range(60)]
            answers = await rig.request(
                *(get(100 * round_ + n, key=key) for n, key in enumerate(keys))
            )
            assert answers == [b"value of id%d" % (100 * round_ + n) for n in range(60)]
            if not round_:
                first = cluster.redirected
        assert 0 < first <= len({key_slot(key) for key in keys})
        assert cluster.redirected == first

    clustered(part)


def test_ask_is_followed_with_asking_and_sets_no_owner() -> None:
    async def part(rig: Rig, cluster: SlotCluster) -> None:
        slot = key_slot(b"k")
        owner = cluster.owner(slot)
        target = next(node for node in cluster.nodes if node is not owner)
        await rig.request(get(1))
        cluster.importing[slot] = target
        assert await rig.request(get(2), get(3)) == [b"value of id2", b"value of id3"]
        assert sorted(target.executed) == [b"id2", b"id3"]  # each on its own connection
        assert [words for words in target.commands if words[0] == b"ASKING"] == [[b"ASKING"]] * 2
        del cluster.importing[slot]
        before = len(target.commands)
        assert await rig.request(get(4)) == [b"value of id4"]
        assert len(target.commands) == before

    clustered(part)


def test_an_answer_after_asking_has_the_full_reply_time() -> None:
    async def part(rig: Rig, cluster: SlotCluster) -> None:
        slot = key_slot(b"k")
        owner = cluster.owner(slot)
        target = next(node for node in cluster.nodes if node is not owner)
        cluster.importing[slot] = target

        async def slow(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            if words[0] != b"ASKING":
                # Longer than the rest of a reply may take once it has begun.
                await asyncio.sleep(2 * rig.config.limits.reply_s)
            await target._answer(words, writer)

        target.behaviour = slow
        assert await rig.request(put(1, cls=b"once")) == [b"value of id1"]

    clustered(part)


def test_an_unsafe_write_that_is_redirected_runs_once_and_a_lost_answer_is_no_refusal() -> None:
    async def part(rig: Rig, cluster: SlotCluster) -> None:
        owner = cluster.owner(key_slot(b"k"))
        assert await rig.request(put(1, cls=b"once")) == [b"value of id1"]
        assert sum(node.executed.count(b"id1") for node in cluster.nodes) == 1

        async def fails(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            owner.executed.append(words[2])
            writer.transport.abort()
            raise ConnectionError

        owner.behaviour = fails
        assert await rig.request(put(2, cls=b"once")) == [b"-ERR failed"]
        assert sum(node.executed.count(b"id2") for node in cluster.nodes) == 1

    clustered(part)


@pytest.mark.parametrize(
    "line",
    [
        b"-MOVED 1 127.0.0.1:1",
        b"-MOVED 99999 127.0.0.1:1",
        b"-ASK 1",
        b"-TRYAGAIN x",
        b"-CLUSTERDOWN x",
        b"-LOADING x",
        b"-READONLY x",
        b"-MASTERDOWN x",
    ],
)
def test_an_error_that_names_no_valid_node_has_not_run_and_is_refused(line: bytes) -> None:
    async def part(rig: Rig, cluster: SlotCluster) -> None:
        async def redirects(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            writer.write(line + b"\r\n")

        for node in cluster.nodes:
            node.behaviour = redirects
        (answer,) = await rig.request(put(1, cls=b"once", deadline_ms=800))
        assert answer.startswith(b"-BUSY")

    clustered(part)


def test_without_follow_a_redirected_write_may_have_run() -> None:
    async def part(rig: Rig, cluster: SlotCluster) -> None:
        other = next(node for node in cluster.nodes if node is not cluster.owner(key_slot(b"k")))
        for node in cluster.nodes:
            node.behaviour = other._answer
        assert await rig.request(put(1, cls=b"once", deadline_ms=800)) == [b"-ERR failed"]

    clustered(part, Operator())


def test_two_hundred_slots_move_under_load_and_no_request_fails() -> None:
    async def part(rig: Rig, cluster: SlotCluster) -> None:
        rng, done = random.Random(5), 0
        keys = [b"k%d" % number for number in range(50)]

        async def load() -> None:
            nonlocal done
            while True:
                picked = [rng.choice(keys) for _ in range(20)]
                first = done * 20
                answers = await rig.request(
                    *(
                        get(first + n, key=key) if n % 4 else put_at(first + n, key)
                        for n, key in enumerate(picked)
                    )
                )
                assert answers == [b"value of id%d" % (first + n) for n in range(20)]
                done += 1

        asking = asyncio.create_task(load())
        for _ in range(200):
            slot, seen = key_slot(rng.choice(keys)), done
            if rng.random() < 0.3:  # the slot migrates for a while
                cluster.importing[slot] = rng.choice(
                    [node for node in cluster.nodes if node is not cluster.owner(slot)]
                )
                await wait_until(lambda seen=seen: done > seen or asking.done())
            cluster.move(slot, cluster.importing.get(slot) or rng.choice(cluster.nodes))
            await wait_until(lambda seen=seen: done > seen or asking.done())
        assert not asking.done(), asking.exception()
        asking.cancel()
        ran = [id_ for node in cluster.nodes for id_ in node.executed]
        assert len(ran) == len(set(ran)) and len(ran) >= 200 * 20

    clustered(part)


def put_at(number: int, key: bytes) -> bytes:
    return put(number).replace(b"$1\r\nk\r\n", b"$%d\r\n%b\r\n" % (len(key), key), 1)


def test_another_answer_to_asking_is_malformed() -> None:
    async def part(rig: Rig, cluster: SlotCluster) -> None:
        slot = key_slot(b"k")
        owner = cluster.owner(slot)
        target = next(node for node in cluster.nodes if node is not owner)
        cluster.importing[slot] = target

        async def wrong(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await serves(words if len(words) > 1 else [b"", b"", b"another"], writer)

        await rig.request(get(1))
        target.behaviour = wrong
        (answer,) = await rig.request(put(2, cls=b"once", deadline_ms=800))
        assert answer == b"-ERR failed"

    clustered(part)
