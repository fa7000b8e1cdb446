"""Reverts a fix: after a pause clients are read before pending updates from discovery."""

from violetroute.membership.native import DiscoveryCall
from violetroute.transport.sockets import SocketNetwork


def plant():
    connect = SocketNetwork.connect

    def connect_without_priority(self, address, handler, time_limit, first=False):
        return connect(
            self, address, handler, time_limit, first and not isinstance(handler, DiscoveryCall)
        )

    SocketNetwork.connect = connect_without_priority
