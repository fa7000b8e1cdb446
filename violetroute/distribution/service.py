"""The proxy's side: polls a control machine, applies what comes, and knows whether it is fresh.

One poll is under way at a time; the next one acknowledges what the last answer brought.  Decisions
are the `Subscriber`'s; this module has the connections, the timer and the receivers.  A service
needs no proxy: many of them can share one process and one event loop.
"""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable, Coroutine
from random import Random
from typing import Protocol

from violetroute import logs
from violetroute.logs import encodable
from violetroute.sharing.wire import Keys
from violetroute.transport import Network, parse_address

from .configuration_change import ConfigurationChange
from .control_choice import ControlEndpoint, SubscriberSettings
from .http_client import HttpClient
from .messages import Batch, Record, Topic
from .routes import decode_reply, encode, path_of
from .session_end import end_sessions
from .status import ServiceStatus
from .subscriber import (
    Apply,
    BecameFresh,
    BecameStale,
    Effect,
    InvalidateAll,
    SendPoll,
    SequenceGap,
    Subscriber,
    WaitUntil,
)
from .table import DistributionTable, control_addresses
from .traffic import LogThrottle, Traffic

CLIENTS_MAX = 2  # kept connections: to the machine that is asked, and to one that is tried
NAME_CHARACTERS = 64
REASON_CHARACTERS = 300  # as many as a poll's refusal may have
ERROR_RETRY_S = 1.0
NEVER = float("inf")


class Receiver(Protocol):
    """Where records take effect.  An exception is reported as a refusal of that record."""

    purges: int  # records that it was handed
    voids: int
    configurations: int

    def purge(self, key: str) -> None:
        """The object of this key is void."""

    def invalidate_all(self, reason: str) -> None:
        """All objects are void."""

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Configuration was published.  The reasons of what is refused."""


class CountingReceiver:
    """A receiver that only counts: what a cache node is to be told is not settled yet."""

    __slots__ = ("configurations", "purges", "voids")

    def __init__(self) -> None:
        self.configurations = 0
        self.purges = 0
        self.voids = 0

    def purge(self, key: str) -> None:
        """Counted."""
        self.purges += 1

    def invalidate_all(self, reason: str) -> None:
        """Counted."""
        self.voids += 1

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Counted, and nothing is refused."""
        self.configurations += len(change.records)
        return ()


