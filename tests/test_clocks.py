"""Tests of stepped wall clocks and reboots: start times, the state passed to the next process, and real
processes whose wall clock is off by an hour."""

from __future__ import annotations

import contextlib
import json
import math
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from indigokeel import clocks
from indigokeel.endpoints.cordons import CordonRecord
from indigokeel.endpoints.endpoint_list import Endpoint, EndpointList
from indigokeel.endpoints.start_times import StartsSnapshot, StartTimes
from indigokeel.hot_restart import snapshot
from indigokeel.hot_restart.learned_state import OFFSET
from indigokeel.hot_restart.snapshot import ClockReading, LearnedState
from tests import faulty_program, peers
from tests.peers import (
    TIMEOUT_S,
    DiscoveryServer,
    Peer,
    Program,
    admin_environment,
    echo,
    entry,
    make_endpoint_list,
    request,
)

NOW = 1_000_000.0  # clock time
UNIX = 1_700_000_000.0  # the true Unix time at clock time NOW
OFFSET_S = NOW - UNIX
HOUR = 3600.0
LIST_AGE = 10.0


# --- start times ------------------------------------------------------------------------------------------


def _create_start_times(step: float = 0.0) -> StartTimes:
    """Return the start times of a process that started while the wall clock was ahead by ``step``."""
    return StartTimes(OFFSET_S - step, LIST_AGE)


def _counted_ages(
    times: StartTimes, now: float, ages: dict[str, float], cached: bool = False
) -> dict[str, float]:
    """Return the counted ages of upstreams with these true ages at clock time ``now``; inf: long ago."""
    listed = {name: 0.0 if age == math.inf else now - OFFSET_S - age for name, age in ages.items()}
    times.record_starts(now, listed, cached)
    starts = {name: times.started(name, since) for name, since in listed.items()}
    return {name: now - start if start else math.inf for name, start in starts.items()}


@pytest.mark.parametrize("cached", [True, False])
@pytest.mark.parametrize(
    ("step", "true_ages", "counted"),
    [
        (0.0, {"a": math.inf, "b": math.inf}, {"a": math.inf, "b": math.inf}),
        (0.0, {"a": math.inf, "b": 0.0, "c": 5.0}, {"a": math.inf, "b": 0.0, "c": 5.0}),
        (0.0, {"a": 90_000.0, "b": 2 * HOUR}, {"a": 90_000.0 - HOUR, "b": HOUR}),  # all of them are warm
        (HOUR, {"a": math.inf, "b": 0.0}, {"a": math.inf, "b": 0.0}),
        (HOUR, {"a": 20_000.0, "b": 2.0}, {"a": 20_000.0, "b": 2.0}),
        (HOUR / 2, {"a": 20_000.0, "b": 2.0}, {"a": 20_000.0 - 2.0, "b": 0.0}),
        (-HOUR, {"a": math.inf, "b": 2.0, "c": 100.0}, {"a": math.inf, "b": 0.0, "c": 0.0}),
        (-HOUR, {"a": 2 * HOUR, "b": 2.0}, {"a": HOUR, "b": 0.0}),
    ],
)
def test_ages_after_the_first_list(
    step: float, true_ages: dict[str, float], counted: dict[str, float], cached: bool
) -> None:
    assert _counted_ages(_create_start_times(step), NOW, true_ages, cached) == pytest.approx(counted)


@given(
    st.floats(-HOUR, HOUR),
    st.lists(st.floats(0.0, 10_000.0), min_size=1, max_size=5),
    st.floats(0.0, 100.0),
    st.booleans(),
)
def test_no_upstream_counts_as_older_than_it_is(
    step: float, ages: list[float], later: float, is_list_lost: bool
) -> None:
    """Holds for clock errors up to an hour. An upstream that appears later may count as older by at most the
    age that a list may have."""
    times = _create_start_times(step)
    true_ages = {str(number): age for number, age in enumerate(ages)}
    for name, age in _counted_ages(times, NOW, true_ages).items():
        assert -0.001 <= age <= true_ages[name] + 0.001
    if is_list_lost:
        times.record_discovery_lost(NOW)
    age = _counted_ages(times, NOW + later, {"new": later / 2.0})["new"]
    assert -0.001 <= age <= later / 2.0 + LIST_AGE + (later if is_list_lost else 0.0) + 0.001


