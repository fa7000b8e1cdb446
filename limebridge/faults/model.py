"""Two or three lives, a store and a place of effects, one step at a time; see `whole`."""

from __future__ import annotations

import functools
from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from typing import Any

from violetroute.fleet import lease as leases
from violetroute.fleet.lease import Lease, Me, Seal
from violetroute.fleet.log import Fenced, FencedLog, Put, Read, append, claim, decode
from violetroute.fleet.owner import Ask, Gained, Over, Owner, Release, Renew, Terms

TERMS = Terms(term_s=1.0, drift=0.05, step_s=0.0)
RATES = (0.95, 1.05, 1.0)  # of the lives' clocks
STEP = 0.5  # s of an event "time"
HEALS = 24  # steps of time within which an effect has to happen once all is well


class Even:
    """No jitter."""

    def random(self) -> float:
        return 0.0


EVEN = Even()
FIELDS = Owner.__slots__
read_record = functools.cache(decode)  # a record's bytes say all of it


@dataclass(frozen=True)
class Bounds:
    """How often each trouble happens in one story."""

    lives: int = 2
    stops: int = 1
    kills: int = 1
    lost: int = 1
    forgets: int = 1
    times: int = 7
    effects: int = 4
    slow: int = 1  # calls with something between what the store does and its answer
    stale: int = 1  # looks with something between reading and hearing
    halves: int = 2  # effects with something between their check and their record


BOUNDED = tuple(bound.name for bound in fields(Bounds) if bound.name != "lives")


@dataclass
class Life:
    owner: Owner
    me: Me
    log: FencedLog
    call: Any = None  # what was asked of the store
    answer: Any = None  # and what it has answered, on its way back
    heard: tuple[float, Lease | None, bool] | None = None  # a look on its way back
    put: Put | None = None  # checked, and not put yet
    claimed: int = 0  # the fence under which the log was claimed
    stopped: bool = False

    def copy(self) -> Life:
        made = Life.__new__(Life)
        made.__dict__.update(self.__dict__)
        made.owner = Owner.__new__(Owner)
        for name in FIELDS:
            setattr(made.owner, name, getattr(self.owner, name))
        made.log = FencedLog.__new__(FencedLog)
        made.log.__dict__.update(self.log.__dict__)
        made.log.seal = Seal(self.log.seal.fence, self.log.seal.nonce)
        return made


