"""Counts the bytecode instructions and C calls that a program executes, by package and function.

The counts are the same on every run of a deterministic program, also on a busy machine.  What the
standard library or a dependency executes counts for the package that called it, or for the event
loop where none did.  A count says nothing of what one instruction costs: bytes that are copied or
matched in C are not seen.

CPython 3.11: `sys.settrace` with `f_trace_opcodes` reports each instruction before it runs, with
specialised instructions taken back to their plain form, so warm code counts like cold code.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import CodeType, FrameType
from typing import Any

import msgspec

EVENT_LOOP = "event loop"  # the package of library code that no counted package has called

Trace = Callable[[FrameType, str, Any], Any]


class FunctionCount(msgspec.Struct, frozen=True):
    """What one function has executed on behalf of one package."""

    package: str
    function: str  # file and qualified name
    instructions: int
    calls: int  # of it, and resumptions of its coroutines
    c_calls: int  # by it


class CrossingCount(msgspec.Struct, frozen=True):
    """How often functions of one top-level package have called one of another."""

    caller: str
    callee: str
    function: str
    calls: int


class Counts(msgspec.Struct, frozen=True):
    """All that was executed between start and stop."""

    functions: tuple[FunctionCount, ...]
    crossings: tuple[CrossingCount, ...]


@dataclass
class _Tally:
    """The running count of one function on behalf of one package."""

    package: str
    function: str
    instructions: int = 0
    calls: int = 0
    c_calls: int = 0
    trace: Trace = field(init=False)

    def __post_init__(self) -> None:
        def count_instruction(frame: FrameType, event: str, argument: Any) -> Trace:
            if event == "opcode":
                self.instructions += 1
            return count_instruction

        self.trace = count_instruction

    def result(self) -> FunctionCount:
        return FunctionCount(
            self.package, self.function, self.instructions, self.calls, self.c_calls
        )


class InstructionCounter:
    """Counts what the top-level packages `counted` in the folder `root` and their callees execute.

    One thread.  Frames that run when counting starts are not counted until they are resumed.
    """

    def __init__(self, root: Path, counted: tuple[str, ...]) -> None:
        self._root, self._counted = root, counted
        self._packages: dict[CodeType, str] = {}  # "" for a library
        self._tallies: dict[tuple[CodeType, str], _Tally] = {}
        self._crossings: dict[tuple[str, CodeType], int] = {}

    def start(self) -> None:
        sys.setprofile(self._profile)
        sys.settrace(self._trace)

    def stop(self) -> Counts:
        sys.settrace(None)
        sys.setprofile(None)
        return Counts(
            tuple(tally.result() for tally in self._tallies.values()),
            tuple(
                CrossingCount(caller, _top(self._package(code)), code.co_qualname, calls)
                for (caller, code), calls in self._crossings.items()
            ),
        )

    def _trace(self, frame: FrameType, event: str, argument: Any) -> Trace:
        """Told of each call; what it returns is told of the frame's instructions."""
        code = frame.f_code
        package = self._package(code)
        if package:
            self._note_crossing(code, _top(package), _top(self._owner(frame.f_back)))
        tally = self._tally(code, package or self._owner(frame.f_back))
        tally.calls += 1
        frame.f_trace_lines = False
        frame.f_trace_opcodes = True
        return tally.trace

    def _profile(self, frame: FrameType, event: str, argument: Any) -> None:
        if event == "c_call":
            self._tally(frame.f_code, self._owner(frame)).c_calls += 1

    def _note_crossing(self, code: CodeType, callee: str, caller: str) -> None:
        if caller not in (callee, EVENT_LOOP):
            key = (caller, code)
            self._crossings[key] = self._crossings.get(key, 0) + 1

    def _owner(self, frame: FrameType | None) -> str:
        """The counted package of this frame or, for a library's, of the nearest caller."""
        while frame is not None:
            package = self._package(frame.f_code)
            if package:
                return package
            frame = frame.f_back
        return EVENT_LOOP

    def _package(self, code: CodeType) -> str:
        found = self._packages.get(code)
        if found is None:
            found = self._packages[code] = self._package_of_file(Path(code.co_filename))
        return found

    def _package_of_file(self, path: Path) -> str:
        if not path.is_relative_to(self._root):
            return ""
        parts = path.relative_to(self._root).parts
        return "/".join(parts[:-1]) if parts[0] in self._counted else ""

    def _tally(self, code: CodeType, package: str) -> _Tally:
        key = (code, package)
        found = self._tallies.get(key)
        if found is None:
            name = f"{Path(code.co_filename).name}:{code.co_qualname}"
            found = self._tallies[key] = _Tally(package, name)
        return found


def _top(package: str) -> str:
    return package.partition("/")[0]
