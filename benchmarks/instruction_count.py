"""Counts the bytecode instructions and C calls that a program executes, by package and function.

The counts are the same on every run of a deterministic program, also on a busy machine.  What the
standard library or a dependency executes is attributed to the package that called it, or to the
event loop if no counted package did.  Instructions are counted, not weighted by their cost: work
inside C code, such as copying or matching bytes, is not visible.

On CPython 3.11 `sys.settrace` with `f_trace_opcodes` reports each instruction before it runs.
Specialised instructions are reported as their generic form, so warm code counts like cold code.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import CodeType, FrameType
from typing import Any

import msgspec

EVENT_LOOP = "event loop"  # package of code with no counted package among its callers

Trace = Callable[[FrameType, str, Any], Any]


class FunctionCount(msgspec.Struct, frozen=True):
    """The part of a function's instructions and calls that is attributed to one package."""

    package: str
    function: str  # file and qualified name
    instructions: int
    calls: int  # calls of the function, and resumptions of its coroutines or generators
    c_calls: int  # calls from the function into C functions


class CrossingCount(msgspec.Struct, frozen=True):
    """How often one top-level package has called a function of another."""

    caller: str
    callee: str
    function: str
    calls: int


class Counts(msgspec.Struct, frozen=True):
    """Everything that was executed between `start` and `stop`."""

    functions: tuple[FunctionCount, ...]
    crossings: tuple[CrossingCount, ...]


@dataclass
class _FunctionCounter:
    """A `FunctionCount` in progress; its `trace` counts the instructions of a frame."""

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

    Counts one thread.  Frames already running when counting starts are counted once resumed.
    """

    def __init__(self, root: Path, counted: tuple[str, ...]) -> None:
        self._root, self._counted = root, counted
        self._packages: dict[CodeType, str] = {}  # "" for the code of a library
        self._counters: dict[tuple[CodeType, str], _FunctionCounter] = {}
        self._crossings: dict[tuple[str, CodeType], int] = {}

    def start(self) -> None:
        """Start counting, on the calling thread."""
        sys.setprofile(self._profile)
        sys.settrace(self._trace)

    def stop(self) -> Counts:
        """Stop counting and return the counts."""
        sys.settrace(None)
        sys.setprofile(None)
        return Counts(
            tuple(counter.result() for counter in self._counters.values()),
            tuple(
                CrossingCount(caller, _top(self._package(code)), code.co_qualname, calls)
                for (caller, code), calls in self._crossings.items()
            ),
        )

    def _trace(self, frame: FrameType, event: str, argument: Any) -> Trace:
        """Called by the interpreter at each call or resumption of a Python function.

        The returned function is called for each instruction of the frame.
        """
        code = frame.f_code
        package = self._package(code)
        if package:
            self._count_crossing(code, _top(package), _top(self._calling_package(frame.f_back)))
        counter = self._counter(code, package or self._calling_package(frame.f_back))
        counter.calls += 1
        frame.f_trace_lines = False
        frame.f_trace_opcodes = True
        return counter.trace

    def _profile(self, frame: FrameType, event: str, argument: Any) -> None:
        if event == "c_call":
            self._counter(frame.f_code, self._calling_package(frame)).c_calls += 1

    def _count_crossing(self, code: CodeType, callee: str, caller: str) -> None:
        if caller not in (callee, EVENT_LOOP):
            key = (caller, code)
            self._crossings[key] = self._crossings.get(key, 0) + 1

    def _calling_package(self, frame: FrameType | None) -> str:
        """The package of the frame if it is counted, else that of the nearest counted caller.

        EVENT_LOOP if there is none.
        """
        while frame is not None:
            package = self._package(frame.f_code)
            if package:
                return package
            frame = frame.f_back
        return EVENT_LOOP

    def _package(self, code: CodeType) -> str:
        package = self._packages.get(code)
        if package is None:
            package = self._packages[code] = self._package_of_file(Path(code.co_filename))
        return package

    def _package_of_file(self, path: Path) -> str:
        if not path.is_relative_to(self._root):
            return ""
        parts = path.relative_to(self._root).parts
        return "/".join(parts[:-1]) if parts[0] in self._counted else ""

    def _counter(self, code: CodeType, package: str) -> _FunctionCounter:
        key = (code, package)
        counter = self._counters.get(key)
        if counter is None:
            name = f"{Path(code.co_filename).name}:{code.co_qualname}"
            counter = self._counters[key] = _FunctionCounter(package, name)
        return counter


def _top(package: str) -> str:
    return package.partition("/")[0]
