"""Makes untrusted text safe to print on a terminal."""

from __future__ import annotations


def printable(text: object) -> str:
    """The text on one line, with control and format characters and lone surrogates escaped.

    Otherwise a name from the network could move the cursor, rewrite text on the screen or set the
    terminal's title.
    """
    return "".join(
        each if each.isprintable() else each.encode("unicode_escape").decode() for each in str(text)
    )
