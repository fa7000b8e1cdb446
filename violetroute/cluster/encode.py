"""Encodes values as RESP2 or RESP3.  Pure.  A map is a flat array in RESP2, as in Redis."""

from __future__ import annotations

from violetroute.resp import bulk


def encode(value: object, version: int) -> bytes:
    """Encode int, bytes, str (as a simple string), None, list or dict.  Otherwise TypeError."""
    match value:
        case int():
            return b":%d\r\n" % value
        case bytes():
            return bulk(value)
        case str():
            return b"+%b\r\n" % value.encode()
        case None:
            return b"_\r\n" if version >= 3 else b"*-1\r\n"
        case list():
            return b"*%d\r\n" % len(value) + b"".join(encode(item, version) for item in value)
        case dict():
            inner = b"".join(encode(item, version) for pair in value.items() for item in pair)
            head = b"%%%d\r\n" % len(value) if version >= 3 else b"*%d\r\n" % (2 * len(value))
            return head + inner
    raise TypeError(f"no form for {type(value).__name__}")
