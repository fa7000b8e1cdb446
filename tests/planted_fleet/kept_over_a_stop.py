"""Planted: who goes on after a stop believes what it knew, and looks at no clock."""

from violetroute.fleet.election import Owner


def plant():
    Owner.may = lambda self, now, need=0.0: self.fence if self.state == "owner" else 0
