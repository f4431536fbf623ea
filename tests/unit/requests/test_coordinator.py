"""The coordinator: one outcome an attempt, one answer a request, timers in their order."""

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

NODES = tuple(Endpoint(f"s-{i}", "127.0.0.1", 30 + i, "z0", "k", 0) for i in range(3))


def start(**changes: object) -> RequestCoordinator:
    classes = tuple(replace(cls, late_weight=0.5) for cls in make_settings().classes)
    coordinator = RequestCoordinator(make_settings(polls_membership=True, classes=classes, **changes), 1, 0.0)
    assert coordinator.update_endpoints(100.0, EndpointList(1, True, NODES), cached=True).watch
    return coordinator


def take(coordinator: RequestCoordinator, now: float = 100.0, **changes: object) -> tuple[Attempt, Effects]:
    request = replace(Request("j", "view", 1.0), **changes)  # type: ignore[arg-type]
    effects = coordinator.pick(now, request)
    return effects.attempts[0], effects


def test_first_successful_attempt_answers_and_a_late_one_is_ignored() -> None:
    coordinator = start()
    attempt, _ = take(coordinator)
    effects = coordinator.report(100.1, attempt, AttemptOutcome.OK)
    assert effects.answers == [FinalAnswer("j", FinalStatus.SERVED, attempt=0)]
    assert coordinator.unanswered == 0 and not coordinator.is_open("j")
    assert coordinator.report(100.2, attempt, AttemptOutcome.OK) == Effects()


@pytest.mark.parametrize(
    ("budget", "margin"), [(1.5, 0.05), (0.52, 0.02), (0.5, 0.01), (0.1, 0.01), (0.004, 0.002)]
)
def test_final_answer_leaves_a_margin_unless_that_costs_the_objective(budget: float, margin: float) -> None:
    """Lost on an overload day: a request whose answer was delayed by the end of all attempts on a dead
    upstream."""
    attempt, _ = take(start(), budget=budget)
    assert attempt.until == pytest.approx(100.0 + budget - margin)


def test_final_answer_comes_before_the_deadline_though_no_attempt_returned() -> None:
    coordinator = start(limits=Limits(max_attempts=1))
    attempt, _ = take(coordinator)
    assert attempt.until == pytest.approx(101.0 - RESPONSE_MARGIN_S) and coordinator.may_begin(100.0, attempt)
    cancelled, answers = [], []
    while coordinator.next_deadline() < math.inf:
        effects = coordinator.tick(coordinator.next_deadline())
        cancelled += effects.cancelled
        answers += [(a.status, coordinator.unanswered) for a in effects.answers]
    # A safe class is refused: harmless, whatever has run.
    assert cancelled == [("j", 0)] and answers == [(FinalStatus.REJECTED, 0)]


@pytest.mark.parametrize(
    ("name", "outcome", "begun", "again"),
    [
        ("pay", AttemptOutcome.BROKEN, True, False),
        ("pay", AttemptOutcome.ERROR, True, False),
        ("pay", AttemptOutcome.NO_CONNECTION, False, True),
        ("pay", AttemptOutcome.REJECTED, True, True),
        ("order", AttemptOutcome.BROKEN, True, True),
        ("view", AttemptOutcome.BROKEN, True, True),
    ],
)
def test_what_may_have_run_is_sent_again_only_where_the_class_allows(
    name: str, outcome: AttemptOutcome, begun: bool, again: bool
) -> None:
    coordinator = start()
    attempt, _ = take(coordinator, class_name=name)
    assert not begun or coordinator.may_begin(100.0, attempt)
    effects = coordinator.report(100.05, attempt, outcome)
    assert [c.number for c in effects.attempts] == ([1] if again else [])
    assert [a.status for a in effects.answers] == ([] if again else [FinalStatus.FAILED])


def test_no_attempt_begins_on_an_upstream_that_has_begun_to_drain() -> None:
    """The connection came up after the news did."""
    coordinator = start()
    attempt, _ = take(coordinator)
    upstream = next(upstream for upstream in NODES if upstream.name == attempt.upstream)
    effects = coordinator.update_endpoints(
        100.1, EndpointList(2, False, (replace(upstream, state=EndpointState.DRAINING),))
    )
    assert effects.close_idle == [upstream.name]
    assert coordinator.address(upstream.name) is None and not coordinator.may_begin(100.1, attempt)
    assert coordinator.report(100.1, attempt, AttemptOutcome.NOT_SENT).attempts[0].upstream != upstream.name


