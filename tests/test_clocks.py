"""Clocks that are set and machines that boot: what counts as started when, and what passes from one process
to the next; then real processes whose wall clock is an hour off."""

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
    WAIT,
    DiscoveryClient,
    Peer,
    Program,
    echo,
    entry,
    operators,
    parse_endpoint_list,
    request,
)

NOW = 1_000_000.0  # clock time
UNIX = 1_700_000_000.0  # the true Unix time just then
OFFSET_S = NOW - UNIX
HOUR = 3600.0
LIST_AGE = 10.0


# --- start times ------------------------------------------------------------------------------------------


def _times(step: float = 0.0) -> StartTimes:
    """Of a process that starts while the wall clock is ahead by ``step``."""
    return StartTimes(OFFSET_S - step, LIST_AGE)


def _ages(times: StartTimes, now: float, ages: dict[str, float], cached: bool = False) -> dict[str, float]:
    """How old upstreams count that started so long before clock time ``now``; inf for long ago."""
    listed = {name: 0.0 if age == math.inf else now - OFFSET_S - age for name, age in ages.items()}
    times.note(now, listed, cached)
    starts = {name: times.started(name, since) for name, since in listed.items()}
    return {name: now - start if start else math.inf for name, start in starts.items()}


@pytest.mark.parametrize("cached", [True, False])
@pytest.mark.parametrize(
    ("step", "true", "counted"),
    [
        (0.0, {"a": math.inf, "b": math.inf}, {"a": math.inf, "b": math.inf}),
        (0.0, {"a": math.inf, "b": 0.0, "c": 5.0}, {"a": math.inf, "b": 0.0, "c": 5.0}),
        (0.0, {"a": 90_000.0, "b": 2 * HOUR}, {"a": 90_000.0 - HOUR, "b": HOUR}),  # warm, all of them
        (HOUR, {"a": math.inf, "b": 0.0}, {"a": math.inf, "b": 0.0}),
        (HOUR, {"a": 20_000.0, "b": 2.0}, {"a": 20_000.0, "b": 2.0}),
        (HOUR / 2, {"a": 20_000.0, "b": 2.0}, {"a": 20_000.0 - 2.0, "b": 0.0}),
        (-HOUR, {"a": math.inf, "b": 2.0, "c": 100.0}, {"a": math.inf, "b": 0.0, "c": 0.0}),
        (-HOUR, {"a": 2 * HOUR, "b": 2.0}, {"a": HOUR, "b": 0.0}),
    ],
)
def test_first_list(step: float, true: dict[str, float], counted: dict[str, float], cached: bool) -> None:
    assert _ages(_times(step), NOW, true, cached) == pytest.approx(counted)


@given(
    st.floats(-HOUR, HOUR),
    st.lists(st.floats(0.0, 10_000.0), min_size=1, max_size=5),
    st.floats(0.0, 100.0),
    st.booleans(),
)
def test_no_upstream_counts_as_older_than_it_is(
    step: float, ages: list[float], later: float, lost: bool
) -> None:
    """Whatever the clock's error up to an hour; what appears later may by the age that a list may have."""
    times = _times(step)
    true = {str(number): age for number, age in enumerate(ages)}
    for name, age in _ages(times, NOW, true).items():
        assert -0.001 <= age <= true[name] + 0.001
    if lost:
        times.list_lost(NOW)
    age = _ages(times, NOW + later, {"new": later / 2.0})["new"]
    assert -0.001 <= age <= later / 2.0 + LIST_AGE + (later if lost else 0.0) + 0.001


@pytest.mark.parametrize(
    ("step", "age", "lost_for", "counted"),
    [
        (0.0, 0.3, 0.0, 0.3),
        (0.0, 9.0, 0.0, 9.0),
        (HOUR, 0.3, 0.0, 0.0),
        (-HOUR, 0.3, 0.0, 0.0),
        (0.0, 500.0, 0.0, 0.0),  # it cannot have been there so long: the list would have had it
        (0.0, 500.0, 600.0, 500.0),  # ... but was not heard
        (HOUR, 500.0, 600.0, 0.0),
        (0.0, math.inf, 0.0, math.inf),
    ],
)
@pytest.mark.parametrize("known_before", [True, False])
def test_start_that_appears_while_lists_come(
    step: float, age: float, lost_for: float, counted: float, known_before: bool
) -> None:
    times, now = _times(step), NOW + 1000.0
    _ages(times, NOW, {"a": math.inf, **({"b": 20_000.0} if known_before else {})})
    if lost_for:
        times.list_lost(now - lost_for)
        times.list_lost(now - 1.0)  # a further call that failed
    assert _ages(times, now, {"b": age})["b"] == pytest.approx(counted)
    later = _ages(times, now + 50.0, {"b": age + 50.0})["b"]  # listed again: the same start
    assert later == pytest.approx(counted + 50.0)


def test_start_that_is_listed_again_stays_as_it_was_mapped() -> None:
    times = _times()
    _ages(times, NOW, {"a": 5.0, "b": math.inf})
    times.note(NOW + 1.0, {"b": 0.0}, False)
    assert _ages(times, NOW + 500.0, {"a": 505.0})["a"] == pytest.approx(500.0)


