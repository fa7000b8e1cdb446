"""Redis Cluster: slots, topology, the commands about them, and redirections from cache nodes."""

from .dialect import Dialect, Session
from .redirects import Redirect, SlotMap
from .slots import SLOTS, key_slot
from .table import ClusterTable
from .topology import Topology, topology

__all__ = [
    "SLOTS",
    "ClusterTable",
    "Dialect",
    "Redirect",
    "Session",
    "SlotMap",
    "Topology",
    "key_slot",
    "topology",
]
