"""Names from the network cannot send control sequences to the operator's terminal."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.control import command
from limebridge.control.control_client import NoAnswerError
from limebridge.fleet import introspection
from limebridge.terminal_text import printable
from violetroute.distribution.messages import Lagging, LogPoint, StatusReply

# Set title, clear screen, single-character CSI, line breaks, right-to-left override.
CONTROL_SEQUENCES = "\x1b]0;x\x07\x1b[2J\x9b1A\r\n\u202e"
ESCAPED = r"\x1b]0;x\x07\x1b[2J\x9b1A\r\n\u202e"


def is_printable(output: str) -> bool:
    """Whether the output holds only printable characters and line feeds."""
    return all(line.isprintable() for line in output.split("\n"))


def test_unprintable_characters_are_escaped() -> None:
    assert printable(CONTROL_SEQUENCES) == ESCAPED
    assert printable("\ud800 [red] pröxy ü") == r"\ud800 [red] pröxy ü"


def run(*arguments: str) -> str:
    return CliRunner().invoke(app, list(arguments)).output


@pytest.fixture
def control(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Arguments of `control status` with a key file; the terminal is wide."""
    monkeypatch.setenv("COLUMNS", "400")
    key = tmp_path / "key"
    key.write_text("k" * 32 + "\n")
    return ["control", "status", "--machine", "127.0.0.1:1", "--key-file", str(key)]


@pytest.mark.parametrize("recovering", [False, True])
def test_control_status_escapes_names(
    control: list[str], monkeypatch: pytest.MonkeyPatch, recovering: bool
) -> None:
    name = f"n{CONTROL_SEQUENCES}"
    reply = StatusReply(
        replica=name,
        leader=name,
        fence=1,
        log=name,
        last=LogPoint(1, 1),
        commit=1,
        applied=1,
        in_force=1,
        sessions=1,
        stale=0,
        lagging=(Lagging(name, name, name, 1, 0.0, stale=True),),
        refused=((name, 1, name),),
        replicas=((name, 1, 0.0), (f"o{CONTROL_SEQUENCES}", 1, -1.0)),
        recovering=recovering,
    )

    async def answer(*_: object) -> StatusReply:
        return reply

    monkeypatch.setattr(command, "leaders_status", answer)
    output = run(*control)
    assert is_printable(output) and f"n{ESCAPED}" in output
    output = run(*control, "--json")
    assert is_printable(output) and output.isascii() and json.loads(output)["replica"] == name


def test_control_errors_are_escaped(control: list[str], monkeypatch: pytest.MonkeyPatch) -> None:
    async def answer(*_: object) -> StatusReply:
        raise NoAnswerError(CONTROL_SEQUENCES)

    monkeypatch.setattr(command, "leaders_status", answer)
    output = run(*control)
    assert is_printable(output) and ESCAPED in output


def test_fleet_members_escapes_names(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    name = f"n[red]{CONTROL_SEQUENCES}"
    member = dict.fromkeys(("name", "state", "address", "zone", "life"), name)
    view: dict[str, Any] = {
        "name": name,
        "members": [member | {"since_s": 1, "heard_s": None}],
        "health": 0,
        "twin": False,
        "sent": 0,
        "received": 0,
        "refused": 0,
    }
    monkeypatch.setattr(introspection, "_query", lambda *_: view)
    monkeypatch.setenv("COLUMNS", "400")
    output = run("fleet", "members", "--operator", str(tmp_path / "operator.toml"))
    assert is_printable(output) and output.count(f"n[red]{ESCAPED}") == 6
