"""Names of the members that are up, kept between changes, equal a rebuilt list."""

from __future__ import annotations

import random

import pytest

from violetroute.sharing.members import PAGE_MEMBERS, Members
from violetroute.sharing.wire import PageEnd, PageRequest, Rumor


def rebuilt(members: Members) -> list[str]:
    """The list built anew."""
    return [member.name for member in members.members.values() if member.up]


def page(members: Members, asking: str, after: str) -> tuple[list[str], str]:
    """Names of one page, and its last name if more follow."""
    (out,) = members.receive(1.0, asking, "another life", 1, PageRequest(after), "127.0.0.1:9")
    names = [item.name for item in out.items if isinstance(item, Rumor)]
    (last,) = [item.last for item in out.items if isinstance(item, PageEnd)]
    return names[1:], last  # without the answering member


@pytest.mark.parametrize("seed", range(20))
def test_names_and_pages_after_any_changes_match_rebuilt_ones(seed: int) -> None:
    draw = random.Random(seed)
    members = Members("me", "l", 1, "127.0.0.1:1", "z", 1.0, (), random.Random(seed), 0.0)
    incarnations = dict[str, int]()
    now = 0.0
    for _ in range(300):
        now += draw.random()
        name = f"p{draw.randrange(40):02}"
        incarnation = incarnations[name] = incarnations.get(name, 0) + draw.randrange(2)
        state = draw.choice("aaasdl")
        rumor = Rumor(name, "l", incarnation, state, "127.0.0.1:2", "z", "p99")
        members.receive(now, "stranger", "x", 1, rumor, "127.0.0.1:3")
        if draw.random() < 0.1:
            now += 70.0  # dead members are forgotten
            members.tick(now)
        assert members.up() == rebuilt(members)
        assert members.size == 1 + len(rebuilt(members))
        asking, after = f"p{draw.randrange(40):02}", draw.choice(["", f"p{draw.randrange(40):02}"])
        there = sorted(each for each in rebuilt(members) if each > after and each != asking)
        last = there[PAGE_MEMBERS - 1] if len(there) > PAGE_MEMBERS else ""
        assert page(members, asking, after) == (there[:PAGE_MEMBERS], last)
