"""Reads the receive window of a TCP connection from the kernel's TCP_INFO (Linux).

A sender holds a segment back until the whole of it fits into the window, so a window that is open
by less than a segment stops it as well: for 0.2 s and more, until it probes the window.  Segments
are large on some paths (65,483 bytes on loopback), so this happens while little is unread.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

TCP_INFO_SIZE = 512  # bytes; the kernel returns what it has
# Offsets in bytes of 32-bit fields of `struct tcp_info` (linux/tcp.h).
RCV_MSS_OFFSET = 20
ADVMSS_OFFSET = 84
RCV_WND_OFFSET = 232  # since Linux 6.2
FIELD_SIZE = 4


@dataclass(frozen=True, slots=True)
class ReceiveWindow:
    """The receive side of a connection; all values are bytes."""

    advertised: int  # the window as it was advertised last
    segment: int  # a usual segment of the peer; up to one that was read may be unacknowledged
    longest_segment: int  # the longest segment that the peer may send

    def has_room(self, unread: int) -> bool:
        """Whether the peer may certainly send its next segment, with `unread` bytes unread here."""
        return self.advertised - unread - self.segment >= self.longest_segment


def receive_window(sock: socket.socket) -> ReceiveWindow | None:
    """The connection's receive window; None if the kernel doesn't report it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return None
    if len(info) < RCV_WND_OFFSET + FIELD_SIZE:
        return None
    advertised, segment, longest_segment = (
        int(struct.unpack_from("=I", info, offset)[0])
        for offset in (RCV_WND_OFFSET, RCV_MSS_OFFSET, ADVMSS_OFFSET)
    )
    if not longest_segment:  # not a TCP connection of this kernel
        return None
    return ReceiveWindow(advertised, segment, longest_segment)
