"""What a cold upstream receives from all sidecars together, against the budget above which it is overloaded.

A model runs several balancers that share no state on one simulated clock. First attempts, retries, hedged
requests and health checks are all counted, each with its work in units of the mean.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from indigokeel.balancing import slow_start
from indigokeel.balancing.actions import SendAttempt, SendHealthCheck, SetTimer
from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import (
    AttemptEnded,
    AttemptOutcome,
    Event,
    HealthCheckEnded,
    LoadReport,
    Member,
    MembershipUpdate,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from indigokeel.balancing.settings import Limits, LoadReportSource, Safety
from tests.conftest import (
    KEYED,
    SAFE,
    UNSAFE,
    Driver,
    actions_of_type,
    make_members,
    make_settings,
    sent_attempts,
)

BEGIN = 1000.0  # clock time at which the fleet begins
STARTED = 1003.0  # clock time at which upstreams start cold; every sidecar is notified at once
END = 1009.0
SAFETY = Safety(warm_up_initial_ratio=0.35, warm_up_time=8.8, overload_multiple=3.0, overload_window=1.5)
STRICT = Safety(warm_up_initial_ratio=0.3, warm_up_time=8.0, overload_multiple=1.5, overload_window=2.0)
CLASSES = tuple(replace(cls, latency_objective=0.4, deadline=0.8) for cls in (SAFE, KEYED, UNSAFE))


@dataclass(frozen=True)
class Scenario:
    """A fleet, its traffic and its faults."""

    sidecars: int
    upstreams: int
    cold: int  # upstreams that start cold at STARTED
    capacity: float = 30.0  # requests of mean work per second that a warm upstream can serve
    load: float = 0.7  # traffic, relative to the capacity of the whole fleet when warm
    safety: Safety = SAFETY
    silent: int = 0  # upstreams that do not respond from STARTED on
    failing: int = 0  # upstreams that respond with errors from STARTED on
    keys: int = 0  # number of keys with affinity, requested very unevenly
    uneven_work: bool = False  # requests differ in their work, and carry a work hint
    restarted_ratio: float = 0.3  # share of the sidecars that restart about half a second after STARTED
    report_source: LoadReportSource = LoadReportSource.ANSWERS


def overload_budget(expected: float) -> float:
    """Return how many requests of mean work overload an upstream that the settings allow ``expected``."""
    factor = 3.0 if expected < 30.0 else 2.0
    return expected + factor * math.sqrt(expected) + factor


@dataclass
class Server:
    """The model of one upstream."""

    started: float = 0.0
    silent: bool = False
    failing: bool = False
    recent: deque[float] = field(default_factory=deque)  # start times, within the last half second
    received: list[tuple[float, float]] = field(default_factory=list)  # time and work of each request


class Fleet:
    """The balancers and upstreams of a scenario, on one simulated clock."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed, self.random, self.now = scenario, seed, Random(seed), BEGIN
        self.settings = make_settings(
            classes=CLASSES,
            safety=scenario.safety,
            sidecars=scenario.sidecars,
            load_report_source=scenario.report_source,
            key_affinity=scenario.keys > 0,
            limits=Limits(max_attempts=5, health_checks=True),
        )
        names = [f"s-{number}" for number in range(scenario.upstreams)]
        self.servers = {name: Server() for name in names}
        self.cold = names[: scenario.cold]
        self.members = {name: Member(name, f"z{i % 2}", f"k{i % 2}", i // 3) for i, name in enumerate(names)}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self.requests: dict[str, tuple[float, int]] = {}  # work, and number of attempts so far
        self.request_count = self.served_count = 0
        self.balancers = [self.new_balancer(sidecar, sidecar) for sidecar in range(scenario.sidecars)]
        self.incarnation = [0] * scenario.sidecars

    def new_balancer(self, sidecar: int, seed: int) -> Balancer:
        balancer = Balancer(replace(self.settings, instance_index=sidecar), self.seed * 1000 + seed)
        balancer.handle(self.now, MembershipUpdate(UpdateKind.CACHED, tuple(self.members.values())))
        return balancer

    def schedule(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._serial), call))

    def run(self) -> None:
        scenario = self.scenario
        self.schedule_requests()
        self.schedule(STARTED, self.start_cold_upstreams)
        for sidecar in self.random.sample(
            range(scenario.sidecars), round(scenario.restarted_ratio * scenario.sidecars)
        ):
            self.schedule(
                STARTED + self.random.uniform(0.3, 0.7),
                lambda sidecar=sidecar: self.restart(sidecar),  # type: ignore[misc]
            )
        while self._queue and self._queue[0][0] <= END:
            self.now, _, call = heapq.heappop(self._queue)
            call()

    def schedule_requests(self) -> None:
        """Schedule all requests: one sidecar gets a fifth of the traffic, most get little."""
        scenario = self.scenario
        total = scenario.load * scenario.upstreams * scenario.capacity
        weights = [1.0 / rank for rank in range(2, scenario.sidecars + 1)]
        first = 0.2 if weights else 1.0
        rates = [first * total, *(0.8 * total * weight / sum(weights) for weight in weights)]
        for sidecar, rate in enumerate(rates):
            when = BEGIN + self.random.expovariate(rate)
            while when < END:
                self.schedule(when, lambda sidecar=sidecar: self.send_request(sidecar))  # type: ignore[misc]
                when += self.random.expovariate(rate)

    def start_cold_upstreams(self) -> None:
        names = list(self.servers)
        for name in self.cold:
            self.servers[name].started = self.now
            self.servers[name].recent.clear()
            self.members[name] = replace(self.members[name], started=self.now)
        others = names[len(self.cold) :] or names
        for name in others[: self.scenario.silent]:
            self.servers[name].silent = True
        for name in others[self.scenario.silent :][: self.scenario.failing]:
            self.servers[name].failing = True
        update = MembershipUpdate(UpdateKind.DELTA, tuple(self.members[name] for name in self.cold))
        for sidecar in range(self.scenario.sidecars):
            self.deliver(sidecar, update)

    def restart(self, sidecar: int) -> None:
        """Start a new process that knows only the endpoint list. Events for the old one are dropped."""
        self.incarnation[sidecar] += 1
        self.balancers[sidecar] = self.new_balancer(sidecar, 500 + sidecar)

    def send_request(self, sidecar: int) -> None:
        self.request_count += 1
        name, cls = f"r{self.request_count}", CLASSES[self.request_count % len(CLASSES)]
        work = self.random.expovariate(1.0) if self.scenario.uneven_work else 1.0
        key = f"key{int(self.scenario.keys * self.random.random() ** 3)}" if self.scenario.keys else ""
        self.requests[name] = (work, 0)
        hint = work / self.scenario.capacity if self.scenario.uneven_work else 0.0
        self.deliver(sidecar, RequestArrived(name, cls.name, cls.deadline, key=key, hint=hint))

    def deliver(self, sidecar: int, event: Event, incarnation: int | None = None) -> None:
        if incarnation is not None and incarnation != self.incarnation[sidecar]:
            return  # that process was replaced by a restart
        incarnation = self.incarnation[sidecar]
        for action in self.balancers[sidecar].handle(self.now, event):
            if isinstance(action, SendAttempt):
                self.start_attempt(sidecar, incarnation, action)
            elif isinstance(action, SetTimer):
                fired = TimerFired(action.token)
                self.schedule(
                    self.now + action.delay,
                    lambda fired=fired: self.deliver(sidecar, fired, incarnation),  # type: ignore[misc]
                )
            elif isinstance(action, SendHealthCheck):
                self.servers[action.upstream].received.append((self.now, 1.0))
                checked = HealthCheckEnded(
                    action.upstream, AttemptOutcome.OK, 0.01, self.load_report(action.upstream)
                )
                self.schedule(
                    self.now + 0.01,
                    lambda checked=checked: self.deliver(sidecar, checked, incarnation),  # type: ignore[misc]
                )

    def current_capacity(self, name: str) -> float:
        """Return the capacity that the settings guarantee, in requests of mean work per second."""
        safety, server = self.scenario.safety, self.servers[name]
        age = self.now - server.started if server.started else math.inf
        ratio = min(
            safety.warm_up_initial_ratio + (1.0 - safety.warm_up_initial_ratio) * age / safety.warm_up_time,
            1.0,
        )
        return ratio * self.scenario.capacity

    def load_report(self, name: str) -> LoadReport:
        rate = len(self.servers[name].recent) / 0.5
        return LoadReport(rate=rate, utilisation=min(rate / self.current_capacity(name), 1.0))

    def start_attempt(self, sidecar: int, incarnation: int, send: SendAttempt) -> None:
        server = self.servers[send.upstream]
        work, number = self.requests[send.id]
        self.requests[send.id] = (work, number + 1)
        server.received.append((self.now, work))
        while server.recent and server.recent[0] < self.now - 0.5:
            server.recent.popleft()
        full = len(server.recent) >= self.current_capacity(send.upstream) * 0.5
        outcome, took = AttemptOutcome.OK, self.random.uniform(0.02, 0.08)
        if server.silent:
            outcome, took = AttemptOutcome.TIMED_OUT, send.timeout or 0.8
        elif server.failing:
            outcome, took = AttemptOutcome.ERROR, 0.005
        elif full:
            outcome, took = AttemptOutcome.REJECTED, 0.005
        else:
            server.recent.append(self.now)

        def end() -> None:
            final = outcome is AttemptOutcome.OK
            self.served_count += final
            load = (
                self.load_report(send.upstream)
                if final and self.scenario.report_source is LoadReportSource.ANSWERS
                else None
            )
            ended = AttemptEnded(send.id, send.upstream, number, outcome, took, final, load)
            self.deliver(sidecar, ended, incarnation)

        self.schedule(self.now + took, end)

    def max_budget_ratio(self) -> float:
        """Return the most that a cold upstream received in any overload window, relative to its budget."""
        safety, max_ratio = self.scenario.safety, 0.0
        for name in self.cold:
            inside: deque[tuple[float, float]] = deque()
            total = 0.0
            for when, work in self.servers[name].received:
                age = when - STARTED
                if age < 0.0 or age > safety.warm_up_time:
                    continue
                inside.append((when, work))
                total += work
                while inside[0][0] < when - safety.overload_window:
                    total -= inside.popleft()[1]
                # The age at which the window begins, with the lowest allowance.
                first = max(age - safety.overload_window, 0.0)
                ratio = (
                    safety.warm_up_initial_ratio
                    + (1.0 - safety.warm_up_initial_ratio) * first / safety.warm_up_time
                )
                allowed = safety.overload_multiple * ratio * self.scenario.capacity * safety.overload_window
                max_ratio = max(max_ratio, total / overload_budget(allowed))
        return max_ratio


