"""Tests of a state folder that fails or holds invalid files: no cordon answered with success is lost."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from indigokeel.endpoints.cordons import CordonRecord
from indigokeel.hot_restart import snapshot, state_files
from indigokeel.hot_restart.snapshot import ClockReading
from indigokeel.hot_restart.state_files import StateFiles
from indigokeel.metrics import Counters
from indigokeel.process import state_persistence
from indigokeel.process.state_persistence import StatePersistence
from indigokeel.requests.coordinator import RequestCoordinator
from tests.conftest import make_settings
from tests.faulty_program import Faults
from tests.peers import TIMEOUT_S, Peer, Program, request, until
from tests.test_clocks import restartable_sidecar

READING = ClockReading(1000.0, "b1")
PREFIX = "indigokeel-n0.handover."
ALWAYS = 10**9


def _encode_state(*cordoned: str) -> bytes:
    cordon_records = (
        CordonRecord(upstream_name, True, 900.0, sequence=number + 1)
        for number, upstream_name in enumerate(cordoned)
    )
    return snapshot.encode(READING, cordon_records)


def _create_process(folder: Path) -> tuple[RequestCoordinator, StatePersistence]:
    coordinator, files = RequestCoordinator(make_settings(), 1, 0.0), StateFiles(str(folder), "n0")
    return coordinator, StatePersistence(files, coordinator, Counters("t"), lambda effects: None, lambda: 0)


def _restored_upstreams(folder: Path) -> set[str]:
    """Return the names of the upstreams whose records a starting process restores."""
    coordinator, persistence = _create_process(folder)
    asyncio.run(persistence.restore())
    return {record.upstream for record in coordinator.cordons.records()}


VALID_FILE = _encode_state("s-0")

# --- writing a file while one system call fails -----------------------------------------------------------


@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
@pytest.mark.parametrize("synced", [True, False])
@pytest.mark.parametrize("call", ["open", "write", "fsync", "fsync-folder", "rename", "unlink", "listdir"])
def test_failed_write_keeps_existing_files(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, error: str, synced: bool
) -> None:
    files = StateFiles(str(tmp_path), "n0")

    def write(data: bytes) -> None:
        name = files.reserve()
        files.put(name, data, synced)
        files.adopt(name, synced)

    write(_encode_state("s-0"))
    affected = call not in ("unlink", "listdir") and (synced or not call.startswith("fsync"))
    with monkeypatch.context() as patch:
        Faults({call: (error, ALWAYS)}, str(tmp_path)).install(patch.setattr)
        if affected:
            with pytest.raises(OSError, match=os.strerror(getattr(errno, error))):
                write(_encode_state("s-0", "s-1"))
        else:
            write(_encode_state("s-0", "s-1"))
        if call == "listdir":
            with pytest.raises(OSError):
                files.list_unread(READING.clock)
    assert _restored_upstreams(tmp_path) == ({"s-0"} if affected else {"s-0", "s-1"})
    assert not any(name.endswith("~") for name in os.listdir(tmp_path))
    write(_encode_state("s-0", "s-1", "s-2"))
    assert _restored_upstreams(tmp_path) == {"s-0", "s-1", "s-2"}
    assert len(os.listdir(tmp_path)) == (2 if call == "unlink" else 1)


def test_synced_file_is_on_disk_before_its_predecessor_is_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cordon that a loss of power deletes, because its file was never synced."""
    files, calls = StateFiles(str(tmp_path), "n0"), list[str]()

    def recording(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def record_call(*args: Any) -> Any:
            calls.append(name)
            return real(*args)

        return record_call

    for name in ("write", "fsync", "rename", "unlink"):
        monkeypatch.setattr(os, name, recording(name, getattr(os, name)))
    for _ in range(2):
        name = files.reserve()
        files.put(name, _encode_state("s-0"), synced=True)
        files.adopt(name, synced=True)
    assert calls == ["write", "fsync", "rename", "fsync", "write", "fsync", "rename", "fsync", "unlink"]
    for _ in range(3):
        files.write(_encode_state("s-0"))
    assert name in os.listdir(tmp_path) and len(os.listdir(tmp_path)) == 2


def test_files_of_other_processes_stay_until_their_cordons_are_stored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(state_files, "_LEFTOVER_RETENTION_S", 0.0)
    monkeypatch.setattr(state_persistence, "_WRITE_INTERVAL_S", 0.0)
    valid_path, (coordinator, persistence) = tmp_path / (PREFIX + "5-5"), _create_process(tmp_path)
    valid_path.write_bytes(VALID_FILE)

    async def scenario() -> None:
        await persistence.restore()
        tasks = [asyncio.create_task(persistence.synchronise(lambda: False))]
        states: set[str] = set()
        async with asyncio.timeout(TIMEOUT_S):
            while len(states) < 4:  # unsynced states are written, and no file is removed for them
                states.update(os.listdir(tmp_path))
                await asyncio.sleep(0.01)
        assert valid_path.exists()
        tasks.append(asyncio.create_task(persistence.keep_cordons_stored()))
        async with asyncio.timeout(TIMEOUT_S):
            while valid_path.exists():
                await asyncio.sleep(0.01)
            for name in os.listdir(tmp_path):  # as a cleaner of temporary files would do
                (tmp_path / name).unlink(missing_ok=True)
            while len([name for name in os.listdir(tmp_path) if name[-1] != "~"]) < 2:
                await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()

    asyncio.run(scenario())
    assert coordinator.cordons.records() and _restored_upstreams(tmp_path) == {"s-0"}


# --- invalid files in the folder --------------------------------------------------------------------------

INVALID_FILES = {
    "empty": b"",
    "half": VALID_FILE[: len(VALID_FILE) // 2],
    "head": VALID_FILE[: VALID_FILE.index(b"\n") + 1],
    "zeros": bytes(len(VALID_FILE)),
    "flipped": VALID_FILE[:-3] + bytes([VALID_FILE[-3] ^ 1]) + VALID_FILE[-2:],
    "foreign": b"#!/bin/sh\n",
    "large": b"x" * (snapshot.MAX_BYTES + 1),
}


@pytest.mark.parametrize("count", [1, 40])
@pytest.mark.parametrize("invalid", INVALID_FILES)
def test_invalid_file_does_not_affect_other_files(tmp_path: Path, invalid: str, count: int) -> None:
    (tmp_path / (PREFIX + "5-5")).write_bytes(VALID_FILE)
    for number in range(count if invalid != "large" else 1):
        (tmp_path / f"{PREFIX}{6 + number}-6").write_bytes(INVALID_FILES[invalid])
    (tmp_path / (PREFIX + "99-6~")).write_bytes(_encode_state("s-9"))
    (tmp_path / (PREFIX + "x")).mkdir()
    (tmp_path / (PREFIX + "7-9")).symlink_to(tmp_path / "nowhere")
    assert _restored_upstreams(tmp_path) == {"s-0"}


@pytest.mark.parametrize("call", ["listdir", "open"])
def test_starting_process_retries_a_failing_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    (tmp_path / (PREFIX + "5-5")).write_bytes(VALID_FILE)
    Faults({call: ("EIO", 3)}, str(tmp_path)).install(monkeypatch.setattr)
    assert _restored_upstreams(tmp_path) == {"s-0"}


# --- real processes ---------------------------------------------------------------------------------------


def _fault_environment(tmp: Path, **faults: Any) -> dict[str, str]:
    calls = {name.replace("_", "-"): fault for name, fault in faults.items()}
    return {"FAULTS": json.dumps(calls), "FAULTS_OFF": str(tmp / "off")}


def _count_requests_to(upstream: Peer, program: Program) -> int:
    """Return how many of 40 requests go to an upstream."""
    count_before = len(upstream.received)
    for _ in range(40):
        status, _ = program.exchange(request())
        assert status == 200, program.log.read_text()
    return len(upstream.received) - count_before


@pytest.mark.parametrize(
    "faults",
    [
        {"write": ("EIO", 3)},
        {"open": ("ENOSPC", 3)},
        {"fsync": ("EIO", 3)},
        {"fsync_folder": ("EIO", 2)},
        {"rename": ("ENOSPC", 3)},
        {"unlink": ("EIO", ALWAYS)},
        {"listdir": ("EIO", 3)},
    ],
    ids=lambda faults: next(iter(faults)),
)
def test_cordon_answered_with_success_applies_to_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, faults: dict[str, Any]
) -> None:
    with restartable_sidecar(tmp_path, monkeypatch, 2) as (start, upstreams, _):
        old = start(**_fault_environment(tmp_path, **faults))
        until(lambda: old.call_admin("PUT", "cordon", "s-0") == 200)
        old.process.kill()
        new = start(**(_fault_environment(tmp_path, **faults) if "listdir" in faults else {}))
        assert _count_requests_to(upstreams[0], new) == 0 and new.counters()["cordoned"] == 1


def test_failing_folder_is_logged_and_retried_until_cordons_are_stored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with restartable_sidecar(tmp_path, monkeypatch, 2) as (start, upstreams, _):
        old = start(**_fault_environment(tmp_path, write=("ENOSPC", ALWAYS)))
        assert {old.call_admin("PUT", "cordon", "s-0") for _ in range(2)} == {503}
        assert _count_requests_to(upstreams[0], old) == 0  # the cordon is active in this process all the same
        assert old.log.read_text().count("cordons are not on disk") == 1
        (tmp_path / "off").touch()
        until(lambda: "cordons are on disk" in old.log.read_text())
        old.process.kill()
        assert _count_requests_to(upstreams[0], start()) == 0


def test_storing_a_cordon_is_retried_during_shutdown(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with restartable_sidecar(tmp_path, monkeypatch, 2) as (start, upstreams, _):
        old = start(**_fault_environment(tmp_path, write=("EIO", ALWAYS)))
        assert old.call_admin("PUT", "cordon", "s-0") == 503
        old.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in old.log.read_text())
        (tmp_path / "off").touch()
        assert old.process.wait(TIMEOUT_S) == 0
        assert _count_requests_to(upstreams[0], start()) == 0


def test_hanging_disk_delays_neither_requests_nor_shutdown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with restartable_sidecar(tmp_path, monkeypatch, 2) as (start, upstreams, _):
        old = start(**_fault_environment(tmp_path, fsync=("HANG", ALWAYS)))
        assert old.call_admin("PUT", "cordon", "s-0") == 503
        assert _count_requests_to(upstreams[0], old) == 0
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(TIMEOUT_S) == 0
        assert _count_requests_to(upstreams[0], start()) == 0  # restored from the unsynced file


def test_state_is_written_even_if_other_files_cannot_be_merged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files = StateFiles(str(tmp_path), "n0")
    coordinator = RequestCoordinator(make_settings(), 1, 0.0)
    state = StatePersistence(files, coordinator, Counters("n0"), lambda effects: None, lambda: 1)

    def fail(now: float) -> list[str]:
        raise RuntimeError("unforeseen")

    monkeypatch.setattr(files, "list_unread", fail)

    async def scenario() -> None:
        task = asyncio.create_task(state.synchronise(lambda: False))
        while not list(tmp_path.iterdir()):
            assert not task.done()
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
