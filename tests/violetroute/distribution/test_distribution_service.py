"""The proxy's side alone, against a control machine that answers what a test says."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest

from tests.support.rig import until
from violetroute.distribution import service as service_module
from violetroute.distribution.control_choice import SubscriberSettings
from violetroute.distribution.factory import HooksReceiver
from violetroute.distribution.http_client import HttpClient
from violetroute.distribution.http_server import HttpServer
from violetroute.distribution.messages import (
    Batch,
    LogPoint,
    Poll,
    PollReply,
    PollStatus,
    Record,
    Snapshot,
    Topic,
)
from violetroute.distribution.routes import decode_request, encode
from violetroute.distribution.service import CountingReceiver, DistributionService
from violetroute.distribution.table import DistributionTable, restart_is_needed
from violetroute.hooks import EventHooks
from violetroute.sharing.wire import Keys
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork

KEYS = Keys([b"k" * 32])
LOG = "log"


class Scripted:
    """A control machine that answers polls with the replies it is given, then holds them."""

    def __init__(self, *replies: PollReply | bytes) -> None:
        self.replies = list(replies)
        self.polls: list[Poll] = []
        self.held: list[int] = []
        net = SocketNetwork(asyncio.get_running_loop())
        self.server = HttpServer(net, Address("127.0.0.1", 0), KEYS, self)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.address.port}"

    def requested(self, ticket: int, path: str, body: bytes) -> None:
        poll = decode_request(path, body)
        assert isinstance(poll, Poll)
        self.polls.append(poll)
        self.held.append(ticket)
        self._answer()

    def abandoned(self, ticket: int) -> None:
        self.held.remove(ticket)

    def reply(self, reply: PollReply | bytes) -> None:
        self.replies.append(reply)
        self._answer()

    def _answer(self) -> None:
        while self.held and self.replies:
            reply = self.replies.pop(0)
            body = reply if isinstance(reply, bytes) else encode(reply)
            self.server.answer(self.held.pop(0), body)


def ok(*batches: Batch, commit: int | None = None, age_ms: float = 0.0) -> PollReply:
    last = batches[-1].position if batches else 0
    raws = tuple(msgspec.Raw(encode(batch)) for batch in batches)
    return PollReply(PollStatus.OK, LOG, last if commit is None else commit, age_ms, raws)


def purges(position: int, *keys: str) -> Batch:
    return Batch(position, 1, 0, tuple(Record(Topic.PURGE, key) for key in keys))


class Receiver(CountingReceiver):
    """Keeps what it was handed; a key "bad" is a fault."""

    __slots__ = ("keys", "reasons")

    def __init__(self) -> None:
        super().__init__()
        self.keys: list[str] = []
        self.reasons: list[str] = []

    def purge(self, key: str) -> None:
        super().purge(key)
        if key == "bad":
            raise RuntimeError("no such shard")
        self.keys.append(key)

    def invalidate_all(self, reason: str) -> None:
        super().invalidate_all(reason)
        self.reasons.append(reason)


@asynccontextmanager
async def following(
    *controls: Scripted, name: str = "p0"
) -> AsyncIterator[tuple[DistributionService, Receiver]]:
    table = DistributionTable(controls=tuple(control.address for control in controls))
    receiver = Receiver()
    net = SocketNetwork(asyncio.get_running_loop())
    service = DistributionService(table, KEYS, name, "north", net, receiver)
    try:
        yield service, receiver
    finally:
        service.close()
        for control in controls:
            control.server.close()
        await asyncio.sleep(0)


def run(play: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(play())  # type: ignore[arg-type]


def lines(caplog: pytest.LogCaptureFixture, event: str) -> list[dict[str, Any]]:
    return [
        record.fields  # type: ignore[attr-defined]
        for record in caplog.records
        if getattr(record, "event", "") == event
    ]


def test_what_comes_is_applied_in_order_and_acknowledged_by_the_next_poll() -> None:
    async def play() -> None:
        control = Scripted(ok(purges(1, "a", "b"), purges(2), purges(3, "c")))
        async with following(control) as (service, receiver):
            await until(lambda: len(control.polls) == 2)
            assert receiver.keys == ["a", "b", "c"]
            first, second = control.polls
            assert (first.position, first.log, first.region) == (0, "", "north")
            assert (second.position, second.log) == (3, LOG)
            assert first.incarnation == second.incarnation == service.incarnation
            status = service.status()
            assert status.fresh and status.position == 3 and status.asks
            control.reply(ok(commit=3))
            await until(lambda: len(control.polls) == 3)
            assert control.server.connections == 1

    run(play)


def test_a_topic_that_is_not_known_is_skipped_with_one_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def play() -> None:
        def batch(position: int) -> Batch:
            odd = (Record(99, "x"), Record(99, "y"), Record(Topic.CONFIGURATION, "log", b"..."))
            return Batch(position, 1, 0, (*odd, Record(Topic.PURGE, f"k{position}")))

        control = Scripted(ok(batch(1), batch(2)), ok(batch(3)))
        async with following(control) as (service, receiver):
            await until(lambda: len(control.polls) == 3)
            assert receiver.keys == ["k1", "k2", "k3"] and service.subscriber.position == 3
            assert not control.polls[-1].refused

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert lines(caplog, "distribution.skipped") == [
        {"topic": "99", "count": 2},
        {"topic": str(int(Topic.CONFIGURATION)), "count": 1},
    ]


def test_a_record_that_fails_is_told_as_refused_and_costs_no_other(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def play() -> None:
        control = Scripted(ok(purges(1, "a", "bad", "b"), purges(2, "c")))
        async with following(control) as (_, receiver):
            await until(lambda: len(control.polls) == 2)
            assert receiver.keys == ["a", "b", "c"] and receiver.purges == 4
            assert control.polls[1].position == 2
            assert control.polls[1].refused == ((1, "RuntimeError: no such shard"),)

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert len(lines(caplog, "daemon.fault")) == 1


def test_a_snapshot_voids_everything_and_goes_on_from_its_base(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def play() -> None:
        snapshot = Snapshot(LogPoint(2, 50))
        control = Scripted(
            PollReply(PollStatus.SNAPSHOT, LOG, 50, 0.0, (), snapshot),
            ok(Batch(51, 2, 0, (Record(Topic.PURGE, "k"),))),
        )
        async with following(control) as (service, receiver):
            await until(lambda: len(control.polls) == 3)
            assert receiver.voids == 1 and receiver.keys == ["k"]
            assert control.polls[1].position == 50 and service.subscriber.position == 51

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert [line["position"] for line in lines(caplog, "distribution.snapshot")] == [50]


def test_answers_that_make_no_sense_are_left_alone_and_another_machine_is_asked(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def play() -> None:
        gap = ok(purges(1, "a"), purges(3, "c"))
        controls = [Scripted(gap, b"\xc1", b"", ok(purges(2, "b"))) for _ in range(2)]
        async with following(*controls) as (service, receiver):
            await until(lambda: sum(len(control.polls) for control in controls) >= 2)
            assert all(control.polls for control in controls)
            await until(lambda: service.subscriber.position == 2)
            assert receiver.keys == ["a", "b"]

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert {"expected": 2, "got": 3} in lines(caplog, "distribution.gap")


class ClosesBehindItsAnswer(Scripted):
    """Its connections are closed with the answer: the next poll crosses their end."""

    def _answer(self) -> None:
        super()._answer()
        if not self.held:
            for connection in list(self.server._connections):
                connection.abort()


@pytest.mark.parametrize("machines", [1, 2])
def test_a_poll_that_crosses_the_end_of_a_connection_is_asked_again_at_once(
    machines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    events: list[str] = []
    waits: list[float] = []  # s from a failure to the time of the next poll

    class Recording(HttpClient):
        """Notes each request, each that failed, and when the service is done with the failure."""

        def request(self, path: str, body: bytes, timeout_s: float, told: Any) -> None:
            def noting(answer: bytes | None, reason: str) -> None:
                if answer is not None:
                    told(answer, reason)
                    return
                events.append("failed")
                told(answer, reason)
                events.append("handled")
                waits.append(services[0]._wait_until - asyncio.get_running_loop().time())

            events.append("asked")
            super().request(path, body, timeout_s, noting)

    services: list[DistributionService] = []
    replies: list[PollReply | bytes] = [ok(purges(1, "a"))]
    monkeypatch.setattr(service_module, "HttpClient", Recording)

    async def play() -> None:
        controls = [ClosesBehindItsAnswer() for _ in range(machines)]
        for each in controls:
            each.replies = replies  # whoever is asked first answers, and no other
        async with following(*controls) as (service, receiver):
            services.append(service)
            await until(lambda: events.count("asked") >= 3)
            await until(lambda: sum(len(each.polls) for each in controls) == 2)
            positions = [poll.position for each in controls for poll in each.polls]
            assert sorted(positions) == [0, 1]  # the last one acknowledges what was brought
            assert receiver.keys == ["a"]

    run(play)
    if machines == 2:  # the other one is asked before the failure has been dealt with
        assert events[:5] == ["asked", "asked", "failed", "asked", "handled"]
    else:
        assert events[:5] == ["asked", "asked", "failed", "handled", "asked"]
        assert waits[0] <= SubscriberSettings("p0", "", ()).retry_first_s


def test_a_machine_that_is_away_is_one_line_a_minute(caplog: pytest.LogCaptureFixture) -> None:
    async def play() -> None:
        away, there = Scripted(), Scripted()
        away.server.close()
        async with following(away) as (service, _):
            await until(lambda: service.traffic.failures >= 4)
            assert not service.subscriber.fresh(asyncio.get_running_loop().time())
        there.server.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    (line,) = lines(caplog, "distribution.unreachable")
    assert line["count"] == 1 and "127.0.0.1" in line["address"]


def test_a_proxy_that_is_told_nothing_knows_that_it_is_stale(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def play() -> None:
        control = Scripted(ok(purges(1, "a")))
        table = DistributionTable(controls=(control.address,), stale_after_s=0.5)
        net = SocketNetwork(asyncio.get_running_loop())
        service = DistributionService(table, KEYS, "p0", "", net, CountingReceiver())
        await until(lambda: lines(caplog, "distribution.fresh"))
        await until(lambda: lines(caplog, "distribution.stale"))
        assert not service.status().fresh and service.status().purges == 1
        for _ in range(4):  # the poll that is held was sent too long ago to make it fresh
            control.reply(ok(commit=1))
        await until(lambda: len(lines(caplog, "distribution.fresh")) == 2)
        service.close()
        control.server.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)


def test_a_fault_of_ours_does_not_end_the_polls(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("violetroute.distribution.service.ERROR_RETRY_S", 0.05)

    async def play() -> None:
        control = Scripted(ok(purges(1, "a")))
        async with following(control) as (service, receiver):
            faults = iter([ValueError("planted")])
            real = service.subscriber.next

            def next_poll(now: float) -> Any:
                fault = next(faults, None)
                if fault is not None:
                    raise fault
                return real(now)

            monkeypatch.setattr(service.subscriber, "next", next_poll)
            await until(lambda: len(control.polls) >= 2)
            assert receiver.keys == ["a"]

    with caplog.at_level(logging.INFO, "violetroute"):
        run(play)
    assert len(lines(caplog, "daemon.fault")) == 1


def test_a_receiver_may_close_the_service() -> None:
    async def play() -> None:
        control = Scripted(ok(purges(1, "a"), purges(2, "b")))
        async with following(control) as (service, receiver):
            monkey = receiver.purge

            class Closing(Receiver):
                def purge(self, key: str) -> None:
                    monkey(key)
                    service.close()

            service.receiver = Closing()
            await until(lambda: receiver.keys == ["a", "b"])
            await until(lambda: control.server.connections == 0)
            assert len(control.polls) == 1

    run(play)


@pytest.mark.parametrize("name", ["", "p" * 200, "proxy \ud800"])
def test_any_name_of_a_proxy_can_be_told(name: str) -> None:
    async def play() -> None:
        control = Scripted()
        async with following(control, name=name):
            await until(lambda: control.polls)

    run(play)


def test_parts_are_told_and_a_fault_of_one_costs_no_other() -> None:
    hooks, told = EventHooks(), list[str]()

    def broken(text: str) -> None:
        raise ValueError(text)

    hooks.on_purge += [broken, told.append]
    hooks.on_purge_all += [told.append]
    receiver = HooksReceiver(hooks)
    with pytest.raises(ValueError, match="key"):
        receiver.purge("key")
    receiver.invalidate_all("why")
    assert told == ["key", "why"] and (receiver.purges, receiver.voids) == (1, 1)


def test_many_services_share_one_loop() -> None:
    async def play() -> None:
        control = Scripted()
        net = SocketNetwork(asyncio.get_running_loop())
        table = DistributionTable(controls=(control.address,))
        services = [
            DistributionService(table, KEYS, f"p{number}", "", net, CountingReceiver())
            for number in range(200)
        ]
        await until(lambda: len(control.held) == 200)
        for _ in range(200):
            control.reply(ok(purges(1, "a")))
        await until(lambda: all(service.status().purges == 1 for service in services))
        await until(lambda: sum(poll.position == 1 for poll in control.polls) == 200)
        for service in services:
            service.close()
        await until(lambda: control.server.connections == 0)
        control.server.close()

    run(play)


def test_what_of_the_table_waits_for_the_next_start() -> None:
    one = DistributionTable(controls=("127.0.0.1:1",), key_file="k")
    two = msgspec.structs.replace(one, controls=("127.0.0.1:1", "127.0.0.1:2"))
    assert not restart_is_needed(one, two)
    assert restart_is_needed(one, msgspec.structs.replace(two, region="north"))
    assert restart_is_needed(DistributionTable(), one)
    assert restart_is_needed(one, msgspec.structs.replace(one, controls=()))
