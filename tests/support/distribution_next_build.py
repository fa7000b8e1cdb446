"""Copies of this build that differ from it as a next release may, or as one must not."""

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
    """The folder of a copy."""
    return build_folder(THIS_CHECKOUT, under)


def next_build(under: Path) -> Path:
    """A copy in which every message, and all that is stored, has one field more."""
    place = copy_of_this_build(under)
    for path, base in BASES.items():
        add_fields(place / path, base)
    return place


def add_fields(path: Path, base: str) -> None:
    """One more field at the end of each class of this base."""
    text = path.read_text()
    lines = text.splitlines()
    ends = [
        node.end_lineno or 0
        for node in ast.parse(text).body
        if isinstance(node, ast.ClassDef) and base in {ast.unparse(each) for each in node.bases}
    ]
    assert len(ends) > 5
    for end in sorted(ends, reverse=True):
        lines.insert(end, ADDED)
    path.write_text("\n".join(lines) + "\n")


def build_with_another_disk(under: Path) -> Path:
    """A copy that stores batches in another form, and reads that of this build too."""
    place = copy_of_this_build(under)
    earlier = 'class _Earlier(_Batches, tag="b"):\n    """As this build has them."""\n\n\n'
    replace_text(
        place / LOG_STATE,
        {
            'class _Batches(_Frame, frozen=True, tag="b"):': 'class _Batches(_Frame, tag="n"):',
            "class _Truncate(": f"{earlier}class _Truncate(",
            "_StoredChange = _Promise |": "_StoredChange = _Earlier | _Promise |",
        },
    )
    return place


def build_with_other_messages(under: Path) -> Path:
    """A copy whose messages are maps and not arrays."""
    place = copy_of_this_build(under)
    replace_text(place / MESSAGES, {"frozen=True, array_like=True, gc=False": "frozen=True"})
    return place


def replace_text(path: Path, changes: dict[str, str]) -> None:
    """Each has to stand there once."""
    text = path.read_text()
    for before, after in changes.items():
        assert text.count(before) == 1, before
        text = text.replace(before, after)
    path.write_text(text)
