"""Random fault schedules on clusters of 3 and 5 control machines.

`distribution_checks` has the invariants that are checked after each event.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.support.distribution_cluster import Cluster
from tests.support.distribution_schedules import EVENTS, Event, apply_event
from violetroute.distribution.messages import Published, PublishStatus


def heal(cluster: Cluster) -> None:
    """Ends all faults; then a new leader must commit, and lost disks must recover."""
    cluster.cut = frozenset()
    for name in cluster.names:
        cluster.nodes[name].paused = False
        cluster.start(name)
        cluster.give_up_requests(name)
    cluster.run(4.0)
    cluster.lead(next(name for name in cluster.names if not recovering(cluster, name)))
    ticket = cluster.publish(leading(cluster), "after all")
    cluster.run(8.0)
    answer = cluster.answers[ticket]
    assert isinstance(answer, Published) and answer.status == PublishStatus.COMMITTED
    assert not any(recovering(cluster, name) for name in cluster.names)


def recovering(cluster: Cluster, name: str) -> bool:
    return cluster.machine(name).replica.recovering


def leading(cluster: Cluster) -> str:
    return next(name for name in cluster.names if cluster.machine(name).leading)


def event() -> st.SearchStrategy[Event]:
    weighted = [kind for kind, weight in EVENTS.items() for _ in range(weight)]
    return st.builds(Event, st.sampled_from(weighted), st.integers(0, 2**16 - 1))


@settings(max_examples=50, deadline=None, suppress_health_check=list(HealthCheck))
@given(size=st.sampled_from((3, 5)), events=st.lists(event(), min_size=30, max_size=100))
def test_no_schedule_breaks_a_rule(size: int, events: list[Event]) -> None:
    cluster = Cluster(size, keep_s=5.0, retention_interval_s=1.0)
    for each in events:
        apply_event(cluster, each)
    heal(cluster)


@pytest.mark.parametrize("seed", range(8))
def test_no_long_random_schedule_breaks_a_rule(seed: int) -> None:
    chosen = random.Random(seed)
    cluster = Cluster(3 + 2 * (seed % 2), seed, keep_s=5.0, retention_interval_s=1.0)
    kinds, weights = list(EVENTS), list(EVENTS.values())
    for _ in range(200):
        kind = chosen.choices(kinds, weights)[0]
        apply_event(cluster, Event(kind, chosen.randrange(2**16)))
    assert len(cluster.committed) >= 2
    heal(cluster)
