"""Real control processes and daemons: purges in force, and machines that are killed or lost."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import resource
import secrets
import shutil
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from typer.testing import CliRunner

from limebridge.child import Child
from limebridge.cli import app
from limebridge.control import control_client
from limebridge.control import process as control_process
from limebridge.control.control_client import Machines, NoAnswerError
from limebridge.control.process import ControlMachines, UnreadyError
from limebridge.fleet.introspection import query_proxy
from limebridge.ports import free_ports
from limebridge.standins.configuration import configuration, environment
from limebridge.standins.discovery import Discovery
from tests.support.paths import ROOT
from violetroute import __main__ as proxy_main
from violetroute.distribution import __main__ as control_main
from violetroute.distribution.actions import Request
from violetroute.distribution.descriptors import (
    COMMAND_CONNECTIONS,
    PROXY_CONNECTIONS_MIN,
    RESERVED_DESCRIPTORS,
    connection_bounds,
)
from violetroute.distribution.destination import addressed
from violetroute.distribution.http_client import CLIENTS_PER_ADDRESS, HttpClient
from violetroute.distribution.http_server import MAX_CONNECTIONS
from violetroute.distribution.messages import (
    Fetch,
    LogPoint,
    Prepare,
    Publish,
    Published,
    PublishStatus,
    Record,
    Report,
    StatusReply,
    StatusRequest,
    Topic,
)
from violetroute.distribution.routes import AnyRequest, decode_reply, encode, path_of
from violetroute.distribution.service import CountingReceiver, DistributionService
from violetroute.distribution.storage import init_folder
from violetroute.distribution.table import DistributionTable
from violetroute.sharing.table import read_keys
from violetroute.transport import Address, parse_address
from violetroute.transport.sockets import SocketNetwork

# Each proxy invalidates everything once at its start, since it does not know what it missed before.
INITIAL_INVALIDATIONS = 1
TIMEOUT_S = 60.0  # far above what any step needs


class Deployment:
    """Control machines, and daemons that subscribe to them."""

    def __init__(self, folder: Path, machines: int = 3, daemons: int = 2) -> None:
        self.folder = folder
        self.lines: list[str] = []
        self.controls = ControlMachines(folder, free_ports(machines), on_log_line=self.lines.append)
        self.controls.write()
        self.daemons = [
            Child(folder, f"p{number}", on_log_line=self.lines.append) for number in range(daemons)
        ]
        self.machines = Machines(
            [parse_address(address) for address in self.controls.addresses],
            read_keys(str(self.controls.key_file)),
            2.0,
        )

    async def __aenter__(self) -> Deployment:
        self.discovery = await Discovery().start()
        try:
            await self.controls.start()
            async with asyncio.TaskGroup() as starts:
                for number, daemon in enumerate(self.daemons):
                    raw = configuration(self.discovery.port, []) | {"name": f"p{number}"}
                    start = daemon.start(raw, free_ports(1)[0], self.operator(number))
                    starts.create_task(start)
            await until(self.all_fresh)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for daemon in self.daemons:
            await daemon.kill()
        await self.controls.stop()
        await self.discovery.stop()

    def operator(self, number: int, **more: Any) -> Path:
        path = self.folder / f"p{number}.toml"
        table = {
            "controls": self.controls.addresses,
            "key_file": str(self.controls.key_file),
            "socket": str(self.folder / f"p{number}.sock"),
        }
        path.write_text(tomli_w.dumps({"distribution": table | more}))
        return path

    async def publish(self, *keys: str) -> int:
        """Publish purges of these keys.  Returns the position once it is committed."""
        records = tuple(Record(Topic.PURGE, key) for key in keys)
        publication = Publish(secrets.token_hex(8), records)
        reply = await control_client.publish(self.machines, publication, TIMEOUT_S)
        assert reply.status == PublishStatus.COMMITTED
        return reply.position

    async def in_force(self, position: int) -> StatusReply:
        status = await control_client.wait_in_force(self.machines, position, TIMEOUT_S)
        assert status is not None
        return status

    async def leader(self) -> int:
        """Wait until a machine leads, and return its number."""
        found: list[int] = []

        async def leads() -> bool:
            for number, address in enumerate(self.machines.addresses):
                try:
                    status = await control_client.send_request(
                        self.machines, address, StatusRequest(0)
                    )
                except NoAnswerError:
                    continue
                if status.leader == status.replica:
                    found.append(number)
                    return True
            return False

        await until(leads)
        return found[0]

    async def status(self, number: int) -> StatusReply:
        reply: StatusReply = await control_client.send_request(
            self.machines, self.machines.addresses[number], StatusRequest()
        )
        return reply

    async def daemon(self, number: int) -> dict[str, Any]:
        return await asyncio.to_thread(
            query_proxy, str(self.folder / f"p{number}.sock"), "distribution"
        )

    async def all_fresh(self) -> bool:
        """Whether each daemon has applied its first answer, a snapshot."""
        statuses = [await self.daemon(number) for number in range(len(self.daemons))]
        return all(each["fresh"] for each in statuses)

    async def purged(self, count: int) -> bool:
        return [(await self.daemon(n))["purges"] for n in range(len(self.daemons))] == [
            count
        ] * len(self.daemons)

    def logged(self, event: str) -> list[str]:
        return [line for line in self.lines if f" {event} " in line]


async def until(true: Callable[[], Awaitable[object]]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not await true():
            await asyncio.sleep(0.05)


def test_a_purge_is_in_force_at_every_daemon(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path) as deployment:
            position = await deployment.publish("one", "two")
            await deployment.in_force(position)
            assert await deployment.purged(2)
            await until(lambda: sessions(deployment, 2))
            for number in range(5):
                position = await deployment.publish(f"more {number}")
            status = await deployment.in_force(position)
            assert await deployment.purged(7)
            assert status.replica == status.leader and status.in_force >= position
            assert status.stale == 0 and not status.refused and len(status.replicas) == 3
            daemon_status = await deployment.daemon(0)
            assert (
                daemon_status["position"] >= position
                and daemon_status["voids"] == INITIAL_INVALIDATIONS
            )
            assert daemon_status["bytes_in"] > 0 and daemon_status["bytes_out"] > 0
            assert not deployment.logged("daemon.fault") and not deployment.logged("control.fault")

    asyncio.run(scenario())


async def sessions(deployment: Deployment, count: int) -> bool:
    return (await deployment.status(await deployment.leader())).sessions == count


def test_a_killed_leader_is_replaced_and_catches_up_after_its_restart(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path) as deployment:
            first = await deployment.publish("before")
            leader = await deployment.leader()
            await deployment.controls.processes[leader].kill()
            second = await deployment.publish("after")
            assert second > first and await deployment.leader() != leader
            await deployment.in_force(second)
            assert await deployment.purged(2)
            await deployment.controls.processes[leader].start()

            async def caught_up() -> bool:
                status = await deployment.status(leader)
                return status.commit >= second and not status.recovering

            await until(caught_up)
            last = await deployment.publish("again")
            await deployment.in_force(last)
            assert await deployment.purged(3)
            statuses = [await deployment.daemon(number) for number in (0, 1)]
            assert [each["voids"] for each in statuses] == [
                INITIAL_INVALIDATIONS,
                INITIAL_INVALIDATIONS,
            ]

    asyncio.run(scenario())


def test_a_paused_leader_resumes_as_follower_of_a_newer_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, daemons=1) as deployment:
            first = await deployment.publish("before")
            leader = await deployment.leader()
            process = deployment.controls.processes[leader]
            os.kill(process.pid, signal.SIGSTOP)
            second = await deployment.publish("meanwhile")
            assert second > first
            os.kill(process.pid, signal.SIGCONT)
            position = second
            for number in range(5):  # publications at different machines keep their order
                position = await deployment.publish(f"after {number}")
            await deployment.in_force(position)
            assert await deployment.purged(7)

            async def has_caught_up() -> bool:
                status = await deployment.status(leader)
                return status.commit >= position and process.running

            await until(has_caught_up)
            assert not deployment.logged("control.fault")

    asyncio.run(scenario())


def test_invalid_messages_are_rejected_without_effect(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, machines=1, daemons=0) as deployment:
            net = SocketNetwork(asyncio.get_running_loop())
            for path, body in (
                ("/nothing", b""),
                ("/poll", b""),
                ("/poll", b"\xc1"),
                ("/poll", b"\x90"),
                ("/publish", b"\x92\xa1x" + b"\x91" * 5000),
                ("/fetch", b"\xdd\xff\xff\xff\xff"),
                ("/report", bytes(100_000)),
            ):
                reason: asyncio.Future[str] = asyncio.get_running_loop().create_future()
                client = HttpClient(net, deployment.machines.addresses[0], deployment.machines.keys)
                client.request(
                    path, body, 10.0, lambda _, why, reason=reason: reason.set_result(why)
                )
                assert await reason == "status 400", path
                client.close()
            await deployment.publish("after")

    asyncio.run(scenario())


async def reason_of_refusal(deployment: Deployment, request: AnyRequest) -> str:
    """Why the first control machine gave no answer to a request; empty if it answered."""
    loop = asyncio.get_running_loop()
    reason: asyncio.Future[str] = loop.create_future()
    client = HttpClient(
        SocketNetwork(loop), deployment.machines.addresses[0], deployment.machines.keys
    )
    client.request(path_of(request), encode(request), 10.0, lambda _, why: reason.set_result(why))
    try:
        return await reason
    finally:
        client.close()


@pytest.mark.parametrize(
    "request_",
    [
        Prepare("c1", 1),
        Fetch("c1", 1, LogPoint(), 0, copying=True),
        Report("c1", "incarnation", 1, 1, True),
    ],
    ids=lambda request: type(request).__name__,
)
def test_a_request_for_another_machine_or_log_is_refused(request_: Request, tmp_path: Path) -> None:
    # Guards against a fault found by reading: whoever listened at an address was taken for the
    # machine that had been there, so one process could count twice in a majority.
    async def scenario() -> None:
        async with Deployment(tmp_path, machines=1, daemons=0) as deployment:
            for machine, log in (("c1", "log"), ("c0", "another log")):
                misdirected = addressed(request_, machine, log)
                assert await reason_of_refusal(deployment, misdirected) == "status 421"
            assert await reason_of_refusal(deployment, addressed(request_, "c0", "log")) == ""
            assert await reason_of_refusal(deployment, request_) == ""  # of an earlier build

    asyncio.run(scenario())


def test_a_machine_of_another_log_at_a_known_address_is_no_part_of_a_majority(
    tmp_path: Path,
) -> None:
    # Guards against a fault found by reading: its empty log was counted, and a committed record
    # that only the other machines had was replaced.
    async def scenario() -> None:
        async with Deployment(tmp_path, daemons=0) as deployment:
            controls = deployment.controls
            await controls.processes[2].kill()
            kept = await deployment.publish("kept")
            for process in controls.processes[:2]:
                await process.kill()
            shutil.rmtree(controls.data_folder(1))
            init_folder(controls.data_folder(1), "c1", "another log", recovering=False)
            for process in controls.processes[1:]:
                await process.start()
            with pytest.raises(NoAnswerError):
                await control_client.publish(
                    deployment.machines, Publish("x", (Record(Topic.PURGE, "early"),)), 6.0
                )
            assert deployment.logged("distribution.refused")
            await controls.processes[0].start()
            assert await deployment.publish("after") > kept

    asyncio.run(scenario())


def test_sigterm_releases_the_lease(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, daemons=0) as deployment:
            await deployment.publish("before")
            leader = await deployment.leader()
            assert await deployment.controls.processes[leader].term() == 0
            assert deployment.logged("fleet.handed_back") and deployment.logged("control.ended")
            await deployment.publish("after")
            assert await deployment.leader() != leader

    asyncio.run(scenario())


@pytest.mark.long
def test_without_a_majority_nothing_is_committed_and_daemons_become_stale(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, daemons=1) as deployment:
            position = await deployment.publish("before")

            async def is_fresh() -> bool:
                status = await deployment.daemon(0)
                return bool(status["fresh"]) and status["position"] >= position

            await until(is_fresh)
            leader = await deployment.leader()
            others = [number for number in range(3) if number != leader]
            for number in others:
                await deployment.controls.processes[number].kill()

            async def is_stale() -> bool:
                return (
                    bool(deployment.logged("distribution.stale"))
                    and not (await deployment.daemon(0))["fresh"]
                )

            await until(is_stale)
            with pytest.raises(NoAnswerError):
                await control_client.publish(
                    deployment.machines, Publish("x", (Record(Topic.PURGE, "lost"),)), 0.5
                )
            for number in others:
                await deployment.controls.processes[number].start()
            position = await deployment.publish("after")
            await deployment.in_force(position)
            await until(is_fresh)
            assert (await deployment.daemon(0))["position"] >= position

    asyncio.run(scenario())


@pytest.mark.long
def test_a_lost_data_folder_prevents_the_start_and_a_replacement_recovers(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, daemons=1) as deployment:
            await deployment.publish("before")
            leader = await deployment.leader()
            lost = next(number for number in range(3) if number != leader)
            process = deployment.controls.processes[lost]
            await process.kill()
            shutil.rmtree(deployment.controls.data_folder(lost))
            for _ in range(2):  # a failed start must not create files that look like a log
                with pytest.raises(UnreadyError, match="limebridge control init"):
                    await process.start()
                assert await process.wait() == 1
            second = await deployment.publish("meanwhile")
            folder = str(deployment.controls.data_folder(lost))
            arguments = ["control", "init", folder, "--name", f"c{lost}", "--log", "log"]
            made = await asyncio.to_thread(CliRunner().invoke, app, [*arguments, "--replace"])
            assert made.exit_code == 0, made.output
            again = await asyncio.to_thread(CliRunner().invoke, app, [*arguments, "--replace"])
            assert again.exit_code == 1 and "a log already exists" in again.output
            await process.start()

            async def recovered() -> bool:
                status = await deployment.status(lost)
                return not status.recovering and status.commit >= second

            async def recovery_logged() -> bool:  # the line may be logged after the status changed
                return bool(deployment.logged("control.recovered"))

            await until(recovered)
            await until(recovery_logged)
            # The recovered machine counts for a majority again, so the leader can be killed.
            await deployment.controls.processes[leader].kill()
            last = await deployment.publish("after")
            await deployment.in_force(last)
            assert await deployment.purged(3)

    asyncio.run(scenario())


def test_a_failing_disk_ends_the_process_and_loses_no_committed_record(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, machines=1, daemons=0) as deployment:
            process = deployment.controls.processes[0]
            position = await deployment.publish("k" * 100)
            limit = (4096, resource.RLIM_INFINITY)
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limit)

            async def fill() -> None:
                nonlocal position
                while process.running:
                    reply = await control_client.publish(
                        deployment.machines,
                        Publish(secrets.token_hex(8), (Record(Topic.PURGE, "k" * 900),)),
                        0.1,
                    )
                    if reply.status == PublishStatus.COMMITTED:
                        position = reply.position

            with pytest.raises(NoAnswerError):
                await asyncio.wait_for(fill(), TIMEOUT_S)
            assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 1
            assert deployment.logged("control.ends")
            await process.start()
            await deployment.leader()
            assert (await deployment.status(0)).last.position >= position
            await deployment.publish("after")

    asyncio.run(scenario())


def test_the_command_line_publishes_and_shows_the_status(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, machines=1, daemons=0) as deployment:
            address = ["--machine", deployment.controls.addresses[0]]
            dead = ["--machine", f"127.0.0.1:{free_ports(1)[0]}"]
            key = ["--key-file", str(deployment.controls.key_file)]

            async def limebridge(*arguments: str) -> Any:
                return await asyncio.to_thread(CliRunner().invoke, app, ["control", *arguments])

            done = await limebridge("purge", "a", "b", *dead, *address, *key, "--wait")
            assert done.exit_code == 0 and int(done.output) >= 1, done.output
            keys = tmp_path / "keys"
            keys.write_text("".join(f"key {number}\n" for number in range(3000)))
            done = await limebridge("publish", str(keys), *address, *key)
            first, second = map(int, done.output.split())
            assert done.exit_code == 0 and second > first
            shown = await limebridge("status", *address, *key)
            assert shown.exit_code == 0 and "c0 leads" in shown.output
            shown = await limebridge("status", *address, *key, "--json")
            assert json.loads(shown.output)["commit"] >= second
            (tmp_path / "other").write_text("some other key of the fleet\n")
            for code, words, arguments in (
                (1, "403", ["status", *address, "--key-file", str(tmp_path / "other")]),
                (2, "--key-file", ["status", *address, "--key-file", str(tmp_path / "none")]),
                (2, "--machine", ["status", "--machine", "here", *key]),
                (2, "at most", ["purge", "x" * 1025, *address, *key]),
                (2, "give either --log ID", ["init", str(tmp_path / "new"), "--name", "c9"]),
                (
                    3,
                    "may or may not be in the log",
                    ["purge", "x", *dead, *key, "--seconds", "0.1"],
                ),
            ):
                refused = await limebridge(*arguments)
                assert refused.exit_code == code and words in refused.output, refused.output
                assert refused.output.count("\n") == 1

    asyncio.run(scenario())


def test_sighup_applies_other_control_machines(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, machines=2, daemons=1) as deployment:
            position = await deployment.publish("one")

            async def applied() -> bool:
                return bool((await deployment.daemon(0))["position"] >= position)

            await until(applied)
            address = deployment.controls.addresses[0]
            deployment.operator(0, controls=[address])
            os.kill(deployment.daemons[0].pid, signal.SIGHUP)

            async def polls_only_the_one() -> bool:
                return (await deployment.daemon(0))["asks"] in ("", address) and bool(
                    deployment.logged("config.reloaded")
                )

            await until(polls_only_the_one)
            position = await deployment.publish("two")
            await until(applied)
            status = await deployment.daemon(0)
            assert (status["purges"], status["voids"]) == (2, INITIAL_INVALIDATIONS)

    asyncio.run(scenario())


def test_a_removed_table_stays_in_effect_until_the_restart_and_each_reload_reports_it(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, machines=1, daemons=1) as deployment:
            for reloads in range(1, 4):
                (tmp_path / "p0.toml").write_text("")
                os.kill(deployment.daemons[0].pid, signal.SIGHUP)

                async def reloaded(count: int = reloads) -> bool:
                    return len(deployment.logged("config.reloaded")) == count

                await until(reloaded)
                (*_, needed) = deployment.logged("config.restart_needed")
                assert len(deployment.logged("config.restart_needed")) == reloads
                assert needed.endswith("keys=distribution")
                position = await deployment.publish(f"key {reloads}")
                await deployment.in_force(position)
                assert await deployment.purged(reloads)
            assert not deployment.logged("daemon.fault")
            deployment.operator(0)  # with the table restored, no restart is needed any more
            os.kill(deployment.daemons[0].pid, signal.SIGHUP)

            async def reloaded_again() -> bool:
                return len(deployment.logged("config.reloaded")) == 4

            await until(reloaded_again)
            assert len(deployment.logged("config.restart_needed")) == 3

    asyncio.run(scenario())


async def reload_with_file(deployment: Deployment, table: dict[str, Any] | None) -> None:
    """Replace the only control machine's file, with invalid TOML for None, and send SIGHUP."""
    process = deployment.controls.processes[0]
    process.file.write_text("name = " if table is None else tomli_w.dumps(table))
    os.kill(process.pid, signal.SIGHUP)


