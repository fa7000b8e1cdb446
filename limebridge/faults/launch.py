"""The command line that starts a daemon of a rig, perhaps with a bug injected into its code."""

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
    """The first arguments of a command line; the daemon's own arguments follow them.

    `patch`: path of a Python file whose plant() the daemon calls first, to inject a bug; "" for
    none.  `prelude`: Python statements that the daemon executes before that.
    """
    return sys.executable, "-c", prelude + _PROGRAM.format(patch=patch)
