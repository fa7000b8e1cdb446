"""Connects Balancer instances, one per proxy, to the simulator's line protocol.

Each batch of event lines is parsed and dispatched to the instances that it names.  The reply is the
lines of their actions.  Only replies go to standard output.  No decisions are made here.
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable
from typing import IO, Any

import snowstall

RESULTS = {
    "GOOD": snowstall.Result.OK,
    "BAD": snowstall.Result.ERROR,
    "FULL": snowstall.Result.FULL,
    "LATE": snowstall.Result.LATE,
    "NOCONN": snowstall.Result.NO_CONNECTION,
    "RST": snowstall.Result.RESET,
    "CXL": snowstall.Result.CANCELLED,
    "NOP": snowstall.Result.NEVER_SENT,
    "MISS": snowstall.Result.MISS,
}
STATES = {
    "Ready": snowstall.CacheState.READY,
    "Terminating": snowstall.CacheState.DRAINING,
    "Gone": snowstall.CacheState.GONE,
}
LISTS = {
    "delta": snowstall.ListKind.CHANGES,
    "full": snowstall.ListKind.FULL,
    "cached": snowstall.ListKind.CACHED,
    "failed": snowstall.ListKind.FAILED,
}
EFFECTS = {
    "pure": snowstall.Effect.PURE,
    "token": snowstall.Effect.KEYED,
    "side_effect": snowstall.Effect.UNSAFE,
}
GROUPS = {"all": snowstall.Group.ALL, "zone": snowstall.Group.ZONE, "cell": snowstall.Group.CELL}
HITS = {"1": True, "2": False, "3": False}


class WireError(Exception):
    """A line that violates the protocol."""


def parse_settings(conf: dict[str, Any]) -> snowstall.Settings:
    """Translate the simulator's settings; raises ValueError for a missing or invalid one."""
    limits, rules = _section(conf, "caps"), _section(conf, "guarantees")
    tariffs = conf.get("tariffs") or {}
    family = conf.get("familyInfo") or {}
    kinds = conf.get("kinds") or []
    origin = family.get("originKind", -1)
    is_cache_aside = family.get("mode") == "aside"
    return snowstall.Settings(
        classes=tuple(_parse_class(entry) for entry in _required(conf, "classes")),
        max_attempts=int(_required(limits, "mostTries", "caps.")),
        proxies=int(conf.get("balancers", 1)),
        zone=conf.get("zone", ""),
        origin_kind=kinds[origin] if is_cache_aside and 0 <= origin < len(kinds) else None,
        must_subscribe=conf.get("membershipMode") == "subscribe",
        can_hedge=bool(limits.get("secondCopies", False)),
        can_cancel=bool(limits.get("cancel", False)),
        can_probe=bool(limits.get("probes", False)),
        weighted=conf.get("weightKind") in ("nominal", "rough"),
        cold_share=float(_required(rules, "coldFrom", "guarantees.")),
        warm_time=float(_required(rules, "warmWithinMs", "guarantees.")),
        subscribe_within=float(rules.get("askWithinMs", 10_000.0)) or 10_000.0,
        cross_zone_price=float(tariffs.get("crossZone", 0.0)),
        origin_price=float(tariffs.get("origin", 0.0)),
        waste_price=float(tariffs.get("waste", 0.0)),
        max_backoff=float(limits.get("maxRetryAfterMs", 0.0)),
        over_quota_factor=float(conf.get("overShareWorth", 1.0)),
        tenants=tuple(
            snowstall.Tenant(
                _required(t, "name", "realms[]."),
                float(t.get("share", 0.0)),
                float(t.get("quotaPerS", 0.0)),
            )
            for t in conf.get("realms") or ()
        ),
    )


