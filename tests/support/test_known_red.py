"""Tests listed in KNOWN-RED.txt may fail, and no others."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = """
def test_good():
    pass

def test_red():
    assert False, "a fault"

def test_other():
    assert False
"""


def run(folder: Path, listed: str, *arguments: str, tests: str = TESTS) -> tuple[int, str]:
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_some.py").write_text(tests)
    (folder / "known_red.py").write_text((HERE / "known_red.py").read_text())
    (folder / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "known_red",
            "-p",
            "no:cacheprovider",
            *arguments,
        ],
        cwd=folder,
        env={"PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("workers", ["0", "2"])
def test_a_listed_test_that_fails_is_expected_and_printed(tmp_path: Path, workers: str) -> None:
    both = "test_some.py::test_red | why | 41\ntest_some.py::test_other | too | 42\n"
    status, output = run(tmp_path, both, "-n", workers)
    assert status == 0 and "1 passed, 2 xfailed" in output
    assert "KNOWN-RED test_some.py::test_red: why (41)" in output
    status, output = run(tmp_path, "test_some.py::test_red | why | 41\n", "-n", workers)
    assert status == 1 and "1 failed, 1 passed, 1 xfailed" in output


def test_any_number_of_tests_may_be_listed(tmp_path: Path) -> None:
    names = [f"test_red_{number}" for number in range(7)]
    tests = "".join(f"def {name}():\n    assert False\n" for name in names)
    listed = "".join(f"test_some.py::{name} | why | 41\n" for name in names)
    status, output = run(tmp_path, listed, tests="def test_good():\n    pass\n" + tests)
    assert status == 0 and "1 passed, 7 xfailed" in output
    assert all(f"KNOWN-RED test_some.py::{name}: why (41)" in output for name in names)


@pytest.mark.parametrize(
    ("listed", "message", "status"),
    [
        ("test_some.py::test_good | why | 41", "passes: remove its line", 1),
        ("test_some.py::test_gone | why | 41", "no such test", 4),
        ("test_gone.py::test_red | why | 41", "no such test", 4),
        ("test_some.py::test_red | why", "not `test id", 4),
        ("test_some.py::test_red | why | 41\n" * 2, "listed twice", 4),
    ],
)
def test_an_outdated_invalid_or_repeated_line_fails_the_run(
    tmp_path: Path, listed: str, message: str, status: int
) -> None:
    exit_status, output = run(tmp_path, listed, tests="def test_good():\n    pass\n")
    assert exit_status == status and message in output
