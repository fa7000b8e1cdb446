"""Hard cases of issue 48 on real processes.

Two proxies with the same name, a snapshot with outdated configuration, and one proxy of a hundred
that refuses a configuration.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from limebridge.control import control_client
from limebridge.faults.distribution import rig
from limebridge.faults.distribution.checker import Rule
from limebridge.faults.distribution.mixed_builds import Builds
from limebridge.faults.distribution.plan import Fault, Plan
from tests.support.distribution_next_build import SESSIONS, copy_of_this_build, replace_text
from tests.support.rig import wait_until
from tests.violetroute.distribution.test_distribution_daemon import Deployment
from violetroute.distribution.configuration_change import ConfigurationChange
from violetroute.distribution.messages import Publish, Published, Record, Topic
from violetroute.distribution.service import CountingReceiver, DistributionService
from violetroute.distribution.table import DistributionTable
from violetroute.sharing.wire import Keys
from violetroute.transport.sockets import SocketNetwork

PROXIES = 100
REFUSING_PROXY = 42
REASON = "[log] level: this machine has none"

DUPLICATE_PLAN = Plan(
    seed=1,
    seconds=5.0,
    proxies=2,
    stale_after_s=3.0,
    publications_per_s=10.0,
    fault=[Fault(0.3, "twin_proxy", 0, 4.5), Fault(1.5, "cut_proxy", 0, 3.0)],
)


def test_two_processes_of_one_name_are_distinguished() -> None:
    outcome = rig.run_plan(DUPLICATE_PLAN)
    assert outcome.violations == [], outcome.trace[-4000:]


def test_control_machines_that_merge_two_processes_of_one_name_are_detected(
    tmp_path: Path,
) -> None:
    """One process is cut off while it considers itself fresh; the other acknowledges batches."""
    build = copy_of_this_build(tmp_path)
    replace_text(
        build / SESSIONS,
        {
            "return poll.name, poll.incarnation\n": 'return poll.name, "one"\n',
            "Session(poll.name, poll.incarnation, ": 'Session(poll.name, "one", ',
        },
    )
    outcome = rig.run_plan(DUPLICATE_PLAN, builds=Builds(build, build))
    assert Rule.IN_FORCE in {each.rule for each in outcome.violations}, outcome.trace[-4000:]


def test_snapshot_with_outdated_configuration_is_detected(tmp_path: Path) -> None:
    build = copy_of_this_build(tmp_path)
    replace_text(
        build / "violetroute/distribution/committed_configuration.py",
        {"            self._records = None\n": ""},  # the records are built once and never rebuilt
    )
    # The records are built for the first snapshot with configuration, so a later one is outdated.
    # A restart takes seconds under load, and a process that is killed before it gets its snapshot
    # does not count; so the restarts are 4 s apart.
    restarts = [Fault(at, "kill_proxy", 0, 0.2) for at in (1.0, 5.0, 9.0)]
    plan = msgspec.structs.replace(
        DUPLICATE_PLAN, seconds=12.0, publications_per_s=20.0, fault=restarts
    )
    outcome = rig.run_plan(plan, builds=Builds(build, build))
    assert {each.rule for each in outcome.violations} == {Rule.ORDER}, outcome.trace[-4000:]
    assert all("from a snapshot at" in violation.text for violation in outcome.violations)


class RefusingReceiver(CountingReceiver):
    """Applies configuration, or refuses it like a daemon whose own file conflicts with it."""

    __slots__ = ("refuses", "tables")

    def __init__(self, refuses: bool) -> None:
        super().__init__()
        self.refuses = refuses
        self.tables: dict[str, bytes] = {}

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        super().configure(change)
        if self.refuses and change.records:
            return (REASON,)
        self.tables.update((record.key, record.body) for record in change.records)
        return ()


def test_one_refusal_among_a_hundred_is_reported_and_delays_nothing(tmp_path: Path) -> None:
    async def run_case() -> None:
        async with Deployment(tmp_path, machines=1, daemons=0) as deployment:
            network = SocketNetwork(asyncio.get_running_loop())
            keys = Keys([deployment.controls.key_file.read_text().strip().encode()])
            table = DistributionTable(tuple(deployment.controls.addresses), configuration=True)
            receivers = [RefusingReceiver(number == REFUSING_PROXY) for number in range(PROXIES)]
            services = [
                DistributionService(table, keys, f"p{number}", "", network, receiver)
                for number, receiver in enumerate(receivers)
            ]
            try:
                await wait_until(lambda: all(service.status().fresh for service in services))
                position = await configure(deployment, b'level = "warning"')
                status = await deployment.in_force(position)
                assert status.sessions == PROXIES and status.stale == 0
                assert status.refused == ((f"p{REFUSING_PROXY}", position, REASON),)
                bodies = [receiver.tables.get("log") for receiver in receivers]
                assert bodies.count(b'level = "warning"') == PROXIES - 1
                assert bodies[REFUSING_PROXY] is None  # its previous configuration is kept
            finally:
                for service in services:
                    service.close()

    asyncio.run(run_case())


async def configure(deployment: Deployment, body: bytes) -> int:
    """Publishes the table "log" and returns its position once it is committed."""
    publish = Publish("configuration", (Record(Topic.CONFIGURATION, "log", body),))
    reply: Published = await control_client.publish(deployment.machines, publish, 30.0)
    return reply.position
