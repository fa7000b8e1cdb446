"""66 clients send half of a template-save with a value of 64 KiB, and stay."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import half_commands
import support

VALUE = 64 * 1024  # the longest value of the protocol


def half_command() -> bytes:
    """A template-save whose value stops in the middle."""
    request = half_commands.new_id()
    options = b"c=template-save,t=shop,d=2000,k=" + request
    head = b"$%d\r\n" % VALUE
    parts = [b"OBJ.SET", b"template-1", request, options]
    return half_commands.started(parts, head + b"x" * (VALUE // 2))


SCENE = half_commands.Scene(
    memory_mb=32, sockets=512, usual_connections=100, half_clients=66, half_command=half_command
)

if __name__ == "__main__":
    support.main(__file__, lambda record, folder: half_commands.play(record, folder, SCENE))