def _parse_class(entry: dict[str, Any]) -> snowstall.RequestClass:
    effect, group = _required(entry, "effect", "classes[]."), entry.get("group", "all")
    if effect not in EFFECTS:
        raise ValueError(f"classes[].effect: unknown value {effect!r}")
    if group not in GROUPS:
        raise ValueError(f"classes[].group: unknown value {group!r}")
    return snowstall.RequestClass(
        name=_required(entry, "name", "classes[]."),
        latency_target=float(_required(entry, "promiseMs", "classes[].")),
        deadline=float(_required(entry, "deadlineMs", "classes[].")),
        effect=EFFECTS[effect],
        value=float(entry.get("worth", 1.0)),
        late_value=float(entry.get("lateValue", 0.0)),
        group=GROUPS[group],
        repeat_window=float(entry.get("keyTtlMs", 0.0)),
    )


def _required(section: dict[str, Any], name: str, where: str = "") -> Any:
    if section.get(name) is None:
        raise ValueError(f"setting {where}{name} is missing")
    return section[name]


def _section(conf: dict[str, Any], name: str) -> dict[str, Any]:
    part = _required(conf, name)
    if not isinstance(part, dict):
        raise ValueError(f"setting {name} must be an object")
    return part


def _parse_fields(line: str) -> dict[str, str]:
    try:
        return dict([item.split("=", 1) for item in line.split(" ")[1:]])
    except ValueError:
        raise WireError(f"not name=value pairs: {line[:200]!r}") from None


def _format_action(proxy: str, action: snowstall.Action) -> str:
    match action:
        case snowstall.Send(request_id, cache_id, stop_at):
            stop = f" stopAtMs={stop_at:.3f}" if stop_at else ""
            return f"send proxy={proxy} xid={request_id} node={cache_id}{stop}"
        case snowstall.Timer(delay, label):
            return f"set_alarm proxy={proxy} delayMs={delay:.3f} label={label}"
        case snowstall.Refuse(request_id, backoff):
            wait = f" backoffMs={backoff:.3f}" if backoff else ""
            return f"refuse proxy={proxy} xid={request_id}{wait}"
        case snowstall.Fail(request_id):
            return f"drop_request proxy={proxy} xid={request_id}"
        case snowstall.Cancel(request_id, attempt):
            return f"cancel proxy={proxy} xid={request_id} sendNo={attempt}"
        case snowstall.Subscribe(active):
            return f"keep_informed proxy={proxy} active={int(active)}"


