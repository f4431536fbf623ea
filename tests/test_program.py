"""The program on real sockets with scripted peers: requests, discovery, limits on connections, shutdown.

Four rules of the program have tests of their own: a request is answered by its deadline (rule 1), an unsafe
request that may have run is not sent again (2), draining upstreams get no requests (3), and a new upstream
gets fewer (4).
"""

from __future__ import annotations

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from functools import partial
from pathlib import Path

import pytest

from tests.peers import (
    CLIENT_HOST,
    ROOT,
    SETTINGS,
    TIMEOUT_S,
    DiscoveryServer,
    Message,
    entry,
    free_port,
    make_endpoint_list,
    ok,
    read_response,
    request,
    running,
    start,
    status,
    until,
)


def echo(message: Message) -> bytes:
    return ok(message.body or b"none", "Server-Load: util=0.5,qps=10\r\n")


def hang(message: Message) -> bytes | None:
    time.sleep(TIMEOUT_S)
    return None


def test_requests_are_forwarded_unchanged_and_counted(tmp_path: Path) -> None:
    big = os.urandom(64 * 1024)
    with running(tmp_path, echo) as (program, upstreams, _):
        code, answer = program.exchange(
            request("order", big, 5000, "Idempotency-Key: k7\r\n", key="a/b?c=%20d")
        )
        assert (code, answer.body) == (200, big)
        until(lambda: program.counters()["upstream_connections_idle"] == 1)
        assert program.exchange(request("view"))[1].body == b"none"
        first, second = upstreams[0].received
        assert first.line == "POST /order/a/b?c=%20d HTTP/1.1" and first.body == big
        assert first.headers["idempotency-key"] == "k7" and len(first.headers["request-id"]) == 16
        assert 0 < int(first.headers["request-timeout-ms"]) <= 5000
        assert "content-length" not in second.headers and second.line.startswith("GET ")
        counters = program.counters()
        assert (counters["requests_accepted"], counters["attempts_sent"], counters["answers_written"]) == (
            2,
            2,
            2,
        )
        # One connection served both.
        assert counters["upstream_connections"] == 1


