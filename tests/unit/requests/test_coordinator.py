"""The request coordinator: one outcome per attempt, one final answer per request, timers in order."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from indigokeel.balancing.actions import Action, CancelAttempt
from indigokeel.balancing.events import AttemptEnded, AttemptOutcome, EndpointState, TimerFired
from indigokeel.balancing.settings import Limits
from indigokeel.endpoints.endpoint_list import Endpoint, EndpointList
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Attempt, Effects, FinalAnswer, FinalStatus, Request
from indigokeel.requests.open_requests import RESPONSE_MARGIN_S
from tests.conftest import make_settings

ENDPOINTS = tuple(Endpoint(f"s-{i}", "127.0.0.1", 30 + i, "z0", "k", 0) for i in range(3))


def make_coordinator(**changes: object) -> RequestCoordinator:
    classes = tuple(replace(cls, late_weight=0.5) for cls in make_settings().classes)
    coordinator = RequestCoordinator(make_settings(polls_membership=True, classes=classes, **changes), 1, 0.0)
    assert coordinator.update_endpoints(100.0, EndpointList(1, True, ENDPOINTS), cached=True).start_watch
    return coordinator


def submit_request(
    coordinator: RequestCoordinator, now: float = 100.0, **changes: object
) -> tuple[Attempt, Effects]:
    request = replace(Request("j", "view", 1.0), **changes)  # type: ignore[arg-type]
    effects = coordinator.pick(now, request)
    return effects.attempts[0], effects


def test_first_successful_attempt_answers_and_a_late_one_is_ignored() -> None:
    coordinator = make_coordinator()
    attempt, _ = submit_request(coordinator)
    effects = coordinator.report(100.1, attempt, AttemptOutcome.OK)
    assert effects.answers == [FinalAnswer("j", FinalStatus.SERVED, attempt=0)]
    assert coordinator.unanswered == 0 and not coordinator.is_open("j")
    assert coordinator.report(100.2, attempt, AttemptOutcome.OK) == Effects()


@pytest.mark.parametrize(
    ("budget", "margin"), [(1.5, 0.05), (0.52, 0.02), (0.5, 0.01), (0.1, 0.01), (0.004, 0.002)]
)
def test_final_answer_leaves_a_margin_unless_that_cuts_into_the_latency_objective(
    budget: float, margin: float
) -> None:
    """During an overload, the end of all attempts on a failed upstream delayed an answer past its client's
    time limit."""
    attempt, _ = submit_request(make_coordinator(), budget=budget)
    assert attempt.times_out_at == pytest.approx(100.0 + budget - margin)


def test_final_answer_comes_before_the_deadline_if_no_attempt_ends() -> None:
    coordinator = make_coordinator(limits=Limits(max_attempts=1))
    attempt, _ = submit_request(coordinator)
    assert attempt.times_out_at == pytest.approx(101.0 - RESPONSE_MARGIN_S) and coordinator.may_send_attempt(
        100.0, attempt
    )
    cancelled, answers = [], []
    while coordinator.next_deadline() < math.inf:
        effects = coordinator.tick(coordinator.next_deadline())
        cancelled += effects.cancelled_attempts
        answers += [(a.status, coordinator.unanswered) for a in effects.answers]
    # A request of a safe class is rejected even if an attempt may have run, because that is harmless.
    assert cancelled == [("j", 0)] and answers == [(FinalStatus.REJECTED, 0)]


@pytest.mark.parametrize(
    ("name", "outcome", "sent", "retried"),
    [
        ("pay", AttemptOutcome.BROKEN, True, False),
        ("pay", AttemptOutcome.ERROR, True, False),
        ("pay", AttemptOutcome.NO_CONNECTION, False, True),
        ("pay", AttemptOutcome.REJECTED, True, True),
        ("order", AttemptOutcome.BROKEN, True, True),
        ("view", AttemptOutcome.BROKEN, True, True),
    ],
)
def test_request_that_may_have_run_is_retried_only_if_its_class_allows_it(
    name: str, outcome: AttemptOutcome, sent: bool, retried: bool
) -> None:
    coordinator = make_coordinator()
    attempt, _ = submit_request(coordinator, class_name=name)
    assert not sent or coordinator.may_send_attempt(100.0, attempt)
    effects = coordinator.report(100.05, attempt, outcome)
    assert [c.number for c in effects.attempts] == ([1] if retried else [])
    assert [a.status for a in effects.answers] == ([] if retried else [FinalStatus.FAILED])


def run_timers_until(coordinator: RequestCoordinator, end: float) -> list[tuple[float, FinalStatus]]:
    """Run all timers up to a clock time; return the times and kinds of the final answers."""
    answers = []
    while (now := coordinator.next_deadline()) <= end:
        answers += [(now, answer.status) for answer in coordinator.tick(now).answers]
    return answers


def test_time_limit_of_a_streamed_request_runs_while_its_last_byte_may_be_unread() -> None:
    """Guards against a request that is never answered because its upstream takes nothing of its body."""
    coordinator = make_coordinator()
    attempt, _ = submit_request(coordinator, class_name="pay", body_streamed=True)
    assert coordinator.may_send_attempt(100.0, attempt)
    coordinator.request_body_sent("j", 100.2)
    assert run_timers_until(coordinator, 101.0) == []
    coordinator.request_body_sent("j", None)  # all that the client has sent was read, and its body goes on
    assert run_timers_until(coordinator, 110.0) == []
    coordinator.request_body_sent("j", 110.0)
    assert run_timers_until(coordinator, 120.0) == [(111.0 - RESPONSE_MARGIN_S, FinalStatus.FAILED)]
    assert not coordinator.is_open("j")


def test_time_limit_of_a_streamed_request_includes_its_wait_behind_another() -> None:
    """Guards against a time-out passed on, and an answer, that come after the client's time."""
    coordinator = make_coordinator()
    attempt, _ = submit_request(coordinator, class_name="pay", body_streamed=True, body_unread_since=99.5)
    respond_by = 100.5 - RESPONSE_MARGIN_S
    assert attempt.times_out_at == respond_by
    assert [now for now, _ in run_timers_until(coordinator, 110.0)] == [respond_by]


