"""The program on real sockets, with scripted peers: the life of a request, the four rules, its end."""

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
    CLIENTS,
    ROOT,
    SETTINGS,
    WAIT,
    DiscoveryClient,
    Message,
    entry,
    free_port,
    ok,
    parse_endpoint_list,
    read_answer,
    request,
    running,
    start,
    status,
    until,
)


def echo(message: Message) -> bytes:
    return ok(message.body or b"none", "Server-Load: util=0.5,qps=10\r\n")


def hang(message: Message) -> bytes | None:
    time.sleep(WAIT)
    return None


def test_requests_are_forwarded_unchanged_and_counted(tmp_path: Path) -> None:
    big = os.urandom(64 * 1024)
    with running(tmp_path, echo) as (program, upstreams, _):
        code, answer = program.ask(request("order", big, 5000, "Idempotency-Key: k7\r\n", key="a/b?c=%20d"))
        assert (code, answer.body) == (200, big)
        until(lambda: program.counters()["upstream_connections_idle"] == 1)
        assert program.ask(request("view"))[1].body == b"none"
        first, second = upstreams[0].got
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
        assert read_answer(file)[1].body == b"one" and read_answer(file)[1].body == b"abc"
        for byte in request("pay", b"xyz"):
            conn.sendall(bytes([byte]))
        assert read_answer(file)[1].body == b"xyz"
        conn.sendall(request("pay", b"late", more="Expect: 100-continue\r\n")[:-4])
        assert file.readline().startswith(b"HTTP/1.1 100") and file.readline() == b"\r\n"
        conn.sendall(b"late")
        assert read_answer(file)[1].body == b"late"
        conn.sendall(request(more="Connection: close\r\n"))
        assert read_answer(file)[0] == 200 and file.read() == b""
        assert len(upstreams[0].got) == 5


