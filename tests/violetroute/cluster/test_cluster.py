"""Redis Cluster towards clients: slots, commands, encoding, and the redis-py client."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import pytest
import redis.asyncio.cluster
import redis.cluster
from hypothesis import given
from hypothesis import strategies as st
from redis.crc import key_slot as redis_slot

from limebridge.standins.configuration import configuration
from tests.support.rig import CacheNode, Rig, get, put, serves, with_timeout
from violetroute.cluster import SLOTS, ClusterTable, Dialect, Topology, key_slot, topology
from violetroute.cluster.encode import encode
from violetroute.cluster.table import ClusterProxy
from violetroute.config import ConfigError
from violetroute.config.platform import load
from violetroute.transport import Address

HERE = Address("127.0.0.1", 7000)


def make_topology(table: ClusterTable, name: str = "n0", listen: Address = HERE) -> Topology:
    found = topology(table, name, listen)
    assert found is not None
    return found


def several(*shares: tuple[str, int, tuple[str, ...]], foreign: Any = "moved") -> ClusterTable:
    return ClusterTable(
        "several",
        foreign=foreign,
        proxies=tuple(
            ClusterProxy(name, f"127.0.0.1:{port}", slots) for name, port, slots in shares
        ),
    )


HALVES = several(("n0", 7000, ("0-8191",)), ("n1", 7001, ("8192-16383",)))


# --- slots ---
@given(
    st.binary(max_size=40)
    | st.lists(st.sampled_from([b"{", b"}", b"a", b"bc"]), max_size=8).map(b"".join)
)
def test_slots_equal_those_of_redis_py(key: bytes) -> None:
    assert key_slot(key) == redis_slot(key)


@pytest.mark.parametrize(
    ("table", "expected"),
    [
        (several(("n0", 1, ("0-8191",)), ("n1", 2, ("8191-16383",))), "slot 8191 has two owners"),
        (
            several(("n0", 1, ("0-8191",)), ("n1", 2, ("8193-16383",))),
            "slot 8192 has no owner",
        ),
        (several(("n1", 1, ("0-16383",))), "'n0', is not among them"),
        (several(("n0", 1, ("0-16384",))), "is not within 0-16383"),
        (several(("n0", 1, ("5-3",))), "is not within"),
        (several(("n0", 1, ("a-b",))), "not a range of slots"),
        (several(("n0", 1, ("0-8191",)), ("n0", 2, ("8192-16383",))), "duplicate name"),
        (
            ClusterTable("several", proxies=(ClusterProxy("n0", "a.name:1", ("0-16383",)),)),
            "n0: addr",
        ),
        (ClusterTable("one", announce="here"), "announce: "),
    ],
)
def test_a_wrong_table_is_one_line_that_names_its_key(table: ClusterTable, expected: str) -> None:
    with pytest.raises(ValueError, match=r"^(proxies|announce): ") as raised:
        topology(table, "n0", HERE)
    assert expected in str(raised.value) and "\n" not in str(raised.value)


def test_a_wrong_table_ends_the_start_with_its_key(tmp_path: Any) -> None:
    operator = tmp_path / "o.toml"
    operator.write_text('[cluster]\nappear = "several"\n')
    config = tmp_path / "c.json"
    config.write_text(json.dumps(configuration(1, [])))
    with pytest.raises(ConfigError, match=r"\[cluster\] proxies: "):
        load({"PROXY_CONFIG": str(config)}, str(operator))


def test_a_wildcard_listen_address_is_reported_as_an_empty_host() -> None:
    assert make_topology(ClusterTable("one"), listen=Address("0.0.0.0", 5)).slots() == [
        [0, SLOTS - 1, [b"", 5, make_topology(ClusterTable("one")).members[0].id.encode(), []]]
    ]
    assert make_topology(ClusterTable("one", announce="10.0.0.1:9")).members[0].address.port == 9


def test_a_key_of_another_proxy_is_moved_or_served_as_configured() -> None:
    key = next(b"k%d" % n for n in itertools.count() if key_slot(b"k%d" % n) > 8191)
    assert Dialect(make_topology(HALVES)).moved_reply(
        key
    ) == b"-MOVED %d 127.0.0.1:7001\r\n" % key_slot(key)
    assert Dialect(make_topology(HALVES, "n1")).moved_reply(key) is None
    assert (
        Dialect(
            make_topology(
                several(("n0", 7000, ("0-8191",)), ("n1", 7001, ("8192-16383",)), foreign="serve")
            )
        ).moved_reply(key)
        is None
    )
    assert Dialect(make_topology(ClusterTable("one"))).moved_reply(key) is None


# --- commands ---
def answer_to(*words: bytes, dialect: Dialect | None = None, session: Any = None) -> bytes:
    dialect = dialect or Dialect(make_topology(HALVES))
    answer = dialect.answer(session or dialect.session(), words)
    assert answer is not None
    return answer


@pytest.mark.parametrize(
    ("words", "answer"),
    [
        (b"CLUSTER KEYSLOT {user}x", b":5474\r\n"),
        (b"cluster links", b"*0\r\n"),
        (b"CLUSTER KEYSLOT", b"-ERR wrong number of arguments for 'cluster|keyslot' command\r\n"),
        (b"CLUSTER", b"-ERR wrong number of arguments for 'cluster' command\r\n"),
        (b"CLUSTER FAILOVER", b"-ERR unknown subcommand 'FAILOVER'. Try CLUSTER HELP.\r\n"),
        (b"CLUSTER COUNTKEYSINSLOT 1", b"-ERR a proxy holds no keys to count\r\n"),
        (b"ASKING", b"+OK\r\n"),
        (b"READONLY", b"+OK\r\n"),
        (b"READWRITE", b"+OK\r\n"),
        (b"SELECT 0", b"+OK\r\n"),
        (b"SELECT 1", b"-ERR SELECT is not allowed in cluster mode\r\n"),
        (b"PING", b"+PONG\r\n"),
        (b"PING hi", b"$2\r\nhi\r\n"),
        (b"ECHO hi", b"$2\r\nhi\r\n"),
        (b"CLIENT ID", b":1\r\n"),
        (b"CLIENT GETNAME", b"$0\r\n\r\n"),
        (b"CLIENT SETINFO lib-name x", b"+OK\r\n"),
        (b"CLIENT NO-EVICT on", b"+OK\r\n"),
        (b"CLIENT KILL x", b"-ERR unknown subcommand 'KILL'. Try CLIENT HELP.\r\n"),
        (b"MGET a b", b"-CROSSSLOT Keys in request don't hash to the same slot\r\n"),
        (
            b"MSET {a}1 x {a}2 y",
            b"-ERR unknown command 'mset', with args beginning with: '{a}1' 'x' '{a}2' 'y' \r\n",
        ),
        (b"COMMAND COUNT", b":15\r\n"),
        (b"COMMAND GETKEYS OBJ.GET k i l", b"*1\r\n$1\r\nk\r\n"),
        (b"COMMAND GETKEYS PING", b"-ERR The command has no key arguments\r\n"),
        (b"HELLO 4", b"-NOPROTO unsupported protocol version\r\n"),
        (
            b"HELLO 3 AUTH a b",
            b"-ERR AUTH called without any password configured for the default "
            b"user. Are you sure your configuration is correct?\r\n",
        ),
        (b"RESET", b"+RESET\r\n"),
        (b"QUIT", b"+OK\r\n"),
    ],
)
def test_answers_equal_those_of_redis(words: bytes, answer: bytes) -> None:
    assert answer_to(*words.split()) == answer


def test_a_rejected_hello_changes_nothing_and_a_valid_one_takes_effect() -> None:
    dialect = Dialect(make_topology(HALVES))
    session = dialect.session()
    answer_to(b"HELLO", b"3", b"SETNAME", b"a b", dialect=dialect, session=session)
    assert (session.version, session.name) == (2, b"")
    assert answer_to(b"HELLO", b"3", b"SETNAME", b"x", dialect=dialect, session=session)[:1] == b"%"
    assert (session.version, session.name) == (3, b"x")
    answer_to(b"RESET", dialect=dialect, session=session)
    assert (session.version, session.name) == (2, b"")


@given(
    st.lists(
        st.binary(max_size=12)
        | st.sampled_from(
            [
                b"CLUSTER",
                b"slots",
                b"HELLO",
                b"3",
                b"SETNAME",
                b"CLIENT",
                b"COMMAND",
                b"docs",
                b"info",
                b"getkeys",
                b"obj.set",
                b"MGET",
                b"AUTH",
            ]
        ),
        min_size=1,
        max_size=16,
    )
)
def test_any_command_gets_exactly_one_answer(words: list[bytes]) -> None:
    dialect = Dialect(make_topology(HALVES))
    answer = dialect.answer(dialect.session(), words)
    assert answer is None or (answer.endswith(b"\r\n") and answer[:1] in b"+-:$*%_")
    if answer is not None and answer.startswith(b"-"):
        assert answer.count(b"\r\n") == 1


def test_maps_are_flat_in_resp2_and_resp3_has_its_own_null() -> None:
    assert encode({b"a": 1}, 2) == b"*2\r\n$1\r\na\r\n:1\r\n"
    assert encode({b"a": None}, 3) == b"%1\r\n$1\r\na\r\n_\r\n"
    with pytest.raises(TypeError):
        encode(1.5, 3)


# --- redis-py ---
def cluster(part: Callable[[list[Rig]], Awaitable[None]], count: int = 2) -> None:
    """Run with `count` proxies that share the slots, in front of the same nodes."""

    async def run() -> None:
        nodes = [await CacheNode(serves).start() for _ in range(3)]
        async with AsyncExitStack() as stack:
            rigs = [await stack.enter_async_context(Rig(*nodes)) for _ in range(count)]
            step = SLOTS // count
            table = several(
                *(
                    (f"n{n}", rig.port, (f"{n * step}-{(n + 1) * step - 1}",))
                    for n, rig in enumerate(rigs)
                )
            )
            for number, rig in enumerate(rigs):
                rig.listener.dialect = Dialect(make_topology(table, f"n{number}"))
            await part(rigs)

    asyncio.run(run())


def test_a_single_proxy_owns_all_slots() -> None:
    async def part(rigs: list[Rig]) -> None:
        (rig,) = rigs
        rig.listener.dialect = Dialect(
            make_topology(ClusterTable("one"), listen=Address("127.0.0.1", rig.port))
        )

        def drive() -> None:
            for protocol in (2, 3):
                client = redis.cluster.RedisCluster(
                    host="127.0.0.1", port=rig.port, protocol=protocol
                )
                for number in range(50):
                    assert client.execute_command(
                        "OBJ.GET", f"k{number}", f"id{protocol}-{number}", "c=lookup,t=x,d=5000"
                    ) == b"value of id%d-%d" % (protocol, number)
                client.close()

        await with_timeout(asyncio.to_thread(drive))

    cluster(part, count=1)


def test_redis_py_routes_by_slot_between_two_proxies_and_follows_moved() -> None:
    async def part(rigs: list[Rig]) -> None:
        client = redis.asyncio.cluster.RedisCluster(host="127.0.0.1", port=rigs[0].port)
        for number in range(200):
            value = await client.execute_command(
                "OBJ.GET", f"k{number}", f"id{number}", "c=lookup,t=x,d=5000"
            )
            assert value == b"value of id%d" % number
        # The proxies swap their slots: the client's slot map is outdated, and MOVED corrects it.
        swapped = several(("n0", rigs[0].port, ("8192-16383",)), ("n1", rigs[1].port, ("0-8191",)))
        for number, rig in enumerate(rigs):
            rig.listener.dialect = Dialect(make_topology(swapped, f"n{number}"))
        for number in range(200, 400):
            value = await client.execute_command(
                "OBJ.GET", f"k{number}", f"id{number}", "c=lookup,t=x,d=5000"
            )
            assert value == b"value of id%d" % number
        await client.aclose()

    cluster(part)


def test_pipelined_answers_stay_in_order_with_redirections_among_them() -> None:
    async def part(rigs: list[Rig]) -> None:
        keys = [b"k%d" % number for number in range(100)]
        here = [key_slot(key) < SLOTS // 2 for key in keys]
        answers = await rigs[0].request(*(get(number, key=key) for number, key in enumerate(keys)))
        for number, (answer, mine) in enumerate(zip(answers, here, strict=True)):
            assert (
                answer == b"value of id%d" % number
                if mine
                else answer == b"-MOVED %d 127.0.0.1:%d" % (key_slot(keys[number]), rigs[1].port)
            )
        assert 20 < sum(here) < 80

    cluster(part)


def test_a_redirected_write_is_not_sent_and_invalid_commands_keep_the_connection() -> None:
    async def part(rigs: list[Rig]) -> None:
        rig = rigs[key_slot(b"k") < SLOTS // 2]
        wrong = [b"*2\r\n$7\r\nCLUSTER\r\n$4\r\nNOPE\r\n"] * 20
        *expected, moved, pong = await rig.request(*wrong, put(1), b"*1\r\n$4\r\nPING\r\n")
        assert all(answer.startswith(b"-ERR unknown subcommand") for answer in expected)
        assert moved.startswith(b"-MOVED") and pong == b"+PONG"
        assert not any(node.commands for node in rig.nodes)

    cluster(part)


def test_cluster_commands_are_unknown_when_the_dialect_is_off() -> None:
    async def run() -> None:
        async with Rig(await CacheNode(serves).start()) as rig:
            (answer,) = await rig.request(b"*2\r\n$7\r\nCLUSTER\r\n$5\r\nSLOTS\r\n")
            assert answer == b"-ERR unknown command"

    asyncio.run(run())


def test_quit_is_answered_and_ends_the_connection() -> None:
    async def part(rigs: list[Rig]) -> None:
        reader, writer = await rigs[0].client()
        writer.write(b"*1\r\n$4\r\nQUIT\r\n*1\r\n$4\r\nPING\r\n")
        assert await with_timeout(reader.read()) == b"+OK\r\n"
        writer.close()

    cluster(part)
