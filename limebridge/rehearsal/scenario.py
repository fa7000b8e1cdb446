"""The schema of scenario files (TOML), and their loading and validation.

Times are in seconds unless the name of the key ends in `_ms`.  The whole file is validated before
anything runs; an error message is one line.
"""

from __future__ import annotations

import difflib
import itertools
import re
from pathlib import Path
from typing import Annotated, Any, Literal, get_args

import msgspec

from violetroute.config import ConfigError, Operator
from violetroute.config.tables import read_toml, to_struct

from .trace import read_trace

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
NonNegative = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Range = Annotated[list[float], msgspec.Meta(min_length=2, max_length=2)]
SUPPORTED_TABLES = ("log", "limits")  # tables of the operator's file that affect a rehearsal
SHIPPED_FOLDER = Path(__file__).resolve().parent.parent.parent / "rehearsals"


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all tables: immutable, unknown keys are errors."""


class Run(_Table, frozen=True):
    """Length and seed of the run."""

    seconds: Positive = 60.0
    seed: int = 1
    drawn_as: str = ""  # scenario whose random numbers are used; "": this one
    about: str = ""  # one line for `--list`


class Site(_Table, frozen=True):
    """A site with nodes and proxies."""

    name: str
    share: Share = 1.0  # weight by which the proxies are distributed over the sites


class Box(_Table, frozen=True):
    """A type of machines."""

    name: str
    slots: Count = 4  # requests that a node works on at once
    speed: Range = msgspec.field(default_factory=lambda: [1.0, 1.0])  # drawn uniformly
    at: dict[str, int] = {}  # number of nodes by site


class Nodes(_Table, frozen=True):
    """Properties of all nodes."""

    waiting: Count = 24  # queue limit; a node rejects further requests
    cold_from: Share = 0.13  # share of its speed that a cold node begins with
    warm: Positive = 23.0  # s until a cold node is warm
    keeps: Count = 4000  # keys that a node can cache


class Network(_Table, frozen=True):
    """One-way delays between proxies and nodes."""

    within_ms: NonNegative = 0.1  # within a site
    between_ms: NonNegative = 2.0  # added between two sites
    jitter_ms: NonNegative = 0.05


class Database(_Table, frozen=True):
    """The customer database."""

    at_once: Count = 16  # concurrent fetches
    latency_ms: Positive = 50.0
    waiting: Count = 400  # queue limit; further fetches are rejected
    refusal_ms: NonNegative = 0.0  # slot time that a rejection costs: overload reduces throughput
    ceiling: NonNegative = 0.0  # fetches per second that must not be exceeded; 0: no ceiling


class Class(_Table, frozen=True):
    """A class of requests."""

    name: str
    share: Share  # weight by which the class of a request is drawn
    work_ms: Positive  # mean work on a node of speed 1
    aim_ms: Positive  # latency target
    deadline_ms: Positive
    worth: Positive = 1.0  # per second of work
    late: Share = 0.3  # share of the worth after the latency target, while the client waits
    effect: Literal["pure", "token", "side_effect"] = "pure"
    window_ms: NonNegative = 0.0  # idempotency window of a keyed write

    def to_settings(self) -> dict[str, Any]:
        """The class in the format of the platform's settings."""
        settings: dict[str, Any] = {
            "name": self.name,
            "promiseMs": self.aim_ms,
            "deadlineMs": self.deadline_ms,
            "effect": self.effect,
            "worth": self.worth,
            "lateValue": self.late,
        }
        return settings | (
            {"group": "all", "keyTtlMs": self.window_ms} if self.effect == "token" else {}
        )


class Keys(_Table, frozen=True):
    """The distribution of the keys."""

    count: Count = 2000
    zipf: Positive = 1.0  # exponent of Zipf's law
    once: Share = 0.0  # share of the requests whose key is used only once


class Tenant(_Table, frozen=True):
    """A tenant and its share of the requests."""

    name: str
    share: Positive = 1.0  # weight by which the tenant of a request is drawn


class Proxies(_Table, frozen=True):
    """Number and properties of the proxies."""

    count: Count = 6
    descriptors: Count = 256  # limit of file descriptors
    cores: NonNegative = 0.0  # CPU per proxy, for costs.json of limebridge/virtual; 0: no CPU time
    fleet: bool = False  # whether the proxies gossip with each other: [sharing] is on
    deaf: Share = 0.0  # share of the proxies that receive no gossip
    liars: Share = 0.0  # share of the proxies that report every node as unhealthy


