"""Log notices and status of a recovering replica while it waits for other machines."""

from __future__ import annotations

from tests.support.distribution_cluster import Cluster
from violetroute.distribution.actions import MachineSettings, Notice
from violetroute.distribution.messages import StatusReply, StatusRequest

RELEASE_LEASE_AFTER_S = MachineSettings("m0", ("m0",)).release_lease_after_s


def cluster_with_new_disk(size: int = 5) -> Cluster:
    """Returns a cluster: m0 leads, m1 runs on a new disk and m2 is down."""
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


def wait_notices(cluster: Cluster) -> list[Notice]:
    return [each for each in cluster.notices if each.event == "recovery_waits"]


def test_unreachable_machine_is_logged_once() -> None:
    cluster = cluster_with_new_disk()
    cluster.run(RELEASE_LEASE_AFTER_S - 0.1)
    assert wait_notices(cluster) == []
    cluster.run(5 * RELEASE_LEASE_AFTER_S)
    assert wait_notices(cluster) == [Notice("recovery_waits", (("machines", "m2"),))]
    assert cluster.machine("m1").replica.recovering


def test_status_names_machines_that_have_not_reported() -> None:
    cluster = cluster_with_new_disk()
    cluster.run(2.0)
    found = status(cluster, "m1")
    reported = {name: seconds for name, _, seconds in found.replicas}
    assert found.recovering and list(reported) == ["m1", "m0", "m2", "m3", "m4"]
    assert [name for name, seconds in reported.items() if seconds < 0] == ["m2"]
    assert 1.0 < reported["m0"] < 2.1  # seconds since it reported its promise


def test_two_machines_recover_after_a_second_lost_disk() -> None:
    cluster = cluster_with_new_disk()
    cluster.run(2 * RELEASE_LEASE_AFTER_S)
    cluster.lose_disk("m2")
    cluster.start("m2")
    cluster.run(4.0)
    assert not any(machine.replica.recovering for machine in cluster.machines())
    assert status(cluster, "m1").replicas == ()
    assert len(wait_notices(cluster)) == 1


def test_completed_recovery_logs_no_notice() -> None:
    cluster = cluster_with_new_disk()
    cluster.start("m2")
    cluster.run(3 * RELEASE_LEASE_AFTER_S)
    assert wait_notices(cluster) == [] and not cluster.machine("m1").replica.recovering


def test_recovery_without_leader_logs_no_notice_once_all_reported() -> None:
    cluster = cluster_with_new_disk()
    cluster.step_down("m0")
    cluster.start("m2")
    cluster.run(3 * RELEASE_LEASE_AFTER_S)
    assert wait_notices(cluster) == [] and cluster.machine("m1").replica.recovering
    assert all(seconds >= 0 for _, _, seconds in status(cluster, "m1").replicas)
