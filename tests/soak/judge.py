"""The rules that a history is held to. Nothing here is shared with the program."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from tests.soak.history import Arrival, ClientRequest, History

LOST_AFTER_S = 0.5  # beyond the client's limit
DRAIN_CUT_OFF_S = 0.25  # of the settings
HOLD_UP_S = 0.15  # between a process's reading of its clock and its write
CLIENT_GONE_S = 0.1  # after which no attempt begins
READY_WITHIN_S = 10.0
FIRST_LIST_S = 1.0  # after a process is ready, until discovery has sent it the list
MAX_QUIET_CPU_RATIO = 0.25  # of one core, while nothing is sent
MAX_DESCRIPTORS_KEPT = 40  # more than at the start, once clients are gone
MAX_RESIDENT_GROWTH_KB = 40_000
KEYED_WINDOW_S = 1.5  # of the settings
CRASH_WINDOW_S = 0.5  # after a kill, in which its connections are seen to break

CLASSES = {"pay": "unsafe", "view": "safe", "order": "keyed"}


@dataclass(frozen=True)
class Breach:
    """A rule that was broken, and the shortest piece of the history that shows it."""

    rule: str
    piece: str


def judge(history: History) -> list[Breach]:
    """Return all breaches of all rules."""
    by_request: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        by_request[arrival.request_id].append(arrival)
    breaches: list[Breach] = []
    for request in history.requests.values():
        arrivals = by_request[request.id]
        breaches += _one_answer(history, request, arrivals)
        breaches += _repeats(request, arrivals)
        breaches += _after_the_client_left(history, request, arrivals)
    for rule in (_unknown_requests, _drains, _ends, _starts, _quiet):
        breaches += rule(history)
    return breaches


def _one_answer(history: History, request: ClientRequest, arrivals: list[Arrival]) -> Iterator[Breach]:
    if len(request.answers) > 1:
        yield Breach("two answers", repr(request))
    for answer in request.answers:
        if not answer.is_whole:
            yield Breach("answer cut off", repr(request))
        elif answer.code == 200 and answer.body != request.body:
            yield Breach("answer of another request", repr(request))
        elif answer.code not in (200, 500, 503):
            yield Breach("unexpected status", repr(request))
        elif answer.code == 503 and CLASSES[request.class_name] == "unsafe" and _executions(arrivals):
            yield Breach("rejected though it has run", f"{request!r} {arrivals!r}")
        due_at = max(request.sent_at + request.limit_s, request.due_behind) + LOST_AFTER_S
        unread_s = _overlap_s(history.outages, request.sent_at, answer.at)
        if answer.at > due_at + unread_s + _stalled_s(history, request.sent_at, answer.at):
            yield Breach("answer too late", repr(request))
    if not request.answers and math.isinf(request.left_at):
        yield from _lost(history, request, arrivals)


def _lost(history: History, request: ClientRequest, arrivals: list[Arrival]) -> Iterator[Breach]:
    """A request without an answer: one that was forwarded is lost, unless its process was killed."""
    ended_at = request.closed_at
    if request.waited_in_vain or math.isinf(ended_at):
        yield Breach("never answered", f"{request!r} {arrivals!r}")
    elif any(request.sent_at - CRASH_WINDOW_S <= at <= ended_at for at in history.crashes):
        return
    elif arrivals:
        yield Breach("forwarded and not answered", f"{request!r} {arrivals!r}")
    elif not request.behind_close and not _may_close_unread(history, request):
        yield Breach("closed unread for no reason", repr(request))


def _may_close_unread(history: History, request: ClientRequest) -> bool:
    """Return whether a process ended, or a crowd was there, while the request was on its way."""
    shutdowns = [(end.term_at, end.ended_at) for end in history.ends]
    return any(
        begin <= request.closed_at and request.sent_at <= end + CRASH_WINDOW_S
        for begin, end in shutdowns + history.crowds
    )


def _executions(arrivals: list[Arrival]) -> list[Arrival]:
    return [arrival for arrival in arrivals if arrival.ran]


def _repeats(request: ClientRequest, arrivals: list[Arrival]) -> Iterator[Breach]:
    effect = CLASSES[request.class_name]
    runs = sorted(_executions(arrivals), key=lambda arrival: arrival.begun_at)
    if effect == "unsafe" and len(runs) > 1:
        yield Breach("unsafe request run twice", repr(runs))
    if effect == "keyed":
        for run in runs[1:]:
            if run.group != runs[0].group:
                yield Breach("keyed request repeated in another group", repr(runs))
            if run.begun_at - runs[0].begun_at > KEYED_WINDOW_S + HOLD_UP_S:
                yield Breach("keyed request repeated after its window", repr(runs))


def _after_the_client_left(
    history: History, request: ClientRequest, arrivals: list[Arrival]
) -> Iterator[Breach]:
    for arrival in arrivals:
        late_s = arrival.begun_at - request.left_at
        if late_s > CLIENT_GONE_S + HOLD_UP_S + _stalled_s(history, request.left_at, arrival.begun_at):
            yield Breach("attempt after its client left", f"{request!r} {arrival!r}")


def _unknown_requests(history: History) -> Iterator[Breach]:
    for arrival in history.arrivals:
        if arrival.request_id not in history.requests:
            yield Breach("attempt of an unknown request", repr(arrival))


def _drains(history: History) -> Iterator[Breach]:
    for notice in history.notices:
        cut_off = notice.at + DRAIN_CUT_OFF_S + HOLD_UP_S
        for arrival in history.arrivals:
            if arrival.upstream != notice.upstream or not cut_off < arrival.begun_at < notice.until:
                continue
            if any(s.started_at < arrival.begun_at < s.ready_at + FIRST_LIST_S for s in history.starts):
                continue  # a process that starts goes by its last known list until discovery sends it
            if arrival.begun_at > cut_off + _stalled_s(history, notice.at, arrival.begun_at):
                yield Breach("sent to a draining upstream", f"{notice!r} {arrival!r}")


def _ends(history: History) -> Iterator[Breach]:
    for end in history.ends:
        if end.exit_code != 0:
            yield Breach("exit status", repr(end))
        elif end.ended_at > end.kill_due_at + _stalled_s(history, end.term_at, end.ended_at):
            yield Breach("not ended before the kill", repr(end))


def _starts(history: History) -> Iterator[Breach]:
    for start in history.starts:
        if start.ready_at - start.started_at > READY_WITHIN_S:
            yield Breach("not ready in time", repr(start))


def _quiet(history: History) -> Iterator[Breach]:
    for quiet in history.quiet:
        if quiet.cpu_s > MAX_QUIET_CPU_RATIO * quiet.seconds:
            yield Breach("busy while nothing is sent", repr(quiet))
        if quiet.descriptors > quiet.descriptors_at_start + MAX_DESCRIPTORS_KEPT:
            yield Breach("descriptors kept", repr(quiet))
        if quiet.resident_kb > quiet.resident_kb_at_start + MAX_RESIDENT_GROWTH_KB:
            yield Breach("memory kept", repr(quiet))


def _stalled_s(history: History, begin: float, end: float) -> float:
    """Return how long this harness stood still within a span, which it cannot tell from lateness."""
    return _overlap_s(history.stalls, begin, end)


def _overlap_s(spans: list[tuple[float, float]], begin: float, end: float) -> float:
    return sum(max(min(end, to) - max(begin, since), 0.0) for since, to in spans)
