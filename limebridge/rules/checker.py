"""The judge of the four rules.  It knows nothing of the proxy, only what its peers saw.

It judges at each event, so a break that heals a moment later is told too, with the request's
story up to then.  Times are seconds on one clock.  Where a peer can see only that something
came, it tells when it was sent as well as it knows; what it can't know counts for the proxy.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

PAUSE_SLACK = 0.05  # s after a pause for what became due in it
MIN_DETECTABLE_PAUSE_S = (
    0.1  # s of a pause that a process can see; what came in a shorter one may be late
)
BURST = 0.01  # s in which a new watch may say a drain again that it has just taken back
BEFORE = ""  # the source of what was handed over, or told by sources that are not followed any more
GONE = 0.1  # s after which nothing begins for a client that has left, whatever came in between
SLACK = 6  # requests beyond a cold node's bound: what chance alone brings


@dataclass(frozen=True)
class RuleLimits:
    """The figures of the rules, as the platform's settings state them."""

    effects: Mapping[str, str]  # by class: pure, token or side_effect
    grace: float = 0.5  # s from hearing of a drain
    overload: float = 3.0  # times a cold node's present capacity
    fall: float = 3.0  # s over which that is counted
    cold_from: float = 0.13  # share of its capacity that a node starts with
    warm: float = 23.0  # s until it has all of it


@dataclass(frozen=True)
class Violation:
    """A rule that was broken: 1 to 4, or 0 for the program's own bounds."""

    rule: int
    at: float
    what: str
    request: str = ""
    story: tuple[str, ...] = ()


@dataclass
class _Request:
    cls: str
    effect: str
    asked_at: float
    until: float
    story: list[str] = field(default_factory=list)
    answered_at: float | None = None
    answer: str = ""
    gone_at: float | None = None
    end_came_at: float | None = None  # to the proxy's machine
    excused: bool = False
    accepted: list[str] = field(default_factory=list)  # nodes that may have run it
    effects: int = 0


@dataclass
class _Node:
    told: dict[str, float] = field(default_factory=dict)  # by source: drains or gone, since then
    taken_back: dict[str, tuple[float, float]] = field(default_factory=dict)  # since when, and when
    burst_at: float = 0.0  # the end of the last burst in which it was told so again
    started_at: float | None = None  # None: warm
    capacity: float = 0.0  # requests a second when warm
    lately: deque[float] = field(default_factory=deque)


