"""What one cold upstream gets from all sidecars together, held against the budget that it falls over at.

Balancers that share nothing, on one clock that the test moves. First attempts, retries, hedged requests and
probes are all counted, each by its work in units of the mean.
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
from tests.conftest import KEYED, SAFE, UNSAFE, Driver, make_members, make_settings, of, sends

BEGIN = 1000.0  # clock time at which the fleet begins
STARTED = 1003.0  # ... at which upstreams start cold, and every sidecar is notified at once
END = 1009.0
SAFETY = Safety(warm_up_initial_ratio=0.35, warm_up_time=8.8, overload_multiple=3.0, overload_window=1.5)
STRICT = Safety(warm_up_initial_ratio=0.3, warm_up_time=8.0, overload_multiple=1.5, overload_window=2.0)
CLASSES = tuple(replace(cls, latency_objective=0.4, deadline=0.8) for cls in (SAFE, KEYED, UNSAFE))


@dataclass(frozen=True)
class Scenario:
    """A fleet, its traffic, and what befalls it."""

    sidecars: int
    upstreams: int
    cold: int  # upstreams that start at STARTED
    capacity: float = 30.0  # requests of mean work a second that a warm upstream can do
    load: float = 0.7  # traffic, as a part of what the whole fleet can do when warm
    safety: Safety = SAFETY
    silent: int = 0  # upstreams that answer nothing from STARTED on
    failing: int = 0  # upstreams that answer with errors from STARTED on
    keys: int = 0  # keys that stay warm; asked for very unevenly
    work: bool = False  # requests differ in their work, and say so
    restarted: float = 0.3  # the part of the sidecars that are restarted half a second after STARTED
    reports: LoadReportSource = LoadReportSource.ANSWERS


def budget(expected: float) -> float:
    """Requests of mean work that push an upstream over, where the settings allow it ``expected``."""
    factor = 3.0 if expected < 30.0 else 2.0
    return expected + factor * math.sqrt(expected) + factor


@dataclass
class Server:
    """One upstream, as the model plays it."""

    started: float = 0.0
    silent: bool = False
    failing: bool = False
    recent: deque[float] = field(default_factory=deque)  # the last half second
    got: list[tuple[float, float]] = field(default_factory=list)  # time and work of all that it was sent


class Fleet:
    """Balancers, the upstreams that serve them, and one clock."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed, self.random, self.now = scenario, seed, Random(seed), BEGIN
        self.settings = make_settings(
            classes=CLASSES,
            safety=scenario.safety,
            sidecars=scenario.sidecars,
            load_report_source=scenario.reports,
            key_affinity=scenario.keys > 0,
            limits=Limits(max_attempts=5, health_checks=True),
        )
        names = [f"s-{number}" for number in range(scenario.upstreams)]
        self.servers = {name: Server() for name in names}
        self.cold = names[: scenario.cold]
        self.members = {name: Member(name, f"z{i % 2}", f"k{i % 2}", i // 3) for i, name in enumerate(names)}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self.requests: dict[str, tuple[float, int]] = {}  # work, and attempts so far
        self.asked = self.served = 0
        self.balancers = [self.balancer(me, me) for me in range(scenario.sidecars)]
        self.incarnation = [0] * scenario.sidecars

    def balancer(self, me: int, seed: int) -> Balancer:
        balancer = Balancer(replace(self.settings, instance_index=me), self.seed * 1000 + seed)
        balancer.handle(self.now, MembershipUpdate(UpdateKind.CACHED, tuple(self.members.values())))
        return balancer

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._serial), call))

    def run(self) -> None:
        scenario = self.scenario
        self.traffic()
        self.at(STARTED, self.start_cold)
        for me in self.random.sample(range(scenario.sidecars), round(scenario.restarted * scenario.sidecars)):
            self.at(STARTED + self.random.uniform(0.3, 0.7), lambda me=me: self.restart(me))  # type: ignore[misc]
        while self._queue and self._queue[0][0] <= END:
            self.now, _, call = heapq.heappop(self._queue)
            call()

    def traffic(self) -> None:
        """One sidecar carries a fifth of all, most carry little."""
        scenario = self.scenario
        total = scenario.load * scenario.upstreams * scenario.capacity
        weights = [1.0 / place for place in range(2, scenario.sidecars + 1)]
        first = 0.2 if weights else 1.0
        rates = [first * total, *(0.8 * total * weight / sum(weights) for weight in weights)]
        for me, rate in enumerate(rates):
            when = BEGIN + self.random.expovariate(rate)
            while when < END:
                self.at(when, lambda me=me: self.ask(me))  # type: ignore[misc]
                when += self.random.expovariate(rate)

    def start_cold(self) -> None:
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
        news = MembershipUpdate(UpdateKind.DELTA, tuple(self.members[name] for name in self.cold))
        for me in range(self.scenario.sidecars):
            self.hand(me, news)

    def restart(self, me: int) -> None:
        """A new process: it has the list and nothing else. What the old one was owed is void."""
        self.incarnation[me] += 1
        self.balancers[me] = self.balancer(me, 500 + me)

    def ask(self, me: int) -> None:
        self.asked += 1
        name, cls = f"r{self.asked}", CLASSES[self.asked % len(CLASSES)]
        work = self.random.expovariate(1.0) if self.scenario.work else 1.0
        key = f"key{int(self.scenario.keys * self.random.random() ** 3)}" if self.scenario.keys else ""
        self.requests[name] = (work, 0)
        hint = work / self.scenario.capacity if self.scenario.work else 0.0
        self.hand(me, RequestArrived(name, cls.name, cls.deadline, key=key, hint=hint))

    def hand(self, me: int, event: Event, incarnation: int | None = None) -> None:
        if incarnation is not None and incarnation != self.incarnation[me]:
            return  # the process is gone
        incarnation = self.incarnation[me]
        for action in self.balancers[me].handle(self.now, event):
            if isinstance(action, SendAttempt):
                self.attempt(me, incarnation, action)
            elif isinstance(action, SetTimer):
                fired = TimerFired(action.token)
                self.at(self.now + action.delay, lambda fired=fired: self.hand(me, fired, incarnation))  # type: ignore[misc]
            elif isinstance(action, SendHealthCheck):
                self.servers[action.upstream].got.append((self.now, 1.0))
                probed = HealthCheckEnded(
                    action.upstream, AttemptOutcome.OK, 0.01, self.report(action.upstream)
                )
                self.at(self.now + 0.01, lambda probed=probed: self.hand(me, probed, incarnation))  # type: ignore[misc]

    def able(self, name: str) -> float:
        """Requests of mean work a second: the least that the settings promise."""
        safety, server = self.scenario.safety, self.servers[name]
        age = self.now - server.started if server.started else math.inf
        part = min(
            safety.warm_up_initial_ratio + (1.0 - safety.warm_up_initial_ratio) * age / safety.warm_up_time,
            1.0,
        )
        return part * self.scenario.capacity

    def report(self, name: str) -> LoadReport:
        rate = len(self.servers[name].recent) / 0.5
        return LoadReport(rate=rate, utilisation=min(rate / self.able(name), 1.0))

    def attempt(self, me: int, incarnation: int, send: SendAttempt) -> None:
        server = self.servers[send.upstream]
        work, number = self.requests[send.id]
        self.requests[send.id] = (work, number + 1)
        server.got.append((self.now, work))
        while server.recent and server.recent[0] < self.now - 0.5:
            server.recent.popleft()
        full = len(server.recent) >= self.able(send.upstream) * 0.5
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
            self.served += final
            load = (
                self.report(send.upstream)
                if final and self.scenario.reports is LoadReportSource.ANSWERS
                else None
            )
            ended = AttemptEnded(send.id, send.upstream, number, outcome, took, final, load)
            self.hand(me, ended, incarnation)

        self.at(self.now + took, end)

    def worst(self) -> float:
        """The most that a cold upstream got in any window of the settings' time, as a part of its budget."""
        safety, worst = self.scenario.safety, 0.0
        for name in self.cold:
            inside: deque[tuple[float, float]] = deque()
            total = 0.0
            for when, work in self.servers[name].got:
                age = when - STARTED
                if age < 0.0 or age > safety.warm_up_time:
                    continue
                inside.append((when, work))
                total += work
                while inside[0][0] < when - safety.overload_window:
                    total -= inside.popleft()[1]
                first = max(age - safety.overload_window, 0.0)  # the least that it is allowed in the window
                part = (
                    safety.warm_up_initial_ratio
                    + (1.0 - safety.warm_up_initial_ratio) * first / safety.warm_up_time
                )
                allowed = safety.overload_multiple * part * self.scenario.capacity * safety.overload_window
                worst = max(worst, total / budget(allowed))
        return worst


