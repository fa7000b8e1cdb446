"""One-line texts of exceptions, for log fields and error replies."""

from __future__ import annotations


def one_line(error: BaseException) -> str:
    """The message of `error` without line breaks, or the name of its class if it has none."""
    return " ".join(str(error).split()) or type(error).__name__
