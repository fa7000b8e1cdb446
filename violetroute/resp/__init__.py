"""RESP2 without I/O: framing, the platform's commands, and the replies of cache nodes."""

from .commands import Command, CommandError, parse_command, wait_seconds
from .framing import (
    BULK_LIMIT,
    CRLF,
    Array,
    Bulk,
    Decoder,
    Line,
    Piece,
    ProtocolError,
    Token,
    bulk,
)
from .replies import Reply, may_continue_value, parse_report

__all__ = [
    "BULK_LIMIT",
    "CRLF",
    "Array",
    "Bulk",
    "Command",
    "CommandError",
    "Decoder",
    "Line",
    "Piece",
    "ProtocolError",
    "Reply",
    "Token",
    "bulk",
    "may_continue_value",
    "parse_command",
    "parse_report",
    "wait_seconds",
]
