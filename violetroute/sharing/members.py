"""Membership by gossip: SWIM with suspicion, and Lifeguard's local health.  Pure.

Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2018).

Each period, one member is probed with a ping.  The order is shuffled anew after each round over all
members, so each member is probed within two rounds.  A member that sends no ack is probed through
helpers (indirect probe).  If that fails too, it is suspected, and declared dead unless it refutes
the suspicion in time.  This time shrinks with each further member that suspects it.  Rumors of
changes travel in datagrams that are sent anyway, so one member's traffic does not grow with the
fleet.

Local health: a member whose probes fail, or that has to refute a suspicion, is likely slow or
partitioned itself.  It probes less often and gives suspects more time.

A name belongs to one process.  `life` is a random ID of that process.  `incarnation` starts as the
wall clock in ms at the start and rises with each refutation, so a restarted process is above its
predecessor without storing anything.  If the clock was set back, it receives a rumor that it is
dead and raises its incarnation above that one.  If two processes have one name, the one with the
lower incarnation steps down (`duplicate`): it no longer announces itself, and resumes when the
other one is dead.  An ack of one process does not show that another one with its name is alive.

Bounds: members, members that suspect one, queued rumors, relayed probes, datagrams sent a period.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

from .anti_entropy import AntiEntropy
from .member_list import MemberList
from .outgoing import Send
from .probe import POSTPONE_SHARE, Probe, is_late, suspicion_time
from .relays import Relay, Relays
from .rumors import MAX_CONFIRMATIONS, Member, Rumors, overrides
from .wire import ANTI_ENTROPY, Ack, Item, Nack, PageEnd, PageRequest, Ping, PingRequest, Rumor

MAX_MEMBERS = 4096
HELPERS = 3  # members that send an indirect probe
DIRECT_SHARE = 0.35  # share of a period until the indirect probe starts
RELAY_SHARE = 0.8  # share of the rest of the period after which a helper sends a nack
MAX_HEALTH = 6  # upper bound of the local health score; 0 is healthy
PAGE_MEMBERS = 12  # members in the answer to one `PageRequest`
RECONNECT_S = 3.0  # interval of pings of a dead member or of a seed
FORGET_S = 60.0  # time until a dead member is forgotten, after several attempts to reconnect


class Members:
    """One process's view of the membership.  `now`: s of its monotonic clock, in every call."""

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
        self.health = 0  # local health score; 0 is healthy
        self.duplicate: Member | None = None  # a process with the own name and a higher incarnation
        self._order: list[str] = []
        self._probe: Probe | None = None
        self._probe_at = now + period * random.random()
        self._reconnect_at = now + min(period, 0.2) * random.random()
        self._number = random.getrandbits(30)
        self._rumors = Rumors()
        self._relays = Relays()
        take = partial(self._take, send_on=False)  # other members find it by anti-entropy
        self._anti_entropy = AntiEntropy(self._list, self._listed_self, take, random, now)
        self._ticked_at = now
        self._postponed = False  # whether this tick postponed the end of a probe or a suspicion
        self.leaving = False
        self._list.digests.update(self._listed_self())

    # --- view ---
    def up(self) -> list[str]:
        """Names of the other members that are alive or suspected."""
        return self._up.names()

    def is_up(self, name: str, life: str) -> bool:
        """Whether this process is listed under this name as alive or suspected."""
        member = self.members.get(name)
        return member is not None and member.up and member.life == life

    @property
    def size(self) -> int:
        """Members that are alive or suspected, including this one."""
        return 1 + self._up.count

    def lookup(self, name: str) -> tuple[str, str, str]:
        """Life, address and zone of a member; each "" if it is not known."""
        member = self.members.get(name)
        return ("", "", "") if member is None else (member.life, member.place, member.zone)

    def own_rumor(self) -> Rumor:
        """The rumor that announces this process: alive, or left while it shuts down."""
        state = "l" if self.leaving else "a"
        return Rumor(self.name, self.life, self.incarnation, state, self._place, self._zone)

    # --- probes and suspicions ---
    def tick(self, now: float) -> list[Send]:
        """Messages to send now.  Must be called each TICK_S, else the tick counts as late."""
        late = is_late(now - self._ticked_at, self._period)
        self._ticked_at, self._postponed = now, False
        # A nack means that this helper is healthy and received no ack; a late one proves neither.
        over = self._relays.overdue(now)
        out = [Send(relay.requester, "", (Nack(relay.number),)) for relay in over if not late]
        probe = self._probe
        if probe is not None:
            if probe.helpers_at <= now < probe.end:
                probe.helpers_at = math.inf
                out += self._request_helpers(probe)
            elif now >= probe.end and not (late and self._postpone(probe, now)):
                self._probe_failed(probe, now)
        if self._probe is None and now >= self._probe_at:
            out += self._begin_probe(now)
        self._check_suspects(now, late)
        if self._postponed:
            self._adjust_health(1)
        if now >= self._reconnect_at:
            self._reconnect_at = now + RECONNECT_S * (0.75 + 0.5 * self._random.random())
            out += self._reconnect(now)
        return out + self._anti_entropy.tick(now)

    def _postpone(self, overdue: Probe | Member, now: float) -> bool:
        """Postpone the timeout once, so that unread datagrams are read; False if done before."""
        if not math.isinf(overdue.not_before):
            return False
        overdue.not_before = now + POSTPONE_SHARE * self._period
        self._postponed = True
        return True

    def _begin_probe(self, now: float) -> list[Send]:
        period = self._period * (1 + self.health)
        self._probe_at = now + period
        if self.duplicate is not None:  # others probe the duplicate; answers report its state
            names = self.up()
            self._number += 1
            return [Send(self._random.choice(names), "", (Ping(self._number),))] if names else []
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
        # The own rumor makes this member known again to one that has forgotten it.
        return [Send(member.name, "", (Ping(self._number), self.own_rumor(), *self._buddy(member)))]

    def _buddy(self, member: Member) -> tuple[Item, ...]:
        """Lifeguard's buddy system: the ping tells a suspect that it is suspected."""
        return (member.rumor(self.name),) if member.state != "a" else ()

    def _request_helpers(self, probe: Probe) -> list[Send]:
        names = self.up()
        picked = self._random.sample(names, min(HELPERS + 1, len(names)))  # may include the target
        helpers = [name for name in picked if name != probe.target][:HELPERS]
        probe.helpers = len(helpers)
        return [
            Send(probe.target, "", (Ping(probe.number),)),
            *(Send(name, "", (PingRequest(probe.number, probe.target),)) for name in helpers),
        ]

    def _probe_failed(self, probe: Probe, now: float) -> None:
        self._probe = None
        # A helper without a nack is evidence of bad local health; one with a nack is not.
        self._adjust_health(1 if probe.helpers == 0 else probe.helpers - probe.nacks)
        member = self.members.get(probe.target)
        if member is not None and member.up and member.life == probe.life:
            self._take(member.rumor_in_state("s", self.name), now)

    def _adjust_health(self, by: int) -> None:
        self.health = max(0, min(MAX_HEALTH, self.health + by))

    def _check_suspects(self, now: float, late: bool) -> None:
        if not self._not_alive and self.duplicate is None:
            return
        self._declare_dead(now, late)
        for name in self._not_alive.expired(now, FORGET_S):
            self._changed(name, "", self._list.forget(name).state)

    def _declare_dead(self, now: float, late: bool) -> None:
        size, health = self.size, self.health  # values before the members declared dead change them
        times = [
            suspicion_time(size, self._period, n, health) for n in range(MAX_CONFIRMATIONS + 1)
        ]
        for name in self._not_alive.overdue(now, times):
            suspect = self.members[name]
            if self._is_dead(suspect, now, late):
                self._take(suspect.rumor_in_state("d", self.name), now)
        other = self.duplicate
        if other is not None and now - other.since >= times[0] and self._is_dead(other, now, late):
            self._resume(other.incarnation)

    def _is_dead(self, suspect: Member, now: float, late: bool) -> bool:
        """Whether a suspect whose time is over is dead; a late tick postpones the decision."""
        return now >= suspect.not_before and not (late and self._postpone(suspect, now))

    def _reconnect(self, now: float) -> list[Send]:
        """Ping a dead member, which may be back, and a seed, which may know other members."""
        out = []
        if dead := self._not_alive.dead:
            member = self.members[self._random.choice(dead)[1]]
            self._number += 1
            out.append(Send(member.name, "", (Ping(self._number), member.rumor(self.name))))
        if unknown := self._seeds.unknown():
            self._number += 1
            items = (Ping(self._number), self.own_rumor(), *self._anti_entropy.greeting(now))
            out.append(Send("", self._random.choice(unknown), items))
        return out

    # --- incoming items ---
    def receive(
        self, now: float, name: str, life: str, incarnation: int, item: Item, place: str = ""
    ) -> list[Send]:
        """Handle an item of a member.  `place`: its origin, for answers to unknown senders."""
        if name == self.name:
            return self._from_duplicate(now, life, incarnation, place)
        member = self.members.get(name)
        is_listed = member is not None and member.life == life
        if member is not None and is_listed:
            member.last_contact_at = now
        # A process that is not the listed one of its name is answered at its origin.
        to, address = (name, "") if is_listed else ("", place)
        match item:
            case Ping(number):
                answer: list[Item] = [Ack(number)]
                if member is not None and not (is_listed and member.up):
                    answer.append(member.rumor(self.name))
                return [Send(to, address, (*answer, self.own_rumor()))]
            case Ack(number):
                return self._handle_ack(number, name, life)
            case Nack(number):
                if self._probe is not None and self._probe.number == number:
                    self._probe.nacks = min(self._probe.helpers, self._probe.nacks + 1)
            case PingRequest(number, target):
                known = self.members.get(target)
                if known is None or self._relays.full:
                    return [Send(to, address, (Nack(number),))]
                self._number += 1
                until = now + self._period * (1.0 - DIRECT_SHARE) * RELAY_SHARE
                self._relays.add(self._number, Relay(name, number, until, known.life))
                return [Send(target, "", (Ping(self._number),))]
            case Rumor():
                return self._take(item, now)
            case PageRequest(after):
                return [Send(to, address, self._member_page(name, after))]
            case PageEnd(last) if last:
                return [Send(to, address, (PageRequest(last),))]
            case _ if isinstance(item, ANTI_ENTROPY):
                return self._anti_entropy.receive(now, to, address, item)
        return []

    def _handle_ack(self, number: int, name: str, life: str) -> list[Send]:
        relay = self._relays.answered(number, life)
        if relay is not None:
            return [Send(relay.requester, "", (Ack(relay.number),))]
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
        # Two more: the requester is left out, and one more shows that others follow.
        following = [member for member in self._up.after(after, PAGE_MEMBERS + 2) if member != name]
        page = following[:PAGE_MEMBERS]
        rumors = [self.members[member].rumor() for member in page]
        return (self.own_rumor(), *rumors, PageEnd(page[-1] if len(following) > len(page) else ""))

    def _from_duplicate(self, now: float, life: str, incarnation: int, place: str) -> list[Send]:
        """Handle a process with the own name: the higher incarnation keeps the name."""
        if life == self.life:
            return []
        if incarnation > self.incarnation:
            self._step_down(Member(self.name, life, incarnation, "a", place, "", now))
            return []
        return [Send("", place, (self.own_rumor(),))] if place and self.duplicate is None else []

    def _step_down(self, duplicate: Member) -> None:
        before = self.duplicate
        if before is None or duplicate.incarnation >= before.incarnation:
            self.duplicate = duplicate
            self._list.digests.update(self._listed_self())
            if before is None:
                self._rumors.drop(self.name)
                self._changed(self.name, "duplicate", "a")

    def _resume(self, above: int) -> None:
        self.duplicate, self.incarnation = None, max(self.incarnation, above) + 1
        self._changed(self.name, "a", "duplicate")
        self._announce_self()

    # --- rumors ---
    def _take(self, rumor: Rumor, now: float, send_on: bool = True) -> list[Send]:
        if rumor.name == self.name:
            self._handle_rumor_about_self(rumor, now)
            return []
        known = self.members.get(rumor.name)
        if known is None:
            if rumor.state in ("d", "l") or len(self.members) >= MAX_MEMBERS:
                return []  # the death or leave of an unknown member changes nothing
            known = self.add_member(rumor, now)
            self._changed(rumor.name, "a", "")
            if rumor.state == "a":
                if send_on:
                    self._rumors.add(known.rumor())
                return []
        if known.same_suspicion(rumor):
            if known.confirm(rumor.by):
                self._not_alive.update(known)
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
        """Add an unknown member as alive and to the probe order, without sending the rumor on."""
        known = self._list.add(rumor, now)
        self._order.insert(int(self._random.random() * (len(self._order) + 1)), rumor.name)
        return known

    def _listed_self(self) -> Rumor:
        """The process that holds this name: this one, or its duplicate."""
        return self.own_rumor() if self.duplicate is None else self.duplicate.rumor()

    def _announce_self(self) -> None:
        """Announce a new incarnation of this process."""
        self._list.digests.update(self._listed_self())
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
        """Rumors to piggyback on the next datagram."""
        return self._rumors.next(self.size)

    def leave(self) -> list[Send]:
        """Announce the shutdown to a few members, which pass it on."""
        self.leaving = True
        self._list.digests.update(self._listed_self())
        names = self.up()
        return [
            Send(name, "", (self.own_rumor(),))
            for name in self._random.sample(names, min(2 * HELPERS, len(names)))
        ]
