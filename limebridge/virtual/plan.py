"""Plans: the parameters of a simulated run and its schedule of faults, stored as JSON."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Literal

import msgspec

Kind = Literal[
    "node_slow",
    "node_stalls",
    "node_dies",
    "node_replaced",
    "node_drains",
    "node_swallows",
    "node_spoils",
    "node_errors",
    "node_resets",
    "node_closes_idle",
    "path_cut",
    "path_cut_to",
    "path_cut_back",
    "discovery_cut",
    "discovery_ends",
    "discovery_lies",
    "discovery_moves",
    "clients_leave",
    "client_rude",
    "reload",
    "wall_steps",
    "proxy_term",
    "proxy_killed",
    "proxy_paused",
    "consul_stops",
    "consul_black",
    "consul_500",
    "consul_late",
    "consul_breaks_off",
    "consul_noise",
    "consul_empty",
    "consul_halved",
    "consul_index",
    "consul_lags",
    "consul_flaps",
    "consul_all_critical",
    "consul_no_leader",
    "plan_changes",
]
WEIGHTS: dict[Kind, int] = {
    "node_slow": 3,
    "node_stalls": 4,
    "node_dies": 4,
    "node_replaced": 4,
    "node_drains": 5,
    "node_swallows": 2,
    "node_spoils": 3,
    "node_errors": 2,
    "node_resets": 3,
    "node_closes_idle": 3,
    "path_cut": 3,
    "path_cut_to": 2,
    "path_cut_back": 2,
    "discovery_cut": 2,
    "discovery_ends": 2,
    "discovery_lies": 2,
    "discovery_moves": 2,
    "clients_leave": 4,
    "client_rude": 2,
    "reload": 2,
    "wall_steps": 1,
}
CONSUL_WEIGHTS: dict[Kind, int] = {
    "consul_stops": 4,
    "consul_black": 4,
    "consul_500": 3,
    "consul_late": 4,
    "consul_breaks_off": 3,
    "consul_noise": 2,
    "consul_empty": 3,
    "consul_halved": 3,
    "consul_index": 2,
    "consul_lags": 3,
    "consul_flaps": 5,
    "consul_all_critical": 3,
    "consul_no_leader": 3,
    "plan_changes": 4,
}
PROCESS_WEIGHTS: dict[Kind, int] = {"proxy_term": 3, "proxy_killed": 3, "proxy_paused": 4}
# Number of process faults added to a plan; one entry is chosen at random.
PROCESS_FAULT_COUNTS = (0, 0, 1, 1, 2, 3)
Sources = tuple[Literal["consul", "platform"], ...]
SOURCES: tuple[Sources, ...] = ((), (), ("consul", "platform"), ("platform", "consul"))
# Fraction of faults that start near another fault, since the explorer searches for timing bugs.
OVERLAP_FRACTION = 0.6
# Faults during which a node holds commands without an answer.
HOLDING_KINDS = ("node_stalls", "node_slow", "path_cut_back", "node_swallows")
# Probability with which a fault that follows a holding fault breaks the connections of its node.
FOLLOW_UP_FRACTION = 0.25
# s after the start of such a fault: around the end of the nodes' idempotency window (0.8 s).
FOLLOW_UP_DELAY = (0.55, 1.0)
OVERLAP_DELAYS = (0.0, 0.002, 0.02, 0.05, 0.3, 1.0)  # s after the other fault's start


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One scheduled fault."""

    at: float  # s from the start of the run
    kind: Kind
    node: int = 0  # index of the affected node, for kinds that affect one
    lasts: float = 0.0  # s
    amount: float = 0.0  # factor, fraction or seconds, depending on the kind


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete run: load, network and faults."""

    seed: int
    seconds: float = 20.0
    nodes: int = 5
    clients: int = 8
    rate: float = 18.0  # requests a second
    jitter: float = 0.0  # s, maximum per packet on every path
    cut: bool = False  # TCP segments are split at random places
    shuffle: bool = True  # simultaneous events are handled in a random order given by the seed
    faults: tuple[Fault, ...] = ()
    buffer: int = 64 * 1024  # bytes per socket and direction; small buffers split commands
    consul: bool = False  # the node list comes from Consul's catalogue
    sources: Sources = ()  # the list sources that run at once, in order of precedence


def generate_consul(seed: int, seconds: float = 20.0) -> Plan:
    """Return the plan of a seed with Consul as list source: `generate`'s and Consul faults."""
    plan, rng = generate(seed, seconds), random.Random(f"consul/{seed}")
    faults = list(plan.faults)
    kinds, weights = list(CONSUL_WEIGHTS), list(CONSUL_WEIGHTS.values())
    for _ in range(rng.randint(1, 5)):
        other = rng.choice(faults)
        at = (
            other.at + rng.choice(OVERLAP_DELAYS) * rng.uniform(0.5, 1.5)
            if rng.random() < OVERLAP_FRACTION
            else rng.uniform(0.5, seconds - 4.0)
        )
        faults.append(
            Fault(
                round(at, 4),
                rng.choices(kinds, weights)[0],
                rng.randrange(plan.nodes),
                round(rng.choice((0.1, 0.5, 2.0, 5.0)) * rng.uniform(0.7, 1.3), 4),
                rng.choice((0.05, 0.4, 1.0)),
            )
        )
    faults.sort(key=lambda fault: fault.at)
    # A separate random stream, so that the values generated above stay the same.
    sources = random.Random(f"sources/{seed}").choice(SOURCES)
    return msgspec.structs.replace(plan, consul=True, faults=tuple(faults), sources=sources)


