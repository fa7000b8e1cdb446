"""Figures measured by earlier runs, each with the section of docs/ROADMAP.md that has the run."""

from __future__ import annotations

from .results import QuotedFigure

SHARING = "docs/ROADMAP.md, Shared within bounds (issue 39)"
OWNERSHIP = "docs/ROADMAP.md, One owner at a time (issue 38)"
LEDGER = "docs/ROADMAP.md, Usage ledger (issue 31)"

QUOTED_FIGURES = (
    QuotedFigure(
        "budgets.used_share",
        0.992,
        "of the budget",
        f"{SHARING}: load on one of ten real daemons, benchmarks/sharing.py use --daemons 10",
    ),
    QuotedFigure(
        "budgets.used_share_in_split",
        0.810,
        "of the budget",
        f"{SHARING}: a fifth of ten daemons cut off for 6 s, benchmarks/sharing.py split",
    ),
    QuotedFigure(
        "budgets.request_us",
        3.6,
        "us",
        f"{SHARING}: what a request passes of it, benchmarks/sharing.py request",
    ),
    QuotedFigure(
        "sharing.memory_mb",
        2.3,
        "MB",
        f"{SHARING}: 28.5 MB off, 30.8 MB on, one daemon, benchmarks/sharing.py rest",
    ),
    QuotedFigure(
        "sharing.rest_cpu_share",
        0.0016,
        "cores",
        f"{SHARING}: 0.0017 off, 0.0033 on, one daemon, benchmarks/sharing.py rest",
    ),
    QuotedFigure(
        "counts.bytes",
        872,
        "bytes",
        f"{SHARING}: one summary of a member, benchmarks/sharing.py counts",
    ),
    QuotedFigure(
        "counts.error_at_710",
        0.013,
        "of all requests",
        f"{SHARING}: error of the ten heaviest of 20,000 keys, benchmarks/sharing.py counts",
    ),
    QuotedFigure(
        "ownership.calls_per_s_per_proxy",
        0.04,
        "1/s",
        f"{OWNERSHIP}: calls at the store at rest, 710 proxies and ten works in memory,"
        " term 15 s, benchmarks/fleet.py",
    ),
    QuotedFigure(
        "ownership.calls_worst_second",
        1061,
        "1/s",
        f"{OWNERSHIP}: at the store when 710 proxies restart, in memory, benchmarks/fleet.py",
    ),
    QuotedFigure(
        "ownership.memory_mb",
        2.7,
        "MB",
        f"{OWNERSHIP}: 27.0 MB off, 29.7 MB on, one daemon, benchmarks/fleet.py",
    ),
    QuotedFigure(
        "ownership.without_owner_s",
        2.076,
        "s",
        f"{OWNERSHIP}: most of eight rounds, cut off from Consul, term 0.8 s, benchmarks/fleet.py",
    ),
    QuotedFigure(
        "ledger.flush_ms",
        0.12,
        "ms",
        f"{LEDGER}: one synced flush of the log, benchmarks/ledger.py",
    ),
    QuotedFigure(
        "ledger.request_us",
        1.17,
        "us",
        f"{LEDGER}: `served` with ids, benchmarks/ledger.py",
    ),
    QuotedFigure(
        "ledger.memory_mb",
        1.3,
        "MB",
        f"{LEDGER}: 27.8 MB off, 29.1 MB on, one daemon",
    ),
    QuotedFigure(
        "ledger.tenants_memory_kb",
        520,
        "KiB",
        f"{LEDGER}: 100,000 made-up tenants, benchmarks/ledger.py",
    ),
)
