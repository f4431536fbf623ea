"""Define the deployments and the trouble that two checkouts are compared on.

A scenario fixes settings, fleet, traffic and incidents. The named ones cover what decisions depend on; more
are drawn at random from the same ranges.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from random import Random

AIM_OF_WORK = 6.0  # the aim of a class, as a multiple of the mean work of a request
ZONES = ("east", "west", "north")
KINDS = ("small", "large")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Describe one class of requests; its times are multiples of the mean work."""

    name: str
    effect: str = "safe"
    group: str = "all"
    importance: float = 1.0
    late_worth: float = 0.0
    streaming: bool = False
    aim_stretch: float = 0.0
    aim_of_work: float = AIM_OF_WORK
    deadline_of_aim: float = 2.0
    window_of_deadline: float = 0.7


@dataclass(frozen=True, slots=True)
class Tenant:
    """Describe one tenant; its quota is a part of the usual rate of requests."""

    name: str
    share: float
    quota_of_rate: float
    traffic: float


@dataclass(frozen=True, slots=True)
class Incident:
    """Describe trouble: what happens, when, for how long and to how many upstreams."""

    kind: str
    at_s: float
    count: int = 1
    lasting_s: float = 1.5


@dataclass(frozen=True, slots=True)
class Traffic:
    """Describe how requests arrive."""

    rate_per_s: float = 220.0
    load: float = 0.55  # the part of the fleet's capacity that the usual rate takes
    surge: float = 1.0  # the rate is multiplied by this ...
    surge_from_s: float = 2.0
    surge_until_s: float = 4.0
    keys: int = 0
    hot_key: float = 0.0  # the part of the requests that has the same key
    hints: bool = False
    leaving: float = 0.01  # the part of the clients that leave early
    resending: float = 0.0  # the part of the refused clients that come again
    short_budget: float = 0.05  # the part of the clients that wait only briefly


@dataclass(frozen=True, slots=True)
class Limits:
    """State what the deployment permits."""

    cancelling: bool = True
    second_copies: bool = True
    probes: bool = False
    max_attempts: int = 4
    retry_after: bool = False


@dataclass(frozen=True, slots=True)
class Prices:
    """State what the deployment deducts."""

    cross_zone: float = 0.0
    probe: float = 0.0
    connection: float = 0.0


SAFE = RequestClass("view")
KEYED_ALL = RequestClass("order", "keyed", "all", importance=3.0)
KEYED_ZONE = RequestClass("move", "keyed", "zone", importance=4.0)
KEYED_CELL = RequestClass("reserve", "keyed", "cell", importance=5.0)
UNSAFE = RequestClass("pay", "unsafe", importance=8.0)
STREAMED = RequestClass("watch", streaming=True, importance=2.0)
LATE = RequestClass("report", late_worth=0.4, aim_stretch=2.0)
MIXED = (SAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL, UNSAFE)
TENANTS = (
    Tenant("blue", 0.6, 0.5, 0.4),
    Tenant("green", 0.3, 0.15, 0.5),
    Tenant("free", 0.1, 0.0, 0.1),
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe one deployment and what happens to it."""

    name: str
    upstreams: int = 12
    cold: float = 0.0  # the part of the upstreams that have just started
    stale: int = 0  # upstreams in the first list that are gone
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
    over_share_worth: float = 1.0
    cold_from: float = 0.35
    warm_within_s: float = 4.0
    overload_for_s: float = 1.5

    def settings(self, me: int, work_s: float) -> str:
        """Format the settings of one sidecar as the wire's JSON object."""
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
                "cold-from": self.cold_from,
                "drain-grace-s": 0.25,
                "overload-for-s": self.overload_for_s,
                "tip-multiple": 3.0,
                "warm-within-s": self.warm_within_s,
            },
            "telemetry": {"how": self.reports, "columns": list(self.columns)},
            "membership-mode": self.membership,
            "weights": self.weights,
            "specifics": {"warm-keys": self.warm_keys},
            "counted-by": self.counted_by,
            "over-share-worth": self.over_share_worth,
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
    aim_s = cls.aim_of_work * work_s
    deadline_s = aim_s * cls.deadline_of_aim
    return {
        "name": cls.name,
        "objective-s": aim_s,
        "deadline-s": deadline_s,
        "effect": cls.effect,
        "group": cls.group,
        "repeat-window-s": deadline_s * cls.window_of_deadline,
        "importance": cls.importance,
        "late-worth": cls.late_worth,
        "streaming": cls.streaming,
        "aim-stretch": cls.aim_stretch,
    }


def _tenant_settings(tenant: Tenant, traffic: Traffic) -> dict[str, object]:
    quota = tenant.quota_of_rate * traffic.rate_per_s
    return {"name": tenant.name, "share": tenant.share, "quota-per-s": quota}


SURGE = Traffic(surge=3.0, load=0.6, resending=0.4)
TROUBLE = (
    Incident("errors", 1.0, 1),
    Incident("hang", 2.0, 1),
    Incident("down", 3.0, 1),
    Incident("breaks", 4.0, 1),
    Incident("full", 5.0, 1),
    Incident("slow", 6.0, 1),
)
MEMBERSHIP = (
    Incident("drain", 0.7, 1),
    Incident("restart", 1.4, 2, 0.4),
    Incident("add", 2.0, 2),
    Incident("remove", 2.6, 1),
    Incident("subscription-break", 3.0),
    Incident("discovery-outage", 3.5, lasting_s=1.2),
    Incident("restart", 4.0, 1, 0.2),
    Incident("restart-sidecar", 4.6),
    Incident("add", 5.5, 25),
)


