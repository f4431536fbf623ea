"""The state folder fails, or holds what nobody can rely on: cordons hold, and a yes is a yes on disk."""

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
from tests.peers import WAIT, Peer, Program, request, until
from tests.test_clocks import site

HERE = ClockReading(1000.0, "b1")
PREFIX = "indigokeel-n0.handover."
ALWAYS = 10**9


def _state(*out: str) -> bytes:
    marks = (CordonRecord(who, True, 900.0, sequence=number + 1) for number, who in enumerate(out))
    return snapshot.encode(HERE, marks)


def _process(folder: Path) -> tuple[RequestCoordinator, StatePersistence]:
    coordinator, files = RequestCoordinator(make_settings(), 1, 0.0), StateFiles(str(folder), "n0")
    return coordinator, StatePersistence(files, coordinator, Counters("t"), lambda effects: None, lambda: 0)


def _cordoned(folder: Path) -> set[str]:
    """What a process that starts finds to be out."""
    coordinator, persistence = _process(folder)
    asyncio.run(persistence.restore())
    return {mark.upstream for mark in coordinator.cordons.records()}


GOOD = _state("s-0")

# --- one writing, each call failing -----------------------------------------------------------------------


@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
@pytest.mark.parametrize("synced", [True, False])
@pytest.mark.parametrize("call", ["open", "write", "fsync", "fsync-folder", "rename", "unlink", "listdir"])
def test_write_that_fails_costs_nothing_that_was_there(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, error: str, synced: bool
) -> None:
    files = StateFiles(str(tmp_path), "n0")

    def write(data: bytes) -> None:
        name = files.reserve()
        files.put(name, data, synced)
        files.adopt(name, synced)

    write(_state("s-0"))
    affected = call not in ("unlink", "listdir") and (synced or not call.startswith("fsync"))
    with monkeypatch.context() as patch:
        Faults({call: (error, ALWAYS)}, str(tmp_path)).install(patch.setattr)
        if affected:
            with pytest.raises(OSError, match=os.strerror(getattr(errno, error))):
                write(_state("s-0", "s-1"))
        else:
            write(_state("s-0", "s-1"))
        if call == "listdir":
            with pytest.raises(OSError):
                files.list_unread(HERE.clock)
    assert _cordoned(tmp_path) == ({"s-0"} if affected else {"s-0", "s-1"})
    assert not any(name.endswith("~") for name in os.listdir(tmp_path))
    write(_state("s-0", "s-1", "s-2"))
    assert _cordoned(tmp_path) == {"s-0", "s-1", "s-2"}
    assert len(os.listdir(tmp_path)) == (2 if call == "unlink" else 1)


