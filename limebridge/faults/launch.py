"""The command that starts a daemon of a rig, with the faults that are planted in its code."""

from __future__ import annotations

import sys

_PROGRAM = """
import runpy, sys
patch = {patch!r}
if patch:
    runpy.run_path(patch)["plant"]()
from violetroute.__main__ import main
sys.argv = ["violetroute", *sys.argv[1:]]
raise SystemExit(main())
"""


def daemon_command(patch: str = "", prelude: str = "") -> tuple[str, ...]:
    """The words of a command line; the daemon's own arguments follow them.

    `patch`: path of a file whose plant() the daemon calls first, "" for none.  `prelude`: Python
    statements that it executes before that.
    """
    return sys.executable, "-c", prelude + _PROGRAM.format(patch=patch)
