"""Checks the four rules from what the proxy's peers observed, without knowledge of the proxy.

Every event is checked when it is reported, so a violation is recorded even if it is over a moment
later, together with the trace of its request up to then.  All times are seconds on one clock.
Where a peer sees only the arrival of a message, it reports the best known time of sending; an
uncertainty counts in the proxy's favour.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

# s after a pause for which the process may still be late with what became due in the pause
PAUSE_SLACK_S = 0.05
# s; a process cannot detect a shorter pause, so answers to what arrived in one may be late
MIN_DETECTABLE_PAUSE_S = 0.1
# s within which a new watch may report again a drain that it has just withdrawn
REPEAT_WINDOW_S = 0.01
# name that stands for the initial list of a restart, and for sources no longer followed
FORMER_SOURCES = ""
# s from the arrival of the client's FIN until nothing may be sent, even if a pause intervened
CLIENT_GONE_LIMIT_S = 0.1
# requests over a cold node's limit that random arrivals alone can cause
COLD_LIMIT_SLACK = 6


@dataclass(frozen=True)
class RuleLimits:
    """The limits of the rules, from the platform's settings."""

    effects: Mapping[str, str]  # effect of each class: pure, token or side_effect
    grace: float = 0.5  # s from the report of a drain until nothing new may be sent
    overload: float = 3.0  # allowed load of a cold node, as a multiple of its current capacity
    window: float = 3.0  # s over which requests to a cold node are counted
    cold_share: float = 0.13  # fraction of its warm capacity that a node has at its start
    warm_up: float = 23.0  # s until a node has its full capacity


@dataclass(frozen=True)
class Violation:
    """A violation of one of the rules 1 to 4; rule 0 stands for the program's own limits."""

    rule: int
    at: float
    message: str
    request: str = ""
    trace: tuple[str, ...] = ()


@dataclass
class _Request:
    cls: str
    effect: str
    sent_at: float
    deadline: float
    trace: list[str] = field(default_factory=list)
    answered_at: float | None = None
    answer: str = ""
    gone_at: float | None = None
    eof_at: float | None = None  # when the client's FIN reached the proxy's machine
    excused: bool = False
    accepted_by: list[str] = field(default_factory=list)  # nodes that may have run it
    effects: int = 0


@dataclass
class _Node:
    # since when each source reports the node as draining or removed
    unavailable: dict[str, float] = field(default_factory=dict)
    # for each source: since when the node had been unavailable, and when that was withdrawn
    withdrawn: dict[str, tuple[float, float]] = field(default_factory=dict)
    repeated_at: float = 0.0  # the last time a new watch repeated a withdrawn drain
    started_at: float | None = None  # None: warm
    capacity: float = 0.0  # requests per second when warm
    recent_arrivals: deque[float] = field(default_factory=deque)