def generate(seed: int, seconds: float = 20.0) -> Plan:
    """Return the plan of a seed for a run of `seconds`.

    Process faults come from a separate random stream.
    """
    rng = random.Random(f"plan/{seed}")
    nodes = rng.randint(5, 7)
    faults: list[Fault] = []
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    for _ in range(rng.randint(2, 9)):
        if faults and rng.random() < OVERLAP_FRACTION:
            other = rng.choice(faults)
            at = other.at + rng.choice(OVERLAP_DELAYS) * rng.uniform(0.5, 1.5)
            node = other.node if rng.random() < 0.5 else rng.randrange(nodes)
        else:
            at, node = rng.uniform(0.5, seconds - 4.0), rng.randrange(nodes)
        kind = rng.choices(kinds, weights)[0]
        holding = [fault for fault in faults if fault.kind in HOLDING_KINDS]
        if holding and rng.random() < FOLLOW_UP_FRACTION:
            other = rng.choice(holding)
            at, node = other.at + rng.uniform(*FOLLOW_UP_DELAY), other.node
            kind = rng.choice(("node_closes_idle", "node_resets"))
        lasts = rng.choice((0.05, 0.3, 1.0, 3.0)) * rng.uniform(0.7, 1.3)
        amount = {"node_slow": rng.choice((3.0, 10.0)), "wall_steps": rng.uniform(-60, 60)}.get(
            kind, rng.choice((0.2, 0.6, 1.0))
        )
        faults.append(Fault(round(at, 4), kind, node, round(lasts, 4), round(amount, 3)))
    faults += _process_faults(seed, seconds, faults)
    clients, rate = rng.randint(6, 12), rng.choices((20.0, 22.0, 30.0, 60.0), (6, 6, 4, 1))[0]
    return Plan(
        seed,
        seconds,
        nodes,
        clients,
        rate,
        rng.choice((0.0, 0.000_1, 0.002)),
        rng.random() < 0.4,
        True,
        tuple(sorted(faults, key=lambda fault: fault.at)),
        rng.choice((64 * 1024, 64 * 1024, 5000)),
    )


def _process_faults(seed: int, seconds: float, others: list[Fault]) -> list[Fault]:
    """Return restarts, kills and pauses of the proxy, most of them near another fault."""
    rng, faults = random.Random(f"process/{seed}"), []
    kinds, weights = list(PROCESS_WEIGHTS), list(PROCESS_WEIGHTS.values())
    for _ in range(rng.choice(PROCESS_FAULT_COUNTS)):
        at = (
            rng.choice(others).at + rng.choice(OVERLAP_DELAYS) * rng.uniform(0.5, 1.5)
            if rng.random() < OVERLAP_FRACTION
            else rng.uniform(0.5, seconds - 4.0)
        )
        lasts = rng.choice((0.02, 0.15, 0.4, 1.0)) * rng.uniform(0.7, 1.3)
        faults.append(
            Fault(
                round(at, 4),
                rng.choices(kinds, weights)[0],
                0,
                round(lasts, 4),
                rng.choice((0.2, 0.8)),
            )
        )
    return faults


def dump(plan: Plan) -> str:
    """Encode the plan as indented JSON with a final line feed."""
    return msgspec.json.format(msgspec.json.encode(plan)).decode() + "\n"


def read(path: Path) -> Plan:
    """Read a stored plan.  Raises ValueError if the file does not hold one."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Plan)
    except msgspec.DecodeError as error:
        raise ValueError(f"{path}: {error}") from None
