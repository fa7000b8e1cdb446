"""Reverts a fix: the kernel no longer limits the delivery of a command (TCP_USER_TIMEOUT)."""

from violetroute.transport.stream import SocketStream


def plant():
    SocketStream.deliver_within = lambda self, seconds: None