@pytest.mark.parametrize(
    ("step", "age", "lost_for", "counted"),
    [
        (0.0, 0.3, 0.0, 0.3),
        (0.0, 9.0, 0.0, 9.0),
        (HOUR, 0.3, 0.0, 0.0),
        (-HOUR, 0.3, 0.0, 0.0),
        (0.0, 500.0, 0.0, 0.0),  # impossible: the list would have held it before
        (0.0, 500.0, 600.0, 500.0),  # possible: no list was received in that time
        (HOUR, 500.0, 600.0, 0.0),
        (0.0, math.inf, 0.0, math.inf),
    ],
)
@pytest.mark.parametrize("is_known", [True, False])
def test_age_of_a_start_that_appears_in_a_later_list(
    step: float, age: float, lost_for: float, counted: float, is_known: bool
) -> None:
    times, now = _create_start_times(step), NOW + 1000.0
    _counted_ages(times, NOW, {"a": math.inf, **({"b": 20_000.0} if is_known else {})})
    if lost_for:
        times.record_discovery_lost(now - lost_for)
        times.record_discovery_lost(now - 1.0)  # another call that failed
    assert _counted_ages(times, now, {"b": age})["b"] == pytest.approx(counted)
    later = _counted_ages(times, now + 50.0, {"b": age + 50.0})["b"]  # the same start, listed again
    assert later == pytest.approx(counted + 50.0)


def test_start_that_is_listed_again_keeps_its_clock_time() -> None:
    times = _create_start_times()
    _counted_ages(times, NOW, {"a": 5.0, "b": math.inf})
    times.record_starts(NOW + 1.0, {"b": 0.0}, False)
    assert _counted_ages(times, NOW + 500.0, {"a": 505.0})["a"] == pytest.approx(500.0)


def test_next_process_keeps_start_times_after_a_wall_clock_step() -> None:
    old = _create_start_times()
    _counted_ages(old, NOW, {"a": math.inf, "b": 400.0, "c": 2.0})
    snapshot = old.snapshot(NOW + 1.0, ["a", "b", "c"])
    assert snapshot is not None and snapshot.current_at == NOW + 1.0
    for step in (-HOUR, HOUR):
        new = _create_start_times(step)
        new.inherit(snapshot)
        counted = _counted_ages(new, NOW + 3.0, {"a": math.inf, "b": 403.0, "c": 5.0, "d": 1.0})
        assert counted == pytest.approx({"a": math.inf, "b": 401.0, "c": 3.0, "d": 0.0})


def test_start_times_are_kept_for_a_large_fleet_and_bounded() -> None:
    times, names = _create_start_times(), [f"s-{number}" for number in range(5_000)]
    times.record_starts(NOW, dict.fromkeys(names, UNIX - 5.0), False)
    times.forget_unlisted(set(names))
    assert all(times.started(name, UNIX - 5.0) for name in names)
    times.forget_unlisted(set(names[:10]))
    kept = [name for name in names if times.started(name, UNIX - 5.0)]
    assert kept == names[:10] + names[-1024:]


# --- state that one process stores for the next -----------------------------------------------------------

RECORDS = (
    CordonRecord("s-0", True, NOW - 100.0, sequence=7),
    CordonRecord("s-1", False, NOW - 10.0, sequence=9),
)
EXPIRING_RECORD = CordonRecord("s-2", True, NOW - 50.0, "release", NOW + 60.0, 8)
KNOWN = EndpointList(7, True, (Endpoint("s-0", "127.0.0.1", 1000, "z", "m", 1),))
STARTS = StartsSnapshot(NOW - 1.0, {"s-0": (UNIX - 5.0, NOW - 5.0)})
STATE_FILE = snapshot.encode(
    ClockReading(NOW, "b1", OFFSET_S),
    [*RECORDS, EXPIRING_RECORD],
    KNOWN,
    LearnedState({"x": 1}, NOW - 2.0),
    STARTS,
)


@pytest.mark.parametrize("step", [-HOUR, 0.0, HOUR])
def test_state_of_the_same_boot_is_independent_of_the_wall_clock(step: float) -> None:
    found = snapshot.decode(STATE_FILE, ClockReading(NOW + 3.0, "b1", OFFSET_S - step))
    assert found == snapshot.StateSnapshot(
        (*RECORDS, EXPIRING_RECORD), KNOWN, LearnedState({"x": 1}, NOW - 2.0), STARTS
    )


