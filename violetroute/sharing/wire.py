"""Datagrams between proxies: format, authentication and replay protection.  Pure.

    4 bytes     "LBf" and the version of this envelope
    1 byte      ID of the key: a one-byte hash of it
    16 bytes    keyed BLAKE2b of all that follows
    the rest    MessagePack: an envelope with separately encoded items

A build that does not know a kind of item skips it and reads on.  Nothing is decoded before the MAC
is verified; the size of a datagram bounds what is decoded.

**Replays and delays.**  Each process numbers its datagrams.  A number that was received before, or
is at least 64 below the highest, is refused.  A datagram also names its receiver's process and the
highest number received from it.  So the receiver knows by its own clock that it was written after
that number was sent, which bounds its age however long the network delayed it.  In a large fleet
most datagrams are the first of their pair for long and carry no such number.  Their age is the
difference of the wall clocks; reports are ignored if it is too large.  Only reports (health, load,
heavy hitters) need an age: a late loan item is harmless by its number and the process it names.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

MAX_DATAGRAM = 1200  # bytes; below any path MTU, so not fragmented
MAGIC = b"LBf\x01"
SEAL_BYTES = 16  # length of the MAC
HEADER = len(MAGIC) + 1 + SEAL_BYTES  # bytes
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64
MAX_ITEMS = 64  # items in one datagram
MAX_SENDERS = 4096  # processes whose received numbers are remembered
WINDOW = 64  # replay window: numbers up to the highest that are still accepted
MAX_SENT_NUMBERS = 32  # own numbers per member with a known send time: those in flight

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Life = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Place = Annotated[str, msgspec.Meta(max_length=64)]  # "ADDRESS:PORT"; "": unknown
Budget = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Small = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
Hash = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
SHORT_BYTES = 4  # length of a truncated hash or digest
MAX_BUCKETS = 128  # buckets into which the member list is divided
MAX_BUCKET_DIGESTS_BYTES = MAX_BUCKETS * SHORT_BYTES  # length of all buckets' digests
MAX_HELD_BYTES = 512  # length of one bucket's member hashes
Buckets = Annotated[int, msgspec.Meta(ge=1, le=MAX_BUCKETS)]
BucketIndex = Annotated[int, msgspec.Meta(ge=0, lt=MAX_BUCKETS)]
Hashes = Annotated[bytes, msgspec.Meta(max_length=MAX_HELD_BYTES)]


class Item(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One item of a datagram.  Fields may be added at the end, with defaults."""


class Ping(Item, frozen=True, tag="p"):
    """A probe; the receiver answers with an `Ack` of the same number."""

    number: Number


class Ack(Item, frozen=True, tag="a"):
    """Answers a `Ping`, directly or through a helper."""

    number: Number


class Nack(Item, frozen=True, tag="n"):
    """A healthy helper received no ack of the target of a `PingRequest` either."""

    number: Number


class PingRequest(Item, frozen=True, tag="q"):
    """Requests an indirect probe: the receiver pings `target`."""

    number: Number
    target: Name


class Rumor(Item, frozen=True, tag="r"):
    """State of a member: "a"live, "s"uspect, "d"ead, "l"eft."""

    name: Name
    life: Life
    incarnation: Number
    state: Annotated[str, msgspec.Meta(pattern="^[asdl]$")]
    place: Place = ""
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    by: Annotated[str, msgspec.Meta(max_length=64)] = ""  # the member that suspects it


class PageRequest(Item, frozen=True, tag="g"):
    """Requests members whose names sort after this one."""

    after: Annotated[str, msgspec.Meta(max_length=64)] = ""


class PageEnd(Item, frozen=True, tag="G"):
    """Ends a page: the last name in it, or "" if no more follow."""

    last: Annotated[str, msgspec.Meta(max_length=64)] = ""


class MemberEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A member that is alive or suspected.  Fields may be added at the end, with defaults."""

    name: Name
    life: Life
    incarnation: Number
    place: Place = ""
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""


class Compare(Item, frozen=True, tag="d"):
    """The digest of the sender's member list; requests the receiver's digest."""

    number: Number
    count: Number
    whole: Hash


class Digests(Item, frozen=True, tag="D"):
    """Answers `Compare`.  `digests`: SHORT_BYTES of each bucket; empty if not needed."""

    number: Number
    count: Number
    whole: Hash
    digests: Annotated[bytes, msgspec.Meta(max_length=MAX_BUCKET_DIGESTS_BYTES)] = b""


class BucketRequest(Item, frozen=True, tag="e"):
    """Requests the members of one bucket.  `held`: hashes of those that the sender has."""

    number: Number
    buckets: Buckets
    index: BucketIndex
    held: Hashes = b""


class BucketMembers(Item, frozen=True, tag="E"):
    """Members of one bucket.  `wanted`: hashes that the receiver has and the sender lacks."""

    number: Number  # number of the `BucketRequest`; 0 in the answer to `wanted`
    buckets: Buckets
    index: BucketIndex
    members: Annotated[list[MemberEntry], msgspec.Meta(max_length=256)]
    wanted: Hashes = b""


ANTI_ENTROPY = (Compare, Digests, BucketRequest, BucketMembers)


class SpareReport(Item, frozen=True, tag="s"):
    """How much of a budget the sender can lend now, in thousandths of a request a second."""

    budget: Budget
    amount: Amount


class LoanRequest(Item, frozen=True, tag="b"):
    """Requests a loan of at most `amount`."""

    budget: Budget
    number: Number
    amount: Amount


class LoanGrant(Item, frozen=True, tag="l"):
    """Answers the `LoanRequest` of this number; `amount` 0 means no loan."""

    budget: Budget
    number: Number
    amount: Amount


class LoanReturn(Item, frozen=True, tag="k"):
    """Returns the loans of all requests up to this number."""

    budget: Budget
    number: Number


class HealthReport(Item, frozen=True, tag="w"):
    """Decayed outcomes of the sender's own requests at a node."""

    node: Number
    started: Number  # start of the node in ms, from the node list
    good: Small
    bad: Small


class LoadReport(Item, frozen=True, tag="o"):
    """Sums over the sender's own requests since its last report; `took` and `aim` in ms."""

    kept: bool
    count: Small
    bad: Small
    took: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
    aim: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
    queued: Small


class HeavyHitterReport(Item, frozen=True, tag="c"):
    """Heavy hitters of one kind: hashes of keys, counts and the maximal errors of the counts."""

    kind: Annotated[str, msgspec.Meta(max_length=16)]
    keys: list[Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]]
    counts: list[Small]
    errors: list[Small]


AnyItem = (
    Ping
    | Ack
    | Nack
    | PingRequest
    | Rumor
    | PageRequest
    | PageEnd
    | Compare
    | Digests
    | BucketRequest
    | BucketMembers
    | SpareReport
    | LoanRequest
    | LoanGrant
    | LoanReturn
    | HealthReport
    | LoadReport
    | HeavyHitterReport
)


class Envelope(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """`to`, `to_life`: the receiver; `heard`: the highest number received from it."""

    name: Name
    life: Life
    incarnation: Number
    number: Number
    to: Annotated[str, msgspec.Meta(max_length=64)]
    to_life: Annotated[str, msgspec.Meta(max_length=32)]
    heard: Number
    at: Number  # ms of the sender's wall clock
    items: Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MAX_ITEMS)]


_item, _envelope = msgspec.msgpack.Decoder(AnyItem), msgspec.msgpack.Decoder(Envelope)
_pack = msgspec.msgpack.Encoder()


def encode_item(item: Item | MemberEntry) -> bytes:
    """The item in MessagePack, with its tag."""
    return _pack.encode(item)


def raw(data: bytes) -> msgspec.Raw:
    """Wrap the result of `encode_item` for an envelope."""
    return msgspec.Raw(data)


