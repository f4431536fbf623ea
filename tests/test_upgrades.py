"""Hot restarts with real processes: a new one starts beside the old one, on the platform's listener."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.peers import (
    LONG_RESPONSE_BLOCK,
    LONG_RESPONSE_SIZE,
    TIMEOUT_S,
    DiscoveryServer,
    Message,
    Peer,
    Program,
    RawUpstream,
    admin_environment,
    echo,
    entry,
    make_endpoint_list,
    program_rss_kb,
    read_response,
    request,
    running,
    send_long_response,
    until,
)
from tests.peers import start as start_process


@contextlib.contextmanager
def _platform(tmp: Path, *scripts: Any) -> Iterator[tuple[socket.socket, list[Peer], Any]]:
    """Yield a listener that the platform owns, upstreams, and a function that starts a process on it."""
    upstreams = [script if isinstance(script, Peer) else Peer(script) for script in scripts]
    discovery, programs = DiscoveryServer(), list[Program]()
    known = make_endpoint_list(*(entry(f"s-{i}", upstream.port) for i, upstream in enumerate(upstreams)))
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:

        def start() -> Program:
            programs.append(Program(tmp, known, discovery.port, 256, listener, **admin_environment(tmp)))
            return programs[-1]

        try:
            yield listener, upstreams, start
        finally:
            for program in programs:
                program.process.kill()
                program.process.wait()
            for peer in (*upstreams, discovery):
                peer.close()


def test_upgrades_in_a_row_lose_no_request_and_no_connection(tmp_path: Path) -> None:
    seen: list[int] = []
    numbers = iter(range(10**9))

    def upstream(message: Message) -> bytes:
        seen.append(int(message.body))
        return echo(message)

    with _platform(tmp_path, upstream, upstream) as (listener, _, start):
        address, stop = listener.getsockname(), threading.Event()
        wrong: list[Any] = []
        served: list[int] = []

        def client(keep_alive: bool) -> None:
            conn, file = None, None
            while not stop.is_set():
                try:
                    if conn is None:
                        conn = socket.create_connection(address, timeout=TIMEOUT_S)
                        file = conn.makefile("rb")
                    number = next(numbers)
                    conn.sendall(request("pay", b"%d" % number))
                    code, answer = read_response(file)
                    # A sidecar on an overloaded machine may reject a request, which then must not have run.
                    refused = code == 503 and "retry-after" in answer.headers
                    if not refused and (code, answer.body) != (200, b"%d" % number):
                        wrong.append((number, code, answer))
                    elif not refused:
                        served.append(number)
                    time.sleep(0.002)
                    if not keep_alive or answer.headers.get("connection") == "close":
                        conn.close()
                        conn = None
                except Exception as error:
                    wrong.append(error)
                    return
            if conn is not None:
                conn.close()

        workers = [threading.Thread(target=client, args=(keep_alive,)) for keep_alive in (True, False, True)]
        old = start()
        for worker in workers:
            worker.start()
        ended = []
        for _ in range(20):
            new = start()
            old.process.send_signal(signal.SIGTERM)
            ended.append(old)
            old = new
        for program in ended:
            assert program.process.wait(TIMEOUT_S) == 0
        stop.set()
        for worker in workers:
            worker.join()
        assert wrong[:3] == [] and len(served) > 100
        assert sorted(seen) == sorted(served)  # each request ran exactly once


def test_cordon_survives_an_upgrade_and_is_shared_in_both_directions(tmp_path: Path) -> None:
    with _platform(tmp_path, echo, echo, echo) as (_, upstreams, start):
        old = start()
        assert old.call_admin("PUT", "cordon", "s-0") == 200
        new = start()
        assert new.counters()["cordoned"] == 1
        assert new.call_admin("PUT", "cordon", "s-1") == 200
        until(lambda: old.counters()["cordoned"] == 2)
        assert old.call_admin("PUT", "uncordon", "s-0") == 200
        until(lambda: new.counters()["cordoned"] == 1)
        old.process.send_signal(signal.SIGTERM)
        count = len(upstreams[1].received)
        for _ in range(20):
            assert new.exchange(request())[0] == 200
        assert len(upstreams[1].received) == count and old.process.wait(TIMEOUT_S) == 0


def test_cordon_holds_under_load_during_upgrades(tmp_path: Path) -> None:
    with _platform(tmp_path, echo, echo, echo) as (listener, upstreams, start):
        address, stop, pause = listener.getsockname(), threading.Event(), threading.Event()
        barrier, wrong = threading.Barrier(4), list[Any]()

        def client() -> None:
            while not stop.is_set():
                if pause.is_set():  # all clients pause, then all resume
                    barrier.wait(TIMEOUT_S)
                    barrier.wait(TIMEOUT_S)
                with socket.create_connection(address, timeout=TIMEOUT_S) as conn:
                    conn.sendall(request())
                    code, answer = read_response(conn.makefile("rb"))
                    if code != 200 and "retry-after" not in answer.headers:
                        wrong.append((code, answer))

        workers = [threading.Thread(target=client) for _ in range(3)]
        old = start()
        for worker in workers:
            worker.start()
        until(lambda: len(upstreams[0].received) > 5)
        assert old.call_admin("PUT", "cordon", "s-0") == 200
        pause.set()
        barrier.wait(TIMEOUT_S)  # no request is open: those sent before the cordon was confirmed have ended
        count = len(upstreams[0].received)
        pause.clear()
        barrier.wait(TIMEOUT_S)
        for _ in range(3):
            new = start()
            old.process.send_signal(signal.SIGTERM)
            assert old.process.wait(TIMEOUT_S) == 0
            old = new
        assert len(upstreams[0].received) == count
        assert old.call_admin("PUT", "uncordon", "s-0") == 200
        until(lambda: len(upstreams[0].received) > count)
        stop.set()
        for worker in workers:
            worker.join()
        assert wrong == []


def test_process_killed_before_it_is_ready_leaves_the_old_one_unaffected(tmp_path: Path) -> None:
    with _platform(tmp_path, echo, echo) as (listener, upstreams, start):
        old = start()
        assert old.call_admin("PUT", "cordon", "s-0") == 200
        count = len(upstreams[0].received)
        for wait in (0.0, 0.05, 0.1, 0.2):
            new = start_process(old.config, subprocess.DEVNULL, listener, **admin_environment(tmp_path))
            time.sleep(wait)
            new.kill()
            new.wait()
            for _ in range(3):
                assert old.exchange(request())[0] == 200
        assert len(upstreams[0].received) == count and old.counters()["cordoned"] == 1


def test_request_partly_sent_to_the_old_process_is_answered_by_it(tmp_path: Path) -> None:
    with _platform(tmp_path, echo) as (_, _nodes, start):
        old = start()
        with old.connect() as conn, old.connect() as other:
            raw = request("pay", b"late")
            conn.sendall(raw[:-6])
            until(lambda: old.counters()["client_connections_open"] == 2)
            new = start()
            old.process.send_signal(signal.SIGTERM)
            until(lambda: "stopping" in old.log.read_text())
            assert new.exchange(request())[0] == 200
            conn.sendall(raw[-6:])
            other.sendall(request())  # on a connection that was idle when the signal came
            for each in (conn, other):
                code, answer = read_response(each.makefile("rb"))
                assert (code, answer.headers["connection"]) == (200, "close")
        assert old.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("keeps_reading", [True, False])
def test_old_process_completes_a_32_mb_response_or_cuts_it_off_visibly(
    tmp_path: Path, keeps_reading: bool
) -> None:
    with _platform(tmp_path, RawUpstream(send_long_response)) as (_, _nodes, start):
        old = start()
        with old.connect() as conn:
            conn.sendall(request())
            file = conn.makefile("rb")
            while file.readline().strip():
                pass
            assert file.read(len(LONG_RESPONSE_BLOCK)) == LONG_RESPONSE_BLOCK
            new = start()
            before = program_rss_kb(old)
            old.process.send_signal(signal.SIGTERM)
            until(lambda: "stopping" in old.log.read_text())
            assert new.call_admin("GET", "health") == 200
            if keeps_reading:
                for _ in range(LONG_RESPONSE_SIZE // len(LONG_RESPONSE_BLOCK) - 1):
                    assert file.read(len(LONG_RESPONSE_BLOCK)) == LONG_RESPONSE_BLOCK
                assert program_rss_kb(old) - before < 4096  # kB
            assert old.process.wait(TIMEOUT_S) == 0  # without SIGKILL, whether or not the client reads
            if not keeps_reading:
                with contextlib.suppress(ConnectionError):
                    assert len(file.read()) < LONG_RESPONSE_SIZE - len(LONG_RESPONSE_BLOCK)
            last = old.last_counters()
            assert (
                last["requests_unanswered"] == 0
                and 0.0 < last["cpu_s"] < TIMEOUT_S
                and new.process.poll() is None
            )


def test_cordons_set_at_the_old_process_reach_the_new_one_while_it_starts(tmp_path: Path) -> None:
    with _platform(tmp_path, echo, echo) as (_, upstreams, start):
        old = start()
        for call, wait in zip(("cordon", "uncordon") * 2, (0.0, 0.1, 0.2, 0.3), strict=True):
            found: list[Program] = []
            starting = threading.Thread(target=lambda to=found: to.append(start()))
            starting.start()
            time.sleep(wait)
            assert old.call_admin("PUT", call, "s-0") == 200
            starting.join()
            new = found[0]
            until(lambda one=new, out=call == "cordon": one.counters()["cordoned"] == out)  # type: ignore[misc]
            count = len(upstreams[0].received)
            old.process.send_signal(signal.SIGTERM)
            assert {new.exchange(request())[0] for _ in range(10)} == {200}
            if call == "cordon":
                assert len(upstreams[0].received) == count
            else:
                until(
                    lambda one=new, n=count: (  # type: ignore[misc]
                        one.exchange(request())[0] == 200 and len(upstreams[0].received) > n
                    )
                )
            assert old.process.wait(TIMEOUT_S) == 0
            old = new


@pytest.mark.parametrize("content", [b"", b"torn", b"fifo"])
def test_corrupt_state_file_causes_a_cold_start_and_one_log_line(tmp_path: Path, content: bytes) -> None:
    with _platform(tmp_path, echo) as (_, _nodes, start):
        file = tmp_path / "indigokeel-n0.handover.1-1"
        if content == b"fifo":
            os.mkfifo(file)
        else:
            file.write_bytes(content)
        program = start()
        assert program.exchange(request())[0] == 200
        assert program.log.read_text().count("state of the previous process ignored") == 1
        assert program.call_admin("PUT", "cordon", "s-0") == 200 and program.counters()["cordoned"] == 1


@pytest.mark.parametrize("is_open", [True, False])
def test_descriptor_that_is_not_a_listening_socket_is_reported(tmp_path: Path, is_open: bool) -> None:
    near, far = socket.socketpair()
    with near, far, running(tmp_path, echo) as (good, _, _d):
        if is_open:
            process = start_process(good.config, subprocess.PIPE, near)
        else:
            process = start_process(good.config, subprocess.PIPE, BALANCER_LISTEN_FD="7")
        output = process.communicate(timeout=TIMEOUT_S)[1]
        assert process.returncode == 1 and b"descriptor 7 is no socket that listens" in output
