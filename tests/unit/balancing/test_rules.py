"""The four rules under random legal events, judged by a reference that shares no code with the module."""

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

SLACK, GRACE, MOST = 0.02, 1.0, 5
NEVER_RAN = {AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT}


@dataclass
class Sent:
    upstream: Member
    at: float
    limit: float
    outcome: AttemptOutcome | None = None

    @property
    def harmless(self) -> bool:
        return self.outcome in NEVER_RAN


@dataclass
class Asked:
    cls: ClassSettings
    deadline: float
    sent: list[Sent] = field(default_factory=list)
    answers: int = 0
    over: bool = False


class Rules(RuleBasedStateMachine):
    """Plays one sidecar's clients, upstreams, discovery and clock."""

    group = DeduplicationScope.REPLICA_GROUP
    copies = True

    @initialize(
        seed=st.integers(0, 99), copies=st.booleans(), group=st.sampled_from(list(DeduplicationScope))
    )
    def start(self, seed: int, copies: bool, group: DeduplicationScope) -> None:
        self.keyed = replace(KEYED, deduplication_scope=group)
        self.copies = copies
        limits = Limits(max_attempts=MOST, hedging=copies, health_checks=True)
        self.now = 500.0
        self.members = {m.id: m for m in make_members(6)}
        self.drained_at: dict[str, float] = {}
        self.asked: dict[str, Asked] = {}
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
        self.hand(MembershipUpdate(UpdateKind.CACHED, tuple(self.members.values())))

    def hand(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self.check_send(action)
        elif isinstance(action, RejectRequest | FailRequest):
            asked = self.asked[action.id]
            assert not asked.over, "a second final answer"
            assert self.now <= asked.deadline + SLACK, "a late final answer"
            if isinstance(action, RejectRequest):
                doubt = any(not sent.harmless for sent in asked.sent)
                loose = asked.cls.idempotency is Idempotency.SAFE or (
                    asked.cls.idempotency is Idempotency.KEYED
                    and asked.cls.deduplication_scope is DeduplicationScope.ALL
                )
                assert loose or not doubt, "a refusal of what may have run"
            asked.over = True
            asked.answers += 1
        elif isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay, action.token))

    def check_send(self, action: SendAttempt) -> None:
        asked, member = self.asked[action.id], self.members.get(action.upstream)
        assert not asked.over, "sent after the end"
        assert member is not None or action.upstream in self.drained_at, "an upstream no list named"
        off = self.drained_at.get(action.upstream)
        assert off is None or self.now <= off + GRACE, "sent to a draining upstream"
        assert len(asked.sent) < MOST, "too many attempts"
        assert self.copies or all(sent.outcome is not None for sent in asked.sent), "two at once"
        doubtful = [sent for sent in asked.sent if not sent.harmless]
        assert member is not None
        if doubtful and asked.cls.idempotency is Idempotency.UNSAFE:
            raise AssertionError("an unsafe request sent twice")
        if doubtful and asked.cls.idempotency is Idempotency.KEYED:
            first = doubtful[0]
            assert self.now <= first.at + asked.cls.idempotency_window, "a repeat after the window"
            for one in doubtful:
                same = {
                    DeduplicationScope.ALL: True,
                    DeduplicationScope.ZONE: one.upstream.zone == member.zone,
                    DeduplicationScope.REPLICA_GROUP: one.upstream.replica_group == member.replica_group,
                }[asked.cls.deduplication_scope]
                assert same, "a repeat outside the group"
        end = asked.deadline if action.timeout == 0 else min(asked.deadline, self.now + action.timeout)
        asked.sent.append(Sent(member, self.now, max(end, self.now)))

    # --- what can happen ---

    @rule(
        name=st.sampled_from(["view", "order", "pay"]), budget=st.sampled_from([0.001, 0.03, 0.3, 1.5, 4.0])
    )
    def ask(self, name: str, budget: float) -> None:
        number = f"q{len(self.asked)}"
        cls = {"view": SAFE, "order": self.keyed, "pay": UNSAFE}[name]
        self.asked[number] = Asked(cls, self.now + budget)
        self.hand(RequestArrived(number, name, budget, key="k1"))

    def out(self) -> list[tuple[str, int]]:
        return [(n, i) for n, a in self.asked.items() for i, s in enumerate(a.sent) if s.outcome is None]

    def end(self, name: str, number: int, outcome: AttemptOutcome) -> None:
        asked = self.asked[name]
        sent = asked.sent[number]
        sent.outcome = outcome
        if outcome is AttemptOutcome.OK and not asked.over:
            asked.over, asked.answers = True, asked.answers + 1
        load = LoadReport(rate=20.0, utilisation=0.5) if outcome is AttemptOutcome.OK else None
        elapsed = self.now - sent.at
        self.hand(AttemptEnded(name, sent.upstream.id, number, outcome, elapsed, asked.over, load))

    @precondition(lambda self: bool(self.asked) and bool(self.out()))
    @rule(data=st.data())
    def attempt_ends(self, data: st.DataObject) -> None:
        name, number = data.draw(st.sampled_from(self.out()))
        endings = [e for e in AttemptOutcome if e not in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED)]
        self.end(name, number, data.draw(st.sampled_from(endings)))

    @precondition(lambda self: any(not a.over for a in self.asked.values()))
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from([n for n, a in self.asked.items() if not a.over]))
        self.asked[name].over = True
        self.asked[name].answers += 1
        self.hand(ClientDisconnected(name))

    @rule(data=st.data(), state=st.sampled_from(list(EndpointState)))
    def news(self, data: st.DataObject, state: EndpointState) -> None:
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
        self.hand(MembershipUpdate(UpdateKind.DELTA, (member,)))

    @rule()
    def fleet_drains(self) -> None:
        drained = tuple(replace(m, state=EndpointState.DRAINING) for m in make_members(6))
        for member in drained:
            self.members[member.id] = member
            self.drained_at.setdefault(member.id, self.now)
        self.hand(MembershipUpdate(UpdateKind.FULL, drained))

    @rule()
    def discovery_fails(self) -> None:
        self.hand(MembershipUpdate(UpdateKind.FAILED))

    @rule(step=st.sampled_from([0.005, 0.05, 0.4, 1.1]))
    def time_passes(self, step: float) -> None:
        until = self.now + step
        while True:
            due = [(at, 0, token, "") for at, token in self.timers if at <= until]
            for name, number in self.out():
                due.append((self.asked[name].sent[number].limit, 1, number, name))
            due = [item for item in due if item[0] <= until]
            if not due:
                break
            at, kind, number, name = min(due)
            self.now = max(self.now, at)
            if kind == 0:
                self.timers.remove((at, number))
                self.hand(TimerFired(number))
            else:
                self.end(name, number, AttemptOutcome.TIMED_OUT)
        self.now = until

    @invariant()
    def all_answered(self) -> None:
        for name, asked in getattr(self, "asked", {}).items():
            assert asked.answers <= 1, name
            assert asked.over or self.now <= asked.deadline + SLACK, f"{name} was not answered"


