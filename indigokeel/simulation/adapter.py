"""The simulator's wire: parses events, hosts instances, formats actions. It decides nothing.

Run as ``python -m indigokeel.simulation.adapter``: batches on standard input, one reply a batch on standard
output."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import TextIO

import orjson

from indigokeel.balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpoints,
)
from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    Event,
    HealthCheckEnded,
    LoadReport,
    Member,
    MembershipUpdate,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from indigokeel.balancing.settings import Settings
from indigokeel.config import SettingsError, decode_settings
from indigokeel.config.load_report_fields import LOAD_REPORT_FIELDS

Parts = dict[str, str]

_STATES = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
_ENDINGS = {
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
    """A message that the wire's page does not allow."""


def parse_parts(line: str) -> Parts:
    """Split the ``name=value`` parts of a line without free text."""
    try:
        return dict([part.split("=", 1) for part in line.split(" ")[1:]])
    except ValueError:
        raise WireError("a part without '='") from None


def parse_load(text: str | None) -> LoadReport | None:
    """Read a load report; values of unknown names are skipped."""
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
    """Read one entry of a list of upstreams."""
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
    """Turn the JSON of a start message into settings; unknown keys are skipped."""
    try:
        return decode_settings(orjson.loads(text))
    except orjson.JSONDecodeError as error:
        raise WireError(f"bad JSON: {error}") from None
    except SettingsError as error:
        raise WireError(str(error)) from None


def _request(parts: Parts) -> Event:
    return RequestArrived(
        id=parts["id"],
        class_name=parts["band"],
        budget=float(parts["budget-s"]),
        tenant=parts.get("org", ""),
        key=parts.get("resource", ""),
        hint=float(parts.get("hint-s", "0")),
    )


def _outcome(parts: Parts) -> AttemptOutcome:
    code = parts["state-code"]
    if code not in _ENDINGS:
        raise WireError(f"unknown state-code {code!r}")
    return _ENDINGS[code]


def _attempt(parts: Parts) -> Event:
    return AttemptEnded(
        id=parts["id"],
        upstream=parts["upstream"],
        attempt=int(parts["try"]),
        outcome=_outcome(parts),
        elapsed=float(parts["delay-seen-s"]),
        final=parts.get("final") == "1",
        load=parse_load(parts.get("feedback")),
    )


def _probe(parts: Parts) -> Event:
    return HealthCheckEnded(
        upstream=parts["upstream"],
        outcome=_outcome(parts),
        elapsed=float(parts["delay-seen-s"]),
        load=parse_load(parts.get("feedback")),
    )


_EVENTS: dict[str, Callable[[Parts], Event]] = {
    "REQUEST": _request,
    "REPORT_BACK": _attempt,
    "DEADLINE_HIT": lambda parts: TimerFired(int(parts["handle"])),
    "LEFT": lambda parts: ClientDisconnected(parts["id"]),
    "OPENED": lambda parts: ResponseStarted(parts["id"], parts["upstream"], int(parts["try"])),
    "ECHO": _probe,
}


def format_time(seconds: float) -> str:
    """Write a time with the wire's microsecond resolution."""
    return f"{seconds:.6f}".rstrip("0").rstrip(".")


def format_text(text: str) -> str:
    """Free text ends with its line, so it may hold no line break."""
    return " ".join(text.split()) or "-"


def format_action(sidecar: int, action: Action) -> str:
    """Write one action as a line of the wire."""
    if isinstance(action, SendAttempt):
        limit = f" limit-s={format_time(action.timeout)}" if action.timeout else ""
        return f"FORWARD sidecar={sidecar} id={action.id} upstream={action.upstream}{limit}"
    if isinstance(action, SetTimer):
        return f"SET_TIMER sidecar={sidecar} delay-s={format_time(action.delay)} handle={action.token}"
    if isinstance(action, CloseIdleConnections):
        return f"SHUT_IDLE sidecar={sidecar} upstream={action.upstream}"
    if isinstance(action, RejectRequest):
        wait = f" retry-in-s={format_time(action.retry_after_s)}" if action.retry_after_s else ""
        return f"REJECT sidecar={sidecar} id={action.id}{wait}"
    if isinstance(action, FailRequest):
        return f"ABORT sidecar={sidecar} id={action.id}"
    if isinstance(action, CancelAttempt):
        return f"ABORT_ATTEMPT sidecar={sidecar} id={action.id} try={action.attempt}"
    if isinstance(action, SendHealthCheck):
        return f"HEALTH_CHECK sidecar={sidecar} upstream={action.upstream}"
    if isinstance(action, WatchEndpoints):
        return f"WATCH sidecar={sidecar} active=1"
    if isinstance(action, FetchEndpoints):
        return f"LOOKUP sidecar={sidecar}"
    return f"PRINT sidecar={sidecar} reason-text={format_text(action.text)}"


