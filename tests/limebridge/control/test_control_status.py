"""Output of `limebridge control status`, as text and as JSON."""

from __future__ import annotations

import json
import re
from collections.abc import Callable

import msgspec
import pytest
from typer.testing import CliRunner, Result

from limebridge.cli import app
from limebridge.control import command
from limebridge.control.control_client import Machines
from limebridge.control.status_json import LaggingProxy, Refusal, Replica, StatusObject
from tests.support.paths import ROOT
from violetroute.distribution.messages import Lagging, LogPoint, StatusReply, StatusRequest
from violetroute.distribution.status import ControlStatus, ServiceStatus

REPLY = StatusReply(
    replica="c0[bold]",
    leader="c0[bold]",
    fence=3,
    log="[red]log",
    last=LogPoint(3, 9),
    commit=9,
    applied=7,
    in_force=6,
    sessions=2,
    stale=1,
    lagging=(Lagging("p1 [north]", "i1", "[blue]", 7, 1.5, stale=True),),
    refused=(("p2[/]", 8, "[log] level: :warning: [/bold]"),),
    replicas=(("c0[bold]", 9, 0.0), ("c1", 8, 0.25)),
)

RECOVERING = StatusReply(
    replica="c1",
    leader="c0",
    fence=3,
    log="log",
    last=LogPoint(3, 9),
    commit=9,
    applied=0,
    in_force=0,
    sessions=0,
    stale=0,
    replicas=(("c1", 9, 0.0), ("c0", 0, 1.25), ("c2[bold]", 0, -1.0), ("c3", 0, -1.0)),
    recovering=True,
)


@pytest.fixture
def replies() -> list[StatusReply]:
    """Holds the status reply that `show_status` receives; a test may replace it."""
    return [REPLY]


@pytest.fixture
def show_status(
    monkeypatch: pytest.MonkeyPatch, tmp_path: object, replies: list[StatusReply]
) -> Callable[..., Result]:
    """Returns a function that runs `control status` and receives `replies[0]`."""

    async def answer(machines: Machines, request: StatusRequest) -> StatusReply:
        return replies[0]

    monkeypatch.setattr(command, "leaders_status", answer)
    monkeypatch.setenv("COLUMNS", "200")
    key = f"{tmp_path}/key"
    with open(key, "w") as file:
        file.write("k" * 32 + "\n")

    def run(*more: str) -> Result:
        arguments = ["control", "status", "--machine", "127.0.0.1:1", "--key-file", key]
        return CliRunner().invoke(app, [*arguments, *more])

    return run


def test_square_brackets_are_not_markup(show_status: Callable[..., Result]) -> None:
    done = show_status()
    assert done.exit_code == 0, done.output
    for text in (
        "c0[bold] leads, fence 3, log [red]log",
        "p1 [north]",
        "[blue]",
        "p2[/]",
        "[log] level: :warning: [/bold]",
    ):
        assert text in done.output


def test_the_json_object_names_every_field(show_status: Callable[..., Result]) -> None:
    done = show_status("--json")
    assert done.exit_code == 0 and done.output.count("\n") == 1
    assert json.loads(done.output) == {
        "replica": "c0[bold]",
        "leader": "c0[bold]",
        "fence": 3,
        "log": "[red]log",
        "last": 9,
        "commit": 9,
        "applied": 7,
        "in_force": 6,
        "sessions": 2,
        "stale": 1,
        "lagging": [
            {
                "name": "p1 [north]",
                "incarnation": "i1",
                "region": "[blue]",
                "position": 7,
                "behind_s": 1.5,
                "stale": True,
            }
        ],
        "refused": [{"name": "p2[/]", "position": 8, "reason": "[log] level: :warning: [/bold]"}],
        "replicas": [
            {"name": "c0[bold]", "position": 9, "heard_s": 0.0},
            {"name": "c1", "position": 8, "heard_s": 0.25},
        ],
        "recovering": False,
    }


def words_by_line(done: Result) -> list[list[str]]:
    """Checks the exit code and returns the words of each output line."""
    assert done.exit_code == 0, done.output
    return [line.split() for line in done.output.splitlines()]


def test_a_recovering_machine_shows_which_promises_are_missing(
    show_status: Callable[..., Result], replies: list[StatusReply]
) -> None:
    replies[0] = RECOVERING
    assert words_by_line(show_status())[2:] == [
        ["recovery", "waits", "for", "a", "promise", "of", "c2[bold],", "c3"],
        ["replica", "promise", "told"],
        ["c0", "1.2", "s", "ago"],
        ["c2[bold]", "not", "yet"],
        ["c3", "not", "yet"],
    ]


def test_a_recovering_machine_with_all_promises_waits_for_the_leaders_log(
    show_status: Callable[..., Result], replies: list[StatusReply]
) -> None:
    promises = (("c1", 9, 0.0), ("c0", 0, 1.25))
    replies[0] = msgspec.structs.replace(RECOVERING, replicas=promises)
    assert words_by_line(show_status())[2:] == [
        ["recovery", "waits", "for", "the", "leader's", "whole", "log"],
        ["replica", "promise", "told"],
        ["c0", "1.2", "s", "ago"],
    ]


def test_a_follower_shows_only_its_own_log(
    show_status: Callable[..., Result], replies: list[StatusReply]
) -> None:
    replies[0] = msgspec.structs.replace(RECOVERING, recovering=False, replicas=())
    assert len(words_by_line(show_status())) == 2


def fields_of(record: type[msgspec.Struct]) -> set[str]:
    """The JSON keys of a record and of the records nested in it."""
    names = set(record.__struct_fields__)
    inner = (LaggingProxy, Refusal, Replica) if record is StatusObject else ()
    return names.union(*(each.__struct_fields__ for each in inner))


@pytest.mark.parametrize("record", [StatusObject, ServiceStatus, ControlStatus])
def test_the_operators_page_documents_every_json_key(record: type[msgspec.Struct]) -> None:
    page = ROOT / "docs" / "operators" / "distribution.md"
    rows = [line for line in page.read_text().splitlines() if line.startswith("| ")]
    named = set(re.findall(r"`([a-z_]+)`", "\n".join(rows)))
    assert fields_of(record) <= named