def _small() -> list[Scenario]:
    return [
        Scenario("small-safe", 3, sidecars=1, balancers=1, classes=(SAFE,), membership="pushed"),
        Scenario("small-all-cold", 3, cold=1.0, traffic=Traffic(load=0.3), incidents=TROUBLE[:2]),
        Scenario("small-trouble", 3, classes=MIXED, incidents=TROUBLE),
        Scenario("small-restarts", 3, sidecars=4, balancers=4, incidents=MEMBERSHIP, stale=2),
        Scenario("empty-list", 3, incidents=(Incident("remove", 1.0, 3), Incident("add", 3.0, 3))),
    ]


def _middle() -> list[Scenario]:
    return [
        Scenario("mixed-trouble", classes=MIXED, incidents=TROUBLE, limits=Limits(max_attempts=2)),
        Scenario("mixed-membership", classes=MIXED, incidents=MEMBERSHIP, stale=4, cold=0.3),
        Scenario(
            "tenants-surge",
            classes=(SAFE, KEYED_ALL, UNSAFE),
            tenants=TENANTS,
            traffic=SURGE,
            over_share_worth=0.1,
            limits=Limits(retry_after=True),
        ),
        Scenario(
            "tenants-by-work",
            tenants=TENANTS,
            traffic=replace(SURGE, surge=2.2, hints=True),
            counted_by="work",
            over_share_worth=0.4,
            weights="nominal",
        ),
        Scenario(
            "hot-key",
            traffic=Traffic(keys=80, hot_key=0.4),
            warm_keys=True,
            cold=0.3,
            incidents=TROUBLE[:3],
        ),
        Scenario(
            "streaming", classes=(STREAMED, SAFE), incidents=(*TROUBLE, Incident("restart", 6.5, 3, 0.3))
        ),
        Scenario(
            "single-attempt-out",
            limits=Limits(second_copies=False, cancelling=False),
            classes=MIXED,
            incidents=TROUBLE,
        ),
        Scenario("no-reports", reports="none", traffic=replace(SURGE, surge=2.5), incidents=TROUBLE[1:3]),
        Scenario(
            "probes",
            reports="probe",
            limits=Limits(probes=True),
            prices=Prices(probe=0.01),
            incidents=TROUBLE,
        ),
        Scenario(
            "in-flight-reports",
            columns=("rif", "q", "busy", "rate"),
            traffic=replace(SURGE, surge=2.5),
            incidents=TROUBLE[5:],
        ),
        Scenario(
            "priced-zones",
            prices=Prices(cross_zone=0.2, connection=0.1),
            weights="rough",
            columns=("busy", "rate", "lat_ms", "fail_rate"),
        ),
        Scenario("late-worth", classes=(LATE, SAFE), traffic=replace(SURGE, hints=True, surge=1.8)),
        Scenario("all-hang", incidents=(Incident("hang", 2.0, 8, 2.0),), weights="live"),
    ]


def _large() -> list[Scenario]:
    steady = Traffic(rate_per_s=300.0)
    return [
        Scenario("forty-trouble", 40, classes=MIXED, traffic=steady, incidents=TROUBLE),
        Scenario("forty-membership", 40, classes=MIXED, incidents=MEMBERSHIP, cold=0.5, stale=5),
        Scenario("forty-all-cold", 40, cold=1.0, traffic=replace(steady, load=0.5)),
        Scenario("forty-surge", 40, tenants=TENANTS, traffic=SURGE, over_share_worth=0.2),
        Scenario("forty-no-reports", 40, reports="none", traffic=SURGE, incidents=TROUBLE[1:2]),
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
            traffic=replace(steady, keys=1500, hot_key=0.1),
            warm_keys=True,
            cold=0.4,
            prices=Prices(cross_zone=0.1),
        ),
        Scenario("three-hundred", 300, classes=MIXED, traffic=steady, incidents=(*TROUBLE, *MEMBERSHIP)),
        Scenario(
            "three-hundred-cold",
            300,
            sidecars=1,
            balancers=8,
            cold=0.6,
            seconds=5.0,
            traffic=replace(steady, rate_per_s=500.0, load=0.7),
            incidents=(Incident("errors", 1.0, 60, 3.0), Incident("drain", 2.0, 30)),
        ),
    ]


def named_scenarios() -> list[Scenario]:
    """Return the scenarios that cover what decisions depend on."""
    return [*_small(), *_middle(), *_large()]


def random_scenario(number: int, random: Random) -> Scenario:
    """Draw a scenario from the ranges of the named ones."""
    count = random.choice((3, 12, 12, 40, 300))
    reports = random.choice(("answers", "answers", "probe", "none"))
    classes = random.sample((*MIXED, STREAMED, LATE), random.randint(1, 4))
    incidents = random.sample((*TROUBLE, *MEMBERSHIP), random.randint(0, 6))
    traffic = Traffic(
        rate_per_s=random.uniform(100.0, 400.0),
        load=random.uniform(0.2, 0.9),
        surge=random.choice((1.0, 1.5, 3.0)),
        keys=random.choice((0, 30, 900)),
        hot_key=random.choice((0.0, 0.3)),
        hints=random.random() < 0.5,
        resending=random.choice((0.0, 0.5)),
    )
    return Scenario(
        f"random-{number}",
        count,
        cold=random.choice((0.0, 0.0, 0.4, 1.0)),
        stale=random.choice((0, 2)),
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
        incidents=tuple(sorted(incidents, key=lambda incident: incident.at_s)),
        reports=reports,
        columns=random.choice((("rate", "busy"), ("rif", "busy", "rate"), ("busy",))),
        membership=random.choice(("on_request", "pushed")),
        weights=random.choice(("none", "nominal", "rough", "live")),
        warm_keys=random.random() < 0.5,
        counted_by=random.choice(("request", "work")),
        over_share_worth=random.choice((1.0, 0.1)),
    )
