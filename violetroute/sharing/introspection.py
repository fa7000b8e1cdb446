"""What `limebridge fleet members | beliefs | budgets` is told, each with its age and origin."""

from __future__ import annotations

from typing import Any

from .service import Sharing

STATES = {"a": "alive", "s": "suspected", "d": "dead", "l": "left"}


def look(sharing: Sharing, what: str) -> dict[str, Any]:
    """KeyError for what there is not."""
    now = sharing.loop.time()
    if what == "members":
        return {
            "name": sharing.name,
            "life": sharing.life,
            "health": sharing.members.health,
            "twin": sharing.members.twin is not None,
            "sent": sharing.sent,
            "received": sharing.received,
            "refused": sharing.refused,
            "bytes_sent": sharing.bytes_sent,
            "members": [
                {
                    "name": m.name,
                    "life": m.life,
                    "state": STATES[m.state],
                    "address": m.place,
                    "zone": m.zone,
                    "since_s": round(now - m.since, 1),
                    "heard_s": round(now - m.heard_at, 1) if m.heard_at > 0.0 else None,
                }
                for m in sharing.members.members.values()
            ],
        }
    if what == "beliefs":
        return {
            "nodes": []
            if sharing.rounds.node_health is None
            else [
                {
                    "node": sharing.host.places.name(node),
                    "witnesses": witnesses,
                    "trouble": round(share, 3),
                    "own_trouble": round(own, 3),
                    "avoided": bad,
                }
                for node, witnesses, share, own, bad in sharing.rounds.node_health.beliefs(now)
            ],
            "counts": {
                kind: [
                    [f"{key:016x}", round(count, 1), round(error, 1)]
                    for key, count, error in counts.fleet(now).top()[:10]
                ]
                for kind, counts in sharing.rounds.counts.items()
            },
        }
    if what == "budgets":
        return {
            "proxies": sharing.divided,
            "budgets": [
                {
                    "name": name,
                    "own": budget.loans.own(now) / 1000.0,
                    "home": budget.loans.home / 1000.0,
                    "asked_per_s": round(budget.demand(now), 2),
                    "may_spend": budget.loans.authority(now) / 1000.0,
                    "let_in": budget.let_in,
                    "turned_away": budget.turned_away,
                    "whole_in_s": round(max(0.0, budget.loans.waits_until - now), 2),
                    "borrowed": [
                        [who, amount / 1000.0, round(left, 2)]
                        for who, amount, left in budget.loans.loans(now)
                    ],
                    "lent": [
                        [who, amount / 1000.0, round(left, 2)]
                        for who, amount, left in budget.loans.debts(now)
                    ],
                }
                for name, budget in sharing.budgets.items()
            ],
        }
    raise KeyError(what)
