"""What the platform tells: PROXY_* and the JSON file, checked at the start and on SIGHUP."""

from __future__ import annotations

import json
import math
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Annotated, Any, Literal

import msgspec

from snowstall import Settings
from snowstall.adapter import parse_settings
from violetroute.cluster import Topology, topology
from violetroute.error_text import one_line
from violetroute.membership.entries import Listing, parse_listing
from violetroute.placement.plan import Plan, load_plan
from violetroute.transport import Address, parse_address
from violetroute.transport.tls import TlsKeys

from .errors import ConfigError
from .operator import Limits, MergeTables, Operator, load_operator

RESERVED_SOCKETS = 32  # standard streams, event loop, listener, discovery, log, and some slack
PROCESS_MB = 20  # what the program takes with no request open
LEAST_VALUES = 1024 * 1024  # bytes: some values of the longest kind must always fit
Number = float  # JSON integers are taken too
# Python reads NaN and Infinity in JSON: a bound on both sides refuses them.
MOST = 1e12
Above0 = Annotated[Number, msgspec.Meta(gt=0, le=MOST)]
AtLeast0 = Annotated[Number, msgspec.Meta(ge=0, le=MOST)]
Count = Annotated[Number, msgspec.Meta(ge=1, le=1e9)]
Part = Annotated[Number, msgspec.Meta(ge=0, le=1)]
Name = Annotated[str, msgspec.Meta(min_length=1)]

# Keys that the platform documents and nothing here uses; any other unknown one is logged.
UNUSED = frozenset(
    {
        "clientHabits",
        "feedback",
        "kindOfService",
        "layers",
        "me",
        "objectiveMix",
        "stage",
        "tickMs",
        "valueBy",
        "weightKind",
        "zones",
        "cpuUsPerRequest",
        "cpuUsPerS",
        "maxStreams",
        "mostHeld",
        "peerMessages",
        "probes",
        "answerSlackMs",
        "fallMs",
        "overloadFactor",
        "streaming",
        "aimStretch",
        "cores",
    }
)


class _Limits(msgspec.Struct, frozen=True):
    sockets: Number = 1024  # both are checked below, against what the program needs
    memory_mb: Number = 64


class _Caps(msgspec.Struct, rename="camel", frozen=True):
    most_tries: Count
    cancel: bool | int = False
    conn_idle_ms: Above0 = 15_000.0
    connect_timeout_ms: Above0 = 250.0
    max_retry_after_ms: AtLeast0 = 0.0
    retry_after: bool | int = False
    second_copies: bool | int = False


class _Guarantees(msgspec.Struct, rename="camel"):
    cold_from: Part
    warm_within_ms: AtLeast0
    ask_within_ms: AtLeast0 = 10_000.0
    stop_sending_within_ms: AtLeast0 = 500.0


class _Class(msgspec.Struct, rename="camel"):
    name: Name
    promise_ms: Above0
    deadline_ms: Above0
    effect: Literal["pure", "token", "side_effect"]
    worth: AtLeast0 = 1.0
    late_value: Part = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    key_ttl_ms: AtLeast0 = 0.0


class _Tenant(msgspec.Struct, rename="camel"):
    name: Name
    share: AtLeast0 = 0.0
    quota_per_s: AtLeast0 = 0.0


class _Prices(msgspec.Struct, rename="camel"):
    cross_zone: AtLeast0 = 0.0
    origin: AtLeast0 = 0.0
    waste: AtLeast0 = 0.0


class _Family(msgspec.Struct, rename="camel"):
    mode: str = ""
    origin_kind: int = -1


class _Settings(msgspec.Struct, rename="camel"):
    caps: _Caps
    guarantees: _Guarantees
    classes: Annotated[list[_Class], msgspec.Meta(min_length=1)]
    balancers: Count = 1
    zone: str = ""
    membership_mode: Literal["automatic", "subscribe"] = "automatic"
    over_share_worth: AtLeast0 = 1.0
    realms: list[_Tenant] | None = None
    tariffs: _Prices | None = None
    family_info: _Family | None = None
    kinds: list[str] | None = None


