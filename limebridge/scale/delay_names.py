"""The names of the measured delays in the report of a scale run."""

from __future__ import annotations

from violetroute.distribution.messages import Topic

COMMITTED = "publish to COMMITTED"
APPLIED_AT_A_PROXY = "publish to applied at a proxy"
APPLIED_AT_EVERY_PROXY = "publish to applied at every proxy"
IN_FORCE = "publish to in force, as the leader reports"
TOPIC_NAMES = {Topic.PURGE: "purge", Topic.CONFIGURATION: "change"}


def delay_name(topic: Topic, stage: str) -> str:
    """The name of the delay of `topic` up to `stage`, such as "purge: publish to COMMITTED"."""
    return f"{TOPIC_NAMES[topic]}: {stage}"
