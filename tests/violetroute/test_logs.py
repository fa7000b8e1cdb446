"""The log: events with names and fields, line limits, and a pipe that is not read."""

from __future__ import annotations

import ast
import asyncio
import contextlib
import fcntl
import json
import logging
import os
import re
import signal
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from limebridge.standins.configuration import environment
from tests.support.paths import ROOT
from tests.support.rig import (
    CacheNode,
    Discovery,
    configuration,
    get,
    read_answer,
    wait_until,
    with_timeout,
)
from violetroute import logs
from violetroute.config import LogTable
from violetroute.logs import DROPPED, EVENTS, FOREIGN, Logs
from violetroute.transport.lines import MAX_LINE, LineWriter


class Written:
    """A sink for log lines, and the clock of the line limits."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.now, self.full = 100.0, False

    def write(self, line: bytes) -> bool:
        if not self.full:
            self.lines.append(line)
        return not self.full

    @property
    def objects(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.lines]


@pytest.fixture
def install() -> Iterator[Callable[..., Written]]:
    root, ours = logging.getLogger(), logging.getLogger("violetroute")
    before, level = root.handlers[:], ours.level

    def made(**table: object) -> Written:
        written = Written()
        settings = LogTable(**({"format": "json"} | table))  # type: ignore[arg-type]
        Logs(written.write, lambda: written.now, lambda: 1.5, settings).install()
        return written

    yield made
    root.handlers[:] = before
    ours.setLevel(level)


def test_an_event_is_one_line_with_its_fields(install: Callable[..., Written]) -> None:
    written = install()
    logs.event("daemon.listens", address="127.0.0.1:1", proxy="n0")
    assert written.objects == [
        {
            "at": "1970-01-01T00:00:01.500Z",
            "level": "info",
            "event": "daemon.listens",
            "says": "listens on",
            "address": "127.0.0.1:1",
            "proxy": "n0",
        }
    ]
    written = install(format="text")
    logs.event("config.unusable", reason="two\nlines = one")
    assert written.lines == [
        b"1970-01-01T00:00:01.500Z ERROR config.unusable not reloaded, the "
        b'old configuration stays: reason="two\\nlines = one"\n'
    ]


def test_lines_of_one_event_are_limited_and_counted(install: Callable[..., Written]) -> None:
    written = install(per_second=3, events={"daemon.drains": 0})
    for _ in range(10):
        logs.event("daemon.paused", ms=1)
        logs.event("daemon.drains", proxy="n0")
    logs.event("daemon.drained", proxy="n0")  # each event has its own limit
    assert [line["event"] for line in written.objects] == ["daemon.paused"] * 3 + ["daemon.drained"]
    written.now += 1.0
    logs.event("daemon.paused", ms=2)
    assert written.objects[-1]["held_back"] == 7


def test_events_below_the_level_are_not_logged(install: Callable[..., Written]) -> None:
    written = install(level="error")
    logs.event("daemon.listens", address="", proxy="")
    logs.event("requests.fault", what="x")
    assert [line["event"] for line in written.objects] == ["requests.fault"]


def test_an_exception_is_logged_with_the_end_of_its_traceback(
    install: Callable[..., Written],
) -> None:
    written = install()

    def deep(level: int) -> None:
        if level:
            deep(level - 1)
        raise ValueError("\x00\x01 at the bottom" * 30)

    try:
        deep(50)
    except ValueError as error:
        logs.event("daemon.fault", what="é\n" * 4000, error=error)
    line = written.lines[0]
    assert line.count(b"\n") == 1 and len(line) <= MAX_LINE
    assert "at the bottom" in str(json.loads(line)["trace"])


@pytest.mark.parametrize("form", ["json", "text"])
@pytest.mark.parametrize(
    "value",
    ["file \udcff", ["file \udcff"], {"\udcff": 1}, Path("/file \udcff"), {1, 2}, 2**80],
    ids=["text", "list", "key", "path", "set", "number"],
)
def test_a_field_that_cannot_be_encoded_is_logged_escaped(
    install: Callable[..., Written], form: str, value: object
) -> None:
    written = install(format=form)
    logs.event("config.unusable", reason=value)
    try:
        raise ValueError("\ud800")
    except ValueError as error:
        logs.event("daemon.fault", what="x", error=error)
    logging.getLogger("asyncio").warning("slow \udcff")
    assert len(written.lines) == 3
    output = b"".join(written.lines).decode()
    assert "config.unusable" in output and "ud800" in output and "slow " in output
    assert ("file" in output) == ("file" in str(value))


def test_messages_of_libraries_are_logged_as_events(install: Callable[..., Written]) -> None:
    written = install()
    logging.getLogger("asyncio").warning("slow %s", "thing")
    (line,) = written.objects
    assert (line["event"], line["text"]) == (FOREIGN, "slow thing")


def test_dropped_lines_are_counted(install: Callable[..., Written]) -> None:
    written = install()
    written.full = True
    for _ in range(4):
        logs.event("daemon.paused", ms=1)
    written.full = False
    logs.event("daemon.drained", proxy="n0")
    assert [line["event"] for line in written.objects] == [DROPPED, "daemon.drained"]
    assert written.objects[0]["lines"] == 4


def test_a_full_pipe_does_not_block() -> None:
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, 4096)
    writer = LineWriter(writing)
    taken = 0
    while writer.write(b"x" * 99 + b"\n"):
        taken += 1
        assert taken < 100
    assert os.read(reading, 8192).count(b"\n") == taken > 0
    assert writer.write(b"again\n")
    os.close(reading)
    assert not writer.write(b"to nobody\n")
    os.close(writing)


def used_events() -> dict[str, set[str]]:
    """Every event that the daemon's sources log, with the fields it is given."""
    found: dict[str, set[str]] = {}
    for path in (ROOT / "violetroute").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and ast.unparse(node.func) == "logs.event":
                assert isinstance(node.args[0], ast.Constant), path
                names = {word.arg or "" for word in node.keywords} - {"error"}
                found.setdefault(str(node.args[0].value), set()).update(names)
    return found


