"""The fault rig: fixed plans on real daemons, seeds in memory, and injected bugs that are found."""

from __future__ import annotations

import asyncio
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.faults import history as histories
from limebridge.faults import memory as virtual
from limebridge.faults import plan as plans
from limebridge.faults.history import History
from limebridge.faults.plan import Fault, Plan
from limebridge.faults.relay import DatagramRelay, Impairment, Relay
from limebridge.faults.runner import run_plan
from limebridge.standins.effects import Effect
from tests.support import bounded, late_write
from tests.support.paths import ROOT
from violetroute.config import ConfigError
from violetroute.fleet.log import Record, decode, encode

# Plans for real daemons; each name says which failures the plan tests.
REAL = {
    "daemons are stopped between check and write, killed, and terminated": Plan(
        1,
        3.0,
        5,
        "folder",
        2,
        False,
        0.5,
        [
            Fault(0.2, "stop", 0, 1.2),
            Fault(0.4, "stop", 1, 1.2),
            Fault(0.6, "stop", 2, 1.2),
            Fault(0.8, "kill", 3, 0.3),
            Fault(2.2, "term", 4, 0.1),
        ],
    ),
    "the folder is replaced by an older copy, two daemons have one name, writes fail": Plan(
        2,
        12.0,
        5,
        "folder",
        1,
        False,
        1.5,
        [
            Fault(0.3, "twin", 0),
            Fault(0.5, "older", 0, 0.8),
            Fault(0.8, "no_room", 1, 0.5),
            Fault(1.6, "torn", 2, 0.4),
            Fault(2.2, "gone", 3),
        ],
    ),
    "the Consul loses its leader, its answers, and all its data": Plan(
        3,
        4.0,
        5,
        "consul",
        2,
        False,
        0.8,
        [
            Fault(0.5, "lose_answers", 0, 0.5),
            Fault(1.2, "leader", 0, 0.5),
            Fault(2.2, "forget", 0),
            Fault(2.8, "cut", 1, 0.8),
            Fault(3.0, "hup", 2, 0.3),
        ],
    ),
    "daemons that settle bills are killed and stopped": Plan(
        4,
        4.0,
        5,
        "folder",
        1,
        True,
        0.5,
        [
            Fault(0.9, "kill", 0, 0.2),
            Fault(1.4, "kill", 1, 0.2),
            Fault(1.8, "stop", 2, 1.0),
            Fault(2.0, "endpoint", 0, 1.0),
            Fault(3.0, "kill", 3, 0.2),
        ],
    ),
}


@pytest.mark.parametrize("name", REAL)
def test_real_daemons_violate_no_rule(name: str) -> None:
    outcome = run_plan(REAL[name])
    assert outcome.violations == [], histories.format_trace(outcome.history, outcome.violations)
    assert outcome.effects > 10


def test_seeds_in_memory_are_deterministic_and_violate_no_rule() -> None:
    first = [virtual.run_seed(seed, 0) for seed in range(12)]
    assert [each.violations for each in first] == [()] * 12
    assert sum(each.effects for each in first) > 200
    assert virtual.run_seed(2, 0).digest == first[2].digest


# Each bug with the rule that it violates.  Its plan was found by `limebridge explore --fleet` and
# then shrunk.
INJECTED_BUGS = {
    "fence_not_checked": "none late",
    "position_overwritten": "none late",
    "decided_before_reading": "once",
    "term_from_answer": "alone",
    "expiry_ignored_after_stop": "alone",
}


@pytest.mark.parametrize("bug", INJECTED_BUGS)
def test_an_injected_bug_is_found_in_memory_and_the_plan_is_correct_without_it(bug: str) -> None:
    plan = ROOT / "tests" / "plans_fleet" / f"{bug}.toml"
    patch = ROOT / "tests" / "planted_fleet" / f"{bug}.py"
    result = bounded.run(
        [
            sys.executable,
            "-m",
            "limebridge",
            "faults",
            "replay",
            str(plan),
            "--virtual",
            "--tries",
            "40",
            "--patch",
            str(patch),
        ],
        processor_s=150,
        folder=ROOT,
    )
    assert result.returncode == 1 and f"BROKEN {INJECTED_BUGS[bug]}" in result.stdout, (
        result.stderr[-2000:]
    )
    seed = int(result.stdout.split()[1])
    assert virtual.run_plan(msgspec.structs.replace(plans.read(plan), seed=seed)).violations == ()


@pytest.mark.parametrize("bug", ["position_overwritten", "fence_not_checked"])
def test_an_injected_bug_is_found_by_real_daemons(bug: str) -> None:
    outcome = late_write.run_plan(str(ROOT / "tests" / "planted_fleet" / f"{bug}.py"))
    found = {violation.rule for violation in outcome.violations}
    assert "none late" in found and late_write.NOT_FORCED not in found, outcome.violations


def test_the_unchanged_build_violates_nothing_with_the_same_late_write() -> None:
    outcome = late_write.run_plan()
    assert outcome.violations == [], histories.format_trace(outcome.history, outcome.violations)
    records = [decode(data, "beat-0") for data in outcome.history.logs["beat-0"]]
    owners = {each.nonce for each in records if each is not None and each.kind == "claim"}
    assert len(owners) == 2, "another daemon must have taken the lease of the stopped owner"


# --- plans ---
def test_a_plan_is_determined_by_its_seed_and_is_read_back() -> None:
    for seed in range(40):
        plan = plans.generate(seed)
        assert plans.generate(seed) == plan and 2 <= len(plan.fault) <= 7
        assert msgspec.convert(tomllib.loads(plans.dump(plan)), Plan) == plan