@pytest.mark.parametrize("shutdown_first", [False, True])
@pytest.mark.parametrize(("answer_by", "answered_at"), [(103.0, 101.4 - RESPONSE_MARGIN_S), (100.8, 100.8)])
def test_streamed_request_is_answered_in_its_time_and_that_of_a_shutdown(
    shutdown_first: bool, answer_by: float, answered_at: float
) -> None:
    """Guards against a shutdown that replaces the time limit of a long request by its own, later one."""
    coordinator = make_coordinator()
    if shutdown_first:
        coordinator.limit_deadlines(answer_by)
    attempt, _ = submit_request(coordinator, class_name="pay", body_streamed=True)
    coordinator.limit_deadlines(answer_by)
    assert coordinator.may_send_attempt(100.0, attempt)
    coordinator.request_body_sent("j", 100.1)
    coordinator.request_body_sent("j", None)
    coordinator.request_body_sent("j", 100.4)
    ((now, status),) = run_timers_until(coordinator, 110.0)
    assert now == pytest.approx(answered_at) and status is FinalStatus.FAILED


def test_streamed_request_whose_body_goes_on_is_answered_by_the_end_of_a_shutdown() -> None:
    """Guards against a pause of reading that lifts the limit of a shutdown."""
    coordinator = make_coordinator()
    submit_request(coordinator, class_name="pay", body_streamed=True)
    coordinator.limit_deadlines(103.0)
    coordinator.request_body_sent("j", 100.1)
    coordinator.request_body_sent("j", None)
    assert [now for now, _ in run_timers_until(coordinator, 110.0)] == [103.0]


