"""Anti-entropy: two members compare their lists by digests and exchange what differs.  Pure.

Rumors tell of changes while they are new.  Who missed them, or has just started, learns the rest
here, as in Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987).

    asker -> peer   Compare         the digest of my whole list
    peer -> asker   Digests         the digest of mine; where it differs, those of its buckets
    asker -> peer   BucketRequest   the hashes that I hold of one bucket that differs
    peer -> asker   BucketMembers   the members that you lack, the hashes that I lack (push-pull)
    asker -> peer   BucketMembers   the members of these hashes

An answer names its question by number.  Who answers keeps no state.  An answer that is lost is
asked for again, from another member, with a backoff; one that comes late or twice brings facts that
are merged by incarnation as any rumor is, and nothing follows from it.  What is still missing after
an exchange shows in the next comparison.

A member that one side knows to be over is not taken up again: the other side is told of it.  While
an exchange brings nothing new, the time until the next comparison doubles.

Bounds: one comparison and one exchange at a time, WINDOW questions of it open, BUCKETS_MOST that
wait, each asked TRIES times.  SENT_BYTES_S for all that is sent, ASKED_BYTES_S for the answers that
are asked for: a whole fleet that restarts at once exchanges SENT_BYTES_S a member.

A build before this one does not answer `Compare`.  After OLD_AFTER comparisons in a row without an
answer, a page of the list is asked for beside each next one, as that build does.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from .byte_pacer import Pace
from .digest import (
    bucket_count,
    differing,
    is_bucket_count,
    pack_short,
    unpack_short,
)
from .member_list import MemberList
from .outgoing import Out
from .rumors import entry_of, rumor_of
from .wire import (
    HELD_MOST,
    SHORT,
    BucketMembers,
    BucketRequest,
    Compare,
    Digests,
    Item,
    MemberEntry,
    Page,
    Rumor,
    packed,
)

CHECK_S = 10.0  # s between two comparisons, on average
CHECK_SOON_S = 1.0  # s, after an exchange that brought something new
CHECK_MOST_S = 80.0  # s, after several that brought nothing
ANSWER_S = 1.0  # s until a question counts as not answered
PAUSE_S, PAUSE_MOST_S = 0.25, 2.0  # s without questions after one that was not answered
WINDOW = 4  # questions for buckets that are open
TRIES = 4  # for one bucket in one exchange
SENT_BYTES_S = 2048.0  # of questions and answers; the rest of the allowance is others'
ASKED_BYTES_S = 4096.0  # of answers: a newcomer to 2,600 asks for about 150 KB
BURST_S = 2.0  # s of these rates that may go at once
DATAGRAM_BYTES = 160  # beside its items, with the headers of UDP and IP
FILLED_SHARE = 0.15  # of its bytes that an item adds to that, for what needs further datagrams
ITEM_BYTES = 480  # of members in one item: two fit in a datagram, one also with the longest names
ANSWER_BYTES = 2000  # of one answer; what is beyond is asked for again
COARSE_MOST = 8  # buckets of ours that one of another's may be: work is bounded by that
FAR_BEHIND = 2  # who knows fewer than one in so many of another's members is a newcomer
OLD_AFTER = 3  # comparisons in a row without an answer: these may be older builds
PAGE_S = 10.0  # s at most between two walks through the pages of an older build
PAGE_FEW = 50  # members; for more the walks are rarer


@dataclass(slots=True)
class Check:
    """A comparison that is not answered yet."""

    peer: str  # "": whoever is at a seed's address
    number: int
    until: float


@dataclass(slots=True)
class Question:
    """One bucket that is asked for."""

    index: int
    tries: int = 0
    until: float = math.inf


@dataclass(slots=True)
class Exchange:
    """What differed from one peer's list, and is asked for bucket by bucket."""

    peer: str
    any_peer: bool  # whether others are asked too: all know more than a newcomer
    buckets: int
    waiting: list[Question]
    open: dict[int, Question] = field(default_factory=dict)  # by number
    brought_news: bool = False


