"""Addresses, as the configuration and the list of cache nodes write them."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int


def parse_address(text: object) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    try:  # there is no DNS: a name would only fail later, and once for each attempt
        host = str(ipaddress.ip_address(host.removeprefix("[").removesuffix("]")))
    except ValueError:
        raise ValueError(f"not an address: {text!r}") from None
    return Address(host, int(port))