class DistributionService:
    """One proxy's.  Begins to poll at once; `close` ends it."""

    __slots__ = (
        "_clients",
        "_closed",
        "_keys",
        "_loop",
        "_net",
        "_skipped",
        "_snapshot_is_due",
        "_takes_configuration",
        "_timer",
        "_timer_at",
        "_unreachable",
        "_wait_until",
        "incarnation",
        "name",
        "polling",
        "receiver",
        "subscriber",
        "traffic",
    )

    def __init__(
        self,
        table: DistributionTable,
        keys: Keys,
        name: str,
        region: str,
        net: Network,
        receiver: Receiver,
    ) -> None:
        self._keys, self._net, self._loop = keys, net, net.loop
        self.receiver = receiver
        self.name = _wire_name(name)
        self.incarnation = secrets.token_hex(8)
        self.traffic = Traffic()
        self.polling = ""  # the address that is asked now
        settings = SubscriberSettings(
            self.name, region, _controls(table), stale_after_s=table.stale_after_s
        )
        random = Random(f"{self.name}/{self.incarnation}")
        self.subscriber = Subscriber(settings, self.incarnation, random, self._loop.time())
        self._clients: dict[str, HttpClient] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        self._wait_until = 0.0
        self._unreachable = LogThrottle(_log_unreachable)
        self._skipped = LogThrottle(_log_skipped)
        self._takes_configuration = table.configuration
        self._snapshot_is_due = False  # its configuration has not been handed on yet
        self._closed = False
        self._set_timer()

    def configure(self, table: DistributionTable) -> None:
        """SIGHUP: other control machines."""
        self.subscriber.configure(_controls(table))

    def leave(self) -> Coroutine[None, None, None]:
        """As `close`, at once; awaited, the control machines are told that it is never fresh again.

        For a process that shuts down, once it serves nobody any more.  Done when they have
        answered, after END_TIMEOUT_S at the latest: they find out by themselves later.
        """
        addresses = tuple(self._clients)
        self.close()
        return end_sessions(self._net, self._keys, addresses, self.subscriber.end(), self.traffic)

    def close(self) -> None:
        """Nothing is asked or applied any more."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def status(self) -> ServiceStatus:
        """For looking in."""
        now = self._loop.time()
        as_of = self.subscriber.as_of
        return ServiceStatus(
            name=self.name,
            incarnation=self.incarnation,
            position=self.subscriber.position,
            fresh=self.subscriber.fresh(now),
            as_of_age_s=None if as_of is None else round(now - as_of, 3),
            asks=self.polling,
            purges=self.receiver.purges,
            voids=self.receiver.voids,
            configurations=self.receiver.configurations,
            bytes_in=self.traffic.bytes_in,
            bytes_out=self.traffic.bytes_out,
            polls=self.traffic.requests,
            failed=self.traffic.failures,
        )

    # --- time ---
    def _set_timer(self) -> None:
        if self._closed:
            return
        due = self.subscriber.next_at
        if not self.polling:
            due = min(due, self._wait_until)
        if self._timer is not None:
            if self._timer_at <= due:
                return  # it comes early and is set anew then
            self._timer.cancel()
        self._timer_at = due
        self._timer = None
        if due < NEVER:
            self._timer = self._loop.call_at(due, self._due)

    def _due(self) -> None:
        self._timer = None
        self._step(lambda: self.subscriber.tick(self._loop.time()))

    def _step(self, event: Callable[[], list[Effect]]) -> None:
        """One event of the subscriber and what follows from it.

        A fault of ours is logged and costs ERROR_RETRY_S: the polls must not end with it.
        """
        try:
            self._carry_out(event())
            if self._closed:  # by a receiver
                return
            if not self.polling and self._loop.time() >= self._wait_until:
                self._poll()
            self._set_timer()
        except Exception as error:
            logs.event("daemon.fault", what="in distribution", error=error)
            if self._timer is not None:
                self._timer.cancel()
            self._wait_until = self._timer_at = self._loop.time() + ERROR_RETRY_S
            self._timer = self._loop.call_at(self._timer_at, self._due)

    # --- polling ---
    def _poll(self) -> None:
        now = self._loop.time()
        match self.subscriber.next(now):
            case WaitUntil(until):
                self._wait_until = until
            case SendPoll() as ask:
                self._send(ask, now)

    def _send(self, ask: SendPoll, sent_at: float) -> None:
        def told(body: bytes | None, reason: str) -> None:
            self.polling = ""
            self._answered(ask, sent_at, body, reason)

        self._client(ask.address).request(path_of(ask.poll), encode(ask.poll), ask.timeout_s, told)
        self.polling = ask.address

    def _answered(self, ask: SendPoll, sent_at: float, body: bytes | None, reason: str) -> None:
        now = self._loop.time()
        reply = decode_reply(ask.poll, body)
        if reply is None:
            self._unreachable.record(now, ask.address, reason or "no reply to a poll")
        self._step(lambda: self.subscriber.replied(now, sent_at, ask.address, reply))

    def _client(self, address: str) -> HttpClient:
        client = self._clients.pop(address, None)
        if client is None:
            client = HttpClient(self._net, parse_address(address), self._keys, self.traffic)
        while len(self._clients) >= CLIENTS_MAX:
            self._clients.pop(next(iter(self._clients))).close()
        self._clients[address] = client  # the last one used stands last
        return client

    # --- effects ---
    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Apply(batch):
                    self._apply(batch)
                case InvalidateAll(reason):
                    self._invalidate_all(reason)
                case BecameStale(behind_s):
                    logs.event("distribution.stale", behind_s=round(behind_s, 2))
                case BecameFresh(behind_s):
                    logs.event("distribution.fresh", behind_s=round(behind_s, 2))
                case SequenceGap(expected, got):
                    missing = -1 if got is None else got
                    logs.event("distribution.gap", expected=expected, got=missing)
        if self._snapshot_is_due:  # one that had no configuration
            self._configure(self.subscriber.position, ())

    def _apply(self, batch: Batch) -> None:
        skipped: Counter[int] = Counter()
        fault: Exception | None = None
        configuration: list[Record] = []
        for record in batch.records:
            if record.topic == Topic.CONFIGURATION and self._takes_configuration:
                configuration.append(record)
                continue
            if record.topic != Topic.PURGE:
                skipped[record.topic] += 1
                continue
            try:
                self.receiver.purge(record.key)
            except Exception as error:  # of one record: the others are applied
                fault = error
        if fault is not None:
            self._refused(batch.position, fault)
        if configuration or self._snapshot_is_due:
            self._configure(batch.position, tuple(configuration))
        for topic, count in skipped.items():
            self._skipped.record(self._loop.time(), str(topic), count=count)

    def _configure(self, position: int, records: tuple[Record, ...]) -> None:
        change = ConfigurationChange(position, records, complete=self._snapshot_is_due)
        self._snapshot_is_due = False
        try:
            reasons = self.receiver.configure(change)
        except Exception as error:
            self._refused(position, error)
            return
        for reason in reasons:
            told = _wire_reason(reason)
            logs.event("distribution.configuration_refused", position=position, reason=told)
            self.subscriber.refuse(position, told)

    def _invalidate_all(self, reason: str) -> None:
        self._snapshot_is_due = self._takes_configuration
        logs.event("distribution.snapshot", position=self.subscriber.position, reason=reason)
        try:
            self.receiver.invalidate_all(reason)
        except Exception as error:
            self._refused(self.subscriber.position, error)

    def _refused(self, position: int, error: Exception) -> None:
        logs.event("daemon.fault", what="applying a record", error=error)
        self.subscriber.refuse(position, _wire_reason(f"{type(error).__name__}: {error}"))


def _wire_name(name: str) -> str:
    """As a message may carry it: encodable, not empty, not too long."""
    return name.encode("utf-8", "replace").decode()[:NAME_CHARACTERS] or "proxy"


def _wire_reason(reason: str) -> str:
    """As a poll may carry it: one line that UTF-8 can encode, and not too long.

    Every later poll carries the reason: one that cannot be encoded would end the polls for good.
    """
    return encodable(" ".join(reason.split()))[:REASON_CHARACTERS]


def _controls(table: DistributionTable) -> tuple[ControlEndpoint, ...]:
    return tuple(ControlEndpoint(each.address, each.region) for each in control_addresses(table))


def _log_unreachable(address: str, reason: str, count: int) -> None:
    logs.event("distribution.unreachable", address=address, reason=reason, count=count)


def _log_skipped(topic: str, _: str, count: int) -> None:
    logs.event("distribution.skipped", topic=topic, count=count)
