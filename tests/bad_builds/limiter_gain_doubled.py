"""Injected bug: the admission limiter's gain is doubled and not reduced for late failures."""

from snowstall import gate


def plant():
    gate.GAIN, gate.DELAY_SCALE_MS = 2.0 * gate.GAIN, 1e9
