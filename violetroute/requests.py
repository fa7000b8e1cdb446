"""A request while it is open, and how refusals, failures and faults are worded."""

from __future__ import annotations

import sys

from . import logs
from .clients import Answer
from .resp import Command
from .upstream import Attempt

FAILED = b"-ERR failed\r\n"
ANSWER_MARGIN = 10.0  # ms before the client's time is up, for the answer's own way to it
MARGIN_SHARE = 0.05  # of that time at most


class OpenRequest:
    """A request from its last byte until its answer is given and its attempts have ended."""

    __slots__ = ("answer", "answered", "attempts", "command", "give_up_at", "id", "out")

    def __init__(self, number: int, command: Command, answer: Answer, give_up_at: float) -> None:
        self.id, self.command, self.answer = number, command, answer
        self.give_up_at = give_up_at
        self.answered = False
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts without an outcome

    @property
    def state(self) -> str:
        """How it stands, in words."""
        if self.answered:
            return "answered, attempts out"
        if self.out:
            return f"{self.out} out, try {len(self.attempts)}"
        return "held"

    def may_begin(self, attempt: Attempt, now: float) -> bool:
        """Whether an attempt that has waited may still be sent; `now` as the module knows it."""
        return (
            not self.answered
            and not attempt.ended
            and now < attempt.wait_until
            and not 0.0 < attempt.deliver_by <= now
        )


def service_time_ms(wait: float, deadline: float) -> float:
    """ms that are used of what a client waits for, at most its class's deadline."""
    wait = min(wait, deadline)
    return wait - min(ANSWER_MARGIN, MARGIN_SHARE * wait)


def refusal(backoff: float) -> bytes:
    """`backoff` in ms; without one the client decides."""
    return b"-BUSY %d\r\n" % round(backoff) if backoff >= 0.5 else b"-BUSY\r\n"


def log_fault(text: str) -> None:
    """Log a fault of ours, with the exception that is being handled, if there is one."""
    logs.event("requests.fault", what=text, error=sys.exc_info()[1])
