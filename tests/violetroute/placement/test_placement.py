"""Placement plans: the file, the nodes that it fits, and the transition between plans."""

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
from tests.snowstall.test_mechanism import count_lines
from tests.support.rig import CacheNode, Rig, configuration, get, serves
from violetroute.config import ConfigError, load
from violetroute.config.operator import parse_operator
from violetroute.membership import stable_hash
from violetroute.placement import ListedNode, PlacementTable, Plan, PlanManager, Ramp, load_plan
from violetroute.placement.plan import sizes as sizes_of
from violetroute.placement.plan_manager import STEP_INTERVAL
from violetroute.placement.ramp import moved_fraction, normalized

Sizes = dict[int, float]
SIZES = st.dictionaries(st.integers(1, 6), st.floats(0.0, 4.0), min_size=1, max_size=6).filter(
    lambda sizes: sum(sizes.values()) > 0.1
)


def plan(**nodes: float) -> Plan:
    return Plan(1, 0.0, nodes, {"a/old": 0.1, "fast": 0.3})


@given(SIZES, SIZES, st.floats(0.01, 0.5))
def test_a_step_moves_no_more_than_the_rate_and_stays_between_both_plans(
    before: Sizes, target: Sizes, rate: float
) -> None:
    ramp = Ramp(rate)
    ramp.jump_to(before)
    ramp.set_target(target)
    steps = 0
    while not ramp.finished:
        before_step = ramp.current
        ramp.step(1.0)
        steps += 1
        # Sizes, not shares, are interpolated: if their sums differ, a step may move a little more.
        # If no remaining node has a share, all keys move at once and the rate does not apply.
        if not sum(before_step.values()):
            continue
        total = sum(target.values()) / sum(before_step.values())
        assert (
            moved_fraction(before_step, ramp.current)
            <= rate * max(1.0, total, 1.0 / max(total, 1e-9)) + 1e-9
        )
        for name, size in ramp.current.items():
            low, high = sorted((before_step[name], target[name]))
            assert low - 1e-9 <= size <= high + 1e-9
        assert steps < 10_000
    assert ramp.current == target


def test_a_new_node_has_its_size_at_once_and_one_that_has_gone_is_forgotten() -> None:
    ramp = Ramp(0.1)
    ramp.jump_to({1: 1.0, 2: 1.0})
    ramp.set_target({1: 0.5, 3: 2.0})
    assert ramp.current == {1: 1.0, 3: 2.0}


def test_normalizing_zero_sizes_gives_no_shares() -> None:
    assert normalized({1: 0.0}) == {} and moved_fraction({}, {}) == 0.0


class ManagedPlan:
    """A plan manager on a virtual clock, with the sizes and log events that it reports."""

    def __init__(self) -> None:
        kernel = Kernel(1)
        self.loop = VirtualLoop(kernel)
        self.reported: list[Sizes] = []
        self.events: list[str] = []
        self.manager = PlanManager(self.loop, lambda: 7200.0, self._sizes)

    def _sizes(self, sizes: Mapping[int, float]) -> None:
        self.reported.append({round(n): round(s, 4) for n, s in sizes.items()})

    def update_nodes(self, *names: str, whole: bool = True, gone: tuple[str, ...] = ()) -> None:
        self.manager.update_nodes(
            whole,
            [(int(n[1:]), ListedNode(n, "a", "old" if int(n[1:]) < 5 else "fast")) for n in names],
            gone,
        )

    def passes(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))


@pytest.fixture
def managed(monkeypatch: pytest.MonkeyPatch) -> Iterator[ManagedPlan]:
    new = ManagedPlan()
    monkeypatch.setattr("violetroute.logs.event", lambda name, **fields: new.events.append(name))
    yield new
    new.manager.close()
    new.loop.close()


def test_the_first_plan_is_in_force_at_once(managed: ManagedPlan) -> None:
    managed.manager.set_plan(plan(n1=0.75, n2=0.25), PlacementTable())
    managed.update_nodes("n1", "n2")
    assert managed.reported == [{1: 1.5, 2: 0.5}]
    managed.update_nodes("n1", "n2")
    assert len(managed.reported) == 1  # the same sizes are not reported again


def test_a_node_that_goes_away_changes_no_other_size(managed: ManagedPlan) -> None:
    managed.manager.set_plan(plan(n1=0.75, n2=0.25), PlacementTable())
    managed.update_nodes("n1", "n2")
    managed.update_nodes(whole=False, gone=("n1",))
    assert managed.reported[-1] == {2: 0.5}


def test_unnamed_nodes_get_the_share_of_their_site_and_kind(managed: ManagedPlan) -> None:
    managed.manager.set_plan(plan(n1=0.75, n2=0.25), PlacementTable(least_match=0.3))
    managed.update_nodes("n1", "n2", "n3", "n6")
    assert managed.reported == [{1: 1.5, 2: 0.5, 3: 0.2, 6: 0.6}]


