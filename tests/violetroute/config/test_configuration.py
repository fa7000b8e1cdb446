"""Valid and invalid configuration: an error is one line that names the key."""

from __future__ import annotations

import copy
import json
import tomllib
from pathlib import Path
from typing import Any

import msgspec
import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from tests.support.paths import ROOT
from tests.support.rig import SETTINGS, configuration
from violetroute.config import (
    Config,
    ConfigError,
    Operator,
    effective_operator,
    load,
    restart_needed,
)
from violetroute.config.operator import load_operator, parse_operator
from violetroute.config.tables import MAX_FILE_BYTES


def loaded(tmp_path: Path, raw: Any, operator: str | None = None, **env: str) -> Config:
    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    if operator is not None:
        (tmp_path / "operator.toml").write_text(operator)
        env["LIMEBRIDGE_OPERATOR"] = str(tmp_path / "operator.toml")
    return load({"PROXY_CONFIG": str(path)} | env)


INVALID_FILES: dict[str, tuple[tuple[Any, ...], Any, str]] = {
    "no listen": (("listen",), None, "listen: missing"),
    "a name to listen on": (("listen",), "here:1", "listen: not an address"),
    "discovery": (("discovery",), "1.2.3.4", "discovery: not an address"),
    "seed": (("seed",), "zz", "seed:"),
    "sockets": (("limits", "sockets"), "many", "limits.sockets:"),
    "few sockets": (("limits", "sockets"), 12, "limits.sockets: must be at least 64"),
    "memory": (("limits", "memory_mb"), 3, "limits.memory_mb:"),
    "known": (("known",), {"instances": 3}, "known:"),
    "tries missing": (("settings", "caps", "mostTries"), None, "mostTries"),
    "tries": (("settings", "caps", "mostTries"), 0, "settings.caps.mostTries:"),
    "timeout": (
        ("settings", "caps", "connectTimeoutMs"),
        "soon",
        "settings.caps.connectTimeoutMs:",
    ),
    "idle": (("settings", "caps", "connIdleMs"), 0, "settings.caps.connIdleMs:"),
    "cold": (("settings", "guarantees", "coldFrom"), 3, "settings.guarantees.coldFrom:"),
    "no classes": (("settings", "classes"), [], "settings.classes:"),
    "effect": (("settings", "classes", 0, "effect"), "odd", "settings.classes[0].effect:"),
    "aim": (("settings", "classes", 0, "promiseMs"), -1, "settings.classes[0].promiseMs:"),
    "no settings": (("settings",), None, "settings"),
    "two of a name": (("settings", "classes", 1, "name"), "lookup", "settings.classes: a name"),
    "no name": (("settings", "classes", 0, "name"), "", "settings.classes[0].name:"),
    "mode": (("settings", "membershipMode"), "told", "settings.membershipMode:"),
    "price": (("settings", "tariffs"), {"crossZone": "dear"}, "settings.tariffs.crossZone:"),
    "tenant": (("settings", "realms"), [{"share": 1}], "settings.realms[0]"),
    "quota": (
        ("settings", "realms"),
        [{"name": "a", "quotaPerS": -1}],
        "settings.realms[0].quotaPerS:",
    ),
    "two tenants": (("settings", "realms"), [{"name": "a"}] * 2, "settings.realms: a name"),
}
# Guards against a fault: Python's JSON parser accepts NaN and Infinity, and the configuration
# accepted either as a deadline.
NUMBERS = [
    ("limits", "sockets"),
    ("limits", "memory_mb"),
    ("settings", "balancers"),
    ("settings", "overShareWorth"),
    *(
        ("settings", "caps", key)
        for key in ("mostTries", "connIdleMs", "connectTimeoutMs", "maxRetryAfterMs")
    ),
    *(
        ("settings", "guarantees", key)
        for key in ("coldFrom", "warmWithinMs", "askWithinMs", "stopSendingWithinMs")
    ),
    *(
        ("settings", "classes", 0, key)
        for key in ("promiseMs", "deadlineMs", "worth", "lateValue", "keyTtlMs")
    ),
]
INVALID_FILES |= {
    f"{value} {keys[-1]}": (keys, value, f"{keys[-1]}:")
    for keys in NUMBERS
    for value in (float("nan"), float("inf"), -1.0)
}


