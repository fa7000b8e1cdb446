"""KNOWN-RED.txt: tests that fail for a real fault which is known and not yet mended.

One line each: `test id | cause | issue`, three at most.  They are run like the others.  One that
fails is passed over and printed; one that passes, or is not there, fails the run: then its line is
out of date.
"""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path

import pytest

MOST = 3


def read(path: Path) -> dict[str, str]:
    """What is listed: by test id, its cause and issue."""
    if not path.exists():
        return {}
    listed = {}
    for line in path.read_text().splitlines():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: not `test id | cause | issue`: {line!r}")
        listed[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(listed) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(listed)} tests; {MOST} is the bound")
    return listed


class KnownRed:
    def __init__(self, listed: dict[str, str]) -> None:
        self.listed = listed

    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        found = {item.nodeid for item in items}
        files = {name.partition("::")[0] for name in found}
        for name in self.listed:  # a run of some files alone tells nothing of the others
            file = name.partition("::")[0]
            if name not in found and (file in files or not (config.rootpath / file).exists()):
                raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name}")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        if item.nodeid not in self.listed:
            return report
        if report.failed:
            report.outcome, report.wasxfail = "skipped", self.listed[item.nodeid]
        elif report.when == "call":
            report.outcome = "failed"
            report.longrepr = "listed in KNOWN-RED.txt and passes: take its line out"
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for name, why in self.listed.items():
            terminalreporter.write_line(f"KNOWN-RED {name}: {why}")


def pytest_configure(config: pytest.Config) -> None:
    listed = read(config.rootpath / "KNOWN-RED.txt")
    if listed:
        config.pluginmanager.register(KnownRed(listed), "known-red-tests")