class Point(_Table, frozen=True):
    """A point of the load curve, which is linear between two points."""

    at: NonNegative
    rate: NonNegative  # requests per second


class Load(_Table, frozen=True):
    """The load: a curve or a recorded trace."""

    curve: list[Point] = []
    trace: str = ""  # file of a recorded load (trace.py), relative to the scenario's folder
    speed: Positive = 1.0  # speed of the replay: 2 sends the trace in half the time


class Clients(_Table, frozen=True):
    """Timeouts and retries of the clients."""

    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2
    wait_ms: NonNegative = 50.0  # ms before the first retry; doubles with each further one
    patience: Range = msgspec.field(default_factory=lambda: [0.5, 0.8])  # of the class's deadline
    honours_busy: bool = True  # wait at least as long as -BUSY MS says


EventKind = Literal[
    "slow",
    "stalls",
    "dies",
    "drains",
    "hot_key",
    "scan",
    "database_slow",
    "database_stops",
    "discovery_down",
    "site_lost",
    "joins",
    "proxies_restart",
    "loses_answers",
]


class Event(_Table, frozen=True):
    """A fault or another event of the run."""

    at: NonNegative
    kind: EventKind
    lasts: NonNegative = 5.0
    share: Share = 0.25  # share of the nodes, or of the requests for `hot_key` and `scan`
    site: str = ""  # only nodes of this site; where nodes join
    amount: NonNegative = 3.0  # slowdown factor; `loses_answers`: s until the connection breaks


class Bar(_Table, frozen=True):
    """What a run has to reach; a rule violation fails it in any case.  0: no requirement.

    `attainable`, `trouble` and `after` are shares of the attainable worth (attainable.py).
    """

    service: Share = 0.0
    worst: Share = 0.0  # service in the worst ten seconds
    worst_class: Share = 0.0
    attainable: Share = 0.0  # share of the whole run
    trouble: Share = 0.0  # share from two seconds after the start of the fault to its end
    after: Share = 0.0  # share of the fifteen seconds after the fault
    swing: NonNegative = 0.0  # maximal mean change of the share from one second to the next
    back: NonNegative = 0.0  # maximal time from the end of the fault to recovery


class Scenario(_Table, frozen=True):
    """A scenario file; `name` is the name of the file without its suffix."""

    load: Load
    run: Run = Run()
    site: list[Site] = msgspec.field(default_factory=lambda: [Site("a")])
    box: list[Box] = msgspec.field(default_factory=lambda: [Box("standard", at={"a": 4})])
    nodes: Nodes = Nodes()
    network: Network = Network()
    database: Database = Database()
    classes: list[Class] = msgspec.field(
        name="class", default_factory=lambda: [Class("lookup", 1.0, 80.0, 300.0, 600.0)]
    )
    keys: Keys = Keys()
    tenant: list[Tenant] = msgspec.field(default_factory=lambda: [Tenant("all")])
    proxies: Proxies = Proxies()
    clients: Clients = Clients()
    operator: Operator = Operator()  # operator settings of every proxy
    event: list[Event] = []
    bar: Bar = Bar()
    name: str = ""

    @property
    def size(self) -> int:
        """The number of nodes."""
        return sum(count for box in self.box for count in box.at.values())

    @property
    def capacity(self) -> float:
        """Requests per second with all nodes warm and every read a hit, by mean speed and work."""
        work = sum(c.share * c.work_ms for c in self.classes) / sum(c.share for c in self.classes)
        return sum(
            count * box.slots * sum(box.speed) / 2.0 / (work / 1000.0)
            for box in self.box
            for count in box.at.values()
        )


def distribute(names: list[str], shares: list[float], count: int) -> list[str]:
    """`count` names in proportion to their shares, interleaved as evenly as possible."""
    credits = [0.0] * len(names)
    distributed = []
    for _ in range(count):
        credits = [owed + share / sum(shares) for owed, share in zip(credits, shares, strict=True)]
        index = max(range(len(names)), key=lambda n: (credits[n], -n))
        credits[index] -= 1.0
        distributed.append(names[index])
    return distributed


