"""Tests of daily operation on real sockets: the admin address, cordons, reloads by SIGHUP, stalls."""

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
    ADMIN_HOST,
    CLASSES,
    SETTINGS,
    TIMEOUT_S,
    Message,
    Program,
    admin_environment,
    echo,
    entry,
    free_port,
    make_endpoint_list,
    read_response,
    request,
    running,
    until,
)

# --- the admin address ------------------------------------------------------------------------------------


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
def test_admin_calls_are_answered_with_the_expected_status(tmp_path: Path, raw: bytes, code: int) -> None:
    with running(tmp_path, echo, **admin_environment(tmp_path)) as (program, _, _d):
        with socket.create_connection((ADMIN_HOST, program.mgmt), timeout=TIMEOUT_S) as conn:
            conn.sendall(raw)
            file = conn.makefile("rb")
            assert read_response(file)[0] == code and file.read() == b""
        assert program.exchange(request())[0] == 200


def test_admin_calls_are_answered_while_other_callers_hold_connections(tmp_path: Path) -> None:
    with (
        running(tmp_path, echo, **admin_environment(tmp_path)) as (program, _, _d),
        contextlib.ExitStack() as stack,
    ):
        for _ in range(60):
            held = stack.enter_context(
                socket.create_connection((ADMIN_HOST, program.mgmt), timeout=TIMEOUT_S)
            )
            held.sendall(b"PUT /admin/cordon HTTP/1.1\r\nContent-Le")
            assert program.call_admin("GET", "health") == 200
        counters = program.counters()
        assert counters["mgmt_shed"] >= 60 - 24 and counters["mgmt_calls"] >= 60


def test_without_an_admin_address_no_admin_server_and_no_state_folder_exist(tmp_path: Path) -> None:
    with running(tmp_path, echo, TMPDIR=str(tmp_path / "none")) as (program, _, _d):
        assert program.exchange(request())[0] == 200
        assert "mgmt_calls" not in program.counters() and not (tmp_path / "none").exists()


def test_admin_listener_is_known_to_the_descriptor_audit(tmp_path: Path) -> None:
    """Guards against a descriptor audit that takes the admin listener for leaked: it closed the listener
    after 15 s, and no later admin call was answered."""

    async def check() -> None:
        server = AdminServer(None, Counters("t"))  # type: ignore[arg-type]
        address = (ADMIN_HOST, free_port(ADMIN_HOST))
        await server.listen(address)
        (descriptor,) = server.descriptors()
        with socket.socket(fileno=os.dup(descriptor)) as listener:
            assert listener.getsockname() == address
        server.close()

    asyncio.run(check())


# --- cordons ----------------------------------------------------------------------------------------------


def test_cordoned_upstream_receives_no_requests_until_it_is_uncordoned(tmp_path: Path) -> None:
    with running(tmp_path, echo, echo, **admin_environment(tmp_path)) as (program, upstreams, discovery):
        assert program.call_admin("PUT", "cordon", "s-0") == 200 == program.call_admin("PUT", "cordon", "s-0")
        received = len(upstreams[0].received)
        discovery.push(
            json.dumps(
                make_endpoint_list(*(entry(f"s-{i}", n.port) for i, n in enumerate(upstreams)), index=2)
            ).encode()
        )
        until(lambda: program.counters().get("endpoint_lists") == 1)
        for _ in range(20):
            assert program.exchange(request())[0] == 200
        assert len(upstreams[0].received) == received and program.counters()["cordoned"] == 1
        assert program.call_admin("PUT", "uncordon", "s-0") == 200
        until(lambda: program.exchange(request())[0] == 200 and len(upstreams[0].received) > received)


def test_cordon_is_accepted_and_holds_while_the_admin_address_is_flooded(tmp_path: Path) -> None:
    stop = threading.Event()

    def flood(raw: bytes) -> None:
        held: list[socket.socket] = []
        while not stop.is_set():
            with contextlib.suppress(OSError):
                held.append(socket.create_connection((ADMIN_HOST, program.mgmt), timeout=TIMEOUT_S))
                held[-1].sendall(raw)
            if len(held) > 40:
                held.pop(0).close()
        for conn in held:
            conn.close()

    with running(tmp_path, echo, echo, **admin_environment(tmp_path)) as (program, upstreams, _):
        payloads = (b"PUT /admin/cordon HTTP/1.1\r\n", b"\0" * 40_000, b"GET /admin/health HTTP/1.1\r\n\r\n")
        workers = [threading.Thread(target=flood, args=(raw,)) for raw in payloads]
        for worker in workers:
            worker.start()
        try:
            for _ in range(3):
                # The flood can make the server close a call before it is answered; the call is then repeated.
                until(lambda: _is_accepted(program, "cordon"))
                received = len(upstreams[0].received)
                assert {program.exchange(request())[0] for _ in range(20)} == {200}
                assert len(upstreams[0].received) == received
                until(lambda: _is_accepted(program, "uncordon"))
                until(
                    lambda n=received: (  # type: ignore[misc]
                        program.exchange(request())[0] == 200 and len(upstreams[0].received) > n
                    )
                )
        finally:
            stop.set()
            for worker in workers:
                worker.join()


