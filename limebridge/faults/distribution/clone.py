"""Copies of state machines for the check of the state space: as `copy.deepcopy`, but faster.

What never changes (messages, numbers, texts) is shared.  How an object of a
type is copied is worked out once.
"""

from __future__ import annotations

import itertools
import operator
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from enum import Enum
from types import BuiltinFunctionType, FunctionType
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
Memo = dict[int, Any]
Copier = Callable[[Any, Memo], Any]

_SHARED = (
    int,
    float,
    str,
    bytes,
    bool,
    type(None),
    frozenset,
    Enum,
    type,
    FunctionType,
    BuiltinFunctionType,
    msgspec.Struct,
    msgspec.Raw,
)


def _same(value: Any, memo: Memo) -> Any:
    return value


class Cloner:
    """Copies values by their types.  `shared`: types that never change, beside the usual ones."""

    def __init__(self, *shared: type) -> None:
        self._own: dict[type, Copier] = dict.fromkeys(shared, _same)

    def clone(self, value: T) -> T:
        """An independent copy."""
        made: T = self.copy(value, {})
        return made

    def copy(self, value: Any, memo: Memo) -> Any:
        """A copy as a part of a greater one; `memo`: what was copied before, by identity."""
        kind = type(value)
        if kind in _FAST:
            return value
        found = memo.get(id(value))
        if found is not None:
            return found
        copier = self._own.get(kind)
        if copier is None:
            copier = self._own[kind] = self._copier(kind)
        return copier(value, memo)

    def _copier(self, kind: type) -> Copier:
        if issubclass(kind, _SHARED):
            return _same
        if issubclass(kind, dict | OrderedDict):
            return self._dict
        if issubclass(kind, list):
            return self._list
        if issubclass(kind, tuple):
            return self._tuple
        if issubclass(kind, deque):
            return self._deque
        if issubclass(kind, set):
            return lambda value, memo: set(value)
        if kind is itertools.count:
            return lambda value, memo: itertools.count(value.__reduce__()[1][0])
        if _is_frozen(kind):
            return self._frozen(tuple(each.name for each in fields(kind)))  # type: ignore[arg-type]
        return self._object(_attributes(kind))

    def _dict(self, value: Any, memo: Memo) -> Any:
        made = memo[id(value)] = type(value)()
        for key, each in value.items():
            made[key] = self.copy(each, memo)
        return made

    def _list(self, value: Any, memo: Memo) -> Any:
        made: list[Any] = []
        memo[id(value)] = made
        made.extend(self.copy(each, memo) for each in value)
        return made

    def _tuple(self, value: Any, memo: Memo) -> Any:
        made = tuple([self.copy(each, memo) for each in value])
        return value if all(map(operator.is_, made, value)) else made

    def _deque(self, value: Any, memo: Memo) -> Any:
        made: deque[Any] = deque(maxlen=value.maxlen)
        memo[id(value)] = made
        made.extend(self.copy(each, memo) for each in value)
        return made

    def _object(self, names: tuple[str, ...]) -> Copier:
        def copied(value: Any, memo: Memo) -> Any:
            made = memo[id(value)] = object.__new__(type(value))
            for name in names:
                object.__setattr__(made, name, self.copy(getattr(value, name), memo))
            for name, each in getattr(value, "__dict__", {}).items():
                made.__dict__[name] = self.copy(each, memo)
            return made

        return copied

    def _frozen(self, names: tuple[str, ...]) -> Copier:
        """What has nothing in it that changes is shared."""
        parts = operator.attrgetter(*names) if len(names) > 1 else None

        def copied(value: Any, memo: Memo) -> Any:
            held = parts(value) if parts else tuple(getattr(value, name) for name in names)
            made = [self.copy(each, memo) for each in held]
            if all(map(operator.is_, made, held)):
                return value
            changed = memo[id(value)] = object.__new__(type(value))
            for name, each in zip(names, made, strict=True):
                object.__setattr__(changed, name, each)
            return changed

        return copied


_FAST = frozenset((int, float, str, bytes, bool, type(None)))


def _is_frozen(kind: type) -> bool:
    parameters = getattr(kind, "__dataclass_params__", None)
    return is_dataclass(kind) and bool(parameters and parameters.frozen)


def _attributes(kind: type) -> tuple[str, ...]:
    """The names of its slots."""
    names: list[str] = []
    for base in kind.__mro__:
        slots = base.__dict__.get("__slots__", ())
        names += (slots,) if isinstance(slots, str) else slots
    return tuple(name for name in names if name not in ("__dict__", "__weakref__"))
