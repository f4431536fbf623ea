"""Why a request was not served: the cause of a rejected or failed final answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.requests.open_request import OpenRequest


class UnservedCause(Enum):
    """Why a request ended without an upstream's response; the value is part of its counter's name."""

    __hash__ = object.__hash__

    LATENCY_OBJECTIVE = "latency_objective"  # an attempt timed out before the deadline of its request
    DEADLINE = "deadline"
    BROKEN_CONNECTION = "broken_connection"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_REJECTION = "upstream_rejection"
    NO_CONNECTION = "no_connection"
    NOT_SENT = "not_sent"  # stopped by the check right before the first byte, or by a local error
    NO_UPSTREAM = "no_upstream"
    OVERLOAD = "overload"  # rejected without an attempt
    SHUTDOWN = "shutdown"
    INTERNAL_ERROR = "internal_error"


_CAUSES_BY_OUTCOME = {
    AttemptOutcome.ERROR: UnservedCause.UPSTREAM_ERROR,
    AttemptOutcome.REJECTED: UnservedCause.UPSTREAM_REJECTION,
    AttemptOutcome.TIMED_OUT: UnservedCause.LATENCY_OBJECTIVE,
    AttemptOutcome.NO_CONNECTION: UnservedCause.NO_CONNECTION,
    AttemptOutcome.BROKEN: UnservedCause.BROKEN_CONNECTION,
    AttemptOutcome.NOT_SENT: UnservedCause.NOT_SENT,
}


@dataclass(frozen=True, slots=True)
class Unserved:
    """Details of a request that was not served, for counters and the log."""

    cause: UnservedCause
    class_name: str
    upstream: str = ""  # of the last attempt
    may_have_run: bool = False
    elapsed_s: float = 0.0  # since the request was received


def explain_unserved(
    now: float, request: OpenRequest, has_upstreams: bool, cause: UnservedCause | None = None
) -> Unserved:
    """Return why a request that is answered now was not served.

    ``cause`` overrides the cause that the deadline, the attempts and the endpoint list imply.
    """
    last = request.attempts[-1] if request.attempts else None
    return Unserved(
        cause or _infer_cause(now, request, has_upstreams),
        request.class_name,
        last.upstream if last is not None else "",
        request.may_have_run(),
        max(now - request.received_at, 0.0),
    )


def _infer_cause(now: float, request: OpenRequest, has_upstreams: bool) -> UnservedCause:
    if now >= request.respond_by:
        return UnservedCause.SHUTDOWN if request.limited_by_shutdown else UnservedCause.DEADLINE
    for attempt in reversed(request.attempts):
        if attempt.outcome is not None and attempt.outcome in _CAUSES_BY_OUTCOME:
            return _CAUSES_BY_OUTCOME[attempt.outcome]
    return UnservedCause.OVERLOAD if has_upstreams else UnservedCause.NO_UPSTREAM
