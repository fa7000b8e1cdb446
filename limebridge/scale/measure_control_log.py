"""Memory of the log of a control machine, by the number of retained batches."""

from __future__ import annotations

from functools import partial

from violetroute.distribution.actions import Stored
from violetroute.distribution.messages import Batch, Record, Topic
from violetroute.distribution.replica import Replica

from .cost_definition import define_cost
from .process_facts import resident_bytes
from .registry import Subject, Values
from .target import load_target

BATCH_S = 0.1  # the leader's batching window (violetroute/distribution/control_file.py)
KEY_LENGTH = 40  # characters of a purged key
FENCE = 1
MEGABYTE = 1e6


def measure(size: int) -> Values:
    """Measure the memory of `size` batches with as many purges as one batching window has."""
    replica = Replica(Stored(log="measured"))
    replica.promise(FENCE, "leader")
    purges = round(load_target().purges_per_s * BATCH_S)
    before = resident_bytes()
    for position in range(1, size + 1):
        replica.append([_batch(position, purges)])
        replica.commit_to(position)
    return {"control_log.memory_mb": (resident_bytes() - before) / MEGABYTE}


def _batch(position: int, purges: int) -> Batch:
    keys = (f"{position:020d}-{number:0{KEY_LENGTH - 21}d}" for number in range(purges))
    records = tuple(Record(Topic.PURGE, key) for key in keys)
    return Batch(position, FENCE, written_ms=position, records=records)


_cost = partial(define_cost, "control_log", "violetroute/distribution/replica.py")

SUBJECT = Subject(
    name="control_log",
    per="batch",
    costs=(_cost("memory_mb", "MB", "Resident memory of the retained batches."),),
    sizes=(4500, 9000, 18000, 36000, 72000),
    quick_sizes=(1000, 2000, 3000, 4000, 5000),
    measure=measure,
    runs=3,
)
