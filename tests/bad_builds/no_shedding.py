"""Nothing is turned away: neither by the gate nor by the proxy's own load."""

from snowstall.balance import Balancer
from snowstall.gate import AdmissionLimiter


def plant():
    AdmissionLimiter.admits = lambda self, value, time: True
    Balancer.on_arrival = lambda self, now, class_name, unread, left, spent, taken: None