class _File(msgspec.Struct):
    """The types of what is used of the platform's file; other keys are allowed."""

    settings: _Settings
    name: str = ""
    listen: str | None = None
    discovery: str | None = None
    seed: str | int = "0"
    limits: _Limits = _Limits()
    known: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that the daemon is told, checked."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    known: Listing
    settings: Settings
    connect_timeout: float  # seconds
    idle_timeout: float  # seconds after which a cache node closes an idle connection
    drain_grace: float  # seconds after which a draining node may get nothing new
    operator: Operator
    operator_path: str | None
    unknown: tuple[str, ...]  # keys of the platform's file that are not known here
    plan: Plan | None = None  # of [placement], where it names one
    topology: Topology | None = None  # of [cluster], where it is on

    @property
    def limits(self) -> Limits:
        return self.operator.limits

    @property
    def upstream_sockets(self) -> int:
        share = round(1.0 - self.limits.client_share, 6)
        return max(1, int((self.sockets - RESERVED_SOCKETS) * share))

    @property
    def client_sockets(self) -> int:
        return max(1, self.sockets - RESERVED_SOCKETS - self.upstream_sockets)

    @property
    def client_memory_bytes(self) -> int:
        """Bytes of values and answers that all clients together may keep in memory."""
        room = (self.memory_mb - PROCESS_MB) * self.limits.value_share * 1024 * 1024
        return max(LEAST_VALUES, int(room))

    @property
    def longest_deadline(self) -> float:
        """Seconds."""
        return max(c.deadline for c in self.settings.classes) / 1000.0


