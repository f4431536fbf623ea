"""Daily operation on real sockets: the second address, cordons, settings by SIGHUP, upgrades."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import threading
import time
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from indigokeel.config import ConfigError, load_config, reload_config
from indigokeel.metrics import Counters
from indigokeel.net.admin import AdminServer
from tests.peers import (
    CLASSES,
    OPERATORS,
    SETTINGS,
    WAIT,
    Message,
    Program,
    echo,
    entry,
    free_port,
    operators,
    parse_endpoint_list,
    read_answer,
    request,
    running,
    until,
)

# --- the second address -----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("raw", "code"),
    [
        (b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n", 200),
        (b"PUT /admin/health HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /admin/cordon HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /admin HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"PUT /admin/cordon HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", 400),
        (b'PUT /admin/cordon HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n{"w', 400),
        (b'PUT /admin/cordon HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n{"who":true}', 400),
        (b'PUT /admin/cordon HTTP/1.1\r\nHost: a\r\nContent-Length: 13\r\n\r\n{"who":"no"} ', 404),
        (b'PUT /admin/uncordon HTTP/1.1\r\nHost: a\r\nContent-Length: 13\r\n\r\n{"who":"no"} ', 404),
        (
            b"PUT /admin/uncordon HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b'8\r\n{"who":"\r\n5\r\ns-0"}\r\n0\r\n\r\n',
            200,
        ),
        (
            b"PUT /admin/cordon HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"PUT /admin/cordon HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + b"x" * 20_000, 413),
        (b"GET /admin/health HTTP/1.1\r\nX: " + b"y" * 20_000 + b"\r\n\r\n", 413),
        (b"what is this\r\n\r\n", 400),
    ],
)
def test_operators_calls(tmp_path: Path, raw: bytes, code: int) -> None:
    with running(tmp_path, echo, **operators(tmp_path)) as (program, _, _d):
        with socket.create_connection((OPERATORS, program.mgmt), timeout=WAIT) as conn:
            conn.sendall(raw)
            file = conn.makefile("rb")
            assert read_answer(file)[0] == code and file.read() == b""
        assert program.ask(request())[0] == 200


def test_operators_are_answered_beside_callers_that_hold_connections(tmp_path: Path) -> None:
    with running(tmp_path, echo, **operators(tmp_path)) as (program, _, _d), contextlib.ExitStack() as stack:
        for _ in range(60):
            held = stack.enter_context(socket.create_connection((OPERATORS, program.mgmt), timeout=WAIT))
            held.sendall(b"PUT /admin/cordon HTTP/1.1\r\nContent-Le")
            assert program.call("GET", "health") == 200
        counters = program.counters()
        assert counters["mgmt_shed"] >= 60 - 24 and counters["mgmt_calls"] >= 60


def test_without_a_second_address_nothing_listens_or_is_left(tmp_path: Path) -> None:
    with running(tmp_path, echo, TMPDIR=str(tmp_path / "none")) as (program, _, _d):
        assert program.ask(request())[0] == 200
        assert "mgmt_calls" not in program.counters() and not (tmp_path / "none").exists()


def test_listener_for_operators_is_known_to_the_descriptor_audit(tmp_path: Path) -> None:
    """Guards against the audit that took it for a stray and shut it after 15 s: later calls went unheard."""

    async def play() -> None:
        room = AdminServer(None, Counters("t"))  # type: ignore[arg-type]
        address = (OPERATORS, free_port(OPERATORS))
        await room.listen(address)
        (found,) = room.descriptors()
        with socket.socket(fileno=os.dup(found)) as listener:
            assert listener.getsockname() == address
        room.close()

    asyncio.run(play())


# --- cordons ----------------------------------------------------------------------------------------------


def test_cordoned_node_gets_nothing_until_it_is_given_back(tmp_path: Path) -> None:
    with running(tmp_path, echo, echo, **operators(tmp_path)) as (program, upstreams, discovery):
        assert program.call("PUT", "cordon", "s-0") == 200 == program.call("PUT", "cordon", "s-0")
        had = len(upstreams[0].got)
        discovery.push(
            json.dumps(
                parse_endpoint_list(*(entry(f"s-{i}", n.port) for i, n in enumerate(upstreams)), index=2)
            ).encode()
        )
        until(lambda: program.counters().get("endpoint_lists") == 1)
        for _ in range(20):
            assert program.ask(request())[0] == 200
        assert len(upstreams[0].got) == had and program.counters()["cordoned"] == 1
        assert program.call("PUT", "uncordon", "s-0") == 200
        until(lambda: program.ask(request())[0] == 200 and len(upstreams[0].got) > had)


def test_cordon_is_taken_and_holds_while_the_second_address_is_flooded(tmp_path: Path) -> None:
    stop = threading.Event()

    def flood(raw: bytes) -> None:
        held: list[socket.socket] = []
        while not stop.is_set():
            with contextlib.suppress(OSError):
                held.append(socket.create_connection((OPERATORS, program.mgmt), timeout=WAIT))
                held[-1].sendall(raw)
            if len(held) > 40:
                held.pop(0).close()
        for conn in held:
            conn.close()

    with running(tmp_path, echo, echo, **operators(tmp_path)) as (program, upstreams, _):
        kinds = (b"PUT /admin/cordon HTTP/1.1\r\n", b"\0" * 40_000, b"GET /admin/health HTTP/1.1\r\n\r\n")
        workers = [threading.Thread(target=flood, args=(raw,)) for raw in kinds]
        for worker in workers:
            worker.start()
        try:
            for _ in range(3):
                # A caller who is pushed out by the flood asks again: this one until it is answered.
                until(lambda: _is_stored(program, "cordon"))
                had = len(upstreams[0].got)
                assert {program.ask(request())[0] for _ in range(20)} == {200}
                assert len(upstreams[0].got) == had
                until(lambda: _is_stored(program, "uncordon"))
                until(lambda n=had: program.ask(request())[0] == 200 and len(upstreams[0].got) > n)  # type: ignore[misc]
        finally:
            stop.set()
            for worker in workers:
                worker.join()


def _is_stored(program: Program, call: str) -> bool:
    with contextlib.suppress(OSError):
        return program.call("PUT", call, "s-0") == 200
    return False


def test_cordon_holds_where_nothing_can_be_left(tmp_path: Path) -> None:
    with running(tmp_path, echo, echo, **{**operators(tmp_path), "TMPDIR": str(tmp_path / "none")}) as (
        program,
        upstreams,
        _,
    ):
        assert program.call("PUT", "cordon", "s-0") == 503 == program.call("PUT", "cordon", "s-0")
        had = len(upstreams[0].got)
        for _ in range(10):
            assert program.ask(request())[0] == 200
        assert len(upstreams[0].got) == had and program.counters()["state_files_unwritten"] >= 2
        assert program.log.read_text().count("cannot write state for the next process") == 1
        (tmp_path / "none").mkdir()  # it is tried on until it is stored
        until(lambda: program.call("PUT", "cordon", "s-0") == 200)


# --- settings by SIGHUP -----------------------------------------------------------------------------------


def _data() -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 256},
        "known": parse_endpoint_list(entry("s-0", 1)),
        "settings": json.loads(json.dumps(SETTINGS)),
    }


def _without(*path: str | int) -> bytes:
    return _with(None, *path)


def _with(value: Any, *path: str | int) -> bytes:
    data: Any = _data()
    at = data
    for key in path[:-1]:
        at = at[key]
    if value is None:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return json.dumps(data).encode()


_GOOD = json.dumps(_data()).encode()
BROKEN = {
    "empty": b"",
    "cut off": _GOOD[:-40],
    "a blank": b" \n",
    "a list": b"[]",
    "noise": b"\xff\xfe\x00",
    **{f"no {key}": _without(key) for key in _data()},
    "no classes": _without("settings", "classes"),
    "no class at all": _with([], "settings", "classes"),
    "classes of another kind": _with({}, "settings", "classes"),
    "a class of another kind": _with(["pay"], "settings", "classes"),
    **{f"class without {key}": _without("settings", "classes", 0, key) for key in CLASSES[1]},
    "no deadline of the last": _without("settings", "classes", 2, "deadline-s"),
    "deadline 0": _with(0, "settings", "classes", 1, "deadline-s"),
    "deadline below 0": _with(-1.5, "settings", "classes", 1, "deadline-s"),
    "deadline in words": _with("1.5", "settings", "classes", 1, "deadline-s"),
    "deadline true": _with(True, "settings", "classes", 1, "deadline-s"),
    "deadline NaN": _GOOD.replace(b'"deadline-s": 1.2', b'"deadline-s": NaN', 1),
    "deadline beyond numbers": _GOOD.replace(b'"deadline-s": 1.2', b'"deadline-s": 1e999', 1),
    "aim 0": _with(0.0, "settings", "classes", 0, "objective-s"),
    "effect unknown": _with("harmless", "settings", "classes", 0, "effect"),
    "two classes of a name": _with("pay", "settings", "classes", 1, "name"),
    "attempts 0": _with(0, "settings", "limits", "max-attempts"),
    "attempts below 0": _with(-2, "settings", "limits", "max-attempts"),
    "attempts a half": _with(0.5, "settings", "limits", "max-attempts"),
    "no attempts": _without("settings", "limits", "max-attempts"),
    "no limits": _without("settings", "limits"),
    "address of discovery": _with("nowhere", "discovery"),
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_configuration_is_refused_whole(tmp_path: Path, name: str) -> None:
    file = tmp_path / "config.json"
    file.write_bytes(_GOOD)
    force = load_config({"BALANCER_CONFIG": str(file)})
    assert reload_config({"BALANCER_CONFIG": str(file)}, force).settings == force.settings
    file.write_bytes(BROKEN[name])
    with pytest.raises(ConfigError):
        reload_config({"BALANCER_CONFIG": str(file)}, force)


def test_new_settings_bind_and_broken_ones_change_nothing_under_load(tmp_path: Path) -> None:
    failing: set[str] = set()

    def upstream(message: Message) -> bytes:
        name = message.line.split("/")[1]
        return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" if name in failing else echo(message)

    with running(tmp_path, upstream, upstream) as (program, upstreams, _):
        good = json.loads(program.config.read_text())
        stop, codes = threading.Event(), []

        def load() -> None:
            while not stop.is_set():
                codes.append(program.ask(request("order", b"x", more="Idempotency-Key: k\r\n"))[0])

        worker = threading.Thread(target=load)
        worker.start()
        for number, data in enumerate(BROKEN.values(), 1):
            program.config.write_bytes(data)
            program.process.send_signal(signal.SIGHUP)
            until(partial(program.logged, "the configuration is unchanged", number))
        assert program.ask(request("fresh"))[0] == 400
        # A class comes, one changes its effect; then one goes, and attempts become one.
        classes = [{**CLASSES[0]}, {**CLASSES[1], "effect": "unsafe"}, CLASSES[2]]
        classes.append({**CLASSES[1], "name": "fresh"})
        program.config.write_text(json.dumps({**good, "settings": {**SETTINGS, "classes": classes}}))
        program.process.send_signal(signal.SIGHUP)
        until(lambda: program.counters().get("reloads") == 1)
        assert program.ask(request("fresh"))[0] == 200
        failing.add("view")
        before = sum(len(n.got) for n in upstreams)
        stop.set()
        worker.join()
        before = sum(len(n.got) for n in upstreams)
        assert program.ask(request("view"))[0] == 500 and sum(len(n.got) for n in upstreams) == before + 1
        limits = {**SETTINGS["limits"], "max-attempts": 1}
        changed = {**SETTINGS, "classes": classes[2:], "limits": limits}
        program.config.write_text(json.dumps({**good, "settings": changed}))
        program.process.send_signal(signal.SIGHUP)
        program.process.send_signal(signal.SIGHUP)
        until(lambda: program.counters()["reloads"] >= 2)
        assert program.ask(request("view"))[0] == 400
        failing.add("fresh")
        before = sum(len(n.got) for n in upstreams)
        assert program.ask(request("fresh"))[0] != 200 and sum(len(n.got) for n in upstreams) == before + 1
        assert codes and set(codes) == {200}


def test_open_request_ends_under_the_settings_it_arrived_under(tmp_path: Path) -> None:
    held, go = threading.Event(), threading.Event()

    def upstream(message: Message) -> bytes | None:
        if not held.is_set():
            held.set()
            assert go.wait(WAIT)
            return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        return echo(message)

    with running(tmp_path, upstream, upstream) as (program, _, _d), program.connect() as conn:
        good = json.loads(program.config.read_text())
        conn.sendall(request("view"))
        assert held.wait(WAIT)
        changed = {**SETTINGS, "classes": CLASSES[:1], "limits": {**SETTINGS["limits"], "max-attempts": 1}}
        program.config.write_text(json.dumps({**good, "settings": changed}))
        program.process.send_signal(signal.SIGHUP)
        until(lambda: program.counters().get("reloads") == 1)
        go.set()
        assert read_answer(conn.makefile("rb"))[0] == 200  # safe and tried again, as when it came
        assert program.ask(request("view"))[0] == 400
        assert program.counters()["balancer_faults"] == 0


def test_answer_that_came_while_the_process_stood_still_is_served(tmp_path: Path) -> None:
    """Guards against attempts that time out because their own sidecar did not look: the answer is here."""
    go = threading.Event()

    def upstream(message: Message) -> bytes:
        assert go.wait(WAIT)
        return echo(message)

    with running(tmp_path, upstream) as (program, upstreams, _), program.connect() as conn:
        conn.sendall(request("pay", b"x"))
        until(lambda: len(upstreams[0].got) == 1)
        program.process.send_signal(signal.SIGSTOP)
        go.set()
        time.sleep(1.0)  # beyond the class's aim
        program.process.send_signal(signal.SIGCONT)
        assert read_answer(conn.makefile("rb"))[0] == 200
