"""What a request costs in one build of the daemon, as a ratio to another build.

    python benchmarks/request_cost.py count  BASE [BUILD]   # bytecode instructions, exact
    python benchmarks/request_cost.py native BASE [BUILD]   # machine instructions, exact; valgrind
    python benchmarks/request_cost.py cpu    BASE [BUILD]   # CPU time of real daemons, in turns
    python benchmarks/request_cost.py memory BASE [BUILD]   # resident set before the first request

BASE and BUILD are commits; BUILD is this checkout as it is now if none is given.  Exit status 1
when a ratio is over --limit, when the two builds were not asked and did not answer the same, or,
for `cpu`, when the interval says that the ratio is over.  `docs/design/own-load.md` says what each
of the measures can and can't tell.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable

import request_counts
import request_cpu
import request_native
from build_pair import unpack_builds
from request_load import LOAD_NAMES

from limebridge.experiments.builds import BuildError

LIMIT = 1.02  # of the base's cost
MEMORY_LIMIT = 32.0  # MB


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    kinds = made.add_subparsers(dest="measure", required=True)
    for name in MEASURES:
        kind = kinds.add_parser(name)
        kind.add_argument("base")
        kind.add_argument("build", nargs="?", default=".")
        if name in ("count", "native"):
            kind.add_argument("--requests", type=int, default=1000)
            kind.add_argument("--load", nargs="+", choices=LOAD_NAMES)
        if name == "count":
            kind.add_argument("--functions", type=int, default=8, help="rows of the worst load")
        if name == "cpu":
            kind.add_argument("--pairs", type=int, default=12, help="of processes")
            kind.add_argument("--blocks", type=int, default=16, help="of four rounds, a pair")
        if name == "memory":
            kind.add_argument("--starts", type=int, default=5, help="of each build")
        default = MEMORY_LIMIT if name == "memory" else LIMIT
        kind.add_argument("--limit", type=float, default=default)
    return made


def count(options: argparse.Namespace) -> bool:
    with unpack_builds(options.base, options.build) as pair:
        rows = request_counts.compare(pair, options.load or LOAD_NAMES, options.requests)
    request_counts.show(rows, options.functions)
    return all(row.same_traffic and row.ratio <= options.limit for row in rows)


def native(options: argparse.Namespace) -> bool:
    with unpack_builds(options.base, options.build) as pair:
        rows = request_native.compare(pair, options.load or ["target"], options.requests)
    request_native.show(rows)
    return all(row.same_traffic and row.ratio <= options.limit for row in rows)


def cpu(options: argparse.Namespace) -> bool:
    with unpack_builds(options.base, options.build) as pair:
        found = asyncio.run(request_cpu.compare(pair, options.pairs, options.blocks))
    limit: float = options.limit
    request_cpu.show(found, limit)
    return found.low <= limit


def memory(options: argparse.Namespace) -> bool:
    with unpack_builds(options.base, options.build) as pair:
        found = asyncio.run(request_cpu.memory(pair, options.starts))
    request_cpu.show_memory(found)
    limit: float = options.limit
    return max(found.build) <= limit


MEASURES: dict[str, Callable[[argparse.Namespace], bool]] = {
    "count": count,
    "native": native,
    "cpu": cpu,
    "memory": memory,
}


def main() -> int:
    options = parser().parse_args()
    try:
        return 0 if MEASURES[options.measure](options) else 1
    except (BuildError, request_native.NoValgrind) as error:
        print(f"request_cost: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