@pytest.mark.parametrize(
    ("raw", "code"),
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
    tmp_path: Path, raw: bytes, code: int
) -> None:
    with running(tmp_path, echo) as (program, upstreams, _):
        with program.connect() as conn:
            conn.sendall(raw)
            file = conn.makefile("rb")
            assert read_answer(file)[0] == code and file.read() == b""
        assert program.ask(b"GET /odd HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 400
        assert upstreams[0].got == [] and program.ask(request())[0] == 200


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
def test_bad_answer_of_a_node_is_an_ending_and_is_not_sent_again(
    tmp_path: Path, answer: bytes | None, code: int
) -> None:
    """Rule 2: only the upstream's own word proves that an unsafe request has not run."""

    with running(tmp_path, lambda message: answer) as (program, upstreams, _):
        assert program.ask(request("pay", b"x", 400))[0] == code
        assert len(upstreams[0].got) == 1 and program.process.poll() is None


@pytest.mark.parametrize("ahead", [b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 3])
@pytest.mark.parametrize("behind", [ok(b"strange"), b"noise", b"\r\n"])
def test_nothing_left_behind_a_response_reaches_the_next_request(
    tmp_path: Path, ahead: bytes, behind: bytes
) -> None:
    with running(tmp_path, lambda m: ahead + ok(m.body) + behind) as (program, _, _d):
        for body in (b"first", b"second", b"third"):
            code, answer = program.ask(request("pay", body))
            assert (code, answer.body) == (200, body)
        assert program.counters()["upstream_connections"] == 3


def test_rejected_request_is_served_elsewhere(tmp_path: Path) -> None:
    turned = status(503, "Not-Started: 1\r\n")
    with running(tmp_path, lambda m: turned, echo, lambda m: turned) as (program, _, _d):
        got = [program.ask(request("pay", b"x", 600))[0] for _ in range(8)]
        assert 200 in got and set(got) <= {200, 503}


def test_machine_that_is_gone_without_a_word_leaves_time_for_another(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=0) as silent, contextlib.ExitStack() as stack:
        for _ in range(3):  # its queue is full: further connections never come up
            conn = stack.enter_context(socket.socket())
            conn.setblocking(False)
            conn.connect_ex(silent.getsockname())
        with running(tmp_path, echo) as (program, upstreams, discovery):
            gone = entry("s-9", silent.getsockname()[1])
            both = parse_endpoint_list(entry("s-0", upstreams[0].port), gone, index=2)
            discovery.push(json.dumps(both).encode())
            until(lambda: program.counters().get("endpoint_lists") == 1)
            codes = [program.ask(request("pay", b"x", 240))[0] for _ in range(30)]
            assert set(codes) == {200} and program.counters()["attempt_no_connection"] > 0


def test_rule_1_hung_nodes_do_not_hold_the_answer_past_the_deadline(tmp_path: Path) -> None:
    with running(tmp_path, hang, hang) as (program, _, _d):
        assert program.ask(request("pay", b"x", 300))[0] == 500
        assert program.counters()["attempt_cancelled"] == 1


def test_rule_3_nothing_goes_to_a_node_that_drains(tmp_path: Path) -> None:
    with running(tmp_path, echo, echo) as (program, upstreams, discovery):
        drained = parse_endpoint_list(entry("s-0", upstreams[0].port, "Terminating"), index=2, whole=False)
        discovery.push(json.dumps(drained).encode())
        until(lambda: program.counters().get("endpoint_lists") == 1)
        for _ in range(12):
            assert program.ask(request())[0] == 200
        assert upstreams[0].got == [] and len(upstreams[1].got) == 12
        discovery.push(json.dumps(parse_endpoint_list(index=3)).encode())
        until(lambda: program.ask(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 503)


def test_rule_4_a_fresh_node_gets_less(tmp_path: Path) -> None:
    with running(tmp_path, echo, echo) as (program, upstreams, discovery):
        fresh = entry("s-9", upstreams[0].port, since_ms=int(time.time() * 1000))
        old = entry("s-1", upstreams[1].port)
        discovery.push(json.dumps(parse_endpoint_list(fresh, old, index=2)).encode())
        until(lambda: program.counters().get("endpoint_lists") == 1)
        for _ in range(60):
            assert program.ask(request())[0] == 200
        assert 0 < len(upstreams[0].got) < 25


def test_watch_that_ends_or_cannot_be_read_is_asked_for_again(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, upstreams, discovery):
        discovery.push(b"")
        discovery.push(b"{not json")
        until(lambda: len(discovery.watches) == 2)
        changed = parse_endpoint_list(entry("s-0", upstreams[0].port), index=9, whole=False)
        discovery.push(json.dumps(changed).encode())
        until(lambda: program.counters().get("endpoint_lists") == 1)
        discovery.watches[-1].shutdown(socket.SHUT_RDWR)
        until(lambda: len(discovery.watches) == 3)
        assert discovery.got[-1].line == "GET /catalog/members?watch=1&after=9 HTTP/1.1"
        assert program.ask(request())[0] == 200 and program.counters()["watches_ended"] == 2


def test_sighup_that_comes_as_the_file_is_read_is_taken_in_once_the_program_serves(tmp_path: Path) -> None:
    """The configuration is a pipe, so that the program stands at its first step; what takes its place
    moves discovery. Before, a SIGHUP then ended the program."""
    old, new, path = DiscoveryClient(), DiscoveryClient(), tmp_path / "config.json"
    data = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "1",
        "known": parse_endpoint_list(),
        "settings": SETTINGS,
        "discovery": f"127.0.0.1:{old.port}",
    }
    moved = tmp_path / "moved.json"
    data["listen"] = f"{CLIENTS}:{free_port(CLIENTS)}"
    moved.write_text(json.dumps({**data, "discovery": f"127.0.0.1:{new.port}"}))
    os.mkfifo(path)
    process = start(path, (tmp_path / "log").open("wb"))
    try:
        with path.open("w") as pipe:  # once the program reads
            process.send_signal(signal.SIGHUP)
            os.replace(moved, path)
            pipe.write(json.dumps(data))
        until(lambda: bool(new.watches) or process.poll() is not None)
        assert process.poll() is None and len(new.watches) == 1
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT) == 0
    finally:
        process.kill()
        process.wait()


