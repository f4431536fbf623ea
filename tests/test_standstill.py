"""An event loop that stands still says so, and the process goes on afterwards."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from tests import faulty_program, peers
from tests.peers import WAIT, echo, request, running, until


@pytest.mark.parametrize(("spin_s", "reports"), [(1.5, 1), (0.3, 0)])
def test_step_that_uses_up_the_processor_is_logged_with_its_stack(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, spin_s: float, reports: int
) -> None:
    """Guards against a process that spins with its listener open while no log line tells where."""
    monkeypatch.setattr(peers, "start", faulty_program.start)
    when = tmp_path / "spin"
    with running(tmp_path, echo, FAULT_SPIN_S=str(spin_s), FAULT_SPIN_WHEN=str(when)) as (program, _, _d):
        assert program.ask(request())[0] == 200
        before_s = program.counters()["cpu_s"]
        when.touch()
        until(lambda: program.counters()["cpu_s"] > before_s + spin_s)
        assert program.ask(request())[0] == 200
        assert program.counters().get("standstills", 0) == reports
        assert program.logged("event loop stands still, using the processor: faulty_program.py:", reports)
        assert program.logged(" spinning_step < ", reports)
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(WAIT) == 0