def test_events_sources_and_the_operators_page_agree() -> None:
    used = used_events()
    own = {DROPPED: {"lines"}, FOREIGN: {"text"}}  # logged by the handler itself
    assert used | own == {name: set(event.fields) for name, event in EVENTS.items()}
    page = (ROOT / "docs" / "operators" / "logs.md").read_text()
    rows = re.findall(r"^\| `([a-z_]+\.[a-z_]+)` \| (\w+) \| ([^|]*) \|", page, re.MULTILINE)
    documented = {
        name: (level, set(re.findall(r"`(\w+)`", fields))) for name, level, fields in rows
    }
    assert documented == {
        name: (logging.getLevelName(event.level).lower(), set(event.fields))
        for name, event in EVENTS.items()
    }


def test_the_distribution_page_names_every_distribution_event() -> None:
    page = (ROOT / "docs" / "operators" / "distribution.md").read_text()
    rows = re.findall(r"^\| `((?:distribution|control)\.[a-z_]+)` \|", page, re.MULTILINE)
    events = [name for name in EVENTS if name.split(".")[0] in ("distribution", "control")]
    assert sorted(rows) == sorted(events)
    named = set(re.findall(r"\b(?:distribution|control)\.[a-z_]+\b(?!\.md)", page))
    assert named - {"distribution.md"} <= set(events)


def test_an_unread_log_and_an_invalid_file_do_not_stop_the_daemon(tmp_path: Path) -> None:
    async def scenario() -> None:
        node, discovery = await CacheNode().start(), await Discovery().start()
        raw = configuration(discovery.port, [node.entry("s-0")])
        config, operator = tmp_path / "config.json", tmp_path / "operator.toml"
        config.write_text(json.dumps(raw))
        operator.write_text("[log]\nper_second = 10000")
        reading, writing = os.pipe()
        fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, 4096)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.support.program_without_lag",  # no command is rejected on a busy machine
            "--operator",
            str(operator),
            cwd=ROOT,
            stderr=writing,
            env=environment(config),
        )
        os.close(writing)
        output = bytearray()
        os.set_blocking(reading, False)

        def listens() -> re.Match[bytes] | None:
            with contextlib.suppress(BlockingIOError):
                output.extend(os.read(reading, 65536))
            return re.search(rb"listens on: address=[\d.]+:(\d+)", output)

        try:
            await wait_until(listens)
            match = listens()
            assert match is not None
            reader, writer = await with_timeout(asyncio.open_connection("127.0.0.1", int(match[1])))
            operator.write_text("[log]\nper_secnd = 1\n[limits]\ndepth = 1")
            for number in range(60):  # more lines than the pipe holds
                process.send_signal(signal.SIGHUP)
                writer.write(get(number))
                assert await read_answer(reader) == b"value of id%d" % number
            os.set_blocking(reading, False)
            output.clear()
            listens()
            assert b"per_secnd" in output and b"did you mean per_second?" in output
            process.terminate()
            assert await with_timeout(process.wait()) == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            os.close(reading)
            await node.stop()
            await discovery.stop()

    asyncio.run(scenario())
