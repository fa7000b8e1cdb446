"""The actions of one event, in order, and the tickets under which their results come back."""

from __future__ import annotations

from dataclasses import dataclass

from .actions import Action, Answer, Change, Notice, Persist, Request, Response, Send
from .replica import Replica


@dataclass(frozen=True, slots=True)
class _Owed:
    """An answer that has to wait until a persist is done."""

    persist: int
    answer: Answer


class Outbox:
    """Shared by the parts of one machine."""

    __slots__ = ("_actions", "_last_persist", "_owed", "_replica", "last_ticket")

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._actions: list[Action] = []
        self._owed: list[_Owed] = []
        self.last_ticket = 0
        self._last_persist = 0

    def take(self) -> list[Action]:
        """What has been added since the last call."""
        taken, self._actions = self._actions, []
        return taken

    def add(self, action: Action) -> None:
        """Any action that needs no ticket."""
        self._actions.append(action)

    def notice(self, event: str, **fields: str | int | float) -> None:
        """A line of the log."""
        self._actions.append(Notice(event, tuple(fields.items())))

    def answer(self, ticket: int, message: Response) -> None:
        """The response to a request."""
        self._actions.append(Answer(ticket, message))

    def send(self, to: str, message: Request, timeout_s: float) -> int:
        """A request to another machine; the ticket under which the reply comes."""
        self.last_ticket += 1
        self._actions.append(Send(self.last_ticket, to, message, timeout_s))
        return self.last_ticket

    def persist(self, changes: tuple[Change, ...]) -> None:
        """Changes that the replica has made in memory.  Nothing is done for none."""
        if not changes:
            return
        self.last_ticket += 1
        self._last_persist = self.last_ticket
        self._replica.persist_started(self.last_ticket)
        self._actions.append(Persist(self.last_ticket, changes))

    def answer_when_durable(self, ticket: int, message: Response) -> None:
        """A response that has to wait until all changes so far are durable."""
        if self._replica.synced:
            self.answer(ticket, message)
        else:
            self._owed.append(_Owed(self._last_persist, Answer(ticket, message)))

    def persisted(self, ticket: int) -> None:
        """Release the answers that waited for this ticket."""
        self._actions += [owed.answer for owed in self._owed if owed.persist <= ticket]
        self._owed = [owed for owed in self._owed if owed.persist > ticket]

    def abandoned(self, ticket: int) -> None:
        """Nobody waits for this answer any more."""
        self._owed = [owed for owed in self._owed if owed.answer.ticket != ticket]

    # --- for the checker ---
    def key(self) -> tuple[object, ...]:
        """The answers that wait for the disk."""
        return tuple((owed.answer.ticket, owed.answer.message) for owed in self._owed)
