"""Events that the balancer handles.

All times are in seconds; the clock is monotonic and has an arbitrary origin. An event must not be modified
after it was passed to the balancer. Events are not frozen all the same, because creating a frozen dataclass
takes three times as long.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from indigokeel.balancing.fast_enum import FastHashEnum
from indigokeel.balancing.settings import Settings


class EndpointState(FastHashEnum):
    """The state of an upstream according to discovery."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(FastHashEnum):
    """The kinds of membership updates."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptOutcome(FastHashEnum):
    """How an attempt ended. ``never_ran`` is True if the upstream certainly did not execute the request."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "refused"  # the upstream reports that it did not start the request: it is full or draining
    TIMED_OUT = "timeout"
    NO_CONNECTION = "no_connection"  # the request was not written in full
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "never_sent"  # the request had ended, or the upstream accepted no new attempts

    def __init__(self, value: str) -> None:
        self.never_ran = value in ("refused", "no_connection", "never_sent")


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream as listed by discovery."""

    id: str
    zone: str = ""
    kind: str = ""
    replica_group: int = -1
    state: EndpointState = EndpointState.SERVING
    scale: float = 1.0
    started: float = 0.0  # clock time at which it last started; 0: long ago


@dataclass(slots=True)
class LoadReport:
    """A load report; a figure that the upstream does not report is None."""

    rate: float | None = None  # requests served per second
    utilisation: float | None = None  # fraction of its cores that is busy
    in_flight: float | None = None
    queued: float | None = None
    latency: float | None = None
    error_rate: float | None = None


@dataclass(slots=True)
class MembershipUpdate:
    """A message from discovery: changed members, the complete list, or a failed call."""

    kind: UpdateKind
    members: tuple[Member, ...] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request, which must receive exactly one final answer within ``budget`` seconds."""

    id: str
    class_name: str
    budget: float
    tenant: str = ""
    key: str = ""
    hint: float = 0.0  # rough work estimate, in seconds on a standard core; 0: none
    settings: Settings | None = None  # in force when it arrived; None: those in force now


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has started, so its deadline no longer applies."""

    id: str
    upstream: str
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The outcome of an attempt, reported exactly once.

    ``final``: the request has ended, with this outcome or earlier.
    """

    id: str
    upstream: str
    attempt: int
    outcome: AttemptOutcome
    elapsed: float
    final: bool = False
    load: LoadReport | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected: the request has ended and needs no final answer."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that this balancer set has fired."""

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
    """A sample of the event loop's lag in seconds, taken every ``LAG_SAMPLE_INTERVAL_S``."""

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
