"""A replica whose disk was lost: what the operator sees while it waits for other machines."""

from __future__ import annotations

from tests.support.distribution_cluster import Cluster
from violetroute.distribution.actions import MachineSettings, Notice
from violetroute.distribution.messages import StatusReply, StatusRequest

RELEASE_LEASE_AFTER_S = MachineSettings("m0", ("m0",)).release_lease_after_s


def replaced(size: int = 5) -> Cluster:
    """m0 leads, m1 runs on a new disk and m2 is down."""
    cluster = Cluster(size)
    cluster.lead("m0")
    cluster.run(0.6)
    cluster.crash("m2")
    cluster.lose_disk("m1")
    cluster.start("m1")
    return cluster


def status(cluster: Cluster, name: str) -> StatusReply:
    found = cluster.answers[cluster.request(name, StatusRequest())]
    assert isinstance(found, StatusReply)
    return found


def waits(cluster: Cluster) -> list[Notice]:
    return [each for each in cluster.notices if each.event == "recovery_waits"]


def test_a_machine_that_is_gone_is_named_once_in_the_log() -> None:
    cluster = replaced()
    cluster.run(RELEASE_LEASE_AFTER_S - 0.1)
    assert waits(cluster) == []
    cluster.run(5 * RELEASE_LEASE_AFTER_S)
    assert waits(cluster) == [Notice("recovery_waits", (("machines", "m2"),))]
    assert cluster.machine("m1").replica.recovering


def test_the_status_names_whom_the_recovery_waits_for() -> None:
    cluster = replaced()
    cluster.run(2.0)
    found = status(cluster, "m1")
    heard = {name: seconds for name, _, seconds in found.replicas}
    assert found.recovering and list(heard) == ["m1", "m0", "m2", "m3", "m4"]
    assert [name for name, seconds in heard.items() if seconds < 0] == ["m2"]
    assert 1.0 < heard["m0"] < 2.1  # since it told its promise


def test_a_machine_that_is_gone_for_good_is_replaced_and_both_recover() -> None:
    cluster = replaced()
    cluster.run(2 * RELEASE_LEASE_AFTER_S)
    cluster.lose_disk("m2")
    cluster.start("m2")
    cluster.run(4.0)
    assert not any(machine.replica.recovering for machine in cluster.machines())
    assert status(cluster, "m1").replicas == ()
    assert len(waits(cluster)) == 1


def test_a_recovery_that_waits_for_nobody_is_not_named() -> None:
    cluster = replaced()
    cluster.start("m2")
    cluster.run(3 * RELEASE_LEASE_AFTER_S)
    assert waits(cluster) == [] and not cluster.machine("m1").replica.recovering


def test_a_recovery_that_has_heard_of_all_and_has_no_leader_names_nobody() -> None:
    cluster = replaced()
    cluster.step_down("m0")
    cluster.start("m2")
    cluster.run(3 * RELEASE_LEASE_AFTER_S)
    assert waits(cluster) == [] and cluster.machine("m1").replica.recovering
    assert all(seconds >= 0 for _, _, seconds in status(cluster, "m1").replicas)
