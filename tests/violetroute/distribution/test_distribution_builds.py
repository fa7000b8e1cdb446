"""Adjacent builds understand each other if any message has one field more or fewer."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from tests.support.rig import wait_until
from tests.violetroute.distribution.test_distribution_service import (
    ScriptedControl,
    ok,
    purges,
    subscribed,
)
from violetroute.distribution import messages
from violetroute.distribution.messages import (
    Batch,
    Destination,
    Fetch,
    FetchReply,
    Lagging,
    LogPoint,
    Message,
    Poll,
    PollReply,
    Prepare,
    Promise,
    Publish,
    Published,
    Record,
    Report,
    ReportReply,
    SessionState,
    Snapshot,
    StatusReply,
    StatusRequest,
    Topic,
)
from violetroute.distribution.routes import encode

POINT = LogPoint(3, 7)
RECORD = Record(Topic.CONFIGURATION, "log", b"level = 'info'")
BATCH = Batch(7, 3, 1_000, (RECORD,))
DESTINATION = Destination("c1", "log")
SNAPSHOT = Snapshot(POINT, (RECORD,))
SESSION = SessionState("p0", "i0", "north", 7, ((6, "why"),))
LAGGING = Lagging("p0", "i0", "north", 5, 1.5, True)
RAW = msgspec.Raw(encode(BATCH))
SAMPLES: list[Message] = [
    POINT,
    RECORD,
    BATCH,
    SNAPSHOT,
    SESSION,
    LAGGING,
    DESTINATION,
    Prepare("c0", 3, DESTINATION),
    Promise(True, 3, POINT, 6, True),
    Fetch("c1", 3, POINT, 6, True, True, 9, DESTINATION),
    FetchReply(0, 3, "c0", 7, (BATCH,), 5, SNAPSHOT, 9, 7),
    Report("c1", "i1", 3, 2, True, (SESSION,), (("p1", "i2"),), 12.0, DESTINATION),
    ReportReply(True, 3, 7, 15.0, True),
    Poll("p0", "i0", "north", "log", 7, ((6, "why"),)),
    PollReply(0, "log", 7, 15.0, (RAW,), SNAPSHOT),
    Publish("id", (RECORD,)),
    Published(0, 7, 3, "c0", 100.0),
    StatusRequest(5),
    StatusReply(
        "c0",
        "c0",
        3,
        "log",
        POINT,
        7,
        7,
        7,
        2,
        1,
        (LAGGING,),
        (("p0", 6, "why"),),
        (("c1", 7, 0.1),),
    ),
]


def next_build(message: Message) -> Message:
    """The message as sent by a later build, which has one more field."""
    kind = type(message)
    later = msgspec.defstruct(
        f"Next{kind.__name__}",
        [("added", dict[str, str], msgspec.field(default_factory=lambda: {"a": "field"}))],
        bases=(kind,),
        frozen=True,
        array_like=True,
    )
    made: Message = later(**{name: getattr(message, name) for name in kind.__struct_fields__})
    return made


def test_every_message_type_has_a_sample() -> None:
    kinds = {kind for kind in vars(messages).values() if isinstance(kind, type)}
    known = {kind for kind in kinds if issubclass(kind, Message) and kind is not Message}
    assert known == {type(sample) for sample in SAMPLES}


@pytest.mark.parametrize("sample", SAMPLES, ids=lambda sample: type(sample).__name__)
def test_a_field_that_a_later_build_adds_is_ignored(sample: Message) -> None:
    body = encode(next_build(sample))
    assert len(body) > len(encode(sample))
    assert msgspec.msgpack.decode(body, type=type(sample)) == sample


@pytest.mark.parametrize("sample", SAMPLES, ids=lambda sample: type(sample).__name__)
def test_a_field_that_an_earlier_build_lacks_gets_its_default(sample: Message) -> None:
    fields: list[Any] = msgspec.msgpack.decode(encode(sample))
    kind = type(sample)
    optional = len(msgspec.structs.fields(kind)) - sum(
        field.required for field in msgspec.structs.fields(kind)
    )
    for missing in range(1, optional + 1):
        decoded = msgspec.msgpack.decode(encode(fields[:-missing]), type=kind)
        names = kind.__struct_fields__
        for name in names[:-missing]:
            assert getattr(decoded, name) == getattr(sample, name)
        for field in msgspec.structs.fields(kind)[-missing:]:
            assert getattr(decoded, field.name) == field.default


def test_a_proxy_understands_a_control_machine_of_the_next_build() -> None:
    later_batch = next_build(purges(1, "a"))
    later_reply = msgspec.structs.replace(
        ok(commit=1), batches=(msgspec.Raw(encode(later_batch)),), commit=1
    )

    async def scenario() -> None:
        control = ScriptedControl(encode(next_build(later_reply)), ok(purges(2, "b")))
        async with subscribed(control) as (service, receiver):
            await wait_until(lambda: len(control.polls) == 3)
            assert receiver.keys == ["a", "b"]
            assert service.subscriber.position == 2
            assert control.polls[-1].position == 2

    asyncio.run(scenario())
