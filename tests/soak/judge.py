"""The rules that every history has to satisfy. No code here is shared with the program under test."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from tests.soak.history import Arrival, ClientRequest, History

ANSWER_GRACE_S = 0.5  # an answer this long after the client's timeout still counts as in time
DRAIN_GRACE_S = 0.25  # drain-grace-s of the settings
SCHEDULING_DELAY_S = 0.15  # a process can be held up this long between reading its clock and writing
DISCONNECT_DETECTION_S = 0.1  # once a client has been gone this long, no further attempt may begin for it
READY_WITHIN_S = 10.0
FIRST_LIST_S = 1.0  # from when a process is ready until discovery has sent it the endpoint list
MAX_IDLE_CPU_RATIO = 0.25  # of one core, while no requests are sent
MAX_DESCRIPTOR_GROWTH = 40  # beyond the number at the start, once all clients are gone
MAX_RESIDENT_GROWTH_KB = 40_000
KEYED_WINDOW_S = 1.5  # repeat-window-s of the settings
CRASH_WINDOW_S = 0.5  # connections of a killed process are seen to break within this time

EFFECT_BY_CLASS = {"pay": "unsafe", "view": "safe", "order": "keyed"}


@dataclass(frozen=True)
class Violation:
    """A broken rule, and the part of the history that shows it."""

    rule: str
    evidence: str


def find_violations(history: History) -> list[Violation]:
    """Return every violation of every rule."""
    by_request: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        by_request[arrival.request_id].append(arrival)
    violations: list[Violation] = []
    for request in history.requests.values():
        arrivals = by_request[request.id]
        violations += _answers(history, request, arrivals)
        violations += _repeated_executions(request, arrivals)
        violations += _attempts_after_disconnect(history, request, arrivals)
    for rule in (_unknown_requests, _attempts_to_removed_upstreams, _shutdowns, _starts, _idle_usage):
        violations += rule(history)
    return violations


def _answers(history: History, request: ClientRequest, arrivals: list[Arrival]) -> Iterator[Violation]:
    if len(request.answers) > 1:
        yield Violation("two answers", repr(request))
    for answer in request.answers:
        if not answer.is_complete:
            yield Violation("truncated answer", repr(request))
        elif answer.code == 200 and answer.body != request.body:
            yield Violation("answer of another request", repr(request))
        elif answer.code not in (200, 500, 503):
            yield Violation("unexpected status", repr(request))
        elif answer.code == 503 and EFFECT_BY_CLASS[request.class_name] == "unsafe" and _executions(arrivals):
            yield Violation("rejected after execution", f"{request!r} {arrivals!r}")
        due_at = max(request.sent_at + request.timeout_s, request.pipeline_due_at) + ANSWER_GRACE_S
        outage_s = _overlap_s(history.outages, request.sent_at, answer.at)
        if answer.at > due_at + outage_s + _stalled_s(history, request.sent_at, answer.at):
            yield Violation("answer too late", repr(request))
    if not request.answers and math.isinf(request.client_disconnected_at):
        yield from _missing_answer(history, request, arrivals)


def _missing_answer(history: History, request: ClientRequest, arrivals: list[Arrival]) -> Iterator[Violation]:
    """Check a request without an answer. If it was forwarded, only a killed process excuses the loss."""
    ended_at = request.closed_at
    if request.client_timed_out or math.isinf(ended_at):
        yield Violation("never answered", f"{request!r} {arrivals!r}")
    elif any(request.sent_at - CRASH_WINDOW_S <= at <= ended_at for at in history.crashes):
        return
    elif arrivals:
        yield Violation("forwarded but not answered", f"{request!r} {arrivals!r}")
    elif not request.after_connection_close and not _may_close_without_answer(history, request):
        yield Violation("connection closed without a reason", repr(request))


def _may_close_without_answer(history: History, request: ClientRequest) -> bool:
    """Return whether a shutdown or a connection flood overlapped the time of the request."""
    shutdowns = [(end.term_at, end.ended_at) for end in history.ends]
    return any(
        begin <= request.closed_at and request.sent_at <= end + CRASH_WINDOW_S
        for begin, end in shutdowns + history.connection_floods
    )


def _executions(arrivals: list[Arrival]) -> list[Arrival]:
    return [arrival for arrival in arrivals if arrival.executed]


def _repeated_executions(request: ClientRequest, arrivals: list[Arrival]) -> Iterator[Violation]:
    effect = EFFECT_BY_CLASS[request.class_name]
    runs = sorted(_executions(arrivals), key=lambda arrival: arrival.begun_at)
    if effect == "unsafe" and len(runs) > 1:
        yield Violation("unsafe request executed twice", repr(runs))
    if effect == "keyed":
        for run in runs[1:]:
            if run.group != runs[0].group:
                yield Violation("keyed request executed in another group", repr(runs))
            if run.begun_at - runs[0].begun_at > KEYED_WINDOW_S + SCHEDULING_DELAY_S:
                yield Violation("keyed request executed again after its window", repr(runs))


def _attempts_after_disconnect(
    history: History, request: ClientRequest, arrivals: list[Arrival]
) -> Iterator[Violation]:
    for arrival in arrivals:
        late_s = arrival.begun_at - request.client_disconnected_at
        if late_s > DISCONNECT_DETECTION_S + SCHEDULING_DELAY_S + _stalled_s(
            history, request.client_disconnected_at, arrival.begun_at
        ):
            yield Violation("attempt after its client disconnected", f"{request!r} {arrival!r}")


def _unknown_requests(history: History) -> Iterator[Violation]:
    for arrival in history.arrivals:
        if arrival.request_id not in history.requests:
            yield Violation("attempt for an unknown request", repr(arrival))


def _attempts_to_removed_upstreams(history: History) -> Iterator[Violation]:
    for removal in history.removals:
        allowed_until = removal.at + DRAIN_GRACE_S + SCHEDULING_DELAY_S
        for arrival in history.arrivals:
            if arrival.upstream != removal.upstream or not allowed_until < arrival.begun_at < removal.until:
                continue
            if any(
                process_start.started_at < arrival.begun_at < process_start.ready_at + FIRST_LIST_S
                for process_start in history.starts
            ):
                continue  # a starting process uses its last known list until discovery sends the current one
            if arrival.begun_at > allowed_until + _stalled_s(history, removal.at, arrival.begun_at):
                yield Violation("sent to a draining upstream", f"{removal!r} {arrival!r}")


def _shutdowns(history: History) -> Iterator[Violation]:
    for end in history.ends:
        if end.exit_code != 0:
            yield Violation("unexpected exit status", repr(end))
        elif end.ended_at > end.kill_due_at + _stalled_s(history, end.term_at, end.ended_at):
            yield Violation("still running when SIGKILL was due", repr(end))


def _starts(history: History) -> Iterator[Violation]:
    for start in history.starts:
        if start.ready_at - start.started_at > READY_WITHIN_S:
            yield Violation("not ready in time", repr(start))


def _idle_usage(history: History) -> Iterator[Violation]:
    for usage in history.idle_usage:
        if usage.cpu_s > MAX_IDLE_CPU_RATIO * usage.seconds:
            yield Violation("high processor use while idle", repr(usage))
        if usage.descriptors > usage.descriptors_at_start + MAX_DESCRIPTOR_GROWTH:
            yield Violation("too many descriptors open while idle", repr(usage))
        if usage.resident_kb > usage.resident_kb_at_start + MAX_RESIDENT_GROWTH_KB:
            yield Violation("too much memory held while idle", repr(usage))


def _stalled_s(history: History, begin: float, end: float) -> float:
    """Return for how long the harness stalled within a span: a stall looks like lateness of the program."""
    return _overlap_s(history.stalls, begin, end)


def _overlap_s(spans: list[tuple[float, float]], begin: float, end: float) -> float:
    return sum(max(min(end, to) - max(begin, since), 0.0) for since, to in spans)
