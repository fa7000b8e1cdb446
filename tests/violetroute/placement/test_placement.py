"""The daemon takes on a plan: the file, whose nodes it fits, and the way from one to the next."""

from __future__ import annotations

import asyncio
import json
import tomllib
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from tests.snowstall.test_mechanism import lines_run
from tests.support.rig import CacheNode, Rig, configuration, get, serves
from violetroute.config import ConfigError, load
from violetroute.config.operator import parse_operator
from violetroute.membership import stable_hash
from violetroute.placement import ListedNode, PlacementTable, Plan, PlanManager, Ramp, load_plan
from violetroute.placement.plan import sizes as sizes_of
from violetroute.placement.plan_manager import STEP
from violetroute.placement.ramp import moved, parts

Sizes = dict[int, float]
SIZES = st.dictionaries(st.integers(1, 6), st.floats(0.0, 4.0), min_size=1, max_size=6).filter(
    lambda sizes: sum(sizes.values()) > 0.1
)


def plan(**nodes: float) -> Plan:
    return Plan(1, 0.0, nodes, {"a/old": 0.1, "fast": 0.3})


@given(SIZES, SIZES, st.floats(0.01, 0.5))
def test_a_step_moves_no_more_than_the_rate_and_stays_between(
    before: Sizes, wanted: Sizes, rate: float
) -> None:
    ramp = Ramp(rate)
    ramp.jump(before)
    ramp.aim(wanted)
    steps = 0
    while not ramp.there:
        was = ramp.now
        ramp.step(1.0)
        steps += 1
        # Sizes, not shares, lie on the line: where their sums differ a step may be a little more.
        # Where nobody that is left has a share, all keys move at once: there is no rate to keep.
        if not sum(was.values()):
            continue
        total = sum(wanted.values()) / sum(was.values())
        assert moved(was, ramp.now) <= rate * max(1.0, total, 1.0 / max(total, 1e-9)) + 1e-9
        for name, size in ramp.now.items():
            low, high = sorted((was[name], wanted[name]))
            assert low - 1e-9 <= size <= high + 1e-9
        assert steps < 10_000
    assert ramp.now == wanted


def test_a_new_node_has_its_size_at_once_and_one_that_has_gone_is_forgotten() -> None:
    ramp = Ramp(0.1)
    ramp.jump({1: 1.0, 2: 1.0})
    ramp.aim({1: 0.5, 3: 2.0})
    assert ramp.now == {1: 1.0, 3: 2.0}


def test_parts_of_nothing_are_nothing() -> None:
    assert parts({1: 0.0}) == {} and moved({}, {}) == 0.0


class Told:
    """A keeper on a clock of its own, and what it tells."""

    def __init__(self) -> None:
        kernel = Kernel(1)
        self.loop = VirtualLoop(kernel)
        self.said: list[Sizes] = []
        self.events: list[str] = []
        self.keeper = PlanManager(self.loop, lambda: 7200.0, self._sizes)

    def _sizes(self, sizes: Mapping[int, float]) -> None:
        self.said.append({round(n): round(s, 4) for n, s in sizes.items()})

    def listed(self, *names: str, whole: bool = True, gone: tuple[str, ...] = ()) -> None:
        self.keeper.listed(
            whole,
            [(int(n[1:]), ListedNode(n, "a", "old" if int(n[1:]) < 5 else "fast")) for n in names],
            gone,
        )

    def passes(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))


@pytest.fixture
def told(monkeypatch: pytest.MonkeyPatch) -> Iterator[Told]:
    made = Told()
    monkeypatch.setattr("violetroute.logs.event", lambda name, **fields: made.events.append(name))
    yield made
    made.keeper.close()
    made.loop.close()


def test_at_the_start_the_plan_holds_at_once(told: Told) -> None:
    told.keeper.take(plan(n1=0.75, n2=0.25), PlacementTable())
    told.listed("n1", "n2")
    assert told.said == [{1: 1.5, 2: 0.5}]
    told.listed("n1", "n2")
    assert len(told.said) == 1  # the same again says nothing


def test_a_node_that_goes_away_changes_no_other_size(told: Told) -> None:
    told.keeper.take(plan(n1=0.75, n2=0.25), PlacementTable())
    told.listed("n1", "n2")
    told.listed(whole=False, gone=("n1",))
    assert told.said[-1] == {2: 0.5}