Rules.TestCase.settings = settings(
    max_examples=120,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestRules = Rules.TestCase


def test_cold_upstream_keeps_its_budget() -> None:
    """Rule 4: a thousand sidecars under overload send a cold upstream less than would tip it.

    Each picks alone; the sum over them is held against the rule's multiple of what the upstream is
    sure to do, with the fleet offered half as much again as it can serve."""
    members = make_members(12)
    now, age = 100.0, 1.0
    cold = replace(members[0], started=now - age)
    safety = Safety(warm_up_initial_ratio=0.3, warm_up_time=8.5, overload_multiple=3.0)
    got, total = 0, 0
    for me in range(300):
        balancer = Balancer(make_settings(instance_index=me, sidecars=300, safety=safety), me)
        balancer.handle(now, MembershipUpdate(UpdateKind.CACHED, (cold, *members[1:])))
        for number in range(12):
            name = f"{me}-{number}"
            actions = balancer.handle(now, RequestArrived(name, "view", 1.5))
            for attempt in range(MOST):
                found = [a for a in actions if isinstance(a, SendAttempt)]
                if not found:
                    break
                send = found[0]
                total += 1
                got += send.upstream == cold.id
                full = send.upstream != cold.id and number % 2 == 0
                outcome = AttemptOutcome.REJECTED if full else AttemptOutcome.OK
                load = LoadReport(rate=30.0, utilisation=1.0)
                event = AttemptEnded(name, send.upstream, attempt, outcome, 0.05, not full, load)
                actions = balancer.handle(now, event)
    ramp = 0.3 + 0.7 * age / 8.5
    fair = total / 12 / 1.5  # what one warm upstream could do of an offer half as large again
    assert got <= 3.0 * ramp * fair
