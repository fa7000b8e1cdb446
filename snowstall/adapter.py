"""Carries a Balancer per proxy over the simulator's wire.  No decisions are made here.

Each batch of event lines is parsed, routed to the instances named in it, and answered
with the lines of their actions.  Only replies go to standard output.
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable
from typing import IO, Any

import snowstall as b

RESULTS = {
    "GOOD": b.Result.OK,
    "BAD": b.Result.ERROR,
    "FULL": b.Result.FULL,
    "LATE": b.Result.LATE,
    "NOCONN": b.Result.NO_CONNECTION,
    "RST": b.Result.RESET,
    "CXL": b.Result.CANCELLED,
    "NOP": b.Result.NEVER_SENT,
    "MISS": b.Result.MISS,
}
STATES = {
    "Ready": b.CacheState.READY,
    "Terminating": b.CacheState.DRAINING,
    "Gone": b.CacheState.GONE,
}
LISTS = {
    "delta": b.ListKind.CHANGES,
    "full": b.ListKind.FULL,
    "cached": b.ListKind.CACHED,
    "failed": b.ListKind.FAILED,
}
EFFECTS = {"pure": b.Effect.PURE, "token": b.Effect.KEYED, "side_effect": b.Effect.UNSAFE}
GROUPS = {"all": b.Group.ALL, "zone": b.Group.ZONE, "cell": b.Group.CELL}
HITS = {"1": True, "2": False, "3": False}


class WireError(Exception):
    """A line that does not follow the wire's rules."""


def parse_settings(conf: dict[str, Any]) -> b.Settings:
    """Translate the settings of the wire; a missing or senseless one is a ValueError."""
    caps, rules = _part(conf, "caps"), _part(conf, "guarantees")
    prices = conf.get("tariffs") or {}
    family = conf.get("familyInfo") or {}
    kinds = conf.get("kinds") or []
    origin = family.get("originKind", -1)
    aside = family.get("mode") == "aside"
    return b.Settings(
        classes=tuple(_parse_class(entry) for entry in _need(conf, "classes")),
        max_attempts=int(_need(caps, "mostTries", "caps.")),
        proxies=int(conf.get("balancers", 1)),
        zone=conf.get("zone", ""),
        origin_kind=kinds[origin] if aside and 0 <= origin < len(kinds) else None,
        must_subscribe=conf.get("membershipMode") == "subscribe",
        can_hedge=bool(caps.get("secondCopies", False)),
        can_cancel=bool(caps.get("cancel", False)),
        can_probe=bool(caps.get("probes", False)),
        weighted=conf.get("weightKind") in ("nominal", "rough"),
        cold_share=float(_need(rules, "coldFrom", "guarantees.")),
        warm_time=float(_need(rules, "warmWithinMs", "guarantees.")),
        subscribe_within=float(rules.get("askWithinMs", 10_000.0)) or 10_000.0,
        cross_zone_price=float(prices.get("crossZone", 0.0)),
        origin_price=float(prices.get("origin", 0.0)),
        waste_price=float(prices.get("waste", 0.0)),
        max_backoff=float(caps.get("maxRetryAfterMs", 0.0)),
        over_quota_factor=float(conf.get("overShareWorth", 1.0)),
        tenants=tuple(
            b.Tenant(
                _need(t, "name", "realms[]."),
                float(t.get("share", 0.0)),
                float(t.get("quotaPerS", 0.0)),
            )
            for t in conf.get("realms") or ()
        ),
    )


def _parse_class(entry: dict[str, Any]) -> b.RequestClass:
    effect, group = _need(entry, "effect", "classes[]."), entry.get("group", "all")
    if effect not in EFFECTS:
        raise ValueError(f"classes[].effect: unknown value {effect!r}")
    if group not in GROUPS:
        raise ValueError(f"classes[].group: unknown value {group!r}")
    return b.RequestClass(
        name=_need(entry, "name", "classes[]."),
        latency_target=float(_need(entry, "promiseMs", "classes[].")),
        deadline=float(_need(entry, "deadlineMs", "classes[].")),
        effect=EFFECTS[effect],
        value=float(entry.get("worth", 1.0)),
        late_value=float(entry.get("lateValue", 0.0)),
        group=GROUPS[group],
        repeat_window=float(entry.get("keyTtlMs", 0.0)),
    )


def _need(place: dict[str, Any], name: str, where: str = "") -> Any:
    if place.get(name) is None:
        raise ValueError(f"setting {where}{name} is missing")
    return place[name]


def _part(conf: dict[str, Any], name: str) -> dict[str, Any]:
    part = _need(conf, name)
    if not isinstance(part, dict):
        raise ValueError(f"setting {name} must be an object")
    return part


def _fields(line: str) -> dict[str, str]:
    try:
        return dict([item.split("=", 1) for item in line.split(" ")[1:]])
    except ValueError:
        raise WireError(f"not name=value pairs: {line[:200]!r}") from None


