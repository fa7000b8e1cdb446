"""Tracks open requests and connects the balancer to clients, cache nodes and discovery.

It alone owns the Balancer: it reports each event as it occurs and performs each action unchanged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from snowstall import (
    HOUSEKEEPING,
    Action,
    Balancer,
    Cancel,
    Effect,
    Fail,
    ListKind,
    LoadSample,
    Member,
    Outcome,
    Refuse,
    Request,
    Result,
    Send,
    Subscribe,
    Timer,
)

from . import logs
from .admission import AdmissionCheck
from .attempt_limits import AttemptLimits
from .clients import Answer, LocalRefusal
from .cluster import Redirect, SlotMap
from .config import Config
from .deadlines import Deadlines
from .estimate_log import EstimateLog
from .hooks import EventHooks
from .listing import ListApplier, log_step, notify_placement
from .loop_lag_probe import LoopLagProbe
from .membership import Listing, Membership, NodeAddresses, stable_hash
from .placement import PlanManager
from .reason_counter import ReasonCounter, log_refused
from .requests import FAILED, OpenRequest, log_fault, refusal, service_time_ms
from .resp import Command, CommandError
from .send_check import SendCheck
from .transport import Network
from .turn_log import LongTurnLog
from .unix_clock import UnixClock
from .upstream import Attempt, Pool


class Proxy:
    """One proxy: its open requests, its balancer and the connections to its cache nodes."""

    def __init__(self, config: Config, net: Network) -> None:
        self._loop = loop = net.loop
        self._turns = net.turns
        self.hooks = EventHooks()
        self._time = UnixClock(net)
        self.clock = self._time.now
        self._open: dict[int, OpenRequest] = {}
        self._open_by_client_id: dict[bytes, OpenRequest] = {}  # only unanswered requests
        self.places = NodeAddresses()
        self._last_id = 0
        self.deadlines = Deadlines(loop, self._deadline_expired, self._open)
        self._generation = 0
        self._lag_probe = LoopLagProbe(loop, self._open, self._log_estimates)
        self._housekeeping: list[asyncio.TimerHandle] = []  # timers for new subscriptions
        self._turns.call_on_pause(self._on_pause)
        self._turn_log = LongTurnLog(self._turns, self._open)
        self._refusals = ReasonCounter(loop, log_refused)
        self._balancer = Balancer(config.settings, config.seed, self.clock())
        self.load_samples = self._balancer.load_samples  # sharing reports them to peers
        self._settings = config.settings
        self._estimate_log = EstimateLog(loop.time, self.places.describe)
        self._classes = {c.name: c for c in config.settings.classes}
        self._admission = AdmissionCheck(
            loop, self._turns, self.clock, self._balancer, self.hooks, self._refusals
        )
        self._admission.classes = self._classes
        self.rejection, self.refuse = self._admission.rejection, self._admission.refuse
        self.may_send = SendCheck(
            loop, self._turns, self.clock, self._open, self._end_unseen
        ).may_send
        self._pool = Pool.from_config(self, net, config)
        self._attempt_limits = AttemptLimits(loop, self._open, self._pool, self._give_up)
        self._slots = SlotMap()
        self._lists = ListApplier(loop, self.places, self._pool, self.clock, self._dispatch_members)
        self._watch = Membership(self, net, config.discovery, config.operator, self.clock)
        self._placement = PlanManager(loop, net.wall, self._dispatch_sizes)
        self._placement.set_plan(config.plan, config.operator.placement)
        self._apply_list(self._watch.adopt_initial_list(config.known), ListKind.CACHED)

    @property
    def open_requests(self) -> int:
        """The number of requests that are unanswered or have attempts in flight."""
        return len(self._open)

    @property
    def oldest_deadline(self) -> float | None:
        """The earliest deadline of an open request, in seconds of the loop's clock."""
        return self.deadlines.next_at

    def request_states(self) -> list[str]:
        """The state of each open request as text, for monitoring and tests."""
        return [request.state for request in self._open.values()]

    @property
    def nodes(self) -> list[int]:
        """Ids of the cache nodes that accept new attempts."""
        return self._pool.node_ids()

    @property
    def list_source(self) -> object:
        """The list source that is followed; a new object after `reload` changed discovery."""
        return self._watch.active_watch

    @property
    def generation(self) -> int:
        """The generation of the latest list, as discovery reported it."""
        return self._generation

    # --- from clients ---
    def _log_estimates(self) -> None:
        balancer = self._balancer
        self._estimate_log.update(
            balancer.ejected, balancer.cache_limiter.limit, balancer.origin_limiter.limit
        )

    def _on_pause(self, seconds: float) -> None:
        logs.event("daemon.paused", ms=round(seconds * 1000.0))
        self._dispatch(None, self._balancer.on_pause, seconds * 1000.0)
        self._watch.report_due()

    def take(self, command: Command, answer: Answer) -> None:
        """Open a request, which gets one final answer; CommandError if the command is invalid."""
        cls = self._classes.get(command.class_name)
        if cls is None:
            raise CommandError("unknown class")
        if cls.effect is Effect.KEYED and not command.keyed:
            raise CommandError("no idempotency key")  # without a key, nodes can't drop repeats
        if command.id in self._open_by_client_id:
            raise CommandError("id of an open request")  # ambiguous for nodes
        now = self.clock()
        if not self._lag_probe.running:
            self._lag_probe.start()
        self._last_id += 1
        wait = service_time_ms(command.wait, cls.deadline)
        request = OpenRequest(self._last_id, command, answer, now + wait)
        answer.request = request
        self._open[request.id] = self._open_by_client_id[command.id] = request
        self.deadlines.add(self._loop.time() + wait / 1000.0, request.id)
        key = stable_hash(command.key)
        for on_accepted in self.hooks.on_accepted:
            on_accepted(command.tenant, key)
        self._dispatch(
            request,
            self._balancer.on_request,
            Request(
                request.id,
                command.class_name,
                request.give_up_at,
                key,
                command.value is not None,
                command.tenant,
                self._slots.owner(command.key, self.places.ready_node_at),
            ),
        )
        self._remove_if_finished(request)  # the balancer may have refused it at once

    def client_gone(self, answer: Answer) -> None:
        """The client disconnected: send no answer and no further attempt."""
        request = answer.request
        if not isinstance(request, OpenRequest) or request.answered:
            return
        self._mark_answered(request)
        self._dispatch(request, self._balancer.on_client_gone, request.id)
        self._remove_if_finished(request)

    # --- from cache nodes ---
    def attempt_ended(
        self,
        attempt: Attempt,
        result: Result,
        value: bytes | bytearray | None = None,
        hit: bool | None = None,
        report: dict[str, float] | None = None,
        redirect: Redirect | None = None,
    ) -> None:
        """Report an attempt's outcome to the balancer; repeated reports are ignored."""
        request = self._open.get(attempt.request_id)
        if attempt.ended or request is None:
            return
        attempt.ended = True
        request.in_flight -= 1
        now = self.clock()
        for on_ended in self.hooks.on_attempt_ended:
            on_ended(attempt.cache_id, result)
        if not request.answered and result is Result.OK and value is not None:
            self._answer(request, b"$%d\r\n" % len(value), value, b"\r\n")
            for on_served in self.hooks.on_served:
                on_served(request.command.tenant, request.command.class_name, request.command.id)
        to = None
        if self._pool.follows_redirects and result is Result.OK and not attempt.asking:
            self._slots.served(attempt.command.key, self._pool.address(attempt.cache_id))
        if redirect is not None:
            self._slots.learn(redirect)
            to = None if redirect.address is None else self.places.ready_node_at(redirect.address)
        self._dispatch(
            request,
            self._balancer.on_outcome,
            Outcome(
                request.id,
                attempt.number,
                result,
                request.answered,
                now - attempt.sent_at,
                hit,
                report,
                to,
            ),
        )
        self._remove_if_finished(request)

    # --- from discovery ---
    def list_changed(self, listing: Listing) -> None:
        """Apply a list, or changes of one, from discovery."""
        self._apply_list(listing)

    def list_failed(self, silent: bool = False) -> None:
        """Report a failed list request; `silent`: an established watch became unresponsive."""
        self._dispatch(
            None, self._balancer.on_list, ListKind.TIMED_OUT if silent else ListKind.FAILED, ()
        )

    def reload(self, config: Config) -> None:
        """Apply the settings that may change while requests are open."""
        self._turn_log.note_work("reload")
        self._pool.reload(config)
        if not self._pool.follows_redirects:
            self._slots = SlotMap()
        if config.settings != self._settings:
            self._settings = config.settings
            self._classes = {c.name: c for c in config.settings.classes}
            self._admission.classes = self._classes
            self._dispatch(None, self._balancer.on_settings, config.settings)
        self._placement.set_plan(config.plan, config.operator.placement)
        if self._watch.reconfigure(config.discovery, config.operator):
            self._generation = 0  # generations of another service are unrelated
            self._dispatch(None, self._balancer.on_discovery_moved)

    def _apply_list(self, listing: Listing, kind: ListKind = ListKind.CHANGES) -> None:
        self._generation = listing.generation
        first = kind is ListKind.CACHED
        self._turn_log.note_work(f"list of {len(listing.entries)}")
        change = self._lists.apply(listing, listing.whole or first, at_once=first)
        self._dispatch_members(change.members, kind)
        notify_placement(change, first, self._placement)
        log_step(change, self._lists.waiting, len(self._pool.node_ids()))

    def _dispatch_members(self, members: list[Member], kind: ListKind = ListKind.CHANGES) -> None:
        self._dispatch(None, self._balancer.on_list, kind, members, self._lists.waiting > 0)
        for on_list_change in self.hooks.on_list_change:
            on_list_change(members)

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        """Report to the balancer the unhealthy nodes and request outcomes of peers."""
        self._dispatch(None, self._balancer.on_peer_reports, bad, outcomes)

    def _dispatch_sizes(self, sizes: Mapping[int, float]) -> None:
        self._dispatch(None, self._balancer.on_sizes, sizes)

    def close(self) -> None:
        """Stop timers and list watches, and close the connections to cache nodes."""
        self._watch.stop()
        self._lists.close()
        self._refusals.close()
        self._placement.close()
        self.deadlines.close()
        self._lag_probe.close()
        for timer in self._housekeeping:
            timer.cancel()
        self._pool.close()

    # --- events and actions of the balancer ---
    def _dispatch(
        self, request: OpenRequest | None, event: Callable[..., list[Action]], *args: object
    ) -> None:
        """Report an event, perform the actions returned; an exception fails only `request`."""
        try:
            for action in event(self.clock(), *args):
                self._perform(action)
        except Exception:
            log_fault("while handling an event")
            if request is not None and not request.answered:
                self._answer(request, FAILED)

    def _perform(self, action: Action) -> None:
        if type(action) is Send:  # several times faster than a match statement
            self._send(self._open[action.request_id], action)
        elif type(action) is Timer:
            timer = self._loop.call_later(action.delay / 1000.0, self._on_timer, action.label)
            if action.label == HOUSEKEEPING:  # other timers do nothing once their request is closed
                pending = [each for each in self._housekeeping if each.when() > self._loop.time()]
                self._housekeeping = [*pending, timer]
        elif type(action) is Refuse:
            self._refusals.count(action.reason.value)
            self._answer(self._open[action.request_id], refusal(action.backoff))
        elif type(action) is Fail:
            self._refusals.count(action.reason.value)
            self._answer(self._open[action.request_id], FAILED)
        elif type(action) is Cancel:
            request = self._open.get(action.request_id)
            if request is not None:
                self._give_up(request.attempts[action.attempt], Result.CANCELLED)
        elif type(action) is Subscribe:
            if action.active:
                self._watch.start(self._generation)
            else:
                self._watch.stop()

    def _send(self, request: OpenRequest, action: Send) -> None:
        now = self._time.latest
        until = min(action.stop_at or request.give_up_at, request.give_up_at)
        attempt = Attempt(
            request.id,
            len(request.attempts),
            action.cache_id,
            request.command,
            now,
            until,
            action.asking,
            action.deliver_by,
        )
        request.attempts.append(attempt)
        request.in_flight += 1
        if request.answered:
            self._loop.call_soon(self.attempt_ended, attempt, Result.NEVER_SENT)
            return
        self._attempt_limits.watch(attempt, request.give_up_at, now)
        self._pool.send(attempt)

    def _end_unseen(self, request: OpenRequest) -> None:
        """End a request whose client may have left; it is refused if no attempt can have run."""
        if request.answered:
            return
        never_ran = len(request.attempts) == 1  # the one that was not sent now
        refused = self.refuse(LocalRefusal.UNSEEN_CLIENT)
        self._answer(request, refused if never_ran else FAILED)
        self._dispatch(request, self._balancer.on_client_gone, request.id)
        self._remove_if_finished(request)

    def _on_timer(self, label: int) -> None:
        request = self._open.get(label)
        if request is not None or label >= HOUSEKEEPING:
            self._dispatch(request, self._balancer.on_timer, label)
            if request is not None:
                self._remove_if_finished(request)

    def _deadline_expired(self, number: int) -> None:
        """Fail a request without an answer shortly before its client stops waiting."""
        request = self._open[number]
        self._time.advance(request.give_up_at)
        for attempt in list(request.attempts):
            self._give_up(attempt, Result.LATE)
        self._end_overdue_hold(request)
        if not request.answered:
            log_fault(f"request {request.id} had no final answer at its deadline")
            self._answer(request, FAILED)
            self._dispatch(request, self._balancer.on_client_gone, request.id)
        self._remove_if_finished(request)

    def _end_overdue_hold(self, request: OpenRequest) -> None:
        """Run the request's timer first: after a pause the deadline may fire before it."""
        if not request.answered:
            self._dispatch(request, self._balancer.on_timer, request.id)

    def _give_up(self, attempt: Attempt, result: Result) -> None:
        if not attempt.ended:
            may_have_run = self._pool.give_up(attempt)
            self.attempt_ended(attempt, result if may_have_run else Result.NEVER_SENT)

    def _answer(self, request: OpenRequest, *parts: bytes | bytearray) -> None:
        """Send the final answer, which no other code does; a second one is logged and not sent."""
        if request.answered:
            log_fault(f"second final answer for request {request.id}")
            return
        self._mark_answered(request)
        request.answer.finish(*parts)

    def _mark_answered(self, request: OpenRequest) -> None:
        request.answered = True
        request.command.value = None  # its bytes go back to the clients' budget with the answer
        self._open_by_client_id.pop(request.command.id, None)

    def _remove_if_finished(self, request: OpenRequest) -> None:
        """Drop a request that is answered and has no attempt in flight."""
        if request.answered and not request.in_flight:
            self._open.pop(request.id, None)
