"""The platform's RESP2 commands and answers, as its clients and cache nodes write them."""

from __future__ import annotations

import asyncio


def bulk(data: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(data), data)


def command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


def reply(value: bytes, hit: bytes = b"hit") -> bytes:
    """What a cache node answers: the value, how it went, no load report."""
    return b"*3\r\n" + bulk(value) + bulk(hit) + b"$-1\r\n"


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One HTTP/1.1 request with a length: its line, headers by small names, body.

    KeyError without a length, ValueError for one that is none, IncompleteReadError at an end.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    return head[0], headers, await reader.readexactly(int(headers["content-length"]))


async def read_words(reader: asyncio.StreamReader) -> list[bytes]:
    """One command; IncompleteReadError when the peer ends first."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    words = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """One answer of the proxy: a value without its length, or the whole line."""
    line = await reader.readuntil(b"\r\n")
    if not line.startswith(b"$"):
        return line[:-2]
    return (await reader.readexactly(int(line[1:-2]) + 2))[:-2]
