"""The schema of experiment files (TOML), and the points of their designs.  Pure.

A factor is a key of the scenario (rehearsal/vary.py), `policy.MODULE.CONSTANT` of the package
`snowstall`, or `build`: a commit, or "." for this checkout.  Equal files give equal points on any
machine.
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

BUILD, SCENARIO, POLICY, THIS_CHECKOUT = "build", "scenario", "policy.", "."
MEASURES = {  # by name: whether more is better, and a description
    "service": (True, "earned share of the requested worth"),
    "worst": (True, "that share in the worst ten seconds"),
    "worst_class": (True, "that share of the worst-served class"),
    "total": (True, "mean of the three with the user's weights"),
    "whole": (True, "share of the attainable worth, whole run"),
    "trouble": (True, "share of the attainable worth, during the fault"),
    "after": (True, "share of the attainable worth, after the fault"),
    "back": (False, "seconds until recovery"),
    "swing": (False, "mean change of that share from second to second"),
    "p99_ms": (False, "99th percentile of the latency"),
    "database_most": (False, "database fetches in the busiest second"),
    "crossed": (False, "commands to a node at another site"),
    "broken": (False, "rule violations"),
}
SHIPPED_FOLDER = Path(__file__).resolve().parent.parent.parent / "experiments"

Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Positive = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
Point = dict[str, Any]  # values by factor


class Range(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The range of a factor in a latin or sobol design."""

    low: float = msgspec.field(name="from")
    high: float = msgspec.field(name="to")
    whole: bool = False  # whole numbers only


