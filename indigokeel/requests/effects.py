"""Inputs and results of the request coordinator: plain values, independent of any protocol."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from indigokeel.balancing.settings import Settings
from indigokeel.requests.unserved import Unserved


class FinalStatus(Enum):
    """The kind of the final answer to a request."""

    __hash__ = object.__hash__

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class Request:
    """A client's request, which gets exactly one final answer within ``budget`` seconds."""

    id: str
    class_name: str
    budget: float
    tenant: str = ""
    key: str = ""
    hint: float = 0.0  # the client's estimate of its work, in seconds of a standard core; 0 if there is none
    queued_s: float = 0.0  # seconds of the client's time limit spent behind other requests of the connection
    body_streamed: bool = False  # the time limit starts with the last byte of the body
    # Clock time since which that byte may be waiting unread, or None if the client has certainly not sent it
    # yet; the time limit then runs since that time.
    body_unread_since: float | None = None
    limited_by_shutdown: bool = False  # a shutdown made ``budget`` shorter than the client's time limit
    settings: Settings | None = None  # in force when it arrived; None: those in force when it is accepted


@dataclass(slots=True)
class Attempt:
    """One attempt to have a request served by one upstream."""

    request_id: str
    number: int
    upstream: str
    times_out_at: float  # clock time


@dataclass(slots=True)
class FinalAnswer:
    """The final answer to a request; ``attempt`` is the number of the attempt that served it, or -1."""

    request_id: str
    status: FinalStatus
    retry_after_s: float = 0.0
    attempt: int = -1
    unserved: Unserved | None = field(default=None, compare=False)  # why it was not served


@dataclass(slots=True)
class Effects:
    """What the network code has to do now."""

    attempts: list[Attempt] = field(default_factory=list)
    answers: list[FinalAnswer] = field(default_factory=list)
    # Attempts to cancel by closing their connection: request id and attempt number.
    cancelled_attempts: list[tuple[str, int]] = field(default_factory=list)
    health_checks: list[str] = field(default_factory=list)  # upstreams
    drain_connections: list[str] = field(default_factory=list)  # upstreams whose connections are drained
    preconnect: list[str] = field(default_factory=list)  # new upstreams to open connections to in advance
    log_messages: list[str] = field(default_factory=list)
    start_watch: bool = False  # of the endpoint list
    fetch_endpoints: bool = False  # once
