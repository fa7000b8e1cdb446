"""Injected bug: a repeat held by a blocked path arrives after its idempotency window.

Both limits on delivery are removed: the daemon's check and the kernel's TCP_USER_TIMEOUT.
"""

from violetroute.attempt_limits import AttemptLimits
from violetroute.transport.stream import SocketStream


def plant():
    AttemptLimits._check_delivery = lambda self, attempt: None
    SocketStream.deliver_within = lambda self, seconds: None
