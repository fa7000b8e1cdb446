"""Published configuration: merged, validated, applied or refused, and shown."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
import tomli_w
from typer.testing import CliRunner

from limebridge.child import Child
from limebridge.cli import app
from limebridge.ports import free_ports
from limebridge.standins.configuration import configuration
from tests.violetroute.distribution.test_distribution_daemon import Deployment, until
from tests.violetroute.distribution.test_distribution_service import (
    KEYS,
    LOG,
    ScriptedControl,
    logged,
    ok,
)
from violetroute.config import ConfigError, LogTable, Operator
from violetroute.config.operator import load_operator, parse_operator
from violetroute.distribution.configuration import (
    LOCAL_KEYS,
    PublishedConfiguration,
    PublishedTables,
    TableRefusedError,
    parse_table,
)
from violetroute.distribution.configuration_change import ConfigurationChange
from violetroute.distribution.control_choice import ControlEndpoint, SubscriberSettings
from violetroute.distribution.factory import HooksReceiver
from violetroute.distribution.messages import (
    MAX_BODY_BYTES,
    Batch,
    LogPoint,
    PollReply,
    PollStatus,
    Record,
    Snapshot,
    Topic,
)
from violetroute.distribution.service import CountingReceiver, DistributionService, Receiver
from violetroute.distribution.subscriber import Subscriber
from violetroute.distribution.table import DistributionTable, restart_is_needed
from violetroute.hooks import EventHooks
from violetroute.logs import Logs
from violetroute.transport.sockets import SocketNetwork


def record(table: str, text: str) -> Record:
    return Record(Topic.CONFIGURATION, table, text.encode())


class File:
    """An operator's file, merged with published tables and validated as the daemon does."""

    def __init__(self, **tables: Any) -> None:
        self.tables = tables
        self.in_force = Operator()
        self.checks = 0
        self.published = PublishedConfiguration(self.check_and_apply)

    def check_and_apply(self, tables: PublishedTables) -> str:
        self.checks += 1
        try:
            self.in_force = parse_operator(tables.merged(self.tables), "file")
        except ConfigError as error:
            return str(error)
        return ""

    def publish(self, position: int, *records: Record, complete: bool = False) -> tuple[str, ...]:
        return self.published.apply_change(ConfigurationChange(position, records, complete))


# --- the merge ---
def test_a_published_table_replaces_the_files_table_and_the_last_position_wins() -> None:
    file = File(log={"level": "error", "per_second": 1.0}, limits={"depth": 9})
    assert file.publish(1, record("log", 'level = "debug"')) == ()
    assert file.in_force.log.level == "debug" and file.in_force.log.per_second == 5.0
    assert file.in_force.limits.depth == 9
    first, second = record("log", 'level = "info"'), record("log", 'level = "warning"')
    assert file.publish(2, first, second, record("limits", "depth = 3")) == ()
    assert (file.in_force.log.level, file.in_force.limits.depth) == ("warning", 3)
    assert file.checks == 2 and file.published.accepted.position == 2


def test_local_keys_come_from_the_file() -> None:
    file = File(limits={"client_share": 0.6, "depth": 9}, membership={"file": "/list"})
    assert file.publish(1, record("limits", "mistakes = 2")) == ()
    assert file.publish(2, record("membership", 'sources = ["file"]')) == ()
    limits = file.in_force.limits
    assert (limits.client_share, limits.depth, limits.mistakes) == (0.6, 128, 2)
    assert file.in_force.membership.file == "/list"


def test_an_empty_body_removes_the_published_table() -> None:
    file = File(log={"level": "error"})
    file.publish(1, record("log", 'level = "debug"'), record("limits", "depth = 3"))
    assert file.publish(2, record("log", "")) == ()
    assert (file.in_force.log.level, file.in_force.limits.depth) == ("error", 3)


def test_removing_an_unpublished_table_does_not_read_the_file() -> None:
    file = File()
    assert file.publish(1, record("log", "")) == () and file.publish(2, complete=True) == ()
    assert file.checks == 0