def test_next_process_keeps_the_starts_though_the_wall_clock_stepped() -> None:
    old = _times()
    _ages(old, NOW, {"a": math.inf, "b": 400.0, "c": 2.0})
    snapshot = old.snapshot(NOW + 1.0, ["a", "b", "c"])
    assert snapshot is not None and snapshot.current_at == NOW + 1.0
    for step in (-HOUR, HOUR):
        new = _times(step)
        new.inherit(snapshot)
        counted = _ages(new, NOW + 3.0, {"a": math.inf, "b": 403.0, "c": 5.0, "d": 1.0})
        assert counted == pytest.approx({"a": math.inf, "b": 401.0, "c": 3.0, "d": 0.0})


def test_starts_are_kept_for_a_large_fleet_and_bounded() -> None:
    times, names = _times(), [f"s-{number}" for number in range(5_000)]
    times.note(NOW, dict.fromkeys(names, UNIX - 5.0), False)
    times.forget_unlisted(set(names))
    assert all(times.started(name, UNIX - 5.0) for name in names)
    times.forget_unlisted(set(names[:10]))
    kept = [name for name in names if times.started(name, UNIX - 5.0)]
    assert kept == names[:10] + names[-1024:]


# --- what one process leaves for the next -----------------------------------------------------------------

MARKS = (
    CordonRecord("s-0", True, NOW - 100.0, sequence=7),
    CordonRecord("s-1", False, NOW - 10.0, sequence=9),
)
ENDS = CordonRecord("s-2", True, NOW - 50.0, "release", NOW + 60.0, 8)
KNOWN = EndpointList(7, True, (Endpoint("s-0", "127.0.0.1", 1000, "z", "m", 1),))
STARTS = StartsSnapshot(NOW - 1.0, {"s-0": (UNIX - 5.0, NOW - 5.0)})
LEFT = snapshot.encode(
    ClockReading(NOW, "b1", OFFSET_S), [*MARKS, ENDS], KNOWN, LearnedState({"x": 1}, NOW - 2.0), STARTS
)


@pytest.mark.parametrize("step", [-HOUR, 0.0, HOUR])
def test_state_of_the_same_boot_is_read_as_it_was_whatever_the_wall_clock_does(step: float) -> None:
    found = snapshot.decode(LEFT, ClockReading(NOW + 3.0, "b1", OFFSET_S - step))
    assert found == snapshot.StateSnapshot((*MARKS, ENDS), KNOWN, LearnedState({"x": 1}, NOW - 2.0), STARTS)


@pytest.mark.parametrize(
    "here",
    [
        ClockReading(30.0, "b2"),
        ClockReading(30.0, ""),
        ClockReading(NOW + 30.0, "b2"),
        ClockReading(NOW - 30.0, "b1"),
    ],
    ids=["booted", "booted-unknown", "booted-long-ago", "other-clock"],
)
def test_after_a_boot_cordons_stay_and_ages_are_unknown(here: ClockReading) -> None:
    found = snapshot.decode(LEFT, here)
    out, back, ends = found.records
    assert (out.upstream, out.cordoned, out.expires_at, out.sequence) == (
        "s-0",
        True,
        math.inf,
        7,
    ) and out.is_active(here.clock)
    assert (back.cordoned, back.called_at) == (False, here.clock - 10.0)
    assert ends.expires_at == here.clock + 60.0  # what was left as it was written
    assert found.known == KNOWN and found.learned is None and found.starts is None


# Written by the program of commit 726529e, whose times are Unix seconds: at 1000 s, s-0 taken out at 900 s,
# s-1 given back at 990 s, s-2 taken out at 950 s until 1060 s.
FIRST_FORM = (
    b"indigokeel-handover 1 415 d814b40b1e28fc994c2da5b1e0747ea8092494148715625f3cf9a467a0de0ccc\n"
    b'{"at":1000.0,"learned":{"capacity":[0.0,0.0]},"marks":[{"who":"s-0","out":true,"at":900.0,'
    b'"by":"operator","until":null},{"who":"s-1","out":false,"at":990.0,"by":"operator","until":'
    b'null},{"who":"s-2","out":true,"at":950.0,"by":"release","until":1060.0}],"listed_at":998.0'
    b',"version":7,"machines":[{"name":"s-0","address":"127.0.0.1:1000","zone":"z","type":"m","g'
    b'roup":1,"status":"Ready","weight":1.0,"since_ms":0.0}]}'
)


@pytest.mark.parametrize("step", [-HOUR, 0.0, 1.0, HOUR])
def test_state_of_the_older_program_is_read_and_its_cordons_kept(step: float) -> None:
    """Also where the wall clock says that it is from the future."""
    here = ClockReading(50.0, "b1", 50.0 - (1001.0 + step))
    found = snapshot.decode(FIRST_FORM, here)
    assert [(m.upstream, m.cordoned, m.sequence) for m in found.records] == [
        ("s-0", True, 900_000_000),
        ("s-1", False, 990_000_000),
        ("s-2", True, 950_000_000),
    ]
    assert found.records[0].is_active(here.clock) and found.known == KNOWN
    assert all(mark.called_at <= here.clock for mark in found.records) and found.learned is not None
    assert found.learned.figures[OFFSET] == here.unix_to_clock
    assert found.learned.at == pytest.approx(min(here.clock - 1.0 - step, here.clock))


