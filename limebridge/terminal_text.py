"""Text that came from elsewhere, as a terminal may show it."""

from __future__ import annotations


def printable(text: object) -> str:
    """On one line, with control and format characters and lone surrogates as their escapes.

    A name that comes from the network could otherwise move the cursor, rewrite what stands on the
    screen, or set the terminal's title.
    """
    return "".join(
        each if each.isprintable() else each.encode("unicode_escape").decode() for each in str(text)
    )