REFUSED_TABLES = {
    "distribution": ("distribution", "controls = []", "cannot be published"),
    "a table for the next start": ("ledger", 'zone = "UTC"', "cannot be published"),
    "one machine's jobs": ("fleet", "works = []", "cannot be published"),
    "an unknown table": ("logs", "", "cannot be published"),
    "a key for the next start": (
        "limits",
        "client_share = 0.5",
        "client_share: can only be set in",
    ),
    "a file of one machine": ("placement", 'file = "plan"', "file: can only be set in"),
    "a secret": ("consul", 'token_file = "token"', "token_file: can only be set in"),
    "sharing beyond budgets": ("sharing", 'listen = "127.0.0.1:1"', "listen: can only be set in"),
    "no TOML": ("log", "level = ", "not valid TOML"),
    "no text": ("log", "\udcff", "not valid TOML"),
    "an unknown key": ("log", 'levl = "info"', "did you mean level?"),
    "a wrong value": ("log", 'level = "loud"', "level:"),
    "too long": ("log", "#" * (MAX_BODY_BYTES + 1), "more than"),
}


@pytest.mark.parametrize("name", REFUSED_TABLES)
def test_an_invalid_table_is_refused_with_one_line(name: str) -> None:
    table, text, words = REFUSED_TABLES[name]
    with pytest.raises(TableRefusedError) as refused:
        parse_table(table, text.encode(errors="surrogateescape"))
    assert words in str(refused.value) and "\n" not in str(refused.value)


def test_all_local_keys_exist() -> None:
    for table, keys in LOCAL_KEYS.items():
        assert keys <= set(type(getattr(Operator(), table)).__struct_fields__)


# --- refusals ---
def test_an_invalid_record_is_refused_and_the_old_table_stays() -> None:
    file = File()
    file.publish(1, record("log", 'level = "debug"'))
    (reason,) = file.publish(2, record("log", 'level = "loud"'), record("limits", "depth = 3"))
    assert "[log] level" in reason
    assert (file.in_force.log.level, file.in_force.limits.depth) == ("debug", 3)
    (reason,) = file.publish(3, record("ledger", 'zone = "UTC"'))
    assert "cannot be published" in reason and file.published.accepted.position == 2


def test_a_reason_is_one_line_for_any_names() -> None:
    odd = record("a\nb" + "c" * 1000, "x = 1"), record("log", '"d\\ne" = 1')
    first, second = File().publish(1, *odd)
    assert "\n" not in first + second and len(first) < 200 and "unknown key" in second


def test_records_of_one_batch_are_validated_together() -> None:
    file = File()
    bad, good = record("membership", 'sources = ["file"]'), record("limits", "depth = 3")
    (reason,) = file.publish(1, bad, good)
    assert "file is empty" in reason and file.checks == 1
    assert file.in_force == Operator() and file.published.accepted == PublishedTables()


def test_a_refused_table_does_not_block_others_and_is_tried_again() -> None:
    file = File()
    file.publish(1, record("membership", 'sources = ["file"]'))
    assert file.publish(2, record("limits", "depth = 3")) == ()
    assert file.in_force.limits.depth == 3 and not file.in_force.membership.sources
    assert file.published.reload() == ""  # without `file`, the published table is still invalid
    assert not file.in_force.membership.sources
    file.tables["membership"] = {"file": "/list"}
    assert file.published.reload() == ""
    assert file.in_force.membership.sources == ("file",) and file.in_force.limits.depth == 3


def test_sighup_keeps_published_tables_and_an_invalid_file_changes_nothing() -> None:
    file = File(limits={"depth": 9})
    file.publish(1, record("log", 'level = "debug"'))
    file.tables["limits"]["depth"] = 10
    assert file.published.reload() == ""
    assert (file.in_force.log.level, file.in_force.limits.depth) == ("debug", 10)
    file.tables["limits"]["depth"] = -1
    assert "[limits] depth" in file.published.reload()
    assert (file.in_force.log.level, file.in_force.limits.depth) == ("debug", 10)


