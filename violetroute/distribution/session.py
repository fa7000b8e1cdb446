"""One proxy process as a control machine knows it, and the settings of all sessions.  Data only."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .messages import SESSIONS_PER_REPORT, Poll, SessionState

CATCH_UP_STEP_S = 0.05
MAX_CATCH_UP_ELAPSED_S = 1.0  # of elapsed time that one answer makes up for
ROUNDING = 1e-6
SessionKey = tuple[str, str]  # name and incarnation: two incarnations are two sessions


def session_timeout_s(stale_after_s: float, drift: float) -> float:
    """Seconds of any clock after which a proxy that was not answered knows that it is stale.

    The proxy's clock may be slow by `drift` and the clock that measures this time fast by it.
    """
    return stale_after_s * (1 + drift) / (1 - drift)


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """Times in seconds of the control machine's clock.

    `hold_s`: a poll is held at most so long.  `spread_s`: least time between two answers with
    batches to one session.  `report_s`: least time between two reports; `heartbeat_s`: most time,
    since the reports' replies make this machine's as_of.  `stale_after_s` and `drift` as at the
    proxies.  `delta_bytes`: a proxy that lacks more gets a snapshot.  `catch_up_bytes_per_s`: rate
    for a session that lacks what was committed more than `stale_after_s` ago.  Raises ValueError
    where `max_sessions` does not fit into one report.
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
        """Bytes for a session that catches up and had its last answer `elapsed_s` ago.

        In steps of time, so that sessions at the same position get the same answer.
        """
        bounded = max(self.spread_s, min(elapsed_s, MAX_CATCH_UP_ELAPSED_S))
        steps = math.floor(bounded / CATCH_UP_STEP_S + ROUNDING)
        return int(self.catch_up_bytes_per_s * steps * CATCH_UP_STEP_S)

    @property
    def drop_after_s(self) -> float:
        """Seconds without an answer after which a session may be dropped."""
        return session_timeout_s(self.stale_after_s, self.drift)


@dataclass(slots=True, eq=False)
class HeldPoll:
    """A poll that waits for its answer until `hold_until`; `queued`: for a commit to come."""

    ticket: int
    poll: Poll
    hold_until: float
    queued: bool = False


@dataclass(slots=True, eq=False)
class Session:
    """One incarnation of a proxy at this machine.

    `position`: applied, of this machine's log.  `registered_commit`: the leader's commit when it
    registered the session; None: not registered yet.  `earliest_at`: no batches before that.
    `reported`: some report has named it, so its end has to be reported too.  `catching_up`: its
    batches are paced until it has applied an answer that left nothing out.  `complete_at`: to which
    position the last answer leads if it was such a one; else infinite.
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
        """What tells it from all other sessions."""
        return self.name, self.incarnation

    def state(self, with_refusals: bool) -> SessionState:
        """What the leader is told of it."""
        refused = self.refused if with_refusals else ()
        return SessionState(self.name, self.incarnation, self.region, self.position, refused)
