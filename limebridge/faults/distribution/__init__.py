"""Fault tests of record distribution: plans, rule checker, simulated world, rig of processes."""