FEW = Scenario(0, 5, 5, capacity=40.0)
MANY = Scenario(0, 60, 60, capacity=20.0)
FLEETS = {
    "one of four": replace(FEW, upstreams=4, cold=1),
    "half of four": replace(FEW, upstreams=4, cold=2),
    "all, a strict rule": replace(FEW, safety=STRICT),
    "all, every sidecar restarted": replace(FEW, safety=STRICT, restarted=1.0),
    "all, no reports": replace(FEW, safety=STRICT, reports=LoadReportSource.NONE),
    "three of five, overload": replace(FEW, cold=3, load=1.6),
    "one beside failing ones": replace(FEW, cold=1, failing=3),
    "one beside silent ones": replace(FEW, cold=1, silent=3),
    "two, uneven work": replace(FEW, cold=2, work=True),
    "one, probed": replace(FEW, cold=1, reports=LoadReportSource.HEALTH_CHECKS),
}
LARGE = {
    "all of sixty": (MANY, (1, 3)),
    "all of sixty, a strict rule": (replace(MANY, safety=STRICT), (1, 230)),
    "half of sixty, hot keys": (replace(MANY, cold=30, keys=60), (1, 230)),
}
TABLE = [(name, sidecars) for name in FLEETS for sidecars in (1, 2, 3, 20, 230)]
TABLE += [(name, sidecars) for name, (_, each) in LARGE.items() for sidecars in each]


