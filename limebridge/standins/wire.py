"""RESP2 commands and answers in the forms that the platform's clients and cache nodes send."""

from __future__ import annotations

import asyncio


def bulk(data: bytes) -> bytes:
    """Encode a RESP2 bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def command(*words: bytes) -> bytes:
    """Encode a command as a RESP2 array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


def reply(value: bytes, hit: bytes = b"hit") -> bytes:
    """Encode a cache node's answer: the value, hit or miss, and no load report."""
    return b"*3\r\n" + bulk(value) + bulk(hit) + b"$-1\r\n"


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP/1.1 request: its request line, headers by lower-case name, and body.

    Raises KeyError without a Content-Length, ValueError if that is no number, and
    IncompleteReadError if the peer closes early.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    return head[0], headers, await reader.readexactly(int(headers["content-length"]))


async def read_words(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one command.  Raises IncompleteReadError if the peer closes early."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    words = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one answer of the proxy: the value of a bulk string, else the full line."""
    line = await reader.readuntil(b"\r\n")
    if not line.startswith(b"$"):
        return line[:-2]
    return (await reader.readexactly(int(line[1:-2]) + 2))[:-2]
