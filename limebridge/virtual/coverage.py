"""Coverage of the explorer: which faults occurred in which states, and which seeds were run.

A pair consists of a kind of fault and a state in which it occurred.  The state is that of an open
request, or that of the node list (prefix "list: ").  `add_rare_pairs` extends a plan so that it
covers rare pairs of the list: it adds a fault that causes the state (a drain, a restart, the end of
a watch), and the rare fault shortly after it.  An extended plan cannot be reproduced from its seed,
so a failing one is always written to a file.

`History` stores the next unused seed and the coverage by build in a file of the user, so that no
two runs with this file use the same seed.
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
# List state -> the fault that causes it, and the earliest and latest start of the rare fault, in s
# after the start of that fault (after its end if the state is "not heard since its start").
STATE_TRIGGERS: Mapping[str, tuple[Kind, float, float]] = {
    "a drain just told": ("node_drains", 0.0, 0.5),
    "a drain kept": ("node_drains", 0.5, 1.5),
    "not heard since its start": ("proxy_killed", 0.02, 0.4),
    "silent": ("discovery_ends", 3.0, 4.0),
}
MAX_PAIRS = 2  # pairs added to one plan


class BuildCoverage(msgspec.Struct):
    """Coverage of one build, as stored in the file."""

    seeds: int = 0  # number of seeds run
    met: dict[str, int] = {}  # pair counts: "fault kind/state" -> occurrences


class HistoryFile(msgspec.Struct):
    """Contents of the state file."""

    next: dict[str, int] = {}  # kind of simulation ("plain", "consul") -> next unused seed
    builds: dict[str, BuildCoverage] = {}  # by the value of `build()`


def build() -> str:
    """Identifier of the code under test: the first 16 hex digits of a SHA-256 of its sources."""
    digest = hashlib.sha256()
    for package in (snowstall, violetroute, limebridge):
        root = Path(package.__path__[0])
        for path in sorted(root.rglob("*.py")):
            digest.update(str(path.relative_to(root)).encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()[:16]


def rarest_pairs(
    pair_counts: Mapping[str, int], consul: bool, max_pairs: int = 24
) -> list[tuple[Kind, str]]:
    """Return the `max_pairs` pairs of a fault and a list state that occurred least, rarest first.

    Faults of Consul are included only if `consul` is set.
    """
    kinds: list[Kind] = [*WEIGHTS, *PROCESS_WEIGHTS, *(CONSUL_WEIGHTS if consul else ())]
    list_pair_counts: Counter[tuple[str, str]] = Counter()
    for key, count in pair_counts.items():
        kind, _, state = key.partition("/")
        if state.startswith(LIST_PREFIX):
            list_pair_counts[kind, state.removeprefix(LIST_PREFIX).partition(",")[0]] += count
    pairs: list[tuple[Kind, str]] = [(kind, state) for kind in kinds for state in STATE_TRIGGERS]
    return sorted(pairs, key=lambda pair: list_pair_counts[pair])[:max_pairs]


def add_rare_pairs(plan: Plan, pairs: Sequence[tuple[Kind, str]]) -> Plan:
    """Return the plan with faults added for at most MAX_PAIRS of `pairs`.

    Pairs and times come from a random stream of their own, seeded by the plan's seed.
    """
    if not pairs:
        return plan
    rng = random.Random(f"lean/{plan.seed}")
    faults = list(plan.faults)
    for kind, state in rng.sample(list(pairs), min(MAX_PAIRS, len(pairs))):
        trigger, min_delay, max_delay = STATE_TRIGGERS[state]
        first = next((fault for fault in faults if fault.kind == trigger), None)
        if first is None:
            first = Fault(
                round(rng.uniform(0.5, plan.seconds - 6.0), 4),
                trigger,
                rng.randrange(plan.nodes),
                round(rng.uniform(0.1, max_delay), 4),
                0.2,
            )
            faults.append(first)
        begins = first.at + (first.lasts if state.startswith("not heard") else 0.0)
        node = first.node if rng.random() < 0.5 else rng.randrange(plan.nodes)
        faults.append(
            Fault(
                round(begins + rng.uniform(min_delay, max_delay), 4),
                kind,
                node,
                round(rng.choice((0.05, 0.3, 1.0)), 4),
                rng.choice((0.2, 0.6, 1.0)),
            )
        )
    return msgspec.structs.replace(plan, faults=tuple(sorted(faults, key=lambda f: f.at)))


class History:
    """State file of used seeds and coverage; concurrent runs share it under a file lock.

    The default path is `limebridge/explored.json` in XDG_STATE_HOME or ~/.local/state.
    """

    def __init__(self, path: Path | None = None) -> None:
        home = os.environ.get("XDG_STATE_HOME") or os.path.expanduser("~/.local/state")
        self.path = path or Path(home) / "limebridge" / "explored.json"
        self.build = build()

    @contextlib.contextmanager
    def _open(self) -> Iterator[HistoryFile]:
        """Lock the file, yield its contents, and write them back unless the caller raises.

        Raises ValueError if the file is malformed.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with open(self.path.with_suffix(".lock"), "w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            try:
                contents = msgspec.json.decode(self.path.read_bytes(), type=HistoryFile)
            except FileNotFoundError:
                contents = HistoryFile()
            except msgspec.DecodeError as error:
                raise ValueError(f"{self.path}: {error}") from None
            yield contents
            new_file = self.path.with_suffix(".new")
            new_file.write_text(json.dumps(msgspec.to_builtins(contents), indent=1))
            new_file.replace(self.path)

    def reserve_seeds(self, world: str, seeds: int) -> tuple[int, dict[str, int]]:
        """Reserve `seeds` unused seeds; return the first one and the pair counts of this build.

        `world` is the kind of simulation, "plain" or "consul"; each has its own sequence of seeds.
        """
        with self._open() as contents:
            first = contents.next.get(world, 0)
            contents.next[world] = first + seeds
            return first, dict(contents.builds.get(self.build, BuildCoverage()).met)

    def add(self, seeds: int, pair_counts: Mapping[str, int]) -> None:
        """Add the number of seeds and the pair counts of one exploration to this build's."""
        with self._open() as contents:
            cover = contents.builds.setdefault(self.build, BuildCoverage())
            cover.seeds += seeds
            cover.met = dict(Counter(cover.met) + Counter(pair_counts))
