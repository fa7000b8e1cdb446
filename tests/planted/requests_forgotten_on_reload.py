"""Injected bug: a reload forgets the open requests."""

from violetroute.proxy import Proxy

reload = Proxy.reload


def reload_and_forget(self, config):
    reload(self, config)
    self._open.clear()
    self._named.clear()


def plant():
    Proxy.reload = reload_and_forget
