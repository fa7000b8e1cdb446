"""Network addresses as text HOST:PORT, as in the configuration and the node list."""

from __future__ import annotations

import ipaddress
import socket

import msgspec


class Address(msgspec.Struct, frozen=True, gc=False):
    """A numeric host and a port.  A Struct, since mapping keys are hashed and compared in C."""

    host: str
    port: int


def parse_address(text: object) -> Address:
    """Parse HOST:PORT with a numeric host.  Raises ValueError for anything else."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    if _is_ipv4(host):
        return Address(host, int(port))
    try:  # no DNS here: a name would fail later, at each attempt
        host = str(ipaddress.ip_address(host.removeprefix("[").removesuffix("]")))
    except ValueError:
        raise ValueError(f"not an address: {text!r}") from None
    return Address(host, int(port))


def _is_ipv4(host: str) -> bool:
    """Whether `host` is a canonical IPv4 address; takes a tenth of the time of `ipaddress`."""
    try:
        return socket.inet_ntoa(socket.inet_pton(socket.AF_INET, host)) == host
    except (OSError, ValueError):
        return False
