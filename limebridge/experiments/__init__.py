"""Sweeps over rehearsals, kept as tables and charts (docs/design/experiments.md)."""
