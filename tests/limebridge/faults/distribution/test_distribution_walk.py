"""Stories of the state space that random walks are too rare to reach, with and without a fault."""

from __future__ import annotations

import runpy

import pytest

from limebridge.faults.distribution import walk
from limebridge.faults.distribution.checker import Rule
from tests.support.paths import TESTS
from violetroute.distribution.followers import Followers

TRACE = "ack_before_the_log_is_copied"


def test_a_fetch_counts_once_the_leader_has_the_most_recent_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Else one machine of three commits alone, and the next leader commits another batch there."""
    trace = (TESTS / "plans_distribution" / f"{TRACE}.story").read_text().splitlines()
    assert walk.replay(trace) == ""
    monkeypatch.setattr(Followers, "_acknowledged", Followers._acknowledged)  # undone at the end
    runpy.run_path(str(TESTS / "planted_distribution" / f"{TRACE}.py"))["plant"]()
    found = walk.Walk(0, tuple(trace), walk.replay(trace))
    assert found.rule == Rule.DURABLE
    assert walk.shrink(found).trace == found.trace  # nothing of it can be left out
