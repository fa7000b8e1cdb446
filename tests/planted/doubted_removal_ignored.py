"""Reverts a fix: nodes missing from a doubted answer stay in service until it is confirmed."""

import math

from violetroute.membership import staleness


def plant():
    staleness.CONFIRMATION_GRACE = math.inf
