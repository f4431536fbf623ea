"""Hard cases of a large fleet, on real facades with the clock passed in: every job one answer in its time."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace

from indigokeel.decision import interface as api
from indigokeel.facade import Claim, Facade, Job, Orders, Outcome, Verdict
from indigokeel.machine_list import Machine, MachineList
from tests.conftest import KEYED, UNSAFE, make_settings
from tests.test_fleet import SAFETY, machine

BUDGET = 0.7


class One:
    """One sidecar and a world in which some nodes refuse every connection; all others serve in 40 ms."""

    def __init__(self, machines: list[Machine]) -> None:
        self.now, self.number = 1000.0, 0
        settings = make_settings(
            classes=(replace(KEYED, aim=0.36, deadline=1.4), replace(UNSAFE, aim=0.36, deadline=0.7)),
            safety=SAFETY, sidecars=40, me=7, ask_membership=True, warm_keys=True,
        )  # fmt: skip
        self.facade = Facade(settings, 3, 0.0)
        self.dead: set[str] = set()
        self.out: list[tuple[float, Claim]] = []
        self.taken: dict[str, float] = {}
        self.answers: dict[str, list[tuple[float, Verdict]]] = {}
        self.sent: list[tuple[float, str]] = []
        self.told(machines, whole=True)

    def told(self, machines: list[Machine], whole: bool = False) -> None:
        self.obey(self.facade.listed(self.now, MachineList(1, whole, tuple(machines)), cached=whole))

    def obey(self, orders: Orders) -> None:
        if orders.watch:  # discovery answers nobody
            self.out.append((self.now + 0.01, Claim("", 0, "", 0.0)))
        for claim in orders.claims:
            if self.facade.begin(self.now, claim):
                self.sent.append((self.now, claim.node))
            self.out.append((self.now + (0.002 if claim.node in self.dead else 0.04), claim))
        for answer in orders.answers:
            self.answers.setdefault(answer.job, []).append((self.now, answer.verdict))

    def run(self, until: float) -> None:
        while True:
            claim_at, claim = min(self.out, key=lambda item: item[0], default=(math.inf, None))
            when = min(claim_at, self.facade.due())
            if when > until:
                self.now = until
                return
            self.now = max(when, self.now)
            if when < claim_at or claim is None:
                self.obey(self.facade.tick(self.now))
                continue
            self.out.remove((claim_at, claim))
            if not claim.node:
                self.obey(self.facade.list_failed(self.now))
                continue
            outcome = Outcome.NO_CONNECTION if claim.node in self.dead else Outcome.SERVED
            self.obey(self.facade.report(self.now, claim, outcome, {"rate": 10.0, "utilisation": 0.4}))

    def jobs(self, count: int, every: float = 0.04) -> list[str]:
        names = []
        for _ in range(count):
            self.number += 1
            name = f"j{self.number}"
            self.taken[name] = self.now
            names.append(name)
            kind = ("order", "pay")[self.number % 2]
            self.obey(self.facade.pick(self.now, Job(name, kind, BUDGET, key=f"k{self.number % 30}")))
            self.run(self.now + every)
        return names

    def check(self) -> None:
        self.run(self.now + 2.0)
        for name, taken in self.taken.items():
            answers = self.answers[name]
            assert len(answers) == 1 and answers[0][0] <= taken + BUDGET, name
        assert self.facade.owed == 0 and self.facade.faults == 0

    def served(self, names: list[str]) -> float:
        return sum(self.answers[name][0][1] is Verdict.SERVED for name in names) / len(names)


def test_restart_with_an_old_list_most_of_it_gone_and_discovery_answering_nobody() -> None:
    machines = [machine(number) for number in range(60)]
    one = One(machines)
    one.dead = {m.name for m in machines[:42]}
    first, later = one.jobs(200), one.jobs(300)
    one.check()
    # Each of the gone is met; a claim that reached nobody is made again and takes nothing from the budget.
    assert one.served(first) > 0.9 and one.served(later) > 0.95


def test_half_of_the_list_replaced_between_two_picks_with_jobs_in_flight() -> None:
    machines = [machine(number) for number in range(60)]
    one = One(machines)
    one.jobs(60, every=0.0)  # all in flight
    gone = machines[:30]
    new = [machine(number, since=one.now, generation=1) for number in range(30)]  # at the same addresses
    one.told([*new, *(replace(m, state=api.State.GONE) for m in gone)])
    told = one.now
    names = one.jobs(200, every=0.02)
    one.check()
    assert one.served(names) == 1.0
    used = Counter(node for at, node in one.sent if at > told)
    assert not {m.name for m in gone} & set(used)
    assert {m.name for m in new} & set(used)  # an address taken over by a new id is a new node


def test_only_warm_nodes_draining_leaves_the_cold_ones_to_serve() -> None:
    warm = [machine(number) for number in range(12)]
    cold = [machine(number, since=999.0) for number in range(12, 60)]
    one = One([*warm, *cold])
    one.jobs(50)
    one.told([replace(m, state=api.State.DRAINING) for m in warm])
    told = one.now
    names = one.jobs(100)
    one.check()
    assert one.served(names) == 1.0
    assert not {m.name for m in warm} & {node for at, node in one.sent if at > told}