class Keys:
    """Keys of the fleet: the first one signs, all verify.  ValueError for an invalid length."""

    def __init__(self, keys: list[bytes]) -> None:
        if not keys or any(not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES for key in keys):
            raise ValueError(f"a key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
        self._keys = {
            hashlib.blake2b(key, digest_size=1, person=b"limebridge-key").digest(): key
            for key in reversed(keys)
        }
        self._first = hashlib.blake2b(keys[0], digest_size=1, person=b"limebridge-key").digest()

    def sign(self, purpose: bytes, data: bytes, key_id: bytes = b"") -> bytes:
        """The ID of the key and a MAC of `data`, 17 bytes; by key `key_id`, else by the first.

        `purpose` (at most 16 bytes) separates domains: a MAC is valid for one purpose only.
        KeyError for an unknown key.
        """
        key_id = key_id or self._first
        return key_id + _mac(self._keys[key_id], data, purpose)

    def verify(self, purpose: bytes, data: bytes, signature: bytes) -> bool:
        """Whether `signature` is a valid result of `sign` for this purpose and data."""
        key = self._keys.get(signature[:1])
        return key is not None and hmac.compare_digest(_mac(key, data, purpose), signature[1:])

    def seal(self, envelope: Envelope) -> bytes:
        """The datagram of an envelope, authenticated by the first key."""
        body = _pack.encode(envelope)
        return b"".join((MAGIC, self._first, _mac(self._keys[self._first], body), body))

    def open(self, data: bytes) -> Envelope | None:
        """Verify and decode a datagram; None if the MAC or the envelope is invalid."""
        if not HEADER < len(data) <= MAX_DATAGRAM or data[:4] != MAGIC:
            return None
        key, body = self._keys.get(data[4:5]), data[HEADER:]
        if key is None or not hmac.compare_digest(_mac(key, body), data[5:HEADER]):
            return None
        try:
            return _envelope.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return None


def _mac(key: bytes, body: bytes, purpose: bytes = b"") -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=SEAL_BYTES, person=purpose).digest()


def items(envelope: Envelope) -> list[Any]:
    """The valid items of kinds that this build knows."""
    found = []
    for raw in envelope.items:
        try:
            found.append(_item.decode(raw))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            continue
    return found


def room(name: str, to: str) -> int:
    """Bytes for items in a datagram from `name` to `to`, with numbers of any size."""
    return MAX_DATAGRAM - HEADER - 2 * 34 - len(name.encode()) - len(to.encode()) - 4 - 4 * 9 - 10


@dataclass(slots=True)
class _Received:
    """Numbers received from one process."""

    highest: int = 0
    bits: int = 0  # bit n: whether number `highest - n` was received


class SequenceNumbers:
    """Own and received datagram numbers, for replay protection and for bounds of ages."""

    __slots__ = ("_number", "_received", "_sent")

    def __init__(self) -> None:
        self._number = 0
        # Received numbers, by name and `life`.
        self._received: OrderedDict[tuple[str, str], _Received] = OrderedDict()
        # Send times (s) by number, for each member.
        self._sent: dict[str, OrderedDict[int, float]] = {}

    def next(self, to: str, now: float) -> int:
        """Assign the number of a datagram that is sent to a member now."""
        self._number += 1
        if to:
            if to not in self._sent and len(self._sent) >= MAX_SENDERS:
                self._sent.pop(next(iter(self._sent)))
            sent = self._sent.setdefault(to, OrderedDict())
            sent[self._number] = now
            if len(sent) > MAX_SENT_NUMBERS:
                sent.popitem(last=False)
        return self._number

    def highest_received(self, name: str, life: str) -> int:
        """The highest number received from a process; 0 if none."""
        known = self._received.get((name, life))
        return 0 if known is None else known.highest

    def is_new(self, name: str, life: str, number: int) -> bool:
        """Accept a received number; False if it is a replay or below the window."""
        known = self._received.get((name, life))
        if known is None:
            if len(self._received) >= MAX_SENDERS:
                self._received.popitem(last=False)
            self._received[name, life] = _Received(number, 1)
            return True
        self._received.move_to_end((name, life))
        if number > known.highest:
            known.bits = (
                ((known.bits << (number - known.highest)) | 1) & (2**WINDOW - 1)
                if number - known.highest < WINDOW
                else 1
            )
            known.highest = number
            return True
        behind = known.highest - number
        if behind >= WINDOW or known.bits >> behind & 1:
            return False
        known.bits |= 1 << behind
        return True

    def age(self, name: str, heard: int, now: float) -> float | None:
        """Upper bound in s of the age of a datagram that confirms `heard`; None: unknown."""
        sent = self._sent.get(name)
        at = None if sent is None else sent.get(heard)
        return None if at is None else max(0.0, now - at)

    def forget(self, name: str) -> None:
        """Forget the send times for a member that is dead or has left."""
        self._sent.pop(name, None)