def test_no_attempt_begins_for_a_request_that_is_answered() -> None:
    coordinator = start()
    attempt, _ = take(coordinator)
    assert coordinator.client_disconnected(100.1, "j").cancelled == [("j", 0)]
    assert (
        not coordinator.may_begin(100.1, attempt)
        and coordinator.unanswered == 0
        and not coordinator.is_open("j")
    )
    assert coordinator.report(100.2, attempt, AttemptOutcome.NOT_SENT) == Effects()


@pytest.mark.parametrize(("after", "allowed"), [(0.9, True), (1.0, False)])
def test_keyed_repeat_does_not_begin_after_its_window(after: float, allowed: bool) -> None:
    """The repeat was decided in time, but its connection came up slowly."""
    coordinator = start()
    attempt, _ = take(coordinator, class_name="order", budget=1.5)
    coordinator.may_begin(100.0, attempt)
    (repeat,) = coordinator.report(100.05, attempt, AttemptOutcome.BROKEN).attempts
    assert coordinator.may_begin(100.0 + after, repeat) is allowed


def test_request_over_max_open_is_rejected_at_once_with_retry_after() -> None:
    coordinator = start(limits=Limits(max_open_requests=1, max_retry_after=1.2))
    take(coordinator)
    effects = coordinator.pick(100.0, Request("k", "view", 1.0))
    assert effects.answers == [FinalAnswer("k", FinalStatus.REJECTED, 1.2)] and not coordinator.is_open("k")


def test_fault_in_the_balancer_costs_its_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    coordinator = start()

    def fail(now: float, event: object) -> list[Action]:
        raise RuntimeError("odd")

    monkeypatch.setattr(coordinator._balancer, "handle", fail)
    effects = coordinator.pick(100.0, Request("j", "view", 1.0))
    assert effects.answers == [FinalAnswer("j", FinalStatus.FAILED)] and "odd" in effects.notes[0]
    assert coordinator.faults == 1 and coordinator.unanswered == 0


def test_without_upstreams_a_request_is_answered_in_time() -> None:
    coordinator = RequestCoordinator(make_settings(), 1, 0.0)
    assert not coordinator.has_upstreams()
    assert coordinator.pick(100.0, Request("j", "view", 1.0)).attempts == []
    answers = []
    while coordinator.next_deadline() < math.inf:
        assert coordinator.next_deadline() < 101.0
        answers += coordinator.tick(coordinator.next_deadline()).answers
    assert len(answers) == 1


@pytest.mark.parametrize(("since", "started"), [(0.0, 0.0), (1000.0, 1050.0)])
def test_start_times_are_mapped_onto_the_one_clock(since: float, started: float) -> None:
    """As discovery lists one that has just started; what else may be listed stands in test_clocks.py."""
    coordinator = RequestCoordinator(make_settings(), 1, 50.0)
    coordinator.update_endpoints(1049.0, EndpointList(1, True, NODES))
    coordinator.update_endpoints(1050.0, EndpointList(2, False, (replace(NODES[0], since=since),)))
    assert coordinator._balancer.learned_figures().upstreams[NODES[0].name].member.started == started


def test_cancelled_attempt_gets_one_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    coordinator = start()
    attempt, _ = take(coordinator)
    seen: list[object] = []

    def handle(now: float, event: object) -> list[Action]:
        seen.append(event)
        return [CancelAttempt("j", 0)] if isinstance(event, TimerFired) else []

    monkeypatch.setattr(coordinator._balancer, "handle", handle)
    while coordinator.next_deadline() < 100.9:
        coordinator.tick(coordinator.next_deadline())
    coordinator.report(100.9, attempt, AttemptOutcome.OK)
    endings = [event.outcome for event in seen if isinstance(event, AttemptEnded)]
    assert endings == [AttemptOutcome.CANCELLED]


def test_timer_queue_does_not_grow_with_the_time_that_clients_allow() -> None:
    coordinator = start()
    for number in range(2000):
        now = 100.0 + number * 0.01
        attempt, _ = take(coordinator, now, id=f"j{number}", budget=3600.0)
        coordinator.report(now, attempt, AttemptOutcome.OK)
        coordinator.tick(now)
    timers = coordinator._timers
    assert len(timers) < 800 and 0 <= timers._dropped <= len(timers)
    take(coordinator, 120.0, id="last", budget=1.0)
    answers = []
    while coordinator.next_deadline() < 122.0:
        answers += coordinator.tick(coordinator.next_deadline()).answers
    assert [answer.request_id for answer in answers] == ["last"]


