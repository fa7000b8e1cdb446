"""Reads input ahead of the event loop: a client's close, or the rest of a command, may be in it."""

from __future__ import annotations

from violetroute.transport import Stream

from .input import CommandReader

READS_AHEAD = 32  # reads in a row
READS_OF_REST = 8  # reads in a row for the rest of a command; the longest value needs four


def read_ahead(stream: Stream, reader: CommandReader) -> None:
    """Read what the kernel has of a paused stream, as far as `reader` has room for it."""
    stream.resume()
    for _ in range(READS_AHEAD):
        undecoded = reader.undecoded
        if reader.may_read_ahead:
            stream.read_now()
        if reader.undecoded == undecoded:
            break
    if not stream.closing:
        stream.pause()


def read_rest(stream: Stream, reader: CommandReader) -> None:
    """Read what the kernel has of the incomplete command of a stream."""
    for _ in range(READS_OF_REST):
        if stream.closing or not reader.partial_since:
            return
        stream.read_now()