class RuleChecker:
    """Receives observed events in order of time and collects rule violations in `violations`."""

    def __init__(self, limits: RuleLimits) -> None:
        self._limits = limits
        self._requests: dict[str, _Request] = {}
        self._nodes: dict[str, _Node] = {}
        self.violations: list[Violation] = []
        self.answers: dict[str, int] = {}
        self._paused_until = 0.0
        self._pauses: list[tuple[float, float]] = []

    def _violation(self, rule: int, at: float, message: str, id_: str = "") -> None:
        trace = tuple(self._requests[id_].trace) if id_ in self._requests else ()
        self.violations.append(Violation(rule, at, message, id_, trace))

    def report_fault(self, at: float, message: str) -> None:
        """Record that a limit or guarantee of the program itself did not hold (rule 0)."""
        self._violation(0, at, message)

    # --- clients ---
    def request_sent(self, at: float, id_: str, cls: str, wait: float) -> None:
        """The client wrote the last byte of a request and waits `wait` seconds for the answer."""
        request = self._requests[id_] = _Request(cls, self._limits.effects[cls], at, at + wait)
        request.trace.append(f"{at:.6f} request sent ({cls}, waits {wait * 1000:.0f} ms)")

    def answered(self, at: float, id_: str, answer: str) -> None:
        """The client received a complete answer: served, refused or failed."""
        request = self._requests[id_]
        request.trace.append(f"{at:.6f} {answer}")
        self.answers[answer] = self.answers.get(answer, 0) + 1
        if request.answered_at is not None:
            self._violation(1, at, "a second final answer", id_)
            return
        request.answered_at, request.answer = at, answer
        if at > request.deadline and not self._excused(request):
            self._violation(1, at, f"answered {(at - request.deadline) * 1000:.1f} ms late", id_)
        if answer == "refused" and request.effect == "side_effect" and request.accepted_by:
            self._violation(2, at, f"refused, though {request.accepted_by[0]} may have run it", id_)

    def unexpected_answer(self, at: float, text: str) -> None:
        """A client without an open request received data."""
        self._violation(1, at, f"an answer to no open request: {text}")

    def expired(self, at: float, id_: str) -> None:
        """The client's deadline passed without an answer."""
        request = self._requests[id_]
        request.trace.append(f"{at:.6f} the client's deadline passed")
        if not self._excused(request) and request.gone_at is None:
            self._violation(1, at, "no final answer in time", id_)

    def client_gone(self, at: float, id_: str) -> None:
        """The client disconnected: no answer is required, and nothing more may be sent."""
        request = self._requests[id_]
        request.trace.append(f"{at:.6f} the client disconnected")
        request.gone_at = at

    def client_eof_received(self, at: float, id_: str) -> None:
        """The FIN of a disconnected client has reached the kernel of the proxy's machine.

        This also counts while the process is paused.  A FIN behind more data than the receive
        buffer holds is still at the sender, so the proxy cannot know of it.
        """
        self._requests[id_].eof_at = at

    def connection_closed(self, at: float, id_: str) -> None:
        """The proxy closed the connection while this request was open on it."""
        request = self._requests[id_]
        request.trace.append(f"{at:.6f} the proxy closed the connection")
        if request.accepted_by and not request.excused:
            self._violation(
                1, at, "the connection was closed while an accepted request was open on it", id_
            )
        request.gone_at = at

    def excuse(self, id_: str) -> None:
        """Require no answer: the client's own network path was cut, so none could reach it."""
        self._requests[id_].excused = True

    # --- the proxy's process ---
    def proxy_restarted(self, at: float, node_states: Mapping[str, bool]) -> None:
        """A new process took over, with a list that says which nodes may be used.

        Reports to its predecessor and requests sent by it no longer count; the requests to cold
        nodes are counted from zero.
        """
        for name, node in self._nodes.items():
            node.recent_arrivals.clear()
            node.withdrawn.clear()
            node.unavailable = {} if node_states.get(name, True) else {FORMER_SOURCES: at}

    def proxy_paused(self, at: float, until: float) -> None:
        """The process gets no CPU until `until`; nothing due in between can be answered in time."""
        self._paused_until = max(self._paused_until, until)
        self._pauses.append((at, until))

    def _noticeable_at(self, at: float) -> float:
        """Earliest time at which the process, paused or not, could notice an event at `at`."""
        return max(
            [until for began, until in self._pauses if began <= at + 0.01 <= until + 0.01],
            default=at,
        )

    def _excused(self, request: _Request) -> bool:
        request.excused = (
            request.excused
            or request.deadline <= self._paused_until + PAUSE_SLACK_S
            or any(
                at <= request.sent_at <= until and until - at < MIN_DETECTABLE_PAUSE_S
                for at, until in self._pauses
            )
        )
        return request.excused

    # --- cache nodes ---
    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        """A command arrived at a node; the proxy sent it at `sent_at` or later."""
        request, seen = self._requests.get(id_), self._nodes.setdefault(node, _Node())
        if request is None:
            self._violation(1, at, f"{node} got a request that no client sent: {id_[:40]}")
            return
        request.trace.append(f"{at:.6f} arrived at {node}, sent at {sent_at:.6f}")
        if request.answered_at is not None and sent_at > request.answered_at:
            self._violation(1, at, f"sent to {node} after the final answer", id_)
        if request.eof_at is not None and sent_at > request.eof_at + CLIENT_GONE_LIMIT_S:
            self._violation(
                1,
                at,
                f"sent to {node} {(sent_at - request.eof_at) * 1000:.0f} ms "
                "after its client's end of stream had arrived",
                id_,
            )
        elif request.gone_at is not None and sent_at > self._noticeable_at(request.gone_at) + 0.01:
            self._violation(1, at, f"sent to {node} after its client had disconnected", id_)
        reported_at = min(seen.unavailable.values(), default=None)
        if reported_at is not None and sent_at > max(
            reported_at + self._limits.grace, seen.repeated_at
        ):
            self._violation(
                3,
                at,
                f"sent to {node} {(sent_at - reported_at) * 1000:.1f} ms after the report "
                "of its drain or removal",
                id_,
            )
        if request.effect == "side_effect" and request.accepted_by:
            self._violation(
                2, at, f"sent to {node}, though {request.accepted_by[0]} may have run it", id_
            )
        self._check_cold_load(at, node, seen)

    def _check_cold_load(self, at: float, node: str, seen: _Node) -> None:
        if seen.started_at is None:
            return
        limits, arrivals = self._limits, seen.recent_arrivals
        age = at - seen.started_at
        if age >= limits.warm_up:
            return
        arrivals.append(at)
        while arrivals and arrivals[0] <= at - limits.window:
            arrivals.popleft()
        share = limits.cold_share + (1.0 - limits.cold_share) * age / limits.warm_up
        bound = limits.overload * seen.capacity * share * limits.window + COLD_LIMIT_SLACK
        if len(arrivals) > bound:
            self._violation(
                4,
                at,
                f"{node} got {len(arrivals)} requests in {limits.window:g} s, {age:.1f} s after "
                f"its start; the limit is {bound:.0f}",
            )

    def accepted(self, at: float, node: str, id_: str) -> None:
        """The node accepted the request and may run it from now on."""
        request = self._requests.get(id_)
        if request is not None:
            request.accepted_by.append(node)
            request.trace.append(f"{at:.6f} accepted by {node}")

    def effect(self, at: float, node: str, id_: str) -> None:
        """The request took its permanent effect at the node."""
        request = self._requests.get(id_)
        if request is None:
            return
        request.effects += 1
        request.trace.append(f"{at:.6f} took effect at {node}")
        if request.effects > 1 and request.effect != "pure":
            self._violation(2, at, f"took effect {request.effects} times", id_)

    # --- discovery and starts ---
    # Rule 3: once `grace` has passed since a source reported a node as draining or removed, the
    # node gets no new request until that source reports it as ready, or any source reports a
    # start of the node later than that report.  A report counts from the time its bytes reached
    # the process; a blocking query that times out and repeats the old state is no report.
    def node_reported(
        self,
        at: float,
        node: str,
        ready: bool,
        source: str = "list",
        started_at: float | None = None,
        burst: bool = False,
    ) -> None:
        """By `at` the proxy has received a node's state from one of its sources.

        `started_at`: the start time of the node, according to the source.  `burst`: a new watch
        repeats earlier states; a drain that it withdraws and at once repeats is no new report.
        """
        seen = self._nodes.setdefault(node, _Node())
        if ready:
            seen.unavailable.pop(FORMER_SOURCES, None)
            since = seen.unavailable.pop(source, None)
            if since is not None:
                seen.withdrawn[source] = since, at
            if started_at is not None:
                seen.unavailable = {
                    name: since for name, since in seen.unavailable.items() if since >= started_at
                }
        elif source not in seen.unavailable:
            since, withdrawn_at = seen.withdrawn.pop(source, (at, -1.0))
            if burst and at - withdrawn_at <= REPEAT_WINDOW_S:
                seen.unavailable[source], seen.repeated_at = since, at
            else:
                seen.unavailable[source] = at

    def active_drains(self, at: float) -> list[tuple[str, float]]:
        """Source and age in seconds of each report of a drain or removal that still holds."""
        return [
            (source, at - since)
            for seen in self._nodes.values()
            for source, since in seen.unavailable.items()
        ]

    def sources_replaced(self) -> None:
        """The proxy follows other sources; reports of the old ones hold until a new one reports."""
        for seen in self._nodes.values():
            seen.withdrawn.clear()
            if seen.unavailable:
                seen.unavailable = {FORMER_SOURCES: min(seen.unavailable.values())}

    def started(self, at: float, node: str, capacity: float) -> None:
        """A node's process started cold; warm, it serves `capacity` requests per second."""
        seen = self._nodes.setdefault(node, _Node())
        seen.started_at, seen.capacity = at, capacity
        seen.recent_arrivals.clear()

    def finish(self, at: float) -> None:
        """End of the run: report each request that has neither an answer nor an excuse."""
        for id_, request in self._requests.items():
            if (
                request.answered_at is None
                and request.gone_at is None
                and not request.excused
                and not any(b.request == id_ for b in self.violations)
            ):
                self._violation(1, at, "no final answer at the end", id_)

    @property
    def requests(self) -> int:
        """Number of requests sent so far."""
        return len(self._requests)
