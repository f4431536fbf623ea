"""The operators' layer over the machine list, and what one process leaves for the next. No I/O."""

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

from indigokeel import handover
from indigokeel.cordons import Cordons, Mark
from indigokeel.decision.interface import State
from indigokeel.facade import Facade
from indigokeel.handover import HandoverError, Learned, Moment
from indigokeel.machine_list import Machine, MachineList, entry, machine_list
from indigokeel.net.handover_file import HandoverFiles
from indigokeel.orders import Job, Orders, Outcome
from tests.conftest import make_settings

NOW = 1_000_000.0
HERE = Moment(NOW, "boot")  # the clock and the boot of the tests' machine
NODES = tuple(Machine(f"s-{i}", "127.0.0.1", 1000 + i, cell=1) for i in range(3))


def _facade() -> Facade:
    facade = Facade(make_settings(), 1, 0.0)
    facade.listed(NOW, MachineList(1, True, NODES), cached=True)
    return facade


def _sent(facade: Facade, now: float, count: int = 60) -> set[str]:
    """Where some jobs went."""
    nodes = set()
    for number in range(count):
        orders = facade.pick(now, Job(f"{now}-{number}", "view", 1.0))
        nodes |= {claim.node for claim in orders.claims}
        facade.report(now, orders.claims[0], Outcome.SERVED)
    return nodes


def test_cordoned_node_stays_out_whatever_lists_say() -> None:
    facade = _facade()
    orders = facade.cordon(NOW, "s-1")
    assert orders is not None and orders.close_idle == ["s-1"]
    assert facade.cordon(NOW, "s-1") is not None  # two calls out ...
    moved = replace(NODES[1], port=2000, since=NOW + 1.0)
    for news in (
        MachineList(2, True, NODES),
        MachineList(3, False, (moved,)),
        MachineList(4, False, (replace(NODES[1], state=State.GONE),)),
        MachineList(5, False, (moved,)),
    ):
        facade.listed(NOW + 1.0, news)
        assert facade.address("s-1") is None
    assert _sent(facade, NOW + 1.0) == {"s-0", "s-2"}
    assert facade.uncordon(NOW + 2.0, "s-1") is not None  # ... need one back
    assert facade.address("s-1") == ("127.0.0.1", 2000)
    assert _sent(facade, NOW + 2.0) == {"s-0", "s-1", "s-2"}


def _started(facade: Facade) -> dict[str, float]:
    """When the decisions take each node to have started."""
    return {name: upstream.member.started for name, upstream in facade._balancer.known()[1].items()}