class Design(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How points are made: all combinations (grid), levels in step (list), or sampled."""

    kind: Literal["grid", "list", "latin", "sobol"] = "grid"
    points: Count = 16  # number of points for latin and sobol
    seed: int = 1  # seed of the points for latin and sobol


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a call (`runs`, `minutes`) and of each run."""

    runs: Count = 100_000
    minutes: Positive = 1440.0
    limit_s: Positive = 600.0  # a run that takes longer is killed
    memory_mb: Positive = 4000.0  # memory of one run


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An experiment file; `name` is the name of the file without its suffix."""

    question: str
    scenario: str | list[str]  # each point is run on all of them
    factors: dict[str, Any] = {}
    seeds: int | list[int] = 5  # a number of seeds from the scenario's own on, or a list
    measures: list[str] = msgspec.field(default_factory=lambda: ["service", "worst", "total"])
    design: Design = Design()
    budget: Budget = Budget()
    name: str = ""
    text: str = ""  # content of the file

    @property
    def digest(self) -> str:
        """Identifies the experiment in the store; question and budget may change."""
        identity = json.dumps([self.scenario, self.name], sort_keys=True)
        return hashlib.blake2b(identity.encode(), digest_size=8).hexdigest()

    @property
    def scenarios(self) -> list[str]:
        """The scenarios as a list."""
        return [self.scenario] if isinstance(self.scenario, str) else self.scenario

    @property
    def seed_list(self) -> list[int]:
        """The seeds as a list."""
        if isinstance(self.seeds, list):
            return self.seeds
        first = named_scenario(self.scenarios[0]).run.seed
        return list(range(first, first + self.seeds))


def shipped_experiments() -> dict[str, Path]:
    """The files of the experiments in `experiments/`, by name."""
    return {path.stem: path for path in sorted(SHIPPED_FOLDER.glob("*.toml"))}


def load_experiment(name_or_path: str) -> Experiment:
    """Load and validate an experiment: a shipped one by name, or a file.

    Raises ConfigError with one line that names the key.
    """
    path = shipped_experiments().get(name_or_path) or Path(name_or_path)
    if not path.exists():
        raise ConfigError(
            f"{name_or_path}: neither a file nor an experiment; "
            f"there are {', '.join(shipped_experiments())}"
        )
    raw = read_toml(str(path))
    for key in ("name", "text"):
        if key in raw:
            raise ConfigError(f"{path}: {key}: set from the file, not in it")
    experiment = to_struct(raw, Experiment, str(path))
    experiment = msgspec.structs.replace(experiment, name=path.stem, text=path.read_text())
    _validate(experiment, str(path))
    return experiment


def _validate(experiment: Experiment, path: str) -> None:
    for name in experiment.scenarios:
        if (
            name not in shipped_scenarios()
            and not name.endswith(AT_SIZE_SUFFIX)
            and not Path(name).exists()
        ):
            raise ConfigError(f"{path}: scenario: {name}: neither a shipped scenario nor a file")
    if not experiment.scenarios or SCENARIO in experiment.factors:
        raise ConfigError(f"{path}: scenario: one or a list is required, and it can't be a factor")
    for name in experiment.measures:
        if name not in MEASURES:
            raise ConfigError(f"{path}: measures: no {name!r}; there are {', '.join(MEASURES)}")
    if not experiment.measures:
        raise ConfigError(f"{path}: measures: must not be empty")
    if isinstance(experiment.seeds, list) and (
        not experiment.seeds or len(set(experiment.seeds)) < len(experiment.seeds)
    ):
        raise ConfigError(f"{path}: seeds: must not be empty or repeat a seed")
    if isinstance(experiment.seeds, int) and not 1 <= experiment.seeds <= 100_000:
        raise ConfigError(f"{path}: seeds: must be from 1 to 100,000")
    for key, levels in experiment.factors.items():
        ranged = experiment.design.kind in ("latin", "sobol") and isinstance(levels, dict)
        if ranged:
            value_range = to_struct(levels, Range, f"{path}: [factors] {key}")
            if not value_range.low < value_range.high:
                raise ConfigError(f"{path}: [factors] {key}: from must be less than to")
        elif not isinstance(levels, list) or not levels:
            raise ConfigError(
                f"{path}: [factors] {key}: a list of levels"
                + (", or {from = , to = }" if experiment.design.kind != "grid" else "")
            )
    if experiment.design.kind == "list" and len({len(v) for v in experiment.factors.values()}) > 1:
        raise ConfigError(f"{path}: [factors]: kind list needs as many levels for each factor")


def points(experiment: Experiment) -> list[Point]:
    """The points in a fixed order, without duplicates; with a scenario if there are several."""
    if not isinstance(experiment.scenario, str):
        one = msgspec.structs.replace(experiment, scenario=experiment.scenario[0])
        return [{SCENARIO: name} | point for name in experiment.scenario for point in points(one)]
    names = list(experiment.factors)
    if not names:
        return [{}]
    kind = experiment.design.kind
    if kind == "grid":
        rows: list[tuple[Any, ...]] = list(itertools.product(*experiment.factors.values()))
    elif kind == "list":
        rows = list(zip(*experiment.factors.values(), strict=True))
    else:
        rows = _sampled_points(experiment)
    unique = {json.dumps(row, sort_keys=True): row for row in rows}
    return [dict(zip(names, row, strict=True)) for row in unique.values()]


def _sampled_points(experiment: Experiment) -> list[tuple[Any, ...]]:
    from scipy.stats import qmc  # type: ignore[import-untyped]  # takes a second; a grid does not need it

    count = len(experiment.factors)
    if experiment.design.kind == "latin":
        unit = qmc.LatinHypercube(count, rng=experiment.design.seed).random(
            experiment.design.points
        )
    else:
        sampler = qmc.Sobol(count, rng=experiment.design.seed)
        unit = sampler.random_base2(max(0, (experiment.design.points - 1).bit_length()))
        unit = unit[: experiment.design.points]
    return [
        tuple(
            _level_at(levels, float(fraction))
            for levels, fraction in zip(experiment.factors.values(), row, strict=True)
        )
        for row in unit
    ]


def _level_at(levels: Any, fraction: float) -> Any:
    if isinstance(levels, list):
        return levels[min(len(levels) - 1, int(fraction * len(levels)))]
    value_range = msgspec.convert(levels, Range)
    value = value_range.low + fraction * (value_range.high - value_range.low)
    return round(value) if value_range.whole else round(value, 6)


def point_key(point: Point) -> str:
    """The key of a point in the store, independent of the order of its factors."""
    return json.dumps(point, sort_keys=True, separators=(",", ":"))


def scenario_digest(raw: dict[str, Any]) -> str:
    """A digest of a whole scenario, given as its TOML data."""
    return hashlib.blake2b(json.dumps(raw, sort_keys=True).encode(), digest_size=8).hexdigest()


def scenario_at(scenario: Scenario, point: Point) -> Scenario:
    """The scenario with the values of a point; ConfigError if they are inconsistent."""
    return apply_changes(
        scenario,
        {
            name: value
            for name, value in point.items()
            if name not in (BUILD, SCENARIO) and not name.startswith(POLICY)
        },
    )


def policy_constants(point: Point) -> dict[str, float]:
    """The policy factors of a point: values by `MODULE.CONSTANT` of the package `snowstall`."""
    return {
        name.removeprefix(POLICY): value for name, value in point.items() if name.startswith(POLICY)
    }
