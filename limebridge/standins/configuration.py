"""The configuration that the platform gives a proxy at its start, as in PROXY_CONFIG."""

from __future__ import annotations

import os
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "caps": {
        "cancel": True,
        "connIdleMs": 5000.0,
        "connectTimeoutMs": 1000.0,
        "maxRetryAfterMs": 1500.0,
        "mostTries": 4,
        "retryAfter": False,
        "secondCopies": False,
    },
    "classes": [
        {
            "name": "lookup",
            "promiseMs": 5000.0,
            "deadlineMs": 10000.0,
            "effect": "pure",
            "worth": 2.0,
        },
        {
            "name": "optout",
            "promiseMs": 5000.0,
            "deadlineMs": 10000.0,
            "effect": "token",
            "group": "all",
            "keyTtlMs": 2500.0,
            "worth": 5.0,
        },
        {"name": "once", "promiseMs": 5000.0, "deadlineMs": 10000.0, "effect": "side_effect"},
    ],
    "guarantees": {
        "askWithinMs": 2000.0,
        "coldFrom": 0.13,
        "stopSendingWithinMs": 500.0,
        "warmWithinMs": 23000.0,
    },
    "membershipMode": "subscribe",
    "zone": "a",
}


def configuration(
    discovery: int,
    known: Sequence[Mapping[str, object]],
    sockets: int = 256,
    memory_mb: int = 64,
    listen: int = 0,
    **settings: Any,
) -> dict[str, Any]:
    """A configuration for loopback: `discovery` and `listen` are ports.

    `known`: entries of the platform's list, see `node_list`.  `settings` override SETTINGS.
    """
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "seed": "5",
        "discovery": f"127.0.0.1:{discovery}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"generation": 1, "reset": True, "instances": known},
        "settings": SETTINGS | settings,
    }


def environment(path: Path) -> dict[str, str]:
    """Environment of a child daemon: this configuration, without this process's operator file.

    The parent reads the daemon's log, which an operator's file named in the user's environment
    could turn off.
    """
    variables = {key: value for key, value in os.environ.items() if key != "LIMEBRIDGE_OPERATOR"}
    return variables | {"PROXY_CONFIG": str(path)}
