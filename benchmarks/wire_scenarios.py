"""The simulated deployments and incidents on which the decisions of two checkouts are compared.

A scenario defines settings, upstreams, traffic and incidents. The named scenarios cover the inputs that
decisions depend on; further scenarios are drawn at random from the same ranges.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from random import Random

OBJECTIVE_PER_WORK = 6.0  # latency objective of a class, as a multiple of the mean work of a request
ZONES = ("east", "west", "north")
KINDS = ("small", "large")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class; its times are derived from the mean work of a request."""

    name: str
    effect: str = "safe"
    group: str = "all"
    importance: float = 1.0
    late_weight: float = 0.0
    streaming: bool = False
    objective_stretch: float = 0.0
    objective_per_work: float = OBJECTIVE_PER_WORK
    deadline_per_objective: float = 2.0
    idempotency_window_per_deadline: float = 0.7


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant; its quota is a fraction of the normal request rate."""

    name: str
    share: float
    quota_fraction: float
    request_fraction: float  # fraction of all requests that the tenant sends


@dataclass(frozen=True, slots=True)
class Incident:
    """A fault or a change of the deployment: its kind, start, duration and number of upstreams."""

    kind: str
    start_s: float
    count: int = 1
    duration_s: float = 1.5


@dataclass(frozen=True, slots=True)
class Traffic:
    """The request arrivals of a scenario, and how its clients behave."""

    rate_per_s: float = 220.0
    load: float = 0.55  # fraction of the total upstream capacity that the normal rate uses
    surge_factor: float = 1.0  # multiplies the rate from surge_from_s until surge_until_s
    surge_from_s: float = 2.0
    surge_until_s: float = 4.0
    key_count: int = 0
    hot_key_fraction: float = 0.0  # fraction of the requests that use one hot key
    send_hints: bool = False
    leave_probability: float = 0.01  # probability that a client disconnects before its deadline
    resend_probability: float = 0.0  # probability that a rejected request is sent again
    short_budget_probability: float = 0.05  # probability that a client sets a much shorter deadline


@dataclass(frozen=True, slots=True)
class Limits:
    """The ``limits`` of the settings."""

    cancelling: bool = True
    second_copies: bool = True
    probes: bool = False
    max_attempts: int = 4
    retry_after: bool = False


@dataclass(frozen=True, slots=True)
class Prices:
    """The ``prices`` of the settings."""

    cross_zone: float = 0.0
    probe: float = 0.0
    connection: float = 0.0


SAFE = RequestClass("view")
KEYED_ALL = RequestClass("order", "keyed", "all", importance=3.0)
KEYED_ZONE = RequestClass("move", "keyed", "zone", importance=4.0)
KEYED_CELL = RequestClass("reserve", "keyed", "cell", importance=5.0)
UNSAFE = RequestClass("pay", "unsafe", importance=8.0)
STREAMED = RequestClass("watch", streaming=True, importance=2.0)
LATE = RequestClass("report", late_weight=0.4, objective_stretch=2.0)
MIXED = (SAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL, UNSAFE)
TENANTS = (
    Tenant("blue", 0.6, 0.5, 0.4),
    Tenant("green", 0.3, 0.15, 0.5),
    Tenant("free", 0.1, 0.0, 0.1),
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A deployment, its traffic and its incidents."""

    name: str
    upstreams: int = 12
    cold_fraction: float = 0.0  # fraction of the upstreams that have just started
    stale_endpoints: int = 0  # endpoints of the initial list that no longer exist
    sidecars: int = 2
    balancers: int = 3
    seconds: float = 8.0
    origin_s: float = 1000.0
    step_s: float = 0.005
    classes: tuple[RequestClass, ...] = (SAFE, KEYED_CELL, UNSAFE)
    tenants: tuple[Tenant, ...] = ()
    traffic: Traffic = Traffic()
    limits: Limits = Limits()
    prices: Prices = Prices()
    incidents: tuple[Incident, ...] = ()
    reports: str = "answers"
    columns: tuple[str, ...] = ("rate", "busy")
    membership: str = "on_request"
    weights: str = "none"
    warm_keys: bool = False
    counted_by: str = "request"
    over_quota_weight: float = 1.0
    warm_up_initial_ratio: float = 0.35
    warm_up_time_s: float = 4.0
    overload_for_s: float = 1.5

    def settings(self, me: int, work_s: float) -> str:
        """Return the settings of one sidecar as the JSON object that the wire protocol carries."""
        content = {
            "balancers": self.balancers,
            "me": me,
            "zone": ZONES[me % len(ZONES)],
            "failure-domains": list(ZONES),
            "kinds": list(KINDS),
            "classes": [_class_settings(cls, work_s) for cls in self.classes],
            "tenants": [_tenant_settings(tenant, self.traffic) for tenant in self.tenants],
            "limits": self._limit_settings(),
            "prices": {
                "cross-zone": self.prices.cross_zone,
                "probe": self.prices.probe,
                "connection": self.prices.connection,
            },
            "safety": {
                "answer-slack-s": 0.02,
                "ask-within-s": 5.0,
                "cold-from": self.warm_up_initial_ratio,
                "drain-grace-s": 0.25,
                "overload-for-s": self.overload_for_s,
                "tip-multiple": 3.0,
                "warm-within-s": self.warm_up_time_s,
            },
            "telemetry": {"how": self.reports, "columns": list(self.columns)},
            "membership-mode": self.membership,
            "weights": self.weights,
            "specifics": {"warm-keys": self.warm_keys},
            "counted-by": self.counted_by,
            "over-share-worth": self.over_quota_weight,
            "step-s": self.step_s,
        }
        return json.dumps(content)

    def _limit_settings(self) -> dict[str, object]:
        return {
            "cancelling": self.limits.cancelling,
            "second-copies": self.limits.second_copies,
            "probes": self.limits.probes,
            "max-attempts": self.limits.max_attempts,
            "retry-after": self.limits.retry_after,
            "max-retry-after-s": 0.8,
            "connect-timeout-s": 0.1,
            "keepalive-s": 30.0,
        }


