"""Addresses requests between control machines to a machine of a log.

A process is not known by the address it listens at: the process of another machine, or of a machine
of another log, may come up there.  Its promise or acknowledgement would count as that of the
machine that was asked, and a majority could be counted that there is not.  So each request names
the machine and the log it is meant for, and any other process refuses it.
"""

from __future__ import annotations

import msgspec

from .actions import Request
from .messages import Destination, Fetch, Message, Prepare, Report

MISDIRECTED_STATUS = 421  # HTTP: Misdirected Request
MISDIRECTED = "request for another machine or another log"


def addressed(request: Request, machine: str, log: str) -> Request:
    """The request with its destination: the control machine `machine` of the log `log`."""
    return msgspec.structs.replace(request, to=Destination(machine, log))


def is_for(message: Message, machine: str, log: str) -> bool:
    """Whether a request that was received is meant for this machine of this log.

    Requests of proxies and commands name no machine, nor do those of earlier builds.
    """
    if not isinstance(message, Prepare | Fetch | Report) or message.to is None:
        return True
    return message.to == Destination(machine, log)
