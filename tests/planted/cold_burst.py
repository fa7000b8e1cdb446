"""A cold node is taken for a warm one, and one that has just answered for the best."""
import dataclasses

import violetroute.proxy as proxy

member = proxy._member


def plant():
    proxy._member = lambda entry, now: dataclasses.replace(
        member(entry, now), started_at=0.0, weight=50.0)