SMALL_FLEET = Scenario(0, 5, 5, capacity=40.0)
LARGE_FLEET = Scenario(0, 60, 60, capacity=20.0)
SCENARIOS = {
    "one of four": replace(SMALL_FLEET, upstreams=4, cold=1),
    "half of four": replace(SMALL_FLEET, upstreams=4, cold=2),
    "all, strict limits": replace(SMALL_FLEET, safety=STRICT),
    "all, every sidecar restarted": replace(SMALL_FLEET, safety=STRICT, restarted_ratio=1.0),
    "all, no load reports": replace(SMALL_FLEET, safety=STRICT, report_source=LoadReportSource.NONE),
    "three of five, overload": replace(SMALL_FLEET, cold=3, load=1.6),
    "one beside failing ones": replace(SMALL_FLEET, cold=1, failing=3),
    "one beside silent ones": replace(SMALL_FLEET, cold=1, silent=3),
    "two, uneven work": replace(SMALL_FLEET, cold=2, uneven_work=True),
    "one, health checks": replace(SMALL_FLEET, cold=1, report_source=LoadReportSource.HEALTH_CHECKS),
}
LARGE_SCENARIOS = {
    "all of sixty": (LARGE_FLEET, (1, 3)),
    "all of sixty, strict limits": (replace(LARGE_FLEET, safety=STRICT), (1, 230)),
    "half of sixty, hot keys": (replace(LARGE_FLEET, cold=30, keys=60), (1, 230)),
}
CASES = [(name, sidecars) for name in SCENARIOS for sidecars in (1, 2, 3, 20, 230)]
CASES += [(name, sidecars) for name, (_, counts) in LARGE_SCENARIOS.items() for sidecars in counts]


