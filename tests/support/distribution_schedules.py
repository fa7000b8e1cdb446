"""Events of random schedules for a `distribution_cluster.Cluster`."""

from __future__ import annotations

import random
from dataclasses import dataclass

from tests.support.distribution_cluster import TIME_STEP_S, Cluster


@dataclass(frozen=True)
class Event:
    """An event of a schedule; `choice` selects a machine or a message, modulo their number."""

    kind: str
    choice: int


EVENTS = {  # relative frequency by kind
    "run": 24,  # some messages arrive and some writes finish, mostly in order
    "pass_time": 4,
    "publish": 8,
    "lead": 3,
    "late_lead": 1,  # with a fence that may have been used already
    "step_down": 1,
    "crash": 1,
    "start": 3,
    "restart": 3,
    "lose_disk": 1,
    "pause": 1,
    "resume": 3,
    "cut": 2,  # messages of a machine stay in flight until "heal"
    "heal": 3,
    "drop": 1,
    "copy": 2,
    "give_up": 3,
}
RUN_STEPS = 60
TIME_STEPS_S = (0.02, 0.1, 0.3, 1.0, 3.0)


def apply_event(cluster: Cluster, event: Event) -> None:
    """Apply an event and check all rules."""
    choice = event.choice
    name = cluster.names[choice % len(cluster.names)]
    match event.kind:
        case "run":
            run_some(cluster, choice)
        case "pass_time":
            cluster.pass_time(TIME_STEPS_S[choice % len(TIME_STEPS_S)])
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
    """Apply an event to the process of a machine.  Raises ValueError for an unknown kind."""
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
    """Drop or copy a message in flight, or let the sender of a request give up."""
    requests = [each for each in cluster.in_flight if not each.reply]
    if event.kind == "give_up" and cluster.unanswered:
        cluster.give_up(event.choice % len(cluster.unanswered))
    elif event.kind == "copy" and requests:
        cluster.in_flight.append(requests[event.choice % len(requests)])
    elif event.kind == "drop" and cluster.in_flight:
        del cluster.in_flight[event.choice % len(cluster.in_flight)]


def leading_machine(cluster: Cluster) -> str:
    """The running leader with the greatest fence, or ""."""
    leading = [
        (machine.replica.fence, name)
        for name in cluster.names
        if (machine := cluster.running_machine(name)) is not None and machine.leading
    ]
    return max(leading)[1] if leading else ""


def lose_disk_of_minority(cluster: Cluster, name: str) -> None:
    """Lose a disk and restart, unless a majority would lack a disk: then nothing is guaranteed."""
    node = cluster.nodes[name]
    minority = (len(cluster.names) - 1) // 2
    if cluster.recovering_count() < minority or node.stored.recovering:
        cluster.lose_disk(name)
        cluster.start(name)


def run_some(cluster: Cluster, seed: int) -> None:
    """Deliver messages and finish writes, mostly in order."""
    rng = random.Random(seed)
    for _ in range(RUN_STEPS):
        draw = rng.random()
        writers = [name for name, node in cluster.nodes.items() if node.writes]
        indices = cluster.deliverable()
        if writers and draw < 0.4:
            cluster.sync(rng.choice(writers))
        elif indices and draw < 0.9:
            cluster.deliver(indices[0] if rng.random() < 0.7 else rng.choice(indices))
        elif draw >= 0.9:
            cluster.pass_time(TIME_STEP_S)
