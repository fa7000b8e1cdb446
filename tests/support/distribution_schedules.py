"""Schedules of events for a `distribution_cluster.Cluster`, drawn at random or by hypothesis."""

from __future__ import annotations

import random
from dataclasses import dataclass

from tests.support.distribution_cluster import TIME_STEP_S, Cluster


@dataclass(frozen=True)
class Event:
    """One event of a schedule; `choice` selects a machine or a message among those there are."""

    kind: str
    choice: int


EVENTS = {  # kind: how often it is drawn
    "run": 24,  # some of what is on its way arrives, mostly in order
    "pass_time": 4,
    "publish": 8,
    "lead": 3,
    "late_lead": 1,  # a fence that has been used
    "step_down": 1,
    "crash": 1,
    "start": 3,
    "restart": 3,
    "lose_disk": 1,
    "pause": 1,
    "resume": 3,
    "cut": 2,  # what goes to or from a machine waits until the cut is over
    "heal": 3,
    "drop": 1,
    "copy": 2,
    "give_up": 3,
}
RUN_STEPS = 60
TIMES_S = (0.02, 0.1, 0.3, 1.0, 3.0)


def apply_event(cluster: Cluster, event: Event) -> None:
    choice = event.choice
    name = cluster.names[choice % len(cluster.names)]
    match event.kind:
        case "run":
            run_some(cluster, choice)
        case "pass_time":
            cluster.pass_time(TIMES_S[choice % len(TIMES_S)])
        case "publish":
            cluster.publish(leading_machine(cluster) or name, f"k{cluster.tickets}")
        case "lead":
            cluster.lead(name)
        case "late_lead":
            cluster.lead(name, max(1, cluster.fence - choice % 3))
        case "lose_disk":
            lose_disk_of_minority(cluster, name)
        case "cut":
            cluster.cut = frozenset((name,))
        case "heal":
            cluster.cut = frozenset()
        case "drop" | "copy" | "give_up":
            disturb_message(cluster, event)
        case _:
            change_process(cluster, event.kind, name)
    cluster.check()


def change_process(cluster: Cluster, kind: str, name: str) -> None:
    match kind:
        case "step_down":
            cluster.step_down(name)
        case "crash":
            cluster.crash(name)
        case "start":
            cluster.start(name)
        case "restart":
            cluster.crash(name)
            cluster.start(name)
        case "pause":
            cluster.nodes[name].paused = cluster.nodes[name].machine is not None
        case "resume":
            cluster.nodes[name].paused = False
        case _:
            raise ValueError(f"no event {kind!r}")


def disturb_message(cluster: Cluster, event: Event) -> None:
    requests = [each for each in cluster.flying if not each.reply]
    if event.kind == "give_up" and cluster.waiting:
        cluster.give_up(event.choice % len(cluster.waiting))
    elif event.kind == "copy" and requests:
        cluster.flying.append(requests[event.choice % len(requests)])
    elif event.kind == "drop" and cluster.flying:
        del cluster.flying[event.choice % len(cluster.flying)]


def leading_machine(cluster: Cluster) -> str:
    """The leader with the greatest fence among those that run, if there is one."""
    leading = [
        (machine.replica.fence, name)
        for name in cluster.names
        if (machine := cluster.running(name)) is not None and machine.leading
    ]
    return max(leading)[1] if leading else ""


def lose_disk_of_minority(cluster: Cluster, name: str) -> None:
    """Nothing is promised beyond a minority without a disk."""
    node = cluster.nodes[name]
    minority = (len(cluster.names) - 1) // 2
    if cluster.unreliable() < minority or node.stored.recovering:
        cluster.lose_disk(name)
        cluster.start(name)


def run_some(cluster: Cluster, seed: int) -> None:
    """Messages arrive and writes finish, mostly in order."""
    chosen = random.Random(seed)
    for _ in range(RUN_STEPS):
        pick = chosen.random()
        writers = [name for name, node in cluster.nodes.items() if node.writes]
        places = cluster.deliverable()
        if writers and pick < 0.4:
            cluster.sync(chosen.choice(writers))
        elif places and pick < 0.9:
            cluster.deliver(places[0] if chosen.random() < 0.7 else chosen.choice(places))
        elif pick >= 0.9:
            cluster.pass_time(TIME_STEP_S)
