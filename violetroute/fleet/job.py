"""A work whose effects are entries of its fenced log, each handed over to an endpoint as well.

What the next entry is, a `Decider` says from the log as it has been read.  An entry that is to be
handed over stands in the outbox until an entry says that it was: so an owner that is killed after
the post and before its record leaves the post to the next one, under the same key.

The convention towards an endpoint: a POST with `Idempotency-Key: "LOG/FENCE.NONCE/POSITION"` of the
entry (no log that was forgotten and begun anew has it again) and `Fence: NUMBER;NONCE` of the owner
that posts.  2xx: taken, now or before.  412 with {"fence": NUMBER}: a later owner has been
there.  Anything else, a 412 that names no such fence too: again, later.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import msgspec

from violetroute import logs
from violetroute.transport import Address, Network
from violetroute.transport.http_call import HttpCall

from .lease import MAX_FENCE
from .log import Done, Fenced, FencedLog, NothingToAppend, Record, Result, append, claim
from .runner import Term

FIRST_RETRY_S, MAX_RETRY_S = 0.2, 30.0  # s before a try again, and at most
MAX_RETRY_AFTER_S = 3600.0  # s for which an endpoint's word is heeded
JOB_TIMEOUT_S = (
    60.0  # s, at least a term, after which a job beside the loop is given up: a disk that hangs
)
#               holds up only what is done at it, and renewals have a writer of their own


class Decider(Protocol):
    """What the entries are.  Pure; kept over terms, since the log is."""

    def apply(self, body: Any) -> None:
        """An entry that counts, whoever wrote it."""

    def decide(self) -> Any:
        """The next entry's body, or None."""


class Outbox:
    """Entries that the endpoint has not taken yet.  Pure."""

    def __init__(self, hands_over: bool) -> None:
        self._hands_over = hands_over
        self.undelivered: dict[int, Record] = {}

    def apply(self, position: int, record: Record) -> bool:
        """Whether it is an entry of the work's own, and not of this book-keeping."""
        if isinstance(record.body, dict) and "handed" in record.body:
            self.undelivered.pop(record.body["handed"], None)
            return False
        if self._hands_over:
            self.undelivered[position] = record
        return True


