"""Leases as a model for `state_space`: two or three processes, a store and a fenced log."""

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

TIMING = LeaseTiming(term_s=1.0, drift=0.05, step_s=0.0)
RATES = (0.95, 1.05, 1.0)  # rates of the clocks, by index of the process
STEP = 0.5  # s by which an event "time" advances the clock
LIVENESS_STEPS = 24  # steps of STEP s within which an effect must happen once nothing fails


class NoJitter:
    """A random source with which `LeaderElector` adds no jitter."""

    def random(self) -> float:
        """Always 0."""
        return 0.0


NO_JITTER = NoJitter()
read_record = functools.cache(decode)  # valid, because a record depends on its bytes alone


@dataclass(frozen=True)
class Bounds:
    """How often each kind of event may happen in one trace."""

    incarnations: int = 2  # processes at a time
    stops: int = 1
    kills: int = 1
    lost_calls: int = 1
    store_losses: int = 1
    time_steps: int = 7
    effects: int = 4
    delayed_calls: int = 1  # other events may happen between a call at the store and its answer
    delayed_reads: int = 1  # other events may happen between a read and the use of its result
    split_effects: int = 2  # other events may happen between an effect's check and its record


BOUNDED_EVENTS = tuple(bound.name for bound in fields(Bounds) if bound.name != "incarnations")


