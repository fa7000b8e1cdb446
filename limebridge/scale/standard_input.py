"""Child processes of a run read their standard input: it ends when the parent does."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import AsyncIterator


async def input_lines() -> AsyncIterator[bytes]:
    """The lines that the parent sends, until it closes the pipe or ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield line


def wait_for_line() -> bool:
    """Block until the parent has sent one line, and read no byte more.  False at the end."""
    while byte := os.read(sys.stdin.fileno(), 1):
        if byte == b"\n":
            return True
    return False


async def until_end_of_input() -> None:
    """Wait until the parent closes the pipe or ends."""
    async for _ in input_lines():
        pass