class AntiEntropy:
    """One member's part.  `now`: s, in every call."""

    def __init__(
        self,
        members: MemberList,
        own: Callable[[], Rumor],
        take: Callable[[Rumor, float], object],
        random: Random,
        now: float,
    ) -> None:
        """`own`: the process that is listed under this name; `take`: another's word of one."""
        self._members, self._digests = members, members.digests
        self._own, self._take, self._random = own, take, random
        self.check_at = now + CHECK_S * random.random()
        self._interval = CHECK_S
        self._number = random.getrandbits(30)
        self._check: Check | None = None
        self._exchange: Exchange | None = None
        self._unanswered = 0  # comparisons in a row
        self._page_at = -math.inf  # before it no older build's question is sent
        self._pause, self._paused_until = PAUSE_S, -math.inf
        self._sent = Pace(SENT_BYTES_S, BURST_S, now)
        self._paid: tuple[float, str] | None = None  # when and to whom the last datagram went
        self._asked = Pace(ASKED_BYTES_S, BURST_S, now)

    # --- time ---
    def tick(self, now: float) -> list[Out]:
        """What is to be asked by now."""
        self._expire(now)
        if self._exchange is not None:
            return self._ask(now)
        if self._check is None and now >= self.check_at and self._members.up.names():
            return [self._begin(now)]
        return []

    def greeting(self, now: float) -> tuple[Item, ...]:
        """A comparison for whoever is at a seed's address, unless another one is open."""
        busy = self._check is not None or self._exchange is not None
        return () if busy else (self._compare(now, ""),)

    def _begin(self, now: float) -> Out:
        peer = self._random.choice(self._members.up.names())
        return Out(peer, "", (self._compare(now, peer), *self._page(now)))

    def _page(self, now: float) -> tuple[Item, ...]:
        """The question of an older build, where members seem to be of it."""
        if self._unanswered < OLD_AFTER or now < self._page_at:
            return ()
        names = self._members.up.names()
        self._page_at = now + PAGE_S * (1.0 + len(names) / PAGE_FEW) * self._random.random()
        after = self._random.randrange(len(names) + 1)
        return (Page(names[after] if after < len(names) else ""),)

    def _compare(self, now: float, peer: str) -> Compare:
        self._check = Check(peer, self._next_number(), now + ANSWER_S)
        compare = Compare(self._check.number, self._digests.count, self._digests.whole)
        self._pay(now, peer, (compare,))
        return compare

    def _expire(self, now: float) -> None:
        check = self._check
        if check is not None and now >= check.until:
            self._check = None
            if check.peer:
                self._not_answered(now)
        exchange = self._exchange
        if exchange is None:
            return
        for number in [n for n, question in exchange.open.items() if now >= question.until]:
            question = exchange.open.pop(number)
            self._paused_until = now + self._pause * self._jitter()
            self._pause = min(PAUSE_MOST_S, 2.0 * self._pause)
            if question.tries < TRIES:
                exchange.waiting.append(question)

    def _not_answered(self, now: float) -> None:
        self._unanswered += 1
        wait = CHECK_SOON_S if self._unanswered <= OLD_AFTER else CHECK_S
        self.check_at = now + wait * self._jitter()

    def _ask(self, now: float) -> list[Out]:
        exchange, out = self._exchange, list[Out]()
        if exchange is None:
            return []
        while exchange.waiting and len(exchange.open) < WINDOW and self._may_ask(now):
            question = exchange.waiting.pop(0)
            out.append(self._ask_bucket(now, exchange, question))
        if not exchange.waiting and not exchange.open:
            self._ended(now, exchange)
        return out

    def _may_ask(self, now: float) -> bool:
        paused = now < self._paused_until or not self._members.up.names()
        return not paused and self._asked.allows(now) and self._sent.allows(now)

    def _ask_bucket(self, now: float, exchange: Exchange, question: Question) -> Out:
        number, peer = self._next_number(), exchange.peer
        if question.tries or exchange.any_peer or not peer:
            peer = self._random.choice(self._members.up.names())
        question.tries += 1
        question.until = now + ANSWER_S
        exchange.open[number] = question
        held = self._digests.members(exchange.buckets, question.index)
        hashes = pack_short(held)[:HELD_MOST]
        items = (BucketRequest(number, exchange.buckets, question.index, hashes),)
        self._pay(now, peer, items)
        return Out(peer, "", items)

    def _ended(self, now: float, exchange: Exchange) -> None:
        self._exchange = None
        if exchange.brought_news:
            self._interval = CHECK_S
            self.check_at = now + CHECK_SOON_S * self._jitter()
        else:
            self._nothing_new(now)

    def _nothing_new(self, now: float) -> None:
        self.check_at = now + self._interval * self._jitter()
        self._interval = min(CHECK_MOST_S, 2.0 * self._interval)

    def _pay(self, now: float, to: str, items: tuple[Item, ...]) -> None:
        """Count what is sent; what goes to one member at one time shares a datagram."""
        shares, self._paid = self._paid == (now, to), (now, to)
        self._sent.spend(now, _size(items) + (0.0 if shares else DATAGRAM_BYTES))

    def _jitter(self) -> float:
        return 0.5 + self._random.random()

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    # --- what comes ---
    def heard(self, now: float, name: str, place: str, item: Item) -> list[Out]:
        """An item of anti-entropy.  Answers go to the name, or to the place of a stranger."""
        match item:
            case Compare():
                return [Out(name, place, (self._digests_for(now, name or place, item),))]
            case Digests():
                return self._compared(now, name, item)
            case BucketRequest():
                answer = self._lacking(now, name or place, item)
                return [Out(name, place, answer)] if answer else []
            case BucketMembers():
                return self._merged(now, name, place, item)
        return []

    def _digests_for(self, now: float, to: str, compare: Compare) -> Digests:
        """Without those of buckets where nothing differs, or no bytes are left for now."""
        digests = b""
        if compare.whole != self._digests.whole and self._sent.allows(now):
            larger = max(compare.count, self._digests.count)
            digests = self._digests.of_buckets(bucket_count(larger))
        answer = Digests(compare.number, self._digests.count, self._digests.whole, digests)
        self._pay(now, to, (answer,))
        return answer

    def _compared(self, now: float, name: str, item: Digests) -> list[Out]:
        check = self._check
        if check is None or check.number != item.number:
            return []
        self._check, self._unanswered = None, 0
        if item.whole == self._digests.whole:
            self._interval = CHECK_S
            self.check_at = now + CHECK_S * self._jitter()
            return []
        buckets = len(unpack_short(item.digests))
        if item.count * FAR_BEHIND < self._digests.count or not self._divides(buckets):
            # A newcomer asks for itself; one without bytes left is not asked further.
            self.check_at = now + CHECK_SOON_S * self._jitter()
            return []
        indexes = differing(self._digests.of_buckets(buckets), item.digests[: SHORT * buckets])
        self._random.shuffle(indexes)
        behind = self._digests.count * FAR_BEHIND < item.count
        waiting = [Question(index) for index in indexes]
        self._exchange = Exchange(name, behind, buckets, waiting)
        return self._ask(now)

    def _divides(self, buckets: int) -> bool:
        """Whether it makes sense to divide our list into so many buckets."""
        fine_enough = buckets * COARSE_MOST >= bucket_count(self._digests.count)
        return is_bucket_count(buckets) and fine_enough

    def _lacking(self, now: float, to: str, item: BucketRequest) -> tuple[Item, ...]:
        """The members of a bucket that the asker does not hold, and the hashes that we don't."""
        if not self._divides(item.buckets) or item.index >= item.buckets:
            return ()
        if not self._sent.allows(now):
            return ()
        here = self._digests.members(item.buckets, item.index)
        there = unpack_short(item.held)
        held = set(there)
        wanted = pack_short(each for each in there if each not in here)
        names = [name for value, name in here.items() if value not in held]
        answer = self._items(names, item.number, item.buckets, item.index, wanted)
        self._pay(now, to, answer)
        return answer

    def _items(
        self, names: list[str], number: int, buckets: int, index: int, wanted: bytes = b""
    ) -> tuple[Item, ...]:
        """Items that carry these members, as many as ANSWER_BYTES hold; one at least."""
        parts: list[list[MemberEntry]] = [[]]
        free, total = ITEM_BYTES - len(wanted), 0
        for name in names:
            entry = self._entry(name)
            size = len(packed(entry))
            if total + size > ANSWER_BYTES:
                break
            if size > free and (parts[-1] or wanted):
                parts.append([])
                free = ITEM_BYTES
            parts[-1].append(entry)
            free, total = free - size, total + size
        first = BucketMembers(number, buckets, index, parts[0], wanted)
        return (first, *(BucketMembers(number, buckets, index, part) for part in parts[1:]))

    def _entry(self, name: str) -> MemberEntry:
        member = self._members.members.get(name)
        return entry_of(self._own() if member is None else member)

    def _merge(self, entry: MemberEntry, now: float) -> Rumor | None:
        """Take another's word that a member is up; the answer to it if that is known to be over."""
        known = self._members.members.get(entry.name)
        if known is not None and known.is_over(entry):
            return known.objection(self._own().name)
        self._take(rumor_of(entry), now)
        return None

    def _merged(self, now: float, name: str, place: str, item: BucketMembers) -> list[Out]:
        before = self._digests.whole
        over = [rumor for entry in item.members if (rumor := self._merge(entry, now))]
        self._asked.spend(now, DATAGRAM_BYTES / WINDOW + _size((item,)))
        out = [Out(name, place, tuple(over))] if over else []
        exchange = self._exchange
        if exchange is None:
            return out
        exchange.brought_news |= self._digests.whole != before
        question = exchange.open.get(item.number)
        if question is None or (item.buckets, item.index) != (exchange.buckets, question.index):
            return out
        del exchange.open[item.number]
        self._pause = PAUSE_S
        return out + self._push(now, name, place, item) + self._ask(now)

    def _push(self, now: float, name: str, place: str, item: BucketMembers) -> list[Out]:
        """The members that the other side said it lacks."""
        here = self._digests.members(item.buckets, item.index) if item.wanted else {}
        names = [here[value] for value in unpack_short(item.wanted) if value in here]
        if not names or not self._sent.allows(now):
            return []
        items = self._items(names, 0, item.buckets, item.index)
        self._pay(now, name or place, items)
        return [Out(name, place, items)]


def _size(items: tuple[Item, ...]) -> float:
    """Bytes that these items take, with what they need of further datagrams."""
    return (1.0 + FILLED_SHARE) * sum(len(packed(item)) for item in items)
