"""Applies the faults of a plan to the simulated world, and undoes them."""

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

RESTART_S = 0.2  # restart delay of a process that was killed while faults are undone; unused


class Faults:
    """Applies faults to `world`, and undoes each after its duration."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._undo: dict[int, Callable[[], None]] = {}
        self._last_number = 0

    def event(self, fault: Fault) -> Callable[[], None]:
        """Returns an event that applies the fault and schedules that it is undone."""
        return lambda: self._apply(fault)

    def heal(self) -> None:
        """Undoes all faults now."""
        for undo in list(self._undo.values()):
            undo()

    def _apply(self, fault: Fault) -> None:
        world = self._world
        control = world.controls[fault.who % len(world.controls)]
        proxy = world.proxies[fault.who % world.plan.proxies]  # duplicates come later
        world.note(f"{fault.kind} {fault.who} for {fault.seconds}")
        match fault.kind:
            case "kill" | "lose_disk" | "pause" | "pause_reset":
                self._apply_to_machine(fault, control)
            case "kill_proxy" | "end_proxy" | "pause_proxy":
                self._apply_to_proxy(fault, proxy)
            case "twin_proxy":
                self._schedule_undo(fault, world.start_duplicate(proxy))
            case "cut" | "cut_out" | "cut_in" | "cut_proxy" | "split" | "split_out" | "split_in":
                self._apply_to_links(fault, control, proxy)
            case "loss" | "storm":
                setattr(world.network, fault.kind, True)
                self._schedule_undo(fault, lambda: setattr(world.network, fault.kind, False))
            case _:
                self._apply_to_lease_or_publisher(fault)

    def _schedule_undo(self, fault: Fault, undo: Callable[[], None]) -> None:
        self._last_number += 1
        number = self._last_number

        def undo_once() -> None:
            if self._undo.pop(number, None) is not None:
                undo()

        self._undo[number] = undo_once
        self._world.simulation.schedule_after(fault.seconds, undo_once)

    # --- processes ---
    def _apply_to_machine(self, fault: Fault, control: ControlProcess) -> None:
        if fault.kind in ("pause", "pause_reset"):
            if control.up:
                if fault.kind == "pause_reset":
                    control.reset_connections()
                control.pause()
                self._schedule_undo(fault, control.resume)
            return
        if not control.up:
            return
        if fault.kind == "lose_disk" and self._can_lose_disk(control):
            control.lose_disk()
        else:
            control.kill()
        self._schedule_undo(fault, control.start)

    def _can_lose_disk(self, control: ControlProcess) -> bool:
        """Whether the recovering machines would still be a minority if this one lost its disk."""
        controls = self._world.controls
        recovering = sum(
            process.disk.state.recovering for process in controls if process is not control
        )
        return recovering + 1 <= (len(controls) - 1) // 2

    def _apply_to_proxy(self, fault: Fault, proxy: ProxyProcess) -> None:
        if not proxy.up:
            return
        if fault.kind == "kill_proxy":
            proxy.kill()
            self._schedule_undo(fault, proxy.start)
        elif fault.kind == "end_proxy":
            proxy.deliver(proxy.leave)
            incarnation_number = proxy.incarnation_number
            self._schedule_undo(fault, lambda: proxy.replace(incarnation_number))
        else:
            proxy.pause()
            self._schedule_undo(fault, proxy.resume)

    # --- links ---
    def _apply_to_links(self, fault: Fault, control: ControlProcess, proxy: ProxyProcess) -> None:
        world = self._world
        isolated = self._isolated_names(fault, control, proxy)
        names = {process.name for process in (*world.controls, *world.proxies)} | {CALLER}
        links: list[Link] = []
        for isolated_name, other_name in itertools.product(
            sorted(isolated), sorted(names - isolated)
        ):
            if not fault.kind.endswith("_in"):
                links.append((isolated_name, other_name))
            if not fault.kind.endswith("_out"):
                links.append((other_name, isolated_name))
        machines = {process.name for process in world.controls}
        # The isolated machines cannot reach the lease store, unless they are the majority: then the
        # others cannot.
        cut_from_lease = (
            isolated if 2 * len(isolated & machines) <= len(machines) else names - isolated
        ) & machines
        cut_from_lease -= world.lease.unreachable
        world.network.cut(links)
        world.lease.unreachable |= cut_from_lease

        def undo() -> None:
            world.network.restore(links)
            world.lease.unreachable -= cut_from_lease

        self._schedule_undo(fault, undo)

    def _isolated_names(
        self, fault: Fault, control: ControlProcess, proxy: ProxyProcess
    ) -> set[str]:
        """The names of the processes on the isolated side of the cut."""
        world = self._world
        if fault.kind == "cut_proxy":
            return {proxy.name}
        if not fault.kind.startswith("split"):
            return {control.name}
        count = 1 + fault.who % max(1, len(world.controls) - 1)
        machines = {process.name for process in world.controls[:count]}
        return machines | {process.name for process in world.proxies[::2]}

    # --- lease and publisher ---
    def _apply_to_lease_or_publisher(self, fault: Fault) -> None:
        lease = self._world.lease
        match fault.kind:
            case "second_leader":
                lease.transfer(notify_after_s=fault.seconds)
            case "no_leader":
                lease.suspended = True
                self._schedule_undo(fault, lambda: setattr(lease, "suspended", False))
            case "forget_fences":
                lease.reset_fences()
            case "burst":
                self._world.publisher.burst()
