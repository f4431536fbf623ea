"""Hard cases of a large fleet, with a real coordinator on a simulated clock: every request gets exactly one
answer within its timeout."""

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
from tests.peers import SETTINGS, echo, entry, make_endpoint_list, request, running, until
from tests.test_endings import HEALTH_REQUEST
from tests.test_fleet import Fleet, endpoint

TIMEOUT_S = 0.7


class SingleSidecar(Fleet):
    """A fleet of one sidecar, with the requests that it was given and their answers."""

    def __init__(self, endpoints: list[Endpoint]) -> None:
        super().__init__(sidecars=1, endpoints=endpoints)
        self.informed.add(0)  # so that send_times records every attempt
        self.submitted_at: dict[str, float] = {}

    def send_requests(self, count: int, every: float = 0.04) -> list[str]:
        names = []
        for _ in range(count):
            number = len(self.submitted_at) + 1
            names.append(f"j{number}")
            self.submitted_at[names[-1]] = self.now
            request = Request(names[-1], ("order", "pay")[number % 2], TIMEOUT_S, key=f"k{number % 30}")
            self.apply_effects(0, self.coordinators[0].pick(self.now, request))
            self.run(self.now + every)
        return names

    def deliver_changes(self, endpoints: list[Endpoint]) -> None:
        """Deliver changed endpoints, and clear ``send_times`` so that it holds only later attempts."""
        self.deliver(0, EndpointList(2, False, tuple(endpoints)))
        self.send_times.clear()

    def check_answers(self) -> None:
        self.run(self.now + 2.0)
        for name, submitted in self.submitted_at.items():
            answers = self.answers[name]
            assert len(answers) == 1 and answers[0][0] <= submitted + TIMEOUT_S, name
        assert self.coordinators[0].unanswered == 0 and self.coordinators[0].faults == 0

    def served_ratio(self, names: list[str]) -> float:
        return sum(self.answers[name][0][1] is FinalStatus.SERVED for name in names) / len(names)


def test_restart_with_an_outdated_list_while_discovery_fails_every_call() -> None:
    endpoints = [endpoint(number) for number in range(60)]
    fleet = SingleSidecar(endpoints)
    fleet.refusing = {m.name for m in endpoints[:42]}
    first, later = fleet.send_requests(200), fleet.send_requests(300)
    fleet.check_answers()
    # Each gone upstream is tried; an attempt that reached none is retried and takes nothing from the budget.
    assert fleet.served_ratio(first) > 0.9 and fleet.served_ratio(later) > 0.95


def test_half_of_the_list_is_replaced_while_requests_are_in_flight() -> None:
    endpoints = [endpoint(number) for number in range(60)]
    fleet = SingleSidecar(endpoints)
    fleet.send_requests(60, every=0.0)  # all in flight
    gone = endpoints[:30]
    new = [endpoint(number, since=fleet.now, generation=1) for number in range(30)]  # at the same addresses
    fleet.deliver_changes([*new, *(replace(m, state=EndpointState.GONE) for m in gone)])
    names = fleet.send_requests(200, every=0.02)
    fleet.check_answers()
    assert fleet.served_ratio(names) == 1.0
    assert not {m.name for m in gone} & set(fleet.send_times)
    # A new id at a known address is a new upstream.
    assert {m.name for m in new} & set(fleet.send_times)


def test_cold_upstreams_serve_while_all_warm_ones_drain() -> None:
    warm = [endpoint(number) for number in range(12)]
    cold = [endpoint(number, since=999.0) for number in range(12, 60)]
    fleet = SingleSidecar([*warm, *cold])
    fleet.send_requests(50)
    fleet.deliver_changes([replace(m, state=EndpointState.DRAINING) for m in warm])
    names = fleet.send_requests(100)
    fleet.check_answers()
    assert fleet.served_ratio(names) == 1.0
    assert not {m.name for m in warm} & set(fleet.send_times)


@pytest.mark.parametrize("sidecars", [1, 1024])
def test_long_list_is_taken_over_whole_and_as_changes(tmp_path: Path, sidecars: int) -> None:
    """1,500 members and up to 1,024 sidecars, on real sockets: all are listed, all drain, all but one go."""
    settings = {**SETTINGS, "balancers": sidecars, "me": sidecars - 1}
    with running(tmp_path, echo, settings=settings) as (program, (upstream,), discovery):

        def all_members(state: str) -> list[dict[str, Any]]:
            return [entry(f"s-{number}", upstream.port, state) for number in range(1500)]

        until(lambda: bool(discovery.watches))
        for index, (entries, whole, code) in enumerate(
            [
                (all_members("Ready"), True, 200),
                (all_members("Terminating"), False, 503),
                (all_members("Ready")[700:], False, 200),
                (all_members("Gone"), False, 503),
                (all_members("Ready")[1499:], False, 200),
            ],
            start=2,
        ):
            discovery.push(json.dumps(make_endpoint_list(*entries, index=index, snapshot=whole)).encode())
            until(lambda: program.counters().get("endpoint_lists", 0) == index - 1)  # noqa: B023
            assert program.exchange(HEALTH_REQUEST)[0] == code
            if code == 200:
                assert program.exchange(request("pay", b"x"))[1].body == b"x"
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


def test_one_change_of_a_long_list_does_not_rebuild_the_whole_list(monkeypatch: pytest.MonkeyPatch) -> None:
    coordinator = RequestCoordinator(make_settings(), 1, 0.0)
    listed = tuple(endpoint(number) for number in range(3200))
    coordinator.update_endpoints(1000.0, EndpointList(1, True, listed))
    applied: list[str] = []
    original_apply = coordinator.cordons.apply

    def recorded_apply(listed: Endpoint, now: float) -> Endpoint:
        applied.append(listed.name)
        return original_apply(listed, now)

    monkeypatch.setattr(coordinator.cordons, "apply", recorded_apply)
    for number in range(50):
        gone = replace(listed[number], state=EndpointState.DRAINING)
        coordinator.update_endpoints(1000.1, EndpointList(2 + number, False, (gone,)))
        (attempt,) = coordinator.pick(1000.1, Request(f"j{number}", "view", 1.0)).attempts
        assert attempt.upstream not in applied and coordinator.address(gone.name) is None
    assert applied == [m.name for m in listed[:50]]
    assert coordinator._balancer._registry._ordered is None  # the order was not rebuilt either
