"""A change of one member costs a few comparisons of names, whatever the size of the fleet."""

from __future__ import annotations

import random

import pytest

from violetroute.sharing.rumors import Member
from violetroute.sharing.up_names import UpNames

SIZES = (100, 2600)
# Comparisons for a change and a page: 2 binary searches of at most 12 steps each.
MAX_COMPARISONS = 40


class CountedName(str):
    """A name that counts its comparisons."""

    __slots__ = ()
    compared = 0

    def __lt__(self, other: str) -> bool:
        CountedName.compared += 1
        return str.__lt__(self, other)


class CountedMember(Member):
    """A member that counts reads of `up`."""

    reads = 0

    @property
    def up(self) -> bool:
        CountedMember.reads += 1
        return self.state in ("a", "s")


def filled(size: int, draw: random.Random) -> tuple[UpNames, list[Member]]:
    """`size` members that are up."""
    names = UpNames()
    members = list[Member]()
    for number in draw.sample(range(10 * size), size):
        members.append(CountedMember(CountedName(f"p{number:06}"), "l", 1, "a", "", "", 0.0))
        names.added(members[-1])
    return names, members


@pytest.mark.parametrize("size", SIZES)
def test_a_member_that_dies_or_returns_costs_no_work_per_other_member(size: int) -> None:
    draw = random.Random(size)
    names, members = filled(size, draw)
    names.names(), names.after("", 12)
    for _ in range(50):
        member = draw.choice(members)
        for state in ("d", "a"):
            CountedName.compared = CountedMember.reads = 0
            member.state = state
            names.changed(member)
            there = names.names()
            page = names.after(draw.choice(members).name, 12)
            assert CountedMember.reads <= 1
            assert CountedName.compared <= MAX_COMPARISONS
            assert len(there) == names.count and len(page) <= 12


@pytest.mark.parametrize("seed", range(30))
def test_the_lists_match_rebuilt_ones(seed: int) -> None:
    draw = random.Random(seed)
    names, members = UpNames(), list[Member]()
    for number in range(400):
        if not members or draw.random() < 0.3:
            members.append(Member(f"p{draw.random()}", "l", 1, "a", "", "", 0.0))
            names.added(members[-1])
        elif draw.random() < 0.2:  # forgotten: only a member that is not up can be
            away = [each for each in members if not each.up]
            if away:
                members.remove(draw.choice(away))
        else:
            member = draw.choice(members)
            member.state = "d" if member.up else "a"
            names.changed(member)
        there = [member.name for member in members if member.up]
        assert names.names() == there and names.count == len(there), number
        after = draw.choice(["", "p0.5", *there])
        assert names.after(after, 5) == sorted(name for name in there if name > after)[:5]
