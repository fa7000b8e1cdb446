"""The proxy's long-poll client: polls a control machine, applies its records, reports freshness.

One poll is in flight at a time; the next one acknowledges what the last reply brought.  The
`Subscriber` makes the decisions; this module has the connections, the timer and the receiver.  A
service does not need a proxy: many of them can share one process and one event loop.
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

MAX_CLIENTS = 2  # persistent connections: to the current machine, and to one that is on trial
MAX_NAME_CHARACTERS = 64
MAX_REASON_CHARACTERS = 300  # the maximum length of `messages.Reason`
ERROR_RETRY_S = 1.0
NEVER = float("inf")


class Receiver(Protocol):
    """Applies records.  An exception is reported to the control machines as a refused record."""

    # Numbers of calls of `purge` and `invalidate_all`, and of configuration records received.
    purges: int
    voids: int
    configurations: int

    def purge(self, key: str) -> None:
        """Invalidate the object of this key."""

    def invalidate_all(self, reason: str) -> None:
        """Invalidate all objects."""

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Apply published configuration.  Returns one reason for each part that is refused."""


class CountingReceiver:
    """A receiver that only counts: how purges are sent to cache nodes is not specified yet."""

    __slots__ = ("configurations", "purges", "voids")

    def __init__(self) -> None:
        self.configurations = 0
        self.purges = 0
        self.voids = 0

    def purge(self, key: str) -> None:
        """Count the purge."""
        self.purges += 1

    def invalidate_all(self, reason: str) -> None:
        """Count the invalidation."""
        self.voids += 1

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Count the records; refuses nothing."""
        self.configurations += len(change.records)
        return ()


class DistributionService:
    """The subscription of one proxy.  Starts to poll when it is created; `close` ends it."""

    __slots__ = (
        "_applies_configuration",
        "_clients",
        "_closed",
        "_keys",
        "_loop",
        "_net",
        "_skipped",
        "_snapshot_pending",
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
        self.polling = ""  # address of the control machine whose poll is in flight
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
        self._applies_configuration = table.configuration
        # Whether the receiver still lacks the configuration of the last snapshot.
        self._snapshot_pending = False
        self._closed = False
        self._set_timer()

    def configure(self, table: DistributionTable) -> None:
        """Use the control machines of this table from now on (SIGHUP)."""
        self.subscriber.configure(_controls(table))

    def leave(self) -> Coroutine[None, None, None]:
        """Close at once, and return a coroutine that ends the sessions at the control machines.

        For a process that shuts down and no longer serves clients.  The coroutine returns when all
        machines have answered, after END_TIMEOUT_S at the latest: a machine that was not reached
        drops the session later by itself.
        """
        addresses = tuple(self._clients)
        self.close()
        return end_sessions(self._net, self._keys, addresses, self.subscriber.end(), self.traffic)

    def close(self) -> None:
        """Stop polling and close the connections.  Nothing is applied any more."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def status(self) -> ServiceStatus:
        """The state for the introspection socket."""
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
                return  # it fires earlier and is rescheduled then
            self._timer.cancel()
        self._timer_at = due
        self._timer = None
        if due < NEVER:
            self._timer = self._loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._step(lambda: self.subscriber.tick(self._loop.time()))

    def _step(self, event: Callable[[], list[Effect]]) -> None:
        """Run one event of the subscriber, execute its effects, and send the next poll if due.

        An internal error is logged and delays the next poll by ERROR_RETRY_S: it must not end the
        polling.
        """
        try:
            self._execute(event())
            if self._closed:  # the receiver has closed this service
                return
            if not self.polling and self._loop.time() >= self._wait_until:
                self._poll()
            self._set_timer()
        except Exception as error:
            logs.event("daemon.fault", what="in distribution", error=error)
            if self._timer is not None:
                self._timer.cancel()
            self._wait_until = self._timer_at = self._loop.time() + ERROR_RETRY_S
            self._timer = self._loop.call_at(self._timer_at, self._on_timer)

    # --- polling ---
    def _poll(self) -> None:
        now = self._loop.time()
        match self.subscriber.next(now):
            case WaitUntil(until):
                self._wait_until = until
            case SendPoll() as request:
                self._send(request, now)

    def _send(self, request: SendPoll, sent_at: float) -> None:
        def on_response(body: bytes | None, reason: str) -> None:
            self.polling = ""
            self._response_received(request, sent_at, body, reason)

        self._client(request.address).request(
            path_of(request.poll), encode(request.poll), request.timeout_s, on_response
        )
        self.polling = request.address

    def _response_received(
        self, request: SendPoll, sent_at: float, body: bytes | None, reason: str
    ) -> None:
        now = self._loop.time()
        reply = decode_reply(request.poll, body)
        if reply is None:
            self._unreachable.record(now, request.address, reason or "no reply to a poll")
        self._step(lambda: self.subscriber.replied(now, sent_at, request.address, reply))

    def _client(self, address: str) -> HttpClient:
        client = self._clients.pop(address, None)
        if client is None:
            client = HttpClient(self._net, parse_address(address), self._keys, self.traffic)
        while len(self._clients) >= MAX_CLIENTS:
            self._clients.pop(next(iter(self._clients))).close()
        self._clients[address] = client  # last in the dict: the most recently used
        return client

    # --- effects ---
    def _execute(self, effects: list[Effect]) -> None:
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
        if self._snapshot_pending:  # the snapshot had no configuration, so no batch followed it
            self._configure(self.subscriber.position, ())

    def _apply(self, batch: Batch) -> None:
        skipped: Counter[int] = Counter()
        failure: Exception | None = None
        configuration: list[Record] = []
        for record in batch.records:
            if record.topic == Topic.CONFIGURATION and self._applies_configuration:
                configuration.append(record)
                continue
            if record.topic != Topic.PURGE:
                skipped[record.topic] += 1
                continue
            try:
                self.receiver.purge(record.key)
            except Exception as error:  # the batch's other records are still applied
                failure = error
        if failure is not None:
            self._record_failed(batch.position, failure)
        if configuration or self._snapshot_pending:
            self._configure(batch.position, tuple(configuration))
        for topic, count in skipped.items():
            self._skipped.record(self._loop.time(), str(topic), count=count)

    def _configure(self, position: int, records: tuple[Record, ...]) -> None:
        change = ConfigurationChange(position, records, complete=self._snapshot_pending)
        self._snapshot_pending = False
        try:
            reasons = self.receiver.configure(change)
        except Exception as error:
            self._record_failed(position, error)
            return
        for reason in reasons:
            sent_reason = _wire_reason(reason)
            logs.event("distribution.configuration_refused", position=position, reason=sent_reason)
            self.subscriber.add_refusal(position, sent_reason)

    def _invalidate_all(self, reason: str) -> None:
        self._snapshot_pending = self._applies_configuration
        logs.event("distribution.snapshot", position=self.subscriber.position, reason=reason)
        try:
            self.receiver.invalidate_all(reason)
        except Exception as error:
            self._record_failed(self.subscriber.position, error)

    def _record_failed(self, position: int, error: Exception) -> None:
        logs.event("daemon.fault", what="applying a record", error=error)
        self.subscriber.add_refusal(position, _wire_reason(f"{type(error).__name__}: {error}"))


def _wire_name(name: str) -> str:
    """The name as `messages.Name` allows it: valid UTF-8, not empty, of limited length."""
    return name.encode("utf-8", "replace").decode()[:MAX_NAME_CHARACTERS] or "proxy"


def _wire_reason(reason: str) -> str:
    """The reason as a poll may carry it: one line, valid UTF-8, of limited length.

    Later polls repeat the reason: one that cannot be encoded would make all of them fail.
    """
    return encodable(" ".join(reason.split()))[:MAX_REASON_CHARACTERS]


def _controls(table: DistributionTable) -> tuple[ControlEndpoint, ...]:
    return tuple(ControlEndpoint(each.address, each.region) for each in control_addresses(table))


def _log_unreachable(address: str, reason: str, count: int) -> None:
    logs.event("distribution.unreachable", address=address, reason=reason, count=count)


def _log_skipped(topic: str, _: str, count: int) -> None:
    logs.event("distribution.skipped", topic=topic, count=count)