class Adapter:
    """Reads batches of events, passes them to the instances, and writes their actions."""

    def __init__(self, source: IO[str], sink: IO[str]) -> None:
        self._source, self._sink = source, sink
        self._instances: dict[str, snowstall.Balancer] = {}
        self._now = 0.0
        self.proxy = ""  # the instance of the current event, for error messages
        self._events: dict[str, Callable[[dict[str, str]], list[snowstall.Action]]] = {
            "demand": self._request,
            "ended": self._outcome,
            "timer": self._timer,
            "abandoned": self._client_gone,
            "view": self._list,
            "accepted": self._response_started,
            "detach": self._detach,
        }

    def run(self) -> None:
        """Process batches until the input ends.  Raises WireError for an invalid line."""
        for line in self._source:
            line = line.rstrip("\r\n")
            if not line:
                continue
            if not line.startswith("batch "):
                raise WireError(f"expected a batch, got {line[:200]!r}")
            self._now = float(_parse_fields(line)["tMs"])
            if not self._batch():
                return

    def _batch(self) -> bool:
        out: list[str] = []
        for line in self._source:
            line = line.rstrip("\r\n")
            if line == "flush":
                out.append("end\n")
                self._sink.write("\n".join(out))
                self._sink.flush()
                return True
            self._event(line, out)
        return False  # the input ended within a batch: no reply is expected

    def _event(self, line: str, out: list[str]) -> None:
        name = line.split(" ", 1)[0]
        if name == "born":
            self._start_instance(line)
            return
        handler = self._events.get(name)
        if handler is None:
            if not name.isidentifier() or name == "row":
                raise WireError(f"unexpected line {line[:200]!r}")
            return  # an event that this adapter doesn't use
        fields = _parse_fields(line)
        self.proxy = fields["proxy"]
        for action in handler(fields):
            out.append(_format_action(self.proxy, action))

    def _start_instance(self, line: str) -> None:
        head, _, conf = line.partition(" conf=")
        fields = _parse_fields(head)
        if "seed" not in fields:  # it must come first: the settings go on to the end of the line
            raise WireError("born without a seed before its settings")
        self.proxy = fields["proxy"]
        settings = parse_settings(json.loads(conf))
        self._instances[self.proxy] = snowstall.Balancer(settings, int(fields["seed"]), self._now)

    def _list(self, fields: dict[str, str]) -> list[snowstall.Action]:
        members = []
        for _ in range(int(fields.get("lines", 0))):
            line = self._source.readline().rstrip("\r\n")
            if not line.startswith("row "):
                raise WireError(f"expected a row, got {line[:200]!r}")
            members.append(_parse_member(_parse_fields(line)))
        kind = LISTS.get(fields["mode"])
        if kind is None:
            raise WireError(f"unknown list mode {fields['mode']!r}")
        return self._balancer.on_list(self._now, kind, members)

    def _request(self, fields: dict[str, str]) -> list[snowstall.Action]:
        key = fields.get("affinity")
        request = snowstall.Request(
            int(fields["xid"]),
            fields["priority"],
            float(fields["giveUpAtMs"]),
            int(key) if key is not None else None,
            fields.get("mutates") == "1",
            fields.get("userGroup", ""),
        )
        return self._balancer.on_request(self._now, request)

    def _outcome(self, fields: dict[str, str]) -> list[snowstall.Action]:
        pressure = fields.get("pressure")
        report = None
        if pressure:
            report = {k: float(v) for k, v in (p.split(":") for p in pressure.split(","))}
        outcome = snowstall.Outcome(
            int(fields["xid"]),
            int(fields.get("sendNo", 0)),
            RESULTS[fields["rc"]],
            fields.get("closed") == "1",
            float(fields.get("lagMs", 0.0)),
            HITS.get(fields.get("note", "")),
            report,
        )
        return self._balancer.on_outcome(self._now, outcome)

    def _timer(self, fields: dict[str, str]) -> list[snowstall.Action]:
        return self._balancer.on_timer(self._now, int(fields["label"]))

    def _client_gone(self, fields: dict[str, str]) -> list[snowstall.Action]:
        return self._balancer.on_client_gone(self._now, int(fields["xid"]))

    def _response_started(self, fields: dict[str, str]) -> list[snowstall.Action]:
        return self._balancer.on_response_started(self._now, int(fields["xid"]))

    def _detach(self, fields: dict[str, str]) -> list[snowstall.Action]:
        self._instances.pop(self.proxy, None)
        return []

    @property
    def _balancer(self) -> snowstall.Balancer:
        instance = self._instances.get(self.proxy)
        if instance is None:
            raise WireError(f"no instance {self.proxy!r} is running")
        return instance


def _parse_member(fields: dict[str, str]) -> snowstall.Member:
    state = STATES.get(fields.get("readiness", "Ready"))
    if state is None:
        raise WireError(f"unknown readiness {fields['readiness']!r}")
    return snowstall.Member(
        int(fields["node"]),
        state,
        fields.get("campus", ""),
        fields.get("type", ""),
        int(fields.get("unitGroup", 0)),
        float(fields.get("heft", 1.0)),
        float(fields.get("readyAtMs", 0.0)),
    )


def main() -> int:
    """Run the adapter on standard input and output; return the exit status."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except Exception as error:
        traceback.print_exc(file=sys.stderr)
        text = f"{type(error).__name__}: {error}".replace("\n", " ")
        sys.stdout.write(f"fatal proxy={adapter.proxy or 'proxy-0'} text={text}\nend\n")
        sys.stdout.flush()
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
