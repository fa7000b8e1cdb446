"""The platform's PROXY_* variables and JSON file, checked at the start and on SIGHUP."""

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

RESERVED_SOCKETS = 32  # standard streams, event loop, listener, discovery, log, and a margin
PROCESS_MB = 20  # memory of the program without open requests
REPLY_SHARE = 0.5  # memory for replies that are received, by that for client connections
MIN_VALUE_BYTES = 1024 * 1024  # some values of maximum length must always fit
Number = float  # accepts JSON integers too
# Python's JSON parser accepts NaN and Infinity; bounds on both sides reject them.
MAX_NUMBER = 1e12
Above0 = Annotated[Number, msgspec.Meta(gt=0, le=MAX_NUMBER)]
AtLeast0 = Annotated[Number, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Count = Annotated[Number, msgspec.Meta(ge=1, le=1e9)]
Fraction = Annotated[Number, msgspec.Meta(ge=0, le=1)]
Name = Annotated[str, msgspec.Meta(min_length=1)]

# Keys that the platform documents and the proxy does not use.  Any other unknown key is logged.
DOCUMENTED_UNUSED_KEYS = frozenset(
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
    sockets: Number = 1024  # `_build_config` checks the minimum of both limits
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
    cold_from: Fraction
    warm_within_ms: AtLeast0
    ask_within_ms: AtLeast0 = 10_000.0
    stop_sending_within_ms: AtLeast0 = 500.0


class _Class(msgspec.Struct, rename="camel"):
    name: Name
    promise_ms: Above0
    deadline_ms: Above0
    effect: Literal["pure", "token", "side_effect"]
    worth: AtLeast0 = 1.0
    late_value: Fraction = 0.0
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
    """The part of the platform's file that the proxy uses; other keys are allowed."""

    settings: _Settings
    name: str = ""
    listen: str | None = None
    discovery: str | None = None
    seed: str | int = "0"
    limits: _Limits = _Limits()
    known: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """The checked configuration of the daemon."""

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
    drain_grace: float  # seconds within which a draining node must get no more requests
    operator: Operator
    operator_path: str | None
    unknown: tuple[str, ...]  # unknown keys of the platform's file
    plan: Plan | None = None  # set if [placement] names a file
    topology: Topology | None = None  # set if [cluster] is on

    @property
    def limits(self) -> Limits:
        """`[limits]` of the operator's file."""
        return self.operator.limits

    @property
    def upstream_sockets(self) -> int:
        """Maximum number of connections to cache nodes."""
        share = round(1.0 - self.limits.client_share, 6)
        return max(1, int((self.sockets - RESERVED_SOCKETS) * share))

    @property
    def client_sockets(self) -> int:
        """Maximum number of client connections."""
        return max(1, self.sockets - RESERVED_SOCKETS - self.upstream_sockets)

    @property
    def client_memory_bytes(self) -> int:
        """Bytes of requests, values and answers that all clients may hold together."""
        room = (self.memory_mb - PROCESS_MB) * self.limits.value_share * 1024 * 1024
        return max(MIN_VALUE_BYTES, int(room))

    @property
    def reply_memory_bytes(self) -> int:
        """Bytes of long replies of nodes that may be received at the same time."""
        return max(MIN_VALUE_BYTES, int(self.client_memory_bytes * REPLY_SHARE))

    @property
    def longest_deadline(self) -> float:
        """The longest deadline of any class, in seconds."""
        return max(c.deadline for c in self.settings.classes) / 1000.0


def load(
    env: Mapping[str, str] = os.environ,
    operator: str | None = None,
    merge_tables: MergeTables | None = None,
    read_known: bool = True,
) -> Config:
    """Load the configuration that `env` names.

    `operator`: path of the operator's file, which overrides LIMEBRIDGE_OPERATOR.
    `merge_tables` may replace the tables of that file before they are checked.
    `read_known`: also parse the list of known nodes.  A reload does not need it, and parsing
    thousands of nodes would block the daemon.
    Raises ConfigError: one line with the file and, if a key is invalid, the key.
    """
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    operator = operator or env.get("LIMEBRIDGE_OPERATOR") or None
    operator_settings, plan = load_operator_files(operator, merge_tables)
    try:
        raw = _read(path) if read_known else _read_without_known(path)
        config = replace(_build_config(raw, env, operator_settings, operator), plan=plan)
    except msgspec.ValidationError as error:
        text, _, location = str(error).partition(" - at `$")
        key = location.strip("`.") or "the file"
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
        return replace(
            config, topology=topology(operator_settings.cluster, config.name, config.listen)
        )
    except ValueError as error:
        raise ConfigError(f"{operator}: [cluster] {error}") from error


def load_operator_files(
    operator: str | None, merge_tables: MergeTables | None = None
) -> tuple[Operator, Plan | None]:
    """Load the operator's file and the files that it names.  ConfigError as for `load`."""
    operator_settings = load_operator(operator, merge_tables)
    try:
        plan = (
            load_plan(operator_settings.placement.file)
            if operator_settings.placement.file
            else None
        )
    except ValueError as error:
        raise ConfigError(f"{operator}: [placement] file: {error}") from error
    for name, files in (
        ("consul", operator_settings.consul.tls),
        ("ledger", operator_settings.ledger.tls),
        ("fleet", operator_settings.fleet.tls),
    ):
        try:
            if files.ca:
                TlsKeys(files).context()
        except ValueError as error:
            raise ConfigError(f"{operator}: [{name}] tls files: {error}") from error
    return operator_settings, plan


def _read(path: str) -> Any:
    with open(path, encoding="utf-8") as file:
        return json.load(file)


class _UnreadListing(msgspec.Struct):
    """A list whose entries stay unparsed: only its outer form is checked."""

    instances: list[msgspec.Raw]


def _read_without_known(path: str) -> Any:
    """The file without `known`, if that has the form of a list; else the whole file."""
    with open(path, "rb") as file:
        data = file.read()
    try:
        parts = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        if "known" in parts:
            msgspec.json.decode(parts.pop("known"), type=_UnreadListing)
    except msgspec.MsgspecError:
        return _read(path)
    return {key: json.loads(bytes(value)) for key, value in parts.items()}


def parse(raw: dict[str, Any], operator: Operator | None = None) -> Config:
    """Check an already decoded configuration.

    Raises ValueError, KeyError, TypeError, AttributeError or OverflowError if it is invalid.
    """
    config = _build_config(raw, {}, operator or Operator(), None)
    return replace(config, topology=topology(config.operator.cluster, config.name, config.listen))


def _address(key: str, text: object) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None


def _build_config(
    raw: dict[str, Any], env: Mapping[str, str], operator: Operator, operator_path: str | None
) -> Config:
    file = msgspec.convert(raw, _File)
    listen = env.get("PROXY_LISTEN") or file.listen
    # The file has priority: it can be replaced and reloaded, unlike the environment.
    discovery = file.discovery or env.get("PROXY_DISCOVERY")
    for key, value in (("listen", listen), ("discovery", discovery)):
        if not value:
            raise ValueError(f"{key}: missing")
    try:
        seed = int(str(file.seed), 16)
    except ValueError:
        raise ValueError("seed: not a hexadecimal number") from None
    caps, rules = file.settings.caps, file.settings.guarantees
    for key, names in (
        ("classes", [c.name for c in file.settings.classes]),
        ("realms", [t.name for t in file.settings.realms or ()]),
    ):
        if len(set(names)) != len(names):
            raise ValueError(f"settings.{key}: a name occurs twice")
    try:
        known = parse_listing(file.known or {"instances": []})
    except ValueError as error:
        raise ValueError(f"known: {error}") from None
    if not 2 * RESERVED_SOCKETS <= file.limits.sockets < math.inf:
        raise ValueError(f"limits.sockets: must be at least {2 * RESERVED_SOCKETS}")
    if not PROCESS_MB <= file.limits.memory_mb < math.inf:
        raise ValueError(f"limits.memory_mb: must be at least {PROCESS_MB}")
    return Config(
        name=env.get("PROXY_NAME") or file.name,
        listen=_address("listen", listen),
        discovery=_address("discovery", discovery),
        seed=seed,
        sockets=int(file.limits.sockets),
        memory_mb=float(file.limits.memory_mb),
        known=known,
        settings=_build_settings(raw["settings"], operator),
        connect_timeout=caps.connect_timeout_ms / 1000.0,
        idle_timeout=caps.conn_idle_ms / 1000.0,
        drain_grace=rules.stop_sending_within_ms / 1000.0,
        operator=operator,
        operator_path=operator_path,
        unknown=tuple(_unknown_keys(raw, _File, "")),
    )


def _build_settings(raw: dict[str, Any], operator: Operator) -> Settings:
    """The balancer's settings, always with a subscription to node lists.

    No list arrives without a request: "pushed" lists have to be requested from the agent on this
    host.  In a test with pushed lists no watch was opened, so each drain was missed and the initial
    list stayed in force.  Other list sources have no such agent.
    """
    settings = parse_settings(raw)
    pushed = not settings.must_subscribe and operator.only_platform_discovery
    return replace(settings, must_subscribe=True, local_agent=pushed)


def _unknown_keys(
    raw: Mapping[str, Any], struct: type[msgspec.Struct], path_prefix: str
) -> Iterator[str]:
    """Paths of the keys that are neither used here nor documented by the platform."""
    fields = {field.encode_name: field.type for field in msgspec.structs.fields(struct)}
    lists: dict[str, type[msgspec.Struct]] = {"classes": _Class, "realms": _Tenant}
    for key, value in raw.items():
        inner = fields.get(key)
        if inner is None:
            if key not in DOCUMENTED_UNUSED_KEYS:
                yield f"{path_prefix}{key}"
        elif key in lists and value is not None:
            for item in value:
                yield from _unknown_keys(item, lists[key], f"{path_prefix}{key}[].")
        elif isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            yield from _unknown_keys(value, inner, f"{path_prefix}{key}.")
