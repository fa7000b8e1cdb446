"""Reads input that has to wait, since the client's close may be behind it."""

from __future__ import annotations

from violetroute.transport import Stream

from .input import CommandReader

READS_AHEAD = 32  # reads in a row


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
