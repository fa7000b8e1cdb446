"""Found by exploration, taken back: a drain in an answer without a leader is not kept."""

from violetroute.membership.consul import ConsulWatch


def plant():
    ConsulWatch._apply_drains = lambda self, body: None
