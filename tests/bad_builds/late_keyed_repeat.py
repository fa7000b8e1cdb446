"""Injected bug: a keyed command is repeated even after its idempotency window."""

from snowstall import attempts, balance


def plant():
    attempts.REPEAT_MARGIN_MS = -1e9
    original_send = balance.Balancer._send

    def send_without_limit(self, pending, cache, actions, asking=False):
        original_send(self, pending, cache, actions, asking)
        actions[-1].deliver_by = 0.0

    balance.Balancer._send = send_without_limit
