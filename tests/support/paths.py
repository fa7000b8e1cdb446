"""The folders that tests read files from or run commands in."""

from __future__ import annotations

from pathlib import Path

TESTS = Path(__file__).resolve().parents[1]
ROOT = TESTS.parent
