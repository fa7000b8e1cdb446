"""Addresses, as the configuration and the list of cache nodes write them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int


def parse_address(text: object) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return Address(host, int(port))
