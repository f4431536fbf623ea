"""The events that the balancer is handed, as values.

All times are seconds; the clock is monotonic and has an arbitrary origin. Nobody changes an event after it
was handed over; events are not frozen, because creating a frozen dataclass takes three times as long.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from indigokeel.balancing.fast_enum import FastHashEnum


class EndpointState(FastHashEnum):
    """What discovery says of an upstream."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(FastHashEnum):
    """The kinds of message that discovery sends."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptOutcome(FastHashEnum):
    """How an attempt ended. ``never_ran`` is True where it is proved that the attempt had no effect."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "refused"  # the upstream states that it did not start: it is full or draining
    TIMED_OUT = "timeout"
    NO_CONNECTION = "no_connection"  # not all of the request was written
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "never_sent"  # the request was over, or the upstream took nothing new

    def __init__(self, value: str) -> None:
        self.never_ran = value in ("refused", "no_connection", "never_sent")


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream as discovery lists it."""

    id: str
    zone: str = ""
    kind: str = ""
    replica_group: int = -1
    state: EndpointState = EndpointState.SERVING
    scale: float = 1.0
    started: float = 0.0  # clock time of its last start; 0: long ago


@dataclass(slots=True)
class LoadReport:
    """A load report; None where the upstream does not report the figure."""

    rate: float | None = None  # requests served a second
    utilisation: float | None = None  # busy share of its cores
    in_flight: float | None = None
    queued: float | None = None
    latency: float | None = None
    error_rate: float | None = None


@dataclass(slots=True)
class MembershipUpdate:
    """A message of discovery: a change, a whole list, or a failed call."""

    kind: UpdateKind
    members: tuple[Member, ...] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request, to be given exactly one final answer within ``budget`` seconds."""

    id: str
    class_name: str
    budget: float
    tenant: str = ""
    key: str = ""
    hint: float = 0.0  # rough estimate of its work in seconds of a standard core; 0: none


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer has started: its deadline no longer runs."""

    id: str
    upstream: str
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The one outcome of one attempt. ``final``: the request is over, by this outcome or before."""

    id: str
    upstream: str
    attempt: int
    outcome: AttemptOutcome
    elapsed: float
    final: bool = False
    load: LoadReport | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected: the request is over and needs no answer."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that this balancer ordered fired."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """The result of one health check."""

    upstream: str
    outcome: AttemptOutcome
    elapsed: float
    load: LoadReport | None = None


LAG_SAMPLE_INTERVAL_S = 0.05


@dataclass(slots=True)
class LagSampled:
    """The lag of the sidecar's event loop in seconds, sampled every ``LAG_SAMPLE_INTERVAL_S``."""

    seconds: float


Event: TypeAlias = (
    MembershipUpdate
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | LagSampled
)
