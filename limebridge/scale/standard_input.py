"""Standard input of child processes: a pipe that is closed when the parent exits."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import AsyncIterator


async def input_lines() -> AsyncIterator[bytes]:
    """Yield the lines that the parent writes, until it closes the pipe or exits."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield line


def wait_for_line() -> bool:
    """Block until the parent has written one line; False at the end of input.

    Reads no byte after the line, so that `input_lines` can read the following lines.
    """
    while byte := os.read(sys.stdin.fileno(), 1):
        if byte == b"\n":
            return True
    return False


async def until_end_of_input() -> None:
    """Wait until the parent closes the pipe or exits; lines are ignored."""
    async for _ in input_lines():
        pass
