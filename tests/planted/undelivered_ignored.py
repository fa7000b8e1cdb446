"""What the explorer found second: a repeat held by a cut path arrives outside its window.

Both clocks are taken out: the daemon's own, and the kernel's behind it.
"""

from violetroute.proxy import Proxy
from violetroute.transport.stream import SocketStream


def plant():
    Proxy._check_delivery = lambda self, attempt: None
    SocketStream.deliver_within = lambda self, seconds: None
