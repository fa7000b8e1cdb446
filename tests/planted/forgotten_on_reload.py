"""Injected bug: a reload forgets the open requests."""

from violetroute.proxy import Proxy

reload = Proxy.reload


def forgets(self, config):
    reload(self, config)
    self._open.clear()
    self._named.clear()


def plant():
    Proxy.reload = forgets