def test_word_that_is_not_new_costs_the_module_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the list laid out anew with each file that another process leaves, once a second."""
    facade = _facade()
    facade.cordon(NOW, "s-1")
    monkeypatch.setattr(facade._balancer, "handle", None)
    for orders in (facade.merge(NOW, facade.cordons.marks()), facade.cordon(NOW, "s-1")):
        assert orders == Orders()


def test_claim_picked_before_the_cordon_is_not_begun_after_it() -> None:
    facade = _facade()
    claim = facade.pick(NOW, Job("j", "view", 1.0)).claims[0]
    facade.cordon(NOW, claim.node)
    assert not facade.begin(NOW, claim)


def test_ids_that_nobody_has_get_a_no_and_vanished_ones_a_yes() -> None:
    facade = _facade()
    assert facade.cordon(NOW, "s-9") is None and facade.uncordon(NOW, "s-9") is None
    facade.cordon(NOW, "s-0")
    facade.listed(NOW, MachineList(2, True, NODES[1:]))
    assert facade.uncordon(NOW, "s-0") is not None
    # Back in the list it serves: the mark does not come alive again.
    facade.listed(NOW, MachineList(3, True, NODES))
    assert facade.address("s-0") is not None


def test_node_given_back_is_cold_and_warms_up() -> None:
    facade = _facade()
    facade.listed(NOW, MachineList(1, True, NODES))
    facade.cordon(NOW, "s-0")
    facade.uncordon(NOW + 3.0, "s-0")
    assert _started(facade) == {"s-0": NOW + 3.0, "s-1": 0.0, "s-2": 0.0}
    facade.listed(NOW + 10.0, MachineList(2, False, (replace(NODES[0], since=NOW + 9.0),)))
    assert _started(facade)["s-0"] == NOW + 9.0


def test_mark_with_an_end_ends_by_itself() -> None:
    facade = _facade()
    orders = facade.merge(NOW, [Mark("s-0", True, NOW, "release", NOW + 5.0)])
    assert isinstance(orders, Orders) and facade.address("s-0") is None
    assert facade.due() == NOW + 5.0
    facade.tick(NOW + 5.0)
    assert facade.address("s-0") is not None


_marks = st.lists(
    st.builds(
        Mark,
        st.sampled_from(["a", "b"]),
        st.booleans(),
        st.just(1.0),
        sequence=st.sampled_from([1, 2, 3]),
    ),
    max_size=8,
)


@given(_marks, _marks)
def test_processes_agree_once_they_have_exchanged_their_marks(left: list[Mark], right: list[Mark]) -> None:
    one, two = Cordons(), Cordons()
    one.merge(left)
    two.merge(right)
    one.merge(two.marks())
    assert one.lacks(two.marks()) == ({m.who: m for m in one.marks()} != {m.who: m for m in two.marks()})
    two.merge(one.marks())
    assert not two.lacks(one.marks())
    assert {m.who: m for m in one.marks()} == {m.who: m for m in two.marks()}
    assert one.merge(two.marks()) == []


def test_later_call_wins_though_the_clock_went_back() -> None:
    one, two = Cordons(), Cordons()
    one.cordon("s", 100.0)
    two.merge(one.marks())
    two.uncordon("s", 50.0)
    one.merge(two.marks())
    assert not one.holds("s", 100.0)


MARK = Mark("s-0", True, NOW - 1.0, sequence=3)
LEFT = handover.encode(HERE, [MARK], MachineList(7, True, NODES), Learned({"a": 1}, NOW - 2.0))


def test_handover_comes_back_as_it_was() -> None:
    left = Learned({"a": 1}, NOW - 2.0)
    assert handover.decode(LEFT, HERE) == handover.Handover((MARK,), MachineList(7, True, NODES), left)
    old = handover.encode(HERE, [Mark("a", False, NOW - 700.0), Mark("b", True, NOW - 700.0)])
    assert [mark.who for mark in handover.decode(old, HERE).marks] == ["b"]


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


_REST = b'"version":1,"listed_at":1}'
_MARK = b'{"marks":[{"who":"a","out":true,"at":%s,"by":"x","until":null}]}'


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\n",
        LEFT[:-1],
        LEFT + b"x",
        LEFT.replace(b"s-0", b"s-9", 1),
        LEFT.replace(b"handover 1", b"handover 2", 1),
        b"#!/bin/sh\n",
        b"x" * (handover.MOST + 1),
        _forged(b"[]"),
        _forged(b"{}"),
        _forged(b'{"marks":[{}]}'),
        _forged(_MARK % b'"soon"'),
        _forged(_MARK % b"1e300"),
        _forged(_MARK % b"-1"),
        _forged(b'{"marks":[],"machines":[[1]],"version":1,"listed_at":1}'),
        _forged(b'{"marks":[],"machines":[{"name":"a","address":"h:99999","status":"Ready"}],' + _REST),
        _forged(b'{"marks":[],"machines":[{"name":"a","address":"h:1","status":"odd"}],' + _REST),
        _forged(b'{"marks":[],"machines":[],"version":1,"listed_at":-1}'),
        _forged(b'{"marks":[],"clock":[]}'),
        _forged(b'{"marks":[],"clock":{"boot":"boot","at":-1}}'),
        _forged(b'{"marks":[],"clock":{"boot":"boot","at":1,"current_at":1,"starts":{"a":[1]}}}'),
        _forged(_MARK[:-1] % b"1" + b',"clock":{"boot":"boot","at":1}}'),
        _forged(b"[" * 100_000),
    ],
)
def test_handover_that_is_not_sound_is_refused(data: bytes) -> None:
    with pytest.raises(HandoverError):
        handover.decode(data, HERE)


@given(st.builds(
    Machine, st.text(min_size=1), st.sampled_from(["127.0.0.1", "::1"]), st.integers(1, 65535), st.text(),
    st.text(), st.integers(-1, 9), st.sampled_from([State.SERVING, State.DRAINING]), st.floats(0.0, 9.0),
    st.integers(0, 2_000_000_000_000).map(lambda ms: ms / 1000.0),
))  # fmt: skip
def test_machine_is_read_as_it_was_written(machine: Machine) -> None:
    """To the bit: a start that differs at all would make the node one that has started since."""
    data = orjson.loads(orjson.dumps(entry(machine)))
    assert machine_list({"index": 1, "snapshot": True, "endpoints": [data]}).machines == (machine,)


def test_forged_handover_of_the_right_shape_is_read() -> None:
    listed = _forged(b'{"marks":[],"machines":[{"name":"a","address":"h:1","status":"Ready"}],' + _REST)
    assert handover.decode(listed, HERE).known == MachineList(1, True, (Machine("a", "h", 1),))
    marks = handover.decode(_forged(_MARK % b"1"), HERE).marks
    assert marks == (Mark("a", True, 1.0, "x", math.inf, 1_000_000),)


# --- what was learnt --------------------------------------------------------------------------------------


def _busy(facade: Facade) -> None:
    """Jobs of which one node is slow, and busy by its reports, and one fails."""
    for number in range(300):
        now = NOW + number * 0.01
        orders = facade.pick(now, Job(f"b{number}", "view", 1.0, key=f"k{number % 7}"))
        if not orders.claims:
            continue
        claim = orders.claims[0]
        slow = {"s-0": 0.3, "s-1": 0.02, "s-2": 0.05}[claim.node]
        outcome = Outcome.ERROR if claim.node == "s-2" and number > 150 else Outcome.SERVED
        facade.report(now + slow, claim, outcome, {"rate": 10.0, "utilisation": slow * 2})
        facade.left(now + slow, claim.job)


def test_next_process_starts_from_what_was_learnt() -> None:
    old, new = _facade(), Facade(make_settings(), 2, 500.0)  # the wall clock was set between the two
    _busy(old)
    now = NOW + 3.0
    new.listed(now, MachineList(1, True, NODES), cached=True)
    data = handover.encode(Moment(now, "boot"), [], None, Learned(old.learned(now), now))
    left = handover.decode(data, Moment(now + 1.0, "boot")).learned
    assert left is not None and left.at == now and new.learn(now, left.figures).notes == []
    before, after = old.learned(now), new.learned(now)
    assert before is not None and after is not None
    assert after["classes"] == before["classes"] and sorted(after["keys"]) == sorted(before["keys"])
    assert after["capacity"] == before["capacity"]
    for name, (started, capacity, reports, health, jail) in before["nodes"].items():
        mine = after["nodes"][name]
        assert mine[:2] == [started, capacity] and mine[4] == (jail and pytest.approx(jail))
        assert mine[3] == pytest.approx(health) and mine[2][:2] == pytest.approx(reports[:2])


def test_node_that_has_started_since_is_not_judged_by_what_was() -> None:
    old, new = _facade(), Facade(make_settings(), 2, 0.0)
    _busy(old)
    again = (replace(NODES[0], since=NOW + 2.0), *NODES[1:])
    new.listed(NOW + 3.0, MachineList(2, True, again), cached=True)
    new.learn(NOW + 3.0, old.learned(NOW + 3.0))
    after = new.learned(NOW + 3.0)
    assert after is not None
    assert after["nodes"]["s-0"][2:] == [None, None, None] and after["nodes"]["s-1"][2] is not None


@pytest.mark.parametrize(
    "spoil",
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
def test_what_nobody_can_have_learnt_is_told_and_harmless(spoil: dict[str, object]) -> None:
    facade = _facade()
    sound = facade.learned(NOW)
    assert sound is not None and facade.learn(NOW, sound).notes == []
    notes = facade.learn(NOW, {**sound, **spoil}).notes
    assert len(notes) == 1 and notes[0].startswith("what the process before had learnt is not used")
    assert facade.learn(NOW, None).notes and facade.learn(NOW, []).notes
    assert _sent(facade, NOW + 1.0)


# --- the files --------------------------------------------------------------------------------------------


def test_processes_read_each_others_files_once_and_keep_one_each(tmp_path: Path) -> None:
    one, two = HandoverFiles(str(tmp_path), "n/0"), HandoverFiles(str(tmp_path), "n/0")
    for _ in range(3):
        one.write(LEFT)
    assert one.fresh(NOW) == [] and len(os.listdir(tmp_path)) == 1
    (name,) = two.fresh(NOW)
    assert two.read(name, HERE) == handover.decode(LEFT, HERE) and two.fresh(NOW) == []
    two.write(LEFT)
    assert len(os.listdir(tmp_path)) == 2 and len(one.fresh(NOW)) == 1
    assert two.read("indigokeel-n_0.handover.9-9", HERE) is None  # gone meanwhile


def test_files_of_processes_that_are_gone_go_once_they_were_read_and_stood_for_long(tmp_path: Path) -> None:
    """Their age is that of this process's own looks: no clock that another set is asked."""
    files = HandoverFiles(str(tmp_path), "n0")
    prefix = "indigokeel-n0.handover."
    foreign = tmp_path / "indigokeel-n1.handover.3-3"
    left = [tmp_path / (prefix + tail) for tail in ("5-5", f"{time.time_ns()}-6", "7-7~")]
    for path in (*left, foreign):
        path.write_bytes(LEFT)
    unread, read, half = (path.name for path in left)
    assert files.fresh(NOW) == [read, unread]
    assert files.read(read, HERE)
    files.write(LEFT)
    files.fresh(NOW + 29.9)
    files.tidy(NOW + 29.9)
    assert len(os.listdir(tmp_path)) == 5
    files.fresh(NOW + 30.0)
    files.tidy(NOW + 30.0)
    assert not (tmp_path / read).exists() and not (tmp_path / half).exists()
    assert left[0].exists() and foreign.exists() and len(os.listdir(tmp_path)) == 3


