"""Injected bug: no request is rejected, by the admission limiter or for event loop load."""

from snowstall.balance import Balancer
from snowstall.gate import AdmissionLimiter


def plant():
    AdmissionLimiter.admits = lambda self, value, time: True
    Balancer.on_arrival = lambda self, now, class_name, unread, left, spent, taken: None