def test_a_new_plan_is_reached_at_the_rate_that_is_set(managed: ManagedPlan) -> None:
    managed.manager.set_plan(plan(n1=0.75, n2=0.25), PlacementTable())
    managed.update_nodes("n1", "n2")
    managed.manager.set_plan(plan(n1=0.25, n2=0.75), PlacementTable(moved_per_s=0.1))
    assert managed.reported[-1] == {1: 1.5, 2: 0.5}
    managed.passes(2 * STEP_INTERVAL + 0.1)
    assert managed.reported[-1] == {1: 1.1, 2: 0.9}
    managed.passes(3 * STEP_INTERVAL)
    assert managed.reported[-1] == {1: 0.5, 2: 1.5}
    assert managed.events.count("placement.reached") == 1
    assert all(
        moved_fraction(one, two) <= 0.1001
        for one, two in zip(managed.reported, managed.reported[1:], strict=False)
    )


def test_a_plan_that_ends_goes_back_to_even_shares_and_then_to_none(managed: ManagedPlan) -> None:
    managed.manager.set_plan(plan(n1=0.6, n2=0.4), PlacementTable())
    managed.update_nodes("n1", "n2")
    managed.manager.set_plan(None, PlacementTable(moved_per_s=0.05))
    assert managed.reported[-1] == {1: 1.2, 2: 0.8}
    managed.passes(5 * STEP_INTERVAL)
    assert managed.reported[-2:] == [{1: 1.1, 2: 0.9}, {}]
    managed.manager.set_plan(plan(n1=0.6, n2=0.4), PlacementTable(moved_per_s=0.05))
    # The transition goes from even shares to the next plan.
    assert managed.reported[-1] == {1: 1.0, 2: 1.0}
    managed.passes(5 * STEP_INTERVAL)
    assert managed.reported[-1] == {1: 1.2, 2: 0.8}


def test_the_plan_of_another_fleet_is_not_used(managed: ManagedPlan) -> None:
    managed.manager.set_plan(Plan(1, 0.0, {"n1": 0.5, "x": 0.5}), PlacementTable())
    managed.update_nodes("n1", "n2", "n3")
    assert managed.reported == [] and managed.events == ["placement.taken", "placement.refused"]
    managed.update_nodes("n1", "n2")  # covering one of two nodes is enough
    managed.passes(STEP_INTERVAL * 60)
    assert managed.events[2:] == ["placement.fits"]  # the plan's one node already has an even share
    assert managed.reported[-1] == {1: 1.0}


def test_a_plan_whose_nodes_have_all_gone_is_not_used(managed: ManagedPlan) -> None:
    managed.manager.set_plan(plan(n1=1.0, n2=0.0), PlacementTable())
    managed.update_nodes("n1", "n2")
    assert managed.reported == [{1: 1.0, 2: 0.0}]
    managed.update_nodes(whole=False, gone=("n1",))
    managed.passes(STEP_INTERVAL * 60)
    assert managed.reported[-1] == {} and "placement.refused" in managed.events


def test_an_old_plan_is_used_and_logged_as_stale(managed: ManagedPlan) -> None:
    managed.manager.set_plan(plan(n1=1.0), PlacementTable(stale_h=1.5))
    managed.update_nodes("n1")
    assert managed.events == ["placement.taken", "placement.stale"] and managed.reported


def test_close_cancels_the_timers(managed: ManagedPlan) -> None:
    managed.manager.set_plan(plan(n1=0.75, n2=0.25), PlacementTable())
    managed.update_nodes("n1", "n2")
    managed.manager.set_plan(plan(n1=0.25, n2=0.75), PlacementTable())
    managed.manager.close()
    count = len(managed.reported)
    managed.passes(STEP_INTERVAL * 5)
    assert len(managed.reported) == count


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
def test_an_invalid_plan_is_reported_in_one_line(tmp_path: Path, text: str) -> None:
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


def test_an_invalid_plan_rejects_the_whole_configuration(tmp_path: Path) -> None:
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
    for text, expected in {
        "fil = ''": "[placement] fil: unknown key; did you mean file?",
        "moved_per_s = 0": "[placement] moved_per_s:",
        "least_match = 2": "[placement] least_match:",
    }.items():
        with pytest.raises(ConfigError) as raised:
            parse_operator(tomllib.loads(f"[placement]\n{text}"), "f")
        assert expected in str(raised.value)


def test_the_daemon_follows_a_plan_and_a_reload_with_another() -> None:
    async def run() -> None:
        nodes = [CacheNode(serves) for _ in range(3)]
        async with Rig(*nodes) as rig:

            def reload(shares: dict[str, float] | None, **table: Any) -> None:
                new = None if shares is None else Plan(1, 0.0, shares)
                operator = msgspec.structs.replace(
                    rig.config.operator, placement=PlacementTable(**table)
                )
                rig.proxy.reload(replace(rig.config, plan=new, operator=operator))

            async def spread(first: int) -> list[int]:
                before = [len(node.commands) for node in nodes]
                for number in range(first, first + 300):
                    await rig.request(get(number, b"key%d" % number))
                return [
                    len(node.commands) - count for node, count in zip(nodes, before, strict=True)
                ]

            await rig.wait_for_watch()
            assert min(await spread(0)) > 25
            reload({"s-0": 0.0, "s-1": 1.0, "s-2": 0.0}, moved_per_s=1.0)
            await asyncio.wait_for(wait_for_sizes(rig, {"s-0": 0.0, "s-1": 1.0, "s-2": 0.0}), 20)
            assert await spread(300) == [0, 300, 0]
            reload(None, moved_per_s=1.0)
            await asyncio.wait_for(wait_for_sizes(rig, {}), 20)
            # s-1 is not checked, since its recent requests still count as load.
            assert min((await spread(600))[::2]) > 25

    async def wait_for_sizes(rig: Rig, target: dict[str, float]) -> None:
        sizes = {stable_hash(name.encode()): size for name, size in target.items()}
        while rig.proxy._placement.sizes != sizes:
            await asyncio.sleep(0.02)

    asyncio.run(run())


