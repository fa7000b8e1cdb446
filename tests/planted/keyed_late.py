"""A keyed request is repeated up to 100 ms late, and nobody asks whether it arrived in time."""

from snowstall import attempts
from violetroute.proxy import Proxy


def plant():
    attempts.REPEAT_MARGIN_MS = -100.0
    Proxy._check_delivery = lambda self, attempt: None
