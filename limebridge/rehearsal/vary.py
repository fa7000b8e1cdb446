"""A scenario with other figures: single keys, or the whole of it at the size to come.  Pure.

A key is the path that a person would say: `proxies.count`, `box.fast.slots` (a table of a list by
its name), `event.1.lasts` (by its place, from 1), `load.curve.2.rate`, `load.scale` (all rates).
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from violetroute.config import ConfigError
from violetroute.config.tables import to_struct

from .scenario import Scenario, check, load, shipped

AT_SIZE = "-at-size"  # behind a scenario's name
NODES, PROXIES, DESCRIPTORS = 46, 710, 96  # the user's size to come (the brief, "Size")


def varied(scenario: Scenario, changes: Mapping[str, Any]) -> Scenario:
    """The scenario with these keys changed.  ConfigError, one line that names the key."""
    if not changes:
        return scenario
    raw: dict[str, Any] = msgspec.to_builtins(scenario)
    # Written out it lacks the tables that say nothing, and a key of theirs may be changed too.
    raw["operator"] = {
        name: msgspec.to_builtins(getattr(scenario.operator, name))
        for name in scenario.operator.__struct_fields__
    }
    for key, value in changes.items():
        if key == "load.scale":
            _scale(raw, value)
        else:
            _set(raw, key, value)
    # And what still says nothing is left out again: an older build may not know the table.
    raw["operator"] = {
        name: table
        for name, table in raw["operator"].items()
        if table != msgspec.to_builtins(getattr(type(scenario.operator)(), name))
    }
    path = f"{scenario.name} with {', '.join(f'{k}={v}' for k, v in changes.items())}"
    made = to_struct(raw, Scenario, path)
    check(made, path)
    return made


def _scale(raw: dict[str, Any], value: Any) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0.0:
        raise ConfigError(f"load.scale: {value!r} is no number above 0")
    for point in raw["load"]["curve"]:
        point["rate"] *= value


def _set(raw: dict[str, Any], key: str, value: Any) -> None:
    place: Any = raw
    *path, last = key.split(".")
    for word in path:
        place = _inner(place, word, key)
    if isinstance(place, dict) and last in place:
        place[last] = value
    elif isinstance(place, list) and last.isdecimal() and 1 <= int(last) <= len(place):
        place[int(last) - 1] = value
    else:
        raise ConfigError(f"{key}: a scenario has no {last!r} there")


def _inner(place: Any, word: str, key: str) -> Any:
    if isinstance(place, dict) and word in place:
        return place[word]
    if isinstance(place, list):
        named = [each for each in place if isinstance(each, dict) and each.get("name") == word]
        if named:
            return named[0]
        if word.isdecimal() and 1 <= int(word) <= len(place):
            return place[int(word) - 1]
    raise ConfigError(f"{key}: a scenario has no {word!r} there")


def named_scenario(name: str) -> Scenario:
    """A scenario by its name; with -at-size behind it, the same at the size to come."""
    if name.endswith(AT_SIZE) and name not in shipped():
        return at_size(load(name.removesuffix(AT_SIZE)))
    return load(name)


def at_size(scenario: Scenario) -> Scenario:
    """The same morning with NODES nodes and PROXIES proxies, all that is shared in proportion.

    Boxes keep their parts at each site as far as whole machines go; load and database grow as the
    capacity does, so that the load a node sees is the same.
    """
    counts = [
        (number, site, count)
        for number, box in enumerate(scenario.box)
        for site, count in sorted(box.at.items())
    ]
    total = sum(count for _, _, count in counts)
    exact = [count * NODES / total for _, _, count in counts]
    whole = [max(1, int(part)) for part in exact]
    order = sorted(range(len(exact)), key=lambda n: (whole[n] - exact[n], n))
    for place in order[: max(0, NODES - sum(whole))]:
        whole[place] += 1
    boxes: list[dict[str, int]] = [{} for _ in scenario.box]
    for (number, site, _), many in zip(counts, whole, strict=True):
        boxes[number][site] = many
    replace = msgspec.structs.replace
    made = replace(
        scenario,
        name=scenario.name + AT_SIZE,
        box=[replace(box, at=at) for box, at in zip(scenario.box, boxes, strict=True)],
    )
    times = made.capacity / scenario.capacity
    base = scenario.database
    return replace(
        made,
        load=replace(
            scenario.load,
            curve=[replace(point, rate=point.rate * times) for point in scenario.load.curve],
        ),
        proxies=replace(scenario.proxies, count=PROXIES, descriptors=DESCRIPTORS),
        keys=replace(scenario.keys, count=round(scenario.keys.count * times)),
        database=replace(
            base,
            at_once=round(base.at_once * times),
            waiting=round(base.waiting * times),
            ceiling=base.ceiling * times,
        ),
    )