def test_sighup_changes_the_log_of_a_control_machine_and_does_not_end_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, machines=1, daemons=0) as deployment:
            table = deployment.controls.table(0)

            async def wait_for_log(event: str, *words: str) -> None:
                async def there() -> bool:
                    return any(
                        f"{event} " in line or f'"{event}"' in line
                        for line in deployment.lines
                        if all(word in line for word in words)
                    )

                await until(there)

            await reload_with_file(
                deployment, table | {"log": {"format": "json"}, "region": "south"}
            )
            await wait_for_log("config.restart_needed", "keys=region")
            await wait_for_log("control.reloaded", '"file":')
            await reload_with_file(deployment, None)
            await wait_for_log("config.unusable", "c0.toml")
            await reload_with_file(deployment, table | {"log": {"level": "loud"}})
            await wait_for_log("config.unusable", "[log] level")
            await reload_with_file(deployment, table)
            await wait_for_log("control.reloaded", " file=")
            await deployment.publish("after")
            assert not deployment.logged("control.fault")
            assert await deployment.controls.processes[0].term() == 0

    asyncio.run(scenario())


def test_an_early_sighup_does_not_end_a_control_machine(tmp_path: Path) -> None:
    """SIGHUP arrives while the file is loaded, long before the event loop runs."""
    table = control_table(tmp_path)
    path = tmp_path / "c0.toml"
    path.write_text(tomli_w.dumps(table))
    program = (
        "import os, signal, sys; import violetroute.distribution.__main__ as m; "
        "load = m.load_control_file; "
        "m.load_control_file = lambda p: (os.kill(os.getpid(), signal.SIGHUP), load(p))[1]; "
        "m.Reloader.reload = lambda self: (print('reloaded', flush=True),"
        " os.kill(os.getpid(), signal.SIGTERM)); "
        "sys.exit(m.main([sys.argv[1]]))"
    )
    done = subprocess.run(
        [sys.executable, "-c", program, str(path)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 0 and "reloaded" in done.stdout, done.stderr


# --- descriptors ---
@contextmanager
def descriptor_limit_of_children(descriptors: int) -> Iterator[None]:
    """Limit the file descriptors of control processes that are started within this context."""
    before = control_process.COMMAND
    shell = ("/bin/sh", "-c", f'ulimit -S -n {descriptors}; exec "$@"', "sh")
    control_process.COMMAND = (*shell, *before)
    try:
        yield
    finally:
        control_process.COMMAND = before


async def hold_connections(address: Address, count: int) -> None:
    """Keep `count` silent connections open, and replace those that the server closes."""

    async def hold() -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(address.host, address.port)
                await reader.read()
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.05)

    await asyncio.gather(*(hold() for _ in range(count)))


SEGMENT_FILLERS = 12  # publications of 800 KB, which together exceed a segment of the log


def large_publication() -> Publish:
    """A publication of 800 KB of records with an unknown topic."""
    body = bytes(16 * 1024)
    return Publish(secrets.token_hex(8), tuple(Record(200, "x", body) for _ in range(50)))


def test_a_flood_of_connections_stops_neither_the_lease_nor_the_log(tmp_path: Path) -> None:
    async def scenario() -> None:
        with descriptor_limit_of_children(200):
            deployment = Deployment(tmp_path, machines=1, daemons=0)
            await deployment.__aenter__()
        address, keys = deployment.machines.addresses[0], deployment.machines.keys
        client = HttpClient(SocketNetwork(asyncio.get_running_loop()), address, keys)

        async def published() -> Published:
            result: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
            publication = large_publication()
            client.request(
                "/publish", encode(publication), TIMEOUT_S, lambda b, _: result.set_result(b)
            )
            reply: Published | None = decode_reply(publication, await result)
            assert reply is not None and reply.status == PublishStatus.COMMITTED
            return reply

        try:
            await deployment.publish("before")
            first = await published()
            holding = asyncio.create_task(hold_connections(address, 300))
            await asyncio.sleep(4.0)  # longer than a term of the lease
            for _ in range(SEGMENT_FILLERS):
                last = await published()
            holding.cancel()
            assert last.fence == first.fence and deployment.controls.processes[0].running
            assert len(list(deployment.controls.data_folder(0).glob("segment-*"))) > 1
            for event in ("fleet.store_failed", "fleet.lapsed", "control.term_ended"):
                assert not deployment.logged(event), event
            assert any(
                "too many connections" in line for line in deployment.logged("distribution.refused")
            )
        finally:
            client.close()
            await deployment.__aexit__()

    asyncio.run(scenario())


def test_proxies_beyond_the_limit_leave_connections_for_publications(tmp_path: Path) -> None:
    async def scenario() -> None:
        with descriptor_limit_of_children(200):
            deployment = Deployment(tmp_path, machines=1, daemons=0)
            await deployment.__aenter__()
        net = SocketNetwork(asyncio.get_running_loop())
        table = DistributionTable(controls=(deployment.controls.addresses[0],))
        services = [
            DistributionService(
                table, deployment.machines.keys, f"p{n}", "", net, CountingReceiver()
            )
            for n in range(160)
        ]
        try:

            async def refused() -> bool:
                return any(
                    "too many proxies" in line for line in deployment.logged("distribution.refused")
                )

            await until(refused)
            for number in range(5):
                await deployment.publish(f"key {number}")
            traffic = await asyncio.to_thread(query_proxy, str(tmp_path / "c0.sock"), "traffic")
            assert traffic["polls"] <= traffic["polls_max"] < traffic["connections_max"] < 200
        finally:
            for service in services:
                service.close()
            await deployment.__aexit__()

    asyncio.run(scenario())


def test_too_few_descriptors_give_one_line_and_exit_code_1(tmp_path: Path) -> None:
    path = tmp_path / "c0.toml"
    path.write_text(tomli_w.dumps(control_table(tmp_path)))
    done = subprocess.run(
        ["/bin/sh", "-c", 'ulimit -S -n 100; exec "$@"', "sh", *control_process.COMMAND, str(path)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 1 and not done.stdout
    assert done.stderr.count("\n") == 1 and "need at least 112" in done.stderr


@pytest.mark.parametrize("machines", [1, 3, 15])
def test_connection_limits_leave_descriptors_for_everything_else(machines: int) -> None:
    peers = CLIENTS_PER_ADDRESS * (machines - 1)
    for descriptors in (1024, 4096, 2**20):
        bounds = connection_bounds(descriptors, machines)
        assert bounds.connections <= min(
            MAX_CONNECTIONS, descriptors - peers - RESERVED_DESCRIPTORS
        )
        assert PROXY_CONNECTIONS_MIN <= bounds.proxies < bounds.connections - peers
    needed = RESERVED_DESCRIPTORS + 2 * peers + COMMAND_CONNECTIONS + PROXY_CONNECTIONS_MIN
    assert connection_bounds(needed, machines).proxies == PROXY_CONNECTIONS_MIN
    with pytest.raises(ValueError, match=f"need at least {needed}"):
        connection_bounds(needed - 1, machines)


# --- wrong files ---
def control_table(folder: Path) -> dict[str, Any]:
    machines = ControlMachines(folder, free_ports(1))
    machines.write()
    return machines.table(0)


INVALID_CONTROL_FILES: dict[str, tuple[Callable[[dict[str, Any]], object], str]] = {
    "no name": (lambda t: t.pop("name"), "name: missing"),
    "another name": (lambda t: t.update(name="c9"), "name: 'c9' is none of the names"),
    "an unknown key": (lambda t: t.update(folde=""), "did you mean folder?"),
    "no address": (lambda t: t.update(listen="here"), "listen: not an address"),
    "no machine": (lambda t: t.update(machine=[]), "machine:"),
    "a machine twice": (lambda t: t.update(machine=t["machine"] * 2), "machine: a name"),
    "no key": (lambda t: t.update(key_file="/none"), "key_file:"),
    "no lease": (lambda t: t.update(fleet={}), "[fleet] store: off"),
    "a wrong lease": (lambda t: t.update(fleet={"store": "folder"}), "[fleet] folder: missing"),
    "other works": (lambda t: t["fleet"].update(works=["beat-x"]), "[fleet] works:"),
    "stale at once": (
        lambda t: t.update(timings={"stale_after_s": 0.0}),
        "[timings] stale_after_s",
    ),
    "a long hold": (lambda t: t.update(timings={"hold_s": 5.0}), "[timings] hold_s:"),
    "an unknown timing": (lambda t: t.update(timings={"batchs": 1.0}), "did you mean batch_s?"),
}


class FileAccepted(Exception):
    """The file was accepted: `main` has reached `serve`."""


@pytest.fixture
def in_one_process(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Lets `main` run in this process: replaces `serve`, and restores what `main` changes."""

    async def serve(*_: object) -> int:
        raise FileAccepted

    monkeypatch.setattr(control_main, "serve", serve)
    monkeypatch.setattr(proxy_main, "serve", serve)
    hangup, log_handlers = signal.getsignal(signal.SIGHUP), logging.getLogger().handlers[:]
    yield
    signal.signal(signal.SIGHUP, hangup)
    logging.getLogger().handlers[:] = log_handlers


def write_invalid_control_file(folder: Path, name: str) -> Path:
    """Write the control machine's file of this case."""
    table = control_table(folder)
    corrupt, _ = INVALID_CONTROL_FILES[name]
    corrupt(table)
    path = folder / "wrong.toml"
    path.write_text(tomli_w.dumps(table))
    return path


@pytest.mark.usefixtures("in_one_process")
@pytest.mark.parametrize("name", INVALID_CONTROL_FILES)
def test_an_invalid_control_file_gives_one_line_and_exit_code_2(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], name: str
) -> None:
    path = write_invalid_control_file(tmp_path, name)
    code = control_main.main([str(path)])
    out, err = capfd.readouterr()
    assert code == 2 and not out
    assert err.count("\n") == 1 and INVALID_CONTROL_FILES[name][1] in err and str(path) in err


@pytest.mark.usefixtures("in_one_process")
def test_a_valid_control_file_is_accepted(tmp_path: Path) -> None:
    path = tmp_path / "right.toml"
    path.write_text(tomli_w.dumps(control_table(tmp_path)))
    with pytest.raises(FileAccepted):
        control_main.main([str(path)])


def test_a_control_process_with_an_invalid_file_exits(tmp_path: Path) -> None:
    name = "no name"
    path = write_invalid_control_file(tmp_path, name)
    done = subprocess.run(
        [sys.executable, "-m", "violetroute.distribution", str(path)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 2 and not done.stdout
    assert done.stderr.count("\n") == 1
    assert INVALID_CONTROL_FILES[name][1] in done.stderr and str(path) in done.stderr


def test_an_address_in_use_gives_one_line_and_exit_code_1(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, machines=1, daemons=0) as deployment:
            table = deployment.controls.table(0) | {"folder": str(tmp_path / "second")}
            path = tmp_path / "second.toml"
            path.write_text(tomli_w.dumps(table))
            made = await asyncio.to_thread(
                CliRunner().invoke,
                app,
                ["control", "init", table["folder"], "--name", "c0", "--new"],
            )
            assert made.exit_code == 0
            for folder, words in (
                (table["folder"], "Address already in use"),
                (str(deployment.controls.data_folder(0)), "in use by another process"),
            ):
                path.write_text(tomli_w.dumps(table | {"folder": folder}))
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "violetroute.distribution",
                    str(path),
                    stderr=asyncio.subprocess.PIPE,
                )
                _, stderr = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
                assert process.returncode == 1
                assert words in stderr.decode() and stderr.count(b"\n") == 1

    asyncio.run(scenario())


def operators_file(folder: Path, table: dict[str, Any]) -> tuple[Path, Path]:
    """Write an operator's file with this `[distribution]`, and a platform's file."""
    operator, platform = folder / "operator.toml", folder / "config.json"
    operator.write_text(tomli_w.dumps({"distribution": table}))
    platform.write_text(json.dumps(configuration(free_ports(1)[0], [])))
    return operator, platform


def set_arguments(monkeypatch: pytest.MonkeyPatch, operator: Path, platform: Path) -> None:
    """Make the daemon's command line and environment name these files."""
    monkeypatch.setenv("PROXY_CONFIG", str(platform))
    monkeypatch.delenv("LIMEBRIDGE_OPERATOR", raising=False)
    monkeypatch.setattr(sys, "argv", ["violetroute", "--operator", str(operator)])


@pytest.mark.usefixtures("in_one_process")
@pytest.mark.parametrize(
    ("table", "words"),
    [
        ({"region": "x"}, "controls: missing, and other keys are set"),
        ({"controls": ["here"]}, "controls: not an address"),
        ({"controls": ["127.0.0.1:1 a b"]}, "controls:"),
        ({"controls": ["127.0.0.1:1"]}, "key_file:"),
        ({"controls": ["127.0.0.1:1", "127.0.0.1:1 x"]}, "controls: duplicate address"),
        ({"stale_after_s": 0.1}, "stale_after_s:"),
        ({"control": []}, "did you mean controls?"),
    ],
)
def test_an_invalid_operators_file_gives_one_line_and_exit_code_2(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
    table: dict[str, Any],
    words: str,
) -> None:
    operator, platform = operators_file(tmp_path, table)
    set_arguments(monkeypatch, operator, platform)
    code = proxy_main.main()
    err = capfd.readouterr().err
    assert code == 2 and err.count("\n") == 1
    assert "[distribution]" in err and words in err


@pytest.mark.usefixtures("in_one_process")
def test_a_valid_operators_file_is_accepted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    operator, platform = operators_file(tmp_path, {})
    set_arguments(monkeypatch, operator, platform)
    with pytest.raises(FileAccepted):
        proxy_main.main()


def test_a_daemon_with_an_invalid_operators_file_exits(tmp_path: Path) -> None:
    operator, platform = operators_file(tmp_path, {"control": []})
    done = subprocess.run(
        [sys.executable, "-m", "violetroute", "--operator", str(operator)],
        capture_output=True,
        text=True,
        env=environment(platform),
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    assert "[distribution]" in done.stderr and "did you mean controls?" in done.stderr


def test_no_distribution_module_is_imported_while_it_is_off() -> None:
    program = (
        "import sys, violetroute.__main__; "
        "print(*sorted(m for m in sys.modules if m.startswith('violetroute.distribution')))"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert done.stdout.split() == ["violetroute.distribution", "violetroute.distribution.table"]