def test_a_snapshot_replaces_all_published_tables() -> None:
    file = File()
    file.publish(1, record("log", 'level = "debug"'), record("limits", "depth = 3"))
    snapshot = (record("log", 'level = "error"'), record("cluster", ""))
    assert file.publish(9, *snapshot, complete=True) == ()
    assert (file.in_force.log.level, file.in_force.limits.depth) == ("error", 128)
    assert file.publish(12, complete=True) == () and file.in_force == Operator()


def test_a_refused_snapshot_changes_nothing_until_a_later_record_makes_it_valid() -> None:
    file = File()
    file.publish(1, record("limits", "depth = 3"))
    bad, good = record("membership", 'sources = ["file"]'), record("log", 'level = "error"')
    (reason,) = file.publish(9, bad, good, complete=True)
    assert "file is empty" in reason and file.in_force.limits.depth == 3
    assert file.publish(10, record("membership", "settle_s = 1.0")) == ()
    assert (file.in_force.log.level, file.in_force.limits.depth) == ("error", 128)


def test_the_operators_file_is_merged_before_it_is_checked(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text('[membership]\nsources = ["file"]\n')
    published = PublishedTables({"membership": {}}, 1)
    assert load_operator(str(path), published.merged) == Operator()
    with pytest.raises(ConfigError, match="file is empty"):
        load_operator(str(path))


# --- the service ---
def follow(
    replies: tuple[PollReply, ...],
    receiver: Receiver,
    polls: int,
    check: Callable[[ScriptedControl], None],
    configuration: bool = True,
) -> None:
    """Answer one service's polls with the replies, and call `check` after `polls` polls."""

    async def scenario() -> None:
        control = ScriptedControl(*replies)
        table = DistributionTable(controls=(control.address,), configuration=configuration)
        net = SocketNetwork(asyncio.get_running_loop())
        service = DistributionService(table, KEYS, "p0", "", net, receiver)
        try:
            await until(lambda: poll_count_reached(control, polls))
            check(control)
        finally:
            service.close()
            control.server.close()
            await asyncio.sleep(0)

    asyncio.run(scenario())


async def poll_count_reached(control: ScriptedControl, polls: int) -> bool:
    return len(control.polls) >= polls


def batch(position: int, *records: Record) -> Batch:
    return Batch(position, 1, 0, records)


def test_a_refusal_is_sent_with_the_next_poll(caplog: pytest.LogCaptureFixture) -> None:
    file = File()
    replies = (
        ok(batch(1, record("log", 'level = "debug"'))),
        ok(batch(2, record("log", 'level = "loud"'), Record(Topic.PURGE, "k"))),
    )
    receiver = HooksReceiver(EventHooks(), file.published)

    def check(control: ScriptedControl) -> None:
        assert not control.polls[1].refused
        ((position, reason),) = control.polls[2].refused
        assert position == 2 and control.polls[2].position == 2 and "[log] level" in reason

    with caplog.at_level(logging.INFO, "violetroute"):
        follow(replies, receiver, 3, check)
    (line,) = logged(caplog, "distribution.configuration_refused")
    assert line["position"] == 2 and "[log] level" in line["reason"]
    assert file.in_force.log.level == "debug"
    assert (receiver.purges, receiver.configurations) == (1, 2)


class Refusing(CountingReceiver):
    """Refuses all configuration with `reason`, or raises an exception with it."""

    def __init__(self, reason: str, fails: bool) -> None:
        super().__init__()
        self.reason, self.fails = reason, fails

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        if self.fails:
            raise ValueError(self.reason)
        return (self.reason,)


@pytest.mark.parametrize("fails", [False, True])
@pytest.mark.parametrize(
    "reason",
    ["/file \udcff: [log] level", "\ud800" * 1000, "long " * 1000, "two\nlines", ""],
    ids=["a path", "surrogates", "long", "lines", "empty"],
)
def test_any_reason_can_be_sent_and_polling_continues(
    reason: str, fails: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    written: list[bytes] = []
    logs = Logs(lambda line: not written.append(line), lambda: 0.0, lambda: 0.0, LogTable())
    daemon_logger = logging.getLogger("violetroute")
    monkeypatch.setattr(daemon_logger, "propagate", False)  # pytest cannot forward such a line
    monkeypatch.setattr(daemon_logger, "handlers", [logs])
    replies = (ok(batch(1, record("log", 'level = "debug"'))), ok(batch(2)))

    def check(control: ScriptedControl) -> None:
        ((position, sent_reason),) = control.polls[2].refused
        assert position == 1 and len(sent_reason) <= 300 and "\n" not in sent_reason
        assert control.polls[2].position == 2

    follow(replies, Refusing(reason, fails), 3, check)
    event = b"daemon.fault" if fails else b"distribution.configuration_refused"
    assert sum(event in line for line in written) == 1


def snapshot(log: str, position: int, *records: Record) -> PollReply:
    base = LogPoint(1, position)
    return PollReply(PollStatus.SNAPSHOT, log, position, 0.0, (), Snapshot(base, records))


def test_a_snapshot_sets_the_configuration_and_one_of_another_log_removes_it() -> None:
    file = File()
    seen: list[str] = []
    replies = (snapshot(LOG, 7, record("log", 'level = "debug"')), snapshot("other", 3))

    class RecordingHooksReceiver(HooksReceiver):
        def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
            reasons = super().configure(change)
            seen.append(f"{change.position} {change.complete} {file.in_force.log.level}")
            return reasons

    follow(replies, RecordingHooksReceiver(EventHooks(), file.published), 3, lambda control: None)
    assert seen == ["7 True debug", "3 True info"]


def test_the_counting_receiver_counts_configuration() -> None:
    receiver = CountingReceiver()
    replies = (ok(batch(1, record("log", "level = ")), batch(2, record("x", ""))),)
    follow(replies, receiver, 2, lambda control: None)
    assert receiver.configurations == 2 and receiver.purges == 0


def test_published_configuration_is_off_by_default(caplog: pytest.LogCaptureFixture) -> None:
    receiver = CountingReceiver()
    with caplog.at_level(logging.INFO, "violetroute"):
        replies = (ok(batch(1, record("log", 'level = "debug"'))),)
        follow(replies, receiver, 2, lambda control: None, configuration=False)
    assert receiver.configurations == 0
    (line,) = logged(caplog, "distribution.skipped")
    assert line == {"topic": str(int(Topic.CONFIGURATION)), "count": 1}
    off = DistributionTable(controls=("127.0.0.1:1",), key_file="k")
    on = DistributionTable(controls=("127.0.0.1:1",), key_file="k", configuration=True)
    assert restart_is_needed(off, on)


# --- real processes ---
class ConfiguredDeployment(Deployment):
    """A control machine and two daemons that apply configuration, each with its own log lines."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, machines=1, daemons=2)
        self.logs: list[list[str]] = [[], []]
        self.daemons = [
            Child(folder, f"p{number}", on_log_line=log.append)
            for number, log in enumerate(self.logs)
        ]
        self.tables: list[dict[str, Any]] = [{}, {}]
        nodes = folder / "nodes.json"
        nodes.write_text('{"instances": []}')
        self.nodes = {"file": str(nodes)}
        self.tables[0]["membership"] = self.nodes

    def operator(self, number: int, **more: Any) -> Path:
        path = super().operator(number, configuration=True, **more)
        with path.open("a") as file:
            file.write("\n" + tomli_w.dumps(self.tables[number]))
        return path

    async def command(self, *arguments: str) -> Any:
        where = ["--machine", self.controls.addresses[0], "--key-file", str(self.controls.key_file)]
        return await asyncio.to_thread(CliRunner().invoke, app, ["control", *arguments, *where])

    async def configure(self, table: str, text: str) -> Any:
        path = self.folder / "table.toml"
        path.write_text(text)
        seconds = ("--wait", "--seconds", "60")
        return await self.command("configure", table, str(path), *seconds)

    async def reloaded(self, number: int, origin: str, form: str = "json") -> None:
        """Wait until this daemon has logged a reload with this origin, in this log format."""

        def matches(line: str) -> bool:
            if "config.reloaded" not in line or line.startswith("{") != (form == "json"):
                return False
            return origin in (json.loads(line)["origin"] if form == "json" else line)

        async def is_logged() -> bool:
            return any(matches(line) for line in self.logs[number])

        await until(is_logged)

    async def restart(self, number: int) -> None:
        await self.daemons[number].kill()
        self.logs[number].clear()
        raw = configuration(self.discovery.port, []) | {"name": f"p{number}"}
        await self.daemons[number].start(raw, free_ports(1)[0], self.operator(number))

    async def send_sighup(self, number: int) -> None:
        self.logs[number].clear()
        self.operator(number)
        os.kill(self.daemons[number].pid, signal.SIGHUP)


def test_daemons_apply_a_change_and_a_refusal_is_shown(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ConfiguredDeployment(tmp_path) as deployment:
            await until(lambda: session_count_is(deployment, 2))
            done = await deployment.configure("log", 'format = "json"')
            assert done.exit_code == 0, done.output
            first = int(done.output)
            for number in range(2):
                await deployment.reloaded(number, f"position {first}")

            done = await deployment.configure("membership", 'sources = ["platform", "file"]')
            position = int(done.output.split()[0])
            assert done.exit_code == 1 and "refused by p1: " in done.output
            assert "[membership] sources" in done.output and "p0" not in done.output
            await deployment.reloaded(0, f"position {position}")
            assert not any(f"position {position}" in line for line in deployment.logs[1])
            ((name, at, reason),) = (await deployment.status(0)).refused
            assert (name, at) == ("p1", position) and "[membership] sources" in reason
            shown = await deployment.command("status", "--json")
            (refused,) = json.loads(shown.output)["refused"]
            assert refused["name"] == "p1" and refused["reason"] == reason
            assert "refused by" in (await deployment.command("status")).output

            deployment.tables[1]["log"] = {"level": "debug"}
            # The table is still invalid with this file; the published log format stays.
            await deployment.send_sighup(1)
            await deployment.reloaded(1, f"position {first}")
            assert not any(f"position {position}" in line for line in deployment.logs[1])
            deployment.tables[1]["membership"] = deployment.nodes
            await deployment.send_sighup(1)
            await deployment.reloaded(1, f"position {position}")

            await deployment.restart(1)  # the first poll is answered with a snapshot of all tables
            await deployment.reloaded(1, f"position {position}")

            done = await deployment.command(
                "configure", "log", "--remove", "--wait", "--seconds", "60"
            )
            assert done.exit_code == 0, done.output
            for number in range(2):
                await deployment.reloaded(number, f"position {int(done.output)}", "text")

    asyncio.run(scenario())


async def session_count_is(deployment: Deployment, count: int) -> bool:
    return (await deployment.status(0)).sessions == count


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["ledger", "FILE"], "cannot be published"),
        (["distribution", "--remove"], "cannot be published"),
        (["log", "FILE"], "did you mean level?"),
        (["log", "NONE"], "No such file"),
        (["log", "EMPTY"], "--remove"),
        (["log"], "a file or --remove"),
        (["log", "FILE", "--remove"], "a file or --remove"),
    ],
)
def test_a_wrong_table_is_one_line_and_exit_code_2(
    tmp_path: Path, arguments: list[str], words: str
) -> None:
    (tmp_path / "FILE").write_text('levl = "info"')
    (tmp_path / "EMPTY").write_text("")
    (tmp_path / "key").write_text("k" * 32 + "\n")
    paths = [str(tmp_path / each) if each.isupper() else each for each in arguments]
    machine = ["--machine", f"127.0.0.1:{free_ports(1)[0]}", "--key-file", str(tmp_path / "key")]
    done = CliRunner().invoke(app, ["control", "configure", *paths, *machine])
    assert done.exit_code == 2 and words in done.output and done.output.count("\n") == 1


def test_configuring_the_same_control_machines_keeps_the_selected_one() -> None:
    controls = tuple(ControlEndpoint(f"127.0.0.1:{port}", "") for port in range(1, 40))
    subscriber = Subscriber(SubscriberSettings("p0", "", controls), "i", Random(1), 0.0)
    first_poll = subscriber.next(0.0)
    for _ in range(20):
        subscriber.configure(controls)
        assert subscriber.next(0.0) == first_poll
