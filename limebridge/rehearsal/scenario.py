"""A scenario as an operator writes it: TOML, typed and checked whole; a mistake is one line.

Times are seconds unless a key's name ends in `_ms`.
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

from .trace import read

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Above0 = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
From0 = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Range = Annotated[list[float], msgspec.Meta(min_length=2, max_length=2)]
PLAYED = ("log", "limits")  # tables of the operator's file that concern a rehearsal
FOLDER = Path(__file__).resolve().parent.parent.parent / "rehearsals"


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all tables are."""


class Run(_Table, frozen=True):
    seconds: Above0 = 60.0
    seed: int = 1
    drawn_as: str = ""  # whose random numbers it has, by name; "" is its own
    about: str = ""  # what it rehearses, for `--list`


class Site(_Table, frozen=True):
    name: str
    share: Share = 1.0  # of the proxies, in proportion


class Box(_Table, frozen=True):
    """A class of machines."""

    name: str
    slots: Count = 4  # requests worked on at once
    speed: Range = msgspec.field(default_factory=lambda: [1.0, 1.0])  # drawn evenly
    at: dict[str, int] = {}  # how many at each site


class Nodes(_Table, frozen=True):
    waiting: Count = 24  # beyond the slots; more are turned away
    cold_from: Share = 0.13
    warm: Above0 = 23.0
    keeps: Count = 4000  # keys of a node


class Network(_Table, frozen=True):
    within_ms: From0 = 0.1  # one way, in a site
    between_ms: From0 = 2.0
    jitter_ms: From0 = 0.05


class Database(_Table, frozen=True):
    at_once: Count = 16
    latency_ms: Above0 = 50.0
    waiting: Count = 400
    refusal_ms: From0 = 0.0  # of a slot's time, for each fetch beyond these: it falls over
    ceiling: From0 = 0.0  # fetches a second that it must not see; 0: none stated


class Class(_Table, frozen=True):
    name: str
    share: Share
    work_ms: Above0
    aim_ms: Above0
    deadline_ms: Above0
    worth: Above0 = 1.0
    late: Share = 0.3  # of the worth, between aim and the client's time
    effect: Literal["pure", "token", "side_effect"] = "pure"
    window_ms: From0 = 0.0

    def told(self) -> dict[str, Any]:
        """As the platform's settings have it."""
        found: dict[str, Any] = {
            "name": self.name,
            "promiseMs": self.aim_ms,
            "deadlineMs": self.deadline_ms,
            "effect": self.effect,
            "worth": self.worth,
            "lateValue": self.late,
        }
        return found | (
            {"group": "all", "keyTtlMs": self.window_ms} if self.effect == "token" else {}
        )


class Keys(_Table, frozen=True):
    count: Count = 2000
    zipf: Above0 = 1.0
    once: Share = 0.0  # of the reads: keys that are wanted only once


class Tenant(_Table, frozen=True):
    name: str
    share: Above0 = 1.0


class Proxies(_Table, frozen=True):
    count: Count = 6
    descriptors: Count = 256
    cores: From0 = 0.0  # of each; its own time is played then (virtual/costs.json), not at 0
    fleet: bool = False  # they talk to each other: [sharing] is on
    deaf: Share = 0.0  # of them hear nothing of the others
    liars: Share = 0.0  # of them tell of trouble at each node


class Point(_Table, frozen=True):
    at: From0
    rate: From0  # requests a second from here on a line to the next point


class Load(_Table, frozen=True):
    curve: list[Point] = []
    trace: str = ""  # a recorded load in place of the curve (trace.py), beside the scenario's file
    speed: Above0 = 1.0  # of the trace's clock: 2 asks twice as fast


class Clients(_Table, frozen=True):
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2
    wait_ms: From0 = 50.0  # before a retry, doubling
    patience: Range = msgspec.field(default_factory=lambda: [0.5, 0.8])  # of the class's deadline
    honours_busy: bool = True  # waits as long as -BUSY MS says


