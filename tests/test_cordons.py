"""Tests of cordons as a layer over the endpoint list, and of the state that a process passes to the next."""

from __future__ import annotations

import hashlib
import math
import os
import time
from dataclasses import replace
from pathlib import Path

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from indigokeel.balancing.events import AttemptOutcome, EndpointState, LoadReport
from indigokeel.endpoints.cordons import CordonRecord, Cordons
from indigokeel.endpoints.endpoint_list import Endpoint, EndpointList, encode_endpoint, parse_endpoint_list
from indigokeel.hot_restart import snapshot
from indigokeel.hot_restart.snapshot import ClockReading, LearnedState, SnapshotError
from indigokeel.hot_restart.state_files import StateFiles
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Effects, Request
from tests.conftest import make_settings

NOW = 1_000_000.0
HERE = ClockReading(NOW, "boot")  # clock time and boot identifier of the machine that the tests stand for
ENDPOINTS = tuple(Endpoint(f"s-{i}", "127.0.0.1", 1000 + i, replica_group=1) for i in range(3))


def _coordinator() -> RequestCoordinator:
    coordinator = RequestCoordinator(make_settings(), 1, 0.0)
    coordinator.update_endpoints(NOW, EndpointList(1, True, ENDPOINTS), cached=True)
    return coordinator


def _upstreams_used(coordinator: RequestCoordinator, now: float, count: int = 60) -> set[str]:
    """Return the upstreams that a number of requests are sent to."""
    upstreams = set()
    for number in range(count):
        effects = coordinator.pick(now, Request(f"{now}-{number}", "view", 1.0))
        upstreams |= {attempt.upstream for attempt in effects.attempts}
        coordinator.report(now, effects.attempts[0], AttemptOutcome.OK)
    return upstreams


def test_cordoned_upstream_stays_out_of_service_whatever_lists_say() -> None:
    coordinator = _coordinator()
    effects = coordinator.cordon(NOW, "s-1")
    assert effects is not None and effects.drain_connections == ["s-1"]
    assert coordinator.cordon(NOW, "s-1") is not None  # a repeated call succeeds as well
    moved = replace(ENDPOINTS[1], port=2000, since=NOW + 1.0)
    for update in (
        EndpointList(2, True, ENDPOINTS),
        EndpointList(3, False, (moved,)),
        EndpointList(4, False, (replace(ENDPOINTS[1], state=EndpointState.GONE),)),
        EndpointList(5, False, (moved,)),
    ):
        coordinator.update_endpoints(NOW + 1.0, update)
        assert coordinator.address("s-1") is None
    assert _upstreams_used(coordinator, NOW + 1.0) == {"s-0", "s-2"}
    # One call lifts the cordon, however many calls set it.
    assert coordinator.uncordon(NOW + 2.0, "s-1") is not None
    assert coordinator.address("s-1") == ("127.0.0.1", 2000)
    assert _upstreams_used(coordinator, NOW + 2.0) == {"s-0", "s-1", "s-2"}


def _start_times(coordinator: RequestCoordinator) -> dict[str, float]:
    """Return the start time that the balancer assumes for each upstream."""
    return {
        name: upstream.member.started
        for name, upstream in coordinator._balancer.learned_statistics().upstreams.items()
    }