def test_a_null_key_equals_a_missing_key(tmp_path: Path) -> None:
    absent = dict.fromkeys(("tariffs", "realms", "familyInfo", "kinds"))
    raw = configuration(1, [])
    assert (
        loaded(tmp_path, raw | {"settings": raw["settings"] | absent}).settings
        == loaded(tmp_path, raw).settings
    )


@pytest.mark.parametrize("name", INVALID_FILES)
def test_an_invalid_key_of_the_platforms_file_is_named(tmp_path: Path, name: str) -> None:
    # Guards against a fault: 4 of 7 invalid files were rejected without the name of the key.
    keys, value, expected = INVALID_FILES[name]
    raw = copy.deepcopy(configuration(1, []))
    place: Any = raw
    for key in keys[:-1]:
        place = place[key]
    if value is None:
        del place[keys[-1]]
    else:
        place[keys[-1]] = value
    with pytest.raises(ConfigError) as raised:
        loaded(tmp_path, raw)
    assert expected in str(raised.value) and "\n" not in str(raised.value)
    assert str(tmp_path / "config.json") in str(raised.value)


@pytest.mark.parametrize("text", ["", "{", "[]", "7", '{"settings": 3}', "[" * 100_000])
def test_a_file_that_contains_no_configuration_is_reported_in_one_line(
    tmp_path: Path, text: str
) -> None:
    with pytest.raises(ConfigError) as raised:
        loaded(tmp_path, text)
    assert "\n" not in str(raised.value)


def test_unknown_keys_of_the_platform_are_allowed_and_named(tmp_path: Path) -> None:
    raw = configuration(
        1, [], **{"newHere": 1, "tickMs": 5.0, "caps": SETTINGS["caps"] | {"moreNew": 2}}
    )
    config = loaded(tmp_path, raw)
    assert set(config.unknown) == {"settings.newHere", "settings.caps.moreNew"}


BAD_OPERATOR = {
    "[log]\nlevl = 'info'": "[log] levl: unknown key; did you mean level?",
    "[log]\nlevel = 'loud'": "[log] level:",
    "[log]\nper_second = -1": "[log] per_second:",
    "[log.events]\n'daemon.pausd' = 1": "daemon.pausd: unknown event; did you mean daemon.paused?",
    "[log.events]\n'daemon.paused' = 'x'": "[log] events:",
    "[limits]\ndepth = 'many'": "[limits] depth:",
    "[limits]\ndepth = 0": "[limits] depth:",
    "[limits]\nclient_share = 1.5": "[limits] client_share:",
    "[limts]": "[limts]: unknown table; did you mean limits?",
    "log = 1": "[log]: must be a table",
    "x = [": "",
}


@pytest.mark.parametrize("text", BAD_OPERATOR)
def test_an_invalid_key_of_the_operators_file_is_named(tmp_path: Path, text: str) -> None:
    with pytest.raises(ConfigError) as raised:
        loaded(tmp_path, configuration(1, []), text)
    message = str(raised.value)
    assert BAD_OPERATOR[text] in message and "operator.toml" in message and "\n" not in message


def test_a_missing_operators_file_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="nowhere"):
        load_operator(str(tmp_path / "nowhere.toml"))