@pytest.mark.parametrize(
    "reading",
    [
        ClockReading(30.0, "b2"),
        ClockReading(30.0, ""),
        ClockReading(NOW + 30.0, "b2"),
        ClockReading(NOW - 30.0, "b1"),
    ],
    ids=["booted", "booted-unknown", "booted-long-ago", "other-clock"],
)
def test_after_a_reboot_cordons_are_kept_and_ages_are_unknown(reading: ClockReading) -> None:
    found = snapshot.decode(STATE_FILE, reading)
    cordoned_record, lifted_record, expiring_record = found.records
    assert (
        cordoned_record.upstream,
        cordoned_record.cordoned,
        cordoned_record.expires_at,
        cordoned_record.sequence,
    ) == (
        "s-0",
        True,
        math.inf,
        7,
    ) and cordoned_record.is_active(reading.clock)
    assert (lifted_record.cordoned, lifted_record.called_at) == (False, reading.clock - 10.0)
    assert expiring_record.expires_at == reading.clock + 60.0  # the time remaining when the file was written
    assert found.known == KNOWN and found.learned is None and found.starts is None


# Written by the program of commit 726529e, whose times are Unix times in seconds: at 1000 s, with s-0
# cordoned at 900 s, s-1 uncordoned at 990 s, and s-2 cordoned at 950 s until 1060 s.
OLDER_FORMAT_FILE = (
    b"indigokeel-handover 1 415 d814b40b1e28fc994c2da5b1e0747ea8092494148715625f3cf9a467a0de0ccc\n"
    b'{"at":1000.0,"learned":{"capacity":[0.0,0.0]},"marks":[{"who":"s-0","out":true,"at":900.0,'
    b'"by":"operator","until":null},{"who":"s-1","out":false,"at":990.0,"by":"operator","until":'
    b'null},{"who":"s-2","out":true,"at":950.0,"by":"release","until":1060.0}],"listed_at":998.0'
    b',"version":7,"machines":[{"name":"s-0","address":"127.0.0.1:1000","zone":"z","type":"m","g'
    b'roup":1,"status":"Ready","weight":1.0,"since_ms":0.0}]}'
)


@pytest.mark.parametrize("step", [-HOUR, 0.0, 1.0, HOUR])
def test_state_of_the_older_program_is_read_and_its_cordons_are_kept(step: float) -> None:
    """Holds even if the wall clock makes the file seem to come from the future."""
    reading = ClockReading(50.0, "b1", 50.0 - (1001.0 + step))
    found = snapshot.decode(OLDER_FORMAT_FILE, reading)
    assert [(record.upstream, record.cordoned, record.sequence) for record in found.records] == [
        ("s-0", True, 900_000_000),
        ("s-1", False, 990_000_000),
        ("s-2", True, 950_000_000),
    ]
    assert found.records[0].is_active(reading.clock) and found.known == KNOWN
    assert (
        all(cordon_record.called_at <= reading.clock for cordon_record in found.records)
        and found.learned is not None
    )
    assert found.learned.figures[OFFSET] == reading.unix_to_clock
    assert found.learned.at == pytest.approx(min(reading.clock - 1.0 - step, reading.clock))


