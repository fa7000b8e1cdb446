"""Copies of this build with changes that a next release may have, or must not have."""

from __future__ import annotations

import ast
from pathlib import Path

from limebridge.experiments.builds import build_folder
from limebridge.experiments.plan import THIS_CHECKOUT

ADDED = '    added: str = "a field of the next build"'
MESSAGES = Path("violetroute/distribution/messages.py")
LOG_STATE = Path("violetroute/distribution/log_state.py")
SESSIONS = Path("violetroute/distribution/sessions.py")
BASES = {MESSAGES: "Message", LOG_STATE: "_Frame"}


def copy_of_this_build(under: Path) -> Path:
    """Copy this build; returns the folder of the copy."""
    return build_folder(THIS_CHECKOUT, under)


def next_build(under: Path) -> Path:
    """A copy in which every message and every stored frame has one more field."""
    copy = copy_of_this_build(under)
    for path, base in BASES.items():
        add_fields(copy / path, base)
    return copy


def add_fields(path: Path, base: str) -> None:
    """Add a field at the end of each class with this base."""
    text = path.read_text()
    lines = text.splitlines()
    end_lines = [
        node.end_lineno or 0
        for node in ast.parse(text).body
        if isinstance(node, ast.ClassDef) and base in {ast.unparse(each) for each in node.bases}
    ]
    assert len(end_lines) > 5
    for end in sorted(end_lines, reverse=True):
        lines.insert(end, ADDED)
    path.write_text("\n".join(lines) + "\n")


def build_with_another_disk(under: Path) -> Path:
    """A copy that stores batches in another format, and can read that of this build as well."""
    copy = copy_of_this_build(under)
    earlier = 'class _Earlier(_Batches, tag="b"):\n    """As this build has them."""\n\n\n'
    replace_text(
        copy / LOG_STATE,
        {
            'class _Batches(_Frame, frozen=True, tag="b"):': 'class _Batches(_Frame, tag="n"):',
            "class _Truncate(": f"{earlier}class _Truncate(",
            "_StoredChange = _Promise |": "_StoredChange = _Earlier | _Promise |",
        },
    )
    return copy


def build_with_other_messages(under: Path) -> Path:
    """A copy whose messages are maps and not arrays."""
    copy = copy_of_this_build(under)
    replace_text(copy / MESSAGES, {"frozen=True, array_like=True, gc=False": "frozen=True"})
    return copy


def replace_text(path: Path, changes: dict[str, str]) -> None:
    """Replace texts in a file, each of which must occur exactly once."""
    text = path.read_text()
    for old, new in changes.items():
        assert text.count(old) == 1, old
        text = text.replace(old, new)
    path.write_text(text)