def _is_accepted(program: Program, call: str) -> bool:
    with contextlib.suppress(OSError):
        return program.call_admin("PUT", call, "s-0") == 200
    return False


def test_cordon_holds_when_it_cannot_be_stored(tmp_path: Path) -> None:
    with running(
        tmp_path, echo, echo, **{**admin_environment(tmp_path), "TMPDIR": str(tmp_path / "none")}
    ) as (
        program,
        upstreams,
        _,
    ):
        assert program.call_admin("PUT", "cordon", "s-0") == 503 == program.call_admin("PUT", "cordon", "s-0")
        received = len(upstreams[0].received)
        for _ in range(10):
            assert program.exchange(request())[0] == 200
        assert len(upstreams[0].received) == received and program.counters()["state_files_unwritten"] >= 2
        assert program.log.read_text().count("cannot write state for the next process") == 1
        (tmp_path / "none").mkdir()  # from now on the retries can store the cordon
        until(lambda: program.call_admin("PUT", "cordon", "s-0") == 200)


# --- reloads by SIGHUP ------------------------------------------------------------------------------------


def _config() -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 256},
        "known": make_endpoint_list(entry("s-0", 1)),
        "settings": json.loads(json.dumps(SETTINGS)),
    }


def _config_without(*path: str | int) -> bytes:
    return _config_with(None, *path)


def _config_with(value: Any, *path: str | int) -> bytes:
    data: Any = _config()
    parent = data
    for key in path[:-1]:
        parent = parent[key]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return json.dumps(data).encode()


_VALID_CONFIG = json.dumps(_config()).encode()
BROKEN_CONFIGS = {
    "empty": b"",
    "truncated": _VALID_CONFIG[:-40],
    "only a space": b" \n",
    "a list": b"[]",
    "binary noise": b"\xff\xfe\x00",
    **{f"no {key}": _config_without(key) for key in _config()},
    "no classes": _config_without("settings", "classes"),
    "empty classes": _config_with([], "settings", "classes"),
    "classes as an object": _config_with({}, "settings", "classes"),
    "a class as a string": _config_with(["pay"], "settings", "classes"),
    **{f"class without {key}": _config_without("settings", "classes", 0, key) for key in CLASSES[1]},
    "last class without a deadline": _config_without("settings", "classes", 2, "deadline-s"),
    "deadline 0": _config_with(0, "settings", "classes", 1, "deadline-s"),
    "deadline below 0": _config_with(-1.5, "settings", "classes", 1, "deadline-s"),
    "deadline as a string": _config_with("1.5", "settings", "classes", 1, "deadline-s"),
    "deadline true": _config_with(True, "settings", "classes", 1, "deadline-s"),
    "deadline NaN": _VALID_CONFIG.replace(b'"deadline-s": 1.2', b'"deadline-s": NaN', 1),
    "deadline overflows": _VALID_CONFIG.replace(b'"deadline-s": 1.2', b'"deadline-s": 1e999', 1),
    "objective 0": _config_with(0.0, "settings", "classes", 0, "objective-s"),
    "effect unknown": _config_with("harmless", "settings", "classes", 0, "effect"),
    "two classes with one name": _config_with("pay", "settings", "classes", 1, "name"),
    "attempts 0": _config_with(0, "settings", "limits", "max-attempts"),
    "attempts below 0": _config_with(-2, "settings", "limits", "max-attempts"),
    "attempts 0.5": _config_with(0.5, "settings", "limits", "max-attempts"),
    "no attempts": _config_without("settings", "limits", "max-attempts"),
    "no limits": _config_without("settings", "limits"),
    "discovery address invalid": _config_with("nowhere", "discovery"),
}


@pytest.mark.parametrize("name", BROKEN_CONFIGS)
def test_broken_configuration_is_rejected_as_a_whole(tmp_path: Path, name: str) -> None:
    file = tmp_path / "config.json"
    file.write_bytes(_VALID_CONFIG)
    current = load_config({"BALANCER_CONFIG": str(file)})
    assert reload_config({"BALANCER_CONFIG": str(file)}, current).settings == current.settings
    file.write_bytes(BROKEN_CONFIGS[name])
    with pytest.raises(ConfigError):
        reload_config({"BALANCER_CONFIG": str(file)}, current)