def test_nodes_that_are_not_named_have_what_their_like_have(told: Told) -> None:
    told.keeper.take(plan(n1=0.75, n2=0.25), PlacementTable(least_match=0.3))
    told.listed("n1", "n2", "n3", "n6")
    assert told.said == [{1: 1.5, 2: 0.5, 3: 0.2, 6: 0.6}]


def test_a_new_plan_is_reached_at_the_rate_that_is_set(told: Told) -> None:
    told.keeper.take(plan(n1=0.75, n2=0.25), PlacementTable())
    told.listed("n1", "n2")
    told.keeper.take(plan(n1=0.25, n2=0.75), PlacementTable(moved_per_s=0.1))
    assert told.said[-1] == {1: 1.5, 2: 0.5}
    told.passes(2 * STEP + 0.1)
    assert told.said[-1] == {1: 1.1, 2: 0.9}
    told.passes(3 * STEP)
    assert told.said[-1] == {1: 0.5, 2: 1.5}
    assert told.events.count("placement.reached") == 1
    assert all(
        moved(one, two) <= 0.1001 for one, two in zip(told.said, told.said[1:], strict=False)
    )


def test_a_plan_that_ends_goes_back_to_even_shares_and_then_to_none(told: Told) -> None:
    told.keeper.take(plan(n1=0.6, n2=0.4), PlacementTable())
    told.listed("n1", "n2")
    told.keeper.take(None, PlacementTable(moved_per_s=0.05))
    assert told.said[-1] == {1: 1.2, 2: 0.8}
    told.passes(5 * STEP)
    assert told.said[-2:] == [{1: 1.1, 2: 0.9}, {}]
    told.keeper.take(plan(n1=0.6, n2=0.4), PlacementTable(moved_per_s=0.05))
    assert told.said[-1] == {1: 1.0, 2: 1.0}  # and from even shares to the next
    told.passes(5 * STEP)
    assert told.said[-1] == {1: 1.2, 2: 0.8}


def test_the_plan_of_another_fleet_is_not_used(told: Told) -> None:
    told.keeper.take(Plan(1, 0.0, {"n1": 0.5, "x": 0.5}), PlacementTable())
    told.listed("n1", "n2", "n3")
    assert told.said == [] and told.events == ["placement.taken", "placement.refused"]
    told.listed("n1", "n2")  # one of two is enough
    told.passes(STEP * 60)
    assert told.events[2:] == ["placement.fits"]  # its one node has an even share already
    assert told.said[-1] == {1: 1.0}


def test_a_plan_whose_nodes_have_all_gone_is_not_used(told: Told) -> None:
    told.keeper.take(plan(n1=1.0, n2=0.0), PlacementTable())
    told.listed("n1", "n2")
    assert told.said == [{1: 1.0, 2: 0.0}]
    told.listed(whole=False, gone=("n1",))
    told.passes(STEP * 60)
    assert told.said[-1] == {} and "placement.refused" in told.events


def test_an_old_plan_is_used_and_said_to_be_old(told: Told) -> None:
    told.keeper.take(plan(n1=1.0), PlacementTable(stale_h=1.5))
    told.listed("n1")
    assert told.events == ["placement.taken", "placement.stale"] and told.said


def test_the_timer_ends_with_the_keeper(told: Told) -> None:
    told.keeper.take(plan(n1=0.75, n2=0.25), PlacementTable())
    told.listed("n1", "n2")
    told.keeper.take(plan(n1=0.25, n2=0.75), PlacementTable())
    told.keeper.close()
    count = len(told.said)
    told.passes(STEP * 5)
    assert len(told.said) == count


BAD_PLANS = {
    "{": "",
    "[]": "",
    "7": "",
    '{"limebridge_placement": 2, "made_at": 1, "nodes": {"a": 1}}': "limebridge_placement: version",
    '{"limebridge_placement": 1, "made_at": 1, "nodes": {"a": 0.4}}': "nodes: the shares add up",
    '{"limebridge_placement": 1, "made_at": 1, "nodes": {}}': "nodes: the shares add up to 0",
    '{"limebridge_placement": 1, "made_at": 1, "nodes": {"a": 1.5}}': "nodes",
    '{"limebridge_placement": 1, "made_at": 1, "nodes": {"a": NaN}}': "",
    '{"limebridge_placement": 1, "made_at": "x", "nodes": {"a": 1}}': "made_at: ",
    '{"limebridge_placement": 1, "made_at": 1, "nodes": {"a": 1}, "other": {}}': "other",
    "[" * 100_000: "",
}


