"""Addresses, as the configuration and the list of cache nodes write them."""

from __future__ import annotations

import ipaddress
import socket

import msgspec


class Address(msgspec.Struct, frozen=True, gc=False):
    """Where somebody is reached.  A key of many mappings: it is hashed and compared in C."""

    host: str
    port: int


def parse_address(text: object) -> Address:
    """HOST:PORT with a numeric host.  Raises ValueError for anything else."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    if _is_ipv4(host):
        return Address(host, int(port))
    try:  # there is no DNS: a name would only fail later, and once for each attempt
        host = str(ipaddress.ip_address(host.removeprefix("[").removesuffix("]")))
    except ValueError:
        raise ValueError(f"not an address: {text!r}") from None
    return Address(host, int(port))


def _is_ipv4(host: str) -> bool:
    """Whether it is four decimal numbers as they are printed; a tenth of `ipaddress`'s time."""
    try:
        return socket.inet_ntoa(socket.inet_pton(socket.AF_INET, host)) == host
    except (OSError, ValueError):
        return False
