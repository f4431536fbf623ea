"""The facade's books: one ending a claim, one answer a job, what is due when."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from indigokeel.decision import interface as api
from indigokeel.facade import ANSWER_MARGIN, Facade
from indigokeel.machine_list import Machine, MachineList
from indigokeel.orders import Answer, Claim, Job, Orders, Outcome, Verdict
from tests.conftest import make_settings

NODES = tuple(Machine(f"s-{i}", "127.0.0.1", 30 + i, "z0", "k", 0) for i in range(3))


def start(**changes: object) -> Facade:
    classes = tuple(replace(cls, late_worth=0.5) for cls in make_settings().classes)
    facade = Facade(make_settings(ask_membership=True, classes=classes, **changes), 1, 0.0)
    assert facade.listed(100.0, MachineList(1, True, NODES), cached=True).watch
    return facade


def take(facade: Facade, now: float = 100.0, **changes: object) -> tuple[Claim, Orders]:
    job = replace(Job("j", "view", 1.0), **changes)  # type: ignore[arg-type]
    orders = facade.pick(now, job)
    return orders.claims[0], orders


def test_first_served_claim_answers_and_a_late_one_is_dropped() -> None:
    facade = start()
    claim, _ = take(facade)
    orders = facade.report(100.1, claim, Outcome.SERVED)
    assert orders.answers == [Answer("j", Verdict.SERVED, claim=0)]
    assert facade.owed == 0 and not facade.knows("j")
    assert facade.report(100.2, claim, Outcome.SERVED) == Orders()


@pytest.mark.parametrize(
    ("budget", "margin"), [(1.5, 0.05), (0.52, 0.02), (0.5, 0.01), (0.1, 0.01), (0.004, 0.002)]
)
def test_last_word_leaves_room_for_a_burst_unless_that_costs_worth(budget: float, margin: float) -> None:
    """Lost on an overload day: a job whose answer was delayed by the end of all claims on a dead node."""
    claim, _ = take(start(), budget=budget)
    assert claim.until == pytest.approx(100.0 + budget - margin)


def test_last_word_comes_before_the_deadline_though_no_claim_returned() -> None:
    facade = start(limits=api.Limits(max_attempts=1))
    claim, _ = take(facade)
    assert claim.until == pytest.approx(101.0 - ANSWER_MARGIN) and facade.begin(100.0, claim)
    given_up, answers = [], []
    while facade.due() < math.inf:
        orders = facade.tick(facade.due())
        given_up += orders.given_up
        answers += [(a.verdict, facade.owed) for a in orders.answers]
    # A safe class is refused: harmless, whatever has run.
    assert given_up == [("j", 0)] and answers == [(Verdict.REFUSED, 0)]


@pytest.mark.parametrize(
    ("name", "outcome", "begun", "again"),
    [
        ("pay", Outcome.BROKEN, True, False),
        ("pay", Outcome.ERROR, True, False),
        ("pay", Outcome.NO_CONNECTION, False, True),
        ("pay", Outcome.TURNED_AWAY, True, True),
        ("order", Outcome.BROKEN, True, True),
        ("view", Outcome.BROKEN, True, True),
    ],
)
def test_what_may_have_run_is_sent_again_only_where_the_class_allows(
    name: str, outcome: Outcome, begun: bool, again: bool
) -> None:
    facade = start()
    claim, _ = take(facade, job_class=name)
    assert not begun or facade.begin(100.0, claim)
    orders = facade.report(100.05, claim, outcome)
    assert [c.number for c in orders.claims] == ([1] if again else [])
    assert [a.verdict for a in orders.answers] == ([] if again else [Verdict.FAILED])


def test_no_claim_begins_on_a_node_that_has_begun_to_drain() -> None:
    """The connection came up after the news did."""
    facade = start()
    claim, _ = take(facade)
    node = next(node for node in NODES if node.name == claim.node)
    orders = facade.listed(100.1, MachineList(2, False, (replace(node, state=api.State.DRAINING),)))
    assert orders.close_idle == [node.name]
    assert facade.address(node.name) is None and not facade.begin(100.1, claim)
    assert facade.report(100.1, claim, Outcome.MOOT).claims[0].node != node.name


def test_no_claim_begins_for_a_job_that_is_over() -> None:
    facade = start()
    claim, _ = take(facade)
    assert facade.left(100.1, "j").given_up == [("j", 0)]
    assert not facade.begin(100.1, claim) and facade.owed == 0 and not facade.knows("j")
    assert facade.report(100.2, claim, Outcome.MOOT) == Orders()


@pytest.mark.parametrize(("after", "allowed"), [(0.9, True), (1.0, False)])
def test_keyed_repeat_does_not_begin_after_its_window(after: float, allowed: bool) -> None:
    """The repeat was decided in time, but its connection came up slowly."""
    facade = start()
    claim, _ = take(facade, job_class="order", budget=1.5)
    facade.begin(100.0, claim)
    (repeat,) = facade.report(100.05, claim, Outcome.BROKEN).claims
    assert facade.begin(100.0 + after, repeat) is allowed


def test_max_open_is_refused_at_once_and_with_a_wait() -> None:
    facade = start(limits=api.Limits(max_open=1, max_retry_after=1.2))
    take(facade)
    orders = facade.pick(100.0, Job("k", "view", 1.0))
    assert orders.answers == [Answer("k", Verdict.REFUSED, 1.2)] and not facade.knows("k")


def test_fault_in_the_module_costs_the_job_only(monkeypatch: pytest.MonkeyPatch) -> None:
    facade = start()

    def fail(now: float, event: object) -> list[api.Action]:
        raise RuntimeError("odd")

    monkeypatch.setattr(facade._balancer, "handle", fail)
    orders = facade.pick(100.0, Job("j", "view", 1.0))
    assert orders.answers == [Answer("j", Verdict.FAILED)] and "odd" in orders.notes[0]
    assert facade.faults == 1 and facade.owed == 0


def test_without_nodes_a_job_is_answered_in_time() -> None:
    facade = Facade(make_settings(), 1, 0.0)
    assert not facade.ready()
    assert facade.pick(100.0, Job("j", "view", 1.0)).claims == []
    answers = []
    while facade.due() < math.inf:
        assert facade.due() < 101.0
        answers += facade.tick(facade.due()).answers
    assert len(answers) == 1


@pytest.mark.parametrize(("since", "started"), [(0.0, 0.0), (1000.0, 1050.0)])
def test_start_times_are_mapped_onto_the_one_clock(since: float, started: float) -> None:
    """As discovery lists one that has just started; what else may be listed stands in test_clocks.py."""
    facade = Facade(make_settings(), 1, 50.0)
    facade.listed(1049.0, MachineList(1, True, NODES))
    facade.listed(1050.0, MachineList(2, False, (replace(NODES[0], since=since),)))
    assert facade._balancer.known()[1][NODES[0].name].member.started == started


def test_withdrawn_claim_gets_one_ending(monkeypatch: pytest.MonkeyPatch) -> None:
    facade = start()
    claim, _ = take(facade)
    seen: list[object] = []

    def handle(now: float, event: object) -> list[api.Action]:
        seen.append(event)
        return [api.CancelAttempt("j", 0)] if isinstance(event, api.TimerFired) else []

    monkeypatch.setattr(facade._balancer, "handle", handle)
    while facade.due() < 100.9:
        facade.tick(facade.due())
    facade.report(100.9, claim, Outcome.SERVED)
    endings = [event.ending for event in seen if isinstance(event, api.AttemptEnded)]
    assert endings == [api.Ending.CANCELLED]


def test_agenda_does_not_grow_with_the_time_that_submitters_name() -> None:
    facade = start()
    for number in range(2000):
        now = 100.0 + number * 0.01
        claim, _ = take(facade, now, id=f"j{number}", budget=3600.0)
        facade.report(now, claim, Outcome.SERVED)
        facade.tick(now)
    assert len(facade._agenda) < 800 and 0 <= facade._dead <= len(facade._agenda)
    take(facade, 120.0, id="last", budget=1.0)
    answers = []
    while facade.due() < 122.0:
        answers += facade.tick(facade.due()).answers
    assert [answer.job for answer in answers] == ["last"]


def test_news_for_many_jobs_reach_the_module_whole() -> None:
    """Found by reading: of the events that one call sets off, those after the first 1,000 were dropped. Here
    1,200 long jobs wait for a node, and for each the module is told that its answer has its own time."""
    facade, count = start(limits=api.Limits(second_copies=True)), 1200
    facade.listed(100.0, MachineList(2, True, ()))
    for number in range(count):
        facade.pick(100.0, Job(f"j{number}", "view", 60.0, long=True))
    orders = facade.listed(100.1, MachineList(3, True, NODES))
    assert len(orders.claims) == count
    facade.tick(110.0)  # long after any answer would be overdue
    upstreams = facade._balancer.known()[1].values()
    assert sum(upstream.open for upstream in upstreams) == count
    assert sum(upstream.overdue for upstream in upstreams) == 0


@pytest.mark.parametrize(("waited", "sheds"), [(0.0, True), (0.2, False)])
def test_request_that_lost_its_time_behind_others_is_no_lateness_of_an_upstream(
    waited: float, sheds: bool
) -> None:
    """Requests that come to their turn with too little time left are given up; two idle upstreams were taken
    for overloaded, and the requests of everyone were shed."""
    facade, notes = start(), []
    for number in range(60):
        now = 100.0 + 0.1 * number
        orders = facade.pick(now, Job(f"j{number}", "view", 0.06, waited=waited))
        assert all(facade.begin(now, claim) for claim in orders.claims)
        notes += orders.notes
        while facade.due() < now + 0.09:
            notes += facade.tick(facade.due()).notes
        assert facade.owed == 0
    assert ("shedding load" in notes) == sheds


def test_fault_in_one_entry_of_the_agenda_costs_that_entry_alone() -> None:
    facade = start(limits=api.Limits(max_attempts=1))
    take(facade, id="before", budget=1.0)
    take(facade, id="after", budget=1.2)

    def fail(now: float, orders: Orders) -> None:
        raise RuntimeError("unforeseen")

    facade._enter(101.0, fail)
    orders = facade.tick(102.0)
    assert [answer.job for answer in orders.answers] == ["before", "after"]
    assert facade.faults == 1 and any("unforeseen" in note for note in orders.notes)


def test_attempts_that_never_began_do_not_count_but_for_a_bound() -> None:
    """This machine had no port for a moment: one attempt was allowed, and the request was refused at once."""
    facade = start(limits=api.Limits(max_attempts=1))
    facade.listed(100.0, MachineList(1, True, tuple(replace(NODES[0], name=f"s-{i}") for i in range(9))))
    claim, _ = take(facade)
    attempts = 1
    while again := facade.report(100.0, claim, Outcome.MOOT).claims:
        claim, attempts = again[0], attempts + 1
    assert attempts == 6 and facade.owed == 0
    claim, _ = take(facade, id="k")
    (claim,) = facade.report(100.0, claim, Outcome.MOOT).claims
    assert facade.begin(100.0, claim)
    assert not facade.report(100.1, claim, Outcome.TURNED_AWAY).claims  # the one that is allowed
