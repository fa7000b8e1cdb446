"""The state of an open request, and the replies for refused and failed requests."""

from __future__ import annotations

import sys

from . import logs
from .clients import Answer
from .resp import Command
from .upstream import Attempt

FAILED = b"-ERR failed\r\n"
ANSWER_MARGIN_MS = 10.0  # reserved for sending the answer to the client
MAX_MARGIN_SHARE = 0.05  # share of the client's wait; bounds ANSWER_MARGIN_MS for short waits


class OpenRequest:
    """A request from its last byte until it is answered and all its attempts have ended."""

    __slots__ = ("answer", "answered", "attempts", "command", "give_up_at", "id", "in_flight")

    def __init__(self, number: int, command: Command, answer: Answer, give_up_at: float) -> None:
        self.id, self.command, self.answer = number, command, answer
        self.give_up_at = give_up_at
        self.answered = False
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # attempts without an outcome yet

    @property
    def state(self) -> str:
        """The state as text, for monitoring."""
        if self.answered:
            return "answered, attempts in flight"
        if self.in_flight:
            return f"{self.in_flight} in flight, attempt {len(self.attempts)}"
        return "held"

    def may_begin(self, attempt: Attempt, now: float) -> bool:
        """Whether a waiting attempt may still be sent at `now` (Unix ms, the balancer's clock)."""
        return (
            not self.answered
            and not attempt.ended
            and now < attempt.wait_until
            and not 0.0 < attempt.deliver_by <= now
        )


def service_time_ms(wait: float, deadline: float) -> float:
    """Milliseconds to serve a request in: the shorter of both arguments less the margin."""
    wait = min(wait, deadline)
    return wait - min(ANSWER_MARGIN_MS, MAX_MARGIN_SHARE * wait)


def refusal(backoff: float) -> bytes:
    """The BUSY reply; a `backoff` below 0.5 ms is left out, and the client chooses its own."""
    return b"-BUSY %d\r\n" % round(backoff) if backoff >= 0.5 else b"-BUSY\r\n"


def log_fault(text: str) -> None:
    """Log an internal error, with the exception being handled, if any."""
    logs.event("requests.fault", what=text, error=sys.exc_info()[1])
