"""Test that a blocked event loop is logged and that the process continues afterwards."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from tests import faulty_program, peers
from tests.peers import TIMEOUT_S, echo, request, running, until


@pytest.mark.parametrize(("spin_s", "reports"), [(1.5, 1), (0.3, 0)])
def test_step_that_blocks_the_event_loop_is_logged_with_its_stack(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, spin_s: float, reports: int
) -> None:
    """Guards against a process that spins while its listener is open and does not log where it spins."""
    monkeypatch.setattr(peers, "start", faulty_program.start)
    spin_file = tmp_path / "spin"
    with running(tmp_path, echo, FAULT_SPIN_S=str(spin_s), FAULT_SPIN_WHEN=str(spin_file)) as (
        program,
        _,
        _d,
    ):
        assert program.exchange(request())[0] == 200
        before_s = program.counters()["cpu_s"]
        spin_file.touch()
        until(lambda: program.counters()["cpu_s"] > before_s + spin_s)
        assert program.exchange(request())[0] == 200
        assert program.counters().get("standstills", 0) == reports
        assert program.has_logged("event loop stands still, using the processor: faulty_program.py:", reports)
        assert program.has_logged(" spinning_step < ", reports)
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(TIMEOUT_S) == 0
