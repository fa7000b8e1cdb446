"""Answers of nodes in which a length is wrong, or that were made for another request."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from snowstall import Result
from tests.violetroute.upstream.test_pool import World
from violetroute.resp import bulk, may_continue_value
from violetroute.upstream import Attempt

TAIL = b"\r\n$3\r\nhit\r\n$-1\r\n"  # of an answer without a load report
VALUES = (b"", b"v", b"a template", b"two\r\nlines\r\n", b"$3\r\nhit")
OUTCOMES: tuple[bytes | None, ...] = (None, b"hit", b"pending")
REPORTS: tuple[bytes | None, ...] = (None, b"inflight=7,queue=2", b"")


class ValueWorld(World):
    """Keeps the value of each attempt that was served."""

    def __init__(self) -> None:
        super().__init__()
        self.values: list[bytes] = []

    def attempt_ended(self, attempt: Attempt, result: Result, *more: Any, **named: Any) -> None:
        super().attempt_ended(attempt, result)
        if result is Result.OK:
            self.values.append(bytes(more[0]))

    def receive(self, *pieces: bytes) -> list[bytes]:
        """The values served for one attempt whose answer comes in these pieces."""
        self.send(1)
        handler, _ = self.streams[-1]
        handler.opened()
        for piece in filter(None, pieces):
            if self.streams[-1][1].closing:
                break
            handler.buffer()[: len(piece)] = piece
            handler.received(len(piece))
        self.advance(self.pool.limits.reply_s + 1.0)
        return self.values


def item(data: bytes | None, length: int | None = None) -> bytes:
    """A bulk string whose length may be wrong; `data` None is the null bulk string."""
    if data is None:
        return b"$-1\r\n" if length is None else b"$%d\r\n" % length
    return b"$%d\r\n%b\r\n" % (len(data) if length is None else length, data)


def wrong_lengths(parts: tuple[bytes | None, ...]) -> Iterator[bytes]:
    """The answer of these items, with each wrong length in each of them."""
    whole = b"*3\r\n" + b"".join(map(item, parts))
    for place, part in enumerate(parts):
        right = -1 if part is None else len(part)
        for length in range(-2, len(whole) + 3):
            if length not in (right, -1):
                items = [item(p, length if i == place else None) for i, p in enumerate(parts)]
                yield b"*3\r\n" + b"".join(items)


@pytest.mark.parametrize("value", VALUES)
def test_no_wrong_length_at_any_boundary_serves_a_wrong_value(value: bytes) -> None:
    # Guards against review/7: an answer whose length was 4 too long was served as a value with
    # framing behind it, since the value was used although the rest could not be read.
    for outcome in OUTCOMES:
        for report in REPORTS:
            for answer in wrong_lengths((value, outcome, report)):
                for cut in {0, 5, len(answer) // 2, len(answer) - 3, len(answer) - 1}:
                    served = ValueWorld().receive(answer[:cut], answer[cut:])
                    assert not served, (answer, cut)


def test_a_wrong_length_is_not_served_however_the_answer_is_cut() -> None:
    # Guards against review/7 at each boundary between two reads, and byte by byte.
    for answer in wrong_lengths((b"a template", b"hit", b"inflight=7")):
        for cut in range(1, len(answer)):
            assert not ValueWorld().receive(answer[:cut], answer[cut:]), (answer, cut)
        assert not ValueWorld().receive(*(bytes([byte]) for byte in answer)), answer


@pytest.mark.parametrize(
    "value",
    [b"start" + TAIL + b"end", TAIL, b"x" + TAIL + b"*3\r\n$1\r\n", b"$3\r\nhit\r\n$-1"],
)
def test_a_value_that_contains_the_end_of_an_answer_is_not_cut_short(value: bytes) -> None:
    # Guards against a variant of review/7: a length too small by the rest of such a value leaves a
    # complete answer with bytes behind it, which look like the noise that good answers bring.  If
    # those bytes come later than the rest, nothing shows the fault in time.
    for outcome in OUTCOMES:
        for answer in wrong_lengths((value, outcome, None)):
            assert not ValueWorld().receive(answer), answer
    assert ValueWorld().receive(b"*3\r\n" + item(value) + TAIL[2:]) == [value]


@pytest.mark.parametrize("surplus", [b"", b"\x00noise", b"*3\r\n$1", b"-ERR failed\r\n"])
def test_a_good_answer_with_noise_or_a_second_copy_behind_it_is_served(surplus: bytes) -> None:
    for value in VALUES:
        answer = b"*3\r\n" + bulk(value) + TAIL[2:]
        assert ValueWorld().receive(answer + surplus) == [value]
        assert ValueWorld().receive(answer + answer + surplus) == [value]


def test_a_second_copy_is_told_from_the_rest_of_a_value() -> None:
    copy = b"*3\r\n$1\r\nv" + TAIL
    for rest in (b"", b"\x00noise", b"end\r\n$3\r\nhit\r\n", copy, copy + copy):
        assert not may_continue_value([b"hit", None], rest), rest
    for rest in (b"end" + TAIL, copy + b"end" + TAIL, b"end\r\n$-1\r\n$4\r\na=1,\r\n"):
        assert may_continue_value([b"hit", None], rest), rest
    assert may_continue_value([None, None], b"$-1\r\n")


@pytest.mark.parametrize(("unsent", "result"), [(1, Result.NO_CONNECTION), (0, Result.MALFORMED)])
def test_a_value_that_comes_before_the_node_has_the_command_is_not_served(
    unsent: int, result: Result
) -> None:
    # Guards against a fault found by reading: a late copy of the answer before was served to a save
    # of which a part was still unsent.
    world = ValueWorld()
    world.send(1)
    handler, stream = world.streams[0]
    handler.opened()
    stream.unsent, stream.unacknowledged = unsent, 1
    world.answers(0)
    assert world.ended == [(1, result)] and stream.discarded and not world.values