class LogWork:
    """One work.  `gather`: what has to be read for a decision, beside the loop, before each one.

    One step at a time, `every_s` s apart while there is nothing to do; at most one call or one run
    of the log is under way, and one timer.
    """

    def __init__(
        self,
        name: str,
        net: Network,
        decider: Decider,
        every_s: float,
        endpoint: Address | None,
        path: str,
        limit_s: float,
        gather: Callable[[Callable[[str], None]], None] | None = None,
        closes: Callable[[], None] = lambda: None,
    ) -> None:
        self.name, self._net, self._loop = name, net, net.loop
        self._decider, self._every, self._gather = decider, every_s, gather
        self._closes = closes
        self._endpoint, self._path, self._limit = endpoint, path, limit_s
        self._outbox = Outbox(endpoint is not None)
        self._log = FencedLog(name, self._applied)
        self._term: Term | None = None
        self._claimed = False
        self._busy = False
        self._ended: Callable[[], None] | None = None
        self._timer: Any = None
        self._call: HttpCall | None = None
        self._patience: Any = None  # the timer of a job that is under way
        self._failures = 0
        self._failing_since: float | None = None
        self._notify_entry: Callable[[int, Record], None] = lambda position, record: None
        self._random = random.Random(name)

    def _applied(self, position: int, record: Record) -> None:
        if self._outbox.apply(position, record):
            self._decider.apply(record.body)
            self._notify_entry(position, record)

    def on_entry(self, told: Callable[[int, Record], None]) -> None:
        """Call `told` with the position and the record of each entry that counts."""
        self._notify_entry = told

    # --- from the fleet ---
    def begin(self, term: Term) -> None:
        """Work under this term: claim the log, then take one step at a time."""
        self._term, self._claimed = term, False
        self._well()
        self._next(0.0)

    def end(self, ended: Callable[[], None]) -> None:
        """A post that is under way is broken off: it has its key, and the next owner repeats it.

        What was given to the store is waited for: only then is it known to have ended.
        """
        self._term = None
        self._stop()
        if self._busy:
            self._ended = ended
        else:
            ended()

    def close(self) -> None:
        """Stop without waiting: no timer and no call is left."""
        self._term = self._ended = None
        self._stop()
        self._closes()

    def _stop(self) -> None:
        self._came()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._call is not None:
            self._call.stop()
            self._call = None
            self._busy = False

    # --- steps ---
    def _next(self, wait: float) -> None:
        if self._term is not None and self._timer is None:
            self._timer = self._loop.call_later(wait, self._step)

    def _step(self) -> None:
        self._timer = None
        term = self._term
        if term is None or self._busy:
            return
        if not term.is_valid():
            self._next(self._every)
            return
        if not self._claimed:
            self._run(claim(self._log, term.fence, term.me.nonce, term.me.name), self._did_claim)
        elif self._endpoint is not None and self._outbox.undelivered:
            self._post(term, self._endpoint)
        elif self._gather is not None:
            self._waits(term)
            self._gather(self._gathered)
        else:
            self._decide()

    def _waits(self, term: Term) -> None:
        self._busy = True
        self._patience = self._loop.call_later(max(JOB_TIMEOUT_S, term.term_s), self._hangs)

    def _came(self) -> None:
        if self._patience is not None:
            self._patience.cancel()
            self._patience = None

    def _hangs(self) -> None:
        """What was begun may still be done: the lease is not handed back, it ends with its term."""
        self._patience = None
        if self._term is not None:
            logs.event("fleet.work_failed", work=self.name, reason="a job beside the loop hangs")
            self._term.transfer()

    def _gathered(self, why: str) -> None:
        self._came()
        self._busy = False
        if self._over():
            return
        if why:
            self._failed(why)
        else:
            self._decide()

    def _decide(self) -> None:
        term = self._term
        assert term is not None
        self._run(
            append(self._log, term.fence, term.me.nonce, term.me.name, self._decider.decide),
            self._did,
        )

    def _run(self, steps: Any, did: Callable[[Result], None]) -> None:
        term = self._term
        assert term is not None
        self._waits(term)

        def told(result: Result | None, why: str) -> None:
            self._came()
            self._busy = False
            if self._over():
                return
            if result is None:
                self._failed(why)
            elif isinstance(result, Fenced):
                term.fenced(result.floor)
            else:
                self._well()
                did(result)

        term.run(steps, told)

    def _over(self) -> bool:
        """The term has ended meanwhile; who waits for that is told."""
        if self._term is not None and self._ended is None:
            return False
        ended, self._ended = self._ended, None
        if ended is not None:
            ended()
        return True

    def _did_claim(self, result: Result) -> None:
        self._claimed = isinstance(result, Done)
        self._next(0.0 if self._claimed else self._wait())

    def _did(self, result: Result) -> None:
        if isinstance(result, Done) and self._endpoint is not None:
            self._next(0.0)
        elif isinstance(result, (Done, NothingToAppend)):
            self._next(self._every)
        else:
            self._next(self._wait())

    def _failed(self, why: str) -> None:
        logs.event("fleet.work_failed", work=self.name, reason=why)
        if not self._stands_still():
            self._next(self._wait())

    def _well(self) -> None:
        self._failures, self._failing_since = 0, None

    def _stands_still(self) -> bool:
        """Nothing has come off for a whole term: perhaps it is us who are cut off.  Handed on then.

        Where it is the store or the endpoint that is down, the work goes round once a term.
        """
        now, term = self._loop.time(), self._term
        if self._failing_since is None:
            self._failing_since = now
        if term is None or now - self._failing_since < term.term_s:
            return False
        term.transfer()
        return True

    def _wait(self, at_least: float = 0.0) -> float:
        ceiling = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0 ** min(self._failures, 20))
        self._failures += 1
        return max(at_least, ceiling * (0.5 + 0.5 * self._random.random()))

    # --- handing over ---
    def _post(self, term: Term, endpoint: Address) -> None:
        """Post the first entry that waits."""
        position, record = next(iter(self._outbox.undelivered.items()))
        self._busy = True
        headers = {
            "Idempotency-Key": idempotency_key(record, position),
            "Content-Type": "application/json",
            "Fence": f"{term.fence};{term.me.nonce}",
        }
        self._call = HttpCall(
            self._net,
            endpoint,
            None,
            self._limit,
            self._path,
            headers,
            msgspec.json.encode(record.body),
            partial(self._posted, term, position),
        )

    def _posted(
        self,
        term: Term,
        position: int,
        status: int,
        headers: dict[str, str],
        answer: bytes,
        why: str,
    ) -> None:
        """The endpoint has answered, or `why` says why it has not."""
        self._call, self._busy = None, False
        if self._over():
            return
        floor = _floor(answer) if status == 412 else 0
        if 200 <= status < 300:
            self._well()
            self._record_handed(term, position)
        elif term.fence <= floor < MAX_FENCE:
            term.fenced(floor)
        else:
            self._undelivered(status, headers, why)

    def _record_handed(self, term: Term, position: int) -> None:
        """Write to the log that this entry was taken, unless it says so already."""
        self._run(
            append(
                self._log,
                term.fence,
                term.me.nonce,
                term.me.name,
                lambda: {"handed": position} if position in self._outbox.undelivered else None,
            ),
            self._handed,
        )

    def _undelivered(self, status: int, headers: dict[str, str], why: str) -> None:
        wait = self._wait(_retry_after(headers) if status in (429, 503) else 0.0)
        logs.event(
            "fleet.undelivered",
            work=self.name,
            reason=why or f"answered {status}",
            wait_s=round(wait, 1),
        )
        if not self._stands_still():
            self._next(wait)

    def _handed(self, result: Result) -> None:
        self._next(0.0 if self._outbox.undelivered else self._every)


def idempotency_key(record: Record, position: int) -> str:
    """The idempotency key of an entry, as a structured header's string, for any poster."""
    return f'"{record.log}/{record.fence}.{record.nonce}/{position}"'


def _floor(answer: bytes) -> int:
    """The fence that a refusal names; 0 where it names none."""
    try:
        told = msgspec.json.decode(answer)
    except (msgspec.DecodeError, RecursionError):
        return 0
    fence = told.get("fence") if isinstance(told, dict) else None
    return fence if isinstance(fence, int) and fence > 0 else 0


def _retry_after(headers: dict[str, str]) -> float:
    text = headers.get("retry-after", "")
    return min(MAX_RETRY_AFTER_S, float(text)) if text.isdecimal() and len(text) < 10 else 0.0


class BeatDecider:
    """An example: the count of each entry is one more than the last, so none occurs twice."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, body: Any) -> None:
        """Take over the count of an entry of the log."""
        if isinstance(body, dict) and isinstance(body.get("beat"), int):
            self.count = body["beat"]

    def decide(self) -> Any:
        """The body of the next entry."""
        return {"beat": self.count + 1}
