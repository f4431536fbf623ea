"""Tests of how the turns of the event loop are shared, with a clock that only tasks advance."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from indigokeel.net.turn_scheduler import TurnScheduler

TASK_S = 0.002  # time that each task takes; three of them fill a turn


class Loop:
    """An event loop and its scheduler; ``order`` names the tasks that ran, and ``|`` ends a turn."""

    def __init__(self) -> None:
        self.now = 0.0
        self.order = ""
        self._next: list[Callable[[], None]] = []
        self.scheduler = TurnScheduler(self._next.append, lambda: self.now)

    def task(self, name: str) -> Callable[[], None]:
        """Return a task that takes ``TASK_S``."""

        def run() -> None:
            self.now += TASK_S
            self.order += name

        return run

    def run_to_end(self) -> str:
        """Run turns until no task is left; return the order."""
        while self._next:
            self.order += "|"
            due, self._next[:] = list(self._next), []
            for call in due:
                call()
        return self.order.strip("|")


@pytest.mark.parametrize(
    ("tasks", "order"),
    [
        ("s", "s"),
        ("sss", "sss"),
        ("ssssssss", "sss|sss|ss"),
        ("llllssss", "lll|lss|ss"),
        ("llllll", "lll|lll"),
    ],
)
def test_turn_ends_in_time_and_small_tasks_go_first(tasks: str, order: str) -> None:
    loop = Loop()
    for name in tasks:
        loop.scheduler.run(loop.task(name), is_small=name == "s")
    assert loop.run_to_end() == order


def test_large_task_runs_in_each_turn_however_many_small_ones_arrive() -> None:
    loop = Loop()
    for name in "sssssssssss":
        loop.scheduler.run(loop.task(name), is_small=True)
    for name in "lr":
        loop.scheduler.run_later(loop.task(name))
    assert loop.run_to_end() == "sss|lss|rss|sss|s"


def test_task_that_raises_stops_no_other_one() -> None:
    loop = Loop()

    def fail() -> None:
        raise ValueError("a fault")

    loop.scheduler.run_later(fail)
    loop.scheduler.run_later(loop.task("l"))
    with pytest.raises(ValueError, match="a fault"):
        loop.run_to_end()
    assert loop.run_to_end().strip("|") == "l"