def _write(proxy: str, action: b.Action) -> str:
    match action:
        case b.Send(request_id, cache_id, stop_at):
            stop = f" stopAtMs={stop_at:.3f}" if stop_at else ""
            return f"send proxy={proxy} xid={request_id} node={cache_id}{stop}"
        case b.Timer(delay, label):
            return f"set_alarm proxy={proxy} delayMs={delay:.3f} label={label}"
        case b.Refuse(request_id, backoff):
            wait = f" backoffMs={backoff:.3f}" if backoff else ""
            return f"refuse proxy={proxy} xid={request_id}{wait}"
        case b.Fail(request_id):
            return f"drop_request proxy={proxy} xid={request_id}"
        case b.Cancel(request_id, attempt):
            return f"cancel proxy={proxy} xid={request_id} sendNo={attempt}"
        case b.Subscribe(active):
            return f"keep_informed proxy={proxy} active={int(active)}"


class Adapter:
    """Reads batches, feeds the instances, writes their actions."""

    def __init__(self, source: IO[str], sink: IO[str]) -> None:
        self._source, self._sink = source, sink
        self._instances: dict[str, b.Balancer] = {}
        self._now = 0.0
        self.proxy = ""  # the instance of the event at hand, for fault messages
        self._events: dict[str, Callable[[dict[str, str]], list[b.Action]]] = {
            "demand": self._demand,
            "ended": self._ended,
            "timer": self._timer,
            "abandoned": self._abandoned,
            "view": self._view,
            "accepted": self._accepted,
            "detach": self._detach,
        }

    def run(self) -> None:
        """Serve batches until the input ends."""
        for line in self._source:
            line = line.rstrip("\r\n")
            if not line:
                continue
            if not line.startswith("batch "):
                raise WireError(f"expected a batch, got {line[:200]!r}")
            self._now = float(_fields(line)["tMs"])
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
        return False  # the input ended inside a batch: nobody waits for its reply

    def _event(self, line: str, out: list[str]) -> None:
        name = line.split(" ", 1)[0]
        if name == "born":
            self._born(line)
            return
        handler = self._events.get(name)
        if handler is None:
            if not name.isidentifier() or name == "row":
                raise WireError(f"unexpected line {line[:200]!r}")
            return  # an event this adapter has no use for
        fields = _fields(line)
        self.proxy = fields["proxy"]
        for action in handler(fields):
            out.append(_write(self.proxy, action))

    def _born(self, line: str) -> None:
        head, _, conf = line.partition(" conf=")
        fields = _fields(head)
        if "seed" not in fields:  # the settings may come before the seed only with no text after
            raise WireError("born without a seed before its settings")
        self.proxy = fields["proxy"]
        settings = parse_settings(json.loads(conf))
        self._instances[self.proxy] = b.Balancer(settings, int(fields["seed"]), self._now)

    def _view(self, fields: dict[str, str]) -> list[b.Action]:
        members = []
        for _ in range(int(fields.get("lines", 0))):
            line = self._source.readline().rstrip("\r\n")
            if not line.startswith("row "):
                raise WireError(f"expected a row, got {line[:200]!r}")
            members.append(_member(_fields(line)))
        kind = LISTS.get(fields["mode"])
        if kind is None:
            raise WireError(f"unknown list mode {fields['mode']!r}")
        return self._balancer.on_list(self._now, kind, members)

    def _demand(self, fields: dict[str, str]) -> list[b.Action]:
        key = fields.get("affinity")
        request = b.Request(
            int(fields["xid"]),
            fields["priority"],
            float(fields["giveUpAtMs"]),
            int(key) if key is not None else None,
            fields.get("mutates") == "1",
            fields.get("userGroup", ""),
        )
        return self._balancer.on_request(self._now, request)

    def _ended(self, fields: dict[str, str]) -> list[b.Action]:
        pressure = fields.get("pressure")
        report = None
        if pressure:
            report = {k: float(v) for k, v in (p.split(":") for p in pressure.split(","))}
        outcome = b.Outcome(
            int(fields["xid"]),
            int(fields.get("sendNo", 0)),
            RESULTS[fields["rc"]],
            fields.get("closed") == "1",
            float(fields.get("lagMs", 0.0)),
            HITS.get(fields.get("note", "")),
            report,
        )
        return self._balancer.on_outcome(self._now, outcome)

    def _timer(self, fields: dict[str, str]) -> list[b.Action]:
        return self._balancer.on_timer(self._now, int(fields["label"]))

    def _abandoned(self, fields: dict[str, str]) -> list[b.Action]:
        return self._balancer.on_client_gone(self._now, int(fields["xid"]))

    def _accepted(self, fields: dict[str, str]) -> list[b.Action]:
        return self._balancer.on_response_started(self._now, int(fields["xid"]))

    def _detach(self, fields: dict[str, str]) -> list[b.Action]:
        self._instances.pop(self.proxy, None)
        return []

    @property
    def _balancer(self) -> b.Balancer:
        instance = self._instances.get(self.proxy)
        if instance is None:
            raise WireError(f"no instance {self.proxy!r} is running")
        return instance


def _member(fields: dict[str, str]) -> b.Member:
    state = STATES.get(fields.get("readiness", "Ready"))
    if state is None:
        raise WireError(f"unknown readiness {fields['readiness']!r}")
    return b.Member(
        int(fields["node"]),
        state,
        fields.get("campus", ""),
        fields.get("type", ""),
        int(fields.get("unitGroup", 0)),
        float(fields.get("heft", 1.0)),
        float(fields.get("readyAtMs", 0.0)),
    )


def main() -> int:
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