Trouble = Literal[
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
    at: From0
    kind: Trouble
    lasts: From0 = 5.0
    share: Share = 0.25  # of the nodes, for those that concern nodes; of the traffic, for keys
    site: str = ""  # of a site that is lost, or where nodes join
    amount: From0 = 3.0  # how many times slower; s until the connection breaks, for lost answers


class Bar(_Table, frozen=True):
    """What a run has to reach; a broken rule fails it whatever it reaches."""

    service: Share = 0.0
    worst: Share = 0.0  # ten seconds
    worst_class: Share = 0.0
    attainable: Share = 0.0  # of what could have been had (attainable.py): the whole run,
    trouble: Share = 0.0  # from two seconds behind an onset to its end,
    after: Share = 0.0  # the fifteen seconds behind it
    swing: From0 = 0.0  # at most from one second to the next, on average; 0: not asked
    back: From0 = 0.0  # s from its end until nearly all is had again, at most; 0: not asked


class Scenario(_Table, frozen=True):
    """The whole file."""

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
    operator: Operator = Operator()  # the operator's file of every proxy
    event: list[Event] = []
    bar: Bar = Bar()
    name: str = ""

    @property
    def size(self) -> int:
        return sum(count for box in self.box for count in box.at.values())

    @property
    def capacity(self) -> float:
        """Requests a second when all are warm and every read is kept, by mean speeds and work."""
        work = sum(c.share * c.work_ms for c in self.classes) / sum(c.share for c in self.classes)
        return sum(
            count * box.slots * sum(box.speed) / 2.0 / (work / 1000.0)
            for box in self.box
            for count in box.at.values()
        )


def spread(names: list[str], shares: list[float], count: int) -> list[str]:
    """Names in proportion to their shares, mixed evenly."""
    due = [0.0] * len(names)
    found = []
    for _ in range(count):
        due = [have + share / sum(shares) for have, share in zip(due, shares, strict=True)]
        place = max(range(len(names)), key=lambda n: (due[n], -n))
        due[place] -= 1.0
        found.append(names[place])
    return found


def rate(curve: list[Point], at: float) -> float:
    """On the line between the two points around."""
    for before, after in itertools.pairwise(curve):
        if at < after.at:
            part = (at - before.at) / max(1e-9, after.at - before.at)
            return before.rate + part * (after.rate - before.rate)
    return curve[-1].rate


def shipped() -> dict[str, Path]:
    """By name."""
    return {path.stem: path for path in sorted(FOLDER.glob("*.toml"))}


def load(what: str) -> Scenario:
    """A shipped one by its name, or a file.  ConfigError: one line that names the key."""
    path = shipped().get(what) or Path(what)
    if not path.exists():
        raise ConfigError(f"{what}: neither a scenario of ours ({', '.join(shipped())}) nor a file")
    raw = read_toml(str(path))
    if "name" in raw:
        raise ConfigError(f"{path}: name: it is the file's")
    try:
        scenario = to_struct(raw, Scenario, str(path))
    except ConfigError as error:
        raise ConfigError(f"{error}{_near(str(error))}") from None
    check(scenario, str(path))
    if scenario.load.trace:
        trace = str(path.parent / scenario.load.trace)
        scenario = msgspec.structs.replace(
            scenario, load=msgspec.structs.replace(scenario.load, trace=trace)
        )
        for _ in read(Path(trace), {c.name for c in scenario.classes}):
            pass  # all of it is looked at before anything runs
    return msgspec.structs.replace(scenario, name=path.stem)


def _near(error: str) -> str:
    """What may have been meant by a name that is none of ours."""
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
    } | set(get_args(Trouble))
    for word in re.findall(r"[`'\"]([A-Za-z_]+)[`'\"]", error):
        found = difflib.get_close_matches(word, known - {word}, 1)
        if word not in known and found:
            return f" (did you mean {found[0]}?)"
    return ""


def check(scenario: Scenario, path: str) -> None:
    """ConfigError, one line, where keys that are each well typed don't go together."""
    sites = [site.name for site in scenario.site]
    wrong = ""
    for number, box in enumerate(scenario.box):
        for site in box.at:
            if site not in sites:
                wrong = f"[[box]] {number + 1} at: no site {site!r}"
        if not 0.0 < box.speed[0] <= box.speed[1]:
            wrong = f"[[box]] {number + 1} speed: not from a smaller to a larger one above 0"
    for number, event in enumerate(scenario.event):
        if event.kind in ("site_lost",) and event.site not in sites:
            wrong = f"[[event]] {number + 1} site: no site {event.site!r}"
        if event.at >= scenario.run.seconds:
            wrong = f"[[event]] {number + 1} at: after the end of the run"
    times = [point.at for point in scenario.load.curve]
    if bool(times) == bool(scenario.load.trace):
        wrong = "[load] curve: it or a trace, one of the two"
    elif times and (times != sorted(times) or times[0] != 0.0):
        wrong = "[load] curve: begins at 0, in the order of time"
    for each in scenario.classes:
        if each.effect == "token" and not each.window_ms:
            wrong = f"[[class]] {each.name} window_ms: a keyed write needs one"
        if each.aim_ms > each.deadline_ms:
            wrong = f"[[class]] {each.name} aim_ms: above its deadline"
    low, high = scenario.clients.patience
    if not 0.0 < low <= high <= 1.0:
        wrong = "[clients] patience: two shares of the deadline, the smaller first"
    for table in Operator.__struct_fields__:
        if table not in PLAYED and getattr(scenario.operator, table) != getattr(Operator(), table):
            wrong = f"[operator.{table}]: a rehearsal does not play it; {', '.join(PLAYED)} it does"
    if len(set(sites)) != len(sites):
        wrong = "[[site]] name: stands there twice"
    if not scenario.size:
        wrong = "[[box]] at: no nodes"
    if wrong:
        raise ConfigError(f"{path}: {wrong}")
