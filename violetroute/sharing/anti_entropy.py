"""Anti-entropy: two members compare their lists by digests and exchange what differs.  Pure.

Rumors spread changes while they are new.  A member that missed them, or has just started, learns
the rest here; see Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987).

    requester -> peer   Compare         the digest of the requester's whole list
    peer -> requester   Digests         the peer's digest; if it differs, those of its buckets
    requester -> peer   BucketRequest   the hashes that the requester has of one differing bucket
    peer -> requester   BucketMembers   missing members, and hashes that the peer lacks (push-pull)
    requester -> peer   BucketMembers   the members of these hashes

An answer carries the number of its request.  The peer keeps no state.  If an answer is lost, the
request is repeated to another member, with backoff.  A late or duplicate answer is harmless: its
members are merged by incarnation as rumors are.  What is still missing after an exchange shows in
the next comparison.

An entry of a member that is known to be dead or gone is not merged; the sender gets a rumor of it.
While exchanges bring nothing new, the interval between comparisons doubles.

Bounds: one comparison and one exchange at a time, WINDOW open requests in it, MAX_BUCKETS waiting,
MAX_ATTEMPTS for each.  SENT_BYTES_S for all that is sent, REQUESTED_BYTES_S for requested answers:
if a whole fleet restarts at once, each member sends SENT_BYTES_S.

Builds before this one do not answer `Compare`.  After LEGACY_AFTER unanswered comparisons in a row,
each further one also requests a page of the member list, which those builds answer.
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

COMPARE_INTERVAL_S = 10.0  # mean interval between comparisons
COMPARE_SOON_S = 1.0  # interval after an exchange that found differences
MAX_COMPARE_INTERVAL_S = 80.0  # interval after several exchanges without differences
ANSWER_TIMEOUT_S = 1.0  # timeout of a request
BACKOFF_S, MAX_BACKOFF_S = 0.25, 2.0  # pause after an unanswered request: first, longest
WINDOW = 4  # open bucket requests
MAX_ATTEMPTS = 4  # requests for one bucket in one exchange
SENT_BYTES_S = 2048.0  # bytes/s of requests and answers sent; other traffic needs the rest
REQUESTED_BYTES_S = 4096.0  # bytes/s of answers; a new member of 2,600 needs about 150 KB
BURST_S = 2.0  # seconds of these rates that may be used at once
DATAGRAM_BYTES = 160  # overhead of a datagram without items, with UDP and IP headers
OVERHEAD_SHARE = 0.15  # share added to the items' bytes for the overhead of further datagrams
ITEM_BYTES = 480  # member bytes per item: two items fit a datagram, or one with the longest names
ANSWER_BYTES = 2000  # member bytes per answer; the members left out are requested again
MAX_COARSENESS = 8  # own buckets in one bucket of a peer; bounds the work of an answer
FAR_BEHIND = 2  # a list shorter than 1/FAR_BEHIND of the peer's belongs to a new member
LEGACY_AFTER = 3  # unanswered comparisons in a row; the peers may be older builds
PAGE_S = 10.0  # longest interval between two page walks in a small fleet
PAGE_MEMBERS_BASE = 50  # members that add PAGE_S to that interval


@dataclass(slots=True)
class Comparison:
    """A comparison without an answer yet; `until`: s, its timeout."""

    peer: str  # "": unknown member at a seed's address
    number: int
    until: float


@dataclass(slots=True)
class BucketQuery:
    """One bucket to request; `until`: s, the timeout of the open request."""

    index: int
    attempts: int = 0
    until: float = math.inf


@dataclass(slots=True)
class Exchange:
    """The buckets that differ from one peer's list, and their requests."""

    peer: str
    any_peer: bool  # a new member may request from all peers: all know more than it does
    buckets: int
    waiting: list[BucketQuery]
    open: dict[int, BucketQuery] = field(default_factory=dict)  # open queries by request number
    found_differences: bool = False


