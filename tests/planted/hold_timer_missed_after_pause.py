"""Reverts a fix: after a pause a held request's timer does not run before its deadline."""

from violetroute.proxy import Proxy


def plant():
    Proxy._end_overdue_hold = lambda self, request: None