def rate_at(curve: list[Point], at: float) -> float:
    """The rate at a time (s) by linear interpolation; constant after the last point."""
    for before, after in itertools.pairwise(curve):
        if at < after.at:
            fraction = (at - before.at) / max(1e-9, after.at - before.at)
            return before.rate + fraction * (after.rate - before.rate)
    return curve[-1].rate


def shipped_scenarios() -> dict[str, Path]:
    """The files of the scenarios in `rehearsals/`, by name."""
    return {path.stem: path for path in sorted(SHIPPED_FOLDER.glob("*.toml"))}


def load(name_or_path: str) -> Scenario:
    """Load and validate a scenario: a shipped one by name, or a file, with its trace.

    Raises ConfigError with one line that names the key.
    """
    path = shipped_scenarios().get(name_or_path) or Path(name_or_path)
    if not path.exists():
        raise ConfigError(
            f"{name_or_path}: neither a file nor a scenario; "
            f"there are {', '.join(shipped_scenarios())}"
        )
    raw = read_toml(str(path))
    if "name" in raw:
        raise ConfigError(f"{path}: name: set by the name of the file")
    try:
        scenario = to_struct(raw, Scenario, str(path))
    except ConfigError as error:
        raise ConfigError(f"{error}{_suggestion(str(error))}") from None
    validate(scenario, str(path))
    if scenario.load.trace:
        trace = str(path.parent / scenario.load.trace)
        scenario = msgspec.structs.replace(
            scenario, load=msgspec.structs.replace(scenario.load, trace=trace)
        )
        for _ in read_trace(Path(trace), {c.name for c in scenario.classes}):
            pass  # validates the whole trace before the run
    return msgspec.structs.replace(scenario, name=path.stem)


def _suggestion(error: str) -> str:
    """The closest known name for an unknown one in an error message, or an empty string."""
    known = {
        name
        for table in (
            Scenario,
            Run,
            Site,
            Box,
            Nodes,
            Network,
            Database,
            Class,
            Keys,
            Tenant,
            Proxies,
            Point,
            Load,
            Clients,
            Event,
            Bar,
        )
        for name in table.__struct_encode_fields__
    } | set(get_args(EventKind))
    for word in re.findall(r"[`'\"]([A-Za-z_]+)[`'\"]", error):
        matches = difflib.get_close_matches(word, known - {word}, 1)
        if word not in known and matches:
            return f" (did you mean {matches[0]}?)"
    return ""


def validate(scenario: Scenario, path: str) -> None:
    """Check the consistency of values that are each valid by themselves.

    Raises ConfigError with one line; `path` names the source.
    """
    sites = [site.name for site in scenario.site]
    error = ""
    for number, box in enumerate(scenario.box):
        for site in box.at:
            if site not in sites:
                error = f"[[box]] {number + 1} at: no site {site!r}"
        if not 0.0 < box.speed[0] <= box.speed[1]:
            error = f"[[box]] {number + 1} speed: must be [low, high] with 0 < low <= high"
    for number, event in enumerate(scenario.event):
        if event.kind in ("site_lost",) and event.site not in sites:
            error = f"[[event]] {number + 1} site: no site {event.site!r}"
        if event.at >= scenario.run.seconds:
            error = f"[[event]] {number + 1} at: after the end of the run"
    times = [point.at for point in scenario.load.curve]
    if bool(times) == bool(scenario.load.trace):
        error = "[load] curve: either curve or trace is required, not both"
    elif times and (times != sorted(times) or times[0] != 0.0):
        error = "[load] curve: must begin at 0 and be in order of time"
    for cls in scenario.classes:
        if cls.effect == "token" and not cls.window_ms:
            error = f"[[class]] {cls.name} window_ms: required for effect token"
        if cls.aim_ms > cls.deadline_ms:
            error = f"[[class]] {cls.name} aim_ms: above its deadline"
    low, high = scenario.clients.patience
    if not 0.0 < low <= high <= 1.0:
        error = "[clients] patience: must be [low, high] with 0 < low <= high <= 1"
    for table in Operator.__struct_fields__:
        if table not in SUPPORTED_TABLES and getattr(scenario.operator, table) != getattr(
            Operator(), table
        ):
            error = (
                f"[operator.{table}]: not supported here; only {', '.join(SUPPORTED_TABLES)} are"
            )
    if len(set(sites)) != len(sites):
        error = "[[site]] name: two sites have the same name"
    if not scenario.size:
        error = "[[box]] at: no nodes"
    if error:
        raise ConfigError(f"{path}: {error}")
