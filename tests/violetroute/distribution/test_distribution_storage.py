"""Storage of a control machine: persisted changes survive a crash at any byte."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.rig import wait_until
from violetroute.distribution import storage as storage_module
from violetroute.distribution.actions import (
    AppendBatches,
    Change,
    Persist,
    SetBase,
    SetPromise,
    SetRecovering,
    Stored,
    TruncateAfter,
)
from violetroute.distribution.frames import HEADER, decode_frames, encode_frame
from violetroute.distribution.messages import Batch, LogPoint, Record, Snapshot, Topic
from violetroute.distribution.persister import Persister
from violetroute.distribution.storage import Storage, StorageError, init_folder
from violetroute.transport.writer import Job, JobCallback, ThreadWriter

T = TypeVar("T")
FIRST = "segment-0000000001"


def batch(position: int, fence: int = 1, keys: Sequence[str] = ("a key",)) -> Batch:
    return Batch(position, fence, 0, tuple(Record(Topic.PURGE, key) for key in keys))


def base(position: int, fence: int = 1) -> SetBase:
    return SetBase(Snapshot(LogPoint(fence, position)))


def make_folder(path: Path, *writes: Sequence[Change], recovering: bool = False) -> Path:
    """Creates a folder and performs these writes in order."""
    init_folder(path, "c0", "log1", recovering)
    storage = Storage(path, "c0")
    for changes in writes:
        storage.write(changes)
    storage.close()
    return path


def read_stored(path: Path) -> Stored:
    storage = Storage(path, "c0")
    try:
        return storage.take_stored()
    finally:
        storage.close()


WRITES: list[list[Change]] = [
    [SetPromise(3, "c1")],
    [AppendBatches((batch(1, 3), batch(2, 3, ("k" * 40, ""))))],
    [SetPromise(4, "c0"), TruncateAfter(1), AppendBatches((batch(2, 4, ()),))],
    [AppendBatches((batch(3, 4), batch(4, 4)))],
    [base(2, 4)],
    [SetPromise(7, "")],
]


# --- start ---
def test_new_folder_is_an_empty_log(tmp_path: Path) -> None:
    assert read_stored(make_folder(tmp_path / "new")) == Stored("log1")
    lost = make_folder(tmp_path / "lost", recovering=True)
    assert read_stored(lost) == Stored("log1", recovering=True)


def test_writes_are_replayed_at_the_next_start(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0", *WRITES)
    expected = Stored("log1", 7, "", Snapshot(LogPoint(4, 2)), (batch(3, 4), batch(4, 4)), False)
    assert read_stored(path) == expected
    storage = Storage(path, "c0")
    storage.write([AppendBatches((batch(5, 7),)), SetRecovering(True)])
    storage.close()
    assert read_stored(path).batches == (batch(3, 4), batch(4, 4), batch(5, 7))
    assert read_stored(path).recovering


def test_a_folder_without_an_identity_is_refused_and_names_the_command(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0", *WRITES)
    (path / "identity").unlink()
    for missing in (path, tmp_path / "none"):
        missing.mkdir(exist_ok=True)
        with pytest.raises(StorageError, match="limebridge control init") as refused:
            Storage(missing, "c0")
        assert "\n" not in str(refused.value)


def test_missing_segments_are_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 1)  # every write rotates the segment
    path = make_folder(tmp_path / "c0", *WRITES[:4])
    names = sorted(each.name for each in path.glob("segment-*"))
    assert len(names) == 5
    for name in names[:-1]:
        copy = tmp_path / f"without-{name}"
        shutil.copytree(path, copy)
        (copy / name).unlink()
        if name == FIRST:  # holds only the promise, which each header repeats
            assert read_stored(copy) == read_stored(path)
            continue
        with pytest.raises(StorageError):
            Storage(copy, "c0")
    for each in path.glob("segment-*"):
        each.unlink()
    with pytest.raises(StorageError, match="segments are missing"):
        Storage(path, "c0")


def test_another_machines_folder_or_segment_is_refused(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0", *WRITES)
    with pytest.raises(StorageError, match="to 'c0', not to 'c1'"):
        Storage(path, "c1")
    init_folder(tmp_path / "other", "c0", "another log", False)
    shutil.copy(tmp_path / "other" / FIRST, path / FIRST)
    with pytest.raises(StorageError, match="another log"):
        Storage(path, "c0")


def test_folder_is_locked_by_one_process(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0")
    storage = Storage(path, "c0")
    with pytest.raises(StorageError, match="in use by another process"):
        Storage(path, "c0")
    with pytest.raises(StorageError, match="in use by another process"):
        init_folder(path, "c0", "log1", True)
    storage.close()
    Storage(path, "c0").close()


def test_init_refuses_an_existing_log(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0", *WRITES)
    before = read_stored(path)
    with pytest.raises(StorageError, match="a log already exists"):
        init_folder(path, "c0", "log2", False)
    assert read_stored(path) == before


def test_interrupted_init_can_be_repeated(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0", *WRITES)
    (path / "identity").unlink()  # init writes it last
    init_folder(path, "c0", "log1", True)
    assert read_stored(path) == Stored("log1", recovering=True)


# --- crashes ---
def test_crash_at_any_byte_loses_no_stored_change(tmp_path: Path) -> None:
    path = tmp_path / "c0"
    init_folder(path, "c0", "log1", False)
    segment = path / FIRST
    ends, states = [segment.stat().st_size], [read_stored(path)]
    for changes in WRITES:
        storage = Storage(path, "c0")
        storage.write(changes)
        storage.close()
        ends.append(segment.stat().st_size)
        states.append(read_stored(path))
    data = segment.read_bytes()
    for length in range(ends[0], len(data)):
        segment.write_bytes(data[:length])
        whole = max(number for number, end in enumerate(ends) if end <= length)
        assert read_stored(path) == states[whole]
        assert segment.stat().st_size == ends[whole]  # the torn tail is truncated from the file
    for length in range(ends[0]):  # headers are written atomically, so a partial one is damage
        segment.write_bytes(data[:length])
        with pytest.raises(StorageError):
            Storage(path, "c0")


def test_tail_with_unwritten_blocks_is_dropped(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0", *WRITES[:2])
    before, segment = read_stored(path), path / FIRST
    good = segment.read_bytes()
    frame = encode_frame(b"x" * 300)
    for tail in (
        bytes(len(frame)),  # length on disk, no data blocks
        bytes(HEADER.size) + frame[HEADER.size :],  # first block missing
        frame[:-100] + bytes(100),  # last block missing
        b"\xff" * 50,
    ):
        segment.write_bytes(good + tail)
        assert read_stored(path) == before
        assert segment.read_bytes() == good


def test_damage_before_the_last_frame_is_refused(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0", *WRITES)
    segment = path / FIRST
    data = segment.read_bytes()
    bodies = decode_frames(data).bodies
    last = len(data) - HEADER.size - len(bodies[-1])
    for place in range(last):
        segment.write_bytes(data[:place] + bytes([data[place] ^ 0x41]) + data[place + 1 :])
        with pytest.raises(StorageError) as refused:
            Storage(path, "c0")
        assert "\n" not in str(refused.value)
    assert segment.stat().st_size == len(data)  # nothing was truncated


def test_damaged_end_of_an_earlier_segment_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 1)
    path = make_folder(tmp_path / "c0", *WRITES[:3])
    second = path / "segment-0000000002"
    data = second.read_bytes()
    for wrong in (data[:-1], data[:-1] + bytes([data[-1] ^ 1]), data + b"\0"):
        second.write_bytes(wrong)
        with pytest.raises(StorageError):
            Storage(path, "c0")


def test_intact_but_inconsistent_frames_are_refused(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0", *WRITES[:2])
    with pytest.raises(Exception, match="position 9, expected 3"):
        make_folder(tmp_path / "c1", *WRITES[:2], [AppendBatches((batch(9),))])
    segment = path / FIRST
    segment.write_bytes(segment.read_bytes() + encode_frame(b"\x91\x92\xa1?\x01"))
    with pytest.raises(StorageError, match="cannot be read"):
        Storage(path, "c0")


# --- segments ---
Step = tuple[str, int]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.lists(st.tuples(st.sampled_from("abtspr"), st.integers(0, 5)), min_size=1, max_size=4),
        max_size=25,
    ),
    st.sampled_from([1, 400, 2000]),
)
def test_any_sequence_of_changes_equals_the_reference_model(
    tmp_path_factory: pytest.TempPathFactory, course: list[list[Step]], segment_bytes: int
) -> None:
    path = tmp_path_factory.mktemp("course") / "c0"
    init_folder(path, "c0", "log1", False)
    model = Model()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(storage_module, "SEGMENT_BYTES", segment_bytes)
        storage = Storage(path, "c0")
        for number, steps in enumerate(course):
            storage.write([model.step(kind, amount) for kind, amount in steps])
            if number % 5 == 4:
                storage.close()
                storage = Storage(path, "c0")
                assert storage.take_stored() == model.stored()
        storage.close()
    assert read_stored(path) == model.stored()


class Model:
    """Reference model: the state as a list of batches and four values."""

    def __init__(self) -> None:
        self.fence, self.leader, self.recovering = 0, "", False
        self.base = LogPoint()
        self.batches: list[Batch] = []

    @property
    def last(self) -> int:
        return self.batches[-1].position if self.batches else self.base.position

    def step(self, kind: str, amount: int) -> Change:
        if kind in "ab":
            first = self.last + 1
            added = tuple(batch(first + n, self.fence) for n in range(amount + 1))
            self.batches += added
            return AppendBatches(added)
        if kind == "t":
            position = max(self.base.position, self.last - amount)
            self.batches = [each for each in self.batches if each.position <= position]
            return TruncateAfter(position)
        if kind == "s":  # within the log, or up to two beyond its end
            position = max(self.base.position, self.last + 2 - amount)
            self.base = LogPoint(self.fence, position)
            self.batches = [each for each in self.batches if each.position > position]
            return base(position, self.fence)
        if kind == "p":
            self.fence, self.leader = self.fence + amount, f"c{amount}"
            return SetPromise(self.fence, self.leader)
        self.recovering = amount % 2 == 1
        return SetRecovering(self.recovering)

    def stored(self) -> Stored:
        snapshot = Snapshot(self.base)
        return Stored(
            "log1", self.fence, self.leader, snapshot, tuple(self.batches), self.recovering
        )


def test_segments_covered_by_the_base_are_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 2000)
    path = tmp_path / "c0"
    init_folder(path, "c0", "log1", False)
    storage = Storage(path, "c0")
    max_bytes = 0
    for position in range(1, 400):
        storage.write([AppendBatches((batch(position, 1, ("k" * 100,)),))])
        if position % 50 == 0:
            storage.write([base(position - 20)])
        max_bytes = max(max_bytes, sum(each.stat().st_size for each in path.glob("segment-*")))
    storage.close()
    assert max_bytes < 70 * 180 + 3 * 2000
    stored = read_stored(path)
    assert [each.position for each in stored.batches] == list(range(331, 400))


# --- persister ---
class HeldWriter:
    """A writer whose jobs run only when the test calls them."""

    def __init__(self) -> None:
        self.jobs: list[Callable[[], None]] = []

    def submit(self, job: Job[T], callback: JobCallback[T]) -> None:
        def work() -> None:
            try:
                result = job()
            except Exception as error:
                callback(None, error)
            else:
                callback(result, None)

        self.jobs.append(work)

    def close(self, wait_s: float) -> None:
        pass


def test_queued_writes_share_one_sync_and_complete_in_order(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = make_folder(tmp_path / "c0")
    storage = Storage(path, "c0")
    syncs: list[int] = []
    real = storage_module.os.fdatasync
    monkeypatch.setattr(
        storage_module.os, "fdatasync", lambda number: (syncs.append(number), real(number))
    )
    writer, persisted, failed = HeldWriter(), list[int](), list[str]()
    persister = Persister(storage, writer, persisted.append, failed.append)
    for number in range(1, 11):
        persister.submit(Persist(number, (AppendBatches((batch(number),)),)))
    assert len(writer.jobs) == 1 and not persisted
    writer.jobs.pop()()
    assert persisted == [1] and len(writer.jobs) == 1
    writer.jobs.pop()()
    assert persisted == list(range(1, 11)) and len(syncs) == 2 and not failed
    storage.close()
    assert len(read_stored(path).batches) == 10


def test_after_a_failed_write_no_write_is_reported_as_persisted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = make_folder(tmp_path / "c0")
    storage = Storage(path, "c0")
    writer, persisted, failed = HeldWriter(), list[int](), list[str]()
    persister = Persister(storage, writer, persisted.append, failed.append)
    persister.submit(Persist(1, (AppendBatches((batch(1),)),)))
    writer.jobs.pop()()

    def broken(descriptor: int) -> None:
        raise OSError(5, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(storage_module.os, "fdatasync", broken)
        persister.submit(Persist(2, (AppendBatches((batch(2),)),)))
        persister.submit(Persist(3, (AppendBatches((batch(3),)),)))
        writer.jobs.pop()()
    persister.submit(Persist(4, (AppendBatches((batch(4),)),)))
    assert persisted == [1] and failed == ["[Errno 5] Input/output error"] and not writer.jobs
    with pytest.raises(OSError, match="an earlier write failed"):
        storage.write([SetPromise(9, "")])
    storage.close()
    assert [each.position for each in read_stored(path).batches] in ([1], [1, 2])


def test_writer_thread_persists_in_order(tmp_path: Path) -> None:
    path = make_folder(tmp_path / "c0")

    async def run() -> None:
        storage = Storage(path, "c0")
        persisted, failed = list[int](), list[str]()
        writer = ThreadWriter(asyncio.get_running_loop())
        persister = Persister(storage, writer, persisted.append, failed.append)
        for number in range(1, 101):
            persister.submit(Persist(number, (AppendBatches((batch(number),)),)))
        assert not persisted
        await wait_until(lambda: len(persisted) == 100)
        assert persisted == list(range(1, 101)) and not failed
        persister.close()
        storage.close()

    asyncio.run(run())
    assert len(read_stored(path).batches) == 100