class RuleChecker:
    """Tell it what was seen, in the order of time; `broken` has what it found."""

    def __init__(self, terms: RuleLimits) -> None:
        self._terms = terms
        self._requests: dict[str, _Request] = {}
        self._nodes: dict[str, _Node] = {}
        self.violations: list[Violation] = []
        self.answers: dict[str, int] = {}
        self._paused_until = 0.0
        self._pauses: list[tuple[float, float]] = []

    def _break(self, rule: int, at: float, what: str, id_: str = "") -> None:
        story = tuple(self._requests[id_].story) if id_ in self._requests else ()
        self.violations.append(Violation(rule, at, what, id_, story))

    def report_fault(self, at: float, what: str) -> None:
        """A bound or promise of the program's own that did not hold."""
        self._break(0, at, what)

    # --- clients ---
    def request_sent(self, at: float, id_: str, cls: str, wait: float) -> None:
        """The last byte of a request was written; its client waits so long."""
        request = self._requests[id_] = _Request(cls, self._terms.effects[cls], at, at + wait)
        request.story.append(f"{at:.6f} asked ({cls}, waits {wait * 1000:.0f} ms)")

    def answered(self, at: float, id_: str, answer: str) -> None:
        """A whole answer came: served, refused or failed."""
        request = self._requests[id_]
        request.story.append(f"{at:.6f} {answer}")
        self.answers[answer] = self.answers.get(answer, 0) + 1
        if request.answered_at is not None:
            self._break(1, at, "a second final answer", id_)
            return
        request.answered_at, request.answer = at, answer
        if at > request.until and not self._excused(request):
            self._break(1, at, f"answered {(at - request.until) * 1000:.1f} ms late", id_)
        if answer == "refused" and request.effect == "side_effect" and request.accepted:
            self._break(2, at, f"refused, though {request.accepted[0]} may have run it", id_)

    def unexpected_answer(self, at: float, text: str) -> None:
        """Something came to a client that had nothing open."""
        self._break(1, at, f"an answer that nobody is owed: {text}")

    def expired(self, at: float, id_: str) -> None:
        """The client's time is up without an answer."""
        request = self._requests[id_]
        request.story.append(f"{at:.6f} out of time")
        if not self._excused(request) and request.gone_at is None:
            self._break(1, at, "no final answer in time", id_)

    def client_gone(self, at: float, id_: str) -> None:
        """The client has gone away: nothing is owed, and nothing more may be sent."""
        request = self._requests[id_]
        request.story.append(f"{at:.6f} its client has gone")
        request.gone_at = at

    def client_eof_received(self, at: float, id_: str) -> None:
        """The end of one that has gone is on the proxy's machine: its kernel knows.

        Counts also while the process stands.  An end behind more than the receive buffer holds is
        still at the sender, and nobody here can know of it.
        """
        self._requests[id_].end_came_at = at

    def connection_closed(self, at: float, id_: str) -> None:
        """The proxy ended the connection while this was open on it."""
        request = self._requests[id_]
        request.story.append(f"{at:.6f} the connection was closed under it")
        if request.accepted and not request.excused:
            self._break(1, at, "the connection was closed under a request sent on", id_)
        request.gone_at = at

    def excuse(self, id_: str) -> None:
        """Its client's own path was cut: no answer could have come."""
        self._requests[id_].excused = True

    # --- the proxy's process ---
    def proxy_restarted(self, at: float, node_states: Mapping[str, bool]) -> None:
        """A new process knows what it is handed, by node: whether it may be used.

        What its predecessor was told and has sent is gone with it; cold nodes are counted anew.
        """
        for name, seen in self._nodes.items():
            seen.lately.clear()
            seen.taken_back.clear()
            seen.told = {} if node_states.get(name, True) else {BEFORE: at}

    def proxy_paused(self, at: float, until: float) -> None:
        """The process gets no CPU until then: nobody can answer in time meanwhile."""
        self._paused_until = max(self._paused_until, until)
        self._pauses.append((at, until))

    def _could_know(self, at: float) -> float:
        """When a process that got no CPU could know of what happened then."""
        return max(
            [until for began, until in self._pauses if began <= at + 0.01 <= until + 0.01],
            default=at,
        )

    def _excused(self, request: _Request) -> bool:
        request.excused = (
            request.excused
            or request.until <= self._paused_until + PAUSE_SLACK
            or any(
                at <= request.asked_at <= until and until - at < MIN_DETECTABLE_PAUSE_S
                for at, until in self._pauses
            )
        )
        return request.excused

    # --- cache nodes ---
    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        """A command came to a node, sent at this time or later."""
        request, seen = self._requests.get(id_), self._nodes.setdefault(node, _Node())
        if request is None:
            self._break(1, at, f"{node} got a request that nobody asked: {id_[:40]}")
            return
        request.story.append(f"{at:.6f} came to {node}, sent at {sent_at:.6f}")
        if request.answered_at is not None and sent_at > request.answered_at:
            self._break(1, at, f"sent to {node} after the final answer", id_)
        if request.end_came_at is not None and sent_at > request.end_came_at + GONE:
            self._break(
                1,
                at,
                f"sent to {node} {(sent_at - request.end_came_at) * 1000:.0f} ms "
                "after its client's end had come",
                id_,
            )
        elif request.gone_at is not None and sent_at > self._could_know(request.gone_at) + 0.01:
            self._break(1, at, f"sent to {node} after its client had gone", id_)
        heard = min(seen.told.values(), default=None)
        if heard is not None and sent_at > max(heard + self._terms.grace, seen.burst_at):
            self._break(
                3,
                at,
                f"sent to {node} {(sent_at - heard) * 1000:.1f} ms after hearing "
                "that it drains or is gone",
                id_,
            )
        if request.effect == "side_effect" and request.accepted:
            self._break(2, at, f"sent to {node}, though {request.accepted[0]} may have run it", id_)
        self._count(at, node, seen)

    def _count(self, at: float, node: str, seen: _Node) -> None:
        if seen.started_at is None:
            return
        terms, lately = self._terms, seen.lately
        age = at - seen.started_at
        if age >= terms.warm:
            return
        lately.append(at)
        while lately and lately[0] <= at - terms.fall:
            lately.popleft()
        share = terms.cold_from + (1.0 - terms.cold_from) * age / terms.warm
        bound = terms.overload * seen.capacity * share * terms.fall + SLACK
        if len(lately) > bound:
            self._break(
                4,
                at,
                f"{node} got {len(lately)} in {terms.fall:g} s, {age:.1f} s after "
                f"its start; {bound:.0f} is the bound",
            )

    def accepted(self, at: float, node: str, id_: str) -> None:
        """From here on it may run there."""
        request = self._requests.get(id_)
        if request is not None:
            request.accepted.append(node)
            request.story.append(f"{at:.6f} accepted by {node}")

    def effect(self, at: float, node: str, id_: str) -> None:
        """It did what it does, for good."""
        request = self._requests.get(id_)
        if request is None:
            return
        request.effects += 1
        request.story.append(f"{at:.6f} took effect at {node}")
        if request.effects > 1 and request.effect != "pure":
            self._break(2, at, f"took effect {request.effects} times", id_)

    # --- discovery and starts ---
    # Rule three.  From `grace` after a source told that a node drains or is gone it gets nothing
    # new, until that source tells of it as ready, or any source tells of a start of it that came
    # after that was told.  Told is what the process had the bytes of; what a wait that ran out
    # says once more is no telling.
    def node_reported(
        self,
        at: float,
        node: str,
        ready: bool,
        source: str = "list",
        started_at: float | None = None,
        burst: bool = False,
    ) -> None:
        """By now the proxy was told of a node by one of its sources.

        `started_at`: of the node, as the source has it. `burst`: a new watch says once more what
        was said before; what it takes back and says again at once is no new telling.
        """
        seen = self._nodes.setdefault(node, _Node())
        if ready:
            seen.told.pop(BEFORE, None)
            since = seen.told.pop(source, None)
            if since is not None:
                seen.taken_back[source] = since, at
            if started_at is not None:
                seen.told = {
                    name: since for name, since in seen.told.items() if since >= started_at
                }
        elif source not in seen.told:
            since, taken_back_at = seen.taken_back.pop(source, (at, -1.0))
            if burst and at - taken_back_at <= BURST:
                seen.told[source], seen.burst_at = since, at
            else:
                seen.told[source] = at

    def active_drains(self, at: float) -> list[tuple[str, float]]:
        """Of each drain or going that holds: who told it, and how many seconds ago."""
        return [
            (source, at - since)
            for seen in self._nodes.values()
            for source, since in seen.told.items()
        ]

    def sources_replaced(self) -> None:
        """The proxy was given other sources: what the old ones told holds until one speaks."""
        for seen in self._nodes.values():
            seen.taken_back.clear()
            if seen.told:
                seen.told = {BEFORE: min(seen.told.values())}

    def started(self, at: float, node: str, capacity: float) -> None:
        """A node's process started cold; it can do so many requests a second when warm."""
        seen = self._nodes.setdefault(node, _Node())
        seen.started_at, seen.capacity = at, capacity
        seen.lately.clear()

    def finish(self, at: float) -> None:
        """All is over: each request has had its end."""
        for id_, request in self._requests.items():
            if (
                request.answered_at is None
                and request.gone_at is None
                and not request.excused
                and not any(b.request == id_ for b in self.violations)
            ):
                self._break(1, at, "no final answer at the end", id_)

    @property
    def requests(self) -> int:
        """Asked so far."""
        return len(self._requests)
