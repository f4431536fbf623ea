"""Actions that the balancer returns; the caller carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(slots=True)
class SendAttempt:
    """Send an attempt to an upstream.

    The attempts of a request are numbered 0, 1, 2, ... in the order of these actions.
    """

    id: str
    upstream: str
    timeout: float = 0.0  # in seconds; 0: no limit but the deadline of the request


@dataclass(slots=True)
class RejectRequest:
    """Give the final answer (rejected): the client may safely repeat the request."""

    id: str
    retry_after_s: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Give the final answer (failed): the request may or may not have been executed."""

    id: str


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an open attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Deliver a TimerFired event with this token after ``delay`` seconds."""

    delay: float
    token: int


@dataclass(slots=True)
class SendHealthCheck:
    """Request a load report from an upstream."""

    upstream: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections of this sidecar to an upstream."""

    upstream: str


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list for changes."""


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True)
class LogMessage:
    """Write a log line for operators."""

    text: str


Action: TypeAlias = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | SendHealthCheck
    | CloseIdleConnections
    | WatchEndpoints
    | FetchEndpoints
    | LogMessage
)
