"""Who is there: membership by gossip, after SWIM with suspicion, and Lifeguard's own health.  Pure.

Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2018).

Each period one member is asked, in an order that is shuffled anew each round, so that each is asked
within two rounds.  Who does not answer is asked through others; who does not answer them either is
suspected, and is dead when nobody has heard it deny that for a time that shrinks with the number of
those who suspect it too.  What changed is told with whatever is sent anyway, so a member's share of
the traffic does not grow with the fleet.

One's own health: whose asking fails, or who has to deny that it is dead, asks more slowly and waits
longer, for then it is likely itself that is slow or cut off.

A name is one process's.  Its life is a nonce, its incarnation the wall clock's milliseconds of its
start, raised whenever it denies something: so a life that comes back is above the one before, with
or without a disk; where the clock was set back it hears that it is dead, and goes above that.  Two
that run under one name hear of each other as of a higher incarnation of another life: the lower one
stands aside (`twin`), says nothing of itself any more, and comes back when the other is dead.  What
a process of another life answers is no life sign of the one that is listed.

Bounds: members, suspectors of each, rumors that wait, relayed asks; datagrams sent a period.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from .rumors import Member, Rumors, overrides
from .wire import Ack, Item, Nack, Need, Page, Paged, Ping, Rumor

MEMBERS_MOST = 4096
HELPERS = 3  # that are asked to ask
DIRECT_SHARE = 0.35  # of a period until helpers are asked
RELAY_SHARE = 0.8  # of the rest until a helper says that it heard nothing either
RELAYS_MOST = 256
SUSPICION = 4.0  # periods times the fleet's size's logarithm, when many suspect
SUSPICION_ALONE = 3.0  # times that, when one does alone
CONFIRMED = 3  # others whose suspicion makes it as short as it gets
HEALTH_MOST = 6  # how slow one's own bad health makes one
PAGE = 12  # members of one page
AGAIN_S = 3.0  # s between two asks of who is thought dead, or of a seed
PAGE_S = 10.0  # s at most between two walks through the pages without a cause
PAGE_FEW = 50  # members; for more the walks are rarer
FORGET_S = 60.0  # s after which the dead are forgotten: they have been asked again by then


@dataclass(frozen=True, slots=True)
class Out:
    """To be sent: to a member by name, or to a place of which the name is not known yet."""

    to: str
    place: str
    items: tuple[Item, ...]


@dataclass(slots=True)
class _Probe:
    target: str
    life: str
    number: int
    helped_at: float
    until: float
    nacks: int = 0
    helpers: int = 0


class Members:
    """One life's view.  `now`: s of its clock, in every call."""

    def __init__(
        self,
        name: str,
        life: str,
        incarnation: int,
        place: str,
        zone: str,
        period: float,
        seeds: Iterable[str],
        random: Random,
        now: float,
        changed: Callable[[str, str, str], None] = lambda name, state, was: None,
    ) -> None:
        self.name, self.life, self.incarnation = name, life, incarnation
        self._place, self._zone, self._period = place, zone, period
        self._seeds = [seed for seed in seeds if seed != place]
        self._random, self._changed = random, changed
        self.members: dict[str, Member] = {}
        self._up: list[str] | None = None  # names of those that are there, once asked for
        self._doubted: dict[str, None] = {}  # of those that are not plainly alive
        self.health = 0  # 0 is well
        self.twin: Member | None = None  # another life of our name, above us
        self._order: list[str] = []
        self._probe: _Probe | None = None
        self._probe_at = now + period * random.random()
        self._again_at = now + min(period, 0.2) * random.random()
        self._page_at = now + PAGE_S * random.random()
        self._number = random.getrandbits(30)
        self._rumors = Rumors()
        self._relays: dict[int, tuple[str, int, float, str]] = {}  # ours: whose, number, until
        self.leaving = False

    # --- what is known ---
    def up(self) -> list[str]:
        """Names of those that are there, without this one."""
        if self._up is None:
            self._up = [member.name for member in self.members.values() if member.up]
        return self._up

    def is_up(self, name: str, life: str) -> bool:
        member = self.members.get(name)
        return member is not None and member.up and member.life == life

    @property
    def size(self) -> int:
        """Of the fleet as it is believed, this one with it."""
        return 1 + len(self.up())

    def of(self, name: str) -> tuple[str, str, str]:
        """Life, place and zone; "" each of one that is not known."""
        member = self.members.get(name)
        return ("", "", "") if member is None else (member.life, member.place, member.zone)

    def own(self) -> Rumor:
        return Rumor(
            self.name,
            self.life,
            self.incarnation,
            "l" if self.leaving else "a",
            self._place,
            self._zone,
        )

    # --- time ---
    def tick(self, now: float) -> list[Out]:
        """What is to be sent by now."""
        out: list[Out] = []
        for number, (whose, theirs, until, _) in list(self._relays.items()):
            if now >= until:
                del self._relays[number]
                out.append(Out(whose, "", (Nack(theirs),)))
        probe = self._probe
        if probe is not None:
            if probe.helped_at <= now < probe.until:
                probe.helped_at = math.inf
                out += self._help(probe)
            elif now >= probe.until:
                self._failed(probe, now)
        if self._probe is None and now >= self._probe_at:
            out += self._begin(now)
        self._suspicions(now)
        if now >= self._again_at:
            self._again_at = now + AGAIN_S * (0.75 + 0.5 * self._random.random())
            out += self._again()
        if now >= self._page_at:
            # A larger fleet's pages are more: asked for as much more rarely.
            self._page_at = now + PAGE_S * (1.0 + self.size / PAGE_FEW) * self._random.random()
            names = self.up()
            if names:
                after = self._random.choice(["", *names])
                out.append(Out(self._random.choice(names), "", (Page(after),)))
        return out

    @property
    def next_at(self) -> float:
        """When `tick` may have something to do."""
        due = [
            self._probe_at
            if self._probe is None
            else min(self._probe.helped_at, self._probe.until),
            self._again_at,
            self._page_at,
        ]
        due += [until for _, _, until, _ in self._relays.values()]
        return min(due)

    def _begin(self, now: float) -> list[Out]:
        period = self._period * (1 + self.health)
        self._probe_at = now + period
        if self.twin is not None:  # nobody asks it any more: it hears of the other by asking
            names = self.up()
            self._number += 1
            return [Out(self._random.choice(names), "", (Ping(self._number),))] if names else []
        while self._order:
            member = self.members.get(self._order.pop())
            if member is not None and member.up:
                break
        else:
            self._order = list(self.up())
            self._random.shuffle(self._order)
            if not self._order:
                return []
            member = self.members[self._order.pop()]
        self._number += 1
        self._probe = _Probe(
            member.name, member.life, self._number, now + period * DIRECT_SHARE, now + period
        )
        # With its own word: who was thought dead and forgotten is a stranger that asks.
        return [Out(member.name, "", (Ping(self._number), self.own(), *self._buddy(member)))]

    def _buddy(self, member: Member) -> tuple[Item, ...]:
        """Who is suspected hears so first of all, and can deny it."""
        return (member.rumor(self.name),) if member.state != "a" else ()

    def _help(self, probe: _Probe) -> list[Out]:
        others = [name for name in self.up() if name != probe.target]
        helpers = self._random.sample(others, min(HELPERS, len(others)))
        probe.helpers = len(helpers)
        return [
            Out(probe.target, "", (Ping(probe.number),)),
            *(Out(name, "", (Need(probe.number, probe.target),)) for name in helpers),
        ]

    def _failed(self, probe: _Probe, now: float) -> None:
        self._probe = None
        # Helpers that are silent too speak of our own health, those that answer do not.
        self._unwell(1 if probe.helpers == 0 else probe.helpers - probe.nacks)
        member = self.members.get(probe.target)
        if member is not None and member.up and member.life == probe.life:
            self._take(
                Rumor(
                    member.name,
                    member.life,
                    member.incarnation,
                    "s",
                    member.place,
                    member.zone,
                    self.name,
                ),
                now,
            )

    def _unwell(self, by: int) -> None:
        self.health = max(0, min(HEALTH_MOST, self.health + by))

    def suspicion(self, confirmed: int) -> float:
        """Seconds that a suspect has to deny it, so many others suspecting it too."""
        least = SUSPICION * max(1.0, math.log10(max(1, self.size))) * self._period
        most = SUSPICION_ALONE * least
        share = math.log(confirmed + 1) / math.log(CONFIRMED + 1)
        return max(least, most - (most - least) * share) * (1 + self.health / 2.0)

    def _suspicions(self, now: float) -> None:
        for member in [self.members[name] for name in self._doubted]:
            if member.state == "s" and now - member.since >= self.suspicion(
                len(member.suspected_by) - 1
            ):
                self._take(
                    Rumor(
                        member.name,
                        member.life,
                        member.incarnation,
                        "d",
                        member.place,
                        member.zone,
                        self.name,
                    ),
                    now,
                )
            elif not member.up and now - member.since >= FORGET_S:
                del self.members[member.name], self._doubted[member.name]
                self._changed(member.name, "", member.state)
        if self.twin is not None and now - self.twin.since >= self.suspicion(0):
            self._alone_again(self.twin.incarnation)

    def _again(self) -> list[Out]:
        """Those thought dead may be back, and seeds may know a part that we do not."""
        dead = [member for name in self._doubted if (member := self.members[name]).state == "d"]
        out = []
        if dead:
            member = self._random.choice(dead)
            self._number += 1
            out.append(Out(member.name, "", (Ping(self._number), member.rumor(self.name))))
        known = {member.place for member in self.members.values() if member.up}
        unknown = [seed for seed in self._seeds if seed not in known]
        if unknown:
            self._number += 1
            out.append(
                Out("", self._random.choice(unknown), (Ping(self._number), self.own(), Page()))
            )
        return out

    # --- what comes ---
    def heard(
        self, now: float, name: str, life: str, incarnation: int, item: Item, place: str = ""
    ) -> list[Out]:
        """An item of one of ours.  `place`: where it came from, for answers to strangers."""
        if name == self.name:
            return self._namesake(now, life, incarnation, place)
        member = self.members.get(name)
        ours = member is not None and member.life == life
        if member is not None and ours:
            member.heard_at = now
        # One that is not, or not any more, who is listed under its name is answered where it is.
        back, at = (name, "") if ours else ("", place)
        match item:
            case Ping(number):
                answer: list[Item] = [Ack(number)]
                if member is not None and not (ours and member.up):
                    answer.append(member.rumor(self.name))
                return [Out(back, at, (*answer, self.own()))]
            case Ack(number):
                return self._acked(number, name, life)
            case Nack(number):
                if self._probe is not None and self._probe.number == number:
                    self._probe.nacks = min(self._probe.helpers, self._probe.nacks + 1)
            case Need(number, target):
                known = self.members.get(target)
                if known is None or len(self._relays) >= RELAYS_MOST:
                    return [Out(back, at, (Nack(number),))]
                self._number += 1
                until = now + self._period * (1.0 - DIRECT_SHARE) * RELAY_SHARE
                self._relays[self._number] = name, number, until, known.life
                return [Out(target, "", (Ping(self._number),))]
            case Rumor():
                return self._take(item, now)
            case Page(after):
                return [Out(back, at, self._page(name, after))]
            case Paged(last) if last:
                return [Out(back, at, (Page(last),))]
            case _:
                pass
        return []

    def _acked(self, number: int, name: str, life: str) -> list[Out]:
        relay = self._relays.get(number)
        if relay is not None and relay[3] == life:
            del self._relays[number]
            return [Out(relay[0], "", (Ack(relay[1]),))]
        probe = self._probe
        if (
            probe is not None
            and probe.number == number
            and (name != probe.target or life == probe.life)
        ):
            self._probe = None
            self._unwell(-1)
        return []

    def _page(self, name: str, after: str) -> tuple[Item, ...]:
        names = sorted(
            known
            for known, member in self.members.items()
            if known > after and member.up and known != name
        )
        here = names[:PAGE]
        items: list[Item] = [self.members[known].rumor() for known in here]
        last = here[-1] if len(names) > len(here) else ""
        return (self.own(), *items, Paged(last))

    def _namesake(self, now: float, life: str, incarnation: int, place: str) -> list[Out]:
        """A process of our own name: the higher one is the name's."""
        if life == self.life:
            return []
        if incarnation > self.incarnation:
            self._stand_aside(Member(self.name, life, incarnation, "a", place, "", now))
            return []
        return [Out("", place, (self.own(),))] if place and self.twin is None else []

    def _stand_aside(self, twin: Member) -> None:
        before = self.twin
        if before is None or twin.incarnation >= before.incarnation:
            self.twin = twin
            if before is None:
                self._rumors.drop(self.name)
                self._changed(self.name, "twin", "a")

    def _alone_again(self, above: int) -> None:
        self.twin, self.incarnation = None, max(self.incarnation, above) + 1
        self._changed(self.name, "a", "twin")
        self._rumors.add(self.own())

    # --- rumors ---
    def _take(self, rumor: Rumor, now: float) -> list[Out]:
        if rumor.name == self.name:
            self._of_me(rumor, now)
            return []
        known = self.members.get(rumor.name)
        if known is None:
            if rumor.state in ("d", "l") or len(self.members) >= MEMBERS_MOST:
                return []  # of whom nothing is known nothing need be forgotten
            known = self.know(rumor, now)
            self._changed(rumor.name, "a", "")
            if rumor.state == "a":
                self._rumors.add(known.rumor())
                return []
        if (
            rumor.state == "s"
            and known.state == "s"
            and rumor.incarnation == known.incarnation
            and rumor.life == known.life
        ):
            if (
                rumor.by
                and rumor.by not in known.suspected_by
                and len(known.suspected_by) <= CONFIRMED
            ):
                known.suspected_by |= {rumor.by}
                self._rumors.add(rumor)
            return []
        if not overrides(rumor, known.state, known.life, known.incarnation):
            return []
        was, life = known.state, known.life
        known.life, known.incarnation = rumor.life, rumor.incarnation
        known.state, known.since = rumor.state, now  # type: ignore[assignment]
        if rumor.state == "a":
            known.place, known.zone = rumor.place or known.place, rumor.zone or known.zone
        known.suspected_by = frozenset((rumor.by,) if rumor.state == "s" else ())
        self._up = None
        if rumor.state == "a":
            self._doubted.pop(rumor.name, None)
        else:
            self._doubted[rumor.name] = None
        if was != known.state or life != known.life:
            self._changed(rumor.name, known.state if life == known.life else "a", was)
        self._rumors.add(rumor)
        return []

    def know(self, rumor: Rumor, now: float) -> Member:
        """Take one that is not known yet for alive, without sending it on."""
        known = self.members[rumor.name] = Member(
            rumor.name, rumor.life, rumor.incarnation, "a", rumor.place, rumor.zone, now
        )
        self._order.insert(int(self._random.random() * (len(self._order) + 1)), rumor.name)
        self._up = None
        return known

    def _of_me(self, rumor: Rumor, now: float) -> None:
        if rumor.life != self.life:
            if rumor.state in ("a", "s"):
                if rumor.incarnation > self.incarnation:
                    self._stand_aside(
                        Member(self.name, rumor.life, rumor.incarnation, "a", rumor.place, "", now)
                    )
            elif self.twin is not None and rumor.life == self.twin.life:
                self._alone_again(rumor.incarnation)
            elif self.twin is None and rumor.incarnation >= self.incarnation:
                self.incarnation = rumor.incarnation + 1
                self._rumors.add(self.own())
        elif rumor.state != "a" and not self.leaving and rumor.incarnation >= self.incarnation:
            self.incarnation = rumor.incarnation + 1
            self._unwell(1)
            self._rumors.add(self.own())

    def rumors(self) -> list[Rumor]:
        """What goes with the next datagram."""
        return self._rumors.next(self.size)

    def leave(self) -> list[Out]:
        """The process ends: some are told, who tell the others."""
        self.leaving = True
        names = self.up()
        return [
            Out(name, "", (self.own(),))
            for name in self._random.sample(names, min(2 * HELPERS, len(names)))
        ]
