"""A simulated world of control machines and proxies, which runs one plan reproducibly.

The decisions are made by the real code (`Machine`, `Subscriber`).  The clocks, which run at their
own rates within the stated drift, the network, the disks, the lease and the publishing clients are
simulated.  A rule checker gets the replies to publications and what leaders and proxies report.
The machines and proxies are queried many times a second, which does not disturb the run.
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
OBSERVE_INTERVAL_S = 0.05
MAX_WALL_CLOCK_ERRORS_S = (0.0, 600.0)  # a run draws one of them as bound on wall clock errors
RETENTION_INTERVAL_S = 0.7
HEAL_TIMEOUT_S = 25.0  # s for recovery after all faults were undone
REGIONS = ("north", "south", "west")
MAX_NOTES = 20_000


class World:
    """One run of a plan.

    `notes` are the lines of its trace with their times, `healed_after_s` the time from the undoing
    of all faults until everything had caught up.
    """

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
        max_wall_clock_error_s = self._rng.choice(MAX_WALL_CLOCK_ERRORS_S)
        self._unix_offsets = {
            name: self._rng.uniform(-1, 1) * max_wall_clock_error_s for name in names
        }
        self.controls = [
            ControlProcess(self, self._settings(n, names), self._clock(1.0 + DRIFT)) for n in names
        ]
        self.proxies = [self._proxy(number, names) for number in range(plan.proxies)]
        self.network.endpoints.update({process.name: process for process in self.controls})
        self.lease = LeaseStore(self.simulation, random.Random(f"lease/{plan.seed}"), self.controls)
        self.publisher = Publisher(self)
        self.faults = Faults(self)
        self.healed_after_s = 0.0
        self._duplicate_count = 0

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
            retention_interval_s=RETENTION_INTERVAL_S,
            poll_hold_s=0.2,
            spread_s=0.05,
            report_s=0.05,
            heartbeat_s=0.2,
        )

    def _proxy(self, number: int, names: tuple[str, ...]) -> ProxyProcess:
        controls = tuple(
            ControlEndpoint(name, REGIONS[index % len(REGIONS)]) for index, name in enumerate(names)
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
        """Starts a second process with this proxy's name; returns a function that ends it."""
        self._duplicate_count += 1
        process = f"{proxy.name}-twin{self._duplicate_count}"
        duplicate = ProxyProcess(self, proxy.settings, self._clock(1.0 - DRIFT), process)
        self.proxies.append(duplicate)
        duplicate.start()

        def end() -> None:
            duplicate.kill()
            self.proxies.remove(duplicate)

        return end

    def _clock(self, extreme_rate: float) -> ProcessClock:
        """A clock within the drift: half of the clocks run at one of its limits.

        If the plan's clocks are "apart", all run at `extreme_rate`.
        """
        random_rate = self._rng.uniform(1.0 - DRIFT, 1.0 + DRIFT)
        rate = self._rng.choice((1.0 - DRIFT, 1.0 + DRIFT, random_rate, random_rate))
        if self.plan.clocks == "apart":
            rate = extreme_rate
        return ProcessClock(self._rng.uniform(0.0, 1e5), rate)

    def unix_offset(self, name: str) -> float:
        """Unix time now by this machine's wall clock, which has a constant error in each run."""
        return 1.7e9 + self.simulation.now + self._unix_offsets[name]

    # --- one run ---
    def run(self) -> None:
        """Runs the faults, undoes them, waits for recovery and checks the final state."""
        for process in (*self.controls, *self.proxies):
            process.start()
        self.lease.start()
        self.publisher.start()
        self._observe_periodically()
        for fault in self.plan.fault:
            self.simulation.schedule_at(fault.at, self.faults.event(fault))
        self.simulation.run_until(self.plan.seconds)
        self.faults.heal()
        self.note("healed")
        self.publisher.publish_last()
        healed_at = self.simulation.now
        self.simulation.run_until(healed_at + HEAL_TIMEOUT_S, lambda: not self._unmet_goal())
        self.healed_after_s = self.simulation.now - healed_at
        if unmet_goal := self._unmet_goal():
            self.checker.report_violation(
                Rule.PROGRESS, f"no recovery within {HEAL_TIMEOUT_S:g} s: {unmet_goal}"
            )
        self._observe()
        fresh = [(proxy.name, proxy.incarnation) for proxy in self.proxies if proxy.fresh()]
        self.checker.finish(self.publisher.last_position, fresh)

    def _unmet_goal(self) -> str:
        """The first condition of recovery that is not met yet; "" once all are."""
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

    # --- observations ---
    def _observe_periodically(self) -> None:
        self._observe()
        self.simulation.schedule_after(OBSERVE_INTERVAL_S, self._observe_periodically)

    def _observe(self) -> None:
        now = self.simulation.now
        for control in self.controls:
            status = control.status()
            if status is not None and status.leader == control.name:
                self._observe_leader(control, status)
            if exceeded := control.exceeded_limit(len(self.proxies) + len(self.controls)):
                self.checker.report_violation(Rule.BOUNDED, f"at {now:.3f} {exceeded}")
        for proxy in self.proxies:
            if proxy.up:
                self.checker.proxy_observed(
                    now, proxy.name, proxy.incarnation, proxy.fresh(), proxy.position
                )

    def _observe_leader(self, control: ControlProcess, status: StatusReply) -> None:
        now, state = self.simulation.now, control.disk.state
        own_entry = state.entry_at(status.commit)
        if own_entry is not None and own_entry.fence == status.fence:
            self.checker.commit_observed(now, status.commit)
            self.checker.leader_observed(
                now, control.name, status.fence, status.commit, state.entry_at
            )
        if status.in_force > self.checker.in_force:
            self.note(f"  {control.name} of fence {status.fence}: {status.in_force} is in force")
            self.checker.in_force_reported(now, status.in_force)

    def on_batch_applied(self, proxy: ProxyProcess, entry: LogEntry) -> None:
        """Notes and checks a batch that a proxy applied."""
        keys = " ".join(entry.keys)
        self.note(f"  {proxy.name} applies {entry.position} of fence {entry.fence} {keys}")
        self.checker.batch_applied(self.simulation.now, proxy.name, proxy.incarnation, entry)

    def on_invalidated(self, proxy: ProxyProcess, base: int) -> None:
        """Notes and checks that a proxy has invalidated its cache and continues after `base`."""
        self.note(f"  {proxy.name} voids everything and goes on behind {base}")
        self.checker.all_invalidated(self.simulation.now, proxy.name, proxy.incarnation, base)

    def note(self, message: str) -> None:
        """Appends a line to the trace and adds it to the digest.

        The trace keeps MAX_NOTES lines; the digest covers all of them.
        """
        self._digest.update(f"{self.simulation.now:.6f} {message}\n".encode())
        if len(self.notes) < MAX_NOTES:
            self.notes.append((self.simulation.now, message))

    @property
    def digest(self) -> str:
        """Hash of all notes, to compare runs of the same plan."""
        return self._digest.hexdigest()