def test_no_attempt_is_sent_to_a_draining_upstream() -> None:
    """Guards against sending on a connection that was established after the upstream started to drain."""
    coordinator = make_coordinator()
    attempt, _ = submit_request(coordinator)
    upstream = next(upstream for upstream in ENDPOINTS if upstream.name == attempt.upstream)
    effects = coordinator.update_endpoints(
        100.1, EndpointList(2, False, (replace(upstream, state=EndpointState.DRAINING),))
    )
    assert effects.drain_connections == [upstream.name]
    assert coordinator.address(upstream.name) is None and not coordinator.may_send_attempt(100.1, attempt)
    assert coordinator.report(100.1, attempt, AttemptOutcome.NOT_SENT).attempts[0].upstream != upstream.name


def test_no_attempt_is_sent_for_an_answered_request() -> None:
    coordinator = make_coordinator()
    attempt, _ = submit_request(coordinator)
    assert coordinator.client_disconnected(100.1, "j").cancelled_attempts == [("j", 0)]
    assert (
        not coordinator.may_send_attempt(100.1, attempt)
        and coordinator.unanswered == 0
        and not coordinator.is_open("j")
    )
    assert coordinator.report(100.2, attempt, AttemptOutcome.NOT_SENT) == Effects()


@pytest.mark.parametrize(("after", "allowed"), [(0.9, True), (1.0, False)])
def test_keyed_retry_is_not_sent_after_the_idempotency_window(after: float, allowed: bool) -> None:
    """The retry was decided in time, but its connection was established too late."""
    coordinator = make_coordinator()
    attempt, _ = submit_request(coordinator, class_name="order", budget=1.5)
    coordinator.may_send_attempt(100.0, attempt)
    (retry,) = coordinator.report(100.05, attempt, AttemptOutcome.BROKEN).attempts
    assert coordinator.may_send_attempt(100.0 + after, retry) is allowed


def test_request_over_max_open_is_rejected_at_once_with_retry_after() -> None:
    coordinator = make_coordinator(limits=Limits(max_open_requests=1, max_retry_after=1.2))
    submit_request(coordinator)
    effects = coordinator.pick(100.0, Request("k", "view", 1.0))
    assert effects.answers == [FinalAnswer("k", FinalStatus.REJECTED, 1.2)] and not coordinator.is_open("k")


def test_fault_in_the_balancer_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    coordinator = make_coordinator()

    def fail(now: float, event: object) -> list[Action]:
        raise RuntimeError("odd")

    monkeypatch.setattr(coordinator._balancer, "handle", fail)
    effects = coordinator.pick(100.0, Request("j", "view", 1.0))
    assert effects.answers == [FinalAnswer("j", FinalStatus.FAILED)] and "odd" in effects.log_messages[0]
    assert coordinator.faults == 1 and coordinator.unanswered == 0


def test_request_is_answered_in_time_without_upstreams() -> None:
    coordinator = RequestCoordinator(make_settings(), 1, 0.0)
    assert not coordinator.has_upstreams()
    assert coordinator.pick(100.0, Request("j", "view", 1.0)).attempts == []
    answers = []
    while coordinator.next_deadline() < math.inf:
        assert coordinator.next_deadline() < 101.0
        answers += coordinator.tick(coordinator.next_deadline()).answers
    assert len(answers) == 1


@pytest.mark.parametrize(("since", "started"), [(0.0, 0.0), (1000.0, 1050.0)])
def test_start_times_are_converted_to_the_monotonic_clock(since: float, started: float) -> None:
    """For an upstream that has just started; test_clocks.py covers other values that discovery may send."""
    coordinator = RequestCoordinator(make_settings(), 1, 50.0)
    coordinator.update_endpoints(1049.0, EndpointList(1, True, ENDPOINTS))
    coordinator.update_endpoints(1050.0, EndpointList(2, False, (replace(ENDPOINTS[0], since=since),)))
    assert coordinator._balancer.learned_statistics().upstreams[ENDPOINTS[0].name].member.started == started


