"""The gate moves twice as fast as its news allow."""

from snowstall import gate


def plant():
    gate.GAIN, gate.DELAY_SCALE_MS = 2.0 * gate.GAIN, 1e9
