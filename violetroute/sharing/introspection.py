"""What `limebridge fleet members | beliefs | budgets` is told, each with its age and origin."""

from __future__ import annotations

from typing import Any

from .budget import UNIT, Budget
from .loans import StandingLoan
from .service import Sharing

STATES = {"a": "alive", "s": "suspected", "d": "dead", "l": "left"}
SHOWN_HITTERS = 10  # of each kind


def look(sharing: Sharing, what: str) -> dict[str, Any]:
    """KeyError for what there is not."""
    views = {"members": _members, "beliefs": _beliefs, "budgets": _budgets}
    return views[what](sharing, sharing.loop.time())


def _members(sharing: Sharing, now: float) -> dict[str, Any]:
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
                "name": member.name,
                "life": member.life,
                "state": STATES[member.state],
                "address": member.place,
                "zone": member.zone,
                "since_s": round(now - member.since, 1),
                "heard_s": round(now - member.heard_at, 1) if member.heard_at > 0.0 else None,
            }
            for member in sharing.members.members.values()
        ],
    }


def _beliefs(sharing: Sharing, now: float) -> dict[str, Any]:
    node_health = sharing.rounds.node_health
    nodes = [] if node_health is None else node_health.beliefs(now)
    return {
        "nodes": [
            {
                "node": sharing.host.places.describe(node),
                "witnesses": witnesses,
                "trouble": round(share, 3),
                "own_trouble": round(own, 3),
                "avoided": bad,
            }
            for node, witnesses, share, own, bad in nodes
        ],
        "counts": {
            kind: [
                [f"{key:016x}", round(count, 1), round(error, 1)]
                for key, count, error in hitters.of_fleet(now).top()[:SHOWN_HITTERS]
            ]
            for kind, hitters in sharing.rounds.heavy_hitters.items()
        },
    }


def _budgets(sharing: Sharing, now: float) -> dict[str, Any]:
    return {
        "proxies": sharing.divided,
        "budgets": [_budget(name, budget, now) for name, budget in sharing.budgets.items()],
    }


def _budget(name: str, budget: Budget, now: float) -> dict[str, Any]:
    loans = budget.loans
    return {
        "name": name,
        "own": loans.own(now) / UNIT,
        "home": loans.home / UNIT,
        "asked_per_s": round(budget.demand(now), 2),
        "may_spend": loans.authority(now) / UNIT,
        "let_in": budget.let_in,
        "turned_away": budget.turned_away,
        "whole_in_s": round(max(0.0, loans.home_whole_at - now), 2),
        "borrowed": [_shown(loan) for loan in loans.borrowed(now)],
        "lent": [_shown(loan) for loan in loans.lent_out(now)],
    }


def _shown(loan: StandingLoan) -> list[Any]:
    return [loan.member, loan.amount / UNIT, round(loan.left_s, 2)]