def test_boot_that_the_system_does_not_tell(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    assert clocks.boot_id()
    monkeypatch.setattr(clocks, "_BOOT_ID", tmp_path / "none")
    assert clocks.boot_id() == ""
    (tmp_path / "none").write_bytes(b"\xff")
    assert clocks.boot_id() == ""


# --- real processes ---------------------------------------------------------------------------------------


@contextlib.contextmanager
def site(
    tmp: Path, monkeypatch: pytest.MonkeyPatch, count: int, since: Callable[[int], int] = lambda _: 0
) -> Iterator[tuple[Callable[..., Program], list[Peer], DiscoveryClient]]:
    """Upstreams, and a call that starts a process with faults round it beside those before. The processes
    share the folder ``state``."""
    monkeypatch.setattr(peers, "start", faulty_program.start)
    (tmp / "state").mkdir()
    upstreams, discovery, programs = [Peer(echo) for _ in range(count)], DiscoveryClient(), list[Program]()
    known = parse_endpoint_list(
        *(entry(f"s-{i}", peer.port, since_ms=since(i)) for i, peer in enumerate(upstreams))
    )
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:

        def start(**env: Any) -> Program:
            more = {**operators(tmp / "state"), **env}
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
def test_cordon_holds_though_the_wall_clock_steps_between_two_processes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    with site(tmp_path, monkeypatch, 3) as (start, upstreams, _):
        old = start()
        assert old.call("PUT", "cordon", "s-0") == 200
        new = start(FAULT_WALL_STEP_S=str(step))
        old.process.terminate()
        assert old.process.wait(WAIT) == 0
        had = len(upstreams[0].got)
        for _ in range(40):
            assert new.ask(request())[0] == 200
        assert len(upstreams[0].got) == had and "state_files_unreadable" not in new.counters()


def test_state_is_written_on_though_the_wall_clock_went_back_and_while_the_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def names() -> set[str]:
        return {path.name for path in tmp_path.glob("state/*.handover.*[0-9]")}

    with site(tmp_path, monkeypatch, 1) as (start, _, _d):
        stepped = tmp_path / "stepped"
        program = start(FAULT_WALL_STEP_S=str(-HOUR), FAULT_WALL_STEP_WHEN=str(stepped))
        peers.until(lambda: bool(names()))
        stepped.touch()
        for _ in range(2):  # one may have been on its way
            before = names()
            peers.until(lambda old=before: not old & names())  # type: ignore[misc]
        with program.connect():  # kept while it stands idle, as any connection is
            peers.until(lambda: program.counters()["client_connections_open"] == 1)
            program.process.terminate()
            peers.until(lambda: "stopping" in program.log.read_text())
            ending = names()
            assert program.process.wait(WAIT) == 0
        assert not ending & names()


def test_wall_clock_is_read_in_one_place() -> None:
    readers = ("time.time(", "time_ns", "datetime", "CLOCK_REALTIME", "localtime", "gmtime")
    package = peers.ROOT / "indigokeel"
    found = {
        path.name for path in package.rglob("*.py") if any(reader in path.read_text() for reader in readers)
    }
    assert found == {"clocks.py"}


def _share(program: Program, upstream: Peer, requests: int) -> float:
    had = len(upstream.got)
    for number in range(requests):
        assert program.ask(request(key=f"k{number}"))[0] == 200
    return (len(upstream.got) - had) / requests


@pytest.mark.parametrize("step", [-HOUR, 0.0, HOUR])
def test_upstream_that_has_just_started_is_cold_whatever_the_wall_clock_says(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    """Its even part is 0.2. SETTINGS let it have 0.35 of that, and an hour's error would let it have all."""
    just_now = int(time.time() * 1000)
    with site(tmp_path, monkeypatch, 5, lambda i: 0 if i else just_now) as (start, upstreams, _):
        program = start(FAULT_WALL_STEP_S=str(step))
        assert _share(program, upstreams[0], 250) < 0.12


@pytest.mark.parametrize("step", [-HOUR, 0.0, HOUR])
def test_upstream_that_starts_later_is_cold_whatever_the_wall_clock_says(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    with site(tmp_path, monkeypatch, 5) as (start, upstreams, discovery):
        program = start(FAULT_WALL_STEP_S=str(step))
        whole = parse_endpoint_list(
            *(entry(f"s-{i}", peer.port) for i, peer in enumerate(upstreams)), index=2
        )
        discovery.push(json.dumps(whole).encode())
        change = entry("s-0", upstreams[0].port, since_ms=int(time.time() * 1000))
        discovery.push(json.dumps(parse_endpoint_list(change, index=3, whole=False)).encode())
        peers.until(lambda: program.counters().get("endpoint_lists") == 2)
        assert _share(program, upstreams[0], 250) < 0.12
