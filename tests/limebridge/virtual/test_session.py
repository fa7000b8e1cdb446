"""A run in memory leaves the log of its process as it was."""

from __future__ import annotations

import pytest

from limebridge.virtual.session import isolated_run
from violetroute import logs


def test_events_are_logged_again_after_an_isolated_run(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a fault: the logger kept from the run that warnings are disabled, so that a
    # later test in the same process waited in vain for its event.
    logs.event("clients.accept_failed", reason="1")
    with isolated_run(50):
        logs.event("clients.accept_failed", reason="2")
    logs.event("clients.accept_failed", reason="3")
    fields = [vars(record)["fields"] for record in caplog.records]
    assert fields == [{"reason": "1"}, {"reason": "3"}]
