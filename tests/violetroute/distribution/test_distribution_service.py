"""The distribution service of a proxy, against a control machine with scripted answers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest

from tests.support.rig import wait_until
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


class ScriptedControl:
    """A control machine that answers polls with given replies and holds polls without one."""

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


class RecordingReceiver(CountingReceiver):
    """Records its calls; raises an error for the key "bad"."""

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
async def subscribed(
    *controls: ScriptedControl, name: str = "p0"
) -> AsyncIterator[tuple[DistributionService, RecordingReceiver]]:
    table = DistributionTable(controls=tuple(control.address for control in controls))
    receiver = RecordingReceiver()
    net = SocketNetwork(asyncio.get_running_loop())
    service = DistributionService(table, KEYS, name, "north", net, receiver)
    try:
        yield service, receiver
    finally:
        service.close()
        for control in controls:
            control.server.close()
        await asyncio.sleep(0)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(scenario())  # type: ignore[arg-type]


def logged(caplog: pytest.LogCaptureFixture, event: str) -> list[dict[str, Any]]:
    return [
        record.fields  # type: ignore[attr-defined]
        for record in caplog.records
        if getattr(record, "event", "") == event
    ]


def test_batches_are_applied_in_order_and_acknowledged_by_the_next_poll() -> None:
    async def scenario() -> None:
        control = ScriptedControl(ok(purges(1, "a", "b"), purges(2), purges(3, "c")))
        async with subscribed(control) as (service, receiver):
            await wait_until(lambda: len(control.polls) == 2)
            assert receiver.keys == ["a", "b", "c"]
            first, second = control.polls
            assert (first.position, first.log, first.region) == (0, "", "north")
            assert (second.position, second.log) == (3, LOG)
            assert first.incarnation == second.incarnation == service.incarnation
            status = service.status()
            assert status.fresh and status.position == 3 and status.asks
            control.reply(ok(commit=3))
            await wait_until(lambda: len(control.polls) == 3)
            assert control.server.connections == 1

    run(scenario)


def test_an_unknown_topic_is_skipped_and_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        def batch(position: int) -> Batch:
            odd = (Record(99, "x"), Record(99, "y"), Record(Topic.CONFIGURATION, "log", b"..."))
            return Batch(position, 1, 0, (*odd, Record(Topic.PURGE, f"k{position}")))

        control = ScriptedControl(ok(batch(1), batch(2)), ok(batch(3)))
        async with subscribed(control) as (service, receiver):
            await wait_until(lambda: len(control.polls) == 3)
            assert receiver.keys == ["k1", "k2", "k3"] and service.subscriber.position == 3
            assert not control.polls[-1].refused

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert logged(caplog, "distribution.skipped") == [
        {"topic": "99", "count": 2},
        {"topic": str(int(Topic.CONFIGURATION)), "count": 1},
    ]


def test_a_failing_record_is_reported_as_refused_and_the_others_are_applied(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        control = ScriptedControl(ok(purges(1, "a", "bad", "b"), purges(2, "c")))
        async with subscribed(control) as (_, receiver):
            await wait_until(lambda: len(control.polls) == 2)
            assert receiver.keys == ["a", "b", "c"] and receiver.purges == 4
            assert control.polls[1].position == 2
            assert control.polls[1].refused == ((1, "RuntimeError: no such shard"),)

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert len(logged(caplog, "daemon.fault")) == 1


def test_a_snapshot_invalidates_everything_and_continues_from_its_base(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        snapshot = Snapshot(LogPoint(2, 50))
        control = ScriptedControl(
            PollReply(PollStatus.SNAPSHOT, LOG, 50, 0.0, (), snapshot),
            ok(Batch(51, 2, 0, (Record(Topic.PURGE, "k"),))),
        )
        async with subscribed(control) as (service, receiver):
            await wait_until(lambda: len(control.polls) == 3)
            assert receiver.voids == 1 and receiver.keys == ["k"]
            assert control.polls[1].position == 50 and service.subscriber.position == 51

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert [line["position"] for line in logged(caplog, "distribution.snapshot")] == [50]


def test_invalid_answers_are_ignored_and_another_machine_is_polled(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        gap = ok(purges(1, "a"), purges(3, "c"))
        controls = [ScriptedControl(gap, b"\xc1", b"", ok(purges(2, "b"))) for _ in range(2)]
        async with subscribed(*controls) as (service, receiver):
            await wait_until(lambda: sum(len(control.polls) for control in controls) >= 2)
            assert all(control.polls for control in controls)
            await wait_until(lambda: service.subscriber.position == 2)
            assert receiver.keys == ["a", "b"]

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert {"expected": 2, "got": 3} in logged(caplog, "distribution.gap")


class ClosesAfterAnswer(ScriptedControl):
    """Closes its connections together with the answer, so that the next poll races with it."""

    def _answer(self) -> None:
        super()._answer()
        if not self.held:
            for connection in list(self.server._connections):
                connection.abort()


@pytest.mark.parametrize("machines", [1, 2])
def test_a_poll_that_races_with_the_close_of_a_connection_is_repeated_at_once(
    machines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    events: list[str] = []
    waits: list[float] = []  # seconds from a failure to the next poll

    class Recording(HttpClient):
        """Records each request, each failure, and when the service has handled the failure."""

        def request(self, path: str, body: bytes, timeout_s: float, on_response: Any) -> None:
            def record_result(answer: bytes | None, reason: str) -> None:
                if answer is not None:
                    on_response(answer, reason)
                    return
                events.append("failed")
                on_response(answer, reason)
                events.append("handled")
                waits.append(services[0]._wait_until - asyncio.get_running_loop().time())

            events.append("requested")
            super().request(path, body, timeout_s, record_result)

    services: list[DistributionService] = []
    replies: list[PollReply | bytes] = [ok(purges(1, "a"))]
    monkeypatch.setattr(service_module, "HttpClient", Recording)

    async def scenario() -> None:
        controls = [ClosesAfterAnswer() for _ in range(machines)]
        for each in controls:
            each.replies = replies  # shared: only the machine that is polled first answers
        async with subscribed(*controls) as (service, receiver):
            services.append(service)
            await wait_until(lambda: events.count("requested") >= 3)
            await wait_until(lambda: sum(len(each.polls) for each in controls) == 2)
            positions = [poll.position for each in controls for poll in each.polls]
            assert sorted(positions) == [0, 1]  # the second poll acknowledges the batch
            assert receiver.keys == ["a"]

    run(scenario)
    if machines == 2:  # the other machine is polled before the failure has been handled
        assert events[:5] == ["requested", "requested", "failed", "requested", "handled"]
    else:
        assert events[:5] == ["requested", "requested", "failed", "handled", "requested"]
        assert waits[0] <= SubscriberSettings("p0", "", ()).retry_first_s


def test_an_unreachable_machine_is_logged_once_a_minute(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        unreachable, reachable = ScriptedControl(), ScriptedControl()
        unreachable.server.close()
        async with subscribed(unreachable) as (service, _):
            await wait_until(lambda: service.traffic.failures >= 4)
            assert not service.subscriber.fresh(asyncio.get_running_loop().time())
        reachable.server.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    (line,) = logged(caplog, "distribution.unreachable")
    assert line["count"] == 1 and "127.0.0.1" in line["address"]


def test_a_proxy_without_answers_becomes_stale(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        control = ScriptedControl(ok(purges(1, "a")))
        table = DistributionTable(controls=(control.address,), stale_after_s=0.5)
        net = SocketNetwork(asyncio.get_running_loop())
        service = DistributionService(table, KEYS, "p0", "", net, CountingReceiver())
        await wait_until(lambda: logged(caplog, "distribution.fresh"))
        await wait_until(lambda: logged(caplog, "distribution.stale"))
        assert not service.status().fresh and service.status().purges == 1
        # The held poll was sent too long ago, so the proxy is not fresh after the answer to it.
        for _ in range(4):
            control.reply(ok(commit=1))
        await wait_until(lambda: len(logged(caplog, "distribution.fresh")) == 2)
        service.close()
        control.server.close()

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)


def test_an_internal_error_does_not_end_the_polls(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("violetroute.distribution.service.ERROR_RETRY_S", 0.05)

    async def scenario() -> None:
        control = ScriptedControl(ok(purges(1, "a")))
        async with subscribed(control) as (service, receiver):
            faults = iter([ValueError("planted")])
            real = service.subscriber.next

            def next_poll(now: float) -> Any:
                fault = next(faults, None)
                if fault is not None:
                    raise fault
                return real(now)

            monkeypatch.setattr(service.subscriber, "next", next_poll)
            await wait_until(lambda: len(control.polls) >= 2)
            assert receiver.keys == ["a"]

    with caplog.at_level(logging.INFO, "violetroute"):
        run(scenario)
    assert len(logged(caplog, "daemon.fault")) == 1


def test_a_receiver_may_close_the_service() -> None:
    async def scenario() -> None:
        control = ScriptedControl(ok(purges(1, "a"), purges(2, "b")))
        async with subscribed(control) as (service, receiver):
            original_purge = receiver.purge

            class Closing(RecordingReceiver):
                def purge(self, key: str) -> None:
                    original_purge(key)
                    service.close()

            service.receiver = Closing()
            await wait_until(lambda: receiver.keys == ["a", "b"])
            await wait_until(lambda: control.server.connections == 0)
            assert len(control.polls) == 1

    run(scenario)


@pytest.mark.parametrize("name", ["", "p" * 200, "proxy \ud800"])
def test_any_proxy_name_can_be_sent(name: str) -> None:
    async def scenario() -> None:
        control = ScriptedControl()
        async with subscribed(control, name=name):
            await wait_until(lambda: control.polls)

    run(scenario)


def test_all_purge_hooks_are_called_even_if_one_fails() -> None:
    hooks, received = EventHooks(), list[str]()

    def broken(text: str) -> None:
        raise ValueError(text)

    hooks.on_purge += [broken, received.append]
    hooks.on_purge_all += [received.append]
    receiver = HooksReceiver(hooks)
    with pytest.raises(ValueError, match="key"):
        receiver.purge("key")
    receiver.invalidate_all("why")
    assert received == ["key", "why"] and (receiver.purges, receiver.voids) == (1, 1)


def test_many_services_share_one_loop() -> None:
    async def scenario() -> None:
        control = ScriptedControl()
        net = SocketNetwork(asyncio.get_running_loop())
        table = DistributionTable(controls=(control.address,))
        services = [
            DistributionService(table, KEYS, f"p{number}", "", net, CountingReceiver())
            for number in range(200)
        ]
        await wait_until(lambda: len(control.held) == 200)
        for _ in range(200):
            control.reply(ok(purges(1, "a")))
        await wait_until(lambda: all(service.status().purges == 1 for service in services))
        await wait_until(lambda: sum(poll.position == 1 for poll in control.polls) == 200)
        for service in services:
            service.close()
        await wait_until(lambda: control.server.connections == 0)
        control.server.close()

    run(scenario)


def test_which_keys_of_the_table_need_a_restart() -> None:
    one = DistributionTable(controls=("127.0.0.1:1",), key_file="k")
    two = msgspec.structs.replace(one, controls=("127.0.0.1:1", "127.0.0.1:2"))
    assert not restart_is_needed(one, two)
    assert restart_is_needed(one, msgspec.structs.replace(two, region="north"))
    assert restart_is_needed(DistributionTable(), one)
    assert restart_is_needed(one, msgspec.structs.replace(one, controls=()))
