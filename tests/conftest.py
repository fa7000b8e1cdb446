"""Settings of all tests that make a verdict reproducible.

Hypothesis chooses the same examples in each run and has no deadline on the clock.  SIGINT has its
default handler even if the process that started the suite ignores it.
"""

import signal

from hypothesis import settings

pytest_plugins = ["tests.support.known_red", "tests.support.long_first"]

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

# A suite that a script runs in the background inherits SIGINT as ignored, and so would the
# processes that tests start.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)