@pytest.mark.parametrize(("name", "sidecars"), TABLE)
def test_no_cold_upstream_gets_what_it_falls_over_at(name: str, sidecars: int) -> None:
    """All attempts of all sidecars together stay within the budget of every warming-up upstream."""
    scenario = FLEETS[name] if name in FLEETS else LARGE[name][0]
    fleet = Fleet(replace(scenario, sidecars=sidecars), seed=1)
    fleet.run()
    assert fleet.worst() < 1.0
    assert all(len(fleet.servers[cold].got) > 10 for cold in fleet.cold)  # they do get work
    if scenario.cold == scenario.upstreams:  # what they cannot bear is refused, and no more
        assert fleet.served > 0.5 * fleet.asked


@pytest.mark.parametrize("expected", [0.0, 0.4, 3.0, 12.0, 29.0, 30.0, 100.0, 400.0, 3000.0])
@pytest.mark.parametrize("safety", [SAFETY, STRICT])
def test_quota_of_a_sidecar_alone_is_within_the_budget(expected: float, safety: Safety) -> None:
    capacity = expected / safety.overload_multiple / safety.overload_window
    assert 3 * slow_start.slot_quota(safety, capacity, share=1.0) <= budget(expected)


@pytest.mark.parametrize(
    ("started", "now", "part"),
    [
        (0.0, 3.0, 1.0),  # long ago
        (1000.0, 1000.0, 0.35),
        (1000.0, 1004.4, 0.675),
        (1000.0, 1008.8, 1.0),
        (1060.0, 1000.0, 0.35),  # a start that lies ahead, by a clock that was set, is one just now
        (-2.4, 2.0, 0.675),  # the clock begins with the machine, which may be younger than the upstream
        (-60.0, 2.0, 1.0),
    ],
)
def test_ramp(started: float, now: float, part: float) -> None:
    assert slow_start.warm_up_weight(SAFETY, started, now) == pytest.approx(part)


def test_cold_upstream_is_not_probed() -> None:
    """A new one had been probed by nobody, so every sidecar probed it first."""
    settings = make_settings(
        load_report_source=LoadReportSource.HEALTH_CHECKS, limits=Limits(health_checks=True)
    )
    cold = replace(make_members(6)[0], started=1000.0)
    driver = Driver(settings, (cold, *make_members(6)[1:]))
    probed = [probe.upstream for _ in range(40) for probe in of(driver.request()[1], SendHealthCheck)]
    assert probed and cold.id not in probed


def test_fleet_without_cold_upstreams_is_decided_on_as_ever() -> None:
    """Upstreams that started long ago, and such whose start is not known: the same decisions."""
    drivers = [Driver(make_settings(), make_members(30, started=started)) for started in (0.0, 900.0)]
    for number in range(200):
        first, second = (driver.request(key=f"k{number % 7}")[1] for driver in drivers)
        assert first == second
        for driver in drivers:
            driver.now += 0.02
            driver.end(sends(first)[0], load=LoadReport(rate=20.0 + number % 5, utilisation=0.6))
