"""Ownership as a model for `state_space`: two or three processes, a store and a fenced log."""

from __future__ import annotations

import functools
from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from typing import Any

from violetroute.fleet import lease as leases
from violetroute.fleet.election import (
    Acquire,
    LeaderElector,
    LeaseTiming,
    Release,
    Renew,
    TermBegan,
    TermEnded,
)
from violetroute.fleet.lease import IncarnationId, Lease
from violetroute.fleet.log import Fenced, FencedLog, Read, append, claim, decode

from .model_incarnation import Incarnation, Reading, StoreAnswer, lease_key

TERMS = LeaseTiming(term_s=1.0, drift=0.05, step_s=0.0)
RATES = (0.95, 1.05, 1.0)  # of the incarnations' clocks
STEP = 0.5  # s of an event "time"
HEALS = 24  # steps of time within which an effect has to happen once all is well


class Even:
    """A random source without jitter."""

    def random(self) -> float:
        return 0.0


EVEN = Even()
read_record = functools.cache(decode)  # a record depends on its bytes alone


@dataclass(frozen=True)
class Bounds:
    """How often each trouble happens in one story."""

    incarnations: int = 2  # processes at a time
    stops: int = 1
    kills: int = 1
    lost_calls: int = 1
    store_losses: int = 1
    time_steps: int = 7
    effects: int = 4
    delayed_calls: int = 1  # calls with something between what the store does and its answer
    delayed_reads: int = 1  # looks with something between reading and hearing
    split_effects: int = 2  # effects with something between their check and their record


BOUNDED = tuple(bound.name for bound in fields(Bounds) if bound.name != "incarnations")


