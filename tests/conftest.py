"""Helpers shared by the tests: settings, members, and a driver of a balancer."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from indigokeel.balancing.actions import Action, SendAttempt
from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import (
    AttemptEnded,
    AttemptOutcome,
    LoadReport,
    Member,
    MembershipUpdate,
    RequestArrived,
    UpdateKind,
)
from indigokeel.balancing.settings import ClassSettings, DeduplicationScope, Idempotency, Limits, Settings

SAFE = ClassSettings(
    "view", latency_objective=0.5, deadline=1.5, idempotency=Idempotency.SAFE, priority_weight=1.0
)
KEYED = ClassSettings(
    "order",
    latency_objective=0.5,
    deadline=1.5,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.REPLICA_GROUP,
    idempotency_window=1.0,
    priority_weight=5.0,
)
UNSAFE = ClassSettings(
    "pay", latency_objective=0.5, deadline=1.5, idempotency=Idempotency.UNSAFE, priority_weight=8.0
)


def make_settings(**changes: Any) -> Settings:
    """Return the settings of a small deployment, with ``changes`` applied."""
    return replace(
        Settings(classes=(SAFE, KEYED, UNSAFE), limits=Limits(max_attempts=5), zone="z0"), **changes
    )


def make_members(count: int, **changes: Any) -> tuple[Member, ...]:
    """Return upstreams in two zones and in replica groups of three, with ``changes`` applied."""
    return tuple(
        replace(Member(f"10.0.0.{i}:80", zone=f"z{i % 2}", kind="k", replica_group=i // 3), **changes)
        for i in range(count)
    )


class Driver:
    """Passes events to a balancer, and returns its actions."""

    def __init__(self, settings: Settings, members: tuple[Member, ...], seed: int = 1) -> None:
        self.balancer = Balancer(settings, seed)
        self.now = 1000.0
        self.number = 0
        self.initial_actions = self.update_members(members, UpdateKind.CACHED)

    def update_members(
        self, members: tuple[Member, ...], kind: UpdateKind = UpdateKind.DELTA
    ) -> list[Action]:
        return self.balancer.handle(self.now, MembershipUpdate(kind, members))

    def request(self, class_name: str = "view", budget: float = 1.5, **more: Any) -> tuple[str, list[Action]]:
        self.number += 1
        name = f"r{self.number}"
        event = RequestArrived(name, class_name, budget, **more)
        return name, self.balancer.handle(self.now, event)

    def end_attempt(
        self,
        send: SendAttempt,
        outcome: AttemptOutcome = AttemptOutcome.OK,
        attempt: int = 0,
        elapsed: float = 0.05,
        load: LoadReport | None = None,
    ) -> list[Action]:
        final = outcome is AttemptOutcome.OK
        return self.balancer.handle(
            self.now, AttemptEnded(send.id, send.upstream, attempt, outcome, elapsed, final, load)
        )

    def serve(
        self, count: int, outcome: dict[str, AttemptOutcome] | None = None, **more: Any
    ) -> dict[str, int]:
        """Run requests one after another; return how many first attempts each upstream got.

        ``outcome`` gives the outcome of all attempts on an upstream, OK if missing.
        """
        first_attempts: dict[str, int] = {}
        for _ in range(count):
            self.now += 0.2
            _, actions = self.request(**more)
            attempt = 0
            while found := sent_attempts(actions):
                send = found[0]
                if attempt == 0:
                    first_attempts[send.upstream] = first_attempts.get(send.upstream, 0) + 1
                ended = (outcome or {}).get(send.upstream, AttemptOutcome.OK)
                actions = self.end_attempt(send, ended, attempt)
                attempt += 1
        return first_attempts


def sent_attempts(actions: list[Action]) -> list[SendAttempt]:
    return [action for action in actions if isinstance(action, SendAttempt)]


def actions_of_type(actions: list[Action], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


@pytest.fixture
def driver() -> Driver:
    return Driver(make_settings(), make_members(6))
