"""The daemon's program with a loop that measures no lag, so that it never refuses for lack of CPU.

On a busy machine the program is not run for a while, finds itself overloaded and answers `-BUSY`.
That is right, and tested in `test_own_load.py`.  A test that needs each of its commands to be taken
runs this program in its place.
"""

from __future__ import annotations

import sys

from violetroute import __main__ as program
from violetroute.transport.loop_lag import Turns, TurnSelector


def without_lag(selector: TurnSelector) -> Turns:
    """The selector polls as in service, and nobody reads its times."""
    return Turns()


if __name__ == "__main__":
    program.Turns = without_lag  # type: ignore[misc, assignment]
    sys.exit(program.main())
