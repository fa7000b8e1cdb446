"""What a plan's faults do to the simulated world, and how everything is healed."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

from .network import Link
from .plan import Fault
from .publisher import NAME as CALLER

if TYPE_CHECKING:
    from .control import ControlProcess
    from .proxy import ProxyProcess
    from .world import World

RESTART_S = 0.2  # until a process that was killed as part of a heal runs again


class Faults:
    """Applies faults and undoes them."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._undo: dict[int, Callable[[], None]] = {}
        self._last = 0

    def event(self, fault: Fault) -> Callable[[], None]:
        """The fault as an event: it is applied, and undone after its time."""
        return lambda: self._apply(fault)

    def heal(self) -> None:
        """Undo everything at once."""
        for undo in list(self._undo.values()):
            undo()

    def _apply(self, fault: Fault) -> None:
        world = self._world
        control = world.controls[fault.who % len(world.controls)]
        proxy = world.proxies[fault.who % world.plan.proxies]  # no twin
        world.note(f"{fault.kind} {fault.who} for {fault.seconds}")
        match fault.kind:
            case "kill" | "lose_disk" | "pause" | "pause_reset":
                self._machine(fault, control)
            case "kill_proxy" | "end_proxy" | "pause_proxy":
                self._proxy(fault, proxy)
            case "twin_proxy":
                self._later(fault, world.start_duplicate(proxy))
            case "cut" | "cut_out" | "cut_in" | "cut_proxy" | "split" | "split_out" | "split_in":
                self._links(fault, control, proxy)
            case "loss" | "storm":
                setattr(world.network, fault.kind, True)
                self._later(fault, lambda: setattr(world.network, fault.kind, False))
            case _:
                self._others(fault)

    def _later(self, fault: Fault, undo: Callable[[], None]) -> None:
        self._last += 1
        number = self._last

        def once() -> None:
            if self._undo.pop(number, None) is not None:
                undo()

        self._undo[number] = once
        self._world.simulation.after(fault.seconds, once)

    # --- processes ---
    def _machine(self, fault: Fault, control: ControlProcess) -> None:
        if fault.kind in ("pause", "pause_reset"):
            if control.up:
                if fault.kind == "pause_reset":
                    control.reset_connections()
                control.pause()
                self._later(fault, control.resume)
            return
        if not control.up:
            return
        if fault.kind == "lose_disk" and self._may_lose_disk(control):
            control.lose_disk()
        else:
            control.kill()
        self._later(fault, control.start)

    def _may_lose_disk(self, control: ControlProcess) -> bool:
        """Only a minority may be lost at a time: so long another machine recovers, none more."""
        controls = self._world.controls
        recovering = sum(each.disk.state.recovering for each in controls if each is not control)
        return recovering + 1 <= (len(controls) - 1) // 2

    def _proxy(self, fault: Fault, proxy: ProxyProcess) -> None:
        if not proxy.up:
            return
        if fault.kind == "kill_proxy":
            proxy.kill()
            self._later(fault, proxy.start)
        elif fault.kind == "end_proxy":
            proxy.deliver(proxy.leave)
            incarnation_number = proxy.incarnation_number
            self._later(fault, lambda: proxy.replace(incarnation_number))
        else:
            proxy.pause()
            self._later(fault, proxy.resume)

    # --- links ---
    def _links(self, fault: Fault, control: ControlProcess, proxy: ProxyProcess) -> None:
        world = self._world
        away = self._away(fault, control, proxy)
        names = {each.name for each in (*world.controls, *world.proxies)} | {CALLER}
        links: list[Link] = []
        for inside, outside in itertools.product(sorted(away), sorted(names - away)):
            if not fault.kind.endswith("_in"):
                links.append((inside, outside))
            if not fault.kind.endswith("_out"):
                links.append((outside, inside))
        machines = {each.name for each in world.controls}
        lost = (away if 2 * len(away & machines) <= len(machines) else names - away) & machines
        lost -= world.lease.unreachable
        world.network.cut(links)
        world.lease.unreachable |= lost

        def undo() -> None:
            world.network.restore(links)
            world.lease.unreachable -= lost

        self._later(fault, undo)

    def _away(self, fault: Fault, control: ControlProcess, proxy: ProxyProcess) -> set[str]:
        """The names on the one side of the cut."""
        world = self._world
        if fault.kind == "cut_proxy":
            return {proxy.name}
        if not fault.kind.startswith("split"):
            return {control.name}
        count = 1 + fault.who % max(1, len(world.controls) - 1)
        machines = {each.name for each in world.controls[:count]}
        return machines | {each.name for each in world.proxies[::2]}

    # --- the lease and the callers ---
    def _others(self, fault: Fault) -> None:
        lease = self._world.lease
        match fault.kind:
            case "second_leader":
                lease.transfer(notify_after_s=fault.seconds)
            case "no_leader":
                lease.closed = True
                self._later(fault, lambda: setattr(lease, "closed", False))
            case "forget_fences":
                lease.forget()
            case "burst":
                self._world.publisher.burst()
