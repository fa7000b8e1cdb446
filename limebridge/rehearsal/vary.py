"""Changes a scenario: the values of single keys, or its size to the target size.  Pure.

A key is a dotted path: `proxies.count`, `box.fast.slots` (an element of a list by its name),
`event.1.lasts` (by its position, from 1), `load.curve.2.rate`; `load.scale` multiplies all rates.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from violetroute.config import ConfigError
from violetroute.config.tables import to_struct

from .scenario import Scenario, load, shipped_scenarios, validate

AT_SIZE_SUFFIX = "-at-size"  # appended to a scenario's name
# The size that the installation must be able to grow to, as specified; descriptors per proxy.
TARGET_NODES, TARGET_PROXIES, TARGET_DESCRIPTORS = 46, 710, 96


def apply_changes(scenario: Scenario, changes: Mapping[str, Any]) -> Scenario:
    """The scenario with the values of these keys changed.

    Raises ConfigError with one line that names the key.
    """
    if not changes:
        return scenario
    raw: dict[str, Any] = msgspec.to_builtins(scenario)
    # to_builtins omits operator tables with default values, but their keys may be changed too.
    raw["operator"] = {
        name: msgspec.to_builtins(getattr(scenario.operator, name))
        for name in scenario.operator.__struct_fields__
    }
    for key, value in changes.items():
        if key == "load.scale":
            _scale_rates(raw, value)
        else:
            _set_value(raw, key, value)
    # Tables that still have default values are removed again: an older build may not know them.
    raw["operator"] = {
        name: table
        for name, table in raw["operator"].items()
        if table != msgspec.to_builtins(getattr(type(scenario.operator)(), name))
    }
    path = f"{scenario.name} with {', '.join(f'{k}={v}' for k, v in changes.items())}"
    changed = to_struct(raw, Scenario, path)
    validate(changed, path)
    return changed


def _scale_rates(raw: dict[str, Any], value: Any) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0.0:
        raise ConfigError(f"load.scale: {value!r} is not a number above 0")
    for point in raw["load"]["curve"]:
        point["rate"] *= value


def _set_value(raw: dict[str, Any], key: str, value: Any) -> None:
    parent: Any = raw
    *path, last = key.split(".")
    for part in path:
        parent = _child(parent, part, key)
    if isinstance(parent, dict) and last in parent:
        parent[last] = value
    elif isinstance(parent, list) and last.isdecimal() and 1 <= int(last) <= len(parent):
        parent[int(last) - 1] = value
    else:
        raise ConfigError(f"{key}: a scenario has no {last!r} there")


def _child(parent: Any, part: str, key: str) -> Any:
    if isinstance(parent, dict) and part in parent:
        return parent[part]
    if isinstance(parent, list):
        matches = [each for each in parent if isinstance(each, dict) and each.get("name") == part]
        if matches:
            return matches[0]
        if part.isdecimal() and 1 <= int(part) <= len(parent):
            return parent[int(part) - 1]
    raise ConfigError(f"{key}: a scenario has no {part!r} there")


def named_scenario(name: str) -> Scenario:
    """Load a scenario by name or file; the suffix -at-size scales it to the target size."""
    if name.endswith(AT_SIZE_SUFFIX) and name not in shipped_scenarios():
        return scale_to_target_size(load(name.removesuffix(AT_SIZE_SUFFIX)))
    return load(name)


def scale_to_target_size(scenario: Scenario) -> Scenario:
    """The scenario with TARGET_NODES nodes and TARGET_PROXIES proxies.

    The machine types keep their shares at each site as far as whole machines allow.  Load, keys and
    database grow with the capacity, so that the load per node stays the same.
    """
    counts = [
        (number, site, count)
        for number, box in enumerate(scenario.box)
        for site, count in sorted(box.at.items())
    ]
    total = sum(count for _, _, count in counts)
    exact = [count * TARGET_NODES / total for _, _, count in counts]
    counts_at_size = [max(1, int(amount)) for amount in exact]
    by_rounding = sorted(range(len(exact)), key=lambda n: (counts_at_size[n] - exact[n], n))
    for index in by_rounding[: max(0, TARGET_NODES - sum(counts_at_size))]:
        counts_at_size[index] += 1
    boxes: list[dict[str, int]] = [{} for _ in scenario.box]
    for (number, site, _), machines in zip(counts, counts_at_size, strict=True):
        boxes[number][site] = machines
    replace = msgspec.structs.replace
    resized = replace(
        scenario,
        name=scenario.name + AT_SIZE_SUFFIX,
        box=[replace(box, at=at) for box, at in zip(scenario.box, boxes, strict=True)],
    )
    factor = resized.capacity / scenario.capacity
    database = scenario.database
    return replace(
        resized,
        load=replace(
            scenario.load,
            curve=[replace(point, rate=point.rate * factor) for point in scenario.load.curve],
        ),
        proxies=replace(scenario.proxies, count=TARGET_PROXIES, descriptors=TARGET_DESCRIPTORS),
        keys=replace(scenario.keys, count=round(scenario.keys.count * factor)),
        database=replace(
            database,
            at_once=round(database.at_once * factor),
            waiting=round(database.waiting * factor),
            ceiling=database.ceiling * factor,
        ),
    )
