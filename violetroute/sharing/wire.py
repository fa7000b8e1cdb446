"""Datagrams between proxies: their form, their seal, and what is refused.  Pure.

    4 bytes     "LBf" and the version of this envelope
    1 byte      which key: the first byte of the key's own hash
    16 bytes    BLAKE2b of all that follows, keyed
    the rest    MessagePack: an envelope, and in it items one by one

Each item is packed by itself, so that a build that does not know a kind of item skips it and reads
on.  Nothing is decoded before the seal holds; what is decoded is bounded by the datagram's size.

**Replays and late ones.**  Each life numbers what it sends; a number that came before, or is more
than 64 behind the highest, is refused.  A datagram also names the life of who it is meant for and
the highest number that its sender had from there.  So its receiver knows, by its own clock alone,
that it was written after that one was sent: that bounds its age, whatever the network held back.
In a large fleet most that come are a pair's first for long and show no such number; these are dated
by the wall clocks where both say nearly the same time, and are not believed where they don't.  That
is for judgements and counts.  Loans need no age: a late ask, answer or return is harmless by its
number and by whose life it names.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

MAX_DATAGRAM_BYTES = 1200  # bytes: passes every path without being cut
MAGIC = b"LBf\x01"
SEAL_BYTES = 16  # bytes
HEADER_BYTES = len(MAGIC) + 1 + SEAL_BYTES
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes of a key
MAX_ITEMS = 64  # of one datagram
MAX_SENDERS = 4096  # senders whose numbers are known
WINDOW = 64  # numbers behind the highest that may still come
MAX_SENT_NUMBERS = 32  # of our own numbers to one member whose time is known: those on their way

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Life = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Place = Annotated[str, msgspec.Meta(max_length=64)]  # "ADDRESS:PORT"; "" is unknown
Budget = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Small = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
Hash = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
SHORT_BYTES = 4  # bytes of a shortened hash or digest
MAX_BUCKETS = 128  # into which a list of members is divided
MAX_BUCKET_DIGESTS_BYTES = MAX_BUCKETS * SHORT_BYTES  # bytes of the digests of all buckets
MAX_HELD_BYTES = 512  # bytes of hashes of one bucket's members
Buckets = Annotated[int, msgspec.Meta(ge=1, le=MAX_BUCKETS)]
BucketIndex = Annotated[int, msgspec.Meta(ge=0, lt=MAX_BUCKETS)]
Hashes = Annotated[bytes, msgspec.Meta(max_length=MAX_HELD_BYTES)]


class Item(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a datagram carries.  Fields may be added at the end, with defaults."""


class Ping(Item, frozen=True, tag="p"):
    number: Number


class Ack(Item, frozen=True, tag="a"):
    number: Number


class Nack(Item, frozen=True, tag="n"):
    """Who was asked to ask has heard nothing either, and is well itself."""

    number: Number


class PingRequest(Item, frozen=True, tag="q"):
    """Ask `target` for me."""

    number: Number
    target: Name


class Rumor(Item, frozen=True, tag="r"):
    """How a member stands: "a"live, "s"uspect, "d"ead, "l"eft."""

    name: Name
    life: Life
    incarnation: Number
    state: Annotated[str, msgspec.Meta(pattern="^[asdl]$")]
    place: Place = ""
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    by: Annotated[str, msgspec.Meta(max_length=64)] = ""  # who suspects


class PageRequest(Item, frozen=True, tag="g"):
    """Asks for members whose names come after this one."""

    after: Annotated[str, msgspec.Meta(max_length=64)] = ""


class PageEnd(Item, frozen=True, tag="G"):
    """The last of those that came with this; "": there are no more."""

    last: Annotated[str, msgspec.Meta(max_length=64)] = ""


class MemberEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A member that is up.  Fields may be added at the end, with defaults."""

    name: Name
    life: Life
    incarnation: Number
    place: Place = ""
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""


class Compare(Item, frozen=True, tag="d"):
    """The digest of the sender's list of members; asks for that of the receiver's."""

    number: Number
    count: Number
    whole: Hash


class Digests(Item, frozen=True, tag="D"):
    """Answers `Compare`.  `digests`: of all buckets, SHORT bytes each; none if not needed."""

    number: Number
    count: Number
    whole: Hash
    digests: Annotated[bytes, msgspec.Meta(max_length=MAX_BUCKET_DIGESTS_BYTES)] = b""


class BucketRequest(Item, frozen=True, tag="e"):
    """Asks for the members of one of so many buckets.  `held`: hashes of those that are known."""

    number: Number
    buckets: Buckets
    index: BucketIndex
    held: Hashes = b""


class BucketMembers(Item, frozen=True, tag="E"):
    """Members of one bucket: answers `BucketRequest` (number 0: a `wanted`).

    `wanted`: hashes that the receiver holds and the sender lacks.
    """

    number: Number
    buckets: Buckets
    index: BucketIndex
    members: Annotated[list[MemberEntry], msgspec.Meta(max_length=256)]
    wanted: Hashes = b""


ANTI_ENTROPY = (Compare, Digests, BucketRequest, BucketMembers)


class SpareReport(Item, frozen=True, tag="s"):
    budget: Budget
    amount: Amount


class LoanRequest(Item, frozen=True, tag="b"):
    budget: Budget
    number: Number
    amount: Amount


class LoanGrant(Item, frozen=True, tag="l"):
    budget: Budget
    number: Number
    amount: Amount


class LoanReturn(Item, frozen=True, tag="k"):
    budget: Budget
    number: Number


class HealthReport(Item, frozen=True, tag="w"):
    """What a member's own requests met at a node: outcomes that have not faded yet."""

    node: Number
    started: Number  # ms, of the node as the list has it
    good: Small
    bad: Small


