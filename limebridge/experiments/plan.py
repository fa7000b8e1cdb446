"""An experiment as a person writes it, and the points that follow from it.  Pure.

A factor is a key of the scenario (vary.py), `policy.MODULE.CONSTANT` of the decision module, or
`build`: a commit, or "." for this checkout.  Equal files give equal points on any machine.
"""

from __future__ import annotations

import hashlib
import itertools
import json
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from limebridge.rehearsal.scenario import Scenario, shipped_scenarios
from limebridge.rehearsal.vary import AT_SIZE_SUFFIX, apply_changes, named_scenario
from violetroute.config import ConfigError
from violetroute.config.tables import read_toml, to_struct

BUILD, SCENARIO, POLICY, HERE = "build", "scenario", "policy.", "."
MEASURES = {  # by name: whether more is better, and what it says
    "service": (True, "worth in time over worth asked"),
    "worst": (True, "the worst ten seconds"),
    "worst_class": (True, "the worst-served class"),
    "total": (True, "as the user weighs them"),
    "whole": (True, "of what was attainable, the whole run"),
    "trouble": (True, "of what was attainable, in the trouble"),
    "after": (True, "of what was attainable, behind it"),
    "back": (False, "seconds until it is back"),
    "swing": (False, "change from second to second"),
    "p99_ms": (False, "the slowest hundredth of the answers"),
    "database_most": (False, "fetches in the customer database's worst second"),
    "crossed": (False, "commands that crossed sites"),
    "broken": (False, "rules broken"),
}
FOLDER = Path(__file__).resolve().parent.parent.parent / "experiments"

Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Above0 = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
Point = dict[str, Any]  # a value by factor


