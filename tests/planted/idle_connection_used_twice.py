"""Injected bug: an idle connection stays in the idle list when it is used, and is used twice."""

from violetroute.upstream.connection import NodeConnection
from violetroute.upstream.pool import Pool

send = Pool.send


def send_and_keep_idle(self, attempt):
    node = self._nodes.get(attempt.cache_id)
    last = node.idle[-1] if node is not None and node.idle else None
    send(self, attempt)
    if last is not None and last.attempt is attempt:
        node.idle.append(last)


def plant():
    Pool.send = send_and_keep_idle
    run = NodeConnection.run

    def run_without_attempt(self, attempt):
        self.attempt = None
        run(self, attempt)

    NodeConnection.run = run_without_attempt
