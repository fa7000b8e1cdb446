"""Reverts a fix: data that waited unread during a pause is treated as new."""

from violetroute.clients.read_delay import ReadDelay


def plant():
    ReadDelay.delay = lambda self, now: 0.0
