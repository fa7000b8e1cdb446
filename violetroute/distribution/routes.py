"""Maps messages to HTTP paths, and encodes and decodes requests and replies.

Bodies are MessagePack.  The path determines a request's type, and that the type of its reply.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from .messages import (
    Fetch,
    FetchReply,
    Message,
    Poll,
    PollReply,
    Prepare,
    Promise,
    Publish,
    Published,
    Report,
    ReportReply,
    StatusReply,
    StatusRequest,
)

AnyRequest = Prepare | Fetch | Report | Poll | Publish | StatusRequest


class UnreadableError(Exception):
    """The path is unknown, or the body is not a valid message for it."""


@dataclass(frozen=True, slots=True)
class _Route:
    path: str
    request: msgspec.msgpack.Decoder[Any]
    reply: msgspec.msgpack.Decoder[Any]


def _route(path: str, request: type[Message], reply: type[Message]) -> _Route:
    return _Route(path, msgspec.msgpack.Decoder(request), msgspec.msgpack.Decoder(reply))


_ROUTES: dict[type[Message], _Route] = {
    Poll: _route("/poll", Poll, PollReply),
    Fetch: _route("/fetch", Fetch, FetchReply),
    Report: _route("/report", Report, ReportReply),
    Prepare: _route("/prepare", Prepare, Promise),
    Publish: _route("/publish", Publish, Published),
    StatusRequest: _route("/status", StatusRequest, StatusReply),
}
_BY_PATH = {route.path: route for route in _ROUTES.values()}

encode = msgspec.msgpack.Encoder().encode
_UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def path_of(message: AnyRequest) -> str:
    """The path that the message is posted to."""
    return _ROUTES[type(message)].path


def decode_request(path: str, body: bytes) -> AnyRequest:
    """Decode a request.  Raises UnreadableError for an unknown path or an invalid body."""
    route = _BY_PATH.get(path)
    if route is None:
        raise UnreadableError(path)
    try:
        request: AnyRequest = route.request.decode(body)
    except _UNREADABLE as error:
        raise UnreadableError(f"{path}: {error}") from None
    return request


def decode_reply(request: AnyRequest, body: bytes | None) -> Any:
    """Decode the reply to `request`.  None if there is no body or it is not a valid reply."""
    if body is None:
        return None
    try:
        return _ROUTES[type(request)].reply.decode(body)
    except _UNREADABLE:
        return None