def test_known_cordon_records_do_not_reach_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an endpoint list rebuilt for each state file of another process, once a second."""
    coordinator = _coordinator()
    coordinator.cordon(NOW, "s-1")
    monkeypatch.setattr(coordinator._balancer, "handle", None)
    for effects in (
        coordinator.merge_cordons(NOW, coordinator.cordons.records()),
        coordinator.cordon(NOW, "s-1"),
    ):
        assert effects == Effects()


def test_attempt_picked_before_the_cordon_may_not_begin_after_it() -> None:
    coordinator = _coordinator()
    attempt = coordinator.pick(NOW, Request("j", "view", 1.0)).attempts[0]
    coordinator.cordon(NOW, attempt.upstream)
    assert not coordinator.may_send_attempt(NOW, attempt)


def test_unknown_ids_are_rejected_and_cordoned_ids_that_left_the_list_are_accepted() -> None:
    coordinator = _coordinator()
    assert coordinator.cordon(NOW, "s-9") is None and coordinator.uncordon(NOW, "s-9") is None
    coordinator.cordon(NOW, "s-0")
    coordinator.update_endpoints(NOW, EndpointList(2, True, ENDPOINTS[1:]))
    assert coordinator.uncordon(NOW, "s-0") is not None
    # Back in the list, the upstream is in service: the cordon was lifted and does not return.
    coordinator.update_endpoints(NOW, EndpointList(3, True, ENDPOINTS))
    assert coordinator.address("s-0") is not None


def test_uncordoned_upstream_counts_as_just_started_and_warms_up() -> None:
    coordinator = _coordinator()
    coordinator.update_endpoints(NOW, EndpointList(1, True, ENDPOINTS))
    coordinator.cordon(NOW, "s-0")
    coordinator.uncordon(NOW + 3.0, "s-0")
    assert _start_times(coordinator) == {"s-0": NOW + 3.0, "s-1": 0.0, "s-2": 0.0}
    coordinator.update_endpoints(
        NOW + 10.0, EndpointList(2, False, (replace(ENDPOINTS[0], since=NOW + 9.0),))
    )
    assert _start_times(coordinator)["s-0"] == NOW + 9.0


def test_cordon_with_an_expiry_ends_by_itself() -> None:
    coordinator = _coordinator()
    effects = coordinator.merge_cordons(NOW, [CordonRecord("s-0", True, NOW, "release", NOW + 5.0)])
    assert isinstance(effects, Effects) and coordinator.address("s-0") is None
    assert coordinator.next_deadline() == NOW + 5.0
    coordinator.tick(NOW + 5.0)
    assert coordinator.address("s-0") is not None


_record_lists = st.lists(
    st.builds(
        CordonRecord,
        st.sampled_from(["a", "b"]),
        st.booleans(),
        st.just(1.0),
        sequence=st.sampled_from([1, 2, 3]),
    ),
    max_size=8,
)


@given(_record_lists, _record_lists)
def test_processes_agree_once_they_have_exchanged_their_records(
    left: list[CordonRecord], right: list[CordonRecord]
) -> None:
    one, two = Cordons(), Cordons()
    one.merge(left)
    two.merge(right)
    one.merge(two.records())
    theirs = {record.upstream: record for record in two.records()}
    assert one.has_newer_than(two.records()) == (
        {record.upstream: record for record in one.records()} != theirs
    )
    two.merge(one.records())
    assert not two.has_newer_than(one.records())
    assert {m.upstream: m for m in one.records()} == {m.upstream: m for m in two.records()}
    assert one.merge(two.records()) == []


def test_later_call_wins_although_the_clock_went_back() -> None:
    one, two = Cordons(), Cordons()
    one.cordon("s", 100.0)
    two.merge(one.records())
    two.uncordon("s", 50.0)
    one.merge(two.records())
    assert not one.is_active("s", 100.0)


RECORD = CordonRecord("s-0", True, NOW - 1.0, sequence=3)
STATE = snapshot.encode(HERE, [RECORD], EndpointList(7, True, ENDPOINTS), LearnedState({"a": 1}, NOW - 2.0))


def test_state_snapshot_is_decoded_as_it_was_encoded() -> None:
    learned_state = LearnedState({"a": 1}, NOW - 2.0)
    assert snapshot.decode(STATE, HERE) == snapshot.StateSnapshot(
        (RECORD,), EndpointList(7, True, ENDPOINTS), learned_state
    )
    old = snapshot.encode(HERE, [CordonRecord("a", False, NOW - 700.0), CordonRecord("b", True, NOW - 700.0)])
    assert [each.upstream for each in snapshot.decode(old, HERE).records] == ["b"]


def _forged(body: bytes, version: int = 1) -> bytes:
    return (
        b"indigokeel-handover %d %d %s\n"
        % (
            version,
            len(body),
            hashlib.sha256(body).hexdigest().encode(),
        )
        + body
    )


_LIST_END_JSON = b'"version":1,"listed_at":1}'
_RECORD_JSON = b'{"marks":[{"who":"a","out":true,"at":%s,"by":"x","until":null}]}'


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\n",
        STATE[:-1],
        STATE + b"x",
        STATE.replace(b"s-0", b"s-9", 1),
        STATE.replace(b"handover 1", b"handover 2", 1),
        b"#!/bin/sh\n",
        b"x" * (snapshot.MAX_BYTES + 1),
        _forged(b"[]"),
        _forged(b"{}"),
        _forged(b'{"marks":[{}]}'),
        _forged(_RECORD_JSON % b'"soon"'),
        _forged(_RECORD_JSON % b"1e300"),
        _forged(_RECORD_JSON % b"-1"),
        _forged(b'{"marks":[],"machines":[[1]],"version":1,"listed_at":1}'),
        _forged(
            b'{"marks":[],"machines":[{"name":"a","address":"h:99999","status":"Ready"}],' + _LIST_END_JSON
        ),
        _forged(b'{"marks":[],"machines":[{"name":"a","address":"h:1","status":"odd"}],' + _LIST_END_JSON),
        _forged(b'{"marks":[],"machines":[],"version":1,"listed_at":-1}'),
        _forged(b'{"marks":[],"clock":[]}'),
        _forged(b'{"marks":[],"clock":{"boot":"boot","at":-1}}'),
        _forged(b'{"marks":[],"clock":{"boot":"boot","at":1,"current_at":1,"starts":{"a":[1]}}}'),
        _forged(_RECORD_JSON[:-1] % b"1" + b',"clock":{"boot":"boot","at":1}}'),
        _forged(b"[" * 100_000),
    ],
)
def test_invalid_state_snapshot_is_rejected(data: bytes) -> None:
    with pytest.raises(SnapshotError):
        snapshot.decode(data, HERE)


@given(
    st.builds(
        Endpoint,
        st.text(min_size=1),
        st.sampled_from(["127.0.0.1", "::1"]),
        st.integers(1, 65535),
        st.text(),
        st.text(),
        st.integers(-1, 9),
        st.sampled_from([EndpointState.SERVING, EndpointState.DRAINING]),
        st.floats(0.0, 9.0),
        st.integers(0, 2_000_000_000_000).map(lambda ms: ms / 1000.0),
    )
)
def test_endpoint_is_read_as_it_was_written(endpoint: Endpoint) -> None:
    """Guards against a start time that is not kept to the bit: the upstream would count as restarted."""
    data = orjson.loads(orjson.dumps(encode_endpoint(endpoint)))
    assert parse_endpoint_list({"index": 1, "snapshot": True, "endpoints": [data]}).endpoints == (endpoint,)


def test_forged_state_snapshot_of_the_right_shape_is_read() -> None:
    listed = _forged(
        b'{"marks":[],"machines":[{"name":"a","address":"h:1","status":"Ready"}],' + _LIST_END_JSON
    )
    assert snapshot.decode(listed, HERE).known == EndpointList(1, True, (Endpoint("a", "h", 1),))
    decoded = snapshot.decode(_forged(_RECORD_JSON % b"1"), HERE).records
    assert decoded == (CordonRecord("a", True, 1.0, "x", math.inf, 1_000_000),)


# --- learned state ----------------------------------------------------------------------------------------


def _serve_mixed_load(coordinator: RequestCoordinator) -> None:
    """Serve requests: s-0 is slow and reports high utilisation, s-1 is sound, s-2 fails after a while."""
    for number in range(300):
        now = NOW + number * 0.01
        effects = coordinator.pick(now, Request(f"b{number}", "view", 1.0, key=f"k{number % 7}"))
        if not effects.attempts:
            continue
        attempt = effects.attempts[0]
        latency_s = {"s-0": 0.3, "s-1": 0.02, "s-2": 0.05}[attempt.upstream]
        outcome = AttemptOutcome.ERROR if attempt.upstream == "s-2" and number > 150 else AttemptOutcome.OK
        coordinator.report(
            now + latency_s, attempt, outcome, LoadReport(rate=10.0, utilisation=latency_s * 2)
        )
        coordinator.client_disconnected(now + latency_s, attempt.request_id)


def test_next_process_starts_from_the_learned_state() -> None:
    # The wall clock was set between the two starts.
    old, new = _coordinator(), RequestCoordinator(make_settings(), 2, 500.0)
    _serve_mixed_load(old)
    now = NOW + 3.0
    new.update_endpoints(now, EndpointList(1, True, ENDPOINTS), cached=True)
    learned = LearnedState(old.export_learned_state(now), now)
    data = snapshot.encode(ClockReading(now, "boot"), [], None, learned)
    restored = snapshot.decode(data, ClockReading(now + 1.0, "boot")).learned
    assert (
        restored is not None
        and restored.at == now
        and new.restore_learned_state(now, restored.figures).log_messages == []
    )
    before, after = old.export_learned_state(now), new.export_learned_state(now)
    assert before is not None and after is not None
    assert after["classes"] == before["classes"] and sorted(after["keys"]) == sorted(before["keys"])
    assert after["capacity"] == before["capacity"]
    for name, (started, capacity, reports, health, ejection) in before["nodes"].items():
        actual = after["nodes"][name]
        assert actual[:2] == [started, capacity] and actual[4] == (ejection and pytest.approx(ejection))
        assert actual[3] == pytest.approx(health) and actual[2][:2] == pytest.approx(reports[:2])


def test_upstream_that_has_restarted_takes_over_no_learned_statistics() -> None:
    old, new = _coordinator(), RequestCoordinator(make_settings(), 2, 0.0)
    _serve_mixed_load(old)
    restarted = (replace(ENDPOINTS[0], since=NOW + 2.0), *ENDPOINTS[1:])
    new.update_endpoints(NOW + 3.0, EndpointList(2, True, restarted), cached=True)
    new.restore_learned_state(NOW + 3.0, old.export_learned_state(NOW + 3.0))
    after = new.export_learned_state(NOW + 3.0)
    assert after is not None
    assert after["nodes"]["s-0"][2:] == [None, None, None] and after["nodes"]["s-1"][2] is not None


@pytest.mark.parametrize(
    "invalid",
    [
        {"classes": {"view": [-1.0, 0.0]}},
        {"classes": {"view": ["soon", 0.0]}},
        {"capacity": [1.0, 1e9]},
        {"capacity": None},
        {"keys": [["a", 1.0]]},
        {"keys": [[1, -5.0]]},
        {"nodes": {"s-0": []}},
        {"nodes": {"s-0": [0.0, [1.0, 1.0], [1.0, 2.0], None, None]}},
        {"nodes": {"s-0": [0.0, [1.0, 1.0], None, [0.0, True, 0.0], None]}},
    ],
)
def test_invalid_learned_state_is_reported_and_harmless(invalid: dict[str, object]) -> None:
    coordinator = _coordinator()
    valid = coordinator.export_learned_state(NOW)
    assert valid is not None and coordinator.restore_learned_state(NOW, valid).log_messages == []
    notes = coordinator.restore_learned_state(NOW, {**valid, **invalid}).log_messages
    assert len(notes) == 1 and notes[0].startswith("learned state of the previous process ignored")
    assert (
        coordinator.restore_learned_state(NOW, None).log_messages
        and coordinator.restore_learned_state(NOW, []).log_messages
    )
    assert _upstreams_used(coordinator, NOW + 1.0)


# --- state files ------------------------------------------------------------------------------------------


def test_processes_read_each_others_files_once_and_keep_one_file_each(tmp_path: Path) -> None:
    one, two = StateFiles(str(tmp_path), "n/0"), StateFiles(str(tmp_path), "n/0")
    for _ in range(3):
        one.write(STATE)
    assert one.list_unread(NOW) == [] and len(os.listdir(tmp_path)) == 1
    (name,) = two.list_unread(NOW)
    assert two.read(name, HERE) == snapshot.decode(STATE, HERE) and two.list_unread(NOW) == []
    two.write(STATE)
    assert len(os.listdir(tmp_path)) == 2 and len(one.list_unread(NOW)) == 1
    assert two.read("indigokeel-n_0.handover.9-9", HERE) is None  # it no longer exists


def test_read_files_of_ended_processes_are_removed_after_a_while(tmp_path: Path) -> None:
    """A file's age counts from when this process first listed it, so that no other clock is compared."""
    files = StateFiles(str(tmp_path), "n0")
    prefix = "indigokeel-n0.handover."
    foreign = tmp_path / "indigokeel-n1.handover.3-3"
    leftovers = [tmp_path / (prefix + suffix) for suffix in ("5-5", f"{time.time_ns()}-6", "7-7~")]
    for path in (*leftovers, foreign):
        path.write_bytes(STATE)
    unread, read, partial = (path.name for path in leftovers)
    assert files.list_unread(NOW) == [read, unread]
    assert files.read(read, HERE)
    files.write(STATE)
    files.list_unread(NOW + 29.9)
    files.remove_leftovers(NOW + 29.9)
    assert len(os.listdir(tmp_path)) == 5
    files.list_unread(NOW + 30.0)
    files.remove_leftovers(NOW + 30.0)
    assert not (tmp_path / read).exists() and not (tmp_path / partial).exists()
    assert leftovers[0].exists() and foreign.exists() and len(os.listdir(tmp_path)) == 3


