"""Cost of a request in one build of the daemon, as a ratio to another build.

    python benchmarks/request_cost.py count  BASE [BUILD]   # bytecode instructions, exact
    python benchmarks/request_cost.py native BASE [BUILD]   # machine instructions, exact; valgrind
    python benchmarks/request_cost.py cpu    BASE [BUILD]   # CPU time of real daemons, alternating
    python benchmarks/request_cost.py memory BASE [BUILD]   # resident set before the first request

BASE and BUILD are commits; without BUILD this checkout as it is now is measured.  Exit status 1
for `count` and `native`: a ratio is above --limit, or the requests or answers of the two builds
differ; for `cpu`: the confidence interval of the ratio lies above --limit; for `memory`: a start of
BUILD uses more than --limit MB.  Exit status 2: a build or valgrind is missing.
`docs/design/own-load.md` says what each of the measures can and can't show.
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

LIMIT = 1.02  # highest ratio of the build's cost to the base's
MEMORY_LIMIT = 32.0  # MB of resident memory


def build_parser() -> argparse.ArgumentParser:
    """The parser of the command line, with one subcommand for each measure."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    subparsers = parser.add_subparsers(dest="measure", required=True)
    for name in MEASURES:
        subparser = subparsers.add_parser(name)
        subparser.add_argument("base")
        subparser.add_argument("build", nargs="?", default=".")
        if name in ("count", "native"):
            subparser.add_argument("--requests", type=int, default=1000)
            subparser.add_argument("--load", nargs="+", choices=LOAD_NAMES)
        if name == "count":
            subparser.add_argument(
                "--functions",
                type=int,
                default=8,
                help="functions shown of the load with the highest ratio",
            )
        if name == "cpu":
            subparser.add_argument("--pairs", type=int, default=12, help="pairs of processes")
            subparser.add_argument(
                "--blocks", type=int, default=16, help="blocks of four rounds per pair"
            )
        if name == "memory":
            subparser.add_argument("--starts", type=int, default=5, help="starts of each build")
        default = MEMORY_LIMIT if name == "memory" else LIMIT
        subparser.add_argument("--limit", type=float, default=default)
    return parser


def count(options: argparse.Namespace) -> bool:
    """Compare bytecode instructions.  True if all loads are within the limit."""
    with unpack_builds(options.base, options.build) as pair:
        rows = request_counts.compare(pair, options.load or LOAD_NAMES, options.requests)
    request_counts.show(rows, options.functions)
    return all(row.same_traffic and row.ratio <= options.limit for row in rows)


def native(options: argparse.Namespace) -> bool:
    """Compare machine instructions.  True if all loads are within the limit."""
    with unpack_builds(options.base, options.build) as pair:
        rows = request_native.compare(pair, options.load or ["target"], options.requests)
    request_native.show(rows)
    return all(row.same_traffic and row.ratio <= options.limit for row in rows)


def cpu(options: argparse.Namespace) -> bool:
    """Compare CPU time.  True unless the whole confidence interval is above the limit."""
    with unpack_builds(options.base, options.build) as pair:
        found = asyncio.run(request_cpu.compare(pair, options.pairs, options.blocks))
    limit: float = options.limit
    request_cpu.show(found, limit)
    return found.low <= limit


def memory(options: argparse.Namespace) -> bool:
    """Compare resident memory.  True if every start of the build is within the limit in MB."""
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
    """Return 0 within the limit, 1 beyond it, and 2 if the measurement can't be made."""
    options = build_parser().parse_args()
    try:
        return 0 if MEASURES[options.measure](options) else 1
    except (BuildError, request_native.ValgrindMissingError) as error:
        print(f"request_cost: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
