"""A trace that random walks reach too rarely, replayed with and without its planted fault."""

from __future__ import annotations

import runpy

import pytest

from limebridge.faults.distribution import walk
from limebridge.faults.distribution.checker import Rule
from tests.support.paths import TESTS
from violetroute.distribution.followers import Followers

TRACE_NAME = "ack_before_the_log_is_copied"


def test_fetch_is_no_acknowledgement_until_the_leader_has_the_most_recent_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader that has not copied the most recent log must not count fetches as acknowledgements.

    Otherwise one machine of three commits a batch alone, and the next leader commits another batch
    at the same position.
    """
    trace = (TESTS / "plans_distribution" / f"{TRACE_NAME}.story").read_text().splitlines()
    assert walk.replay(trace) == ""
    # Set to its own value so that pytest restores it after the test.
    monkeypatch.setattr(Followers, "_acknowledged", Followers._acknowledged)
    runpy.run_path(str(TESTS / "planted_distribution" / f"{TRACE_NAME}.py"))["plant"]()
    walked = walk.Walk(0, tuple(trace), walk.replay(trace))
    assert walked.rule == Rule.DURABLE
    assert walk.shrink(walked).trace == walked.trace  # every event is needed
