"""The protocol of the simulator: parses events and formats actions. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from indigokeel.balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpoints,
)
from indigokeel.balancing.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    Event,
    HealthCheckEnded,
    LoadReport,
    Member,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from indigokeel.balancing.settings import Settings
from indigokeel.config import SettingsError, decode_settings
from indigokeel.config.load_report_fields import LOAD_REPORT_FIELDS

Parts = dict[str, str]  # the values of a line, by name

_STATES = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
_OUTCOMES = {
    "completed": AttemptOutcome.OK,
    "errored": AttemptOutcome.ERROR,
    "saturated": AttemptOutcome.REJECTED,
    "overdue": AttemptOutcome.TIMED_OUT,
    "refused_conn": AttemptOutcome.NO_CONNECTION,
    "severed": AttemptOutcome.BROKEN,
    "recalled": AttemptOutcome.CANCELLED,
    "superseded": AttemptOutcome.NOT_SENT,
}


class WireError(ValueError):
    """A message that the simulator's protocol does not allow."""


def parse_parts(line: str) -> Parts:
    """Split a line into its ``name=value`` parts; the line must contain no free text."""
    try:
        return dict([part.split("=", 1) for part in line.split(" ")[1:]])
    except ValueError:
        raise WireError("a part without '='") from None


def parse_load(text: str | None) -> LoadReport | None:
    """Parse a load report; figures with unknown names are ignored."""
    if not text or text == "-":
        return None
    figures: dict[str, float] = {}
    for pair in text.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise WireError(f"a load report without ':' in {pair!r}")
        known = LOAD_REPORT_FIELDS.get(name)
        if known is not None:
            figures[known] = float(value) / 1000.0 if known == "latency" else float(value)
    return LoadReport(**figures)


def parse_member(line: str) -> Member:
    """Parse one entry of an endpoint list."""
    parts = parse_parts(line)
    state = _STATES.get(parts.get("lifecycle", "SERVING"))
    if state is None:
        raise WireError(f"unknown lifecycle {parts['lifecycle']!r}")
    return Member(
        id=parts["upstream"],
        zone=parts.get("failure-domain", ""),
        kind=parts.get("model", ""),
        replica_group=int(parts.get("pod", "-1")),
        state=state,
        scale=float(parts.get("scale", "1")),
        started=float(parts.get("start-time-s", "0")),
    )


def parse_settings(text: str) -> Settings:
    """Decode the settings of a SPAWN message."""
    try:
        return decode_settings(orjson.loads(text))
    except orjson.JSONDecodeError as error:
        raise WireError(f"bad JSON: {error}") from None
    except SettingsError as error:
        raise WireError(str(error)) from None


def _parse_request(parts: Parts) -> Event:
    return RequestArrived(
        id=parts["id"],
        class_name=parts["band"],
        budget=float(parts["budget-s"]),
        tenant=parts.get("org", ""),
        key=parts.get("resource", ""),
        hint=float(parts.get("hint-s", "0")),
    )


def _parse_outcome(parts: Parts) -> AttemptOutcome:
    code = parts["state-code"]
    if code not in _OUTCOMES:
        raise WireError(f"unknown state-code {code!r}")
    return _OUTCOMES[code]


def _parse_attempt_result(parts: Parts) -> Event:
    return AttemptEnded(
        id=parts["id"],
        upstream=parts["upstream"],
        attempt=int(parts["try"]),
        outcome=_parse_outcome(parts),
        elapsed=float(parts["delay-seen-s"]),
        final=parts.get("final") == "1",
        load=parse_load(parts.get("feedback")),
    )


def _parse_health_check_result(parts: Parts) -> Event:
    return HealthCheckEnded(
        upstream=parts["upstream"],
        outcome=_parse_outcome(parts),
        elapsed=float(parts["delay-seen-s"]),
        load=parse_load(parts.get("feedback")),
    )


EVENT_PARSERS: dict[str, Callable[[Parts], Event]] = {
    "REQUEST": _parse_request,
    "REPORT_BACK": _parse_attempt_result,
    "DEADLINE_HIT": lambda parts: TimerFired(int(parts["handle"])),
    "LEFT": lambda parts: ClientDisconnected(parts["id"]),
    "OPENED": lambda parts: ResponseStarted(parts["id"], parts["upstream"], int(parts["try"])),
    "ECHO": _parse_health_check_result,
}


def format_time(seconds: float) -> str:
    """Format a time with the resolution of the protocol, a microsecond."""
    return f"{seconds:.6f}".rstrip("0").rstrip(".")


def format_text(text: str) -> str:
    """Format free text, which must not contain line breaks."""
    return " ".join(text.split()) or "-"


def _format_send(action: SendAttempt) -> str:
    limit = f" limit-s={format_time(action.timeout)}" if action.timeout else ""
    return f"id={action.id} upstream={action.upstream}{limit}"


def _format_rejection(action: RejectRequest) -> str:
    wait = f" retry-in-s={format_time(action.retry_after_s)}" if action.retry_after_s else ""
    return f"id={action.id}{wait}"


# The name of each action in the protocol, and the formatter of the values after the sidecar number.
_FORMATS: dict[type, tuple[str, Callable[[Any], str]]] = {
    SendAttempt: ("FORWARD", _format_send),
    SetTimer: ("SET_TIMER", lambda action: f"delay-s={format_time(action.delay)} handle={action.token}"),
    CloseIdleConnections: ("SHUT_IDLE", lambda action: f"upstream={action.upstream}"),
    RejectRequest: ("REJECT", _format_rejection),
    FailRequest: ("ABORT", lambda action: f"id={action.id}"),
    CancelAttempt: ("ABORT_ATTEMPT", lambda action: f"id={action.id} try={action.attempt}"),
    SendHealthCheck: ("HEALTH_CHECK", lambda action: f"upstream={action.upstream}"),
    WatchEndpoints: ("WATCH", lambda _: "active=1"),
    FetchEndpoints: ("LOOKUP", lambda _: ""),
    LogMessage: ("PRINT", lambda action: f"reason-text={format_text(action.text)}"),
}


def format_action(sidecar: int, action: Action) -> str:
    """Format one action as a line of the protocol."""
    name, format_values = _FORMATS[type(action)]
    return f"{name} sidecar={sidecar} {format_values(action)}".rstrip()


def format_fault(sidecar: int, error: Exception) -> str:
    """Format an exception of the balancer as a FATAL line."""
    return f"FATAL sidecar={sidecar} reason-text={format_text(f'{type(error).__name__}: {error}')}"
