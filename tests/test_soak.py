"""The soak: its judge catches a planted fault of each rule, and some seeds are played in short."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from tests.soak.__main__ import describe, main, parse_seeds, play
from tests.soak.history import (
    Answer,
    Arrival,
    ClientRequest,
    History,
    Notice,
    ProcessEnd,
    ProcessStart,
    Quiet,
)
from tests.soak.judge import judge
from tests.soak.schedule import plan

SECONDS = 8.0


def served(class_name: str = "view", **changes: object) -> ClientRequest:
    answer = Answer(10.1, 200, True, b"body")
    return replace(ClientRequest("r", class_name, b"body", 10.0, 1.5, [answer]), **changes)  # type: ignore[arg-type]


def arrival(at: float = 10.05, **changes: object) -> Arrival:
    return replace(Arrival("r", "s-0", 0, at), **changes)  # type: ignore[arg-type]


def history(request: ClientRequest, *arrivals: Arrival, **more: object) -> History:
    return History({"r": request}, list(arrivals), **more)  # type: ignore[arg-type]


def test_judge_finds_nothing_in_what_is_allowed() -> None:
    closed = served(answers=[], closed_at=10.2)
    shutdown = ProcessEnd("p0", 10.0, 12.0, 0, 13.2)
    allowed = [
        history(served(), arrival(), arrival(10.06)),
        history(served("pay"), arrival(), arrival(10.06, ran=False)),
        history(served("order"), arrival(), arrival(10.5)),
        history(served("pay", answers=[Answer(10.7, 500)]), arrival()),
        history(served("pay", answers=[Answer(10.7, 503)]), arrival(ran=False)),
        history(served(answers=[], left_at=10.01), arrival(10.2)),
        history(closed, ends=[shutdown]),
        history(closed, crowds=[(10.0, 11.0)]),
        history(closed, arrival(), crashes=[10.1]),
        history(replace(closed, behind_close=True)),
        history(served(), arrival(), notices=[Notice("s-0", 9.7)]),
        history(served(), arrival(), notices=[Notice("s-0", 5.0, 10.0)]),
        history(served(), arrival(), notices=[Notice("s-0", 5.0)], starts=[ProcessStart("p1", 9.0, 9.5)]),
        history(served(answers=[Answer(12.2, 500)]), arrival(), stalls=[(11.0, 11.5)]),
        history(served(answers=[Answer(12.2, 503)], due_behind=12.0)),
        history(served(answers=[Answer(13.2, 500)]), arrival(), outages=[(9.0, 11.5)]),
    ]
    assert [judge(each) for each in allowed] == [[]] * len(allowed)


@pytest.mark.parametrize(
    ("rule", "planted"),
    [
        ("two answers", lambda: history(served(answers=[Answer(10.1, 200, True, b"body")] * 2))),
        ("answer cut off", lambda: history(served(answers=[Answer(10.1, 200, False)]))),
        ("answer of another request", lambda: history(served(answers=[Answer(10.1, 200, True, b"other")]))),
        ("unexpected status", lambda: history(served(answers=[Answer(10.1, 502)]))),
        (
            "rejected though it has run",
            lambda: history(served("pay", answers=[Answer(10.1, 503)]), arrival()),
        ),
        ("answer too late", lambda: history(served(answers=[Answer(12.1, 500)]))),
        ("answer too late", lambda: history(served(answers=[Answer(12.6, 500)], due_behind=12.0))),
        ("never answered", lambda: history(served(answers=[], waited_in_vain=True))),
        ("forwarded and not answered", lambda: history(served(answers=[], closed_at=10.2), arrival())),
        ("closed unread for no reason", lambda: history(served(answers=[], closed_at=10.2))),
        ("unsafe request run twice", lambda: history(served("pay"), arrival(), arrival(10.06))),
        (
            "keyed request repeated in another group",
            lambda: history(served("order"), arrival(), arrival(10.06, group=1)),
        ),
        (
            "keyed request repeated after its window",
            lambda: history(served("order", limit_s=5.0), arrival(), arrival(11.8)),
        ),
        ("attempt after its client left", lambda: history(served(answers=[], left_at=10.0), arrival(10.3))),
        ("attempt of an unknown request", lambda: History(arrivals=[arrival()])),
        ("sent to a draining upstream", lambda: history(served(), arrival(), notices=[Notice("s-0", 9.6)])),
        ("exit status", lambda: History(ends=[ProcessEnd("p0", 10.0, 11.0, -15, 13.2)])),
        ("not ended before the kill", lambda: History(ends=[ProcessEnd("p0", 10.0, 13.4, 0, 13.2)])),
        ("not ready in time", lambda: History(starts=[ProcessStart("p0", 10.0, 20.1)])),
        ("not ready in time", lambda: History(starts=[ProcessStart("p0", 10.0, math.inf)])),
        ("busy while nothing is sent", lambda: History(quiet=[Quiet("p0", 2.0, 0.6, 20, 20, 0, 0)])),
        ("descriptors kept", lambda: History(quiet=[Quiet("p0", 2.0, 0.0, 70, 20, 0, 0)])),
        ("memory kept", lambda: History(quiet=[Quiet("p0", 2.0, 0.0, 20, 20, 90_000, 30_000)])),
    ],
)
def test_judge_catches_a_planted_fault(rule: str, planted: Callable[[], History]) -> None:
    found = judge(planted())
    assert [breach.rule for breach in found] == [rule]
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
    """Guards against what only processes in turn, under faults and series of signals, show."""
    seen, breaches = play(seed, SECONDS, tmp_path)
    assert breaches == [], describe(seed, SECONDS, seen, breaches)
    assert sum(bool(each.answers) for each in seen.requests.values()) > 100
