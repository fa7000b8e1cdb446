"""Event names in the control file's `[log] events` are validated as in the operator file."""

from __future__ import annotations

import logging
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from limebridge.control.process import ControlMachines
from limebridge.ports import free_ports
from violetroute.config import ConfigError, LogTable
from violetroute.config.operator import load_operator
from violetroute.distribution import __main__ as control_main
from violetroute.distribution.control_file import load_control_file
from violetroute.logs import Logs

UNKNOWN = {"control.reload": 1.0}
HINT = "[log.events] control.reload: unknown event; did you mean control.reloaded?"


def written(folder: Path, log: dict[str, Any]) -> Path:
    """Writes a control file with this `[log]` table."""
    machines = ControlMachines(folder, free_ports(1))
    if not machines.folder.joinpath("c0").exists():
        machines.write()
    path = folder / "control.toml"
    path.write_text(tomli_w.dumps(machines.table(0) | {"log": log}))
    return path


@pytest.fixture
def process_state() -> Iterator[None]:
    """Restores the SIGHUP handler and log handlers that `main` replaces."""
    hangup, handlers = signal.getsignal(signal.SIGHUP), logging.getLogger().handlers[:]
    yield
    signal.signal(signal.SIGHUP, hangup)
    logging.getLogger().handlers[:] = handlers


@pytest.mark.usefixtures("process_state")
def test_an_unknown_event_is_one_line_and_exit_code_2(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def serve(*_: object) -> int:
        return 0

    monkeypatch.setattr(control_main, "serve", serve)
    path = written(tmp_path, {"events": UNKNOWN})
    code = control_main.main([str(path)])
    out, err = capfd.readouterr()
    assert (code, out) == (2, "")
    assert err.count("\n") == 1 and f"{path}: {HINT}" in err


def test_control_and_operator_file_report_the_same_error(tmp_path: Path) -> None:
    control = written(tmp_path, {"events": UNKNOWN})
    operator = tmp_path / "operator.toml"
    operator.write_text(tomli_w.dumps({"log": {"events": UNKNOWN}}))
    with pytest.raises(ConfigError) as of_control:
        load_control_file(str(control))
    with pytest.raises(ConfigError) as of_operator:
        load_operator(str(operator))
    assert str(of_control.value) == f"{control}: {HINT}"
    assert str(of_operator.value) == f"{operator}: {HINT}"


def test_sighup_with_an_unknown_event_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = written(tmp_path, {"events": {"control.reloaded": 2.0}})
    taken: list[LogTable] = []

    class Recorder(Logs):
        def configure(self, table: LogTable) -> None:
            taken.append(table)

    recorder = Recorder(lambda _: True, lambda: 0.0, lambda: 0.0, LogTable())
    taken.clear()
    reloader = control_main.Reloader(str(path), load_control_file(str(path)), recorder)
    written(tmp_path, {"events": UNKNOWN})
    with caplog.at_level(logging.INFO, "violetroute"):
        reloader.reload()
    assert taken == []
    (unusable,) = [r for r in caplog.records if getattr(r, "event", "") == "config.unusable"]
    assert HINT in unusable.fields["reason"]  # type: ignore[attr-defined]