def test_an_invalid_plan_is_reported_in_one_line(tmp_path: Path) -> None:
    path = tmp_path / "plan.toml"
    for text, key in (
        ("seconds = -1", "seconds"),
        ("[[fault]]\nat = 1.0\nkind = 'rain'", "kind"),
        ("[[fault]]\nkind = 'kill'", "at"),
        ("x = 1", "x"),
    ):
        path.write_text(text)
        with pytest.raises(ConfigError) as error:
            plans.read(path)
        assert key in str(error.value) and "\n" not in str(error.value)
    assert CliRunner().invoke(app, ["faults", "replay", str(path)]).exit_code == 2


# --- rules: each is seen to detect a violation ---
def effect(key: str, fence: int, nonce: str, body: object = None, at: float = 0.0) -> Effect:
    return Effect(at, key, fence, nonce, body)


def entry(fence: int, nonce: str, body: object, kind: str = "entry") -> bytes:
    return encode(Record(1, "w", fence, nonce, kind, body))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("history", "rule"),
    [
        (History(effects=[effect("w/2.b/1", 2, "b"), effect("w/1.a/0", 1, "a")]), "fence order"),
        (History(effects=[effect("w/1.a/0", 1, "a"), effect("w/1.b/1", 1, "b")]), "fence order"),
        (History(effects=[effect("w/1.a/0", 1, "a"), effect("w/1.a/0", 1, "a")]), "once"),
        (
            History(
                effects=[
                    effect("w/1.a/0", 1, "a", {"beat": 1}),
                    effect("w/1.a/1", 1, "a", {"beat": 1}),
                ]
            ),
            "once",
        ),
        (
            History(logs={"w": [entry(2, "b", None, "claim"), entry(1, "a", {"beat": 1})]}),
            "none late",
        ),
        (
            History(logs={"w": [entry(2, "b", None, "claim"), entry(1, "a", None, "claim")]}),
            "none late",
        ),
        (
            History(
                logs={
                    "w": [
                        entry(1, "a", None, "claim"),
                        entry(1, "a", {"beat": 1}),
                        entry(1, "a", {"beat": 2}),
                    ]
                }
            ),
            "none lost",
        ),
        (
            History(logs={"w": [entry(1, "a", None, "claim"), entry(1, "a", {"beat": 2})]}),
            "none lost",
        ),
    ],
)
def test_each_rule_detects_its_violation(history: History, rule: str) -> None:
    assert rule in {violation.rule for violation in histories.check_history(history)}


# --- relays ---
async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def test_a_relay_cuts_one_direction_delays_truncates_and_resets() -> None:
    async def run() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        relay = await Relay(server.sockets[0].getsockname()[1], "t").start()
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        relay.impair(backward=Impairment(cut=True))
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.readexactly(3)
        relay.impair()
        assert await reader.readexactly(3) == b"two"  # the bytes were held back and not lost
        relay.impair(forward=Impairment(byte_delay=0.001), backward=Impairment(delay=0.05))
        started_at = asyncio.get_running_loop().time()
        writer.write(b"three")
        assert await reader.readexactly(5) == b"three"
        assert asyncio.get_running_loop().time() - started_at >= 0.05
        relay.impair(backward=Impairment(truncate_after=4))
        writer.write(b"four")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(4)
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        relay.impair()
        writer.write(b"five")
        assert await reader.readexactly(4) == b"five"
        relay.reset_connections()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)
        await relay.stop()
        server.close()

    asyncio.run(run())


def test_a_relay_sends_requests_again() -> None:
    async def run() -> None:
        received: asyncio.Queue[bytes] = asyncio.Queue()

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await received.put(await reader.readexactly(3))
            writer.write(b"yes")
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        relay = await Relay(server.sockets[0].getsockname()[1], "t").start()
        relay.impair(forward=Impairment(resend=True))
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"one")
        assert await reader.read() == b"yes"
        writer.close()
        assert [await received.get(), await received.get()] == [b"one", b"one"]
        await relay.stop()
        server.close()

    asyncio.run(run())


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: list[bytes] = []

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.received.append(data)


def test_datagrams_are_dropped_duplicated_and_reordered_and_answers_reach_the_sender() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        far, near = _Receiver(), _Receiver()
        target, _ = await loop.create_datagram_endpoint(lambda: far, local_addr=("127.0.0.1", 0))
        relay = await DatagramRelay(target.get_extra_info("sockname")[1], "t").start()
        client, _ = await loop.create_datagram_endpoint(
            lambda: near, remote_addr=("127.0.0.1", relay.port)
        )

        async def wait_received(count: int) -> None:
            async with asyncio.timeout(5.0):
                while len(far.received) < count:
                    await asyncio.sleep(0.01)

        relay.forward = Impairment(duplicate=1.0)
        client.sendto(b"a")
        await wait_received(2)
        relay.forward = Impairment(drop=1.0)
        client.sendto(b"b")
        async with asyncio.timeout(5.0):
            while not relay.dropped:
                await asyncio.sleep(0.01)
        relay.forward = Impairment(reorder=0.5)
        for number in range(40):
            client.sendto(b"%d" % number)
        await wait_received(42)
        assert far.received[2:] != [b"%d" % n for n in range(40)]
        assert sorted(far.received[2:], key=int) == [b"%d" % n for n in range(40)]
        (sender,) = relay._senders.values()
        far.transport.sendto(b"back", sender.get_extra_info("sockname"))
        async with asyncio.timeout(5.0):
            while near.received != [b"back"]:
                await asyncio.sleep(0.01)
        relay.stop()
        target.close()
        client.close()

    asyncio.run(run())