def _class_settings(cls: RequestClass, work_s: float) -> dict[str, object]:
    objective_s = cls.objective_per_work * work_s
    deadline_s = objective_s * cls.deadline_per_objective
    return {
        "name": cls.name,
        "objective-s": objective_s,
        "deadline-s": deadline_s,
        "effect": cls.effect,
        "group": cls.group,
        "repeat-window-s": deadline_s * cls.idempotency_window_per_deadline,
        "importance": cls.importance,
        "late-worth": cls.late_weight,
        "streaming": cls.streaming,
        "aim-stretch": cls.objective_stretch,
    }


def _tenant_settings(tenant: Tenant, traffic: Traffic) -> dict[str, object]:
    quota = tenant.quota_fraction * traffic.rate_per_s
    return {"name": tenant.name, "share": tenant.share, "quota-per-s": quota}


SURGE = Traffic(surge_factor=3.0, load=0.6, resend_probability=0.4)
UPSTREAM_FAULTS = (
    Incident("errors", 1.0, 1),
    Incident("hang", 2.0, 1),
    Incident("down", 3.0, 1),
    Incident("breaks", 4.0, 1),
    Incident("full", 5.0, 1),
    Incident("slow", 6.0, 1),
)
MEMBERSHIP_CHANGES = (
    Incident("drain", 0.7, 1),
    Incident("restart", 1.4, 2, 0.4),
    Incident("add", 2.0, 2),
    Incident("remove", 2.6, 1),
    Incident("subscription-break", 3.0),
    Incident("discovery-outage", 3.5, duration_s=1.2),
    Incident("restart", 4.0, 1, 0.2),
    Incident("restart-sidecar", 4.6),
    Incident("add", 5.5, 25),
)


def _small() -> list[Scenario]:
    return [
        Scenario("small-safe", 3, sidecars=1, balancers=1, classes=(SAFE,), membership="pushed"),
        Scenario(
            "small-all-cold", 3, cold_fraction=1.0, traffic=Traffic(load=0.3), incidents=UPSTREAM_FAULTS[:2]
        ),
        Scenario("small-trouble", 3, classes=MIXED, incidents=UPSTREAM_FAULTS),
        Scenario(
            "small-restarts", 3, sidecars=4, balancers=4, incidents=MEMBERSHIP_CHANGES, stale_endpoints=2
        ),
        Scenario("empty-list", 3, incidents=(Incident("remove", 1.0, 3), Incident("add", 3.0, 3))),
    ]


def _medium() -> list[Scenario]:
    return [
        Scenario("mixed-trouble", classes=MIXED, incidents=UPSTREAM_FAULTS, limits=Limits(max_attempts=2)),
        Scenario(
            "mixed-membership",
            classes=MIXED,
            incidents=MEMBERSHIP_CHANGES,
            stale_endpoints=4,
            cold_fraction=0.3,
        ),
        Scenario(
            "tenants-surge",
            classes=(SAFE, KEYED_ALL, UNSAFE),
            tenants=TENANTS,
            traffic=SURGE,
            over_quota_weight=0.1,
            limits=Limits(retry_after=True),
        ),
        Scenario(
            "tenants-by-work",
            tenants=TENANTS,
            traffic=replace(SURGE, surge_factor=2.2, send_hints=True),
            counted_by="work",
            over_quota_weight=0.4,
            weights="nominal",
        ),
        Scenario(
            "hot-key",
            traffic=Traffic(key_count=80, hot_key_fraction=0.4),
            warm_keys=True,
            cold_fraction=0.3,
            incidents=UPSTREAM_FAULTS[:3],
        ),
        Scenario(
            "streaming",
            classes=(STREAMED, SAFE),
            incidents=(*UPSTREAM_FAULTS, Incident("restart", 6.5, 3, 0.3)),
        ),
        Scenario(
            "single-attempt-out",
            limits=Limits(second_copies=False, cancelling=False),
            classes=MIXED,
            incidents=UPSTREAM_FAULTS,
        ),
        Scenario(
            "no-reports",
            reports="none",
            traffic=replace(SURGE, surge_factor=2.5),
            incidents=UPSTREAM_FAULTS[1:3],
        ),
        Scenario(
            "probes",
            reports="probe",
            limits=Limits(probes=True),
            prices=Prices(probe=0.01),
            incidents=UPSTREAM_FAULTS,
        ),
        Scenario(
            "in-flight-reports",
            columns=("rif", "q", "busy", "rate"),
            traffic=replace(SURGE, surge_factor=2.5),
            incidents=UPSTREAM_FAULTS[5:],
        ),
        Scenario(
            "priced-zones",
            prices=Prices(cross_zone=0.2, connection=0.1),
            weights="rough",
            columns=("busy", "rate", "lat_ms", "fail_rate"),
        ),
        Scenario(
            "late-worth", classes=(LATE, SAFE), traffic=replace(SURGE, send_hints=True, surge_factor=1.8)
        ),
        Scenario("all-hang", incidents=(Incident("hang", 2.0, 8, 2.0),), weights="live"),
    ]


