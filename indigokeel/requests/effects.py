"""What the coordinator takes and returns: plain values, independent of any protocol."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from indigokeel.requests.unserved import Unserved


class FinalStatus(Enum):
    """The final answer to a request."""

    __hash__ = object.__hash__

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class Request:
    """A client's request, owed exactly one answer within ``budget`` seconds."""

    id: str
    class_name: str
    budget: float
    tenant: str = ""
    key: str = ""
    hint: float = 0.0  # estimate of its work in seconds of a standard core; 0: none
    waited: float = 0.0  # seconds of its client's time spent behind other requests of the connection
    long: bool = False  # its body is streamed: its time starts with ``request_body_received``
    limited_by_shutdown: bool = False  # its budget is shorter than its client's because the process ends


@dataclass(slots=True)
class Attempt:
    """One attempt at a request on one upstream, which times out at clock time ``until``."""

    request_id: str
    number: int
    upstream: str
    until: float


@dataclass(slots=True)
class FinalAnswer:
    """The final answer to a request; ``attempt`` is the number of the one that served it, else -1."""

    request_id: str
    status: FinalStatus
    retry_after_s: float = 0.0
    attempt: int = -1
    unserved: Unserved | None = field(default=None, compare=False)  # why it is no success


@dataclass(slots=True)
class Effects:
    """What the process has to do now."""

    attempts: list[Attempt] = field(default_factory=list)
    answers: list[FinalAnswer] = field(default_factory=list)
    # Attempts whose connection is to close, by request id and number.
    cancelled: list[tuple[str, int]] = field(default_factory=list)
    health_checks: list[str] = field(default_factory=list)
    close_idle: list[str] = field(default_factory=list)
    warm: list[str] = field(default_factory=list)  # new upstreams, to open connections to
    notes: list[str] = field(default_factory=list)
    watch: bool = False
    fetch: bool = False
