"""Collects the actions of one event in order, and assigns their tickets.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .actions import Action, Answer, Change, Notice, Persist, Request, Response, Send
from .replica import Replica


@dataclass(frozen=True, slots=True)
class _DeferredAnswer:
    """An answer that waits until the `Persist` with ticket `persist` is done."""

    persist: int
    answer: Answer


class Outbox:
    """The actions of one machine; shared by its components."""

    __slots__ = ("_actions", "_deferred", "_last_persist", "_replica", "last_ticket")

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._actions: list[Action] = []
        self._deferred: list[_DeferredAnswer] = []
        self.last_ticket = 0
        self._last_persist = 0

    def take(self) -> list[Action]:
        """Returns and removes the actions added since the last call."""
        taken, self._actions = self._actions, []
        return taken

    def add(self, action: Action) -> None:
        """Adds an action that needs no ticket."""
        self._actions.append(action)

    def notice(self, event: str, **fields: str | int | float) -> None:
        """Adds a `Notice`, a line of the log."""
        self._actions.append(Notice(event, tuple(fields.items())))

    def answer(self, ticket: int, message: Response) -> None:
        """Adds the response to the request with `ticket`."""
        self._actions.append(Answer(ticket, message))

    def send(self, to: str, message: Request, timeout_s: float) -> int:
        """Adds a request to another machine and returns the ticket of its reply."""
        self.last_ticket += 1
        self._actions.append(Send(self.last_ticket, to, message, timeout_s))
        return self.last_ticket

    def persist(self, changes: tuple[Change, ...]) -> None:
        """Adds a write of changes that the replica has made in memory; no-op without changes."""
        if not changes:
            return
        self.last_ticket += 1
        self._last_persist = self.last_ticket
        self._replica.persist_started(self.last_ticket)
        self._actions.append(Persist(self.last_ticket, changes))

    def answer_when_durable(self, ticket: int, message: Response) -> None:
        """Adds a response once all changes so far are durable."""
        if self._replica.synced:
            self.answer(ticket, message)
        else:
            self._deferred.append(_DeferredAnswer(self._last_persist, Answer(ticket, message)))

    def persisted(self, ticket: int) -> None:
        """Adds the deferred answers that waited for this ticket or an earlier one."""
        self._actions += [
            deferred.answer for deferred in self._deferred if deferred.persist <= ticket
        ]
        self._deferred = [deferred for deferred in self._deferred if deferred.persist > ticket]

    def abandoned(self, ticket: int) -> None:
        """Drops the deferred answer to a request whose caller disconnected."""
        self._deferred = [
            deferred for deferred in self._deferred if deferred.answer.ticket != ticket
        ]

    # --- for state space exploration ---
    def key(self) -> tuple[object, ...]:
        """Returns the answers that wait for the disk."""
        return tuple(
            (deferred.answer.ticket, deferred.answer.message) for deferred in self._deferred
        )
