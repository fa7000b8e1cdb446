"""Copies state machines for the exploration of the state space, faster than `copy.deepcopy`.

Immutable values (messages, numbers, strings) are shared between the copies.  The way to copy a type
is determined once and cached.
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

_SHARED_TYPES = (
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


def _share(value: Any, memo: Memo) -> Any:
    return value


class Cloner:
    """Copies values by their types.  Values of the types in `shared` are not copied but shared."""

    def __init__(self, *shared: type) -> None:
        self._copiers: dict[type, Copier] = dict.fromkeys(shared, _share)

    def clone(self, value: T) -> T:
        """Returns an independent copy of `value`."""
        clone: T = self.copy(value, {})
        return clone

    def copy(self, value: Any, memo: Memo) -> Any:
        """Copies a part of a larger value; `memo` has the earlier copies by id of the original.

        Two references to one object thus refer to one copy.
        """
        type_ = type(value)
        if type_ in _SHARED_EXACT_TYPES:
            return value
        known_clone = memo.get(id(value))
        if known_clone is not None:
            return known_clone
        copier = self._copiers.get(type_)
        if copier is None:
            copier = self._copiers[type_] = self._copier(type_)
        return copier(value, memo)

    def _copier(self, type_: type) -> Copier:
        if issubclass(type_, _SHARED_TYPES):
            return _share
        if issubclass(type_, dict | OrderedDict):
            return self._dict
        if issubclass(type_, list):
            return self._list
        if issubclass(type_, tuple):
            return self._tuple
        if issubclass(type_, deque):
            return self._deque
        if issubclass(type_, set):
            return lambda value, memo: set(value)
        if type_ is itertools.count:
            return lambda value, memo: itertools.count(value.__reduce__()[1][0])
        if _is_frozen(type_):
            return self._frozen(tuple(item.name for item in fields(type_)))  # type: ignore[arg-type]
        return self._object(_attributes(type_))

    def _dict(self, value: Any, memo: Memo) -> Any:
        clone = memo[id(value)] = type(value)()
        for key, item in value.items():
            clone[key] = self.copy(item, memo)
        return clone

    def _list(self, value: Any, memo: Memo) -> Any:
        clone: list[Any] = []
        memo[id(value)] = clone
        clone.extend(self.copy(item, memo) for item in value)
        return clone

    def _tuple(self, value: Any, memo: Memo) -> Any:
        clone = tuple([self.copy(item, memo) for item in value])
        return value if all(map(operator.is_, clone, value)) else clone

    def _deque(self, value: Any, memo: Memo) -> Any:
        clone: deque[Any] = deque(maxlen=value.maxlen)
        memo[id(value)] = clone
        clone.extend(self.copy(item, memo) for item in value)
        return clone

    def _object(self, names: tuple[str, ...]) -> Copier:
        def copier(value: Any, memo: Memo) -> Any:
            clone = memo[id(value)] = object.__new__(type(value))
            for name in names:
                object.__setattr__(clone, name, self.copy(getattr(value, name), memo))
            for name, item in getattr(value, "__dict__", {}).items():
                clone.__dict__[name] = self.copy(item, memo)
            return clone

        return copier

    def _frozen(self, names: tuple[str, ...]) -> Copier:
        """A copier of frozen dataclasses: an object is shared if all its attributes are."""
        get_values = operator.attrgetter(*names) if len(names) > 1 else None

        def copier(value: Any, memo: Memo) -> Any:
            attribute_values = (
                get_values(value) if get_values else tuple(getattr(value, name) for name in names)
            )
            copies = [self.copy(item, memo) for item in attribute_values]
            if all(map(operator.is_, copies, attribute_values)):
                return value
            clone = memo[id(value)] = object.__new__(type(value))
            for name, item in zip(names, copies, strict=True):
                object.__setattr__(clone, name, item)
            return clone

        return copier


_SHARED_EXACT_TYPES = frozenset((int, float, str, bytes, bool, type(None)))


def _is_frozen(type_: type) -> bool:
    parameters = getattr(type_, "__dataclass_params__", None)
    return is_dataclass(type_) and bool(parameters and parameters.frozen)


def _attributes(type_: type) -> tuple[str, ...]:
    """The slots of a class and its bases."""
    names: list[str] = []
    for base in type_.__mro__:
        slots = base.__dict__.get("__slots__", ())
        names += (slots,) if isinstance(slots, str) else slots
    return tuple(name for name in names if name not in ("__dict__", "__weakref__"))