@pytest.mark.parametrize(("name", "sidecars"), CASES)
def test_no_cold_upstream_is_overloaded(name: str, sidecars: int) -> None:
    """Attempts and health checks of all sidecars together stay within the budget of every cold upstream."""
    scenario = SCENARIOS[name] if name in SCENARIOS else LARGE_SCENARIOS[name][0]
    fleet = Fleet(replace(scenario, sidecars=sidecars), seed=1)
    fleet.run()
    assert fleet.max_budget_ratio() < 1.0
    assert all(len(fleet.servers[cold].received) > 10 for cold in fleet.cold)  # but they get requests
    if scenario.cold == scenario.upstreams:  # only the excess is rejected
        assert fleet.served_count > 0.5 * fleet.request_count


@pytest.mark.parametrize("expected", [0.0, 0.4, 3.0, 12.0, 29.0, 30.0, 100.0, 400.0, 3000.0])
@pytest.mark.parametrize("safety", [SAFETY, STRICT])
def test_slot_quota_of_a_single_sidecar_is_within_the_budget(expected: float, safety: Safety) -> None:
    capacity = expected / safety.overload_multiple / safety.overload_window
    assert 3 * slow_start.slot_quota(safety, capacity, share=1.0) <= overload_budget(expected)


@pytest.mark.parametrize(
    ("started", "now", "weight"),
    [
        (0.0, 3.0, 1.0),  # long ago
        (1000.0, 1000.0, 0.35),
        (1000.0, 1004.4, 0.675),
        (1000.0, 1008.8, 1.0),
        (1060.0, 1000.0, 0.35),  # a start in the future, as after the clock was set, counts as now
        (-2.4, 2.0, 0.675),  # the clock starts with the machine, which may have booted after the upstream
        (-60.0, 2.0, 1.0),
    ],
)
def test_warm_up_weight(started: float, now: float, weight: float) -> None:
    assert slow_start.warm_up_weight(SAFETY, started, now) == pytest.approx(weight)


def test_cold_upstream_gets_no_health_check() -> None:
    """Guards against every sidecar checking a new upstream first, because none has checked it yet."""
    settings = make_settings(
        load_report_source=LoadReportSource.HEALTH_CHECKS, limits=Limits(health_checks=True)
    )
    cold = replace(make_members(6)[0], started=1000.0)
    driver = Driver(settings, (cold, *make_members(6)[1:]))
    checked = [
        check.upstream for _ in range(40) for check in actions_of_type(driver.request()[1], SendHealthCheck)
    ]
    assert checked and cold.id not in checked


def test_start_times_of_warm_upstreams_change_no_decision() -> None:
    """Upstreams that started long ago lead to the same decisions as those whose start time is unknown."""
    drivers = [Driver(make_settings(), make_members(30, started=started)) for started in (0.0, 900.0)]
    for number in range(200):
        first, second = (driver.request(key=f"k{number % 7}")[1] for driver in drivers)
        assert first == second
        for driver in drivers:
            driver.now += 0.02
            driver.end_attempt(
                sent_attempts(first)[0], load=LoadReport(rate=20.0 + number % 5, utilisation=0.6)
            )
