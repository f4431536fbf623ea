"""The actions that the balancer orders, as values. The caller carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(slots=True)
class SendAttempt:
    """Launch an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of these actions."""

    id: str
    upstream: str
    timeout: float = 0.0  # 0: until the client gives up


@dataclass(slots=True)
class RejectRequest:
    """Final answer: refused; trying again is harmless."""

    id: str
    retry_after_s: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed; nothing is promised about the effect."""

    id: str


@dataclass(slots=True)
class CancelAttempt:
    """Cancel one attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired after ``delay`` seconds."""

    delay: float
    token: int


@dataclass(slots=True)
class SendHealthCheck:
    """Ask an upstream for its load."""

    upstream: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close this instance's idle connections to an upstream."""

    upstream: str


@dataclass(slots=True)
class WatchEndpoints:
    """Ask discovery for changes from now on."""


@dataclass(slots=True)
class FetchEndpoints:
    """Ask discovery for the whole list, once."""


@dataclass(slots=True)
class LogMessage:
    """A line for the operators."""

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