class LoadReport(Item, frozen=True, tag="o"):
    """Sums over a member's own requests since it told last: how many, their badness, ms, aims."""

    kept: bool
    count: Small
    bad: Small
    took: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
    aim: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
    queued: Small


class HeavyHitterReport(Item, frozen=True, tag="c"):
    """Heavy hitters of one kind: keyed hashes, counts and by how much these may be too high."""

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
    """`to` and `to_life`: whom it is meant for; `heard`: the highest number had from there."""

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
    return _pack.encode(item)


def raw(data: bytes) -> msgspec.Raw:
    """What `packed` gave, as an envelope holds it."""
    return msgspec.Raw(data)


class Keys:
    """The first seals, all open.  ValueError for one that is no key."""

    def __init__(self, keys: list[bytes]) -> None:
        if not keys or any(not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES for key in keys):
            raise ValueError(f"a key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
        self._keys = {
            hashlib.blake2b(key, digest_size=1, person=b"limebridge-key").digest(): key
            for key in reversed(keys)
        }
        self._first = hashlib.blake2b(keys[0], digest_size=1, person=b"limebridge-key").digest()

    def sign(self, purpose: bytes, data: bytes, key_id: bytes = b"") -> bytes:
        """The key's id and a MAC of `data`, 17 bytes; by the key `key_id`, else by the first.

        `purpose` (16 bytes at most) keeps a MAC from being taken for one of another purpose.
        KeyError for a key that is not known.
        """
        key_id = key_id or self._first
        return key_id + _mac(self._keys[key_id], data, purpose)

    def verify(self, purpose: bytes, data: bytes, signature: bytes) -> bool:
        """Whether `signature` is what one of our keys makes of `data`."""
        key = self._keys.get(signature[:1])
        return key is not None and hmac.compare_digest(_mac(key, data, purpose), signature[1:])

    def seal(self, envelope: Envelope) -> bytes:
        body = _pack.encode(envelope)
        return b"".join((MAGIC, self._first, _mac(self._keys[self._first], body), body))

    def open(self, data: bytes) -> Envelope | None:
        """None for what nobody of ours has written, or is no envelope."""
        if not HEADER_BYTES < len(data) <= MAX_DATAGRAM_BYTES or data[:4] != MAGIC:
            return None
        key, body = self._keys.get(data[4:5]), data[HEADER_BYTES:]
        if key is None or not hmac.compare_digest(_mac(key, body), data[5:HEADER_BYTES]):
            return None
        try:
            return _envelope.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return None


def _mac(key: bytes, body: bytes, purpose: bytes = b"") -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=SEAL_BYTES, person=purpose).digest()


def items(envelope: Envelope) -> list[Any]:
    """Those that this build knows and that make sense."""
    found = []
    for raw in envelope.items:
        try:
            found.append(_item.decode(raw))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            continue
    return found


def room(name: str, to: str) -> int:
    """Bytes for items in a datagram between two of these names, whatever its numbers are."""
    return (
        MAX_DATAGRAM_BYTES
        - HEADER_BYTES
        - 2 * 34
        - len(name.encode())
        - len(to.encode())
        - 4
        - 4 * 9
        - 10
    )


@dataclass(slots=True)
class _ReceivedNumbers:
    """Numbers of one life."""

    highest: int = 0
    came: int = 0  # bits: which of those behind the highest


class SequenceNumbers:
    """Ours, and those that came; and how old a datagram can be at most."""

    __slots__ = ("_came", "_number", "_sent")

    def __init__(self) -> None:
        self._number = 0
        self._came: OrderedDict[tuple[str, str], _ReceivedNumbers] = (
            OrderedDict()
        )  # by name and life
        self._sent: dict[str, OrderedDict[int, float]] = {}  # by member: number, when

    def next(self, to: str, now: float) -> int:
        """The number of what is sent now to this member."""
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
        """The highest number had from that life."""
        known = self._came.get((name, life))
        return 0 if known is None else known.highest

    def is_new(self, name: str, life: str, number: int) -> bool:
        """Whether that number has not come before and is not too far behind."""
        known = self._came.get((name, life))
        if known is None:
            if len(self._came) >= MAX_SENDERS:
                self._came.popitem(last=False)
            self._came[name, life] = _ReceivedNumbers(number, 1)
            return True
        self._came.move_to_end((name, life))
        if number > known.highest:
            known.came = (
                ((known.came << (number - known.highest)) | 1) & (2**WINDOW - 1)
                if number - known.highest < WINDOW
                else 1
            )
            known.highest = number
            return True
        behind = known.highest - number
        if behind >= WINDOW or known.came >> behind & 1:
            return False
        known.came |= 1 << behind
        return True

    def age(self, name: str, heard: int, now: float) -> float | None:
        """Seconds that what was written after `heard` had come can be old; None: unknown."""
        sent = self._sent.get(name)
        at = None if sent is None else sent.get(heard)
        return None if at is None else max(0.0, now - at)

    def forget(self, name: str) -> None:
        """A member that is gone."""
        self._sent.pop(name, None)