class Range(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of a latin or sobol design."""

    low: float = msgspec.field(name="from")
    high: float = msgspec.field(name="to")
    whole: bool = False  # whole numbers only


class Design(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: Literal["grid", "list", "latin", "sobol"] = "grid"
    points: Count = 16  # of latin and sobol
    seed: int = 1  # of latin and sobol


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    runs: Count = 100_000
    minutes: Above0 = 1440.0
    limit_s: Above0 = 600.0  # of one run; longer and it is ended
    memory_mb: Above0 = 4000.0  # of one run


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    question: str
    scenario: str | list[str]  # of several each point is played on all
    factors: dict[str, Any] = {}
    seeds: int | list[int] = 5  # so many from the scenario's own on, or these
    measures: list[str] = msgspec.field(default_factory=lambda: ["service", "worst", "total"])
    design: Design = Design()
    budget: Budget = Budget()
    name: str = ""
    text: str = ""  # the file

    @property
    def digest(self) -> str:
        """What a point's results belong to: the question and the budget may be worded anew."""
        told = json.dumps([self.scenario, self.name], sort_keys=True)
        return hashlib.blake2b(told.encode(), digest_size=8).hexdigest()

    @property
    def scenarios(self) -> list[str]:
        return [self.scenario] if isinstance(self.scenario, str) else self.scenario

    @property
    def whole_seeds(self) -> list[int]:
        if isinstance(self.seeds, list):
            return self.seeds
        first = named_scenario(self.scenarios[0]).run.seed
        return list(range(first, first + self.seeds))


def named() -> dict[str, Path]:
    """Those that are shipped, by name."""
    return {path.stem: path for path in sorted(FOLDER.glob("*.toml"))}


def read(what: str) -> Experiment:
    """A shipped one by its name, or a file.  ConfigError: one line that names the key."""
    path = named().get(what) or Path(what)
    if not path.exists():
        raise ConfigError(
            f"{what}: neither an experiment of ours ({', '.join(named())}) nor a file"
        )
    raw = read_toml(str(path))
    for key in ("name", "text"):
        if key in raw:
            raise ConfigError(f"{path}: {key}: it is the file's own")
    made = to_struct(raw, Experiment, str(path))
    made = msgspec.structs.replace(made, name=path.stem, text=path.read_text())
    _check(made, str(path))
    return made


def _check(made: Experiment, path: str) -> None:
    for name in made.scenarios:
        if (
            name not in shipped_scenarios()
            and not name.endswith(AT_SIZE_SUFFIX)
            and not Path(name).exists()
        ):
            raise ConfigError(f"{path}: scenario: {name}: neither one of ours nor a file")
    if not made.scenarios or SCENARIO in made.factors:
        raise ConfigError(f"{path}: scenario: none, or a factor of that name; it takes a list")
    for name in made.measures:
        if name not in MEASURES:
            raise ConfigError(f"{path}: measures: {name!r}; there are {', '.join(MEASURES)}")
    if not made.measures:
        raise ConfigError(f"{path}: measures: none")
    if isinstance(made.seeds, list) and (not made.seeds or len(set(made.seeds)) < len(made.seeds)):
        raise ConfigError(f"{path}: seeds: none, or one twice")
    if isinstance(made.seeds, int) and not 1 <= made.seeds <= 100_000:
        raise ConfigError(f"{path}: seeds: from 1 to 100,000")
    for key, levels in made.factors.items():
        ranged = made.design.kind in ("latin", "sobol") and isinstance(levels, dict)
        if ranged:
            found = to_struct(levels, Range, f"{path}: [factors] {key}")
            if not found.low < found.high:
                raise ConfigError(f"{path}: [factors] {key}: from has to be below to")
        elif not isinstance(levels, list) or not levels:
            raise ConfigError(
                f"{path}: [factors] {key}: a list of levels"
                + (", or {from = , to = }" if made.design.kind != "grid" else "")
            )
    if made.design.kind == "list" and len({len(v) for v in made.factors.values()}) > 1:
        raise ConfigError(f"{path}: [factors]: in a list all have as many levels")


def points(made: Experiment) -> list[Point]:
    """In a fixed order; each once; with its scenario where there are several."""
    if not isinstance(made.scenario, str):
        one = msgspec.structs.replace(made, scenario=made.scenario[0])
        return [{SCENARIO: name} | point for name in made.scenario for point in points(one)]
    names = list(made.factors)
    if not names:
        return [{}]
    kind = made.design.kind
    if kind == "grid":
        rows: list[tuple[Any, ...]] = list(itertools.product(*made.factors.values()))
    elif kind == "list":
        rows = list(zip(*made.factors.values(), strict=True))
    else:
        rows = _drawn(made)
    unique = {json.dumps(row, sort_keys=True): row for row in rows}
    return [dict(zip(names, row, strict=True)) for row in unique.values()]


def _drawn(made: Experiment) -> list[tuple[Any, ...]]:
    from scipy.stats import qmc  # type: ignore[import-untyped]  # a second; a grid needs none

    count = len(made.factors)
    if made.design.kind == "latin":
        unit = qmc.LatinHypercube(count, rng=made.design.seed).random(made.design.points)
    else:
        sampler = qmc.Sobol(count, rng=made.design.seed)
        unit = sampler.random_base2(max(0, (made.design.points - 1).bit_length()))
        unit = unit[: made.design.points]
    return [
        tuple(
            _level(levels, float(part))
            for levels, part in zip(made.factors.values(), row, strict=True)
        )
        for row in unit
    ]


def _level(levels: Any, part: float) -> Any:
    if isinstance(levels, list):
        return levels[min(len(levels) - 1, int(part * len(levels)))]
    found = msgspec.convert(levels, Range)
    value = found.low + part * (found.high - found.low)
    return round(value) if found.whole else round(value, 6)


def key(point: Point) -> str:
    """A point's name: the same whatever the order of its factors."""
    return json.dumps(point, sort_keys=True, separators=(",", ":"))


def digest(raw: dict[str, Any]) -> str:
    """Of a whole scenario."""
    return hashlib.blake2b(json.dumps(raw, sort_keys=True).encode(), digest_size=8).hexdigest()


def applied(scenario: Scenario, point: Point) -> Scenario:
    """The scenario of a point.  ConfigError where its figures don't go together."""
    return apply_changes(
        scenario,
        {
            name: value
            for name, value in point.items()
            if name not in (BUILD, SCENARIO) and not name.startswith(POLICY)
        },
    )


def constants(point: Point) -> dict[str, float]:
    """`MODULE.CONSTANT` of the decision module, by what the point says."""
    return {
        name.removeprefix(POLICY): value for name, value in point.items() if name.startswith(POLICY)
    }
