"""Fault injection for budgets that several proxies share: plans, a checker, two ways to run a plan.

A plan runs in memory (`memory`, deterministic) or on real daemons behind UDP relays (`rig`).
"""