@pytest.mark.parametrize("text", BAD_PLANS)
def test_what_is_no_plan_is_one_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "plan.json"
    path.write_text(text)
    with pytest.raises(ValueError, match=r"plan\.json: ") as raised:
        load_plan(str(path))
    assert BAD_PLANS[text] in str(raised.value) and "\n" not in str(raised.value)


def test_a_plan_that_is_too_large_is_not_read(tmp_path: Path) -> None:
    path = tmp_path / "plan.json"
    path.write_text(" " * (1024 * 1024 + 1))
    with pytest.raises(ValueError, match="larger than"):
        load_plan(str(path))


@contextmanager
def files(tmp_path: Path, text: str) -> Iterator[tuple[dict[str, str], Path]]:
    operator, path = tmp_path / "operator.toml", tmp_path / "plan.json"
    operator.write_text(f"[placement]\nfile = '{path}'")
    path.write_text(text)
    (tmp_path / "config.json").write_text(json.dumps(configuration(1, [])))
    yield (
        {"PROXY_CONFIG": str(tmp_path / "config.json"), "LIMEBRIDGE_OPERATOR": str(operator)},
        path,
    )


def test_a_plan_that_cannot_be_used_refuses_the_whole_configuration(tmp_path: Path) -> None:
    with files(tmp_path, "{") as (env, path):
        with pytest.raises(ConfigError, match=r"\[placement\] file: ") as raised:
            load(env)
        assert "\n" not in str(raised.value)
        path.unlink()
        with pytest.raises(ConfigError, match=r"plan\.json"):
            load(env)
        path.write_bytes(msgspec.json.encode(plan(n1=1.0)))
        assert load(env).plan == plan(n1=1.0)


def test_wrong_keys_of_the_table_are_named() -> None:
    for text, said in {
        "fil = ''": "[placement] fil: unknown key; did you mean file?",
        "moved_per_s = 0": "[placement] moved_per_s:",
        "least_match = 2": "[placement] least_match:",
    }.items():
        with pytest.raises(ConfigError) as raised:
            parse_operator(tomllib.loads(f"[placement]\n{text}"), "f")
        assert said in str(raised.value)


def test_the_daemon_follows_a_plan_and_a_reload_with_another() -> None:
    async def run() -> None:
        nodes = [CacheNode(serves) for _ in range(3)]
        async with Rig(*nodes) as rig:

            def reload(shares: dict[str, float] | None, **table: Any) -> None:
                made = None if shares is None else Plan(1, 0.0, shares)
                operator = msgspec.structs.replace(
                    rig.config.operator, placement=PlacementTable(**table)
                )
                rig.proxy.reload(replace(rig.config, plan=made, operator=operator))

            async def spread(first: int) -> list[int]:
                before = [len(node.commands) for node in nodes]
                for number in range(first, first + 60):
                    await rig.ask(get(number, b"key%d" % number))
                return [len(node.commands) - was for node, was in zip(nodes, before, strict=True)]

            await rig.watched()
            assert min(await spread(0)) > 5
            reload({"s-0": 0.0, "s-1": 1.0, "s-2": 0.0}, moved_per_s=1.0)
            await asyncio.wait_for(told(rig, {"s-0": 0.0, "s-1": 1.0, "s-2": 0.0}), 20)
            assert await spread(100) == [0, 60, 0]
            reload(None, moved_per_s=1.0)
            await asyncio.wait_for(told(rig, {}), 20)
            assert min((await spread(200))[::2]) > 5  # what s-1 had lately still counts as load

    async def told(rig: Rig, wanted: dict[str, float]) -> None:
        sizes = {stable_hash(name.encode()): size for name, size in wanted.items()}
        while rig.proxy._placement.sizes != sizes:
            await asyncio.sleep(0.02)

    asyncio.run(run())


# --- plans of several owners ---
def published(fence: int, position: int = 0, **nodes: float) -> Plan:
    return Plan(1, 0.0, nodes or {"a": 1.0}, fence=fence, position=position)


