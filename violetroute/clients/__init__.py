"""Client side of the proxy: listener, connections, memory budget and ordered answers."""

from .answers import Answer, LocalRefusal, RequestHandler
from .budget import Budget
from .connection import ClientConnection
from .listener import Listener

__all__ = ["Answer", "Budget", "ClientConnection", "Listener", "LocalRefusal", "RequestHandler"]