def test_cancelled_attempt_gets_one_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    coordinator = make_coordinator()
    attempt, _ = submit_request(coordinator)
    seen: list[object] = []

    def handle(now: float, event: object) -> list[Action]:
        seen.append(event)
        return [CancelAttempt("j", 0)] if isinstance(event, TimerFired) else []

    monkeypatch.setattr(coordinator._balancer, "handle", handle)
    while coordinator.next_deadline() < 100.9:
        coordinator.tick(coordinator.next_deadline())
    coordinator.report(100.9, attempt, AttemptOutcome.OK)
    outcomes = [event.outcome for event in seen if isinstance(event, AttemptEnded)]
    assert outcomes == [AttemptOutcome.CANCELLED]


def test_timer_queue_does_not_grow_with_long_client_time_limits() -> None:
    coordinator = make_coordinator()
    for number in range(2000):
        now = 100.0 + number * 0.01
        attempt, _ = submit_request(coordinator, now, id=f"j{number}", budget=3600.0)
        coordinator.report(now, attempt, AttemptOutcome.OK)
        coordinator.tick(now)
    timers = coordinator._timers
    assert len(timers) < 800 and 0 <= timers._dropped <= len(timers)
    submit_request(coordinator, 120.0, id="last", budget=1.0)
    answers = []
    while coordinator.next_deadline() < 122.0:
        answers += coordinator.tick(coordinator.next_deadline()).answers
    assert [answer.request_id for answer in answers] == ["last"]


def test_all_events_of_an_update_for_many_waiting_requests_are_delivered() -> None:
    """Of the events that one call caused, those after the first 1,000 were dropped.

    Here 1,200 requests with streamed bodies wait for an upstream. For each, the balancer has to receive the
    event that excludes its attempt from the overdue ones.
    """
    coordinator, count = make_coordinator(limits=Limits(hedging=True)), 1200
    coordinator.update_endpoints(100.0, EndpointList(2, True, ()))
    for number in range(count):
        coordinator.pick(100.0, Request(f"j{number}", "view", 60.0, body_streamed=True))
    effects = coordinator.update_endpoints(100.1, EndpointList(3, True, ENDPOINTS))
    assert len(effects.attempts) == count
    coordinator.tick(110.0)  # long after any other attempt would count as overdue
    upstreams = coordinator._balancer.learned_statistics().upstreams.values()
    assert sum(upstream.open_attempts for upstream in upstreams) == count
    assert sum(upstream.overdue_attempts for upstream in upstreams) == 0


@pytest.mark.parametrize(("queued_s", "sheds"), [(0.0, True), (0.2, False)])
def test_request_delayed_by_others_of_its_client_is_not_blamed_on_an_upstream(
    queued_s: float, sheds: bool
) -> None:
    """Requests that waited behind others of their client time out soon after they are sent. Their time-outs
    made two idle upstreams look overloaded, and requests of all clients were shed."""
    coordinator, log_messages = make_coordinator(), []
    for number in range(60):
        now = 100.0 + 0.1 * number
        effects = coordinator.pick(now, Request(f"j{number}", "view", 0.06, queued_s=queued_s))
        assert all(coordinator.may_send_attempt(now, attempt) for attempt in effects.attempts)
        log_messages += effects.log_messages
        while coordinator.next_deadline() < now + 0.09:
            log_messages += coordinator.tick(coordinator.next_deadline()).log_messages
        assert coordinator.unanswered == 0
    assert ("shedding load" in log_messages) == sheds


def test_fault_in_one_timer_does_not_affect_the_others() -> None:
    coordinator = make_coordinator(limits=Limits(max_attempts=1))
    submit_request(coordinator, id="before", budget=1.0)
    submit_request(coordinator, id="after", budget=1.2)

    def fail(now: float, effects: Effects) -> None:
        raise RuntimeError("unforeseen")

    coordinator._timers.schedule(101.0, fail)
    effects = coordinator.tick(102.0)
    assert [answer.request_id for answer in effects.answers] == ["before", "after"]
    assert coordinator.faults == 1 and any("unforeseen" in note for note in effects.log_messages)


