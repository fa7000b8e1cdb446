"""Parsing of discovery's lists: bounded time and memory, and invalid entries are skipped."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest

from limebridge.scale.process_facts import cpu_seconds
from limebridge.virtual.session import isolated_run
from violetroute.membership import parse_listing
from violetroute.membership.list_reader import LINE_LIMIT, ListReader, ObjectSplitter, WatchError
from violetroute.transport import Address, parse_address

CPU_FOR_TEN_THOUSAND = 0.3  # s; a list of 10,000 nodes is parsed in one event loop iteration


def instance(number: int, **fields: object) -> dict[str, Any]:
    return {
        "instanceId": f"s-{number}",
        "hostPort": f"10.0.{number // 250}.{number % 250}:6379",
        "zone": "a",
        "machineType": "m",
        "cell": 3,
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 0,
    } | fields


def line(*instances: object, reset: bool = True, generation: object = 4) -> bytes:
    message = {"generation": generation, "reset": reset, "instances": list(instances)}
    return json.dumps(message).encode()


BAD = [
    {},
    None,
    5,
    "s-1",
    [],
    instance(1, hostPort="somewhere"),
    instance(1, hostPort="10.0.0.1:99999"),
    instance(1, hostPort="010.0.0.1:80"),
    instance(1, lifecycle="asleep"),
    instance(1, weight=-1.0),
    instance(1, weight=math.nan),
    instance(1, startedAtMs=math.inf),
    instance(1, cell="thirteen"),
    {key: value for key, value in instance(1).items() if key != "hostPort"},
    {key: value for key, value in instance(1).items() if key != "instanceId"},
]
ODD = [
    instance(2, cell="13", weight="2.5", startedAtMs="7"),
    instance(3, hostPort="[::1]:80", more={"a": ["}"]}),
    instance(4, lifecycle="terminated", hostPort=None),
    instance(5, lifecycle="terminating", zone="{"),
    instance(6, weight=2, cell=3.0),
]


def test_list_reader_and_parse_listing_give_equal_results() -> None:
    """Each bad and odd entry alone among good ones, and all of them together."""
    cases = [[one] for one in BAD + ODD] + [BAD + ODD]
    for entries in cases:
        text = line(instance(0), *entries, instance(9), generation="41")
        with isolated_run(50):
            assert ListReader().read(text) == parse_listing(json.loads(text))


def test_an_unchanged_entry_is_the_same_object() -> None:
    reader = ListReader()
    first = reader.read(line(*map(instance, range(5))))
    again = reader.read(line(instance(2), instance(3, weight=2.0), instance(4)))
    assert again.entries[0] is first.entries[2] and again.entries[2] is first.entries[4]
    assert again.entries[1].weight == 2.0
    assert reader.read(line(instance(1))).entries[0] == first.entries[1]


def test_caches_are_bounded_by_the_size_of_the_lists() -> None:
    reader = ListReader()
    for start in range(0, 200_000, 1000):
        reader.read(line(*map(instance, range(start, start + 1000)), reset=False))
    assert len(reader._by_text) <= 13_000 and len(reader._addresses) <= 13_000


def test_nodes_that_leave_and_return_are_not_parsed_again() -> None:
    """Parsing returned nodes anew is expensive.

    When a fifth of 3,200 nodes returned, it took a third of the turn that read the list.
    """
    reader = ListReader()
    first = reader.read(line(*map(instance, range(5))))
    reader.read(line(*map(instance, range(4))))
    assert reader.read(line(*map(instance, range(5)))).entries[4] is first.entries[4]


def test_full_lists_that_always_differ_keep_a_bounded_cache() -> None:
    reader = ListReader()
    for started in range(20):
        reader.read(line(*(instance(number, startedAtMs=started) for number in range(100))))
        assert len(reader._by_text) <= 300
    reader.read(line())
    reader.read(line())
    assert not reader._by_text


@pytest.mark.parametrize("text", [b"[]", b"5", b"{}", b'{"instances": 5}', b'{"instances": [}'])
def test_text_that_is_no_list_raises_value_error(text: bytes) -> None:
    with pytest.raises(ValueError):
        ListReader().read(text)


def test_ten_thousand_entries_and_an_entry_of_a_megabyte_are_read() -> None:
    text = line(*map(instance, range(10_000)))
    assert ObjectSplitter().feed(text) == text and len(text) <= LINE_LIMIT
    assert cpu_seconds(lambda: ListReader().read(text)) <= CPU_FOR_TEN_THOUSAND
    text = line(instance(0), instance(1, note="x" * 1_000_000), instance(2))
    assert ObjectSplitter().feed(text) == text
    assert [e.instance for e in ListReader().read(text).entries] == ["s-0", "s-1", "s-2"]


def test_a_list_over_the_size_limit_ends_the_watch() -> None:
    with pytest.raises(WatchError):
        ObjectSplitter().feed(line(instance(1, note="x" * LINE_LIMIT)))


@pytest.mark.parametrize(
    ("text", "host"),
    [
        ("127.0.0.1:80", "127.0.0.1"),
        ("[::1]:80", "::1"),
        ("::1:80", "::1"),
        ("[1.2.3.4]:80", "1.2.3.4"),
    ],
)
def test_addresses_are_normalized(text: str, host: str) -> None:
    assert parse_address(text) == Address(host, 80)


@pytest.mark.parametrize("text", ["1.2.3:80", "01.2.3.4:80", "1.2.3.4", "a:80", "1.2.3.4:x", ":80"])
def test_an_invalid_address_raises_value_error(text: str) -> None:
    with pytest.raises(ValueError, match="not an address"):
        parse_address(text)
