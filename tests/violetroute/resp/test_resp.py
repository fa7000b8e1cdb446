"""Fast decoding of commands and replies, compared with the token decoder; the deadline heap."""

from __future__ import annotations

import asyncio
import itertools

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from violetroute import resp
from violetroute.deadlines import SWEEP_SLACK, Deadlines

WORDS = st.one_of(
    st.sampled_from(
        [b"OBJ.GET", b"obj.set", b"PING", b"", b"\r\n", b"a\rb", b"c=x,d=5", b"v" * 4097]
    ),
    st.binary(max_size=12),
)
# One of these is inserted before a valid length.
LENGTH_PREFIXES = st.sampled_from([b"", b"0", b"00", b"-", b"+", b" ", b"1"])


def encoded(words: list[bytes], odd: bytes) -> bytes:
    items = [
        b"$%b%d\r\n%b\r\n" % (odd if place == 1 else b"", len(word), word)
        for place, word in enumerate(words)
    ]
    return b"*%d\r\n" % len(words) + b"".join(items)


def commands(data: bytes, cuts: list[int], fast: bool) -> tuple[list[list[bytes]], bool]:
    """Feed the data in pieces; returns the arguments of all commands, and if the framing broke."""
    decoder, found, args, body, missing = resp.Decoder(), [], [], b"", 0
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    pieces = [data[a:b] for a, b in itertools.pairwise(places)]
    try:
        for piece in pieces:
            decoder.feed(piece)
            while True:
                if fast and not missing and (whole := decoder.command()) is not None:
                    assert (
                        encoded(whole[:3], b"").partition(b"\r\n")[2]
                        == whole[-1].partition(b"\r\n")[2]
                    )
                    found.append(whole[:-1])
                    continue
                token = decoder.next()
                if token is None:
                    break
                match token:
                    case resp.Array(length) if not missing and length > 0:
                        missing = length
                    case resp.Bulk() if missing:
                        body = b""
                    case resp.Piece(part, last) if missing:
                        body += part
                        if last:
                            args.append(body)
                            missing -= 1
                            if not missing:
                                found.append(args)
                                args = []
                    case _:
                        return found, True
    except resp.ProtocolError:
        return found, True
    return found, False


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.lists(WORDS, min_size=1, max_size=6), LENGTH_PREFIXES), max_size=4),
    st.binary(max_size=3),
    st.lists(st.integers(0, 300), max_size=6),
)
@example([([b"OBJ.GET", b"k", b"i", b"c=x,d=5"], b"")], b"", [])
@example([([b"OBJ.SET", b"k", b"i", b"c=x,d=5", b"v\r\nw"], b"")], b"*", [30])
@example([([b"OBJ.GET", b"k", b"i", b"c=x,d=5"], b"0")], b"", [])
def test_commands_of_the_fast_path_equal_those_of_the_token_decoder(
    sent: list[tuple[list[bytes], bytes]], tail: bytes, cuts: list[int]
) -> None:
    data = b"".join(encoded(words, odd) for words, odd in sent) + tail
    assert commands(data, cuts, fast=True) == commands(data, cuts, fast=False)


def test_a_usual_command_takes_the_fast_path() -> None:
    decoder = resp.Decoder()
    words = [b"OBJ.SET", b"k", b"i", b"c=x,d=5,k=1", b"v\r\nw"]
    decoder.feed(encoded(words, b"") * 2)
    head = b"*5\r\n" + b"".join(map(resp.bulk, words[:3]))
    for _ in range(2):
        assert decoder.command() == [*words, head]
    assert decoder.idle and decoder.command() is None


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.binary(max_size=20),
    st.sampled_from([b"hit", b"", b"a\rb"]),
    st.sampled_from([None, b"inflight=1", b"\r\n"]),
    st.integers(0, 60),
)
@example(b"value", b"hit", None, 60)
def test_replies_of_the_fast_path_equal_those_of_the_token_decoder(
    value: bytes, outcome: bytes, report: bytes | None, cut: int
) -> None:
    data = (
        b"*3\r\n"
        + resp.bulk(value)
        + resp.bulk(outcome)
        + (b"$-1\r\n" if report is None else resp.bulk(report))
    )
    decoder = resp.Decoder()
    decoder.feed(data[:cut])
    served = decoder.reply()
    if served is None:  # the token decoder starts at the first byte
        decoder.feed(data[cut:])
        assert decoder.next() == resp.Array(3)
    else:
        assert served == (value, outcome, report) and decoder.idle
    if cut >= len(data) and outcome == b"hit" and report != b"\r\n":
        assert served is not None


def test_a_command_is_forwarded_unchanged_except_for_its_wait() -> None:
    args = [b"OBJ.SET", b"k", b"i", b"c=x,t=y,d=480.5,k=7", b"v"]
    for given_head in (b"", b"*5\r\n" + b"".join(map(resp.bulk, args[:3]))):
        encoded = b"".join(resp.parse_command(args, given_head).encode(99.0))
        assert encoded == b"*5\r\n" + b"".join(
            map(resp.bulk, [*args[:3], b"c=x,t=y,d=99,k=7", b"v"])
        )


def test_similar_option_lists_are_checked_separately() -> None:
    good = [b"OBJ.GET", b"k", b"i", b"c=x,d=5"]
    assert resp.parse_command(good).class_name == "x"
    for bad in (b"c=x,d=5,d=6", b"c=x", b"d=5", b"c=x,d=", b"c=x,d=-1", b"c=x,,d=5", b"=,d=5"):
        for _ in range(2):  # an invalid list must not be cached as valid
            try:
                resp.parse_command([*good[:3], bad])
            except resp.CommandError:
                continue
            raise AssertionError(bad)


def test_deadlines_end_open_requests_and_keep_few_closed_ones() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        opened: dict[int, None] = {}
        ended: list[int] = []
        all_ended = asyncio.Event()

        def expired(number: int) -> None:
            del opened[number]
            ended.append(number)
            if not opened:
                all_ended.set()
            if number == 7:
                raise RuntimeError("one fault")

        loop.set_exception_handler(lambda loop, context: None)
        deadlines = Deadlines(loop, expired, opened)
        now = loop.time()
        for number in range(1000):  # each is closed before its deadline
            opened[number] = None
            deadlines.add(now + 100.0, number)
            del opened[number]
            assert len(deadlines) <= SWEEP_SLACK + 3
        for number, at in ((9, 0.03), (7, 0.01), (8, 0.02), (6, 0.01)):
            opened[number] = None
            deadlines.add(now + at, number)
        async with asyncio.timeout(5.0):
            await all_ended.wait()
        assert ended == [6, 7, 8, 9], "an exception for one must not stop the others"
        deadlines.close()

    asyncio.run(run())


@pytest.mark.parametrize("extra", [0, 1, 400])
def test_a_list_of_very_many_options_is_refused_before_it_is_parsed(extra: int) -> None:
    # Guards against a fault that operators reported: 300 clients with lists of 500 short
    # options took so much CPU time that 6% to 33% of the others' requests were refused.
    more = [b"x%d=1" % number for number in range(resp.commands.MAX_OPTIONS - 2 + extra)]
    arguments = [b"OBJ.GET", b"k", b"i", b",".join([b"c=lookup", b"d=480", *more])]
    if not extra:
        assert resp.parse_command(arguments).class_name == "lookup"
        return
    with pytest.raises(resp.CommandError, match="too many options"):
        resp.parse_command(arguments)
