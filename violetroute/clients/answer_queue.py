"""The answers of one connection, written in the order of its commands."""

from __future__ import annotations

from collections import deque

from .answers import Answer, AnsweringConnection
from .budget import REQUEST_OVERHEAD, Budget
from .output import Output


class AnswerQueue:
    """Holds each answer until it is finished, all earlier ones are written, and there is room."""

    __slots__ = ("_answers", "_budget", "_flushing", "_output")

    def __init__(self, output: Output, budget: Budget) -> None:
        self._output, self._budget = output, budget
        self._answers: deque[Answer] = deque()
        self._flushing = False

    def __len__(self) -> int:
        return len(self._answers)

    def new(self, connection: AnsweringConnection) -> Answer:
        """The answer of the latest command of `connection`, behind all others."""
        answer = Answer(connection)
        answer.charge = REQUEST_OVERHEAD
        self._budget.hold(REQUEST_OVERHEAD)
        self._answers.append(answer)
        return answer

    def write_first(self, answer: Answer, parts: tuple[bytes | bytearray, ...]) -> bool:
        """Write this answer at once if it is the next; False if it has to be queued."""
        if not self._answers or self._answers[0] is not answer:
            return False
        if self._flushing or self._output.blocked:
            return False
        self._answers.popleft()
        self._output.write(*parts)
        return True

    def flush(self) -> bool:
        """Write the finished answers until the kernel takes no more; whether any was written."""
        if self._flushing:
            return False
        self._flushing = True
        progressed = False
        while self._answers and not self._output.blocked and self._answers[0].done:
            data = self._answers.popleft().take_unwritten()
            self._budget.release(len(data))
            self._output.write(data)
            progressed = True
        self._flushing = False
        return progressed

    def clear(self) -> list[Answer]:
        """Remove all answers, and return them."""
        answers = list(self._answers)
        self._answers.clear()
        return answers
