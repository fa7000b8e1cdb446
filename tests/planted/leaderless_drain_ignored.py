"""Reverts a fix: drains in a Consul response without a leader are ignored."""

from violetroute.membership.consul import ConsulWatch


def plant():
    ConsulWatch.apply_unusable = lambda self, body, is_complete: None
