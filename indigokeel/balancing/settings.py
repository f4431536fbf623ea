"""The settings of the balancer: what a deployment states. All times are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from indigokeel.balancing.fast_enum import FastHashEnum


class Idempotency(FastHashEnum):
    """What a repeat of a request may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(FastHashEnum):
    """The upstreams that drop a repeat of the same keyed request."""

    ALL = "all"
    ZONE = "zone"
    REPLICA_GROUP = "cell"


class LoadReportSource(FastHashEnum):
    """Where load reports come from."""

    ANSWERS = "answers"
    HEALTH_CHECKS = "probes"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    name: str
    latency_objective: float  # an answer within this time has the full value
    deadline: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window: float = 0.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    streaming: bool = False
    objective_stretch: float = 0.0  # the objective is extended by this multiple of the work hint


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """One tenant and its agreed share of the service."""

    name: str
    share: float = 0.0
    quota: float = 0.0  # requests a second over all sidecars; 0: none stated


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits and its limits."""

    cancellation: bool = True
    hedging: bool = True
    health_checks: bool = False
    max_attempts: int = 3
    connect_timeout: float = 0.25
    keepalive: float = 15.0
    retry_after: bool = False  # clients receive the wait that a refusal advises
    max_retry_after: float = 0.0
    max_open_requests: int = 20_000


@dataclass(frozen=True, slots=True)
class Safety:
    """The figures of the safety rules."""

    poll_within: float = 10.0
    warm_up_initial_ratio: float = 0.3
    warm_up_time: float = 10.0
    drain_grace: float = 1.0
    overload_multiple: float = 3.0
    overload_window: float = 2.0


@dataclass(frozen=True, slots=True)
class Prices:
    """What a deployment deducts, in parts of the whole for each unit."""

    cross_zone: float = 0.0
    health_check: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one balancer."""

    classes: tuple[ClassSettings, ...]
    instance_index: int = 0
    sidecars: int = 1
    zone: str = ""
    tenants: tuple[TenantSettings, ...] = ()
    limits: Limits = field(default_factory=Limits)
    safety: Safety = field(default_factory=Safety)
    prices: Prices = field(default_factory=Prices)
    load_report_source: LoadReportSource = LoadReportSource.ANSWERS
    polls_membership: bool = False  # True: changes arrive only after a Subscribe or a FetchList
    scale_is_capacity: bool = False  # True: Member.scale is the size of an upstream
    key_affinity: bool = False  # an upstream does less work for a key it met lately
    weight_by_work: bool = False  # priority weights are for each unit of work
    over_quota_weight: float = 1.0
