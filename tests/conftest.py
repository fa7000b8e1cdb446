"""The same verdict every time: from no clock, no chance, and nothing of who started the suite."""

import signal

from hypothesis import settings

pytest_plugins = ["tests.support.known_red", "tests.support.long_first"]

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

# A suite in the background of a script inherits SIGINT as ignored, and so would what tests start.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)