@pytest.mark.parametrize("step", [-3600 * 10**9, 3600 * 10**9])
def test_newest_file_is_read_first_whatever_the_wall_clock_shows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    # Older versions put Unix nanoseconds into the name.
    (tmp_path / f"indigokeel-n0.handover.{time.time_ns()}-1").write_bytes(STATE)
    one, two, reader = (StateFiles(str(tmp_path), "n0") for _ in range(3))
    monkeypatch.setattr(os, "getpid", lambda: 8)
    one.list_unread(NOW)
    one.write(STATE)
    stepped = time.time_ns() + step
    monkeypatch.setattr(time, "time_ns", lambda: stepped)
    monkeypatch.setattr(os, "getpid", lambda: 7)
    two.list_unread(NOW)
    two.write(STATE)
    assert [name.rpartition("-")[2] for name in reader.list_unread(NOW)] == ["7", "8", "1"]


def test_file_is_never_renamed_over_another(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a flush by the file system on replacing a file: it blocked the loop for 0.1 to 0.3 s."""
    target_existed: list[bool] = []
    rename = Path.rename

    def recorded(old: Path, new: Path) -> Path:
        target_existed.append(new.exists())
        return rename(old, new)

    monkeypatch.setattr(Path, "replace", None)
    monkeypatch.setattr(Path, "rename", recorded)
    files = StateFiles(str(tmp_path), "n0")
    for _ in range(5):
        files.write(STATE)
    assert target_existed == [False] * 5


def test_missing_folder_is_an_error_on_write_and_empty_on_read(tmp_path: Path) -> None:
    with pytest.raises(OSError):
        StateFiles(str(tmp_path / "none"), "n0").write(STATE)
    assert StateFiles(str(tmp_path / "none"), "n0").list_unread(NOW) == []