def test_an_operators_file_that_is_too_large_is_not_read(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_bytes(b"#" * (MAX_FILE_BYTES + 1))
    with pytest.raises(ConfigError, match="larger than"):
        load_operator(str(path))


def test_the_commented_file_has_every_key_with_its_default() -> None:
    path = ROOT / "deploy" / "operator.toml"
    assert load_operator(str(path)) == Operator()
    written = tomllib.loads(path.read_text())
    assert {table: set(keys) for table, keys in written.items()} == {
        table.name: set(type(table.default).__struct_fields__)
        for table in msgspec.structs.fields(Operator)
    }


def test_shares_divide_the_granted_resources(tmp_path: Path) -> None:
    raw = configuration(1, [], sockets=232, memory_mb=120)
    plain = loaded(tmp_path, raw)
    ours = loaded(tmp_path, raw, "[limits]\nclient_share = 0.75\nvalue_share = 0.2")
    assert (plain.client_sockets, plain.upstream_sockets) == (110, 90)
    assert (ours.client_sockets, ours.upstream_sockets) == (150, 50)
    assert ours.client_memory_bytes == plain.client_memory_bytes // 2 == 20 * 1024 * 1024


def test_keys_that_need_a_restart_are_listed() -> None:
    now = parse_operator(
        {"limits": {"client_share": 0.6, "depth": 5}, "log": {"level": "error"}}, "f"
    )
    assert restart_needed(Operator(), now) == ["limits.client_share"]


def test_settings_that_need_a_restart_keep_their_values() -> None:
    running = parse_operator({"fleet": {"store": "folder", "folder": "/lease"}}, "f")
    file = parse_operator({"limits": {"client_share": 0.6, "depth": 5}}, "f")
    holds = effective_operator(running, file)
    assert holds.fleet == running.fleet and holds.limits.depth == 5
    assert holds.limits.client_share == running.limits.client_share
    assert restart_needed(holds, file) == restart_needed(running, file)
    assert effective_operator(running, running) == running


def test_check_shows_the_effect_or_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(1, [], sockets=232)))
    operator = tmp_path / "operator.toml"
    operator.write_text("[limits]\nclient_share = 0.75")
    command = ["check", str(path), "--operator", str(operator)]
    result = CliRunner().invoke(app, [*command, "--json"])
    assert result.exit_code == 0
    assert json.loads(result.stdout)["client connections"] == 150
    operator.write_text("[limits]\nclient_shar = 0.75")
    result = CliRunner().invoke(app, command)
    assert result.exit_code == 2 and "did you mean client_share?" in result.output


def test_the_operators_file_is_checked_alone_and_the_shipped_one_passes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("PROXY_CONFIG", raising=False)
    shipped = ROOT / "deploy" / "operator.toml"
    result = CliRunner().invoke(app, ["check", "--operator", str(shipped), "--json"])
    assert result.exit_code == 0 and json.loads(result.stdout)["ledger"] == "off"
    path = tmp_path / "op.toml"
    for text, message in (
        ('[ledger]\nfolder = "x"\nzone = "Nowhere"\n', "[ledger] zone"),
        ('[ledger]\nfolder = "x"\ntls_ca_file = "none"\n', "[ledger] tls files"),
        ('[ledger]\nfolder = "x"\n', ""),
    ):
        path.write_text(text)
        result = CliRunner().invoke(app, ["check", "--operator", str(path)])
        assert (result.exit_code, message in result.output) == (2 if message else 0, True)
    monkeypatch.setattr("violetroute.config.operator.find_spec", lambda name: None)
    result = CliRunner().invoke(app, ["check", "--operator", str(path)])
    assert result.exit_code == 2 and "zstandard" in result.output


def test_lists_are_pushed_only_if_the_platform_is_the_only_source(tmp_path: Path) -> None:
    raw = configuration(1, [], membershipMode="automatic")
    for operator, pushed in (
        ("", True),
        ('[membership]\nsources = ["platform"]\n', True),
        ('[consul]\nagents = ["127.0.0.1:1"]\n', False),
    ):
        settings = loaded(tmp_path, raw, operator).settings
        assert settings.must_subscribe and settings.local_agent is pushed
