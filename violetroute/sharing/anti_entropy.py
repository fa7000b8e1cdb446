"""Anti-entropy: two members compare their lists by digests and exchange what differs.  Pure.

Rumors tell of changes while they are new.  Who missed them, or has just started, learns the rest
here, as in Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987).

    asker -> peer   Compare         the digest of my whole list
    peer -> asker   Digests         the digest of mine; where it differs, those of its buckets
    asker -> peer   BucketRequest   the hashes that I hold of one bucket that differs
    peer -> asker   BucketMembers   the members that you lack, the hashes that I lack (push-pull)
    asker -> peer   BucketMembers   the members of these hashes

An answer names its query by number.  Who answers keeps no state.  An answer that is lost is
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

from .byte_pacer import BytePacer
from .digest import (
    bucket_count,
    differing,
    is_bucket_count,
    pack_short,
    unpack_short,
)
from .member_list import MemberList
from .outgoing import Send
from .rumors import entry_of, rumor_of
from .wire import (
    MAX_HELD_BYTES,
    SHORT_BYTES,
    BucketMembers,
    BucketRequest,
    Compare,
    Digests,
    Item,
    MemberEntry,
    PageRequest,
    Rumor,
    encode_item,
)

COMPARE_INTERVAL_S = 10.0  # s between two comparisons, on average
COMPARE_SOON_S = 1.0  # s, after an exchange that brought something new
MAX_COMPARE_INTERVAL_S = 80.0  # s, after several that brought nothing
ANSWER_TIMEOUT_S = 1.0  # s until a query counts as not answered
BACKOFF_S, MAX_BACKOFF_S = 0.25, 2.0  # s without questions after one that was not answered
WINDOW = 4  # questions for buckets that are open
MAX_ATTEMPTS = 4  # for one bucket in one exchange
SENT_BYTES_S = 2048.0  # of questions and answers; the rest of the allowance is others'
REQUESTED_BYTES_S = 4096.0  # of answers: a newcomer to 2,600 asks for about 150 KB
BURST_S = 2.0  # s of these rates that may go at once
DATAGRAM_BYTES = 160  # beside its items, with the headers of UDP and IP
OVERHEAD_SHARE = 0.15  # of its bytes that an item adds to that, for what needs further datagrams
ITEM_BYTES = 480  # of members in one item: two fit in a datagram, one also with the longest names
ANSWER_BYTES = 2000  # of one answer; what is beyond is asked for again
MAX_COARSENESS = 8  # buckets of ours that one of another's may be: work is bounded by that
FAR_BEHIND = 2  # who knows fewer than one in so many of another's members is a newcomer
LEGACY_AFTER = 3  # comparisons in a row without an answer: these may be older builds
PAGE_S = 10.0  # s at most between two walks through the pages of an older build
PAGE_MEMBERS_BASE = 50  # members; for more the walks are rarer


@dataclass(slots=True)
class Comparison:
    """A comparison that is not answered yet."""

    peer: str  # "": whoever is at a seed's address
    number: int
    until: float


@dataclass(slots=True)
class BucketQuery:
    """One bucket that is asked for."""

    index: int
    attempts: int = 0
    until: float = math.inf


@dataclass(slots=True)
class Exchange:
    """What differed from one peer's list, and is asked for bucket by bucket."""

    peer: str
    any_peer: bool  # whether others are asked too: all know more than a newcomer
    buckets: int
    waiting: list[BucketQuery]
    open: dict[int, BucketQuery] = field(default_factory=dict)  # by number
    found_differences: bool = False


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
        self._own_rumor, self._apply_rumor, self._random = own, take, random
        self.compare_at = now + COMPARE_INTERVAL_S * random.random()
        self._interval = COMPARE_INTERVAL_S
        self._number = random.getrandbits(30)
        self._comparison: Comparison | None = None
        self._exchange: Exchange | None = None
        self._unanswered = 0  # comparisons in a row
        self._page_at = -math.inf  # before it no older build's query is sent
        self._backoff, self._backoff_until = BACKOFF_S, -math.inf
        self._sent_pacer = BytePacer(SENT_BYTES_S, BURST_S, now)
        self._last_sent_to: tuple[float, str] | None = (
            None  # when and to whom the last datagram went
        )
        self._requested_pacer = BytePacer(REQUESTED_BYTES_S, BURST_S, now)

    # --- time ---
    def tick(self, now: float) -> list[Send]:
        """What is to be asked by now."""
        self._expire(now)
        if self._exchange is not None:
            return self._request_buckets(now)
        if self._comparison is None and now >= self.compare_at and self._members.up.names():
            return [self._begin_comparison(now)]
        return []

    def greeting(self, now: float) -> tuple[Item, ...]:
        """A comparison for whoever is at a seed's address, unless another one is open."""
        busy = self._comparison is not None or self._exchange is not None
        return () if busy else (self._compare(now, ""),)

    def _begin_comparison(self, now: float) -> Send:
        peer = self._random.choice(self._members.up.names())
        return Send(peer, "", (self._compare(now, peer), *self._legacy_page_request(now)))

    def _legacy_page_request(self, now: float) -> tuple[Item, ...]:
        """The query of an older build, where members seem to be of it."""
        if self._unanswered < LEGACY_AFTER or now < self._page_at:
            return ()
        names = self._members.up.names()
        self._page_at = (
            now + PAGE_S * (1.0 + len(names) / PAGE_MEMBERS_BASE) * self._random.random()
        )
        after = self._random.randrange(len(names) + 1)
        return (PageRequest(names[after] if after < len(names) else ""),)

    def _compare(self, now: float, peer: str) -> Compare:
        self._comparison = Comparison(peer, self._next_number(), now + ANSWER_TIMEOUT_S)
        compare = Compare(self._comparison.number, self._digests.count, self._digests.whole)
        self._charge(now, peer, (compare,))
        return compare

    def _expire(self, now: float) -> None:
        check = self._comparison
        if check is not None and now >= check.until:
            self._comparison = None
            if check.peer:
                self._comparison_timed_out(now)
        exchange = self._exchange
        if exchange is None:
            return
        for number in [n for n, query in exchange.open.items() if now >= query.until]:
            query = exchange.open.pop(number)
            self._backoff_until = now + self._backoff * self._jitter()
            self._backoff = min(MAX_BACKOFF_S, 2.0 * self._backoff)
            if query.attempts < MAX_ATTEMPTS:
                exchange.waiting.append(query)

    def _comparison_timed_out(self, now: float) -> None:
        self._unanswered += 1
        wait = COMPARE_SOON_S if self._unanswered <= LEGACY_AFTER else COMPARE_INTERVAL_S
        self.compare_at = now + wait * self._jitter()

    def _request_buckets(self, now: float) -> list[Send]:
        exchange, out = self._exchange, list[Send]()
        if exchange is None:
            return []
        while exchange.waiting and len(exchange.open) < WINDOW and self._may_request(now):
            query = exchange.waiting.pop(0)
            out.append(self._request_bucket(now, exchange, query))
        if not exchange.waiting and not exchange.open:
            self._end_exchange(now, exchange)
        return out

    def _may_request(self, now: float) -> bool:
        paused = now < self._backoff_until or not self._members.up.names()
        return not paused and self._requested_pacer.allows(now) and self._sent_pacer.allows(now)

    def _request_bucket(self, now: float, exchange: Exchange, query: BucketQuery) -> Send:
        number, peer = self._next_number(), exchange.peer
        if query.attempts or exchange.any_peer or not peer:
            peer = self._random.choice(self._members.up.names())
        query.attempts += 1
        query.until = now + ANSWER_TIMEOUT_S
        exchange.open[number] = query
        held = self._digests.members(exchange.buckets, query.index)
        hashes = pack_short(held)[:MAX_HELD_BYTES]
        items = (BucketRequest(number, exchange.buckets, query.index, hashes),)
        self._charge(now, peer, items)
        return Send(peer, "", items)

    def _end_exchange(self, now: float, exchange: Exchange) -> None:
        self._exchange = None
        if exchange.found_differences:
            self._interval = COMPARE_INTERVAL_S
            self.compare_at = now + COMPARE_SOON_S * self._jitter()
        else:
            self._back_off_comparison(now)

    def _back_off_comparison(self, now: float) -> None:
        self.compare_at = now + self._interval * self._jitter()
        self._interval = min(MAX_COMPARE_INTERVAL_S, 2.0 * self._interval)

    def _charge(self, now: float, to: str, items: tuple[Item, ...]) -> None:
        """Count what is sent; what goes to one member at one time shares a datagram."""
        shares, self._last_sent_to = self._last_sent_to == (now, to), (now, to)
        self._sent_pacer.spend(now, _size(items) + (0.0 if shares else DATAGRAM_BYTES))

    def _jitter(self) -> float:
        return 0.5 + self._random.random()

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    # --- what comes ---
    def receive(self, now: float, name: str, place: str, item: Item) -> list[Send]:
        """An item of anti-entropy.  Answers go to the name, or to the place of a stranger."""
        match item:
            case Compare():
                return [Send(name, place, (self._digests_for(now, name or place, item),))]
            case Digests():
                return self._handle_digests(now, name, item)
            case BucketRequest():
                answer = self._missing_members(now, name or place, item)
                return [Send(name, place, answer)] if answer else []
            case BucketMembers():
                return self._handle_members(now, name, place, item)
        return []

    def _digests_for(self, now: float, to: str, compare: Compare) -> Digests:
        """Without those of buckets where nothing differs, or no bytes are left for now."""
        digests = b""
        if compare.whole != self._digests.whole and self._sent_pacer.allows(now):
            larger = max(compare.count, self._digests.count)
            digests = self._digests.of_buckets(bucket_count(larger))
        answer = Digests(compare.number, self._digests.count, self._digests.whole, digests)
        self._charge(now, to, (answer,))
        return answer

    def _handle_digests(self, now: float, name: str, item: Digests) -> list[Send]:
        check = self._comparison
        if check is None or check.number != item.number:
            return []
        self._comparison, self._unanswered = None, 0
        if item.whole == self._digests.whole:
            self._interval = COMPARE_INTERVAL_S
            self.compare_at = now + COMPARE_INTERVAL_S * self._jitter()
            return []
        buckets = len(unpack_short(item.digests))
        if item.count * FAR_BEHIND < self._digests.count or not self._is_usable_bucket_count(
            buckets
        ):
            # A newcomer asks for itself; one without bytes left is not asked further.
            self.compare_at = now + COMPARE_SOON_S * self._jitter()
            return []
        indexes = differing(
            self._digests.of_buckets(buckets), item.digests[: SHORT_BYTES * buckets]
        )
        self._random.shuffle(indexes)
        behind = self._digests.count * FAR_BEHIND < item.count
        waiting = [BucketQuery(index) for index in indexes]
        self._exchange = Exchange(name, behind, buckets, waiting)
        return self._request_buckets(now)

    def _is_usable_bucket_count(self, buckets: int) -> bool:
        """Whether it makes sense to divide our list into so many buckets."""
        fine_enough = buckets * MAX_COARSENESS >= bucket_count(self._digests.count)
        return is_bucket_count(buckets) and fine_enough

    def _missing_members(self, now: float, to: str, item: BucketRequest) -> tuple[Item, ...]:
        """The members of a bucket that the asker does not hold, and the hashes that we don't."""
        if not self._is_usable_bucket_count(item.buckets) or item.index >= item.buckets:
            return ()
        if not self._sent_pacer.allows(now):
            return ()
        here = self._digests.members(item.buckets, item.index)
        there = unpack_short(item.held)
        held = set(there)
        wanted = pack_short(each for each in there if each not in here)
        names = [name for value, name in here.items() if value not in held]
        answer = self._items(names, item.number, item.buckets, item.index, wanted)
        self._charge(now, to, answer)
        return answer

    def _items(
        self, names: list[str], number: int, buckets: int, index: int, wanted: bytes = b""
    ) -> tuple[Item, ...]:
        """Items that carry these members, as many as ANSWER_BYTES hold; one at least."""
        parts: list[list[MemberEntry]] = [[]]
        free, total = ITEM_BYTES - len(wanted), 0
        for name in names:
            entry = self._entry(name)
            size = len(encode_item(entry))
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
        return entry_of(self._own_rumor() if member is None else member)

    def _merge(self, entry: MemberEntry, now: float) -> Rumor | None:
        """Take another's word that a member is up; the answer to it if that is known to be over."""
        known = self._members.members.get(entry.name)
        if known is not None and known.has_ended(entry):
            return known.correction(self._own_rumor().name)
        self._apply_rumor(rumor_of(entry), now)
        return None

    def _handle_members(self, now: float, name: str, place: str, item: BucketMembers) -> list[Send]:
        before = self._digests.whole
        over = [rumor for entry in item.members if (rumor := self._merge(entry, now))]
        self._requested_pacer.spend(now, DATAGRAM_BYTES / WINDOW + _size((item,)))
        out = [Send(name, place, tuple(over))] if over else []
        exchange = self._exchange
        if exchange is None:
            return out
        exchange.found_differences |= self._digests.whole != before
        query = exchange.open.get(item.number)
        if query is None or (item.buckets, item.index) != (exchange.buckets, query.index):
            return out
        del exchange.open[item.number]
        self._backoff = BACKOFF_S
        return out + self._push(now, name, place, item) + self._request_buckets(now)

    def _push(self, now: float, name: str, place: str, item: BucketMembers) -> list[Send]:
        """The members that the other side said it lacks."""
        here = self._digests.members(item.buckets, item.index) if item.wanted else {}
        names = [here[value] for value in unpack_short(item.wanted) if value in here]
        if not names or not self._sent_pacer.allows(now):
            return []
        items = self._items(names, 0, item.buckets, item.index)
        self._charge(now, name or place, items)
        return [Send(name, place, items)]


def _size(items: tuple[Item, ...]) -> float:
    """Bytes that these items take, with what they need of further datagrams."""
    return (1.0 + OVERHEAD_SHARE) * sum(len(encode_item(item)) for item in items)