def test_a_plan_of_an_earlier_owner_is_left_alone_after_a_restart_too(tmp_path: Path) -> None:
    loop = VirtualLoop(Kernel())
    table = PlacementTable(file="-", seen=str(tmp_path / "seen"))

    def keeper() -> PlanManager:
        return PlanManager(loop, lambda: 0.0, lambda sizes: None)

    one = keeper()
    one.take(published(4, 7), table)
    for late in (published(3, 9), published(4, 6)):
        one.take(late, table)
        assert one._plan == published(4, 7)
    one.take(published(4, 8), table)
    again = keeper()
    again.take(published(4, 7), table)
    assert again._plan is None
    again.take(published(5), table)
    assert again._plan == published(5)
    again.take(plan(a=1.0), table)  # by hand: the operator's word
    assert again._plan == plan(a=1.0)
    (tmp_path / "seen").write_bytes(b"garbage")
    third = keeper()
    third.take(published(1), table)
    assert third._plan == published(1)
    loop.close()


def test_a_published_plan_is_taken_without_a_signal(tmp_path: Path) -> None:
    loop = VirtualLoop(Kernel())
    path = tmp_path / "plan.json"
    table = PlacementTable(file=str(path), every_s=1.0)
    path.write_bytes(msgspec.json.encode(published(1)))
    keeper = PlanManager(loop, lambda: 0.0, lambda sizes: None)
    keeper.take(load_plan(str(path)), table)
    path.write_bytes(msgspec.json.encode(published(2)))
    loop.run_until_complete(asyncio.sleep(1.1))
    assert keeper._plan == published(2)
    path.write_bytes(b"{")
    loop.run_until_complete(asyncio.sleep(1.1))
    path.write_bytes(msgspec.json.encode(published(1)))
    loop.run_until_complete(asyncio.sleep(1.1))
    assert keeper._plan == published(2)
    path.write_bytes(msgspec.json.encode(published(2, 5)))
    loop.run_until_complete(asyncio.sleep(1.1))
    assert keeper._plan == published(2, 5)
    keeper.close()
    loop.close()


def test_one_of_two_keepers_publishes_and_the_other_goes_on(tmp_path: Path) -> None:
    from limebridge.placement.command import EXAMPLE
    from limebridge.placement.keeping import keep

    fleet, out = tmp_path / "fleet.toml", tmp_path / "plan.json"
    fleet.write_text(EXAMPLE.read_text())
    ours = parse_operator(
        {
            "fleet": {
                "store": "folder",
                "folder": str(tmp_path / "f"),
                "term_s": 0.5,
                "look_s": 0.05,
            }
        },
        "op.toml",
    )

    async def run() -> None:
        async def until(what: Any) -> None:
            async with asyncio.timeout(30.0):
                while not what():
                    await asyncio.sleep(0.02)

        ends = [asyncio.Event(), asyncio.Event()]
        keepers = [
            asyncio.create_task(
                keep(ours, f"k{n}", fleet, out, 0.0, 0.0, 0.05, lambda why: None, ends[n])
            )
            for n in range(2)
        ]
        await until(out.exists)
        first = load_plan(str(out))
        assert first.fence == 1
        out.write_bytes(msgspec.json.encode(published(0)))  # another's copy in its place
        await until(lambda: load_plan(str(out)) == first)
        ends[0].set()  # whichever of them owns it: the other has it at last
        await keepers[0]
        ends[1].set()
        await keepers[1]
        ends.append(asyncio.Event())
        out.unlink()
        last = asyncio.create_task(
            keep(ours, "k2", fleet, out, 0.0, 0.0, 0.05, lambda why: None, ends[2])
        )
        await until(out.exists)  # a later owner goes on from the log
        assert load_plan(str(out)) == first
        ends[2].set()
        await last

    asyncio.run(run())


def test_a_plan_of_thousands_of_nodes_costs_by_its_nodes() -> None:
    """Found after incident 65d06d: each node's size summed all nodes' shares, 2 s in one turn."""

    def lines(count: int) -> int:
        names = [f"s-{number}" for number in range(count)]
        plan = Plan(1, 0.0, dict.fromkeys(names, 1.0 / count))
        listed = [ListedNode(name, "a", "m") for name in names]
        return lines_run(lambda: sizes_of(plan, listed))

    assert lines(2000) <= 15 * lines(200)
