"""Which path carries which message, and how requests and replies are encoded.

MessagePack bodies; a request's type follows from its path, a reply's type from its request's.
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
    """A body that is not the message of its path, or a path that there is not."""


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
    """Where to post it."""
    return _ROUTES[type(message)].path


def decode_request(path: str, body: bytes) -> AnyRequest:
    """UnreadableError for an unknown path, or a body that is not its message."""
    route = _BY_PATH.get(path)
    if route is None:
        raise UnreadableError(path)
    try:
        request: AnyRequest = route.request.decode(body)
    except _UNREADABLE as error:
        raise UnreadableError(f"{path}: {error}") from None
    return request


def decode_reply(request: AnyRequest, body: bytes | None) -> Any:
    """The reply to such a request; None for no body, or one that is not its reply."""
    if body is None:
        return None
    try:
        return _ROUTES[type(request)].reply.decode(body)
    except _UNREADABLE:
        return None
