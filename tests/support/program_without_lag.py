"""The daemon's program without the measurement of event loop lag, so that it never sheds load.

On a busy machine the daemon may get no CPU time for a while; then it measures an overload and
answers `-BUSY`.  That is correct, and tested in `test_own_load.py`.  Tests that need each of their
commands to be admitted run this program instead.
"""

from __future__ import annotations

import sys

from violetroute import __main__ as program
from violetroute.transport.loop_lag import Turns, TurnSelector


def without_lag(selector: TurnSelector) -> Turns:
    """Make Turns without the selector, so that no poll times, and so no lag, are measured."""
    return Turns()


if __name__ == "__main__":
    program.Turns = without_lag  # type: ignore[misc, assignment]
    sys.exit(program.main())
