"""The settings of the balancer, as a deployment states them. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from indigokeel.balancing.fast_enum import FastHashEnum


class Idempotency(FastHashEnum):
    """Whether a request may be repeated after it may have been executed."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(FastHashEnum):
    """The upstreams among which a repeat of a keyed request is detected and not executed again."""

    ALL = "all"
    ZONE = "zone"
    REPLICA_GROUP = "cell"


class LoadReportSource(FastHashEnum):
    """The source of load reports."""

    ANSWERS = "answers"
    HEALTH_CHECKS = "probes"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One request class."""

    name: str
    latency_objective: float  # a response within this time has full value
    deadline: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window: float = 0.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    streaming: bool = False
    objective_stretch: float = 0.0  # the objective is extended by this multiple of the work estimate


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """One tenant and its agreed share of the service."""

    name: str
    share: float = 0.0
    quota: float = 0.0  # requests per second over all sidecars; 0: no quota


@dataclass(frozen=True, slots=True)
class Limits:
    """Optional features that the deployment permits, and its limits."""

    cancellation: bool = True
    hedging: bool = True
    health_checks: bool = False
    max_attempts: int = 3
    connect_timeout: float = 0.25
    keepalive: float = 15.0
    retry_after: bool = False  # rejected requests are answered with a retry delay
    max_retry_after: float = 0.0
    max_open_requests: int = 20_000


@dataclass(frozen=True, slots=True)
class Safety:
    """Parameters of the safety rules."""

    poll_within: float = 10.0
    warm_up_initial_ratio: float = 0.3
    warm_up_time: float = 10.0
    drain_grace: float = 1.0
    overload_multiple: float = 3.0
    overload_window: float = 2.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs that a deployment charges per unit, as fractions of the total value."""

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
    polls_membership: bool = False  # True: updates arrive only after a WatchEndpoints or FetchEndpoints
    scale_is_capacity: bool = False  # True: Member.scale is the relative capacity of an upstream
    key_affinity: bool = False  # an upstream does less work for a key that it has served recently
    weight_by_work: bool = False  # priority weights are per unit of work, not per request
    over_quota_weight: float = 1.0

    def find_class(self, name: str) -> ClassSettings | None:
        """Return the settings of a class, or None if there is no class of this name."""
        for class_settings in self.classes:
            if class_settings.name == name:
                return class_settings
        return None
