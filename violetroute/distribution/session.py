"""The session of one proxy process at a control machine, and the settings of all sessions.

Data only.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .messages import SESSIONS_PER_REPORT, Poll, SessionState

CATCH_UP_STEP_S = 0.05
MAX_CATCH_UP_ELAPSED_S = 1.0  # elapsed time that counts towards the bytes of one answer
ROUNDING_TOLERANCE = 1e-6
SessionKey = tuple[str, str]  # name and incarnation: each process of a proxy has its own session


def session_timeout_s(stale_after_s: float, drift: float) -> float:
    """Seconds, by any clock, after which a proxy without an answer is sure to know it is stale.

    The proxy's clock may run slow by `drift` and the clock that measures this time fast by it.
    """
    return stale_after_s * (1 + drift) / (1 - drift)


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """Settings of all sessions; times in seconds of the control machine's clock.

    `hold_s`: the longest time that a poll is held.
    `spread_s`: the shortest time between two answers with batches to one session.
    `report_s`: the shortest time between two reports to the leader.
    `heartbeat_s`: the longest; the replies to reports advance this machine's `as_of`.
    `stale_after_s`, `drift`: the same as at the proxies.
    `delta_bytes`: a proxy that lacks more than this gets a snapshot.
    `catch_up_bytes_per_s`: rate for a session that lacks batches committed more than
    `stale_after_s` ago.
    Raises ValueError if `max_sessions` does not fit into one report.
    """

    hold_s: float = 0.8
    spread_s: float = 0.4
    report_s: float = 0.2
    heartbeat_s: float = 0.25
    stale_after_s: float = 2.8
    drift: float = 0.05
    delta_bytes: int = 128 * 1024
    catch_up_bytes_per_s: float = 4500.0
    max_sessions: int = SESSIONS_PER_REPORT

    def __post_init__(self) -> None:
        if not 1 <= self.max_sessions <= SESSIONS_PER_REPORT:
            raise ValueError(f"max_sessions: {self.max_sessions} is not in 1 to 4096")

    def catch_up_bytes(self, elapsed_s: float) -> int:
        """Bytes for a session in catch-up whose last answer was `elapsed_s` ago.

        The time is rounded down to steps, so that sessions at the same position share an answer.
        """
        bounded = max(self.spread_s, min(elapsed_s, MAX_CATCH_UP_ELAPSED_S))
        steps = math.floor(bounded / CATCH_UP_STEP_S + ROUNDING_TOLERANCE)
        return int(self.catch_up_bytes_per_s * steps * CATCH_UP_STEP_S)

    @property
    def drop_after_s(self) -> float:
        """Seconds without an answer after which a session may be dropped: its proxy is stale."""
        return session_timeout_s(self.stale_after_s, self.drift)


@dataclass(slots=True, eq=False)
class HeldPoll:
    """A poll that is held until `hold_until` at the latest.

    `queued`: it is in the queue of polls that wait for a commit.
    """

    ticket: int
    poll: Poll
    hold_until: float
    queued: bool = False


@dataclass(slots=True, eq=False)
class Session:
    """The session of one proxy process at this machine.

    `position`: the last position of this machine's log that the proxy has applied.
    `registered_commit`: the leader's commit when it registered the session; None until then.
    `earliest_at`: no batches are sent before this time.
    `reported`: a report has included the session, so its end must be reported too.
    `catching_up`: batches are paced until the proxy has applied a complete answer, one that brings
    it to this machine's commit.
    `complete_at`: the position that the last answer leads to if it was complete, else infinite.
    """

    name: str
    incarnation: str
    region: str
    active_at: float
    position: int = 0
    refused: tuple[tuple[int, str], ...] = ()
    held: HeldPoll | None = None
    registered_commit: int | None = None
    answered: bool = False
    earliest_at: float = 0.0
    reported: bool = False
    catching_up: bool = False
    complete_at: float = math.inf
    answered_at: float = -math.inf

    @property
    def key(self) -> SessionKey:
        """Name and incarnation, which identify the session."""
        return self.name, self.incarnation

    def state(self, with_refusals: bool) -> SessionState:
        """The session as a report includes it."""
        refused = self.refused if with_refusals else ()
        return SessionState(self.name, self.incarnation, self.region, self.position, refused)