def test_unknown_boot_id_is_empty(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    assert clocks.boot_id()
    monkeypatch.setattr(clocks, "_BOOT_ID", tmp_path / "none")
    assert clocks.boot_id() == ""
    (tmp_path / "none").write_bytes(b"\xff")
    assert clocks.boot_id() == ""


# --- real processes ---------------------------------------------------------------------------------------


@contextlib.contextmanager
def restartable_sidecar(
    tmp: Path, monkeypatch: pytest.MonkeyPatch, count: int, since: Callable[[int], int] = lambda _: 0
) -> Iterator[tuple[Callable[..., Program], list[Peer], DiscoveryServer]]:
    """Run upstreams and discovery; yield them with a function that starts one more sidecar process, which can
    inject faults. The processes share the folder ``state``."""
    monkeypatch.setattr(peers, "start", faulty_program.start)
    (tmp / "state").mkdir()
    upstreams, discovery, programs = [Peer(echo) for _ in range(count)], DiscoveryServer(), list[Program]()
    known = make_endpoint_list(
        *(entry(f"s-{i}", peer.port, since_ms=since(i)) for i, peer in enumerate(upstreams))
    )
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:

        def start(**env: Any) -> Program:
            more = {**admin_environment(tmp / "state"), **env}
            programs.append(Program(tmp, known, discovery.port, 256, listener, **more))
            return programs[-1]

        try:
            yield start, upstreams, discovery
        finally:
            for program in programs:
                with contextlib.suppress(OSError):
                    program.process.kill()
                program.process.wait()
            for peer in (*upstreams, discovery):
                peer.close()


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_cordon_survives_a_wall_clock_step_between_two_processes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    with restartable_sidecar(tmp_path, monkeypatch, 3) as (start, upstreams, _):
        old = start()
        assert old.call_admin("PUT", "cordon", "s-0") == 200
        new = start(FAULT_WALL_STEP_S=str(step))
        old.process.terminate()
        assert old.process.wait(TIMEOUT_S) == 0
        count_before = len(upstreams[0].received)
        for _ in range(40):
            assert new.exchange(request())[0] == 200
        assert len(upstreams[0].received) == count_before and "state_files_unreadable" not in new.counters()


def test_state_is_still_written_after_the_wall_clock_went_back_and_during_shutdown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def names() -> set[str]:
        return {path.name for path in tmp_path.glob("state/*.handover.*[0-9]")}

    with restartable_sidecar(tmp_path, monkeypatch, 1) as (start, _, _d):
        stepped = tmp_path / "stepped"
        program = start(FAULT_WALL_STEP_S=str(-HOUR), FAULT_WALL_STEP_WHEN=str(stepped))
        peers.until(lambda: bool(names()))
        stepped.touch()
        for _ in range(2):  # the first new file may have been in progress already
            before = names()
            peers.until(lambda old=before: not old & names())  # type: ignore[misc]
        with program.connect():  # an idle connection, which stays open at first during shutdown
            peers.until(lambda: program.counters()["client_connections_open"] == 1)
            program.process.terminate()
            peers.until(lambda: "stopping" in program.log.read_text())
            ending = names()
            assert program.process.wait(TIMEOUT_S) == 0
        assert not ending & names()


def test_wall_clock_is_read_in_one_place() -> None:
    readers = ("time.time(", "time_ns", "datetime", "CLOCK_REALTIME", "localtime", "gmtime")
    package = peers.ROOT / "indigokeel"
    found = {
        path.name for path in package.rglob("*.py") if any(reader in path.read_text() for reader in readers)
    }
    assert found == {"clocks.py"}


def _share(program: Program, upstream: Peer, requests: int) -> float:
    count_before = len(upstream.received)
    for number in range(requests):
        assert program.exchange(request(key=f"k{number}"))[0] == 200
    return (len(upstream.received) - count_before) / requests


@pytest.mark.parametrize("step", [-HOUR, 0.0, HOUR])
def test_upstream_that_just_started_is_cold_whatever_the_wall_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    """The even share is 0.2. With SETTINGS a cold upstream gets 0.35 of that; a clock error of an hour would
    give it the full share."""
    just_now = int(time.time() * 1000)
    with restartable_sidecar(tmp_path, monkeypatch, 5, lambda i: 0 if i else just_now) as (
        start,
        upstreams,
        _,
    ):
        program = start(FAULT_WALL_STEP_S=str(step))
        assert _share(program, upstreams[0], 250) < 0.12


@pytest.mark.parametrize("step", [-HOUR, 0.0, HOUR])
def test_upstream_that_starts_later_is_cold_whatever_the_wall_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    with restartable_sidecar(tmp_path, monkeypatch, 5) as (start, upstreams, discovery):
        program = start(FAULT_WALL_STEP_S=str(step))
        whole = make_endpoint_list(*(entry(f"s-{i}", peer.port) for i, peer in enumerate(upstreams)), index=2)
        discovery.push(json.dumps(whole).encode())
        change = entry("s-0", upstreams[0].port, since_ms=int(time.time() * 1000))
        discovery.push(json.dumps(make_endpoint_list(change, index=3, snapshot=False)).encode())
        peers.until(lambda: program.counters().get("endpoint_lists") == 2)
        assert _share(program, upstreams[0], 250) < 0.12
