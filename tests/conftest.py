"""Helpers shared by the tests: settings and members made by hand."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from indigokeel.decision import interface as api
from indigokeel.decision.balancer import Balancer

SAFE = api.ClassSettings("view", aim=0.5, deadline=1.5, effect=api.Effect.SAFE, worth=1.0)
KEYED = api.ClassSettings(
    "order",
    aim=0.5,
    deadline=1.5,
    effect=api.Effect.KEYED,
    group=api.Group.CELL,
    repeat_window=1.0,
    worth=5.0,
)
UNSAFE = api.ClassSettings("pay", aim=0.5, deadline=1.5, effect=api.Effect.UNSAFE, worth=8.0)


def make_settings(**changes: Any) -> api.Settings:
    """Settings of a small deployment, with changes."""
    return replace(
        api.Settings(classes=(SAFE, KEYED, UNSAFE), limits=api.Limits(max_attempts=5), zone="z0"), **changes
    )


def make_members(count: int, **changes: Any) -> tuple[api.Member, ...]:
    """Upstreams in two zones and cells of three."""
    return tuple(
        replace(api.Member(f"10.0.0.{i}:80", zone=f"z{i % 2}", kind="k", cell=i // 3), **changes)
        for i in range(count)
    )


class Driver:
    """Hands events to a balancer and keeps what it says."""

    def __init__(self, settings: api.Settings, members: tuple[api.Member, ...], seed: int = 1) -> None:
        self.balancer = Balancer(settings, seed)
        self.now = 1000.0
        self.number = 0
        self.first = self.news(members, api.News.CACHED)

    def news(self, members: tuple[api.Member, ...], kind: api.News = api.News.DELTA) -> list[api.Action]:
        return self.balancer.handle(self.now, api.MembershipNews(kind, members))

    def request(
        self, class_name: str = "view", budget: float = 1.5, **more: Any
    ) -> tuple[str, list[api.Action]]:
        self.number += 1
        name = f"r{self.number}"
        event = api.RequestArrived(name, class_name, budget, **more)
        return name, self.balancer.handle(self.now, event)

    def end(
        self,
        send: api.Send,
        ending: api.Ending = api.Ending.OK,
        attempt: int = 0,
        elapsed: float = 0.05,
        load: api.Load | None = None,
    ) -> list[api.Action]:
        final = ending is api.Ending.OK
        return self.balancer.handle(
            self.now, api.AttemptEnded(send.id, send.upstream, attempt, ending, elapsed, final, load)
        )

    def serve(self, count: int, ending: dict[str, api.Ending] | None = None, **more: Any) -> dict[str, int]:
        """Play requests one after another; tells how many first attempts each upstream got."""
        got: dict[str, int] = {}
        for _ in range(count):
            self.now += 0.2
            _, actions = self.request(**more)
            attempt = 0
            while found := sends(actions):
                send = found[0]
                if attempt == 0:
                    got[send.upstream] = got.get(send.upstream, 0) + 1
                how = (ending or {}).get(send.upstream, api.Ending.OK)
                actions = self.end(send, how, attempt)
                attempt += 1
        return got


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [action for action in actions if isinstance(action, api.Send)]


def of(actions: list[api.Action], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


@pytest.fixture
def driver() -> Driver:
    return Driver(make_settings(), make_members(6))