def _large() -> list[Scenario]:
    steady = Traffic(rate_per_s=300.0)
    return [
        Scenario("forty-trouble", 40, classes=MIXED, traffic=steady, incidents=UPSTREAM_FAULTS),
        Scenario(
            "forty-membership",
            40,
            classes=MIXED,
            incidents=MEMBERSHIP_CHANGES,
            cold_fraction=0.5,
            stale_endpoints=5,
        ),
        Scenario("forty-all-cold", 40, cold_fraction=1.0, traffic=replace(steady, load=0.5)),
        Scenario("forty-surge", 40, tenants=TENANTS, traffic=SURGE, over_quota_weight=0.2),
        Scenario("forty-no-reports", 40, reports="none", traffic=SURGE, incidents=UPSTREAM_FAULTS[1:2]),
        Scenario(
            "forty-probes",
            40,
            reports="probe",
            limits=Limits(probes=True),
            columns=("busy", "rate", "rif"),
            incidents=(Incident("down", 2.0, 10, 3.0),),
        ),
        Scenario(
            "forty-keys",
            40,
            traffic=replace(steady, key_count=1500, hot_key_fraction=0.1),
            warm_keys=True,
            cold_fraction=0.4,
            prices=Prices(cross_zone=0.1),
        ),
        Scenario(
            "three-hundred",
            300,
            classes=MIXED,
            traffic=steady,
            incidents=(*UPSTREAM_FAULTS, *MEMBERSHIP_CHANGES),
        ),
        Scenario(
            "three-hundred-cold",
            300,
            sidecars=1,
            balancers=8,
            cold_fraction=0.6,
            seconds=5.0,
            traffic=replace(steady, rate_per_s=500.0, load=0.7),
            incidents=(Incident("errors", 1.0, 60, 3.0), Incident("drain", 2.0, 30)),
        ),
    ]


def named_scenarios() -> list[Scenario]:
    """Return the named scenarios."""
    return [*_small(), *_medium(), *_large()]


def random_scenario(number: int, random: Random) -> Scenario:
    """Draw a random scenario from the ranges that the named scenarios cover."""
    count = random.choice((3, 12, 12, 40, 300))
    reports = random.choice(("answers", "answers", "probe", "none"))
    classes = random.sample((*MIXED, STREAMED, LATE), random.randint(1, 4))
    incidents = random.sample((*UPSTREAM_FAULTS, *MEMBERSHIP_CHANGES), random.randint(0, 6))
    traffic = Traffic(
        rate_per_s=random.uniform(100.0, 400.0),
        load=random.uniform(0.2, 0.9),
        surge_factor=random.choice((1.0, 1.5, 3.0)),
        key_count=random.choice((0, 30, 900)),
        hot_key_fraction=random.choice((0.0, 0.3)),
        send_hints=random.random() < 0.5,
        resend_probability=random.choice((0.0, 0.5)),
    )
    return Scenario(
        f"random-{number}",
        count,
        cold_fraction=random.choice((0.0, 0.0, 0.4, 1.0)),
        stale_endpoints=random.choice((0, 2)),
        sidecars=random.randint(1, 3),
        balancers=random.choice((3, 8)),
        seconds=random.uniform(4.0, 8.0),
        origin_s=random.choice((0.25, 1000.0, 86_400.5)),
        classes=tuple(classes),
        tenants=random.choice(((), TENANTS)),
        traffic=traffic,
        limits=Limits(
            random.random() < 0.7, random.random() < 0.7, reports == "probe", random.randint(1, 5), True
        ),
        prices=Prices(random.choice((0.0, 0.2)), random.choice((0.0, 0.05)), random.choice((0.0, 0.1))),
        incidents=tuple(sorted(incidents, key=lambda incident: incident.start_s)),
        reports=reports,
        columns=random.choice((("rate", "busy"), ("rif", "busy", "rate"), ("busy",))),
        membership=random.choice(("on_request", "pushed")),
        weights=random.choice(("none", "nominal", "rough", "live")),
        warm_keys=random.random() < 0.5,
        counted_by=random.choice(("request", "work")),
        over_quota_weight=random.choice((1.0, 0.1)),
    )
