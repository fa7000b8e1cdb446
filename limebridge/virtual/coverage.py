"""Coverage of the explorer: which fault occurred in which state, and which seeds were run.

A pair is a kind of fault and a state in which it occurred: of an open request, or of the node list
("list: ").  `add_rare_pairs` extends a plan for rare pairs of the list: a fault that brings about
the state (a drain, a restart, the end of a watch) and the rare fault shortly after.  The seed alone
does not reproduce an extended plan, so a failing one is always written to a file.

`History` stores the next unused seed and the coverage by build, so no two runs here share seeds.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import json
import os
import random
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path

import msgspec

import limebridge
import snowstall
import violetroute

from .plan import CONSUL_WEIGHTS, PROCESS_WEIGHTS, WEIGHTS, Fault, Kind, Plan

LIST_PREFIX = "list: "
# List state -> the fault that brings it about, and when after it the rare fault occurs, in s.
STATE_TRIGGERS: Mapping[str, tuple[Kind, float, float]] = {
    "a drain just told": ("node_drains", 0.0, 0.5),
    "a drain kept": ("node_drains", 0.5, 1.5),
    "not heard since its start": ("proxy_killed", 0.02, 0.4),
    "silent": ("discovery_ends", 3.0, 4.0),
}
MAX_PAIRS = 2  # added to one plan


class BuildCoverage(msgspec.Struct):
    """Coverage of one build: seeds run, and "fault kind/state" -> occurrences."""

    seeds: int = 0
    met: dict[str, int] = {}


class HistoryFile(msgspec.Struct):
    """Contents of the state file: next seed by kind of simulation, and coverage by build."""

    next: dict[str, int] = {}
    builds: dict[str, BuildCoverage] = {}


def build() -> str:
    """Identifier of the code under test: a hash of its sources."""
    found = hashlib.sha256()
    for package in (snowstall, violetroute, limebridge):
        root = Path(package.__path__[0])
        for path in sorted(root.rglob("*.py")):
            found.update(str(path.relative_to(root)).encode() + b"\0" + path.read_bytes())
    return found.hexdigest()[:16]


def rarest_pairs(met: Mapping[str, int], consul: bool, most: int = 24) -> list[tuple[Kind, str]]:
    """The pairs of a fault and a list state with the fewest occurrences, rarest first."""
    kinds: list[Kind] = [*WEIGHTS, *PROCESS_WEIGHTS, *(CONSUL_WEIGHTS if consul else ())]
    counted: Counter[tuple[str, str]] = Counter()
    for key, times in met.items():
        kind, _, state = key.partition("/")
        if state.startswith(LIST_PREFIX):
            counted[kind, state.removeprefix(LIST_PREFIX).partition(",")[0]] += times
    pairs: list[tuple[Kind, str]] = [(kind, state) for kind in kinds for state in STATE_TRIGGERS]
    return sorted(pairs, key=lambda pair: counted[pair])[:most]


def add_rare_pairs(plan: Plan, pairs: Sequence[tuple[Kind, str]]) -> Plan:
    """The plan with faults added for some of these pairs, from a separate random stream."""
    if not pairs:
        return plan
    rng = random.Random(f"lean/{plan.seed}")
    faults = list(plan.faults)
    for kind, state in rng.sample(list(pairs), min(MAX_PAIRS, len(pairs))):
        brings, least, most = STATE_TRIGGERS[state]
        first = next((fault for fault in faults if fault.kind == brings), None)
        if first is None:
            first = Fault(
                round(rng.uniform(0.5, plan.seconds - 6.0), 4),
                brings,
                rng.randrange(plan.nodes),
                round(rng.uniform(0.1, most), 4),
                0.2,
            )
            faults.append(first)
        begins = first.at + (first.lasts if state.startswith("not heard") else 0.0)
        node = first.node if rng.random() < 0.5 else rng.randrange(plan.nodes)
        faults.append(
            Fault(
                round(begins + rng.uniform(least, most), 4),
                kind,
                node,
                round(rng.choice((0.05, 0.3, 1.0)), 4),
                rng.choice((0.2, 0.6, 1.0)),
            )
        )
    return msgspec.structs.replace(plan, faults=tuple(sorted(faults, key=lambda f: f.at)))


class History:
    """State file of used seeds and coverage; concurrent runs share it under a lock."""

    def __init__(self, path: Path | None = None) -> None:
        home = os.environ.get("XDG_STATE_HOME") or os.path.expanduser("~/.local/state")
        self.path = path or Path(home) / "limebridge" / "explored.json"
        self.build = build()

    @contextlib.contextmanager
    def _open(self) -> Iterator[HistoryFile]:
        """Read, and on normal exit rewrite, the file.  Raises ValueError if it is malformed."""
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with open(self.path.with_suffix(".lock"), "w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            try:
                kept = msgspec.json.decode(self.path.read_bytes(), type=HistoryFile)
            except FileNotFoundError:
                kept = HistoryFile()
            except msgspec.DecodeError as error:
                raise ValueError(f"{self.path}: {error}") from None
            yield kept
            aside = self.path.with_suffix(".new")
            aside.write_text(json.dumps(msgspec.to_builtins(kept), indent=1))
            aside.replace(self.path)

    def reserve_seeds(self, world: str, seeds: int) -> tuple[int, dict[str, int]]:
        """Reserve `seeds` unused seeds; return the first one and this build's coverage."""
        with self._open() as kept:
            first = kept.next.get(world, 0)
            kept.next[world] = first + seeds
            return first, dict(kept.builds.get(self.build, BuildCoverage()).met)

    def add(self, seeds: int, met: Mapping[str, int]) -> None:
        """Add the coverage of one run to this build's."""
        with self._open() as kept:
            cover = kept.builds.setdefault(self.build, BuildCoverage())
            cover.seeds += seeds
            cover.met = dict(Counter(cover.met) + Counter(met))
