"""A work whose effects are entries of its fenced log, optionally delivered to an HTTP endpoint.

A `Decider` computes the next entry from the log as read so far.  An entry to be delivered stays in
the outbox until another entry records its delivery.  If an owner is killed between the POST and
that record, the next owner repeats the POST with the same idempotency key.

A delivery is a POST with `Idempotency-Key: "LOG/FENCE.NONCE/POSITION"` of the entry and
`Fence: NUMBER;NONCE` of the owner that posts.  The key contains fence and nonce, so it is not
reused if the log is lost and starts again.  2xx: the entry was accepted, now or before.  412 with
{"fence": NUMBER}: a later owner has posted.  Any other response, including a 412 without a valid
fence, is retried later.
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

# First and longest wait before a retry.
FIRST_RETRY_S, MAX_RETRY_S = 0.2, 30.0
MAX_RETRY_AFTER_S = 3600.0  # longest Retry-After of an endpoint that is respected
# After this time, or one term if longer, a job outside the event loop counts as hung.  A hung disk
# blocks only its own jobs; lease renewals use a separate writer and would go on.
JOB_TIMEOUT_S = 60.0


class Decider(Protocol):
    """Computes the entries of a log.  Pure; its state outlives a term, as the log does."""

    def apply(self, body: Any) -> None:
        """Process a valid entry of the log, whoever wrote it."""

    def decide(self) -> Any:
        """The body of the next entry, or None."""


class Outbox:
    """Entries that the endpoint has not accepted yet, by position.  Pure."""

    def __init__(self, delivers: bool) -> None:
        self._delivers = delivers
        self.undelivered: dict[int, Record] = {}

    def apply(self, position: int, record: Record) -> bool:
        """Process a valid entry.  True for an entry of the work, False for a delivery record."""
        if isinstance(record.body, dict) and "handed" in record.body:
            self.undelivered.pop(record.body["handed"], None)
            return False
        if self._delivers:
            self.undelivered[position] = record
        return True


class LogWork:
    """Runs one work: claims its log, appends entries and delivers them.

    `gather` is called before each decision to read its input outside the event loop; its callback
    gets the reason of a failure, or "".  `interval_s`: wait between steps when there is nothing to
    do.  At most one job or HTTP call and one timer are pending.
    """

    def __init__(
        self,
        name: str,
        net: Network,
        decider: Decider,
        interval_s: float,
        endpoint: Address | None,
        path: str,
        timeout_s: float,
        gather: Callable[[Callable[[str], None]], None] | None = None,
        on_close: Callable[[], None] = lambda: None,
    ) -> None:
        self.name, self._net, self._loop = name, net, net.loop
        self._decider, self._interval, self._gather = decider, interval_s, gather
        self._on_close = on_close
        self._endpoint, self._path, self._timeout = endpoint, path, timeout_s
        self._outbox = Outbox(endpoint is not None)
        self._log = FencedLog(name, self._applied)
        self._term: Term | None = None
        self._claimed = False
        self._busy = False
        self._on_ended: Callable[[], None] | None = None
        self._timer: Any = None
        self._call: HttpCall | None = None
        self._job_timer: Any = None  # detects a hung job
        self._failures = 0
        self._failing_since: float | None = None
        self._entry_callback: Callable[[int, Record], None] = lambda position, record: None
        self._random = random.Random(name)

    def _applied(self, position: int, record: Record) -> None:
        if self._outbox.apply(position, record):
            self._decider.apply(record.body)
            self._entry_callback(position, record)

    def on_entry(self, callback: Callable[[int, Record], None]) -> None:
        """Call `callback` with the position and the record of each valid entry of the work."""
        self._entry_callback = callback

    # --- called by the runner ---
    def begin(self, term: Term) -> None:
        """Start to work in this term: claim the log, then run one step at a time."""
        self._term, self._claimed = term, False
        self._reset_failures()
        self._schedule(0.0)

    def end(self, ended: Callable[[], None]) -> None:
        """Stop; `ended` is called when no effect is in progress any more.

        A pending POST is cancelled: the next owner repeats it with the same key.  A pending call to
        the store is awaited: only its response shows that it is over.
        """
        self._term = None
        self._stop()
        if self._busy:
            self._on_ended = ended
        else:
            ended()

    def close(self) -> None:
        """Stop without waiting, and cancel all timers and calls."""
        self._term = self._on_ended = None
        self._stop()
        self._on_close()

    def _stop(self) -> None:
        self._cancel_job_timer()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._call is not None:
            self._call.stop()
            self._call = None
            self._busy = False

    # --- steps ---
    def _schedule(self, wait: float) -> None:
        if self._term is not None and self._timer is None:
            self._timer = self._loop.call_later(wait, self._step)

    def _step(self) -> None:
        self._timer = None
        term = self._term
        if term is None or self._busy:
            return
        if not term.is_valid():
            self._schedule(self._interval)
            return
        if not self._claimed:
            self._run(claim(self._log, term.fence, term.me.nonce, term.me.name), self._claim_done)
        elif self._endpoint is not None and self._outbox.undelivered:
            self._post(term, self._endpoint)
        elif self._gather is not None:
            self._start_job(term)
            self._gather(self._gathered)
        else:
            self._decide()

    def _start_job(self, term: Term) -> None:
        self._busy = True
        self._job_timer = self._loop.call_later(
            max(JOB_TIMEOUT_S, term.term_s), self._job_timed_out
        )

    def _cancel_job_timer(self) -> None:
        if self._job_timer is not None:
            self._job_timer.cancel()
            self._job_timer = None

    def _job_timed_out(self) -> None:
        """Step down.  The hung job may still finish, so the lease is not released but expires."""
        self._job_timer = None
        if self._term is not None:
            logs.event(
                "fleet.work_failed", work=self.name, reason="a disk or store job does not finish"
            )
            self._term.transfer()

    def _gathered(self, error: str) -> None:
        self._cancel_job_timer()
        self._busy = False
        if self._term_over():
            return
        if error:
            self._failed(error)
        else:
            self._decide()

    def _decide(self) -> None:
        term = self._term
        assert term is not None
        self._run(
            append(self._log, term.fence, term.me.nonce, term.me.name, self._decider.decide),
            self._append_done,
        )

    def _run(self, steps: Any, done: Callable[[Result], None]) -> None:
        term = self._term
        assert term is not None
        self._start_job(term)

        def finished(result: Result | None, error: str) -> None:
            self._cancel_job_timer()
            self._busy = False
            if self._term_over():
                return
            if result is None:
                self._failed(error)
            elif isinstance(result, Fenced):
                term.fenced(result.floor)
            else:
                self._reset_failures()
                done(result)

        term.run(steps, finished)

    def _term_over(self) -> bool:
        """Whether the term has ended since the job started; if so, report that the job is over."""
        if self._term is not None and self._on_ended is None:
            return False
        ended, self._on_ended = self._on_ended, None
        if ended is not None:
            ended()
        return True

    def _claim_done(self, result: Result) -> None:
        self._claimed = isinstance(result, Done)
        self._schedule(0.0 if self._claimed else self._backoff())

    def _append_done(self, result: Result) -> None:
        if isinstance(result, Done) and self._endpoint is not None:
            self._schedule(0.0)
        elif isinstance(result, (Done, NothingToAppend)):
            self._schedule(self._interval)
        else:
            self._schedule(self._backoff())

    def _failed(self, error: str) -> None:
        logs.event("fleet.work_failed", work=self.name, reason=error)
        if not self._transfer_if_failing():
            self._schedule(self._backoff())

    def _reset_failures(self) -> None:
        self._failures, self._failing_since = 0, None

    def _transfer_if_failing(self) -> bool:
        """Transfer the work if every step has failed for a whole term.

        Another process may reach what this one cannot.  If the store or the endpoint itself is
        down, the work moves to another owner once a term.
        """
        now, term = self._loop.time(), self._term
        if self._failing_since is None:
            self._failing_since = now
        if term is None or now - self._failing_since < term.term_s:
            return False
        term.transfer()
        return True

    def _backoff(self, at_least: float = 0.0) -> float:
        ceiling = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0 ** min(self._failures, 20))
        self._failures += 1
        return max(at_least, ceiling * (0.5 + 0.5 * self._random.random()))

    # --- delivery ---
    def _post(self, term: Term, endpoint: Address) -> None:
        """Post the first undelivered entry."""
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
            self._timeout,
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
        body: bytes,
        error: str,
    ) -> None:
        """Process the response of the endpoint; `error` is the reason if there is none."""
        self._call, self._busy = None, False
        if self._term_over():
            return
        floor = _floor(body) if status == 412 else 0
        if 200 <= status < 300:
            self._reset_failures()
            self._record_delivery(term, position)
        elif term.fence <= floor < MAX_FENCE:
            term.fenced(floor)
        else:
            self._delivery_failed(status, headers, error)

    def _record_delivery(self, term: Term, position: int) -> None:
        """Record in the log that this entry was delivered, unless that is already recorded."""
        self._run(
            append(
                self._log,
                term.fence,
                term.me.nonce,
                term.me.name,
                lambda: {"handed": position} if position in self._outbox.undelivered else None,
            ),
            self._delivery_recorded,
        )

    def _delivery_failed(self, status: int, headers: dict[str, str], error: str) -> None:
        wait = self._backoff(_retry_after(headers) if status in (429, 503) else 0.0)
        logs.event(
            "fleet.undelivered",
            work=self.name,
            reason=error or f"answered {status}",
            wait_s=round(wait, 1),
        )
        if not self._transfer_if_failing():
            self._schedule(wait)

    def _delivery_recorded(self, result: Result) -> None:
        self._schedule(0.0 if self._outbox.undelivered else self._interval)


def idempotency_key(record: Record, position: int) -> str:
    """The idempotency key of an entry, as a string of a structured header; same for each owner."""
    return f'"{record.log}/{record.fence}.{record.nonce}/{position}"'


def _floor(body: bytes) -> int:
    """The fence in the body of a 412 response; 0 if it has none."""
    try:
        decoded = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return 0
    fence = decoded.get("fence") if isinstance(decoded, dict) else None
    return fence if isinstance(fence, int) and fence > 0 else 0


def _retry_after(headers: dict[str, str]) -> float:
    text = headers.get("retry-after", "")
    return min(MAX_RETRY_AFTER_S, float(text)) if text.isdecimal() and len(text) < 10 else 0.0


class BeatDecider:
    """An example: each entry contains the previous count plus one, so a duplicate is visible."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, body: Any) -> None:
        """Set the count to that of an entry of the log."""
        if isinstance(body, dict) and isinstance(body.get("beat"), int):
            self.count = body["beat"]

    def decide(self) -> Any:
        """The body of the next entry, which contains the count plus one."""
        return {"beat": self.count + 1}