def load(
    env: Mapping[str, str] = os.environ,
    operator: str | None = None,
    merged: MergeTables | None = None,
    with_known: bool = True,
) -> Config:
    """The configuration that `env` names; `operator`, a path, wins over LIMEBRIDGE_OPERATOR.

    `merged` is given the operator's file as TOML has it, and answers with what is checked.
    `with_known`: read the list that it hands over; a reload has no use for it, and with thousands
    of nodes the daemon would stand meanwhile.
    ConfigError: one line with the file, and the key where it is one that is wrong.
    """
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    operator = operator or env.get("LIMEBRIDGE_OPERATOR") or None
    ours, plan = load_operator_files(operator, merged)
    try:
        raw = _read(path) if with_known else _read_without_known(path)
        config = replace(_config(raw, env, ours, operator), plan=plan)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        key = place.strip("`.") or "the file"
        raise ConfigError(f"bad configuration in {path}: {key}: {text}") from error
    except (
        OSError,
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        text = f"{error.args[0]}: missing" if isinstance(error, KeyError) else one_line(error)
        raise ConfigError(f"bad configuration in {path}: {text}") from error

    try:
        return replace(config, topology=topology(ours.cluster, config.name, config.listen))
    except ValueError as error:
        raise ConfigError(f"{operator}: [cluster] {error}") from error


def load_operator_files(
    operator: str | None, merged: MergeTables | None = None
) -> tuple[Operator, Plan | None]:
    """The operator's file alone, with the files that it names.  ConfigError as `load`."""
    ours = load_operator(operator, merged)
    try:
        plan = load_plan(ours.placement.file) if ours.placement.file else None
    except ValueError as error:
        raise ConfigError(f"{operator}: [placement] file: {error}") from error
    for name, files in (
        ("consul", ours.consul.tls),
        ("ledger", ours.ledger.tls),
        ("fleet", ours.fleet.tls),
    ):
        try:
            if files.ca:
                TlsKeys(files).context()
        except ValueError as error:
            raise ConfigError(f"{operator}: [{name}] tls files: {error}") from error
    return ours, plan


def _read(path: str) -> Any:
    with open(path, encoding="utf-8") as file:
        return json.load(file)


class _KnownForm(msgspec.Struct):
    """As much as is checked of a list that is not read."""

    instances: list[msgspec.Raw]


def _read_without_known(path: str) -> Any:
    """The file with an empty `known`, if that has the form of a list; else the whole file."""
    with open(path, "rb") as file:
        data = file.read()
    try:
        parts = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        if "known" in parts:
            msgspec.json.decode(parts.pop("known"), type=_KnownForm)
    except msgspec.MsgspecError:
        return _read(path)
    return {key: json.loads(bytes(value)) for key, value in parts.items()}


def parse(raw: dict[str, Any], operator: Operator | None = None) -> Config:
    """A configuration that is at hand already.  ValueError and its kin where it is wrong."""
    config = _config(raw, {}, operator or Operator(), None)
    return replace(config, topology=topology(config.operator.cluster, config.name, config.listen))


def _address(key: str, text: object) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None


def _config(
    raw: dict[str, Any], env: Mapping[str, str], operator: Operator, operator_path: str | None
) -> Config:
    told = msgspec.convert(raw, _File)
    listen = env.get("PROXY_LISTEN") or told.listen
    # The file first: it can be replaced and read anew, the environment never changes.
    discovery = told.discovery or env.get("PROXY_DISCOVERY")
    for key, value in (("listen", listen), ("discovery", discovery)):
        if not value:
            raise ValueError(f"{key}: missing")
    try:
        seed = int(str(told.seed), 16)
    except ValueError:
        raise ValueError("seed: not a hexadecimal number") from None
    caps, rules = told.settings.caps, told.settings.guarantees
    for key, names in (
        ("classes", [c.name for c in told.settings.classes]),
        ("realms", [t.name for t in told.settings.realms or ()]),
    ):
        if len(set(names)) != len(names):
            raise ValueError(f"settings.{key}: a name stands there twice")
    try:
        known = parse_listing(told.known or {"instances": []})
    except ValueError as error:
        raise ValueError(f"known: {error}") from None
    if not 2 * RESERVED_SOCKETS <= told.limits.sockets < math.inf:
        raise ValueError(f"limits.sockets: must be at least {2 * RESERVED_SOCKETS}")
    if not PROCESS_MB <= told.limits.memory_mb < math.inf:
        raise ValueError(f"limits.memory_mb: must be at least {PROCESS_MB}")
    return Config(
        name=env.get("PROXY_NAME") or told.name,
        listen=_address("listen", listen),
        discovery=_address("discovery", discovery),
        seed=seed,
        sockets=int(told.limits.sockets),
        memory_mb=float(told.limits.memory_mb),
        known=known,
        settings=_settings(raw["settings"], operator),
        connect_timeout=caps.connect_timeout_ms / 1000.0,
        idle_timeout=caps.conn_idle_ms / 1000.0,
        drain_grace=rules.stop_sending_within_ms / 1000.0,
        operator=operator,
        operator_path=operator_path,
        unknown=tuple(_unknown(raw, _File, "")),
    )


def _settings(raw: dict[str, Any], operator: Operator) -> Settings:
    """On sockets lists come to nobody unasked: pushed means that the agent beside us is asked.

    Found on a made-up customer with pushed lists: no watch was ever opened, so each drain was
    missed and the list handed over at the start held for good.  Other sources have no such agent.
    """
    settings = parse_settings(raw)
    pushed = not settings.must_subscribe and operator.platform_alone
    return replace(settings, must_subscribe=True, local_agent=pushed)


def _unknown(raw: Mapping[str, Any], struct: type[msgspec.Struct], place: str) -> Iterator[str]:
    """Keys that are neither used nor documented by the platform."""
    fields = {field.encode_name: field.type for field in msgspec.structs.fields(struct)}
    lists: dict[str, type[msgspec.Struct]] = {"classes": _Class, "realms": _Tenant}
    for key, value in raw.items():
        inner = fields.get(key)
        if inner is None:
            if key not in UNUSED:
                yield f"{place}{key}"
        elif key in lists and value is not None:
            for item in value:
                yield from _unknown(item, lists[key], f"{place}{key}[].")
        elif isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            yield from _unknown(value, inner, f"{place}{key}.")