def test_run_line_ignores_sighup_until_the_program_listens_for_it() -> None:
    """A signal that comes while the interpreter starts would end the process: nobody handles it yet."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    program = "exec .venv/bin/python -B -m indigokeel"
    assert run.endswith(program)
    asked = run.removesuffix(program) + "exec grep SigIgn /proc/self/status"
    found = subprocess.run(["/bin/sh", "-c", asked], capture_output=True, text=True, check=True).stdout
    assert int(found.split()[1], 16) & 1 << (signal.SIGHUP - 1)


def test_sighup_moves_the_watch_and_an_unreadable_file_changes_nothing(tmp_path: Path) -> None:
    with running(tmp_path, echo, echo) as (program, upstreams, discovery):
        until(lambda: len(discovery.watches) == 1)
        good = json.loads(program.config.read_text())
        bad = ("{", "{}", json.dumps({**good, "discovery": "nowhere"}))
        for number, text in enumerate(bad, 1):
            program.config.write_text(text)
            program.process.send_signal(signal.SIGHUP)
            # Each by itself: signals of one kind that wait are merged.
            until(partial(program.logged, "the configuration is unchanged", number))
        until(lambda: program.counters()["reloads_failed"] == 3)
        for version in (2, 3):
            newer = DiscoveryClient()
            program.config.write_text(json.dumps({**good, "discovery": f"127.0.0.1:{newer.port}"}))
            for _ in range(version):  # several at once are one move
                program.process.send_signal(signal.SIGHUP)
            until(lambda: len(newer.watches) == 1)  # noqa: B023
            # The old watch ends once the new one is up, and that is no failure.
            assert discovery.watches[-1].recv(1) == b""
            drained = entry("s-0", upstreams[0].port, "Terminating" if version == 2 else "Ready")
            newer.push(json.dumps(parse_endpoint_list(drained, index=version, whole=False)).encode())
            until(lambda: program.counters().get("endpoint_lists") == version - 1)  # noqa: B023
            discovery.close()
            discovery = newer
        counters = program.counters()
        assert (counters["discovery_calls"], counters.get("watches_ended", 0)) == (3, 0)
        program.process.send_signal(signal.SIGHUP)
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGHUP)
        assert program.ask(request())[0] == 200 and program.process.wait(WAIT) == 0
        discovery.close()


def test_client_that_disconnects_is_noticed_while_its_request_runs(tmp_path: Path) -> None:
    with running(tmp_path, hang) as (program, upstreams, _):
        with program.connect() as conn:
            conn.sendall(request("pay", b"x"))
            until(lambda: len(upstreams[0].got) == 1)
            assert program.counters()["requests_unanswered"] == 1
        until(lambda: program.counters().get("clients_disconnected") == 1)
        assert program.counters()["requests_unanswered"] == 0


def test_idle_connection_that_the_node_closed_is_not_used(tmp_path: Path) -> None:
    with running(tmp_path, lambda message: b"!" + echo(message)) as (program, upstreams, _):
        for count in (1, 2):
            assert program.ask(request("pay", b"x"))[0] == 200
            until(lambda: upstreams[0].closed == count)  # noqa: B023
        assert program.counters()["upstream_connections"] == 2 and len(upstreams[0].got) == 2


def test_running_out_of_descriptors_is_survived(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d):
        # The system allows far fewer than the configuration says.
        soft = len(os.listdir(f"/proc/{program.process.pid}/fd")) + 6
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (soft, soft))
        with contextlib.ExitStack() as stack:
            for _ in range(20):
                stack.enter_context(program.connect())
            # Those over the bound are closed, whether it was met on accept or before.
            until(lambda: program.counters()["client_connections_open"] < 20)

        def served() -> bool:
            with contextlib.suppress(OSError):
                return program.ask(request())[0] == 200
            return False

        until(served)


def test_connections_are_bounded_and_those_without_a_request_are_evicted(tmp_path: Path) -> None:
    """Found on days with crowds: hundreds connect and say nothing, or ask for health and stay."""
    with running(tmp_path, echo, sockets=40) as (program, _, _d), contextlib.ExitStack() as stack:
        worker = stack.enter_context(program.connect())
        file = worker.makefile("rb")
        worker.sendall(request())
        assert read_answer(file)[0] == 200
        crowd = [stack.enter_context(program.connect()) for _ in range(12)]
        for conn in crowd[8:]:
            conn.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert crowd[0].recv(1) == b""
        worker.sendall(request())
        assert read_answer(file)[0] == 200
        assert program.counters()["client_connections_open"] <= 8


def test_message_that_grows_keeps_its_place_before_those_that_do_not(tmp_path: Path) -> None:
    """Found on days with crowds: a true request written for 2 s was closed for a newcomer after 0.5 s."""
    with running(tmp_path, echo, sockets=40) as (program, _, _d), contextlib.ExitStack() as stack:
        slow = stack.enter_context(program.connect())
        raw = request("pay", b"x")
        for at in range(10):  # the oldest of all, and longer under way than any
            slow.sendall(raw[at * 9 : at * 9 + 9])
            conn = stack.enter_context(program.connect())
            conn.sendall(b"POST /pay/1 HTTP/1.1\r\nHost")
            time.sleep(0.12)
        slow.sendall(raw[90:])
        assert read_answer(slow.makefile("rb"))[0] == 200
        assert program.counters()["clients_evicted"] >= 1


@pytest.mark.parametrize(
    ("raw", "expected"),
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
def test_bad_clients_get_an_error_or_a_close_within_3_s(tmp_path: Path, raw: bytes, expected: bytes) -> None:
    with running(tmp_path, echo) as (program, upstreams, _), program.connect() as conn:
        began, got = time.monotonic(), b""
        with contextlib.suppress(ConnectionError):
            conn.sendall(raw)
            while data := conn.recv(1000):
                got += data
        assert time.monotonic() - began < 3.0 and got.startswith(expected) and upstreams[0].got == []


def test_responses_end_their_connection_when_clients_hold_many(tmp_path: Path) -> None:
    """Found in an incident: connections that asked once and stayed used up the share of the others."""
    with running(tmp_path, echo, sockets=60) as (program, _, _d), contextlib.ExitStack() as stack:
        ended = []
        for _ in range(16):
            file = stack.enter_context(program.connect())
            file.sendall(request())
            ended.append(read_answer(file.makefile("rb"))[1].headers.get("connection") == "close")
        assert ended == [False] * 10 + [True] * 6


def test_sigterm_answers_what_was_taken_and_ends(tmp_path: Path) -> None:
    go = threading.Event()

    def slow(message: Message) -> bytes:
        go.wait(WAIT)
        return echo(message)

    with (
        running(tmp_path, slow) as (program, upstreams, _),
        program.connect() as idle,
        program.connect() as conn,
    ):
        conn.sendall(request("pay", b"x", 15_000))
        until(lambda: len(upstreams[0].got) == 1)
        program.process.send_signal(signal.SIGTERM)
        # The idle connection is closed once nothing new is taken; the request's is not.
        assert idle.recv(1) == b""
        go.set()
        code, answer = read_answer(conn.makefile("rb"))
        assert (code, answer.body, answer.headers["connection"]) == (200, b"x", "close")
        assert program.process.wait(WAIT) == 0
        counters = program.last_counters()
        assert (counters["requests_unanswered"], counters["requests_served"]) == (0, 1)


@pytest.mark.parametrize("text", [None, "", "{}", "[1]", '{"listen":"x"}'])
def test_bad_configuration_is_one_line_and_exit_2(tmp_path: Path, text: str | None) -> None:
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

        def refused() -> bool:
            program.process.send_signal(signal.SIGSTOP)
            time.sleep(2.0)  # the stall: long enough for one late beat to tell
            program.process.send_signal(signal.SIGCONT)
            with program.connect() as conn, conn.makefile("rb") as file:
                for _ in range(20):
                    conn.sendall(request(wait_ms=200))
                    code, message = read_answer(file)
                    if code == 503 and program.counters().get("requests_shed_early", 0):
                        return message.headers["retry-after"] == "0.250"
            return False

        until(refused)
        until(lambda: program.ask(request())[0] == 200)


def test_fast_upstreams_are_sent_requests_for_good_without_hedging(tmp_path: Path) -> None:
    """Guards against a learned time for an attempt that is too short for it to be sent."""
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
            assert read_answer(file)[0] == 200


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP])
def test_signals_in_series_up_to_the_end_leave_the_exit_status(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Guards against a signal that meets the process after its handlers are gone, and kills it."""
    for _ in range(3):
        with running(tmp_path, echo) as (program, _, _discovery):
            assert program.ask(request())[0] == 200
            program.process.send_signal(signal.SIGTERM)
            while program.process.poll() is None:
                program.process.send_signal(number)
            assert program.process.returncode == 0


@pytest.mark.parametrize(("class_name", "body", "code"), [("pay", b"7", 200), ("view", None, 503)])
def test_answer_after_the_latency_objective_reaches_clients_that_cannot_ask_again(
    tmp_path: Path, class_name: str, body: bytes | None, code: int
) -> None:
    """Guards against a 500 to a payment that its upstream carries out while its client still waits."""

    def late(message: Message) -> bytes:
        time.sleep(1.0)  # the objective is 0.6 s, the client waits for 5 s
        return echo(message)

    with running(tmp_path, late) as (program, (upstream,), _discovery):
        assert program.ask(request(class_name, body))[0] == code
        assert len(upstream.got) == 1
        served = int(code == 200)
        counters = program.counters()
        assert (
            counters.get("requests_served", 0),
            counters.get("requests_rejected_latency_objective", 0),
        ) == (
            served,
            1 - served,
        )
