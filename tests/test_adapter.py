"""Tests of the simulation adapter: parsing, formatting, a small session, invalid input, and determinism."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from indigokeel.balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpoints,
)
from indigokeel.balancing.events import LoadReport
from indigokeel.simulation import adapter, wire
from indigokeel.simulation.host import Host

ROOT = Path(__file__).resolve().parent.parent
SPAWN_INFO = {
    "balancers": 3,
    "me": 0,
    "zone": "z0",
    "classes": [
        {"name": "view", "objective-s": 0.5, "deadline-s": 1.5, "effect": "safe", "group": "all"},
        {"name": "pay", "objective-s": 0.5, "deadline-s": 1.5, "effect": "unsafe", "surprise": 1},
    ],
    "limits": {"max-attempts": 4, "second-copies": True, "cancelling": True},
    "membership-mode": "on_request",
    "telemetry": {"how": "answers", "columns": ["rate", "busy"]},
    "weights": "nominal",
    "new-key": {"deep": [1, 2]},
}
ENDPOINT_LIST = """POOL roster-id=0 rows=2
ROW upstream=10.18.74.7:9003 failure-domain=z0 model=m pod=0 lifecycle=SERVING scale=1
ROW upstream=10.144.17.242:9044 failure-domain=z1 model=m pod=0 lifecycle=SERVING scale=1.5"""


def session(sidecars: tuple[int, ...] = (0, 1, 2), rounds: int = 40) -> list[tuple[int, str]]:
    """Return the lines of a small session, each with the number of its sidecar; -1: for all sidecars."""
    lines: list[tuple[int, str]] = [(-1, "ROUND moment-s=100 round=1"), (-1, ENDPOINT_LIST)]
    for sidecar in sidecars:
        info = json.dumps({**SPAWN_INFO, "me": sidecar})
        lines.append((sidecar, f"SPAWN sidecar={sidecar} entropy={7 + sidecar} info={info}"))
        lines.append((sidecar, f"SYNC sidecar={sidecar} how=cached stamp=1 roster-id=0"))
    lines.append((-1, "YOUR_TURN"))
    for index in range(rounds):
        lines.append((-1, f"ROUND moment-s={100.1 + index * 0.1:.3f} round={index + 2}"))
        for sidecar in sidecars:
            name = f"{sidecar:08x}{index:08x}"
            lines.append(
                (
                    sidecar,
                    f"REQUEST sidecar={sidecar} id={name} band=view resource=ab budget-s=1.5 hint-s=0.01",
                )
            )
        lines.append((-1, "YOUR_TURN"))
    return lines


def run_adapter(text: str, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-B", "-m", "indigokeel.simulation.adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, **env},
        timeout=60,
        check=False,
    )


def run_session(lines: list[tuple[int, str]], only: tuple[int, ...] = (0, 1, 2), **env: str) -> list[str]:
    text = "\n".join(line for sidecar, line in lines if sidecar == -1 or sidecar in only) + "\n"
    completed = run_adapter(text, **env)
    assert completed.returncode == 0, completed.stderr
    return completed.stdout.splitlines()


def test_session_is_answered() -> None:
    output = run_session(session(rounds=2))
    assert [line for line in output if line.startswith("WATCH")] == [
        f"WATCH sidecar={sidecar} active=1" for sidecar in range(3)
    ]
    sent = [line for line in output if line.startswith("FORWARD")]
    assert len(sent) == 6 and all("upstream=10." in line for line in sent)
    assert [line for line in output if line.startswith("DONE")] == [
        f"DONE round={index}" for index in (1, 2, 3)
    ]


def test_actions_do_not_depend_on_the_number_of_processes_or_the_hash_seed() -> None:
    all_actions = run_session(session(), PYTHONHASHSEED="1")
    assert all_actions == run_session(session(), PYTHONHASHSEED="2")
    for sidecar in range(3):
        alone = run_session(session(), (sidecar,), PYTHONHASHSEED=str(sidecar + 3))
        expected = [
            line for line in all_actions if f"sidecar={sidecar} " in line + " " or line.startswith("DONE")
        ]
        assert alone == expected


def test_attempt_outcomes_and_a_restarted_instance_are_handled() -> None:
    text = session((0,), 1)
    host = Host()
    first = [line for _, entry in text[:5] for line in entry.split("\n")]
    host.reply(first)
    reply = host.reply([entry for _, entry in text[5:]])
    upstream = next(line for line in reply if line.startswith("FORWARD")).split("upstream=")[1].split(" ")[0]
    name = f"{0:08x}{0:08x}"
    report = f"REPORT_BACK sidecar=0 id={name} upstream={upstream} final=1 state-code=completed try=0"
    output = host.reply(
        [
            "ROUND moment-s=101 round=3",
            f"{report} delay-seen-s=0.02 feedback=rate:140,busy:0.62,odd:3",
            f"LEFT sidecar=0 id={name}",
            "SHUTDOWN sidecar=0",
            "DEADLINE_HIT sidecar=0 handle=1",
            "NOVELTY sidecar=0 what=ever",
            *first[4:6],
            "YOUR_TURN",
        ]
    )
    assert output[-1] == "DONE round=3" and "WATCH sidecar=0 active=1" in output


def test_load_report_is_parsed() -> None:
    load = wire.parse_load("rate:140,busy:0.62,lat_ms:20,unknown:1")
    assert load == LoadReport(rate=140.0, utilisation=0.62, latency=0.02)
    assert wire.parse_load(None) is None and wire.parse_load("-") is None


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (SendAttempt("a", "u", 0.08), "FORWARD sidecar=3 id=a upstream=u limit-s=0.08"),
        (SendAttempt("a", "u"), "FORWARD sidecar=3 id=a upstream=u"),
        (RejectRequest("a", 0.25), "REJECT sidecar=3 id=a retry-in-s=0.25"),
        (RejectRequest("a"), "REJECT sidecar=3 id=a"),
        (FailRequest("a"), "ABORT sidecar=3 id=a"),
        (CancelAttempt("a", 2), "ABORT_ATTEMPT sidecar=3 id=a try=2"),
        (SetTimer(0.5, 77), "SET_TIMER sidecar=3 delay-s=0.5 handle=77"),
        (SendHealthCheck("u"), "HEALTH_CHECK sidecar=3 upstream=u"),
        (CloseIdleConnections("u"), "SHUT_IDLE sidecar=3 upstream=u"),
        (WatchEndpoints(), "WATCH sidecar=3 active=1"),
        (FetchEndpoints(), "LOOKUP sidecar=3"),
        (LogMessage("two\nlines"), "PRINT sidecar=3 reason-text=two lines"),
    ],
)
def test_action_is_formatted(action: Action, line: str) -> None:
    assert wire.format_action(3, action) == line


ROUND_HEADER = "ROUND moment-s=100 round=1\n"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("garbage\n", "must begin with ROUND"),
        (ROUND_HEADER + "REQUEST sidecar=0\n", "ends within a batch"),
        (ROUND_HEADER + "what is this\nYOUR_TURN\n", "not a message of the simulator's protocol"),
        (ROUND_HEADER + "SPAWN sidecar=0 entropy=1 info={bad\nYOUR_TURN\n", "bad JSON"),
        (ROUND_HEADER + "SPAWN sidecar=0 entropy=1 info={}\nYOUR_TURN\n", "'classes' is missing"),
        (ROUND_HEADER + "SPAWN sidecar=0 entropy=1 info=[]\nYOUR_TURN\n", "not an object"),
        (ROUND_HEADER + "REQUEST sidecar=0 id\nYOUR_TURN\n", "without '='"),
        (
            ROUND_HEADER + "SYNC sidecar=0 how=full stamp=1 roster-id=9\nYOUR_TURN\n",
            "no endpoint list has the id 9",
        ),
        (ROUND_HEADER + "POOL roster-id=0 rows=2\nYOUR_TURN\n", "an endpoint list of 2 rows ends early"),
        ("ROUND round=1\nYOUR_TURN\n", "'moment-s' is missing"),
    ],
)
def test_malformed_input_ends_the_adapter_with_one_error_line(text: str, expected: str) -> None:
    completed = run_adapter(text)
    assert completed.returncode == 1 and expected in completed.stderr
    assert (
        completed.stdout == ""
        and "Traceback" not in completed.stderr
        and len(completed.stderr.splitlines()) == 1
    )


def test_end_of_input_ends_the_adapter_successfully() -> None:
    completed = run_adapter(ROUND_HEADER + "YOUR_TURN\n")
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, "DONE round=1\n", "")


def test_exception_in_the_balancer_is_reported_as_fatal() -> None:
    lines = session((0,), 1)
    text = "\n".join(entry for _, entry in lines).replace("band=view", "band=nobody") + "\n"
    assert "FATAL sidecar=0 reason-text=ValueError: request of a class" in run_adapter(text).stdout


def test_deploy_file_builds_and_starts_from_a_read_only_tree(tmp_path: Path) -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    modules = {path.relative_to(ROOT).as_posix() for path in (ROOT / "indigokeel/balancing").glob("*.py")}
    assert set(deploy["policy"]) == modules - {"indigokeel/balancing/__init__.py"}
    policy = [(ROOT / name).read_text().splitlines() for name in deploy["policy"]]
    assert sum(bool(line.strip()) for lines in policy for line in lines) > 800
    for key in ("build", "sim"):
        completed = subprocess.run(
            ["/bin/sh", "-c", deploy[key]],
            input=ROUND_HEADER + "YOUR_TURN\n",
            capture_output=True,
            text=True,
            cwd=ROOT,
            env={"PATH": os.environ["PATH"], "TMPDIR": str(tmp_path), "PYTHONDONTWRITEBYTECODE": "1"},
            timeout=300,
            check=False,
        )
        assert completed.returncode == 0, completed.stderr
        if key == "sim":
            assert completed.stdout == "DONE round=1\n"


def test_nothing_is_written_for_an_invalid_batch() -> None:
    sink = io.StringIO()
    with pytest.raises(wire.WireError):
        adapter.serve(io.StringIO(ROUND_HEADER + "REQUEST sidecar=x id=1\nYOUR_TURN\n"), sink)
    assert sink.getvalue() == ""
