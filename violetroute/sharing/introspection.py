"""Output of `limebridge fleet members | beliefs | budgets`, with the age and origin of entries."""

from __future__ import annotations

from typing import Any

from .budget import UNITS_PER_REQUEST, Budget
from .loans import StandingLoan
from .service import Sharing

STATES = {"a": "alive", "s": "suspected", "d": "dead", "l": "left"}
SHOWN_HITTERS = 10  # heavy hitters of each kind


def view(sharing: Sharing, what: str) -> dict[str, Any]:
    """The output of one command; KeyError for an unknown one."""
    views = {"members": _members, "beliefs": _health_estimates, "budgets": _budgets}
    return views[what](sharing, sharing.loop.time())


def _members(sharing: Sharing, now: float) -> dict[str, Any]:
    return {
        "name": sharing.name,
        "life": sharing.life,
        "health": sharing.members.health,
        "twin": sharing.members.duplicate is not None,
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
                "heard_s": round(now - member.last_contact_at, 1)
                if member.last_contact_at > 0.0
                else None,
            }
            for member in sharing.members.members.values()
        ],
    }


def _health_estimates(sharing: Sharing, now: float) -> dict[str, Any]:
    node_health = sharing.rounds.node_health
    nodes = [] if node_health is None else node_health.estimates(now)
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
                for key, count, error in hitters.fleet_summary(now).top()[:SHOWN_HITTERS]
            ]
            for kind, hitters in sharing.rounds.heavy_hitters.items()
        },
    }


def _budgets(sharing: Sharing, now: float) -> dict[str, Any]:
    return {
        "proxies": sharing.budget_proxies,
        "budgets": [_budget(name, budget, now) for name, budget in sharing.budgets.items()],
    }


def _budget(name: str, budget: Budget, now: float) -> dict[str, Any]:
    loans = budget.loans
    return {
        "name": name,
        "own": loans.own_authority(now) / UNITS_PER_REQUEST,
        "home": loans.home / UNITS_PER_REQUEST,
        "asked_per_s": round(budget.demand(now), 2),
        "may_spend": loans.authority(now) / UNITS_PER_REQUEST,
        "let_in": budget.admitted,
        "turned_away": budget.rejected,
        "whole_in_s": round(max(0.0, loans.home_available_at - now), 2),
        "borrowed": [_shown(loan) for loan in loans.borrowed_loans(now)],
        "lent": [_shown(loan) for loan in loans.lent_loans(now)],
    }


def _shown(loan: StandingLoan) -> list[Any]:
    return [loan.member, loan.amount / UNITS_PER_REQUEST, round(loan.left_s, 2)]