@dataclass
class World:
    bounds: Bounds
    now: float = 0.0
    lease: Lease | None = None
    log: list[bytes] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    began: int = 0  # lives, for their nonces
    left: dict[str, int] = field(default_factory=dict)
    forgot: bool = False
    broken: str = ""

    def __post_init__(self) -> None:
        if not self.left:
            self.left = {name: getattr(self.bounds, name) for name in BOUNDED}
            self.lives = [self._life() for _ in range(self.bounds.lives)]

    def _life(self) -> Life:
        self.began += 1
        me = Me(f"p{self.began}", f"n{self.began}")
        owner = Owner("w", me.nonce, TERMS, EVEN)
        owner.want(True, 0)
        return Life(owner, me, FencedLog("w", _ignore))

    def clock(self, place: int) -> float:
        return self.now * RATES[place]

    # --- what may happen ---
    def events(self) -> Iterator[tuple[str, int]]:
        left = self.left
        if left["times"]:
            yield "time", -1
        if left["forgets"] and self.lease is not None:
            yield "forget", -1
        for place, life in enumerate(self.lives):
            if life.call is not None and life.answer is None and (left["slow"] or life.stopped):
                yield "do", place
            if left["kills"]:
                yield "kill", place
            if life.stopped:
                yield "cont", place
                continue
            if life.answer is not None:
                yield "answer", place
            elif life.call is not None:
                yield "call", place
            if life.call is not None and left["lost"]:
                yield "lose", place
            if life.heard is not None:
                yield "hear", place
            else:
                yield "look", place
                if left["stale"]:
                    yield "read", place
            if life.put is not None:
                yield "put", place
            elif left["effects"] and self._may(place):
                yield "effect", place
                if left["halves"]:
                    yield "begin", place
            if left["stops"] and (life.put is not None or life.owner.state == "owner"):
                yield "stop", place

    def _may(self, place: int) -> bool:
        return self.lives[place].owner.may(self.clock(place)) > 0

    def step(self, what: str, place: int) -> None:
        if what == "time":
            self.left["times"] -= 1
            self.now += STEP
            for each in range(len(self.lives)):
                if not self.lives[each].stopped:
                    self._acts(each, self.lives[each].owner.tick(self.clock(each)))
        elif what == "forget":
            self.left["forgets"] -= 1
            self.lease, self.forgot = None, True
        else:
            getattr(self, f"_{what}")(place, self.lives[place])
        self._judge()

    def _look(self, place: int, life: Life) -> None:
        self._read(place, life, 0)
        self._hear(place, life)

    def _call(self, place: int, life: Life) -> None:
        self._do(place, life, 0)
        self._answer(place, life)

    def _effect(self, place: int, life: Life) -> None:
        self._begin(place, life, 0)
        if life.put is not None:
            self._put(place, life)

    def _read(self, place: int, life: Life, cost: int = 1) -> None:
        self.left["stale"] -= cost
        holder = self.lease.nonce if self.lease is not None else ""
        runs = not holder or any(each.me.nonce == holder for each in self.lives)
        life.heard = self.clock(place), self.lease, runs

    def _hear(self, place: int, life: Life) -> None:
        assert life.heard is not None
        (asked_at, lease, alive), life.heard = life.heard, None
        self._acts(place, life.owner.look(self.clock(place), asked_at, lease, alive))
        self._acts(place, life.owner.tick(self.clock(place)))

    def _do(self, place: int, life: Life, cost: int = 1) -> None:
        """The store does what was asked."""
        self.left["slow"] = max(0, self.left["slow"] - cost)
        match life.call:
            case Ask(_, _, floor, over):
                made = leases.taken("w", self.lease, over, floor, life.me, 0.0)
            case Renew(_, _, fence):
                made = leases.renewed(self.lease, fence, life.me)
            case Release(_, _, fence):
                made = leases.released(self.lease, fence, life.me)
        if made is not None:
            self.lease = made
        life.answer = made is not None, self.lease

    def _answer(self, place: int, life: Life) -> None:
        (yes, lease), call = life.answer, life.call
        life.answer = life.call = None
        now, owner = self.clock(place), life.owner
        match call:
            case Ask(_, number):
                self._acts(
                    place,
                    owner.granted(now, number, lease.fence)
                    if yes
                    else owner.denied(now, number, lease),
                )
            case Renew(_, number):
                self._acts(
                    place, owner.renewed(now, number) if yes else owner.lost(now, number, lease)
                )
            case Release(_, number):
                self._acts(
                    place, owner.released(now, number) if yes else owner.lost(now, number, lease)
                )
        self._acts(place, owner.tick(now))

    def _lose(self, place: int, life: Life) -> None:
        """The call, or its answer."""
        self.left["lost"] -= 1
        call, life.call, life.answer = life.call, None, None
        self._acts(place, life.owner.failed(self.clock(place), call.number))

    def _kill(self, place: int, life: Life) -> None:
        self.left["kills"] -= 1
        self.lives[place] = self._life()

    def _stop(self, place: int, life: Life) -> None:
        self.left["stops"] -= 1
        life.stopped = True

    def _cont(self, place: int, life: Life) -> None:
        """It goes on where it was: what stood half done is done first, then its timers."""
        life.stopped = False
        if life.put is not None:
            self._put(place, life)
        self._acts(place, life.owner.tick(self.clock(place)))

    def _begin(self, place: int, life: Life, cost: int = 1) -> None:
        """Up to the instant before its record is put: whatever was checked has been checked."""
        self.left["effects"] -= 1
        self.left["halves"] -= cost
        owner, log = life.owner, life.log
        fence = owner.may(self.clock(place))
        if life.claimed == fence:
            steps = append(log, fence, life.me.nonce, life.me.name, lambda: 1)
        else:
            steps = claim(log, fence, life.me.nonce, life.me.name)
        answer: Any = None
        try:
            while True:
                step = steps.send(answer)
                if isinstance(step, Read):
                    answer = self.log[step.position :]
                else:
                    life.put = step
                    return
        except StopIteration as end:
            if isinstance(end.value, Fenced):
                self._acts(place, owner.fenced(self.clock(place), end.value.floor))
                self._acts(place, owner.tick(self.clock(place)))

    def _put(self, place: int, life: Life) -> None:
        assert life.put is not None
        put, life.put = life.put, None
        if put.position == len(self.log):
            self.log.append(put.data)
            life.log.take(put.data)
            record = read_record(put.data, "w")
            assert record is not None
            if record.kind == "claim":
                life.claimed = record.fence
        if life.owner.state != "owner":
            life.owner.stopped()

    def _acts(self, place: int, actions: Any) -> None:
        life = self.lives[place]
        for action in actions:
            match action:
                case Gained():
                    pass
                case Over():
                    if life.put is None:
                        life.owner.stopped()
                case _:
                    life.call, life.answer = action, None

    # --- the rules ---
    def _judge(self) -> None:
        high, whose, claimed = 0, "", (0, "")
        for data in self.log:
            record = read_record(data, "w")
            assert record is not None
            if record.fence < high or (record.fence == high and record.nonce != whose):
                self.broken = "order"
            if record.kind == "claim":
                claimed = record.fence, record.nonce
            elif claimed != (record.fence, record.nonce):
                self.broken = "late"
            high, whose = max((high, whose), (record.fence, record.nonce), key=lambda of: of[0])
        if not self.forgot and sum(map(self._may, range(len(self.lives)))) > 1:
            self.broken = "alone"

    def goes_on(self) -> bool:
        """All is well from here on: whether an entry is put within HEALS steps."""
        before = len(self.log)
        self.left["effects"] = 1000
        for life in self.lives:
            life.stopped = False
        for _ in range(HEALS):
            for place, life in enumerate(self.lives):
                for what in ("answer", "call", "hear", "look", "call"):
                    if (what, place) in list(self.events()):
                        self.step(what, place)
                for _ in range(2):  # the claim, and what follows it
                    if life.put is not None:
                        self._put(place, life)
                    if life.put is None and self._may(place):
                        self._begin(place, life)
            if any(
                record is not None and record.kind == "entry"
                for record in (read_record(data, "w") for data in self.log[before:])
            ):
                return True
            self.left["times"] = 1
            self.step("time", -1)
        return False

    # --- states ---
    def copy(self, place: int = -1) -> World:
        """For a step at one place the other lives are shared; -1: for any step."""
        made = World.__new__(World)
        made.__dict__.update(self.__dict__)
        made.log, made.left = self.log[:], self.left.copy()
        made.lives = [
            life if place >= 0 and place != each else life.copy()
            for each, life in enumerate(self.lives)
        ]
        return made

    def before(self, event: tuple[Any, ...]) -> World:
        return self.copy(event[1])

    def heals(self) -> str:
        return "" if self.copy().goes_on() else "goes on"

    def key(self) -> Any:
        """All that what follows depends on."""
        end, lease = len(self.log), self.lease
        first = min(life.log.next for life in self.lives)
        beat = 0 if lease is None else lease.beat

        def record(at: Lease | None) -> Any:
            return None if at is None else (at.fence, at.nonce, at.beat - beat, at.free)

        def stands(at: Any) -> Any:
            return None if at is None else (at.fence, at.nonce, at.beat - beat)

        lives = []
        for place, life in enumerate(self.lives):
            now, owner = self.clock(place), life.owner
            call = life.call
            lives.append(
                (
                    owner.state,
                    owner.fence,
                    owner.floor,
                    owner._busy,
                    owner._stopped,
                    owner._failures,
                    stands(owner._seen),
                    owner._seen_at is None,
                    *(
                        round(max(-4.0, at - now), 6)
                        for at in (owner.until, owner._open_at, owner._ask_at, owner._renew_at)
                    ),
                    round(now - owner._asked_at, 6) if owner._busy else 0,
                    None
                    if call is None
                    else (
                        type(call).__name__,
                        call.number == owner._number,
                        stands(call.over) if isinstance(call, Ask) else call.fence,
                        getattr(call, "floor", 0),
                    ),
                    None if life.answer is None else (life.answer[0], record(life.answer[1])),
                    None
                    if life.heard is None
                    else (life.heard[0] >= owner._gained_at, record(life.heard[1]), life.heard[2]),
                    None if life.put is None else (end - life.put.position, life.put.data),
                    life.claimed,
                    life.stopped,
                    life.me.nonce,
                    end - life.log.next,
                    life.log.seal.fence,
                    life.log.seal.nonce,
                )
            )
        return (
            record(lease),
            tuple(self.log[first:]),
            tuple(self.left.values()),
            self.forgot,
            tuple(lives),
        )


def _ignore(position: int, record: Any) -> None:
    pass
