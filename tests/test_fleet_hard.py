"""Hard cases of a large fleet, on a real coordinator, the clock passed in: every request one answer in its
time."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from indigokeel.balancing.events import EndpointState
from indigokeel.endpoints.endpoint_list import Endpoint, EndpointList
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import FinalStatus, Request
from tests.conftest import make_settings
from tests.peers import SETTINGS, echo, entry, parse_endpoint_list, request, running, until
from tests.test_endings import HEALTH
from tests.test_fleet import Fleet, endpoint

BUDGET = 0.7


class One(Fleet):
    """One sidecar, the requests it was given, and what became of them."""

    def __init__(self, endpoints: list[Endpoint]) -> None:
        super().__init__(sidecars=1, endpoints=endpoints)
        self.informed.add(0)  # so that all sends are kept
        self.taken: dict[str, float] = {}

    def requests(self, count: int, every: float = 0.04) -> list[str]:
        names = []
        for _ in range(count):
            number = len(self.taken) + 1
            names.append(f"j{number}")
            self.taken[names[-1]] = self.now
            request = Request(names[-1], ("order", "pay")[number % 2], BUDGET, key=f"k{number % 30}")
            self.obey(0, self.coordinators[0].pick(self.now, request))
            self.run(self.now + every)
        return names

    def change(self, endpoints: list[Endpoint]) -> None:
        """Tell of changes; ``sends`` begins anew with what follows them."""
        self.tell(0, EndpointList(2, False, tuple(endpoints)))
        self.sends.clear()

    def check(self) -> None:
        self.run(self.now + 2.0)
        for name, taken in self.taken.items():
            answers = self.answers[name]
            assert len(answers) == 1 and answers[0][0] <= taken + BUDGET, name
        assert self.coordinators[0].unanswered == 0 and self.coordinators[0].faults == 0

    def served(self, names: list[str]) -> float:
        return sum(self.answers[name][0][1] is FinalStatus.SERVED for name in names) / len(names)


def test_restart_with_an_old_list_most_of_it_gone_and_discovery_answering_nobody() -> None:
    endpoints = [endpoint(number) for number in range(60)]
    one = One(endpoints)
    one.dead = {m.name for m in endpoints[:42]}
    first, later = one.requests(200), one.requests(300)
    one.check()
    # Each of the gone is met; an attempt that reached nobody is made again and takes nothing from the budget.
    assert one.served(first) > 0.9 and one.served(later) > 0.95


def test_half_of_the_list_replaced_between_two_picks_with_requests_in_flight() -> None:
    endpoints = [endpoint(number) for number in range(60)]
    one = One(endpoints)
    one.requests(60, every=0.0)  # all in flight
    gone = endpoints[:30]
    new = [endpoint(number, since=one.now, generation=1) for number in range(30)]  # at the same addresses
    one.change([*new, *(replace(m, state=EndpointState.GONE) for m in gone)])
    names = one.requests(200, every=0.02)
    one.check()
    assert one.served(names) == 1.0
    assert not {m.name for m in gone} & set(one.sends)
    assert {m.name for m in new} & set(one.sends)  # an address taken over by a new id is a new upstream


def test_only_warm_nodes_draining_leaves_the_cold_ones_to_serve() -> None:
    warm = [endpoint(number) for number in range(12)]
    cold = [endpoint(number, since=999.0) for number in range(12, 60)]
    one = One([*warm, *cold])
    one.requests(50)
    one.change([replace(m, state=EndpointState.DRAINING) for m in warm])
    names = one.requests(100)
    one.check()
    assert one.served(names) == 1.0
    assert not {m.name for m in warm} & set(one.sends)


@pytest.mark.parametrize("sidecars", [1, 1024])
def test_list_of_many_members_comes_whole_and_as_changes(tmp_path: Path, sidecars: int) -> None:
    """1,500 members and 1,024 sidecars, on real sockets: all listed, all changed, all but one gone."""
    settings = {**SETTINGS, "balancers": sidecars, "me": sidecars - 1}
    with running(tmp_path, echo, settings=settings) as (program, (upstream,), discovery):

        def many(state: str) -> list[dict[str, Any]]:
            return [entry(f"s-{number}", upstream.port, state) for number in range(1500)]

        until(lambda: bool(discovery.watches))
        for index, (entries, whole, code) in enumerate(
            [
                (many("Ready"), True, 200),
                (many("Terminating"), False, 503),
                (many("Ready")[700:], False, 200),
                (many("Gone"), False, 503),
                (many("Ready")[1499:], False, 200),
            ],
            start=2,
        ):
            discovery.push(json.dumps(parse_endpoint_list(*entries, index=index, whole=whole)).encode())
            until(lambda: program.counters().get("endpoint_lists", 0) == index - 1)  # noqa: B023
            assert program.ask(HEALTH)[0] == code
            if code == 200:
                assert program.ask(request("pay", b"x"))[1].body == b"x"
        counters = program.counters()
        assert (
            counters["requests_unanswered"],
            counters["balancer_faults"],
            counters.get("discovery_failures", 0),
        ) == (
            0,
            0,
            0,
        )


def test_one_change_of_a_large_list_costs_no_layout_of_the_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    coordinator = RequestCoordinator(make_settings(), 1, 0.0)
    listed = tuple(endpoint(number) for number in range(3200))
    coordinator.update_endpoints(1000.0, EndpointList(1, True, listed))
    laid: list[str] = []
    lay = coordinator.cordons.apply

    def counted(listed: Endpoint, now: float) -> Endpoint:
        laid.append(listed.name)
        return lay(listed, now)

    monkeypatch.setattr(coordinator.cordons, "apply", counted)
    for number in range(50):
        gone = replace(listed[number], state=EndpointState.DRAINING)
        coordinator.update_endpoints(1000.1, EndpointList(2 + number, False, (gone,)))
        (attempt,) = coordinator.pick(1000.1, Request(f"j{number}", "view", 1.0)).attempts
        assert attempt.upstream not in laid and coordinator.address(gone.name) is None
    assert laid == [m.name for m in listed[:50]]
    assert coordinator._balancer._registry._ordered is None  # nor was the order laid out
