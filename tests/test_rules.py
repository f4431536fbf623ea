"""The four rules under random legal events, judged by a reference that shares no code with the module."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from indigokeel.decision import interface as api
from indigokeel.decision.balancer import Balancer
from tests.conftest import KEYED, SAFE, UNSAFE, make_members, make_settings

SLACK, GRACE, MOST = 0.02, 1.0, 5
NEVER_RAN = {api.Ending.REFUSED, api.Ending.NO_CONNECTION, api.Ending.NEVER_SENT}


@dataclass
class Sent:
    upstream: api.Member
    at: float
    limit: float
    ending: api.Ending | None = None

    @property
    def harmless(self) -> bool:
        return self.ending in NEVER_RAN


@dataclass
class Asked:
    cls: api.ClassSettings
    deadline: float
    sent: list[Sent] = field(default_factory=list)
    answers: int = 0
    over: bool = False


class Rules(RuleBasedStateMachine):
    """Plays one sidecar's clients, upstreams, discovery and clock."""

    group = api.Group.CELL
    copies = True

    @initialize(seed=st.integers(0, 99), copies=st.booleans(), group=st.sampled_from(list(api.Group)))
    def start(self, seed: int, copies: bool, group: api.Group) -> None:
        self.keyed = replace(KEYED, group=group)
        self.copies = copies
        limits = api.Limits(max_attempts=MOST, second_copies=copies, probes=True)
        self.now = 500.0
        self.members = {m.id: m for m in make_members(6)}
        self.told_off: dict[str, float] = {}
        self.asked: dict[str, Asked] = {}
        self.timers: list[tuple[float, int]] = []
        self.balancer = Balancer(
            make_settings(
                classes=(SAFE, self.keyed, UNSAFE),
                limits=limits,
                ask_membership=True,
                reports=api.Reports.PROBES,
            ),
            seed,
        )
        self.tell(api.MembershipNews(api.News.CACHED, tuple(self.members.values())))

    def tell(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.judge(action)

    def judge(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.judge_send(action)
        elif isinstance(action, api.Refuse | api.Fail):
            asked = self.asked[action.id]
            assert not asked.over, "a second final answer"
            assert self.now <= asked.deadline + SLACK, "a late final answer"
            if isinstance(action, api.Refuse):
                doubt = any(not sent.harmless for sent in asked.sent)
                loose = asked.cls.effect is api.Effect.SAFE or (
                    asked.cls.effect is api.Effect.KEYED and asked.cls.group is api.Group.ALL
                )
                assert loose or not doubt, "a refusal of what may have run"
            asked.over = True
            asked.answers += 1
        elif isinstance(action, api.SetTimer):
            self.timers.append((self.now + action.delay, action.token))

    def judge_send(self, action: api.Send) -> None:
        asked, member = self.asked[action.id], self.members.get(action.upstream)
        assert not asked.over, "sent after the end"
        assert member is not None or action.upstream in self.told_off, "an upstream no list named"
        off = self.told_off.get(action.upstream)
        assert off is None or self.now <= off + GRACE, "sent to an upstream told off"
        assert len(asked.sent) < MOST, "too many attempts"
        assert self.copies or all(sent.ending is not None for sent in asked.sent), "two at once"
        doubtful = [sent for sent in asked.sent if not sent.harmless]
        assert member is not None
        if doubtful and asked.cls.effect is api.Effect.UNSAFE:
            raise AssertionError("an unsafe request sent twice")
        if doubtful and asked.cls.effect is api.Effect.KEYED:
            first = doubtful[0]
            assert self.now <= first.at + asked.cls.repeat_window, "a repeat after the window"
            for one in doubtful:
                same = {
                    api.Group.ALL: True,
                    api.Group.ZONE: one.upstream.zone == member.zone,
                    api.Group.CELL: one.upstream.cell == member.cell,
                }[asked.cls.group]
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
        self.tell(api.RequestArrived(number, name, budget, key="k1"))

    def out(self) -> list[tuple[str, int]]:
        return [(n, i) for n, a in self.asked.items() for i, s in enumerate(a.sent) if s.ending is None]

    def end(self, name: str, number: int, ending: api.Ending) -> None:
        asked = self.asked[name]
        sent = asked.sent[number]
        sent.ending = ending
        if ending is api.Ending.OK and not asked.over:
            asked.over, asked.answers = True, asked.answers + 1
        load = api.Load(rate=20.0, utilisation=0.5) if ending is api.Ending.OK else None
        elapsed = self.now - sent.at
        self.tell(api.AttemptEnded(name, sent.upstream.id, number, ending, elapsed, asked.over, load))

    @precondition(lambda self: bool(self.asked) and bool(self.out()))
    @rule(data=st.data())
    def attempt_ends(self, data: st.DataObject) -> None:
        name, number = data.draw(st.sampled_from(self.out()))
        endings = [e for e in api.Ending if e not in (api.Ending.TIMEOUT, api.Ending.CANCELLED)]
        self.end(name, number, data.draw(st.sampled_from(endings)))

    @precondition(lambda self: any(not a.over for a in self.asked.values()))
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from([n for n, a in self.asked.items() if not a.over]))
        self.asked[name].over = True
        self.asked[name].answers += 1
        self.tell(api.ClientLeft(name))

    @rule(data=st.data(), state=st.sampled_from(list(api.State)))
    def news(self, data: st.DataObject, state: api.State) -> None:
        name = data.draw(st.sampled_from([m.id for m in make_members(6)]))
        member = next(m for m in make_members(6) if m.id == name)
        if state is api.State.SERVING:
            started = data.draw(st.sampled_from([0.0, self.now, self.now - 3.0]))
            member = replace(member, started=started)
            self.told_off.pop(name, None)
        else:
            member = replace(member, state=state)
            self.told_off.setdefault(name, self.now)
        self.members[name] = member
        self.tell(api.MembershipNews(api.News.DELTA, (member,)))

    @rule()
    def fleet_drains(self) -> None:
        drained = tuple(replace(m, state=api.State.DRAINING) for m in make_members(6))
        for member in drained:
            self.members[member.id] = member
            self.told_off.setdefault(member.id, self.now)
        self.tell(api.MembershipNews(api.News.FULL, drained))

    @rule()
    def discovery_fails(self) -> None:
        self.tell(api.MembershipNews(api.News.FAILED))

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
                self.tell(api.TimerFired(number))
            else:
                self.end(name, number, api.Ending.TIMEOUT)
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
    safety = api.Safety(cold_from=0.3, warm_within=8.5, tip_multiple=3.0)
    got, total = 0, 0
    for me in range(300):
        balancer = Balancer(make_settings(me=me, sidecars=300, safety=safety), me)
        balancer.handle(now, api.MembershipNews(api.News.CACHED, (cold, *members[1:])))
        for number in range(12):
            name = f"{me}-{number}"
            actions = balancer.handle(now, api.RequestArrived(name, "view", 1.5))
            for attempt in range(MOST):
                found = [a for a in actions if isinstance(a, api.Send)]
                if not found:
                    break
                send = found[0]
                total += 1
                got += send.upstream == cold.id
                full = send.upstream != cold.id and number % 2 == 0
                ending = api.Ending.REFUSED if full else api.Ending.OK
                load = api.Load(rate=30.0, utilisation=1.0)
                event = api.AttemptEnded(name, send.upstream, attempt, ending, 0.05, not full, load)
                actions = balancer.handle(now, event)
    ramp = 0.3 + 0.7 * age / 8.5
    fair = total / 12 / 1.5  # what one warm upstream could do of an offer half as large again
    assert got <= 3.0 * ramp * fair