@dataclass
class World:
    """A state of the model.

    An event is a name and the index of a process, -1 for "time" and "forget":

    - "time": the clock advances by STEP; "forget": the store loses the lease;
    - "do": the store serves a call; "answer": the process receives the answer; "call": both at
      once; "lose": the call or its answer is lost;
    - "read": the lease is read; "hear": the process receives the result; "look": both at once;
    - "begin": an effect passes its checks; "put": its record is written; "effect": both at once;
    - "kill": the process is replaced by a new incarnation; "stop" and "cont": it is suspended and
      continued.
    """

    bounds: Bounds
    now: float = 0.0
    lease: Lease | None = None
    log: list[bytes] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    started: int = 0  # incarnations so far, for their names and nonces
    remaining: dict[str, int] = field(default_factory=dict)
    store_lost_data: bool = False
    violated_rule: str = ""

    def __post_init__(self) -> None:
        if not self.remaining:
            self.remaining = {name: getattr(self.bounds, name) for name in BOUNDED_EVENTS}
            self.incarnations = [self._start_incarnation() for _ in range(self.bounds.incarnations)]

    def _start_incarnation(self) -> Incarnation:
        self.started += 1
        me = IncarnationId(f"p{self.started}", f"n{self.started}")
        elector = LeaderElector("w", me.nonce, TIMING, NO_JITTER)
        elector.set_candidate(True, 0)
        return Incarnation(elector, me, FencedLog("w", _ignore_entry))

    def clock(self, index: int) -> float:
        """The monotonic clock of a process, in s."""
        return self.now * RATES[index]

    # --- possible events ---
    def events(self) -> Iterator[tuple[str, int]]:
        """All events that are possible in this state and within the bounds."""
        remaining = self.remaining
        if remaining["time_steps"]:
            yield "time", -1
        if remaining["store_losses"] and self.lease is not None:
            yield "forget", -1
        for index, incarnation in enumerate(self.incarnations):
            if (
                incarnation.call is not None
                and incarnation.answer is None
                and (remaining["delayed_calls"] or incarnation.stopped)
            ):
                yield "do", index
            if remaining["kills"]:
                yield "kill", index
            if incarnation.stopped:
                yield "cont", index
            else:
                yield from self._events_of(index, incarnation)

    def _events_of(self, index: int, incarnation: Incarnation) -> Iterator[tuple[str, int]]:
        """The possible events of a process that is not stopped, except "kill"."""
        remaining = self.remaining
        if incarnation.answer is not None:
            yield "answer", index
        elif incarnation.call is not None:
            yield "call", index
        if incarnation.call is not None and remaining["lost_calls"]:
            yield "lose", index
        if incarnation.reading is not None:
            yield "hear", index
        else:
            yield "look", index
            if remaining["delayed_reads"]:
                yield "read", index
        if incarnation.put is not None:
            yield "put", index
        elif remaining["effects"] and self._may_begin_effect(index):
            yield "effect", index
            if remaining["split_effects"]:
                yield "begin", index
        if remaining["stops"] and (
            incarnation.put is not None or incarnation.elector.state == "owner"
        ):
            yield "stop", index

    def _may_begin_effect(self, index: int) -> bool:
        return self.incarnations[index].elector.valid_fence(self.clock(index)) > 0

    def step(self, event: str, index: int) -> None:
        """Apply an event to this state and check the rules."""
        if event == "time":
            self.remaining["time_steps"] -= 1
            self.now += STEP
            for each in range(len(self.incarnations)):
                if not self.incarnations[each].stopped:
                    self._process_actions(
                        each, self.incarnations[each].elector.tick(self.clock(each))
                    )
        elif event == "forget":
            self.remaining["store_losses"] -= 1
            self.lease, self.store_lost_data = None, True
        else:
            getattr(self, f"_{event}")(index, self.incarnations[index])
        self._check_rules()

    def _look(self, index: int, incarnation: Incarnation) -> None:
        self._read(index, incarnation, 0)
        self._hear(index, incarnation)

    def _call(self, index: int, incarnation: Incarnation) -> None:
        self._do(index, incarnation, 0)
        self._answer(index, incarnation)

    def _effect(self, index: int, incarnation: Incarnation) -> None:
        self._begin(index, incarnation, 0)
        if incarnation.put is not None:
            self._put(index, incarnation)

    def _read(self, index: int, incarnation: Incarnation, cost: int = 1) -> None:
        self.remaining["delayed_reads"] -= cost
        holder = self.lease.nonce if self.lease is not None else ""
        runs = not holder or any(each.me.nonce == holder for each in self.incarnations)
        incarnation.reading = Reading(self.clock(index), self.lease, runs)

    def _hear(self, index: int, incarnation: Incarnation) -> None:
        assert incarnation.reading is not None
        (requested_at, lease, alive), incarnation.reading = incarnation.reading, None
        self._process_actions(
            index, incarnation.elector.observe(self.clock(index), requested_at, lease, alive)
        )
        self._process_actions(index, incarnation.elector.tick(self.clock(index)))

    def _do(self, index: int, incarnation: Incarnation, cost: int = 1) -> None:
        """The store applies the call and makes its answer."""
        self.remaining["delayed_calls"] = max(0, self.remaining["delayed_calls"] - cost)
        match incarnation.call:
            case Acquire(_, _, floor, expected):
                made = leases.acquired("w", self.lease, expected, floor, incarnation.me, 0.0)
            case Renew(_, _, fence):
                made = leases.renewed(self.lease, fence, incarnation.me)
            case Release(_, _, fence):
                made = leases.released(self.lease, fence, incarnation.me)
        if made is not None:
            self.lease = made
        incarnation.answer = StoreAnswer(made is not None, self.lease)

    def _answer(self, index: int, incarnation: Incarnation) -> None:
        assert incarnation.answer is not None
        (accepted, lease), call = incarnation.answer, incarnation.call
        incarnation.answer = incarnation.call = None
        now, elector = self.clock(index), incarnation.elector
        match call:
            case Acquire(_, number) if accepted:
                assert lease is not None
                actions = elector.granted(now, number, lease.fence)
            case Acquire(_, number):
                actions = elector.denied(now, number, lease)
            case Renew(_, number) if accepted:
                actions = elector.renewed(now, number)
            case Release(_, number) if accepted:
                actions = elector.released(now, number)
            case Renew(_, number) | Release(_, number):
                actions = elector.lost(now, number, lease)
        self._process_actions(index, actions)
        self._process_actions(index, elector.tick(now))

    def _lose(self, index: int, incarnation: Incarnation) -> None:
        """The call or its answer is lost; the process treats the call as failed."""
        self.remaining["lost_calls"] -= 1
        assert incarnation.call is not None
        call, incarnation.call, incarnation.answer = incarnation.call, None, None
        self._process_actions(index, incarnation.elector.failed(self.clock(index), call.number))

    def _kill(self, index: int, incarnation: Incarnation) -> None:
        self.remaining["kills"] -= 1
        self.incarnations[index] = self._start_incarnation()

    def _stop(self, index: int, incarnation: Incarnation) -> None:
        self.remaining["stops"] -= 1
        incarnation.stopped = True

    def _cont(self, index: int, incarnation: Incarnation) -> None:
        """Continue a stopped process: first the write that it was about to do, then its timers."""
        incarnation.stopped = False
        if incarnation.put is not None:
            self._put(index, incarnation)
        self._process_actions(index, incarnation.elector.tick(self.clock(index)))

    def _begin(self, index: int, incarnation: Incarnation, cost: int = 1) -> None:
        """Begin an effect: do all its checks, up to the moment before its record is put."""
        self.remaining["effects"] -= 1
        self.remaining["split_effects"] -= cost
        elector, log = incarnation.elector, incarnation.log
        fence = elector.valid_fence(self.clock(index))
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
                self._process_actions(index, elector.fenced(self.clock(index), end.value.floor))
                self._process_actions(index, elector.tick(self.clock(index)))

    def _put(self, index: int, incarnation: Incarnation) -> None:
        assert incarnation.put is not None
        put, incarnation.put = incarnation.put, None
        if put.position == len(self.log):
            self.log.append(put.data)
            incarnation.log.apply(put.data)
            record = read_record(put.data, "w")
            assert record is not None
            if record.kind == "claim":
                incarnation.claimed = record.fence
        if incarnation.elector.state != "owner":
            incarnation.elector.work_stopped()

    def _process_actions(self, index: int, actions: Any) -> None:
        incarnation = self.incarnations[index]
        for action in actions:
            match action:
                case TermBegan():
                    pass
                case TermEnded():
                    if incarnation.put is None:
                        incarnation.elector.work_stopped()
                case _:
                    incarnation.call, incarnation.answer = action, None

    # --- the rules ---
    def _check_rules(self) -> None:
        """Check the rules "order", "late" and "alone" of `state_space`."""
        high, nonce, claimed = 0, "", (0, "")
        for data in self.log:
            record = read_record(data, "w")
            assert record is not None
            if record.fence < high or (record.fence == high and record.nonce != nonce):
                self.violated_rule = "order"
            if record.kind == "claim":
                claimed = record.fence, record.nonce
            elif claimed != (record.fence, record.nonce):
                self.violated_rule = "late"
            high, nonce = max((high, nonce), (record.fence, record.nonce), key=lambda pair: pair[0])
        if (
            not self.store_lost_data
            and sum(map(self._may_begin_effect, range(len(self.incarnations)))) > 1
        ):
            self.violated_rule = "alone"

    def makes_progress(self) -> bool:
        """Whether an entry is put within LIVENESS_STEPS time steps once nothing fails any more."""
        before = len(self.log)
        self.remaining["effects"] = 1000
        for incarnation in self.incarnations:
            incarnation.stopped = False
        for _ in range(LIVENESS_STEPS):
            for index, incarnation in enumerate(self.incarnations):
                for event in ("answer", "call", "hear", "look", "call"):
                    if (event, index) in list(self.events()):
                        self.step(event, index)
                for _ in range(2):  # the claim and the entry after it
                    if incarnation.put is not None:
                        self._put(index, incarnation)
                    if incarnation.put is None and self._may_begin_effect(index):
                        self._begin(index, incarnation)
            if any(
                record is not None and record.kind == "entry"
                for record in (read_record(data, "w") for data in self.log[before:])
            ):
                return True
            self.remaining["time_steps"] = 1
            self.step("time", -1)
        return False

    # --- states ---
    def copy(self, index: int = -1) -> World:
        """A copy to which an event of process `index` can be applied; -1: any event.

        The other incarnations are shared with the original, since such an event leaves them alone.
        """
        made = World.__new__(World)
        made.__dict__.update(self.__dict__)
        made.log, made.remaining = self.log[:], self.remaining.copy()
        made.incarnations = [
            incarnation if index >= 0 and index != each else incarnation.copy()
            for each, incarnation in enumerate(self.incarnations)
        ]
        return made

    def copy_for(self, event: tuple[Any, ...]) -> World:
        """A copy to which this event can be applied without changing the original."""
        return self.copy(event[1])

    def liveness_violation(self) -> str:
        """ "goes on" if no effect happens once nothing fails any more, else ""."""
        return "" if self.copy().makes_progress() else "goes on"

    def key(self) -> Any:
        """A hashable value of everything that later steps depend on."""
        end, first = (
            len(self.log),
            min(incarnation.log.next_position for incarnation in self.incarnations),
        )
        beat = 0 if self.lease is None else self.lease.beat
        return (
            lease_key(self.lease, beat),
            tuple(self.log[first:]),
            tuple(self.remaining.values()),
            self.store_lost_data,
            tuple(
                incarnation.key(self.clock(index), end, beat)
                for index, incarnation in enumerate(self.incarnations)
            ),
        )


def _ignore_entry(position: int, record: Any) -> None:
    pass
