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
stands aside (`duplicate`),
says nothing of itself any more, and comes back when the other is dead.  What
a process of another life answers is no life sign of the one that is listed.

Bounds: members, suspectors of each, rumors that wait, relayed asks; datagrams sent a period.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

from .anti_entropy import AntiEntropy
from .member_list import MemberList
from .outgoing import Outgoing
from .probe import POSTPONE_SHARE, Probe, is_late, suspicion_time
from .relays import Relay, Relays
from .rumors import MAX_CONFIRMATIONS, Member, Rumors, overrides
from .wire import (
    ANTI_ENTROPY,
    Ack,
    Item,
    Nack,
    PageEnd,
    PageRequest,
    Ping,
    PingRequest,
    Rumor,
)

MAX_MEMBERS = 4096
HELPERS = 3  # that are asked to ask
DIRECT_SHARE = 0.35  # of a period until helpers are asked
RELAY_SHARE = 0.8  # of the rest until a helper says that it heard nothing either
MAX_HEALTH = 6  # how slow one's own bad health makes one
PAGE_MEMBERS = 12  # members of one page
RECONNECT_S = 3.0  # s between two asks of who is thought dead, or of a seed
FORGET_S = 60.0  # s after which the dead are forgotten: they have been asked again by then


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
        self._random, self._changed = random, changed
        self._list = MemberList(seeds, place)
        self.members = self._list.members
        self._up, self._not_alive = self._list.up, self._list.not_alive
        self._seeds = self._list.seeds
        self.health = 0  # 0 is well
        self.duplicate: Member | None = None  # another life of our name, above us
        self._order: list[str] = []
        self._probe: Probe | None = None
        self._probe_at = now + period * random.random()
        self._reconnect_at = now + min(period, 0.2) * random.random()
        self._number = random.getrandbits(30)
        self._rumors = Rumors()
        self._relays = Relays()
        take = partial(self._take, send_on=False)  # who lacks it finds that by comparing
        self._anti_entropy = AntiEntropy(self._list, self._listed_self, take, random, now)
        self._ticked_at = now
        self._postponed = False  # by the last tick, an end of a probe or of a suspicion
        self.leaving = False
        self._list.digests.file(self._listed_self())

    # --- what is known ---
    def up(self) -> list[str]:
        """Names of those that are there, without this one."""
        return self._up.names()

    def is_up(self, name: str, life: str) -> bool:
        member = self.members.get(name)
        return member is not None and member.up and member.life == life

    @property
    def size(self) -> int:
        """Of the fleet as it is believed, this one with it."""
        return 1 + self._up.count

    def lookup(self, name: str) -> tuple[str, str, str]:
        """Life, place and zone; "" each of one that is not known."""
        member = self.members.get(name)
        return ("", "", "") if member is None else (member.life, member.place, member.zone)

    def own_rumor(self) -> Rumor:
        state = "l" if self.leaving else "a"
        return Rumor(self.name, self.life, self.incarnation, state, self._place, self._zone)

    # --- time ---
    def tick(self, now: float) -> list[Outgoing]:
        """What is to be sent by now.  Called each TICK_S, or the ticks count as late."""
        late = is_late(now - self._ticked_at, self._period)
        self._ticked_at, self._postponed = now, False
        # A process that is late itself cannot say that it is well and heard nothing.
        over = self._relays.overdue(now)
        out = [Outgoing(relay.requester, "", (Nack(relay.number),)) for relay in over if not late]
        probe = self._probe
        if probe is not None:
            if probe.helpers_at <= now < probe.end:
                probe.helpers_at = math.inf
                out += self._request_helpers(probe)
            elif now >= probe.end and not (late and self._postpone(probe, now)):
                self._probe_failed(probe, now)
        if self._probe is None and now >= self._probe_at:
            out += self._begin_probe(now)
        self._expire_suspects(now, late)
        if self._postponed:
            self._adjust_health(1)
        if now >= self._reconnect_at:
            self._reconnect_at = now + RECONNECT_S * (0.75 + 0.5 * self._random.random())
            out += self._reconnect(now)
        return out + self._anti_entropy.tick(now)

    def _postpone(self, judged: Probe | Member, now: float) -> bool:
        """Let what lies unread in the socket be read first; False if that was done before."""
        if not math.isinf(judged.not_before):
            return False
        judged.not_before = now + POSTPONE_SHARE * self._period
        self._postponed = True
        return True

    def _begin_probe(self, now: float) -> list[Outgoing]:
        period = self._period * (1 + self.health)
        self._probe_at = now + period
        if self.duplicate is not None:  # nobody asks it any more: it hears of the other by asking
            names = self.up()
            self._number += 1
            return (
                [Outgoing(self._random.choice(names), "", (Ping(self._number),))] if names else []
            )
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
        self._probe = Probe(
            member.name, member.life, self._number, now + period * DIRECT_SHARE, now + period
        )
        # With its own word: who was thought dead and forgotten is a stranger that asks.
        return [
            Outgoing(
                member.name,
                "",
                (Ping(self._number), self.own_rumor(), *self._notify_suspect(member)),
            )
        ]

    def _notify_suspect(self, member: Member) -> tuple[Item, ...]:
        """Who is suspected hears so first of all, and can deny it."""
        return (member.rumor(self.name),) if member.state != "a" else ()

    def _request_helpers(self, probe: Probe) -> list[Outgoing]:
        names = self.up()
        sampled = self._random.sample(
            names, min(HELPERS + 1, len(names))
        )  # the target too, perhaps
        helpers = [name for name in sampled if name != probe.target][:HELPERS]
        probe.helpers = len(helpers)
        return [
            Outgoing(probe.target, "", (Ping(probe.number),)),
            *(Outgoing(name, "", (PingRequest(probe.number, probe.target),)) for name in helpers),
        ]

    def _probe_failed(self, probe: Probe, now: float) -> None:
        self._probe = None
        # Helpers that are silent too speak of our own health, those that answer do not.
        self._adjust_health(1 if probe.helpers == 0 else probe.helpers - probe.nacks)
        member = self.members.get(probe.target)
        if member is not None and member.up and member.life == probe.life:
            self._take(member.rumor_in_state("s", self.name), now)

    def _adjust_health(self, by: int) -> None:
        self.health = max(0, min(MAX_HEALTH, self.health + by))

    def _expire_suspects(self, now: float, late: bool) -> None:
        if not self._not_alive and self.duplicate is None:
            return
        self._declare_dead(now, late)
        for name in self._not_alive.expired(now, FORGET_S):
            self._changed(name, "", self._list.forget(name).state)

    def _declare_dead(self, now: float, late: bool) -> None:
        size, health = self.size, self.health  # those that a tick takes for dead change them
        times = [
            suspicion_time(size, self._period, n, health) for n in range(MAX_CONFIRMATIONS + 1)
        ]
        for name in self._not_alive.overdue(now, times):
            suspect = self.members[name]
            if self._suspicion_ended(suspect, now, late):
                self._take(suspect.rumor_in_state("d", self.name), now)
        duplicate = self.duplicate
        if (
            duplicate is not None
            and now - duplicate.since >= times[0]
            and self._suspicion_ended(duplicate, now, late)
        ):
            self._resume(duplicate.incarnation)

    def _suspicion_ended(self, suspect: Member, now: float, late: bool) -> bool:
        """Whether one whose time is over had that time indeed."""
        return now >= suspect.not_before and not (late and self._postpone(suspect, now))

    def _reconnect(self, now: float) -> list[Outgoing]:
        """Those thought dead may be back, and seeds may know a part that we do not."""
        out = []
        if dead := self._not_alive.dead:
            member = self.members[self._random.choice(dead)[1]]
            self._number += 1
            out.append(Outgoing(member.name, "", (Ping(self._number), member.rumor(self.name))))
        if unknown := self._seeds.unknown():
            self._number += 1
            items = (Ping(self._number), self.own_rumor(), *self._anti_entropy.greeting(now))
            out.append(Outgoing("", self._random.choice(unknown), items))
        return out

    # --- what comes ---
    def receive(
        self, now: float, name: str, life: str, incarnation: int, item: Item, place: str = ""
    ) -> list[Outgoing]:
        """An item of one of ours.  `place`: where it came from, for answers to strangers."""
        if name == self.name:
            return self._handle_duplicate(now, life, incarnation, place)
        member = self.members.get(name)
        ours = member is not None and member.life == life
        if member is not None and ours:
            member.last_contact_at = now
        # One that is not, or not any more, who is listed under its name is answered where it is.
        back, at = (name, "") if ours else ("", place)
        match item:
            case Ping(number):
                answer: list[Item] = [Ack(number)]
                if member is not None and not (ours and member.up):
                    answer.append(member.rumor(self.name))
                return [Outgoing(back, at, (*answer, self.own_rumor()))]
            case Ack(number):
                return self._handle_ack(number, name, life)
            case Nack(number):
                if self._probe is not None and self._probe.number == number:
                    self._probe.nacks = min(self._probe.helpers, self._probe.nacks + 1)
            case PingRequest(number, target):
                known = self.members.get(target)
                if known is None or self._relays.full:
                    return [Outgoing(back, at, (Nack(number),))]
                self._number += 1
                until = now + self._period * (1.0 - DIRECT_SHARE) * RELAY_SHARE
                self._relays.add(self._number, Relay(name, number, until, known.life))
                return [Outgoing(target, "", (Ping(self._number),))]
            case Rumor():
                return self._take(item, now)
            case PageRequest(after):
                return [Outgoing(back, at, self._member_page(name, after))]
            case PageEnd(last) if last:
                return [Outgoing(back, at, (PageRequest(last),))]
            case _ if isinstance(item, ANTI_ENTROPY):
                return self._anti_entropy.receive(now, back, at, item)
        return []

    def _handle_ack(self, number: int, name: str, life: str) -> list[Outgoing]:
        relay = self._relays.answered(number, life)
        if relay is not None:
            return [Outgoing(relay.requester, "", (Ack(relay.number),))]
        probe = self._probe
        if (
            probe is not None
            and probe.number == number
            and (name != probe.target or life == probe.life)
        ):
            self._probe = None
            self._adjust_health(-1)
        return []

    def _member_page(self, name: str, after: str) -> tuple[Item, ...]:
        # Two more: who asks is left out, and whether others follow has to be known.
        there = [member for member in self._up.after(after, PAGE_MEMBERS + 2) if member != name]
        here = there[:PAGE_MEMBERS]
        rumors = [self.members[member].rumor() for member in here]
        return (self.own_rumor(), *rumors, PageEnd(here[-1] if len(there) > len(here) else ""))

    def _handle_duplicate(
        self, now: float, life: str, incarnation: int, place: str
    ) -> list[Outgoing]:
        """A process of our own name: the higher one is the name's."""
        if life == self.life:
            return []
        if incarnation > self.incarnation:
            self._step_down(Member(self.name, life, incarnation, "a", place, "", now))
            return []
        return (
            [Outgoing("", place, (self.own_rumor(),))] if place and self.duplicate is None else []
        )

    def _step_down(self, duplicate: Member) -> None:
        before = self.duplicate
        if before is None or duplicate.incarnation >= before.incarnation:
            self.duplicate = duplicate
            self._list.digests.file(self._listed_self())
            if before is None:
                self._rumors.drop(self.name)
                self._changed(self.name, "duplicate", "a")

    def _resume(self, above: int) -> None:
        self.duplicate, self.incarnation = None, max(self.incarnation, above) + 1
        self._changed(self.name, "a", "duplicate")
        self._announce_self()

    # --- rumors ---
    def _take(self, rumor: Rumor, now: float, send_on: bool = True) -> list[Outgoing]:
        if rumor.name == self.name:
            self._handle_rumor_about_self(rumor, now)
            return []
        known = self.members.get(rumor.name)
        if known is None:
            if rumor.state in ("d", "l") or len(self.members) >= MAX_MEMBERS:
                return []  # of whom nothing is known nothing need be forgotten
            known = self.add_member(rumor, now)
            self._changed(rumor.name, "a", "")
            if rumor.state == "a":
                if send_on:
                    self._rumors.add(known.rumor())
                return []
        if known.same_suspicion(rumor):
            if known.confirm(rumor.by):
                self._not_alive.file(known)
                self._rumors.add(rumor)
            return []
        if not overrides(rumor, known.state, known.life, known.incarnation):
            return []
        was, life = known.state, known.life
        self._list.take(known, rumor, now)
        if was != known.state or life != known.life:
            self._changed(rumor.name, known.state if life == known.life else "a", was)
        if send_on:
            self._rumors.add(rumor)
        return []

    def add_member(self, rumor: Rumor, now: float) -> Member:
        """Take one that is not known yet for alive, without sending it on."""
        known = self._list.add(rumor, now)
        self._order.insert(int(self._random.random() * (len(self._order) + 1)), rumor.name)
        return known

    def _listed_self(self) -> Rumor:
        """The process that others are to list under this name."""
        return self.own_rumor() if self.duplicate is None else self.duplicate.rumor()

    def _announce_self(self) -> None:
        """This process has another incarnation."""
        self._list.digests.file(self._listed_self())
        self._rumors.add(self.own_rumor())

    def _handle_rumor_about_self(self, rumor: Rumor, now: float) -> None:
        if rumor.life != self.life:
            if rumor.state in ("a", "s"):
                if rumor.incarnation > self.incarnation:
                    self._step_down(
                        Member(self.name, rumor.life, rumor.incarnation, "a", rumor.place, "", now)
                    )
            elif self.duplicate is not None and rumor.life == self.duplicate.life:
                self._resume(rumor.incarnation)
            elif self.duplicate is None and rumor.incarnation >= self.incarnation:
                self.incarnation = rumor.incarnation + 1
                self._announce_self()
        elif rumor.state != "a" and not self.leaving and rumor.incarnation >= self.incarnation:
            self.incarnation = rumor.incarnation + 1
            self._adjust_health(1)
            self._announce_self()

    def rumors(self) -> list[Rumor]:
        """What goes with the next datagram."""
        return self._rumors.next(self.size)

    def leave(self) -> list[Outgoing]:
        """The process ends: some are told, who tell the others."""
        self.leaving = True
        self._list.digests.file(self._listed_self())
        names = self.up()
        return [
            Outgoing(name, "", (self.own_rumor(),))
            for name in self._random.sample(names, min(2 * HELPERS, len(names)))
        ]
