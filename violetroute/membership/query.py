"""Consul's blocking queries: builds requests and checks whether answers are usable.  Pure.

https://developer.hashicorp.com/consul/api-docs/features/blocking: the index of an answer is sent
with the next request, which then waits for a change. An index that goes backwards or is not above 0
is reset to 0; an answer without a change is normal.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote, urlencode

from .table import ConsulTable

WAIT_JITTER_DIVISOR = 16  # a server adds up to 1/16 of the wait
MAX_RETRY_AFTER = 60.0  # s; a longer Retry-After is cut to this


@dataclass(frozen=True, slots=True)
class UnusableAnswer:
    """Why an answer is not used, and when to request again."""

    reason: str
    wait: float = 0.0  # s to wait before the next request
    drains_valid: bool = False  # its drains were true when it was written
    is_complete: bool = False  # so were its removals: it lists all nodes of that time


class BlockingQuery:
    """The requests of one watch."""

    def __init__(self, table: ConsulTable) -> None:
        self._table = table
        self.index = 0  # sent with the next request; 0: that is not a blocking one
        self.answer_index = 0  # of the last usable answer; 0: it has none

    @property
    def max_wait(self) -> float:
        """Seconds for which the server may hold the request before it answers."""
        return self._table.wait_s * (1.0 + 1.0 / WAIT_JITTER_DIVISOR) if self.index else 0.0

    def target(self, confirm: bool = False) -> str:
        """Path and query.  `confirm`: a consistent read from the leader, without waiting."""
        table = self._table
        params: list[tuple[str, str]] = []
        if self.index and not confirm:
            params += [("index", str(self.index)), ("wait", f"{round(table.wait_s * 1000)}ms")]
        for name, value in (
            ("dc", table.datacenter),
            ("ns", table.namespace),
            ("tag", table.tag),
            ("filter", table.filter),
            ("near", table.near),
        ):
            if value:
                params.append((name, value))
        flag = "consistent" if confirm else table.consistency
        text = urlencode(params) + (f"&{flag}" if flag != "default" else "")
        if table.cached and not confirm:  # a cached answer can't confirm anything
            text += "&cached"
        path = f"/v1/{table.endpoint}/service/{quote(table.service, safe='')}"
        return f"{path}?{text.lstrip('&')}".rstrip("?")

    def check(self, status: int, headers: Mapping[str, str]) -> UnusableAnswer | None:
        """None if the answer is usable; then its index is kept.  Header names are in lower case."""
        table = self._table
        if status != 200:
            return UnusableAnswer(
                f"answered {status}",
                _retry_after(headers.get("retry-after", "")) if status in (429, 503) else 0.0,
            )
        if headers.get("x-consul-knownleader", "true").lower() == "false":
            return UnusableAnswer("no leader", drains_valid=True, is_complete=True)
        if headers.get("x-consul-results-filtered-by-acls", "").lower() == "true":
            return UnusableAnswer("the token may not see all of it", drains_valid=True)
        contact = headers.get("x-consul-lastcontact", "0")
        if contact.isdecimal() and int(contact) > table.stale_within_s * 1000.0:
            return UnusableAnswer(f"{contact} ms old", drains_valid=True, is_complete=True)
        age = headers.get("age", "0") if table.cached else "0"  # s in the agent's cache
        if age.isdecimal() and (len(age) > 9 or int(age) > table.stale_within_s):
            reason = f"{age[:12]} s old in the agent's cache"
            return UnusableAnswer(reason, drains_valid=True, is_complete=True)
        text = headers.get("x-consul-index", "0")
        self.answer_index = int(text) if text.isdecimal() and len(text) < 20 else 0
        self.index = 0 if self.answer_index < self.index else self.answer_index
        return None


def _retry_after(text: str) -> float:
    """Retry-After in s; 0 for a date, which Consul doesn't send."""
    return min(MAX_RETRY_AFTER, float(text)) if text.isdecimal() and len(text) < 10 else 0.0
