"""Simulates the return of a region that was cut off for long, with all proxies, on virtual time.

The sessions and log of one control machine and the subscribers of the proxies are the real classes;
the leader's reply to each report is simulated and comes at once, and links have a fixed delay.
Measured are the time until all proxies have caught up, the rates at which batches are sent to a
proxy and by the control machine, and whether batches were lost or applied out of order.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

import msgspec

from violetroute.distribution.actions import Stored
from violetroute.distribution.control_choice import ControlEndpoint, SubscriberSettings
from violetroute.distribution.messages import Batch, PollReply, Record, ReportReply, Topic
from violetroute.distribution.replica import Replica
from violetroute.distribution.session import SessionSettings
from violetroute.distribution.sessions import PollAnswer, Sessions
from violetroute.distribution.subscriber import Apply, InvalidateAll, SendPoll, Subscriber

BATCH_S = 0.1  # interval at which a batch of purges is published
LINK_DELAY_S = 0.04  # s between the region and its control machine, one way
TICK_INTERVAL_S = 0.02  # interval at which the control machine checks its timers
NORMAL_SERVICE_S = 5.0  # time of normal service before the cut
KEY_BYTES = 48
FENCE = 1
ADDRESS = "control:1"


class ReturnReport(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one simulated return.

    Rates count bytes of batches, and are the largest of any second unless stated otherwise.
    """

    proxies: int
    away_s: float  # length of the cut
    purges_missed: int  # purges that each proxy missed
    voided: int  # proxies that invalidated all objects instead of applying the missed purges
    applied_late: int  # proxies that applied all missed purges, one by one
    caught_up_s: float  # s from the return until the last proxy was fresh; infinite if one was not
    caught_up_first_s: float  # s until the first proxy was fresh
    proxy_bytes_per_s: float  # received by one proxy
    machine_bytes_per_s: float  # sent by the control machine
    live_bytes_per_s: float  # mean of a proxy before the cut, for comparison
    lost: int  # batches that a proxy neither applied nor covered by an invalidation
    out_of_order: int  # batches that were not the next one of the proxy that applied them


@dataclass(slots=True)
class _Proxy:
    """One proxy, and what was observed of it."""

    subscriber: Subscriber
    applied: int = 0  # last position that was applied or covered by an invalidation
    invalidations: int = 0
    out_of_order: int = 0
    fresh_at: float = math.inf  # virtual time at which it was first fresh; reset at the return
    bytes_by_second: dict[int, int] = field(default_factory=lambda: defaultdict(int))


