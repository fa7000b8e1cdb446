"""The table `[cluster]` of the operator's file."""

from __future__ import annotations

from typing import Literal

import msgspec


class ClusterProxy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[cluster.proxies]]`: one of several proxies that appear as the nodes of a cluster."""

    name: str  # PROXY_NAME of the proxy
    address: str  # ADDRESS:PORT for clients; may differ from its listening address
    slots: tuple[str, ...]  # "0-5460", "7000", ...


class ClusterTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How this proxy appears to Redis Cluster clients.  Reloaded with SIGHUP."""

    appear: Literal["off", "one", "several"] = "off"
    announce: str = ""  # "one": ADDRESS:PORT for clients; default: its listening address
    proxies: tuple[ClusterProxy, ...] = ()  # with "several": the members of the cluster
    follow: bool = False  # follow redirections of cache nodes; else they count as malformed
    foreign: Literal["moved", "serve"] = "moved"  # with "several": handling of another proxy's keys
