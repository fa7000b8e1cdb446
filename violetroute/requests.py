"""A request while it is open, and how a refusal is worded."""

from __future__ import annotations

from .clients import Answer
from .resp import Command
from .upstream import Attempt


class OpenRequest:
    """A request from its last byte until its answer is given and its attempts have ended."""

    __slots__ = ("answer", "answered", "attempts", "command", "give_up_at", "id", "out")

    def __init__(self, number: int, command: Command, answer: Answer, give_up_at: float) -> None:
        self.id, self.command, self.answer = number, command, answer
        self.give_up_at = give_up_at
        self.answered = False
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts without an outcome


def refusal(backoff: float) -> bytes:
    """`backoff` in ms; without one the client decides."""
    return b"-BUSY %d\r\n" % round(backoff) if backoff >= 0.5 else b"-BUSY\r\n"