class RegionReturn:
    """One simulation; the seed determines its result.

    `away_s` is the length of the cut.
    """

    def __init__(self, proxies: int, away_s: float, purges_per_s: float, seed: int) -> None:
        self._random = Random(seed)
        self._away_s = away_s
        self._records = max(1, round(purges_per_s * BATCH_S))
        self._now = 0.0
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._replica = Replica(Stored(log="log"))
        self._replica.promise(FENCE, "leader")
        self._sessions = Sessions(SessionSettings(), "m", "i", self._replica, self._random, 0.0)
        self._sessions.set_ready(0.0, True)
        self._polls: dict[int, tuple[_Proxy, float]] = {}  # by ticket: proxy and time of sending
        self._tickets = count()
        self._cut = False
        self._machine_bytes: dict[int, int] = defaultdict(int)
        self._proxies = [self._proxy(number) for number in range(proxies)]

    def run(self) -> ReturnReport:
        """Serve, cut the link while publishing goes on, restore it, and run until all are fresh.

        Ends 600 virtual seconds after the return at the latest.
        """
        for proxy in self._proxies:
            self._schedule(self._random.random(), lambda proxy=proxy: self._send_poll(proxy))  # type: ignore[misc]
        self._publish()
        self._tick_sessions()
        self._advance_to(NORMAL_SERVICE_S)
        live_rate = self._mean_rate()
        commit_before_cut = self._replica.commit
        self._cut = True
        self._advance_to(NORMAL_SERVICE_S + self._away_s)
        missed = (self._replica.commit - commit_before_cut) * self._records
        self._cut = False
        returned = self._now
        for proxy in self._proxies:
            proxy.fresh_at, proxy.invalidations = math.inf, 0
            proxy.bytes_by_second.clear()
            self._send_poll(proxy)
        self._machine_bytes.clear()
        deadline = returned + 600.0
        while self._now < deadline and any(each.fresh_at == math.inf for each in self._proxies):
            self._advance_to(self._now + 1.0)
        return self._report(returned, missed, live_rate)

    # --- time ---
    def _schedule(self, seconds: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._order), event))

    def _advance_to(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self._now, _, event = heapq.heappop(self._events)
            event()
        self._now = until

    # --- the control machine ---
    def _publish(self) -> None:
        position = self._replica.last.position + 1
        records = tuple(
            Record(Topic.PURGE, f"{position}/{number}".ljust(KEY_BYTES - 4, "k"))
            for number in range(self._records)
        )
        self._replica.append((Batch(position, FENCE, int(self._now * 1000), records),))
        self._replica.commit_to(position)
        self._send_answers(self._sessions.commit_advanced(self._now))
        self._schedule(BATCH_S, self._publish)

    def _tick_sessions(self) -> None:
        self._send_answers(self._sessions.tick(self._now))
        report = self._sessions.next_report(self._now, FENCE)
        if report is not None:
            reply = ReportReply(True, FENCE, self._replica.commit, 0.0)
            self._send_answers(self._sessions.replied(self._now, report, reply))
        self._schedule(TICK_INTERVAL_S, self._tick_sessions)

    def _send_answers(self, answers: list[PollAnswer]) -> None:
        for answered in answers:
            proxy, sent_at = self._polls.pop(answered.ticket)
            if self._cut:
                continue  # the reply is lost; the proxy polls again when the link is restored
            size = sum(len(memoryview(raw)) for raw in answered.reply.batches)
            self._machine_bytes[int(self._now)] += size
            reply = answered.reply
            self._schedule(
                LINK_DELAY_S,
                lambda p=proxy, s=sent_at, r=reply: self._receive_reply(p, s, r),  # type: ignore[misc]
            )

    # --- the proxies ---
    def _proxy(self, number: int) -> _Proxy:
        settings = SubscriberSettings(f"p{number}", "r", (ControlEndpoint(ADDRESS, "r"),))
        return _Proxy(Subscriber(settings, "i", self._random, 0.0))

    def _send_poll(self, proxy: _Proxy) -> None:
        if self._cut:
            return
        action = proxy.subscriber.next(self._now)
        if not isinstance(action, SendPoll):
            self._schedule(action.until - self._now, lambda: self._send_poll(proxy))
            return
        sent_at = self._now

        def arrive() -> None:
            ticket = next(self._tickets)
            self._polls[ticket] = proxy, sent_at
            self._send_answers(self._sessions.poll_received(self._now, ticket, action.poll))

        self._schedule(LINK_DELAY_S, arrive)

    def _receive_reply(self, proxy: _Proxy, sent_at: float, reply: PollReply) -> None:
        if self._cut:
            return
        size = sum(len(memoryview(raw)) for raw in reply.batches)
        proxy.bytes_by_second[int(self._now)] += size
        for effect in proxy.subscriber.replied(self._now, sent_at, ADDRESS, reply):
            match effect:
                case Apply(batch):
                    proxy.out_of_order += batch.position != proxy.applied + 1
                    proxy.applied = batch.position
                case InvalidateAll():
                    proxy.invalidations += 1
                    proxy.applied = proxy.subscriber.position
        if proxy.fresh_at == math.inf and proxy.subscriber.fresh(self._now):
            proxy.fresh_at = self._now
        self._send_poll(proxy)

    # --- the report ---
    def _mean_rate(self) -> float:
        """Mean bytes per second of a proxy, without the first two seconds, in which all start."""
        seconds = range(2, int(self._now))
        total = sum(proxy.bytes_by_second[second] for proxy in self._proxies for second in seconds)
        return total / max(1, len(seconds)) / len(self._proxies)

    def _report(self, returned: float, missed: int, live_rate: float) -> ReturnReport:
        fresh = [proxy.fresh_at - returned for proxy in self._proxies]
        rates = [max(proxy.bytes_by_second.values(), default=0) for proxy in self._proxies]
        return ReturnReport(
            proxies=len(self._proxies),
            away_s=self._away_s,
            purges_missed=missed,
            voided=sum(proxy.invalidations > 0 for proxy in self._proxies),
            applied_late=sum(proxy.invalidations == 0 for proxy in self._proxies),
            caught_up_s=max(fresh),
            caught_up_first_s=min(fresh),
            proxy_bytes_per_s=float(max(rates)),
            machine_bytes_per_s=float(max(self._machine_bytes.values(), default=0)),
            live_bytes_per_s=live_rate,
            lost=sum(each.subscriber.position - each.applied for each in self._proxies),
            out_of_order=sum(proxy.out_of_order for proxy in self._proxies),
        )
