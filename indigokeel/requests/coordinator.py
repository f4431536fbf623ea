"""The coordinator of the balancer: blocking calls, the clock passed in, plain values out.

Network code hands in requests, endings of attempts, endpoint lists and the time, and carries out the Orders
it gets back. The module's events and actions stay in here. The coordinator keeps the books: which requests
are owed an answer, which attempts are out, that each attempt gets exactly one ending, and what is due when.
It does no input or output, so that any protocol can stand before it."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

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
from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    Event,
    HealthCheckEnded,
    LagSampled,
    LoadReport,
    Member,
    MembershipUpdate,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from indigokeel.balancing.settings import Idempotency, Settings
from indigokeel.endpoints.cordons import CordonRecord, Cordons
from indigokeel.endpoints.endpoint_list import Endpoint, EndpointList
from indigokeel.endpoints.start_times import StartsSnapshot, StartTimes
from indigokeel.hot_restart import learned_state
from indigokeel.requests.effects import Attempt, Effects, FinalAnswer, FinalStatus, Request

# s before the client's own limit at which the last word is given: the answer has to be written, and
# to arrive, in that time. Where it costs no worth it is the longer one. Guards against the burst: when an
# upstream dies, all attempts on it end at once, and the work on them delays what is due just then.
RESPONSE_MARGIN_S = 0.05
MIN_RESPONSE_MARGIN_S = 0.01
_MOST_DEAD = 256  # entries of closed requests that the agenda may hold, where they are not half of it
_MOST_WARMED = 64  # upstreams: on a larger fleet a sidecar uses but a part, and opens nothing ahead
_MOST_GONE = 1024  # names kept of upstreams that are listed no more: operators may name them
# Events that one call may set off in the module, and as many for each open request: guards against a loop
# that never ends.
_MOST_EVENTS = 1000
_MOST_EACH = 8
_WAITED_LEAST_S = 0.01  # behind others, from which a request's own lack of time is no word on any upstream
_NEVER_BEGUN_MOST = 5  # attempts that never began, beyond a request's limit on attempts


class OpenAttempt:
    __slots__ = ("begin_by", "begun", "ended", "may_have_run", "upstream", "sent")

    def __init__(self, upstream: str, sent: float, begin_by: float) -> None:
        self.upstream, self.sent, self.begin_by = upstream, sent, begin_by
        self.begun = self.ended = False
        self.may_have_run = True  # until its ending proves otherwise


class OpenRequest:
    __slots__ = (
        "answer_by", "attempts", "closed", "cut_short", "entries", "id", "long", "most", "out", "over",
        "idempotency_window", "time",
    )  # fmt: skip

    def __init__(
        self, request_id: str, answer_by: float, idempotency_window: float, most: int, time: float, long: bool
    ) -> None:
        self.id, self.answer_by, self.idempotency_window = request_id, answer_by, idempotency_window
        self.most = most  # attempts at most
        self.time, self.long = time, long  # s until the last word on it; whether its body is long
        self.cut_short = False  # waited behind others, so that its lack of time is nobody's lateness
        self.attempts: list[OpenAttempt] = []
        self.out = 0  # attempts without an ending
        self.over = self.closed = False
        self.entries = 0  # in the agenda


class RequestCoordinator:
    """All decisions of one sidecar, and its books."""

    def __init__(self, settings: Settings, seed: int, unix_to_clock: float) -> None:
        """``unix_to_clock`` is what has to be added to a Unix time to get this clock's, as far as known."""
        self._balancer = Balancer(settings, seed)
        self._starts = StartTimes(unix_to_clock, settings.safety.poll_within)
        self._use(settings)
        self.unix_to_clock = unix_to_clock
        self._requests: dict[str, OpenRequest] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._gone: dict[str, None] = {}  # upstreams that were listed once, the last of them
        self._addresses: dict[str, tuple[str, int]] = {}  # of those that take work
        self.cordons = Cordons()
        self._timers: list[tuple[float, int, Callable[[float, Effects], None], OpenRequest | None]] = []
        self._dead = 0  # entries of closed requests
        self._entries = 0
        self.unanswered = 0  # requests taken and not answered
        self.faults = 0  # exceptions of the module

    def _use(self, settings: Settings) -> None:
        self._limits = settings.limits
        self._starts.list_age = settings.safety.poll_within
        self._latency_objectives = {cls.name: cls.latency_objective for cls in settings.classes}
        self._windows = {
            cls.name: cls.idempotency_window
            for cls in settings.classes
            if cls.idempotency is Idempotency.KEYED
        }

    # --- what network code asks ---------------------------------------------------------------------

    def next_deadline(self) -> float:
        """The clock time of the next call of tick."""
        while self._timers and self._timers[0][3] is not None and self._timers[0][3].closed:
            heapq.heappop(self._timers)
            self._dead -= 1
        return self._timers[0][0] if self._timers else math.inf

    def has_upstreams(self) -> bool:
        """Whether a request could be served: some upstream takes work."""
        return bool(self._addresses)

    def is_open(self, request_id: str) -> bool:
        """Whether a request of this id is open, or has an attempt out still."""
        return request_id in self._requests

    def address(self, upstream: str) -> tuple[str, int] | None:
        """Where an upstream listens; None where it wants nothing new."""
        return self._addresses.get(upstream)

    def may_begin(self, now: float, attempt: Attempt) -> bool:
        """Asked right before an attempt's first byte is written: whether it may still go out.

        Guards against what came to pass while a connection was being made: the upstream began to drain, the
        request was answered, or the time ran out in which a keyed request may be repeated."""
        request = self._requests.get(attempt.request)
        if request is None or request.over or self.address(attempt.upstream) is None:
            return False
        opened = request.attempts[attempt.number]
        if opened.ended or now >= opened.begin_by:
            return False
        opened.begun = True
        return True

    # --- what network code tells --------------------------------------------------------------------

    def apply_settings(self, settings: Settings) -> None:
        """Take new settings, whole; raises ValueError, and changes nothing, on some that no decision can rest
        on. Open requests keep the class and the number of attempts that they were taken under."""
        self._balancer.apply_settings(settings)
        self._use(settings)

    def sample_lag(self, now: float, seconds: float) -> Effects:
        """Tell how late the caller itself runs; at a steady beat."""
        effects = Effects()
        self._feed(now, LagSampled(seconds), effects)
        return effects

    def is_overloaded(self) -> bool:
        """Whether the caller runs so late that turn_away may turn requests away."""
        return self._balancer.is_overloaded()

    def shed_early(self, now: float, class_name: str, budget: float) -> float | None:
        """Asked before ``pick``, for next to nothing: None to go on, or how long a client that is turned
        away at once is to wait. The request is in no book then, and its answer is a refusal."""
        return self._balancer.shed_early(now, class_name, budget)

    def pick(self, now: float, request: Request) -> Effects:
        """Take a request and decide on it."""
        effects = Effects()
        if self.unanswered >= self._limits.max_open_requests:
            effects.answers.append(
                FinalAnswer(request.id, FinalStatus.REJECTED, self._limits.max_retry_after)
            )
            return effects
        if request.id in self._requests:
            raise ValueError(f"a job of this id is open: {request.id}")
        left = self._time_for(request)
        answer_by = math.inf if request.long else now + left
        window, most = self._windows.get(request.class_name, math.inf), self._limits.max_attempts
        opened = self._requests[request.id] = OpenRequest(
            request.id, answer_by, window, most, left, request.long
        )
        opened.cut_short = request.waited > _WAITED_LEAST_S
        self.unanswered += 1
        if not request.long:
            self._enter(answer_by, partial(self._expire, opened), opened)
        event = RequestArrived(
            request.id, request.class_name, request.budget, request.tenant, request.key, request.hint
        )
        self._feed(now, event, effects, opened)
        return effects

    def request_body_received(self, now: float, request_id: str) -> None:
        """The last byte of a long request's body has come: its time starts now, its attempt's too."""
        request = self._requests.get(request_id)
        if request is not None and not request.over and request.answer_by == math.inf:
            request.answer_by = now + request.time
            for attempt in request.attempts:
                attempt.sent = now
            self._enter(request.answer_by, partial(self._expire, request), request)

    def report(
        self, now: float, attempt: Attempt, outcome: AttemptOutcome, load: dict[str, float] | None = None
    ) -> Effects:
        """Tell how an attempt ended. One that has its ending already is passed over."""
        effects = Effects()
        request = self._requests.get(attempt.request)
        if request is not None and not request.attempts[attempt.number].ended:
            self._end_attempt(now, request, attempt.number, outcome, effects, load)
        return effects

    def limit_deadlines(self, by: float) -> None:
        """The process ends: every open request has its last word at clock time ``by`` or before."""
        for request in self._requests.values():
            if not request.over and request.answer_by > by:
                request.answer_by = by
                self._enter(by, partial(self._expire, request), request)

    def client_disconnected(self, now: float, request_id: str) -> Effects:
        """The client is gone: nothing more is owed."""
        effects = Effects()
        request = self._requests.get(request_id)
        if request is not None and not request.over:
            self._over(request)
            self._feed(now, ClientDisconnected(request_id), effects, request)
            for number, attempt in enumerate(request.attempts):
                if request.long:
                    self._give_up(now, request, number, effects)
                elif not attempt.begun and not attempt.ended:  # nothing of it was sent, and nothing will be
                    effects.cancelled.append((request.id, number))
                    self._end_attempt(now, request, number, AttemptOutcome.NOT_SENT, effects)
        return effects

    def tick(self, now: float) -> Effects:
        """Do all that is due."""
        effects = Effects()
        while self.next_deadline() <= now:
            _, _, call, request = heapq.heappop(self._timers)
            if request is not None:
                request.entries -= 1
            try:
                call(now, effects)
            except Exception as error:  # costs this entry, and none of the orders of the others
                self.faults += 1
                effects.notes.append(f"fault in the agenda: {type(error).__name__}: {error}")
        return effects

    def health_check_ended(
        self,
        now: float,
        upstream: str,
        outcome: AttemptOutcome,
        elapsed: float,
        load: dict[str, float] | None = None,
    ) -> Effects:
        """Tell how a probe ended."""
        effects = Effects()
        figures = LoadReport(**load) if load else None
        self._feed(now, HealthCheckEnded(upstream, outcome, elapsed, figures), effects)
        return effects

    def update_endpoints(self, now: float, update: EndpointList, cached: bool = False) -> Effects:
        """Take in an endpoint list, whole or in part."""
        if update.is_snapshot:
            self._gone.update(dict.fromkeys(self._endpoints))
            self._endpoints.clear()
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.GONE:
                self._gone[endpoint.name] = None
                self._endpoints.pop(endpoint.name, None)
            else:
                self._endpoints[endpoint.name] = endpoint
        self._starts.forget_unlisted(self._endpoints)
        while len(self._gone) > _MOST_GONE:
            self._gone.pop(next(iter(self._gone)))
        listed = {m.name: m.since for m in update.endpoints if m.state is not EndpointState.GONE}
        self._starts.note(now, listed, cached)
        kind = UpdateKind.CACHED if cached else UpdateKind.FULL if update.is_snapshot else UpdateKind.DELTA
        effects = Effects()
        self._lay(now, kind, update.endpoints, effects, update.version)
        return effects

    def _lay(
        self, now: float, kind: UpdateKind, endpoints: Iterable[Endpoint], effects: Effects, version: int = 0
    ) -> None:
        """Tell the module of machines, as the operators' word leaves them."""
        whole = kind is not UpdateKind.DELTA
        names = list(self._endpoints) if whole else [endpoint.name for endpoint in endpoints]
        listed = [self._endpoints[name] for name in names if name in self._endpoints]
        laid = {endpoint.name: self.cordons.lay(endpoint, now) for endpoint in listed}
        before = self._addresses if whole else {n: self._addresses[n] for n in names if n in self._addresses}
        after = {name: (m.host, m.port) for name, m in laid.items() if m.state is EndpointState.SERVING}
        if whole:
            self._addresses = after
        else:
            for name in before:
                del self._addresses[name]
            self._addresses.update(after)
        # Also where one has moved: its connections lead to an address that is another's by now.
        effects.close_idle += sorted(name for name, at in before.items() if after.get(name) != at)
        if len(self._endpoints) <= _MOST_WARMED:
            effects.warm += sorted(name for name, at in after.items() if before.get(name) != at)
        members = tuple(self._member(now, laid.get(endpoint.name, endpoint)) for endpoint in endpoints)
        self._feed(now, MembershipUpdate(kind, members, version), effects)

    # --- what operators say ---------------------------------------------------------------------------

    def cordon(self, now: float, upstream: str) -> Effects | None:
        """Take an upstream out until ``uncordon``, whatever lists say meanwhile; None where nobody has it."""
        if upstream not in self._endpoints and upstream not in self._gone:
            return None
        changed = self.cordons.cordon(upstream, now)
        effects = Effects()
        self._marked(now, [upstream] if changed else [], effects)
        return effects

    def uncordon(self, now: float, upstream: str) -> Effects | None:
        """Give an upstream back, cold; None where nobody has it."""
        if (
            upstream not in self._endpoints
            and upstream not in self._gone
            and not self.cordons.holds(upstream, now)
        ):
            return None
        changed = self.cordons.uncordon(upstream, now)
        effects = Effects()
        self._marked(now, [upstream] if changed else [], effects)
        return effects

    def merge_cordons(self, now: float, records: Iterable[CordonRecord]) -> Effects:
        """Take in what another process of this sidecar was told."""
        effects = Effects()
        self._marked(now, self.cordons.merge(records), effects)
        return effects

    def _marked(self, now: float, upstreams: list[str], effects: Effects) -> None:
        """Something new was said of these upstreams, if of any."""
        if upstreams:
            told = [self._endpoints[name] for name in upstreams if name in self._endpoints]
            self._lay(now, UpdateKind.DELTA, told, effects)
            end = self.cordons.next_end(now)
            if end < math.inf:
                self._enter(end, lambda late, more: self._marked(late, list(self._endpoints), more))

    def export_learned_state(self, now: float) -> dict[str, Any] | None:
        """What the module has learnt, for the next process, or None where that does not pay."""
        return learned_state.collect(self._balancer, now)

    def restore_learned_state(self, now: float, data: Any) -> Effects:
        """Start from what another process had learnt: after the first list, before the first request."""
        effects = Effects()
        try:
            learned_state.restore(self._balancer, now, data)
        except learned_state.LearnedStateError as error:
            effects.notes.append(f"what the process before had learnt is not used: {error}")
        return effects

    def export_start_times(self, now: float) -> StartsSnapshot | None:
        """What is known of the listed upstreams' starts, for the next process."""
        return self._starts.snapshot(now, self._endpoints)

    def restore_start_times(self, snapshot: StartsSnapshot) -> None:
        """Take over the starts that another process of this boot knew: before the first list."""
        self._starts.inherit(snapshot)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """The list as discovery told it last."""
        return tuple(self._endpoints.values())

    def endpoint_watch_failed(self, now: float) -> Effects:
        """A call to discovery failed, or a watch has ended. Told once for each."""
        self._starts.list_lost(now)
        effects = Effects()
        self._feed(now, MembershipUpdate(UpdateKind.FAILED), effects)
        return effects

    # --- the books ----------------------------------------------------------------------------------

    def _member(self, now: float, endpoint: Endpoint) -> Member:
        listed = self._starts.started(endpoint.name, endpoint.since)
        started = max(listed, self.cordons.given_back_at(endpoint.name, now))
        return Member(
            endpoint.name,
            endpoint.zone,
            endpoint.kind,
            endpoint.replica_group,
            endpoint.state,
            endpoint.weight,
            started,
        )

    def _enter(
        self, at: float, call: Callable[[float, Effects], None], request: OpenRequest | None = None
    ) -> None:
        """Enter a call in the agenda; one for a request falls out when that is closed."""
        self._entries += 1
        if request is not None:
            request.entries += 1
        heapq.heappush(self._timers, (at, self._entries, call, request))

    def _time_for(self, request: Request) -> float:
        """The time until the last word on a request: never cut short before its aim but by the least margin,
        and however short it is, some of it is for trying."""
        wanted = min(
            self._latency_objectives.get(request.class_name, 0.0), request.budget - MIN_RESPONSE_MARGIN_S
        )
        return max(request.budget - RESPONSE_MARGIN_S, wanted, request.budget / 2.0)

    def _over(self, request: OpenRequest) -> None:
        request.over = True
        self.unanswered -= 1

    def _expire(self, request: OpenRequest, now: float, effects: Effects) -> None:
        """The client's time is up: end what is out, and see that an answer goes out."""
        for number in range(len(request.attempts)):
            self._give_up(now, request, number, effects)
        if not request.over:
            self._fail(now, request, effects)
        self._close(request)

    def _fail(self, now: float, request: OpenRequest, effects: Effects) -> None:
        """The last word, where the module gave none: what cannot have run may be asked again."""
        self._over(request)
        ran = any(attempt.may_have_run for attempt in request.attempts)
        effects.answers.append(FinalAnswer(request.id, FinalStatus.FAILED if ran else FinalStatus.REJECTED))
        self._feed(now, ClientDisconnected(request.id), effects, request)

    def _give_up(self, now: float, request: OpenRequest, number: int, effects: Effects) -> None:
        attempt = request.attempts[number]
        if not attempt.ended:
            effects.cancelled.append((request.id, number))
            # Without its first byte written it cannot have run.
            outcome = AttemptOutcome.TIMED_OUT if attempt.begun else AttemptOutcome.NO_CONNECTION
            self._end_attempt(now, request, number, outcome, effects)

    def _end_attempt(
        self,
        now: float,
        request: OpenRequest,
        number: int,
        outcome: AttemptOutcome,
        effects: Effects,
        load: dict[str, float] | None = None,
    ) -> None:
        attempt = request.attempts[number]
        attempt.ended = True
        attempt.may_have_run = not outcome.never_ran
        request.out -= 1
        if outcome is AttemptOutcome.OK and not request.over:
            self._over(request)
            effects.answers.append(FinalAnswer(request.id, FinalStatus.SERVED, attempt=number))
        figures = LoadReport(**load) if load else None
        ending = outcome
        if outcome is AttemptOutcome.TIMED_OUT and request.cut_short and now >= request.answer_by:
            ending = AttemptOutcome.CANCELLED  # given up for its client's sake: the upstream was not late
        event = AttemptEnded(
            request.id, attempt.upstream, number, ending, max(now - attempt.sent, 0.0), request.over, figures
        )
        self._feed(now, event, effects, request)

    def _close(self, request: OpenRequest) -> None:
        """A request stays known until its last attempt has told how it ended."""
        if request.over and request.out == 0 and not request.closed:
            request.closed = True
            self._requests.pop(request.id, None)
            # Guards against growth: a client may name an hour for a request that is served in a moment.
            self._dead += request.entries
            if self._dead > _MOST_DEAD and self._dead * 2 > len(self._timers):
                self._timers = [entry for entry in self._timers if entry[3] is None or not entry[3].closed]
                heapq.heapify(self._timers)
                self._dead = 0

    # --- the module ---------------------------------------------------------------------------------

    def _feed(self, now: float, event: Event, effects: Effects, request: OpenRequest | None = None) -> None:
        events = [event]
        for number in range(_MOST_EVENTS + _MOST_EACH * len(self._requests)):
            if number >= len(events):
                break
            try:
                actions = self._balancer.handle(now, events[number])
            except Exception as error:  # a fault in a decision costs its request, never the sidecar
                self.faults += 1
                effects.notes.append(f"fault in the decision module: {type(error).__name__}: {error}")
                if request is not None and not request.over and request.out == 0:
                    self._over(request)
                    effects.answers.append(FinalAnswer(request.id, FinalStatus.FAILED))
                continue
            for action in actions:
                self._act(now, action, effects, events)
        if request is not None:
            self._close(request)

    def _act(self, now: float, action: Action, effects: Effects, events: list[Event]) -> None:
        if isinstance(action, SendAttempt):  # the two that every request brings, before the others
            self._start_attempt(now, action, effects, events)
            return
        if isinstance(action, SetTimer):
            self._enter(now + action.delay, partial(self._fire, action.token))
            return
        match action:
            case CloseIdleConnections(upstream):
                effects.close_idle.append(upstream)
            case RejectRequest(request_id, retry_after_s):
                self._answer(request_id, FinalStatus.REJECTED, retry_after_s, effects)
            case FailRequest(request_id):
                self._answer(request_id, FinalStatus.FAILED, 0.0, effects)
            case CancelAttempt(request_id, number):
                request = self._requests.get(request_id)
                if (
                    request is not None
                    and number < len(request.attempts)
                    and not request.attempts[number].ended
                ):
                    request.attempts[number].ended = True
                    request.out -= 1
                    effects.cancelled.append((request_id, number))
                    attempt = request.attempts[number]
                    events.append(
                        AttemptEnded(
                            request_id,
                            attempt.upstream,
                            number,
                            AttemptOutcome.CANCELLED,
                            now - attempt.sent,
                            request.over,
                        )
                    )
                    self._close(request)
            case SendHealthCheck(upstream):
                effects.health_checks.append(upstream)
            case WatchEndpoints():
                effects.watch = True
            case FetchEndpoints():
                effects.fetch = True
            case LogMessage(text):
                effects.notes.append(text)

    def _fire(self, token: int, now: float, effects: Effects) -> None:
        self._feed(now, TimerFired(token), effects)

    def _answer(self, request_id: str, status: FinalStatus, retry_after_s: float, effects: Effects) -> None:
        request = self._requests.get(request_id)
        if request is not None and not request.over:
            self._over(request)
            effects.answers.append(FinalAnswer(request_id, status, retry_after_s))
            self._close(request)

    def _start_attempt(self, now: float, send: SendAttempt, effects: Effects, events: list[Event]) -> None:
        request = self._requests.get(send.id)
        if request is None:
            return
        number = len(request.attempts)
        anchor = next((attempt.sent for attempt in request.attempts if attempt.may_have_run), math.inf)
        opened = OpenAttempt(send.upstream, now, anchor + request.idempotency_window)
        request.attempts.append(opened)
        never_begun = sum(attempt.ended and not attempt.begun for attempt in request.attempts[:number])
        begun = number - min(never_begun, _NEVER_BEGUN_MOST)
        moot = request.over or now >= request.answer_by or begun >= request.most
        if moot or self.address(send.upstream) is None:
            opened.ended, opened.may_have_run = True, False
            events.append(
                AttemptEnded(send.id, send.upstream, number, AttemptOutcome.NOT_SENT, 0.0, request.over)
            )
            return
        request.out += 1
        if request.long:
            # It ends with its body and then its time. Told that it has started, the module waits for nothing
            # and sends no other for it: what was passed on is not kept.
            events.append(ResponseStarted(send.id, send.upstream, number))
            effects.attempts.append(
                Attempt(send.id, number, send.upstream, min(now + request.time, request.answer_by))
            )
            return
        until = min(now + send.timeout, request.answer_by) if send.timeout > 0.0 else request.answer_by
        if send.timeout < 0.0:
            until = now
        if until < request.answer_by:
            self._enter(until, lambda late, more: self._give_up(late, request, number, more), request)
        effects.attempts.append(Attempt(send.id, number, send.upstream, until))