# --- plans of several owners ---
def published(fence: int, position: int = 0, **nodes: float) -> Plan:
    return Plan(1, 0.0, nodes or {"a": 1.0}, fence=fence, position=position)


def test_a_plan_of_an_earlier_owner_is_ignored_also_after_a_restart(tmp_path: Path) -> None:
    loop = VirtualLoop(Kernel())
    table = PlacementTable(file="-", seen=str(tmp_path / "seen"))

    def manager() -> PlanManager:
        return PlanManager(loop, lambda: 0.0, lambda sizes: None)

    one = manager()
    one.set_plan(published(4, 7), table)
    for late in (published(3, 9), published(4, 6)):
        one.set_plan(late, table)
        assert one._plan == published(4, 7)
    one.set_plan(published(4, 8), table)
    again = manager()
    again.set_plan(published(4, 7), table)
    assert again._plan is None
    again.set_plan(published(5), table)
    assert again._plan == published(5)
    again.set_plan(plan(a=1.0), table)  # made by hand: always accepted
    assert again._plan == plan(a=1.0)
    (tmp_path / "seen").write_bytes(b"garbage")
    third = manager()
    third.set_plan(published(1), table)
    assert third._plan == published(1)
    loop.close()


def test_a_published_plan_is_loaded_without_a_signal(tmp_path: Path) -> None:
    loop = VirtualLoop(Kernel())
    path = tmp_path / "plan.json"
    table = PlacementTable(file=str(path), every_s=1.0)
    path.write_bytes(msgspec.json.encode(published(1)))
    manager = PlanManager(loop, lambda: 0.0, lambda sizes: None)
    manager.set_plan(load_plan(str(path)), table)
    path.write_bytes(msgspec.json.encode(published(2)))
    loop.run_until_complete(asyncio.sleep(1.1))
    assert manager._plan == published(2)
    path.write_bytes(b"{")
    loop.run_until_complete(asyncio.sleep(1.1))
    path.write_bytes(msgspec.json.encode(published(1)))
    loop.run_until_complete(asyncio.sleep(1.1))
    assert manager._plan == published(2)
    path.write_bytes(msgspec.json.encode(published(2, 5)))
    loop.run_until_complete(asyncio.sleep(1.1))
    assert manager._plan == published(2, 5)
    manager.close()
    loop.close()


def test_one_of_two_planners_publishes_and_the_other_takes_over(tmp_path: Path) -> None:
    from limebridge.placement.command import EXAMPLE
    from limebridge.placement.publisher import run_publisher

    fleet, out = tmp_path / "fleet.toml", tmp_path / "plan.json"
    fleet.write_text(EXAMPLE.read_text())
    ours = parse_operator(
        {
            "fleet": {
                "store": "folder",
                "folder": str(tmp_path / "f"),
                "term_s": 3.0,  # beside other work a planner may get no CPU for 0.5 s
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
                run_publisher(ours, f"k{n}", fleet, out, 0.0, 0.0, 0.05, lambda why: None, ends[n])
            )
            for n in range(2)
        ]
        await until(out.exists)
        first = load_plan(str(out))
        assert first.fence == 1
        out.write_bytes(msgspec.json.encode(published(0)))  # replaced by another plan
        await until(lambda: load_plan(str(out)) == first)
        ends[0].set()  # either planner may be the owner; the other one takes over
        await keepers[0]
        ends[1].set()
        await keepers[1]
        ends.append(asyncio.Event())
        out.unlink()
        last = asyncio.create_task(
            run_publisher(ours, "k2", fleet, out, 0.0, 0.0, 0.05, lambda why: None, ends[2])
        )
        await until(out.exists)  # a later owner continues from the log
        assert load_plan(str(out)) == first
        ends[2].set()
        await last

    asyncio.run(run())


def test_the_cost_of_sizes_is_linear_in_the_nodes() -> None:
    """Incident 65d06d: the size of each node summed the shares of all nodes, 2 s in one turn."""

    def lines(count: int) -> int:
        names = [f"s-{number}" for number in range(count)]
        plan = Plan(1, 0.0, dict.fromkeys(names, 1.0 / count))
        nodes = [ListedNode(name, "a", "m") for name in names]
        return count_lines(lambda: sizes_of(plan, nodes))

    assert lines(2000) <= 15 * lines(200)