def test_update_for_many_waiting_requests_reaches_the_balancer_completely() -> None:
    """Found by reading: of the events that one call sets off, those after the first 1,000 were dropped. Here
    1,200 long requests wait for an upstream, and for each the balancer learns that its answer has its own
    time."""
    coordinator, count = start(limits=Limits(hedging=True)), 1200
    coordinator.update_endpoints(100.0, EndpointList(2, True, ()))
    for number in range(count):
        coordinator.pick(100.0, Request(f"j{number}", "view", 60.0, long=True))
    effects = coordinator.update_endpoints(100.1, EndpointList(3, True, NODES))
    assert len(effects.attempts) == count
    coordinator.tick(110.0)  # long after any answer would be overdue
    upstreams = coordinator._balancer.learned_figures().upstreams.values()
    assert sum(upstream.open_attempts for upstream in upstreams) == count
    assert sum(upstream.overdue_attempts for upstream in upstreams) == 0


@pytest.mark.parametrize(("waited", "sheds"), [(0.0, True), (0.2, False)])
def test_request_that_lost_its_time_behind_others_is_no_lateness_of_an_upstream(
    waited: float, sheds: bool
) -> None:
    """Requests that come to their turn with too little time left are given up; two idle upstreams were taken
    for overloaded, and the requests of everyone were shed."""
    coordinator, notes = start(), []
    for number in range(60):
        now = 100.0 + 0.1 * number
        effects = coordinator.pick(now, Request(f"j{number}", "view", 0.06, waited=waited))
        assert all(coordinator.may_begin(now, attempt) for attempt in effects.attempts)
        notes += effects.notes
        while coordinator.next_deadline() < now + 0.09:
            notes += coordinator.tick(coordinator.next_deadline()).notes
        assert coordinator.unanswered == 0
    assert ("shedding load" in notes) == sheds


def test_fault_in_one_timer_costs_that_timer_alone() -> None:
    coordinator = start(limits=Limits(max_attempts=1))
    take(coordinator, id="before", budget=1.0)
    take(coordinator, id="after", budget=1.2)

    def fail(now: float, effects: Effects) -> None:
        raise RuntimeError("unforeseen")

    coordinator._timers.schedule(101.0, fail)
    effects = coordinator.tick(102.0)
    assert [answer.request_id for answer in effects.answers] == ["before", "after"]
    assert coordinator.faults == 1 and any("unforeseen" in note for note in effects.notes)


def test_attempts_that_never_began_do_not_count_but_for_a_bound() -> None:
    """This machine had no free port: one attempt was allowed, and the request was rejected at once."""
    coordinator = start(limits=Limits(max_attempts=1))
    coordinator.update_endpoints(
        100.0, EndpointList(1, True, tuple(replace(NODES[0], name=f"s-{i}") for i in range(9)))
    )
    attempt, _ = take(coordinator)
    attempts = 1
    while again := coordinator.report(100.0, attempt, AttemptOutcome.NOT_SENT).attempts:
        attempt, attempts = again[0], attempts + 1
    assert attempts == 6 and coordinator.unanswered == 0
    attempt, _ = take(coordinator, id="k")
    (attempt,) = coordinator.report(100.0, attempt, AttemptOutcome.NOT_SENT).attempts
    assert coordinator.may_begin(100.0, attempt)
    assert not coordinator.report(100.1, attempt, AttemptOutcome.REJECTED).attempts  # the one that is allowed


def test_timer_that_sets_itself_anew_at_once_is_run_once_a_tick() -> None:
    """Guards against a tick that never ends: what a callback sets for this instant waits for the next one."""
    coordinator = start()
    runs: list[str] = []

    def repeat(now: float, _: Effects) -> None:
        runs.append("repeats")
        if len(runs) > 100:
            raise RecursionError
        coordinator._timers.schedule(now, repeat)

    coordinator._timers.schedule(100.0, repeat)
    coordinator._timers.schedule(100.0, lambda _now, _effects: runs.append("other"))
    for tick in range(1, 4):
        coordinator.tick(100.0)
        assert runs.count("repeats") == tick
        assert coordinator.next_deadline() <= 100.0
    assert runs.count("other") == 1 and coordinator.ticks_cut_short == 3


def test_timer_whose_owner_an_earlier_one_of_the_same_tick_closed_does_not_run() -> None:
    """Guards against acting for a request that has ended within the tick."""
    coordinator = start()
    attempt, _ = take(coordinator)
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
