"""EstimateLog: each change of an estimate is logged once, with a bounded line."""

from __future__ import annotations

import math

import pytest

from violetroute import estimate_log
from violetroute.estimate_log import MAX_NAMED_NODES, MIN_LOG_INTERVAL, EstimateLog


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, object]]]:
    found: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        estimate_log.logs, "event", lambda name, **fields: found.append((name, fields))
    )
    return found


def test_each_state_is_logged_once(events: list[tuple[str, dict[str, object]]]) -> None:
    now = [0.0]
    made = EstimateLog(lambda: now[0], lambda node: f"10.0.0.{node}:1")
    for _ in range(3):
        made.update({}, math.inf, math.inf)
    assert events == []
    for _ in range(3):
        made.update({2: 0, 1: 0}, math.inf, 41.66)
    assert events == [
        ("nodes.doubted", {"count": 2, "nodes": "10.0.0.1:1 10.0.0.2:1"}),
        ("admission.limited", {"of": "fetched", "a_second": 41.7}),
    ]
    now[0] += MIN_LOG_INTERVAL
    made.update({2: 0}, math.inf, 30.0)  # some nodes are still suspected, so no line is logged
    assert len(events) == 2
    made.update({2: 0, 3: 0}, math.inf, 30.0)
    assert events[2][1]["count"] == 2
    now[0] += MIN_LOG_INTERVAL
    made.update({}, math.inf, math.inf)
    made.update({}, math.inf, math.inf)
    assert [name for name, _ in events[3:]] == ["nodes.trusted", "admission.open"]


def test_a_flapping_state_is_logged_at_intervals(
    events: list[tuple[str, dict[str, object]]],
) -> None:
    now = [0.0]
    made = EstimateLog(lambda: now[0], str)
    for turn in range(600):  # half a minute of updates
        now[0] += 0.05
        made.update({1: 0} if turn % 2 else {}, *[5.0 if turn % 2 else math.inf] * 2)
    assert 2 <= len(events) <= 2 * (30.0 / MIN_LOG_INTERVAL + 1)
    last = {name.partition(".")[0]: name for name, _ in events}
    now[0] += MIN_LOG_INTERVAL
    made.update({}, math.inf, math.inf)  # the final state is logged
    now[0] += MIN_LOG_INTERVAL
    made.update({}, math.inf, math.inf)
    last |= {name.partition(".")[0]: name for name, _ in events}
    assert last == {"nodes": "nodes.trusted", "admission": "admission.open"}


def test_only_some_nodes_of_a_large_fleet_are_named(
    events: list[tuple[str, dict[str, object]]],
) -> None:
    EstimateLog(lambda: 0.0, str).update(range(100), math.inf, math.inf)
    ((_, fields),) = events
    assert fields["count"] == 100 and len(str(fields["nodes"]).split()) == MAX_NAMED_NODES


def test_a_limit_that_extends_from_the_database_to_the_nodes_is_logged(
    events: list[tuple[str, dict[str, object]]],
) -> None:
    now = [0.0]
    made = EstimateLog(lambda: now[0], str)
    for kept, fetched in ((math.inf, 9.0), (7.0, 9.0), (7.0, math.inf), (math.inf, math.inf)):
        made.update({}, kept, fetched)
        now[0] += MIN_LOG_INTERVAL
    assert [fields.get("of") for _, fields in events] == ["fetched", "both", "kept", None]
    assert [fields.get("a_second") for _, fields in events] == [9.0, 7.0, 7.0, None]
