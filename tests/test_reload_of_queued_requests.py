"""Tests that a request keeps the settings under which it arrived, however long it waits for its turn."""

from __future__ import annotations

import json
import signal
import threading
from pathlib import Path
from typing import Any

import pytest

from indigokeel.balancing.settings import ClassSettings, Idempotency, Settings
from indigokeel.process.settings_history import SettingsHistory
from tests.peers import (
    CLASSES,
    SETTINGS,
    TIMEOUT_S,
    Message,
    Program,
    ok,
    read_response,
    request,
    running,
    until,
)

PAY_BECOMES_SAFE = {**SETTINGS, "classes": [{**CLASSES[0], "effect": "safe"}, *CLASSES[1:]]}
PAY_IS_REMOVED = {**SETTINGS, "classes": CLASSES[1:]}
ONE_ATTEMPT = {**SETTINGS, "limits": {**SETTINGS["limits"], "max-attempts": 1}}
BEHIND = [0, 30]  # other requests between the one that is served and the one in question


class ResettingUpstream:
    """Holds the request with the body ``first``; closes the connection of the first ``resets`` others."""

    def __init__(self, resets: int) -> None:
        self.release = threading.Event()
        self.runs = 0
        self._resets = resets

    def __call__(self, message: Message) -> bytes | None:
        if message.body == b"first":
            assert self.release.wait(TIMEOUT_S)
        if message.body != b"last":
            return ok(b"other")
        self.runs += 1
        return None if self.runs <= self._resets else ok(b"last")


def reload(program: Program, settings: dict[str, Any]) -> None:
    """Let the program reload its configuration with other settings."""
    config = json.loads(program.config.read_text())
    program.config.write_text(json.dumps({**config, "settings": settings}))
    program.process.send_signal(signal.SIGHUP)
    until(lambda: program.counters().get("reloads", 0) == 1)


def status_across_reload(
    tmp_path: Path, upstream: ResettingUpstream, settings: dict[str, Any], last: bytes, behind: int
) -> int:
    """Reload while requests wait behind one that is served; return the status of the last."""
    with running(tmp_path, upstream, upstream) as (program, _, _d), program.connect() as conn:
        file = conn.makefile("rb")
        others = b"".join(request("order", b"x", more="Idempotency-Key: k\r\n") for _ in range(behind))
        conn.sendall(request("pay", b"first") + others + last)
        until(lambda: program.counters().get("requests_accepted", 0) == 1)
        reload(program, settings)
        upstream.release.set()
        statuses = [read_response(file)[0] for _ in range(behind + 2)]
        assert statuses[:-1] == [200] * (behind + 1)
        return statuses[-1]


@pytest.mark.parametrize("behind", BEHIND)
def test_queued_unsafe_request_runs_once_although_a_reload_makes_its_class_safe(
    tmp_path: Path, behind: int
) -> None:
    """Guards against an unsafe request that runs twice, because its class was looked up at its turn."""
    upstream = ResettingUpstream(resets=1)
    status = status_across_reload(tmp_path, upstream, PAY_BECOMES_SAFE, request("pay", b"last"), behind)
    assert (status, upstream.runs) == (500, 1)


@pytest.mark.parametrize("behind", BEHIND)
def test_queued_request_is_served_although_a_reload_removes_its_class(tmp_path: Path, behind: int) -> None:
    """Guards against an internal error for a request that was taken before its class was removed."""
    upstream = ResettingUpstream(resets=0)
    status = status_across_reload(tmp_path, upstream, PAY_IS_REMOVED, request("pay", b"last"), behind)
    assert (status, upstream.runs) == (200, 1)


@pytest.mark.parametrize("behind", BEHIND)
def test_queued_request_keeps_its_number_of_attempts_across_a_reload(tmp_path: Path, behind: int) -> None:
    """Guards against a request that is not repeated as the settings of its arrival allow."""
    upstream = ResettingUpstream(resets=1)
    last = request("order", b"last", more="Idempotency-Key: k\r\n")
    assert status_across_reload(tmp_path, upstream, ONE_ATTEMPT, last, behind) == 200


def make_settings(idempotency: Idempotency | None) -> Settings:
    """Return settings with the class ``pay``, or without it."""
    view = ClassSettings("view", 0.6, 1.2, Idempotency.SAFE)
    return Settings((view,) if idempotency is None else (view, ClassSettings("pay", 0.6, 1.2, idempotency)))


def test_request_that_may_have_arrived_under_several_settings_gets_the_strictest_with_its_class() -> None:
    """Guards against the settings of only one end of the time in which a request may have arrived."""
    safe, unsafe, removed = map(make_settings, (Idempotency.SAFE, Idempotency.UNSAFE, None))
    history = SettingsHistory(removed)
    for now, settings in ((10.0, safe), (20.0, unsafe), (30.0, safe), (40.0, removed)):
        history.replace(now, settings)
    cases = [
        (5.0, 6.0, removed),
        (5.0, 15.0, safe),
        (15.0, 15.0, safe),
        (15.0, 35.0, unsafe),
        (25.0, 25.0, unsafe),
        (20.0, 20.0, safe),
        (35.0, 45.0, safe),
        (45.0, 45.0, removed),
    ]
    for earliest, latest, expected in cases:
        assert history.for_class("pay", earliest, latest) is expected, (earliest, latest)
