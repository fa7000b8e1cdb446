"""Clients: the listener, connections, their budget, the order of answers."""

from .answers import Answer, RequestHandler
from .budget import Budget
from .connection import ClientConnection
from .listener import Listener

__all__ = ["Answer", "Budget", "ClientConnection", "Listener", "RequestHandler"]