@dataclass
class World:
    """The state of the model."""

    bounds: Bounds
    now: float = 0.0
    lease: Lease | None = None
    log: list[bytes] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    began: int = 0  # incarnations so far, for their nonces
    left: dict[str, int] = field(default_factory=dict)
    forgot: bool = False
    violated_rule: str = ""

    def __post_init__(self) -> None:
        if not self.left:
            self.left = {name: getattr(self.bounds, name) for name in BOUNDED}
            self.incarnations = [self._start_incarnation() for _ in range(self.bounds.incarnations)]

    def _start_incarnation(self) -> Incarnation:
        self.began += 1
        me = IncarnationId(f"p{self.began}", f"n{self.began}")
        owner = LeaderElector("w", me.nonce, TERMS, EVEN)
        owner.set_candidate(True, 0)
        return Incarnation(owner, me, FencedLog("w", _ignore))

    def clock(self, place: int) -> float:
        return self.now * RATES[place]

    # --- what may happen ---
    def events(self) -> Iterator[tuple[str, int]]:
        left = self.left
        if left["time_steps"]:
            yield "time", -1
        if left["store_losses"] and self.lease is not None:
            yield "forget", -1
        for place, incarnation in enumerate(self.incarnations):
            if (
                incarnation.call is not None
                and incarnation.answer is None
                and (left["delayed_calls"] or incarnation.stopped)
            ):
                yield "do", place
            if left["kills"]:
                yield "kill", place
            if incarnation.stopped:
                yield "cont", place
            else:
                yield from self._steps_of(place, incarnation)

    def _steps_of(self, place: int, incarnation: Incarnation) -> Iterator[tuple[str, int]]:
        """What may happen next in a process that is not stopped, but that it is killed."""
        left = self.left
        if incarnation.answer is not None:
            yield "answer", place
        elif incarnation.call is not None:
            yield "call", place
        if incarnation.call is not None and left["lost_calls"]:
            yield "lose", place
        if incarnation.reading is not None:
            yield "hear", place
        else:
            yield "look", place
            if left["delayed_reads"]:
                yield "read", place
        if incarnation.put is not None:
            yield "put", place
        elif left["effects"] and self._may(place):
            yield "effect", place
            if left["split_effects"]:
                yield "begin", place
        if left["stops"] and (incarnation.put is not None or incarnation.owner.state == "owner"):
            yield "stop", place

    def _may(self, place: int) -> bool:
        return self.incarnations[place].owner.valid_fence(self.clock(place)) > 0

    def step(self, what: str, place: int) -> None:
        if what == "time":
            self.left["time_steps"] -= 1
            self.now += STEP
            for each in range(len(self.incarnations)):
                if not self.incarnations[each].stopped:
                    self._acts(each, self.incarnations[each].owner.tick(self.clock(each)))
        elif what == "forget":
            self.left["store_losses"] -= 1
            self.lease, self.forgot = None, True
        else:
            getattr(self, f"_{what}")(place, self.incarnations[place])
        self._judge()

    def _look(self, place: int, incarnation: Incarnation) -> None:
        self._read(place, incarnation, 0)
        self._hear(place, incarnation)

    def _call(self, place: int, incarnation: Incarnation) -> None:
        self._do(place, incarnation, 0)
        self._answer(place, incarnation)

    def _effect(self, place: int, incarnation: Incarnation) -> None:
        self._begin(place, incarnation, 0)
        if incarnation.put is not None:
            self._put(place, incarnation)

    def _read(self, place: int, incarnation: Incarnation, cost: int = 1) -> None:
        self.left["delayed_reads"] -= cost
        holder = self.lease.nonce if self.lease is not None else ""
        runs = not holder or any(each.me.nonce == holder for each in self.incarnations)
        incarnation.reading = Reading(self.clock(place), self.lease, runs)

    def _hear(self, place: int, incarnation: Incarnation) -> None:
        assert incarnation.reading is not None
        (asked_at, lease, alive), incarnation.reading = incarnation.reading, None
        self._acts(place, incarnation.owner.observe(self.clock(place), asked_at, lease, alive))
        self._acts(place, incarnation.owner.tick(self.clock(place)))

    def _do(self, place: int, incarnation: Incarnation, cost: int = 1) -> None:
        """The store serves the call."""
        self.left["delayed_calls"] = max(0, self.left["delayed_calls"] - cost)
        match incarnation.call:
            case Acquire(_, _, floor, over):
                made = leases.acquired("w", self.lease, over, floor, incarnation.me, 0.0)
            case Renew(_, _, fence):
                made = leases.renewed(self.lease, fence, incarnation.me)
            case Release(_, _, fence):
                made = leases.released(self.lease, fence, incarnation.me)
        if made is not None:
            self.lease = made
        incarnation.answer = StoreAnswer(made is not None, self.lease)

    def _answer(self, place: int, incarnation: Incarnation) -> None:
        assert incarnation.answer is not None
        (accepted, lease), call = incarnation.answer, incarnation.call
        incarnation.answer = incarnation.call = None
        now, owner = self.clock(place), incarnation.owner
        match call:
            case Acquire(_, number) if accepted:
                assert lease is not None
                actions = owner.granted(now, number, lease.fence)
            case Acquire(_, number):
                actions = owner.denied(now, number, lease)
            case Renew(_, number) if accepted:
                actions = owner.renewed(now, number)
            case Release(_, number) if accepted:
                actions = owner.released(now, number)
            case Renew(_, number) | Release(_, number):
                actions = owner.lost(now, number, lease)
        self._acts(place, actions)
        self._acts(place, owner.tick(now))

    def _lose(self, place: int, incarnation: Incarnation) -> None:
        """The call or its answer is lost."""
        self.left["lost_calls"] -= 1
        assert incarnation.call is not None
        call, incarnation.call, incarnation.answer = incarnation.call, None, None
        self._acts(place, incarnation.owner.failed(self.clock(place), call.number))

    def _kill(self, place: int, incarnation: Incarnation) -> None:
        self.left["kills"] -= 1
        self.incarnations[place] = self._start_incarnation()

    def _stop(self, place: int, incarnation: Incarnation) -> None:
        self.left["stops"] -= 1
        incarnation.stopped = True

    def _cont(self, place: int, incarnation: Incarnation) -> None:
        """Continue a stopped process: first the step that it was in, then its timers."""
        incarnation.stopped = False
        if incarnation.put is not None:
            self._put(place, incarnation)
        self._acts(place, incarnation.owner.tick(self.clock(place)))

    def _begin(self, place: int, incarnation: Incarnation, cost: int = 1) -> None:
        """Begin an effect: all checks, up to the instant before its record is put."""
        self.left["effects"] -= 1
        self.left["split_effects"] -= cost
        owner, log = incarnation.owner, incarnation.log
        fence = owner.valid_fence(self.clock(place))
        if incarnation.claimed == fence:
            steps = append(log, fence, incarnation.me.nonce, incarnation.me.name, lambda: 1)
        else:
            steps = claim(log, fence, incarnation.me.nonce, incarnation.me.name)
        answer: Any = None
        try:
            while True:
                step = steps.send(answer)
                if isinstance(step, Read):
                    answer = self.log[step.position :]
                else:
                    incarnation.put = step
                    return
        except StopIteration as end:
            if isinstance(end.value, Fenced):
                self._acts(place, owner.fenced(self.clock(place), end.value.floor))
                self._acts(place, owner.tick(self.clock(place)))

    def _put(self, place: int, incarnation: Incarnation) -> None:
        assert incarnation.put is not None
        put, incarnation.put = incarnation.put, None
        if put.position == len(self.log):
            self.log.append(put.data)
            incarnation.log.apply(put.data)
            record = read_record(put.data, "w")
            assert record is not None
            if record.kind == "claim":
                incarnation.claimed = record.fence
        if incarnation.owner.state != "owner":
            incarnation.owner.work_stopped()

    def _acts(self, place: int, actions: Any) -> None:
        incarnation = self.incarnations[place]
        for action in actions:
            match action:
                case TermBegan():
                    pass
                case TermEnded():
                    if incarnation.put is None:
                        incarnation.owner.work_stopped()
                case _:
                    incarnation.call, incarnation.answer = action, None

    # --- the rules ---
    def _judge(self) -> None:
        high, whose, claimed = 0, "", (0, "")
        for data in self.log:
            record = read_record(data, "w")
            assert record is not None
            if record.fence < high or (record.fence == high and record.nonce != whose):
                self.violated_rule = "order"
            if record.kind == "claim":
                claimed = record.fence, record.nonce
            elif claimed != (record.fence, record.nonce):
                self.violated_rule = "late"
            high, whose = max((high, whose), (record.fence, record.nonce), key=lambda of: of[0])
        if not self.forgot and sum(map(self._may, range(len(self.incarnations)))) > 1:
            self.violated_rule = "alone"

    def goes_on(self) -> bool:
        """Whether an entry is put within HEALS steps of time when nothing fails any more."""
        before = len(self.log)
        self.left["effects"] = 1000
        for incarnation in self.incarnations:
            incarnation.stopped = False
        for _ in range(HEALS):
            for place, incarnation in enumerate(self.incarnations):
                for what in ("answer", "call", "hear", "look", "call"):
                    if (what, place) in list(self.events()):
                        self.step(what, place)
                for _ in range(2):  # the claim, and what follows it
                    if incarnation.put is not None:
                        self._put(place, incarnation)
                    if incarnation.put is None and self._may(place):
                        self._begin(place, incarnation)
            if any(
                record is not None and record.kind == "entry"
                for record in (read_record(data, "w") for data in self.log[before:])
            ):
                return True
            self.left["time_steps"] = 1
            self.step("time", -1)
        return False

    # --- states ---
    def copy(self, place: int = -1) -> World:
        """A copy for a step at `place`, which shares all other incarnations; -1: for any step."""
        made = World.__new__(World)
        made.__dict__.update(self.__dict__)
        made.log, made.left = self.log[:], self.left.copy()
        made.incarnations = [
            incarnation if place >= 0 and place != each else incarnation.copy()
            for each, incarnation in enumerate(self.incarnations)
        ]
        return made

    def copy_for(self, event: tuple[Any, ...]) -> World:
        return self.copy(event[1])

    def liveness_violation(self) -> str:
        return "" if self.copy().goes_on() else "goes on"

    def key(self) -> Any:
        """All that later steps depend on."""
        end, first = (
            len(self.log),
            min(incarnation.log.next_position for incarnation in self.incarnations),
        )
        beat = 0 if self.lease is None else self.lease.beat
        return (
            lease_key(self.lease, beat),
            tuple(self.log[first:]),
            tuple(self.left.values()),
            self.forgot,
            tuple(
                incarnation.key(self.clock(place), end, beat)
                for place, incarnation in enumerate(self.incarnations)
            ),
        )


def _ignore(position: int, record: Any) -> None:
    pass