def test_unsent_attempts_count_only_beyond_a_bound() -> None:
    """With no free local port and a limit of one attempt, a request was rejected at once."""
    coordinator = make_coordinator(limits=Limits(max_attempts=1))
    coordinator.update_endpoints(
        100.0, EndpointList(1, True, tuple(replace(ENDPOINTS[0], name=f"s-{i}") for i in range(9)))
    )
    attempt, _ = submit_request(coordinator)
    attempts = 1
    while next_attempts := coordinator.report(100.0, attempt, AttemptOutcome.NOT_SENT).attempts:
        attempt, attempts = next_attempts[0], attempts + 1
    assert attempts == 6 and coordinator.unanswered == 0
    attempt, _ = submit_request(coordinator, id="k")
    (attempt,) = coordinator.report(100.0, attempt, AttemptOutcome.NOT_SENT).attempts
    assert coordinator.may_send_attempt(100.0, attempt)
    # The one allowed attempt has been used.
    assert not coordinator.report(100.1, attempt, AttemptOutcome.REJECTED).attempts


def test_timer_that_reschedules_itself_for_now_runs_once_per_tick() -> None:
    """Guards against a tick that never ends: a timer set for the current time waits for the next tick."""
    coordinator = make_coordinator()
    runs: list[str] = []

    def reschedule(now: float, _: Effects) -> None:
        runs.append("repeats")
        if len(runs) > 100:
            raise RecursionError
        coordinator._timers.schedule(now, reschedule)

    coordinator._timers.schedule(100.0, reschedule)
    coordinator._timers.schedule(100.0, lambda _now, _effects: runs.append("other"))
    for tick in range(1, 4):
        coordinator.tick(100.0)
        assert runs.count("repeats") == tick
        assert coordinator.next_deadline() <= 100.0
    assert runs.count("other") == 1 and coordinator.ticks_cut_short == 3


def test_timer_does_not_run_if_an_earlier_one_of_the_same_tick_closed_its_owner() -> None:
    """Guards against handling a request that has already ended during the tick."""
    coordinator = make_coordinator()
    attempt, _ = submit_request(coordinator)
    request = coordinator._requests.get("j")
    assert request is not None
    ran: list[str] = []

    def answer(now: float, _: Effects) -> None:
        coordinator.report(now, attempt, AttemptOutcome.OK)
        ran.append("answer")

    coordinator._timers.schedule(100.2, answer)
    coordinator._timers.schedule(100.2, lambda _now, _effects: ran.append("dropped"), request)
    coordinator.tick(100.2)
    assert ran == ["answer"] and request.closed


NAME_TAKEN_OVER = (
    replace(ENDPOINTS[0], replica_group=1),
    replace(ENDPOINTS[1], replica_group=1),
)
ADDRESS_TAKEN_OVER = (
    replace(ENDPOINTS[0], state=EndpointState.GONE),
    replace(ENDPOINTS[0], name="s-9", replica_group=1),
    ENDPOINTS[2],
)


@pytest.mark.parametrize(
    ("change", "is_repeated"),
    [((ENDPOINTS[2],), True), (NAME_TAKEN_OVER, False), (ADDRESS_TAKEN_OVER, False)],
)
def test_keyed_request_is_not_repeated_where_another_process_took_over_the_first_upstream(
    change: tuple[Endpoint, ...], is_repeated: bool
) -> None:
    coordinator = make_coordinator()
    others = (replace(ENDPOINTS[1], replica_group=1), ENDPOINTS[2])
    draining = tuple(replace(endpoint, state=EndpointState.DRAINING) for endpoint in others)
    coordinator.update_endpoints(100.0, EndpointList(2, False, draining))
    attempt, _ = submit_request(coordinator, class_name="order")
    assert attempt.upstream == "s-0" and coordinator.may_send_attempt(100.0, attempt)
    coordinator.update_endpoints(100.1, EndpointList(3, False, change))
    effects = coordinator.report(100.2, attempt, AttemptOutcome.BROKEN)
    sent = [again for again in effects.attempts if coordinator.may_send_attempt(100.2, again)]
    assert bool(sent) is is_repeated