class AntiEntropy:
    """Anti-entropy of one member.  `now`: s, in every call."""

    def __init__(
        self,
        members: MemberList,
        own: Callable[[], Rumor],
        take: Callable[[Rumor, float], object],
        random: Random,
        now: float,
    ) -> None:
        """`own`: the process that holds this name; `take`: applies a rumor from a peer."""
        self._members, self._digests = members, members.digests
        self._own_rumor, self._apply_rumor, self._random = own, take, random
        self.compare_at = now + COMPARE_INTERVAL_S * random.random()
        self._interval = COMPARE_INTERVAL_S
        self._number = random.getrandbits(30)
        self._comparison: Comparison | None = None
        self._exchange: Exchange | None = None
        self._unanswered = 0  # comparisons in a row without an answer
        self._page_at = -math.inf  # earliest time of the next legacy page request
        self._backoff, self._backoff_until = BACKOFF_S, -math.inf
        self._sent_pacer = BytePacer(SENT_BYTES_S, BURST_S, now)
        # Time and receiver of the last datagram.
        self._last_sent_to: tuple[float, str] | None = None
        self._requested_pacer = BytePacer(REQUESTED_BYTES_S, BURST_S, now)

    # --- requests ---
    def tick(self, now: float) -> list[Send]:
        """Expire open requests; the comparisons and bucket requests to send now."""
        self._expire(now)
        if self._exchange is not None:
            return self._request_buckets(now)
        if self._comparison is None and now >= self.compare_at and self._members.up.names():
            return [self._begin_comparison(now)]
        return []

    def greeting(self, now: float) -> tuple[Item, ...]:
        """A comparison with the unknown member at a seed's address, unless one is open."""
        busy = self._comparison is not None or self._exchange is not None
        return () if busy else (self._compare(now, ""),)

    def _begin_comparison(self, now: float) -> Send:
        peer = self._random.choice(self._members.up.names())
        return Send(peer, "", (self._compare(now, peer), *self._legacy_page_request(now)))

    def _legacy_page_request(self, now: float) -> tuple[Item, ...]:
        """The page request of older builds, if the peers seem to run one."""
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
        comparison = self._comparison
        if comparison is not None and now >= comparison.until:
            self._comparison = None
            if comparison.peer:
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
        """Charge sent bytes; items to one member at one time share a datagram."""
        shares, self._last_sent_to = self._last_sent_to == (now, to), (now, to)
        self._sent_pacer.spend(now, _size(items) + (0.0 if shares else DATAGRAM_BYTES))

    def _jitter(self) -> float:
        return 0.5 + self._random.random()

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    # --- incoming items ---
    def receive(self, now: float, name: str, place: str, item: Item) -> list[Send]:
        """Handle an item.  Answers go to the member, or to the address of an unknown sender."""
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
        """The answer to `Compare`; bucket digests only if lists differ and the rate allows."""
        digests = b""
        if compare.whole != self._digests.whole and self._sent_pacer.allows(now):
            larger = max(compare.count, self._digests.count)
            digests = self._digests.of_buckets(bucket_count(larger))
        answer = Digests(compare.number, self._digests.count, self._digests.whole, digests)
        self._charge(now, to, (answer,))
        return answer

    def _handle_digests(self, now: float, name: str, item: Digests) -> list[Send]:
        comparison = self._comparison
        if comparison is None or comparison.number != item.number:
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
            # A new member requests on its own; without digests there is nothing to request.
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
        """Whether this number is valid and not too coarse for the own list."""
        fine_enough = buckets * MAX_COARSENESS >= bucket_count(self._digests.count)
        return is_bucket_count(buckets) and fine_enough

    def _missing_members(self, now: float, to: str, item: BucketRequest) -> tuple[Item, ...]:
        """The members of a bucket that the requester lacks, and the hashes missing here."""
        if not self._is_usable_bucket_count(item.buckets) or item.index >= item.buckets:
            return ()
        if not self._sent_pacer.allows(now):
            return ()
        own = self._digests.members(item.buckets, item.index)
        theirs = unpack_short(item.held)
        held = set(theirs)
        wanted = pack_short(each for each in theirs if each not in own)
        names = [name for value, name in own.items() if value not in held]
        answer = self._items(names, item.number, item.buckets, item.index, wanted)
        self._charge(now, to, answer)
        return answer

    def _items(
        self, names: list[str], number: int, buckets: int, index: int, wanted: bytes = b""
    ) -> tuple[Item, ...]:
        """Items with these members, up to ANSWER_BYTES; at least one item."""
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
        """Merge an entry of a peer; a rumor for the peer if the member is dead or has left."""
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
        """Send the members that the peer lacks."""
        own = self._digests.members(item.buckets, item.index) if item.wanted else {}
        names = [own[value] for value in unpack_short(item.wanted) if value in own]
        if not names or not self._sent_pacer.allows(now):
            return []
        items = self._items(names, 0, item.buckets, item.index)
        self._charge(now, name or place, items)
        return [Send(name, place, items)]


def _size(items: tuple[Item, ...]) -> float:
    """Bytes of these items, with their share of datagram overhead."""
    return (1.0 + OVERHEAD_SHARE) * sum(len(encode_item(item)) for item in items)