def test_valid_settings_apply_and_broken_ones_change_nothing_under_load(tmp_path: Path) -> None:
    failing_classes: set[str] = set()

    def upstream(message: Message) -> bytes:
        class_name = message.line.split("/")[1]
        return (
            b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
            if class_name in failing_classes
            else echo(message)
        )

    with running(tmp_path, upstream, upstream) as (program, upstreams, _):
        original = json.loads(program.config.read_text())
        stop, codes = threading.Event(), []

        def load() -> None:
            while not stop.is_set():
                codes.append(program.exchange(request("order", b"x", more="Idempotency-Key: k\r\n"))[0])

        worker = threading.Thread(target=load)
        worker.start()
        for number, data in enumerate(BROKEN_CONFIGS.values(), 1):
            program.config.write_bytes(data)
            program.process.send_signal(signal.SIGHUP)
            until(partial(program.has_logged, "the configuration is unchanged", number))
        assert program.exchange(request("fresh"))[0] == 400
        # One class is added and one changes its effect; later two are removed and max-attempts becomes 1.
        classes = [{**CLASSES[0]}, {**CLASSES[1], "effect": "unsafe"}, CLASSES[2]]
        classes.append({**CLASSES[1], "name": "fresh"})
        program.config.write_text(json.dumps({**original, "settings": {**SETTINGS, "classes": classes}}))
        program.process.send_signal(signal.SIGHUP)
        until(lambda: program.counters().get("reloads") == 1)
        assert program.exchange(request("fresh"))[0] == 200
        failing_classes.add("view")
        before = sum(len(n.received) for n in upstreams)
        stop.set()
        worker.join()
        before = sum(len(n.received) for n in upstreams)
        assert (
            program.exchange(request("view"))[0] == 500
            and sum(len(n.received) for n in upstreams) == before + 1
        )
        limits = {**SETTINGS["limits"], "max-attempts": 1}
        changed = {**SETTINGS, "classes": classes[2:], "limits": limits}
        program.config.write_text(json.dumps({**original, "settings": changed}))
        program.process.send_signal(signal.SIGHUP)
        program.process.send_signal(signal.SIGHUP)
        until(lambda: program.counters()["reloads"] >= 2)
        assert program.exchange(request("view"))[0] == 400
        failing_classes.add("fresh")
        before = sum(len(n.received) for n in upstreams)
        assert (
            program.exchange(request("fresh"))[0] != 200
            and sum(len(n.received) for n in upstreams) == before + 1
        )
        assert codes and set(codes) == {200}


def test_open_request_keeps_the_settings_it_arrived_under(tmp_path: Path) -> None:
    arrived, release = threading.Event(), threading.Event()

    def upstream(message: Message) -> bytes | None:
        if not arrived.is_set():
            arrived.set()
            assert release.wait(TIMEOUT_S)
            return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        return echo(message)

    with running(tmp_path, upstream, upstream) as (program, _, _d), program.connect() as conn:
        original = json.loads(program.config.read_text())
        conn.sendall(request("view"))
        assert arrived.wait(TIMEOUT_S)
        changed = {**SETTINGS, "classes": CLASSES[:1], "limits": {**SETTINGS["limits"], "max-attempts": 1}}
        program.config.write_text(json.dumps({**original, "settings": changed}))
        program.process.send_signal(signal.SIGHUP)
        until(lambda: program.counters().get("reloads") == 1)
        release.set()
        assert read_response(conn.makefile("rb"))[0] == 200  # still safe, so it is retried
        assert program.exchange(request("view"))[0] == 400
        assert program.counters()["balancer_faults"] == 0


def test_answer_that_arrived_while_the_process_was_stopped_is_served(tmp_path: Path) -> None:
    """Guards against an attempt that times out although its answer waits unread in the socket: the sidecar
    itself was stopped."""
    release = threading.Event()

    def upstream(message: Message) -> bytes:
        assert release.wait(TIMEOUT_S)
        return echo(message)

    with running(tmp_path, upstream) as (program, upstreams, _), program.connect() as conn:
        conn.sendall(request("pay", b"x"))
        until(lambda: len(upstreams[0].received) == 1)
        program.process.send_signal(signal.SIGSTOP)
        release.set()
        time.sleep(1.0)  # longer than the class's latency objective
        program.process.send_signal(signal.SIGCONT)
        assert read_response(conn.makefile("rb"))[0] == 200
