"""Bytes that one member sends and requests in anti-entropy stay within its rates."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.support.one_member import compare_with_p0, entries, member, of_kind, receive_from_p0
from tests.support.operation_count import count_operations
from violetroute.sharing import anti_entropy
from violetroute.sharing.anti_entropy import (
    ANSWER_BYTES,
    BURST_S,
    DATAGRAM_BYTES,
    REQUESTED_BYTES_S,
    SENT_BYTES_S,
    WINDOW,
)
from violetroute.sharing.byte_pacer import BytePacer
from violetroute.sharing.digest import bucket_count, member_hash, pack_short
from violetroute.sharing.outgoing import Send
from violetroute.sharing.wire import (
    ANTI_ENTROPY,
    BucketMembers,
    BucketRequest,
    Compare,
    Digests,
    Ping,
    Rumor,
    encode_item,
)

FLEET = 200


def test_answers_stay_within_their_rate_for_any_requesters() -> None:
    one = member(*(f"p{number}" for number in range(FLEET)))
    sent, seconds = 0, 20
    for step in range(seconds * 100):
        now = step / 100.0
        for item in (BucketRequest(step, 16, step % 16), Ping(step)):
            sent += sum(
                len(encode_item(each))
                for each in of_kind(receive_from_p0(one, now, item), BucketMembers)
            )
    assert sent <= SENT_BYTES_S * (seconds + BURST_S) + ANSWER_BYTES
    assert sent > SENT_BYTES_S * seconds / 2


def test_a_new_member_requests_no_more_than_its_rate() -> None:
    one, got, seconds = member("p0"), 0, 20
    requests = compare_with_p0(one, 0.0, count=4000, buckets=128)
    for step in range(seconds * 100):
        now, waiting, requests = step / 100.0, requests, []
        for request in waiting:
            names = [f"{request.number} {number:030}" for number in range(25)]
            answer = BucketMembers(request.number, 128, request.index, entries(*names))
            got += len(encode_item(answer))
            requests += of_kind(receive_from_p0(one, now, answer), BucketRequest)  # type: ignore[arg-type]
        requests += of_kind(one.tick(now), BucketRequest)  # type: ignore[arg-type]
        most = REQUESTED_BYTES_S * (now + BURST_S) + WINDOW * (ANSWER_BYTES + DATAGRAM_BYTES)
        assert got <= most
    assert got > REQUESTED_BYTES_S * seconds / 2


def test_an_exhausted_rate_stops_requests_and_pushes() -> None:
    wanted = pack_short([member_hash("me", "x", 1)])
    for spent, pushed in ((0.0, 1), (2.0 * SENT_BYTES_S * BURST_S, 0)):
        one = member("p0")
        (request,) = compare_with_p0(one, 1.0)
        one._anti_entropy._sent_pacer.spend(1.0, spent)
        answer = BucketMembers(request.number, 1, 0, [], wanted)
        assert len(receive_from_p0(one, 1.0, answer)) == pushed
    one = member("p0")
    requests = compare_with_p0(one, 1.0, buckets=16)
    one._anti_entropy._sent_pacer.spend(1.0, 2.0 * SENT_BYTES_S * BURST_S)
    for request in requests:
        assert not receive_from_p0(one, 1.0, BucketMembers(request.number, 16, request.index, []))
    assert not of_kind(one.tick(1.1), BucketRequest)
    assert of_kind(one.tick(4.0), BucketRequest)


def test_all_sent_bytes_are_charged() -> None:
    one = member(*(f"p{number}" for number in range(50)))
    pace = one._anti_entropy._sent_pacer

    def paid(work: Callable[[], list[Send]]) -> float:
        """Charged bytes of the items that `work` returns, less their own size."""
        before = pace._level
        sent = [item for out in work() for item in out.items if isinstance(item, ANTI_ENTROPY)]
        assert sent
        return before - pace._level - sum(len(encode_item(item)) for item in sent)

    now = 0.0
    one._anti_entropy.compare_at = now
    assert paid(lambda: one.tick(now)) > 0.0
    check = one._anti_entropy._comparison
    assert check is not None
    digests = Digests(check.number, 60, 1, pack_short([1]))
    assert paid(lambda: receive_from_p0(one, now, digests)) > 0.0
    assert paid(lambda: receive_from_p0(one, now, Compare(1, 60, 1))) > 0.0
    assert paid(lambda: receive_from_p0(one, now, BucketRequest(1, 4, 0))) > 0.0
    exchange = one._anti_entropy._exchange
    assert exchange is not None
    (number,) = exchange.open
    wanted = pack_short([member_hash("p1", "x", 1)])
    assert paid(lambda: receive_from_p0(one, now, BucketMembers(number, 1, 0, [], wanted))) > 0.0


def test_bucket_digests_stay_within_the_rate() -> None:
    one = member(*(f"p{number}" for number in range(FLEET)))
    answers = [
        answer
        for step in range(2000)
        for answer in of_kind(receive_from_p0(one, step / 1000.0, Compare(step, 200, 1)), Digests)
    ]
    assert len(answers) == 2000  # a member that does not answer would be taken for an older build
    full = sum(len(item.digests) > 0 for item in answers if isinstance(item, Digests))
    each = 4 * bucket_count(FLEET) + DATAGRAM_BYTES
    assert 1 <= full <= SENT_BYTES_S * (2.0 + BURST_S) / each + 1


@pytest.mark.parametrize("size", [1, 40])
def test_each_item_fits_a_datagram_with_the_longest_names(size: int) -> None:
    names = [f"{number:02}" + "n" * 62 for number in range(size)]
    one = member()
    for name in names:
        one.add_member(Rumor(name, "l" * 32, 2**53, "a", "a" * 64, "z" * 64), 0.0)
    held = pack_short(range(100))
    answer = of_kind(receive_from_p0(one, 1.0, BucketRequest(2**53, 1, 0, held)), BucketMembers)
    most = anti_entropy.ITEM_BYTES + 40
    assert answer and all(len(encode_item(item)) <= most for item in answer)
    assert sum(len(encode_item(item)) for item in answer) <= ANSWER_BYTES + 500
    assert len(encode_item(Digests(2**53, 4096, 2**63 - 1, bytes(512)))) <= most + 80


def test_a_tick_a_comparison_and_a_bucket_cost_the_same_in_a_large_fleet() -> None:
    costs = []
    for size in (500, 2000):
        one = member(*(f"p{number}" for number in range(size)))
        one._anti_entropy.compare_at = 1e9
        each = size // 16
        costs.append(
            [
                count_operations(lambda one=one: one.tick(0.1)),  # type: ignore[misc]
                count_operations(lambda one=one: receive_from_p0(one, 0.1, Compare(1, 200, 1))),  # type: ignore[misc]
                count_operations(
                    lambda one=one, each=each: receive_from_p0(  # type: ignore[misc]
                        one, 0.1, BucketRequest(1, bucket_count(16 * each), 0)
                    )
                ),
            ]
        )
    tick, compare, bucket = (large / small for small, large in zip(*costs, strict=True))
    assert tick <= 1.1
    assert compare <= 4.5  # digests of 128 buckets instead of 32
    assert bucket <= 2.0  # buckets differ in the number of names


def test_items_in_one_datagram_are_charged_its_overhead_once() -> None:
    def paid(*times: float) -> float:
        """Charged bytes of the answers to two requests at these times."""
        one = member(*(f"p{number}" for number in range(50)))
        # The bucket is full, so a refill has no effect.
        one._anti_entropy._sent_pacer = BytePacer(1e-6, 1e12, 0.0)
        before = one._anti_entropy._sent_pacer._level
        for index, now in enumerate(times):
            assert receive_from_p0(one, now, BucketRequest(index, 4, index))
        return before - one._anti_entropy._sent_pacer._level

    assert paid(1.0, 2.0) - paid(1.0, 1.0) == pytest.approx(DATAGRAM_BYTES, abs=1.0)
    assert paid(1.0) > DATAGRAM_BYTES
