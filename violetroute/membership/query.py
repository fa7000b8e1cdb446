"""Blocking queries by Consul's published rules: what to ask, and what an answer counts as.  Pure.

https://developer.hashicorp.com/consul/api-docs/features/blocking: the index of an answer is given
with the next ask, which then waits for a change. An index that goes backwards is reset to 0, and so
is one that is not above 0; a return without a change is normal.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote, urlencode

from .table import ConsulTable

WAIT_JITTER_DIVISOR = 16  # a server adds up to a 16th of the wait
MAX_RETRY_AFTER = 60.0  # s for which a server's Retry-After is heeded


@dataclass(frozen=True, slots=True)
class UnusableAnswer:
    """An answer that tells nothing of the nodes."""

    reason: str
    wait: float = 0.0  # s before which not to ask again
    drains_valid: bool = (
        False  # it is whole but old: what it says of drains was true when it was said
    )


class BlockingQuery:
    """The asks of one watch."""

    def __init__(self, table: ConsulTable) -> None:
        self._table = table
        self.index = 0

    @property
    def max_wait(self) -> float:
        """Seconds that an answer may take to begin."""
        return self._table.wait_s * (1.0 + 1.0 / WAIT_JITTER_DIVISOR) if self.index else 0.0

    def target(self, confirm: bool = False) -> str:
        """Path and parameters.  `confirm`: the leader's word, at once."""
        table = self._table
        asks: list[tuple[str, str]] = []
        if self.index and not confirm:
            asks += [("index", str(self.index)), ("wait", f"{round(table.wait_s * 1000)}ms")]
        for name, value in (
            ("dc", table.datacenter),
            ("ns", table.namespace),
            ("tag", table.tag),
            ("filter", table.filter),
            ("near", table.near),
        ):
            if value:
                asks.append((name, value))
        flag = "consistent" if confirm else table.consistency
        text = urlencode(asks) + (f"&{flag}" if flag != "default" else "")
        if table.cached and not confirm:  # a cache can't vouch for the leader
            text += "&cached"
        path = f"/v1/{table.endpoint}/service/{quote(table.service, safe='')}"
        return f"{path}?{text.lstrip('&')}".rstrip("?")

    def answered(self, status: int, headers: Mapping[str, str]) -> UnusableAnswer | None:
        """None: its body counts.  Header names in small letters."""
        table = self._table
        if status != 200:
            return UnusableAnswer(
                f"answered {status}",
                _retry(headers.get("retry-after", "")) if status in (429, 503) else 0.0,
            )
        if headers.get("x-consul-knownleader", "true").lower() == "false":
            return UnusableAnswer("no leader", drains_valid=True)
        if headers.get("x-consul-results-filtered-by-acls", "").lower() == "true":
            return UnusableAnswer("the token may not see all of it", drains_valid=True)
        contact = headers.get("x-consul-lastcontact", "0")
        if contact.isdecimal() and int(contact) > table.stale_within_s * 1000.0:
            return UnusableAnswer(f"{contact} ms old", drains_valid=True)
        age = headers.get("age", "0") if table.cached else "0"  # s, of the agent's cache
        if age.isdecimal() and (len(age) > 9 or int(age) > table.stale_within_s):
            return UnusableAnswer(f"{age[:12]} s old in the agent's cache", drains_valid=True)
        text = headers.get("x-consul-index", "0")
        index = int(text) if text.isdecimal() and len(text) < 20 else 0
        self.index = 0 if index < self.index or index < 1 else index
        return None


def _retry(text: str) -> float:
    """Retry-After in seconds; a date is not used by Consul, and counts as nothing."""
    return min(MAX_RETRY_AFTER, float(text)) if text.isdecimal() and len(text) < 10 else 0.0