def test_synced_file_is_on_disk_before_the_one_before_goes_and_outlasts_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the cordon that a loss of power takes with a file whose bytes were never synced."""
    files, calls = StateFiles(str(tmp_path), "n0"), list[str]()

    def watch(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def called(*args: Any) -> Any:
            calls.append(name)
            return real(*args)

        return called

    for name in ("write", "fsync", "rename", "unlink"):
        monkeypatch.setattr(os, name, watch(name, getattr(os, name)))
    for _ in range(2):
        name = files.reserve()
        files.put(name, _state("s-0"), synced=True)
        files.adopt(name, synced=True)
    assert calls == ["write", "fsync", "rename", "fsync", "write", "fsync", "rename", "fsync", "unlink"]
    for _ in range(3):
        files.write(_state("s-0"))
    assert name in os.listdir(tmp_path) and len(os.listdir(tmp_path)) == 2


def test_files_of_others_stay_until_their_marks_are_stored_by_this_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(state_files, "_LEFTOVER_RETENTION_S", 0.0)
    monkeypatch.setattr(state_persistence, "_WRITE_INTERVAL_S", 0.0)
    good, (coordinator, persistence) = tmp_path / (PREFIX + "5-5"), _process(tmp_path)
    good.write_bytes(GOOD)

    async def play() -> None:
        await persistence.restore()
        tasks = [asyncio.create_task(persistence.synchronise(lambda: False))]
        states: set[str] = set()
        async with asyncio.timeout(WAIT):
            while len(states) < 4:  # states are written, unsynced, and nothing goes for them
                states.update(os.listdir(tmp_path))
                await asyncio.sleep(0.01)
        assert good.exists()
        tasks.append(asyncio.create_task(persistence.keep_stored()))
        async with asyncio.timeout(WAIT):
            while good.exists():
                await asyncio.sleep(0.01)
            for name in os.listdir(tmp_path):  # a folder for temporary files is swept now and then
                (tmp_path / name).unlink(missing_ok=True)
            while len([name for name in os.listdir(tmp_path) if name[-1] != "~"]) < 2:
                await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()

    asyncio.run(play())
    assert coordinator.cordons.records() and _cordoned(tmp_path) == {"s-0"}


# --- what lies in the folder ------------------------------------------------------------------------------

SPOILT = {
    "empty": b"",
    "half": GOOD[: len(GOOD) // 2],
    "head": GOOD[: GOOD.index(b"\n") + 1],
    "zeros": bytes(len(GOOD)),
    "flipped": GOOD[:-3] + bytes([GOOD[-3] ^ 1]) + GOOD[-2:],
    "foreign": b"#!/bin/sh\n",
    "large": b"x" * (snapshot.MAX_BYTES + 1),
}


@pytest.mark.parametrize("count", [1, 40])
@pytest.mark.parametrize("spoilt", SPOILT)
def test_file_that_is_not_whole_costs_itself_alone(tmp_path: Path, spoilt: str, count: int) -> None:
    (tmp_path / (PREFIX + "5-5")).write_bytes(GOOD)
    for number in range(count if spoilt != "large" else 1):
        (tmp_path / f"{PREFIX}{6 + number}-6").write_bytes(SPOILT[spoilt])
    (tmp_path / (PREFIX + "99-6~")).write_bytes(_state("s-9"))
    (tmp_path / (PREFIX + "x")).mkdir()
    (tmp_path / (PREFIX + "7-9")).symlink_to(tmp_path / "nowhere")
    assert _cordoned(tmp_path) == {"s-0"}


@pytest.mark.parametrize("call", ["listdir", "open"])
def test_process_that_starts_looks_again_where_the_folder_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    (tmp_path / (PREFIX + "5-5")).write_bytes(GOOD)
    Faults({call: ("EIO", 3)}, str(tmp_path)).install(monkeypatch.setattr)
    assert _cordoned(tmp_path) == {"s-0"}


# --- real processes ---------------------------------------------------------------------------------------


def _faulty(tmp: Path, **faults: Any) -> dict[str, str]:
    calls = {name.replace("_", "-"): fault for name, fault in faults.items()}
    return {"FAULTS": json.dumps(calls), "FAULTS_OFF": str(tmp / "off")}


def _sent_to(upstream: Peer, program: Program) -> int:
    """How many of 40 requests go to an upstream."""
    had = len(upstream.got)
    for _ in range(40):
        assert program.ask(request())[0] == 200
    return len(upstream.got) - had


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
def test_cordon_answered_with_yes_binds_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, faults: dict[str, Any]
) -> None:
    with site(tmp_path, monkeypatch, 2) as (start, upstreams, _):
        old = start(**_faulty(tmp_path, **faults))
        until(lambda: old.call("PUT", "cordon", "s-0") == 200)
        old.process.kill()
        new = start(**(_faulty(tmp_path, **faults) if "listdir" in faults else {}))
        assert _sent_to(upstreams[0], new) == 0 and new.counters()["cordoned"] == 1


def test_folder_that_fails_is_reported_and_retried_until_stored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with site(tmp_path, monkeypatch, 2) as (start, upstreams, _):
        old = start(**_faulty(tmp_path, write=("ENOSPC", ALWAYS)))
        assert {old.call("PUT", "cordon", "s-0") for _ in range(2)} == {503}
        assert _sent_to(upstreams[0], old) == 0  # in force here all the same
        assert old.log.read_text().count("cordons are not on disk") == 1
        (tmp_path / "off").touch()
        until(lambda: "cordons are on disk" in old.log.read_text())
        old.process.kill()
        assert _sent_to(upstreams[0], start()) == 0


def test_cordon_is_tried_on_while_the_process_ends(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with site(tmp_path, monkeypatch, 2) as (start, upstreams, _):
        old = start(**_faulty(tmp_path, write=("EIO", ALWAYS)))
        assert old.call("PUT", "cordon", "s-0") == 503
        old.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in old.log.read_text())
        (tmp_path / "off").touch()
        assert old.process.wait(WAIT) == 0
        assert _sent_to(upstreams[0], start()) == 0


def test_disk_that_hangs_holds_up_no_request_and_no_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with site(tmp_path, monkeypatch, 2) as (start, upstreams, _):
        old = start(**_faulty(tmp_path, fsync=("HANG", ALWAYS)))
        assert old.call("PUT", "cordon", "s-0") == 503
        assert _sent_to(upstreams[0], old) == 0
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(WAIT) == 0
        assert _sent_to(upstreams[0], start()) == 0  # by the file that waits for no disk


def test_state_is_written_though_what_others_left_cannot_be_merged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files = StateFiles(str(tmp_path), "n0")
    coordinator = RequestCoordinator(make_settings(), 1, 0.0)
    state = StatePersistence(files, coordinator, Counters("n0"), lambda effects: None, lambda: 1)

    def fail(now: float) -> list[str]:
        raise RuntimeError("unforeseen")

    monkeypatch.setattr(files, "list_unread", fail)

    async def play() -> None:
        task = asyncio.create_task(state.synchronise(lambda: False))
        while not list(tmp_path.iterdir()):
            assert not task.done()
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(play())
