"""Pytest plugin for KNOWN-RED.txt, the list of tests that fail for a known fault not fixed yet.

Each line is `test id | cause | issue`, and each test has one line.  The tests run like all others.
If a listed test fails, it is reported as an expected failure and its line is printed.  If it passes
or does not exist, the run fails, since its line is outdated.
"""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path

import pytest


def read(path: Path) -> dict[str, str]:
    """The cause and issue of each listed test, by test id.  Raises pytest.UsageError."""
    if not path.exists():
        return {}
    listed = {}
    for line in path.read_text().splitlines():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: not `test id | cause | issue`: {line!r}")
        if parts[0] in listed:
            raise pytest.UsageError(f"{path.name}: listed twice: {parts[0]}")
        listed[parts[0]] = f"{parts[1]} ({parts[2]})"
    return listed


class KnownRed:
    """The hooks; registered only if a test is listed."""

    def __init__(self, listed: dict[str, str]) -> None:
        self.listed = listed

    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        found = {item.nodeid for item in items}
        files = {test_id.partition("::")[0] for test_id in found}
        # A run of some files does not show whether the tests of other files exist.
        for test_id in self.listed:
            file = test_id.partition("::")[0]
            if test_id not in found and (file in files or not (config.rootpath / file).exists()):
                raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {test_id}")

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
            report.longrepr = "listed in KNOWN-RED.txt and passes: remove its line"
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for test_id, reason in self.listed.items():
            terminalreporter.write_line(f"KNOWN-RED {test_id}: {reason}")


def pytest_configure(config: pytest.Config) -> None:
    listed = read(config.rootpath / "KNOWN-RED.txt")
    if listed:
        config.pluginmanager.register(KnownRed(listed), "known-red-tests")
