"""The four safety rules under random valid events, checked by a model independent of the balancer's code."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from indigokeel.balancing.actions import Action, FailRequest, RejectRequest, SendAttempt, SetTimer
from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    Event,
    LoadReport,
    Member,
    MembershipUpdate,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from indigokeel.balancing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    Limits,
    LoadReportSource,
    Safety,
)
from tests.conftest import KEYED, SAFE, UNSAFE, make_members, make_settings

SLACK_S, DRAIN_GRACE_S, MAX_ATTEMPTS = 0.02, 1.0, 5
NEVER_RAN = {AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT}


@dataclass
class SentAttempt:
    upstream: Member
    sent_at: float
    times_out_at: float
    outcome: AttemptOutcome | None = None

    @property
    def never_ran(self) -> bool:
        return self.outcome in NEVER_RAN


@dataclass
class TrackedRequest:
    class_settings: ClassSettings
    deadline: float
    attempts: list[SentAttempt] = field(default_factory=list)
    final_answers: int = 0
    ended: bool = False


class SafetyRules(RuleBasedStateMachine):
    """Simulates the clients, upstreams, discovery and clock of one sidecar."""

    scope = DeduplicationScope.REPLICA_GROUP
    hedging = True

    @initialize(
        seed=st.integers(0, 99), hedging=st.booleans(), scope=st.sampled_from(list(DeduplicationScope))
    )
    def create_balancer(self, seed: int, hedging: bool, scope: DeduplicationScope) -> None:
        self.keyed = replace(KEYED, deduplication_scope=scope)
        self.hedging = hedging
        limits = Limits(max_attempts=MAX_ATTEMPTS, hedging=hedging, health_checks=True)
        self.now = 500.0
        self.members = {m.id: m for m in make_members(6)}
        self.drained_at: dict[str, float] = {}
        self.requests: dict[str, TrackedRequest] = {}
        self.timers: list[tuple[float, int]] = []
        self.balancer = Balancer(
            make_settings(
                classes=(SAFE, self.keyed, UNSAFE),
                limits=limits,
                polls_membership=True,
                load_report_source=LoadReportSource.HEALTH_CHECKS,
            ),
            seed,
        )
        self.deliver(MembershipUpdate(UpdateKind.CACHED, tuple(self.members.values())))

    def deliver(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check_action(action)

    def check_action(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self.check_send(action)
        elif isinstance(action, RejectRequest | FailRequest):
            request = self.requests[action.id]
            assert not request.ended, "a second final answer"
            assert self.now <= request.deadline + SLACK_S, "a late final answer"
            if isinstance(action, RejectRequest):
                may_have_run = any(not sent.never_ran for sent in request.attempts)
                repeat_is_harmless = request.class_settings.idempotency is Idempotency.SAFE or (
                    request.class_settings.idempotency is Idempotency.KEYED
                    and request.class_settings.deduplication_scope is DeduplicationScope.ALL
                )
                assert repeat_is_harmless or not may_have_run, "rejected a request that may have run"
            request.ended = True
            request.final_answers += 1
        elif isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay, action.token))

    def check_send(self, action: SendAttempt) -> None:
        request, member = self.requests[action.id], self.members.get(action.upstream)
        assert not request.ended, "sent after the request ended"
        assert member is not None or action.upstream in self.drained_at, (
            "sent to an upstream that was never listed"
        )
        drained_at = self.drained_at.get(action.upstream)
        assert drained_at is None or self.now <= drained_at + DRAIN_GRACE_S, "sent to a draining upstream"
        assert len(request.attempts) < MAX_ATTEMPTS, "too many attempts"
        assert self.hedging or all(sent.outcome is not None for sent in request.attempts), (
            "hedged although hedging is disabled"
        )
        may_have_run = [sent for sent in request.attempts if not sent.never_ran]
        assert member is not None
        if may_have_run and request.class_settings.idempotency is Idempotency.UNSAFE:
            raise AssertionError("repeated an unsafe request that may have run")
        if may_have_run and request.class_settings.idempotency is Idempotency.KEYED:
            first = may_have_run[0]
            assert self.now <= first.sent_at + request.class_settings.idempotency_window, (
                "repeated after the idempotency window"
            )
            for sent in may_have_run:
                same = {
                    DeduplicationScope.ALL: True,
                    DeduplicationScope.ZONE: sent.upstream.zone == member.zone,
                    DeduplicationScope.REPLICA_GROUP: sent.upstream.replica_group == member.replica_group,
                }[request.class_settings.deduplication_scope]
                assert same, "repeated outside the deduplication scope"
        end = request.deadline if action.timeout == 0 else min(request.deadline, self.now + action.timeout)
        request.attempts.append(SentAttempt(member, self.now, max(end, self.now)))

    # --- rules: the events that can occur ---

    @rule(
        class_name=st.sampled_from(["view", "order", "pay"]),
        budget=st.sampled_from([0.001, 0.03, 0.3, 1.5, 4.0]),
    )
    def add_request(self, class_name: str, budget: float) -> None:
        request_id = f"q{len(self.requests)}"
        class_settings = {"view": SAFE, "order": self.keyed, "pay": UNSAFE}[class_name]
        self.requests[request_id] = TrackedRequest(class_settings, self.now + budget)
        self.deliver(RequestArrived(request_id, class_name, budget, key="k1"))

    def open_attempts(self) -> list[tuple[str, int]]:
        return [
            (name, number)
            for name, request in self.requests.items()
            for number, sent in enumerate(request.attempts)
            if sent.outcome is None
        ]

    def end_attempt(self, name: str, number: int, outcome: AttemptOutcome) -> None:
        request = self.requests[name]
        sent = request.attempts[number]
        sent.outcome = outcome
        if outcome is AttemptOutcome.OK and not request.ended:
            request.ended, request.final_answers = True, request.final_answers + 1
        load = LoadReport(rate=20.0, utilisation=0.5) if outcome is AttemptOutcome.OK else None
        elapsed = self.now - sent.sent_at
        self.deliver(AttemptEnded(name, sent.upstream.id, number, outcome, elapsed, request.ended, load))

    @precondition(lambda self: bool(self.requests) and bool(self.open_attempts()))
    @rule(data=st.data())
    def attempt_ends(self, data: st.DataObject) -> None:
        name, number = data.draw(st.sampled_from(self.open_attempts()))
        endings = [e for e in AttemptOutcome if e not in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED)]
        self.end_attempt(name, number, data.draw(st.sampled_from(endings)))

    @precondition(lambda self: any(not request.ended for request in self.requests.values()))
    @rule(data=st.data())
    def client_disconnects(self, data: st.DataObject) -> None:
        name = data.draw(
            st.sampled_from([name for name, request in self.requests.items() if not request.ended])
        )
        self.requests[name].ended = True
        self.requests[name].final_answers += 1
        self.deliver(ClientDisconnected(name))

    @rule(data=st.data(), state=st.sampled_from(list(EndpointState)))
    def member_changes(self, data: st.DataObject, state: EndpointState) -> None:
        name = data.draw(st.sampled_from([m.id for m in make_members(6)]))
        member = next(m for m in make_members(6) if m.id == name)
        if state is EndpointState.SERVING:
            started = data.draw(st.sampled_from([0.0, self.now, self.now - 3.0]))
            member = replace(member, started=started)
            self.drained_at.pop(name, None)
        else:
            member = replace(member, state=state)
            self.drained_at.setdefault(name, self.now)
        self.members[name] = member
        self.deliver(MembershipUpdate(UpdateKind.DELTA, (member,)))

    @rule()
    def fleet_drains(self) -> None:
        drained = tuple(replace(m, state=EndpointState.DRAINING) for m in make_members(6))
        for member in drained:
            self.members[member.id] = member
            self.drained_at.setdefault(member.id, self.now)
        self.deliver(MembershipUpdate(UpdateKind.FULL, drained))

    @rule()
    def discovery_fails(self) -> None:
        self.deliver(MembershipUpdate(UpdateKind.FAILED))

    @rule(step=st.sampled_from([0.005, 0.05, 0.4, 1.1]))
    def time_passes(self, step: float) -> None:
        until = self.now + step
        while True:
            due = [(at, 0, token, "") for at, token in self.timers if at <= until]
            for name, number in self.open_attempts():
                due.append((self.requests[name].attempts[number].times_out_at, 1, number, name))
            due = [item for item in due if item[0] <= until]
            if not due:
                break
            at, kind, number, name = min(due)
            self.now = max(self.now, at)
            if kind == 0:
                self.timers.remove((at, number))
                self.deliver(TimerFired(number))
            else:
                self.end_attempt(name, number, AttemptOutcome.TIMED_OUT)
        self.now = until

    @invariant()
    def requests_are_answered_once_and_in_time(self) -> None:
        for name, request in getattr(self, "requests", {}).items():
            assert request.final_answers <= 1, name
            assert request.ended or self.now <= request.deadline + SLACK_S, f"{name} was not answered"


SafetyRules.TestCase.settings = settings(
    max_examples=120,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestRules = SafetyRules.TestCase


def test_cold_upstream_keeps_its_budget() -> None:
    """Rule 4: under overload, all sidecars together send a warming-up upstream less than would overload it.

    Each of 300 sidecars decides on its own. Their sum must not exceed the overload multiple of the capacity
    that the upstream is sure to have, while the fleet is offered 1.5 times what it can serve."""
    members = make_members(12)
    now, age = 100.0, 1.0
    cold = replace(members[0], started=now - age)
    safety = Safety(warm_up_initial_ratio=0.3, warm_up_time=8.5, overload_multiple=3.0)
    sent_to_cold, total = 0, 0
    for instance_index in range(300):
        balancer = Balancer(
            make_settings(instance_index=instance_index, sidecars=300, safety=safety), instance_index
        )
        balancer.handle(now, MembershipUpdate(UpdateKind.CACHED, (cold, *members[1:])))
        for number in range(12):
            name = f"{instance_index}-{number}"
            actions = balancer.handle(now, RequestArrived(name, "view", 1.5))
            for attempt in range(MAX_ATTEMPTS):
                found = [a for a in actions if isinstance(a, SendAttempt)]
                if not found:
                    break
                send = found[0]
                total += 1
                sent_to_cold += send.upstream == cold.id
                is_full = send.upstream != cold.id and number % 2 == 0
                outcome = AttemptOutcome.REJECTED if is_full else AttemptOutcome.OK
                load = LoadReport(rate=30.0, utilisation=1.0)
                event = AttemptEnded(name, send.upstream, attempt, outcome, 0.05, not is_full, load)
                actions = balancer.handle(now, event)
    warm_up_weight = 0.3 + 0.7 * age / 8.5
    fair_share = total / 12 / 1.5  # what one warm upstream can serve of an offer of 1.5 times the capacity
    assert sent_to_cold <= 3.0 * warm_up_weight * fair_share
