"""The open requests, and the one holder of the Balancer.

Every event is told to the module as it happened and every action is carried out as it
stands.  A request gets its final answer in _answer and nowhere else.
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
    Judged,
    ListKind,
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
from .arrivals import Arrivals
from .beliefs import Beliefs
from .clients import Answer
from .cluster import Redirect, SlotMap
from .config import Config
from .deadlines import Deadlines
from .listing import ListApplier, log_step, tell_placement
from .membership import Listing, Membership, Places, stable_hash
from .parts import Parts
from .placement import Keeper
from .pulse import Pulse
from .refusals import Refusals
from .requests import FAILED, OpenRequest, fault, refusal, time_for
from .resp import Command, CommandError
from .transport import Network
from .turn_log import TurnLog
from .unix_clock import UnixClock
from .upstream import Attempt, Pool


class Proxy:
    def __init__(self, config: Config, net: Network) -> None:
        self._loop = loop = net.loop
        self._turns = net.turns
        self.parts = Parts()
        self._time = UnixClock(net)
        self.clock = self._time.now
        self._open: dict[int, OpenRequest] = {}
        self._named: dict[bytes, OpenRequest] = {}  # those not yet answered, by the client's id
        self.places = Places()
        self._last_id = 0
        self.deadlines = Deadlines(loop, self._out_of_time, self._open)
        self._generation = 0
        self._pulse = Pulse(loop, self._open, self._look)
        self._housekeeping: asyncio.TimerHandle | None = None  # the module's own, one at a time
        self._turns.tell_pauses(self._paused)
        self._turn_log = TurnLog(self._turns, self._open)
        self._refusals = Refusals(loop)
        self._balancer = Balancer(config.settings, config.seed, self.clock())
        self.judged = self._balancer.judged  # what came of requests, for who tells others
        self._settings = config.settings
        self._beliefs = Beliefs(loop.time, self.places.name)
        self._classes = {c.name: c for c in config.settings.classes}
        self._arrivals = Arrivals(
            loop, self._turns, self.clock, self._balancer, self.parts, self._refusals
        )
        self._arrivals.classes = self._classes
        self.turned_away = self._arrivals.turned_away  # called once for each command
        self._pool = Pool.of(self, net, config)
        self._slots = SlotMap()
        self._lists = ListApplier(loop, self.places, self._pool, self.clock, self._tell_members)
        self._watch = Membership(self, net, config.discovery, config.operator, self.clock)
        self._placement = Keeper(loop, net.wall, self._tell_sizes)
        self._placement.take(config.plan, config.operator.placement)
        self._tell_list(self._watch.known(config.known), ListKind.CACHED)

    @property
    def open_requests(self) -> int:
        return len(self._open)

    @property
    def oldest_deadline(self) -> float | None:
        """Seconds of the loop's clock by which the next open request has to be over."""
        return self.deadlines.next_at

    def states(self) -> list[str]:
        """Of each open request: how it stands, for whoever looks in from outside."""
        return [request.state for request in self._open.values()]

    @property
    def nodes(self) -> list[int]:
        """Those that may get something new."""
        return self._pool.ids()

    @property
    def follows(self) -> object:
        """What tells of nodes: another one when `reload` has moved."""
        return self._watch.followed

    @property
    def generation(self) -> int:
        """Of the list as it was last told."""
        return self._generation

    # --- from clients ---
    def _look(self) -> None:
        module = self._balancer
        self._beliefs.look(module.unproven, module.gate.limit, module.fetches.limit)

    def _paused(self, seconds: float) -> None:
        logs.event("daemon.paused", ms=round(seconds * 1000.0))
        self._tell(None, self._balancer.on_pause, seconds * 1000.0)

    def take(self, command: Command, answer: Answer) -> None:
        """A whole request has come: one final answer is owed from here on.

        CommandError: it can't be one, and nothing is owed but to say so.
        """
        cls = self._classes.get(command.class_name)
        if cls is None:
            raise CommandError("unknown class")
        if cls.effect is Effect.KEYED and not command.keyed:
            raise CommandError("no idempotency key")  # its repeats would not be dropped
        if command.id in self._named:
            raise CommandError("id of an open request")  # nodes could not tell them apart
        now = self.clock()
        if not self._pulse.beats:
            self._pulse.start()
        self._last_id += 1
        wait = time_for(command.wait, cls.deadline)
        request = OpenRequest(self._last_id, command, answer, now + wait)
        answer.request = request
        self._open[request.id] = self._named[command.id] = request
        self.deadlines.add(self._loop.time() + wait / 1000.0, request.id)
        key = stable_hash(command.key)
        for told in self.parts.taken:
            told(command.tenant, key)
        self._tell(
            request,
            self._balancer.on_request,
            Request(
                request.id,
                command.class_name,
                request.give_up_at,
                key,
                command.value is not None,
                command.tenant,
                self._slots.owner(command.key, self.places.at),
            ),
        )
        self._forget(request)  # it may have been refused at once

    def gone(self, answer: Answer) -> None:
        """The client has gone away: nothing more is owed, sent or written."""
        request = answer.request
        if not isinstance(request, OpenRequest) or request.answered:
            return
        self._settle(request)
        self._tell(request, self._balancer.on_gone, request.id)
        self._forget(request)

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
        """The one outcome of an attempt; what comes after it is nothing."""
        request = self._open.get(attempt.request_id)
        if attempt.ended or request is None:
            return
        attempt.ended = True
        request.out -= 1
        now = self.clock()
        for ended in self.parts.ended:
            ended(attempt.cache_id, result)
        if not request.answered and result is Result.OK and value is not None:
            self._answer(request, b"$%d\r\n" % len(value), value, b"\r\n")
            for told in self.parts.served:
                told(request.command.tenant, request.command.class_name, request.command.id)
        to = None
        if self._pool.follows and result is Result.OK and not attempt.asking:
            self._slots.served(attempt.command.key, self._pool.address(attempt.cache_id))
        if redirect is not None:
            self._slots.learn(redirect)
            to = None if redirect.address is None else self.places.at(redirect.address)
        self._tell(
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
        self._forget(request)

    # --- from discovery ---
    def list_changed(self, listing: Listing) -> None:
        self._tell_list(listing)

    def list_failed(self, silent: bool = False) -> None:
        self._tell(None, self._balancer.on_list, ListKind.SILENT if silent else ListKind.FAILED, ())

    def reload(self, config: Config) -> None:
        """Take on what a new configuration may change while requests are open."""
        self._turn_log.doing("reload")
        self._pool.reload(config)
        if not self._pool.follows:
            self._slots = SlotMap()
        if config.settings != self._settings:
            self._settings = config.settings
            self._classes = {c.name: c for c in config.settings.classes}
            self._arrivals.classes = self._classes
            self._tell(None, self._balancer.on_settings, config.settings)
        self._placement.take(config.plan, config.operator.placement)
        if self._watch.move(config.discovery, config.operator):
            self._generation = 0  # another discovery's versions may mean something else
            self._tell(None, self._balancer.on_discovery_moved)

    def _tell_list(self, listing: Listing, kind: ListKind = ListKind.CHANGES) -> None:
        self._generation = listing.generation
        first = kind is ListKind.CACHED
        self._turn_log.doing(f"list of {len(listing.entries)}")
        step = self._lists.apply(listing, listing.whole or first, at_once=first)
        self._tell_members(step.members, kind)
        tell_placement(step, first, self._placement)
        log_step(step, self._lists.waiting, len(self._pool.ids()))

    def _tell_members(self, members: list[Member], kind: ListKind = ListKind.CHANGES) -> None:
        self._tell(None, self._balancer.on_list, kind, members, self._lists.waiting > 0)
        for listed in self.parts.listed:
            listed(members)

    def apply_peer_reports(self, bad: list[int], outcomes: list[Judged]) -> None:
        """What other proxies met at the nodes."""
        self._tell(None, self._balancer.on_others, bad, outcomes)

    def _tell_sizes(self, sizes: Mapping[int, float]) -> None:
        self._tell(None, self._balancer.on_sizes, sizes)

    def close(self) -> None:
        self._watch.stop()
        self._lists.close()
        self._refusals.close()
        self._placement.close()
        self.deadlines.close()
        self._pulse.close()
        if self._housekeeping is not None:
            self._housekeeping.cancel()
        self._pool.close()

    # --- telling and doing ---
    def _tell(
        self, request: OpenRequest | None, event: Callable[..., list[Action]], *args: object
    ) -> None:
        """Tell the module what happened and do what it says.

        A fault there, or in doing it, costs the request at hand and not the process.
        """
        try:
            for action in event(self.clock(), *args):
                self._do(action)
        except Exception:
            fault("in handling an event")
            if request is not None and not request.answered:
                self._answer(request, FAILED)

    def _do(self, action: Action) -> None:
        if type(action) is Send:  # a match statement takes several times as long
            self._send(self._open[action.request_id], action)
        elif type(action) is Timer:
            timer = self._loop.call_later(action.delay / 1000.0, self._timer, action.label)
            if action.label == HOUSEKEEPING:  # the others end with their requests
                self._housekeeping = timer
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
        request.out += 1
        if request.answered:
            self._loop.call_soon(self.attempt_ended, attempt, Result.NEVER_SENT)
            return
        if until < request.give_up_at:
            self._loop.call_later((until - now) / 1000.0, self._too_late, attempt)
        if 0.0 < action.deliver_by < until:
            self._loop.call_later((action.deliver_by - now) / 1000.0, self._undelivered, attempt)
        self._pool.send(attempt)

    def may_send(self, attempt: Attempt) -> bool:
        request = self._open.get(attempt.request_id)
        return (
            request is not None
            and request.may_begin(attempt, self.clock())
            and not (self._turns.late(self._loop.time()) and request.answer.left())
        )

    def _timer(self, label: int) -> None:
        request = self._open.get(label)
        if request is not None or label >= HOUSEKEEPING:
            self._tell(request, self._balancer.on_timer, label)
            if request is not None:
                self._forget(request)

    def _too_late(self, attempt: Attempt) -> None:
        self._give_up(attempt, Result.LATE)

    def _undelivered(self, attempt: Attempt) -> None:
        """What its node does not have by now must not reach it any more."""
        if not attempt.ended and not self._pool.delivered(attempt):
            self._give_up(attempt, Result.LATE)

    def _out_of_time(self, number: int) -> None:
        """The client is about to give up."""
        request = self._open[number]
        self._time.advance(request.give_up_at)
        for attempt in list(request.attempts):
            self._give_up(attempt, Result.LATE)
        self._held_too_long(request)
        if not request.answered:
            fault(f"request {request.id} had no final answer at its deadline")
            self._answer(request, FAILED)
            self._tell(request, self._balancer.on_gone, request.id)
        self._forget(request)

    def _held_too_long(self, request: OpenRequest) -> None:
        """After a pause its deadline may come before the timer that would have ended its wait."""
        if not request.answered:
            self._tell(request, self._balancer.on_timer, request.id)

    def _give_up(self, attempt: Attempt, result: Result) -> None:
        if not attempt.ended:
            may_have_run = self._pool.give_up(attempt)
            self.attempt_ended(attempt, result if may_have_run else Result.NEVER_SENT)

    def _answer(self, request: OpenRequest, *parts: bytes | bytearray) -> None:
        """The one place where a request gets its final answer."""
        if request.answered:
            fault(f"second final answer for request {request.id}")
            return
        self._settle(request)
        request.answer.finish(*parts)

    def _settle(self, request: OpenRequest) -> None:
        request.answered = True
        self._named.pop(request.command.id, None)

    def _forget(self, request: OpenRequest) -> None:
        """Done with it once it is answered and each attempt has had its outcome."""
        if request.answered and not request.out:
            self._open.pop(request.id, None)
