"""A simulated world of control machines and proxies; one plan, exact from its seed.

The deciding code is the real one (`Machine`, `Subscriber`).  Simulated are the clocks, which run at
rates of their own within the stated drift, the network, the disks, the lease and the callers that
publish.  A judge sees what callers, leaders and proxies say, and an observer asks all of them many
times a second without disturbing anything.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from hashlib import blake2b

from violetroute.distribution.actions import MachineSettings
from violetroute.distribution.control_choice import ControlEndpoint, SubscriberSettings
from violetroute.distribution.messages import StatusReply

from .checker import LogEntry, Rule, RuleChecker
from .control import ControlProcess
from .faults import Faults
from .lease import LeaseStore
from .network import Network
from .plan import Plan
from .processes import ProcessClock
from .proxy import ProxyProcess
from .publisher import Publisher
from .simulation import Simulation

DRIFT = 0.05
LOG = "log-1"
LOOK_S = 0.05  # between two looks at everything
WALL_ERRORS_S = (0.0, 600.0)  # by which wall clocks are wrong at most, one of them a run
RETAIN_EVERY_S = 0.7
HEAL_WITHIN_S = 25.0  # after the last fault everything goes on within this time
REGIONS = ("north", "south", "west")
NOTES_AT_MOST = 20_000


class World:
    """One run of a plan."""

    log = LOG

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.simulation = Simulation()
        self.checker = RuleChecker(plan.stale_after_s, DRIFT)
        self.notes: list[tuple[float, str]] = []
        self._digest = blake2b(digest_size=8)
        self._rng = random.Random(f"world/{plan.seed}")
        self.network = Network(self.simulation, random.Random(f"network/{plan.seed}"))
        names = tuple(f"m{number}" for number in range(plan.machines))
        wall_error_s = self._rng.choice(WALL_ERRORS_S)
        self._unix_offsets = {name: self._rng.uniform(-1, 1) * wall_error_s for name in names}
        self.controls = [
            ControlProcess(self, self._settings(n, names), self._clock(1.0 + DRIFT)) for n in names
        ]
        self.proxies = [self._proxy(number, names) for number in range(plan.proxies)]
        self.network.endpoints.update({each.name: each for each in self.controls})
        self.lease = LeaseStore(self.simulation, random.Random(f"lease/{plan.seed}"), self.controls)
        self.publisher = Publisher(self)
        self.faults = Faults(self)
        self.healed_after_s = 0.0
        self._twins = 0

    def _settings(self, name: str, names: tuple[str, ...]) -> MachineSettings:
        return MachineSettings(
            name,
            names,
            batch_s=0.05,
            hold_s=0.2,
            retry_s=0.1,
            timeout_s=0.6,
            release_lease_after_s=2.0,
            stale_after_s=self.plan.stale_after_s,
            drift=DRIFT,
            keep_s=self.plan.keep_s,
            retention_interval_s=RETAIN_EVERY_S,
            poll_hold_s=0.2,
            spread_s=0.05,
            report_s=0.05,
            heartbeat_s=0.2,
        )

    def _proxy(self, number: int, names: tuple[str, ...]) -> ProxyProcess:
        controls = tuple(
            ControlEndpoint(name, REGIONS[place % len(REGIONS)]) for place, name in enumerate(names)
        )
        settings = SubscriberSettings(
            f"p{number}",
            REGIONS[number % len(REGIONS)],
            controls,
            self.plan.stale_after_s,
            DRIFT,
            timeout_s=0.6,
            hold_s=0.2,
        )
        return ProxyProcess(self, settings, self._clock(1.0 - DRIFT))

    def start_duplicate(self, proxy: ProxyProcess) -> Callable[[], None]:
        """A second process of this proxy's name; what ends it."""
        self._twins += 1
        process = f"{proxy.name}-twin{self._twins}"
        twin = ProxyProcess(self, proxy.settings, self._clock(1.0 - DRIFT), process)
        self.proxies.append(twin)
        twin.start()

        def end() -> None:
            twin.kill()
            self.proxies.remove(twin)

        return end

    def _clock(self, rate_apart: float) -> ProcessClock:
        """Half of the clocks are as slow or as fast as they may be; all, where the plan says so."""
        between = self._rng.uniform(1.0 - DRIFT, 1.0 + DRIFT)
        rate = self._rng.choice((1.0 - DRIFT, 1.0 + DRIFT, between, between))
        if self.plan.clocks == "apart":
            rate = rate_apart
        return ProcessClock(self._rng.uniform(0.0, 1e5), rate)

    def unix_offset(self, name: str) -> float:
        """Unix time at this instant, as wrong as this machine's wall clock is."""
        return 1.7e9 + self.simulation.now + self._unix_offsets[name]

    # --- one run ---
    def run(self) -> None:
        """Faults, healing, and the judgement of the end."""
        for process in (*self.controls, *self.proxies):
            process.start()
        self.lease.start()
        self.publisher.start()
        self._look()
        for fault in self.plan.fault:
            self.simulation.at(fault.at, self.faults.event(fault))
        self.simulation.run_until(self.plan.seconds)
        self.faults.heal()
        self.note("healed")
        self.publisher.publish_last()
        healed_at = self.simulation.now
        self.simulation.run_until(healed_at + HEAL_WITHIN_S, lambda: not self._missing())
        self.healed_after_s = self.simulation.now - healed_at
        if missing := self._missing():
            self.checker.report_violation(
                Rule.PROGRESS, f"{HEAL_WITHIN_S:g} s after the healing: {missing}"
            )
        self._look_once()
        fresh = [(each.name, each.incarnation) for each in self.proxies if each.fresh()]
        self.checker.finish(self.publisher.last_position, fresh)

    def _missing(self) -> str:
        """What has not gone on yet; "" once everything has."""
        last = self.publisher.last_position
        if not last:
            return "the last publication is not committed"
        for proxy in self.proxies:
            if not proxy.fresh() or proxy.position < last:
                return f"{proxy.name} is at {proxy.position} of {last}, fresh: {proxy.fresh()}"
        if self.checker.in_force < last:
            return f"in force is {self.checker.in_force} of {last}"
        for control in self.controls:
            if control.disk.state.recovering:
                return f"{control.name} still recovers"
        return ""

    # --- what is seen ---
    def _look(self) -> None:
        self._look_once()
        self.simulation.after(LOOK_S, self._look)

    def _look_once(self) -> None:
        now = self.simulation.now
        for control in self.controls:
            status = control.status()
            if status is not None and status.leader == control.name:
                self._leader_seen(control, status)
            if grown := control.too_much(len(self.proxies) + len(self.controls)):
                self.checker.report_violation(Rule.BOUNDED, f"at {now:.3f} {grown}")
        for proxy in self.proxies:
            if proxy.up:
                self.checker.proxy_observed(
                    now, proxy.name, proxy.incarnation, proxy.fresh(), proxy.position
                )

    def _leader_seen(self, control: ControlProcess, status: StatusReply) -> None:
        now, state = self.simulation.now, control.disk.state
        own = state.entry_at(status.commit)
        if own is not None and own.fence == status.fence:
            self.checker.commit_observed(now, status.commit)
            self.checker.leader_observed(
                now, control.name, status.fence, status.commit, state.entry_at
            )
        if status.in_force > self.checker.in_force:
            self.note(f"  {control.name} of fence {status.fence}: {status.in_force} is in force")
            self.checker.in_force_reported(now, status.in_force)

    def applied(self, proxy: ProxyProcess, content: LogEntry) -> None:
        """A proxy has applied a batch."""
        keys = " ".join(content.keys)
        self.note(f"  {proxy.name} applies {content.position} of fence {content.fence} {keys}")
        self.checker.batch_applied(self.simulation.now, proxy.name, proxy.incarnation, content)

    def voided(self, proxy: ProxyProcess, base: int) -> None:
        """A proxy has voided everything."""
        self.note(f"  {proxy.name} voids everything and goes on behind {base}")
        self.checker.all_invalidated(self.simulation.now, proxy.name, proxy.incarnation, base)

    def note(self, what: str) -> None:
        """A line of the story, which is digested too."""
        self._digest.update(f"{self.simulation.now:.6f} {what}\n".encode())
        if len(self.notes) < NOTES_AT_MOST:
            self.notes.append((self.simulation.now, what))

    @property
    def digest(self) -> str:
        """Of everything that was noted."""
        return self._digest.hexdigest()