class Host:
    """The instances of one process, each a Balancer of its own; they share nothing."""

    def __init__(self) -> None:
        self._instances: dict[int, Balancer] = {}
        self._lists: dict[str, tuple[Member, ...]] = {}

    def reply(self, lines: list[str]) -> list[str]:
        """Answer one batch: its lines, from the clock's to the one that ends it."""
        line = lines[0]
        try:
            head = parse_parts(line)
            now, batch = float(head["moment-s"]), head["round"]
            out: list[str] = []
            feed = iter(lines[1:-1])
            for line in feed:
                self._event(now, line, feed, out)
        except KeyError as error:
            raise WireError(f"{error.args[0]!r} is missing in: {line[:300]}") from None
        except ValueError as error:
            raise WireError(f"{error} in: {line[:300]}") from None
        out.append(f"DONE round={batch}")
        return out

    def _event(self, now: float, line: str, feed: Iterable[str], out: list[str]) -> None:
        name = line.split(" ", 1)[0]
        make = _EVENTS.get(name)
        if make is not None:
            parts = parse_parts(line)
            sidecar = int(parts["sidecar"])
            balancer = self._instances.get(sidecar)
            if balancer is not None:
                self._decide(sidecar, balancer, now, make(parts), out)
        elif name == "POOL":
            parts = parse_parts(line)
            members = []
            for _ in range(int(parts["rows"])):
                row = next(iter(feed), "")
                if not row.startswith("ROW "):
                    raise WireError(f"a list of {parts['rows']} rows breaks off at {row[:100]!r}")
                members.append(parse_member(row))
            self._lists[parts["roster-id"]] = tuple(members)
        elif name == "SYNC":
            self._sync(now, parse_parts(line), out)
        elif name == "SPAWN":
            head, found, info = line.partition(" info=")
            parts = parse_parts(head)
            if not found:
                raise KeyError("info")
            settings = parse_settings(info)
            sidecar, seed = int(parts["sidecar"]), int(parts["entropy"])
            self._instances[sidecar] = Balancer(settings, seed)
        elif name == "SHUTDOWN":
            self._instances.pop(int(parse_parts(line)["sidecar"]), None)
        elif not name.isupper():
            raise WireError("not a message of the wire")

    def _sync(self, now: float, parts: Parts, out: list[str]) -> None:
        sidecar, news = int(parts["sidecar"]), UpdateKind(parts["how"])
        members: tuple[Member, ...] = ()
        if news is not UpdateKind.FAILED:
            number = parts["roster-id"]
            if number not in self._lists:
                raise WireError(f"no list has the number {number}")
            members = self._lists[number]
        balancer = self._instances.get(sidecar)
        if balancer is not None:
            event = MembershipUpdate(news, members, int(parts.get("stamp", "0")))
            self._decide(sidecar, balancer, now, event, out)

    @staticmethod
    def _decide(sidecar: int, balancer: Balancer, now: float, event: Event, out: list[str]) -> None:
        try:
            actions = balancer.handle(now, event)
        except Exception as error:  # the wire wants any failure of the policy told, never a hang
            text = format_text(f"{type(error).__name__}: {error}")
            out.append(f"FATAL sidecar={sidecar} reason-text={text}")
            return
        for action in actions:
            out.append(format_action(sidecar, action))


def read_batch(source: TextIO) -> list[str] | None:
    """The lines of the next batch, or None at the end of the input."""
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if not line and not lines:
            continue
        if not lines and line.split(" ", 1)[0] != "ROUND":
            raise WireError(f"a batch must begin with ROUND: {line[:300]}")
        lines.append(line)
        if line == "YOUR_TURN":
            return lines
    if lines:
        raise WireError(f"the input ends within a batch, after: {lines[-1][:300]}")
    return None


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends. A reply is written whole or not at all."""
    host = Host()
    while (lines := read_batch(source)) is not None:
        sink.write("\n".join(host.reply(lines)) + "\n")
        sink.flush()


def main() -> int:
    """Entry point: 0 at the end of the input, 1 on a message that the wire does not allow."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"indigokeel: {error}", file=sys.stderr)
        return 1
    except UnicodeDecodeError:
        print("indigokeel: the input is not UTF-8 text", file=sys.stderr)
        return 1
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
