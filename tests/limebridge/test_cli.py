"""A command line imports only the modules of the command that it runs."""

from __future__ import annotations

import subprocess
import sys

import pytest
from typer.testing import CliRunner

from limebridge.cli import COMMANDS, app
from limebridge.lazy_command import LazyCommand
from tests.support.paths import ROOT

LARGE_PACKAGES = ("numpy", "scipy", "matplotlib", "highspy", "textual", "jinja2", "duckdb")
PRINT_LOADED = f"""
import runpy, sys

sys.argv = ["limebridge", *sys.argv[1:]]
try:
    runpy.run_module("limebridge", run_name="__main__")
except SystemExit as end:
    print("exit", end.code)
print("loaded", *(name for name in {LARGE_PACKAGES} if name in sys.modules))
"""


@pytest.mark.parametrize("arguments", [["--help"], ["control", "status", "--help"]])
def test_help_imports_no_large_package(arguments: list[str]) -> None:
    done = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED, *arguments], capture_output=True, text=True, cwd=ROOT
    )
    assert done.stdout.splitlines()[-2:] == ["exit 0", "loaded"], done.stdout + done.stderr


@pytest.mark.parametrize("command", COMMANDS, ids=lambda command: command.name)
def test_the_listed_help_is_the_first_paragraph_of_the_commands_own(command: LazyCommand) -> None:
    loaded = command.load()
    assert loaded.name == command.name
    assert " ".join(loaded.help.partition("\n\n")[0].split("\n")) == command.help


@pytest.mark.parametrize(
    ("arguments", "exit_code", "text"),
    [
        (["--help"], 0, "Control machines: purges and configuration."),
        ([], 2, "Control machines: purges and configuration."),
        (["nonesuch"], 2, "No such command 'nonesuch'"),
        (["controll", "status"], 2, "Did you mean 'control'?"),
        (["control", "nonesuch"], 2, "No such command 'nonesuch'"),
        (["replay"], 2, "Missing argument 'FILE_OR_SEED'"),
        (["rehearse", "--nonesuch"], 2, "No such option: --nonesuch"),
        (["faults", "distribution", "--help"], 0, "Test the distribution of records under faults."),
    ],
)
def test_exit_codes_of_help_and_wrong_arguments(
    arguments: list[str], exit_code: int, text: str
) -> None:
    done = CliRunner().invoke(app, arguments)
    assert done.exit_code == exit_code and text in done.output
