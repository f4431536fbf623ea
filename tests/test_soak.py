"""Tests of the soak: its rules detect a planted violation each, and short runs of some seeds break none."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from tests.soak.__main__ import describe, main, parse_seeds, run_seed
from tests.soak.history import (
    Answer,
    Arrival,
    ClientRequest,
    History,
    IdleUsage,
    ProcessEnd,
    ProcessStart,
    Removal,
)
from tests.soak.judge import find_violations
from tests.soak.schedule import plan

SECONDS = 8.0


def served(class_name: str = "view", **changes: object) -> ClientRequest:
    answer = Answer(10.1, 200, True, b"body")
    return replace(ClientRequest("r", class_name, b"body", 10.0, 1.5, [answer]), **changes)  # type: ignore[arg-type]


def arrival(at: float = 10.05, **changes: object) -> Arrival:
    return replace(Arrival("r", "s-0", 0, at), **changes)  # type: ignore[arg-type]


def history(request: ClientRequest, *arrivals: Arrival, **more: object) -> History:
    return History({"r": request}, list(arrivals), **more)  # type: ignore[arg-type]


def test_rules_accept_allowed_histories() -> None:
    closed = served(answers=[], closed_at=10.2)
    shutdown = ProcessEnd("p0", 10.0, 12.0, 0, 13.2)
    allowed = [
        history(served(), arrival(), arrival(10.06)),
        history(served("pay"), arrival(), arrival(10.06, executed=False)),
        history(served("order"), arrival(), arrival(10.5)),
        history(served("pay", answers=[Answer(10.7, 500)]), arrival()),
        history(served("pay", answers=[Answer(10.7, 503)]), arrival(executed=False)),
        history(served(answers=[], client_disconnected_at=10.01), arrival(10.2)),
        history(closed, ends=[shutdown]),
        history(closed, connection_floods=[(10.0, 11.0)]),
        history(closed, arrival(), crashes=[10.1]),
        history(replace(closed, after_connection_close=True)),
        history(served(), arrival(), removals=[Removal("s-0", 9.7)]),
        history(served(), arrival(), removals=[Removal("s-0", 5.0, 10.0)]),
        history(served(), arrival(), removals=[Removal("s-0", 5.0)], starts=[ProcessStart("p1", 9.0, 9.5)]),
        history(served(answers=[Answer(12.2, 500)]), arrival(), stalls=[(11.0, 11.5)]),
        history(served(answers=[Answer(12.2, 503)], pipeline_due_at=12.0)),
        history(served(answers=[Answer(13.2, 500)]), arrival(), outages=[(9.0, 11.5)]),
    ]
    assert [find_violations(each) for each in allowed] == [[]] * len(allowed)


@pytest.mark.parametrize(
    ("rule", "planted"),
    [
        ("two answers", lambda: history(served(answers=[Answer(10.1, 200, True, b"body")] * 2))),
        ("truncated answer", lambda: history(served(answers=[Answer(10.1, 200, False)]))),
        ("answer of another request", lambda: history(served(answers=[Answer(10.1, 200, True, b"other")]))),
        ("unexpected status", lambda: history(served(answers=[Answer(10.1, 502)]))),
        (
            "rejected after execution",
            lambda: history(served("pay", answers=[Answer(10.1, 503)]), arrival()),
        ),
        ("answer too late", lambda: history(served(answers=[Answer(12.1, 500)]))),
        ("answer too late", lambda: history(served(answers=[Answer(12.6, 500)], pipeline_due_at=12.0))),
        ("never answered", lambda: history(served(answers=[], client_timed_out=True))),
        ("forwarded but not answered", lambda: history(served(answers=[], closed_at=10.2), arrival())),
        ("connection closed without a reason", lambda: history(served(answers=[], closed_at=10.2))),
        ("unsafe request executed twice", lambda: history(served("pay"), arrival(), arrival(10.06))),
        (
            "keyed request executed in another group",
            lambda: history(served("order"), arrival(), arrival(10.06, group=1)),
        ),
        (
            "keyed request executed again after its window",
            lambda: history(served("order", timeout_s=5.0), arrival(), arrival(11.8)),
        ),
        (
            "attempt after its client disconnected",
            lambda: history(served(answers=[], client_disconnected_at=10.0), arrival(10.3)),
        ),
        ("attempt for an unknown request", lambda: History(arrivals=[arrival()])),
        ("sent to a draining upstream", lambda: history(served(), arrival(), removals=[Removal("s-0", 9.6)])),
        ("unexpected exit status", lambda: History(ends=[ProcessEnd("p0", 10.0, 11.0, -15, 13.2)])),
        ("still running when SIGKILL was due", lambda: History(ends=[ProcessEnd("p0", 10.0, 13.4, 0, 13.2)])),
        ("not ready in time", lambda: History(starts=[ProcessStart("p0", 10.0, 20.1)])),
        ("not ready in time", lambda: History(starts=[ProcessStart("p0", 10.0, math.inf)])),
        (
            "high processor use while idle",
            lambda: History(idle_usage=[IdleUsage("p0", 2.0, 0.6, 20, 20, 0, 0)]),
        ),
        (
            "too many descriptors open while idle",
            lambda: History(idle_usage=[IdleUsage("p0", 2.0, 0.0, 70, 20, 0, 0)]),
        ),
        (
            "too much memory held while idle",
            lambda: History(idle_usage=[IdleUsage("p0", 2.0, 0.0, 20, 20, 90_000, 30_000)]),
        ),
    ],
)
def test_rules_detect_a_planted_violation(rule: str, planted: Callable[[], History]) -> None:
    found = find_violations(planted())
    assert [violation.rule for violation in found] == [rule]
    assert f"{rule} x1: " in describe(7, 20.0, planted(), found)


def test_schedule_follows_from_the_seed_alone() -> None:
    assert plan(7, 20.0) == plan(7, 20.0)
    assert plan(7, 20.0) != plan(8, 20.0)
    assert [step.at_s for step in plan(7, 20.0).steps] == sorted(step.at_s for step in plan(7, 20.0).steps)
    assert (list(parse_seeds("7")), list(parse_seeds("1-3"))) == ([7], [1, 2, 3])


def test_unusable_arguments_are_reported(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sys.argv", ["soak", "--seeds", "x-3"])
    with pytest.raises(SystemExit):
        main()
    assert "invalid parse_seeds value: 'x-3'" in capsys.readouterr().err


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_seed_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    """Guards against faults that show only when processes replace each other under faults and signals."""
    seen_history, violations = run_seed(seed, SECONDS, tmp_path)
    assert violations == [], describe(seed, SECONDS, seen_history, violations)
    assert sum(bool(each.answers) for each in seen_history.requests.values()) > 100