@pytest.mark.parametrize("step", [-3600 * 10**9, 3600 * 10**9])
def test_newest_file_is_read_first_whatever_the_wall_clock_says(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    (tmp_path / f"indigokeel-n0.handover.{time.time_ns()}-1").write_bytes(LEFT)  # of an older version
    one, two, reader = (HandoverFiles(str(tmp_path), "n0") for _ in range(3))
    monkeypatch.setattr(os, "getpid", lambda: 8)
    one.fresh(NOW)
    one.write(LEFT)
    stepped = time.time_ns() + step
    monkeypatch.setattr(time, "time_ns", lambda: stepped)
    monkeypatch.setattr(os, "getpid", lambda: 7)
    two.fresh(NOW)
    two.write(LEFT)
    assert [name.rpartition("-")[2] for name in reader.fresh(NOW)] == ["7", "8", "1"]


def test_file_is_never_put_in_the_place_of_another(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the write-out that a file system does then: it held the loop up for 0.1 to 0.3 s."""
    targets: list[bool] = []
    rename = Path.rename

    def watched(old: Path, new: Path) -> Path:
        targets.append(new.exists())
        return rename(old, new)

    monkeypatch.setattr(Path, "replace", None)
    monkeypatch.setattr(Path, "rename", watched)
    files = HandoverFiles(str(tmp_path), "n0")
    for _ in range(5):
        files.write(LEFT)
    assert targets == [False] * 5


def test_folder_that_cannot_be_written_is_an_error_and_leaves_nothing(tmp_path: Path) -> None:
    with pytest.raises(OSError):
        HandoverFiles(str(tmp_path / "none"), "n0").write(LEFT)
    assert HandoverFiles(str(tmp_path / "none"), "n0").fresh(NOW) == []