def test_framings_pipelining_and_split_reads(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, upstreams, _), program.connect() as conn:
        chunked = request("pay", more="Transfer-Encoding: chunked\r\n").replace(b"GET ", b"POST ")
        file = conn.makefile("rb")
        conn.sendall(request("pay", b"one") + chunked + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        assert read_response(file)[1].body == b"one" and read_response(file)[1].body == b"abc"
        for byte in request("pay", b"xyz"):
            conn.sendall(bytes([byte]))
        assert read_response(file)[1].body == b"xyz"
        conn.sendall(request("pay", b"late", more="Expect: 100-continue\r\n")[:-4])
        assert file.readline().startswith(b"HTTP/1.1 100") and file.readline() == b"\r\n"
        conn.sendall(b"late")
        assert read_response(file)[1].body == b"late"
        conn.sendall(request(more="Connection: close\r\n"))
        assert read_response(file)[0] == 200 and file.read() == b""
        assert len(upstreams[0].received) == 5


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (b"garbage\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 40_000, 431),
        (b"POST /pay/1 HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (request("pay", b"z").replace(b"Length: 1\r", b"Length: 42000000\r"), 413),
        (request("pay", more="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST") + b"zz\r\n", 400),
        (request("pay", b"0\r\n\r\n" + request("pay", b"in"), more="Transfer-Encoding: chunked\r\n"), 400),
    ],
)
def test_malformed_messages_get_an_error_and_the_connection_is_closed(
    tmp_path: Path, sent: bytes, code: int
) -> None:
    with running(tmp_path, echo) as (program, upstreams, _):
        with program.connect() as conn:
            conn.sendall(sent)
            file = conn.makefile("rb")
            assert read_response(file)[0] == code and file.read() == b""
        assert program.exchange(b"GET /odd HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 400
        assert upstreams[0].received == [] and program.exchange(request())[0] == 200


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (b"what is this\r\n\r\n", 500),
        (b"!HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", 500),
        (b"HTTP/1.1 500 No\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000, 500),
        (status(500, "Server-Load: util=-1,,=\r\n"), 500),
        (status(503), 500),
        (status(503, "Not-Started: 1\r\n"), 503),
        (None, 500),
        (b"!HTTP/1.1 200 OK\r\n\r\nno length", 500),
        (ok(b"0\r\n\r\n", "Transfer-Encoding: chunked\r\n"), 500),
        (b"!HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nshort", 500),
        (b"!HTTP/1.1 500 No\r\nConnection: close\r\n\r\nto the end", 500),
        (b"HTTP/1.1 100 Continue\r\n\r\n" * 50 + ok(), 500),
    ],
)
def test_bad_response_of_an_upstream_ends_an_unsafe_request_without_a_retry(
    tmp_path: Path, answer: bytes | None, code: int
) -> None:
    """Rule 2: only the header Not-Started of the upstream proves that an unsafe request has not run."""

    with running(tmp_path, lambda message: answer) as (program, upstreams, _):
        assert program.exchange(request("pay", b"x", 400))[0] == code
        assert len(upstreams[0].received) == 1 and program.process.poll() is None


@pytest.mark.parametrize("leading", [b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 3])
@pytest.mark.parametrize("trailing", [ok(b"strange"), b"noise", b"\r\n"])
def test_bytes_after_a_response_do_not_reach_the_next_request(
    tmp_path: Path, leading: bytes, trailing: bytes
) -> None:
    with running(tmp_path, lambda m: leading + ok(m.body) + trailing) as (program, _, _d):
        for body in (b"first", b"second", b"third"):
            code, answer = program.exchange(request("pay", body))
            assert (code, answer.body) == (200, body)
        assert program.counters()["upstream_connections"] == 3


def test_rejected_request_is_served_elsewhere(tmp_path: Path) -> None:
    rejection = status(503, "Not-Started: 1\r\n")
    with running(tmp_path, lambda m: rejection, echo, lambda m: rejection) as (program, _, _d):
        got = [program.exchange(request("pay", b"x", 600))[0] for _ in range(8)]
        assert 200 in got and set(got) <= {200, 503}


def test_connect_that_hangs_leaves_time_for_another_upstream(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full, contextlib.ExitStack() as stack:
        for _ in range(3):  # fills the backlog: further connects hang
            conn = stack.enter_context(socket.socket())
            conn.setblocking(False)
            conn.connect_ex(full.getsockname())
        with running(tmp_path, echo) as (program, upstreams, discovery):
            unreachable = entry("s-9", full.getsockname()[1])
            both = make_endpoint_list(entry("s-0", upstreams[0].port), unreachable, index=2)
            discovery.push(json.dumps(both).encode())
            until(lambda: program.counters().get("endpoint_lists") == 1)
            codes = [program.exchange(request("pay", b"x", 240))[0] for _ in range(30)]
            assert set(codes) == {200} and program.counters()["attempt_no_connection"] > 0


def test_rule_1_hung_upstreams_do_not_delay_the_answer_past_the_deadline(tmp_path: Path) -> None:
    with running(tmp_path, hang, hang) as (program, _, _d):
        assert program.exchange(request("pay", b"x", 300))[0] == 500
        assert program.counters()["attempt_cancelled"] == 1


def test_rule_3_no_request_goes_to_a_draining_upstream(tmp_path: Path) -> None:
    with running(tmp_path, echo, echo) as (program, upstreams, discovery):
        update = make_endpoint_list(entry("s-0", upstreams[0].port, "Terminating"), index=2, snapshot=False)
        discovery.push(json.dumps(update).encode())
        until(lambda: program.counters().get("endpoint_lists") == 1)
        for _ in range(12):
            assert program.exchange(request())[0] == 200
        assert upstreams[0].received == [] and len(upstreams[1].received) == 12
        discovery.push(json.dumps(make_endpoint_list(index=3)).encode())
        until(lambda: program.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 503)


def test_rule_4_a_new_upstream_gets_fewer_requests(tmp_path: Path) -> None:
    with running(tmp_path, echo, echo) as (program, upstreams, discovery):
        new = entry("s-9", upstreams[0].port, since_ms=int(time.time() * 1000))
        old = entry("s-1", upstreams[1].port)
        discovery.push(json.dumps(make_endpoint_list(new, old, index=2)).encode())
        until(lambda: program.counters().get("endpoint_lists") == 1)
        for _ in range(60):
            assert program.exchange(request())[0] == 200
        assert 0 < len(upstreams[0].received) < 25


def test_watch_that_ends_or_is_malformed_is_reopened(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, upstreams, discovery):
        discovery.push(b"")
        discovery.push(b"{not json")
        until(lambda: len(discovery.watches) == 2)
        changed = make_endpoint_list(entry("s-0", upstreams[0].port), index=9, snapshot=False)
        discovery.push(json.dumps(changed).encode())
        until(lambda: program.counters().get("endpoint_lists") == 1)
        discovery.watches[-1].shutdown(socket.SHUT_RDWR)
        until(lambda: len(discovery.watches) == 3)
        assert discovery.received[-1].line == "GET /catalog/members?watch=1&after=9 HTTP/1.1"
        assert program.exchange(request())[0] == 200 and program.counters()["watches_ended"] == 2


def test_sighup_during_the_first_read_of_the_configuration_reloads_it_at_start(tmp_path: Path) -> None:
    """Guards against a SIGHUP during the first read of the configuration that ends the program. The
    configuration is a named pipe, so that the program blocks on it; the file that replaces it holds another
    address of discovery."""
    old, new, path = DiscoveryServer(), DiscoveryServer(), tmp_path / "config.json"
    data = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "1",
        "known": make_endpoint_list(),
        "settings": SETTINGS,
        "discovery": f"127.0.0.1:{old.port}",
    }
    moved = tmp_path / "moved.json"
    data["listen"] = f"{CLIENT_HOST}:{free_port(CLIENT_HOST)}"
    moved.write_text(json.dumps({**data, "discovery": f"127.0.0.1:{new.port}"}))
    os.mkfifo(path)
    process = start(path, (tmp_path / "log").open("wb"))
    try:
        with path.open("w") as pipe:  # returns once the program has opened it to read
            process.send_signal(signal.SIGHUP)
            os.replace(moved, path)
            pipe.write(json.dumps(data))
        until(lambda: bool(new.watches) or process.poll() is not None)
        assert process.poll() is None and len(new.watches) == 1
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()


def test_run_command_ignores_sighup_until_the_program_handles_it() -> None:
    """A SIGHUP that comes while the interpreter starts would end the process: no handler is installed yet."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    program = "exec .venv/bin/python -B -m indigokeel"
    assert run.endswith(program)
    command = run.removesuffix(program) + "exec grep SigIgn /proc/self/status"
    found = subprocess.run(["/bin/sh", "-c", command], capture_output=True, text=True, check=True).stdout
    assert int(found.split()[1], 16) & 1 << (signal.SIGHUP - 1)


def test_sighup_moves_the_watch_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    with running(tmp_path, echo, echo) as (program, upstreams, discovery):
        until(lambda: len(discovery.watches) == 1)
        good = json.loads(program.config.read_text())
        invalid = ("{", "{}", json.dumps({**good, "discovery": "nowhere"}))
        for number, text in enumerate(invalid, 1):
            program.config.write_text(text)
            program.process.send_signal(signal.SIGHUP)
            # One at a time: pending signals of the same number are merged.
            until(partial(program.has_logged, "the configuration is unchanged", number))
        until(lambda: program.counters()["reloads_failed"] == 3)
        for version in (2, 3):
            newer = DiscoveryServer()
            program.config.write_text(json.dumps({**good, "discovery": f"127.0.0.1:{newer.port}"}))
            for _ in range(version):  # several signals at once move the watch only once
                program.process.send_signal(signal.SIGHUP)
            until(lambda: len(newer.watches) == 1)  # noqa: B023
            # The old watch ends once the new one is open; this does not count as a failure.
            assert discovery.watches[-1].recv(1) == b""
            endpoint = entry("s-0", upstreams[0].port, "Terminating" if version == 2 else "Ready")
            newer.push(json.dumps(make_endpoint_list(endpoint, index=version, snapshot=False)).encode())
            until(lambda: program.counters().get("endpoint_lists") == version - 1)  # noqa: B023
            discovery.close()
            discovery = newer
        counters = program.counters()
        assert (counters["discovery_calls"], counters.get("watches_ended", 0)) == (3, 0)
        program.process.send_signal(signal.SIGHUP)
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGHUP)
        assert program.exchange(request())[0] == 200 and program.process.wait(TIMEOUT_S) == 0
        discovery.close()


def test_client_that_disconnects_is_noticed_while_its_request_runs(tmp_path: Path) -> None:
    with running(tmp_path, hang) as (program, upstreams, _):
        with program.connect() as conn:
            conn.sendall(request("pay", b"x"))
            until(lambda: len(upstreams[0].received) == 1)
            assert program.counters()["requests_unanswered"] == 1
        until(lambda: program.counters().get("clients_disconnected") == 1)
        assert program.counters()["requests_unanswered"] == 0


def test_idle_connection_that_the_upstream_closed_is_not_reused(tmp_path: Path) -> None:
    with running(tmp_path, lambda message: b"!" + echo(message)) as (program, upstreams, _):
        for count in (1, 2):
            assert program.exchange(request("pay", b"x"))[0] == 200
            until(lambda: upstreams[0].connections_closed == count)  # noqa: B023
        assert program.counters()["upstream_connections"] == 2 and len(upstreams[0].received) == 2


def test_program_survives_running_out_of_descriptors(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d):
        # The system allows far fewer than the configuration says.
        soft = len(os.listdir(f"/proc/{program.process.pid}/fd")) + 6
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (soft, soft))
        with contextlib.ExitStack() as stack:
            for _ in range(20):
                stack.enter_context(program.connect())
            # The connections over the limit are closed, whether it was reached on accept or before.
            until(lambda: program.counters()["client_connections_open"] < 20)

        def served() -> bool:
            with contextlib.suppress(OSError):
                return program.exchange(request())[0] == 200
            return False

        until(served)


def test_connections_are_bounded_and_those_without_a_request_are_evicted(tmp_path: Path) -> None:
    """Guards against crowds: hundreds of clients that connect and send nothing, or that send a health check
    and stay connected."""
    with running(tmp_path, echo, sockets=40) as (program, _, _d), contextlib.ExitStack() as stack:
        worker = stack.enter_context(program.connect())
        file = worker.makefile("rb")
        worker.sendall(request())
        assert read_response(file)[0] == 200
        crowd = [stack.enter_context(program.connect()) for _ in range(12)]
        for conn in crowd[8:]:
            conn.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert crowd[0].recv(1) == b""
        worker.sendall(request())
        assert read_response(file)[0] == 200
        assert program.counters()["client_connections_open"] <= 8


def test_client_that_sends_its_request_slowly_is_not_evicted_before_silent_ones(tmp_path: Path) -> None:
    """Guards against the eviction of a client that sends its request slowly: one that took 2 s to send was
    evicted after 0.5 s to make room for a new connection."""
    with running(tmp_path, echo, sockets=40) as (program, _, _d), contextlib.ExitStack() as stack:
        slow = stack.enter_context(program.connect())
        message = request("pay", b"x")
        for at in range(10):  # the oldest connection, and the request that has been arriving for the longest
            slow.sendall(message[at * 9 : at * 9 + 9])
            conn = stack.enter_context(program.connect())
            conn.sendall(b"POST /pay/1 HTTP/1.1\r\nHost")
            time.sleep(0.12)
        slow.sendall(message[90:])
        assert read_response(slow.makefile("rb"))[0] == 200
        assert program.counters()["clients_evicted"] >= 1


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"", b""),
        (b"GET /view/1 HTTP/1.1\r\nHost:", b"HTTP/1.1 408 "),
        (request("pay", b"x" * 9)[:-3], b"HTTP/1.1 408 "),
        (
            b"POST /pay/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 300_000,
            b"HTTP/1.1 413 ",
        ),
        (request("pay", b"", more="Transfer-Encoding: chunked\r\n"), b"HTTP/1.1 400 "),
        (b"GET /view/1 HTTP/1.1\r\n" + b"A: b\r\n" * 20_000, b"HTTP/1.1 431 "),
        (request(wait_ms=-5), b"HTTP/1.1 400 "),
        (request("odd"), b"HTTP/1.1 400 "),
    ],
)
def test_bad_clients_get_an_error_or_a_close_within_3_s(tmp_path: Path, sent: bytes, expected: bytes) -> None:
    with running(tmp_path, echo) as (program, upstreams, _), program.connect() as conn:
        began, got = time.monotonic(), b""
        with contextlib.suppress(ConnectionError):
            conn.sendall(sent)
            while data := conn.recv(1000):
                got += data
        assert time.monotonic() - began < 3.0 and got.startswith(expected) and upstreams[0].received == []


def test_responses_end_their_connection_when_clients_hold_many(tmp_path: Path) -> None:
    """Guards against idle connections that use up the limit: in an incident, clients that had sent a single
    request and stayed connected left no room for others."""
    with running(tmp_path, echo, sockets=60) as (program, _, _d), contextlib.ExitStack() as stack:
        ended = []
        for _ in range(16):
            file = stack.enter_context(program.connect())
            file.sendall(request())
            ended.append(read_response(file.makefile("rb"))[1].headers.get("connection") == "close")
        assert ended == [False] * 10 + [True] * 6


def test_accepted_requests_are_answered_after_sigterm_and_the_process_exits(tmp_path: Path) -> None:
    respond = threading.Event()

    def slow(message: Message) -> bytes:
        respond.wait(TIMEOUT_S)
        return echo(message)

    with (
        running(tmp_path, slow) as (program, upstreams, _),
        program.connect() as idle,
        program.connect() as conn,
    ):
        conn.sendall(request("pay", b"x", 15_000))
        until(lambda: len(upstreams[0].received) == 1)
        program.process.send_signal(signal.SIGTERM)
        # The idle connection is closed once no new request is accepted; the one with a request stays open.
        assert idle.recv(1) == b""
        respond.set()
        code, answer = read_response(conn.makefile("rb"))
        assert (code, answer.body, answer.headers["connection"]) == (200, b"x", "close")
        assert program.process.wait(TIMEOUT_S) == 0
        counters = program.last_counters()
        assert (counters["requests_unanswered"], counters["requests_served"]) == (0, 1)


@pytest.mark.parametrize("text", [None, "", "{}", "[1]", '{"listen":"x"}'])
def test_bad_configuration_logs_one_line_and_exits_with_2(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-B", "-m", "indigokeel"],
        cwd=ROOT,
        env={"PATH": os.environ["PATH"], "BALANCER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and done.stdout == ""
    assert done.stderr.startswith("indigokeel: bad configuration: ") and done.stderr.count("\n") == 1


def test_request_that_a_stalled_process_cannot_answer_in_time_is_rejected_at_once(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d):

        def is_shed() -> bool:
            program.process.send_signal(signal.SIGSTOP)
            time.sleep(2.0)  # long enough for a single lag sample to show that the loop is overloaded
            program.process.send_signal(signal.SIGCONT)
            with program.connect() as conn, conn.makefile("rb") as file:
                for _ in range(20):
                    conn.sendall(request(wait_ms=200))
                    code, message = read_response(file)
                    if code == 503 and program.counters().get("requests_shed_early", 0):
                        return message.headers["retry-after"] == "0.250"
            return False

        until(is_shed)
        until(lambda: program.exchange(request())[0] == 200)


def test_fast_upstreams_are_sent_requests_for_good_without_hedging(tmp_path: Path) -> None:
    """Guards against a learned attempt timeout that is too short for the attempt to be sent."""
    limits = {**SETTINGS["limits"], "second-copies": False}
    classes = [{"name": "view", "objective-s": 5.0, "deadline-s": 5.0, "effect": "safe"}]
    settings = {**SETTINGS, "classes": classes, "limits": limits}
    with (
        running(tmp_path, echo, echo, settings=settings) as (program, _, _discovery),
        program.connect() as conn,
        conn.makefile("rb") as file,
    ):
        for _ in range(400):
            conn.sendall(request())
            assert read_response(file)[0] == 200


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP])
def test_repeated_signals_during_shutdown_do_not_change_the_exit_status(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Guards against a signal that kills the process because it comes after the handlers were removed."""
    for _ in range(3):
        with running(tmp_path, echo) as (program, _, _discovery):
            assert program.exchange(request())[0] == 200
            program.process.send_signal(signal.SIGTERM)
            while program.process.poll() is None:
                program.process.send_signal(number)
            assert program.process.returncode == 0


# Sends signals until the process has gone; exit status 1 if it outlives them all.
FLOOD = """
import os, signal, sys
try:
    for _ in range(2_000_000):
        for number in (signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP):
            os.kill(int(sys.argv[1]), number)
except ProcessLookupError:
    sys.exit(0)
sys.exit(1)
"""


def test_flood_of_signals_does_not_hold_up_the_shutdown(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _discovery):
        assert program.exchange(request())[0] == 200
        program.process.send_signal(signal.SIGTERM)
        command = [sys.executable, "-c", FLOOD, str(program.process.pid)]
        floods = [subprocess.Popen(command) for _ in range(2)]
        until(lambda: program.process.poll() is not None or all(flood.poll() is not None for flood in floods))
        program.process.wait()
        assert [flood.wait() for flood in floods] == [0, 0] and program.process.returncode == 0


@pytest.mark.parametrize(("class_name", "body", "code"), [("pay", b"7", 200), ("view", None, 503)])
def test_late_response_is_delivered_to_clients_that_cannot_retry(
    tmp_path: Path, class_name: str, body: bytes | None, code: int
) -> None:
    """Guards against a 500 for a payment that its upstream carries out while the client still waits."""

    def late(message: Message) -> bytes:
        time.sleep(1.0)  # the latency objective is 0.6 s, the client's timeout 5 s
        return echo(message)

    with running(tmp_path, late) as (program, (upstream,), _discovery):
        assert program.exchange(request(class_name, body))[0] == code
        assert len(upstream.received) == 1
        served = int(code == 200)
        counters = program.counters()
        assert (
            counters.get("requests_served", 0),
            counters.get("requests_rejected_latency_objective", 0),
        ) == (
            served,
            1 - served,
        )
