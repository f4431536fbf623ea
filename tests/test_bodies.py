"""Long bodies of requests and responses, sent through the program on real sockets."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import struct
import subprocess
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from tests.peers import (
    LONG_RESPONSE_BLOCK,
    LONG_RESPONSE_SIZE,
    OPEN_CHUNKED_RESPONSE,
    TIMEOUT_S,
    Message,
    RawUpstream,
    echo,
    entry,
    ok,
    peak_rss_kb,
    program_rss_kb,
    read_message,
    read_response,
    request,
    running,
    running_with,
    send_long_response,
    until,
)

LONG_BODY = os.urandom(1 << 20)
LONG_UPLOAD_BYTES = 32 << 20  # more than the sockets on the way to an upstream hold


def chunked(body: bytes, size: int) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x;ext=1\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\nTrailer: x\r\n\r\n"


@pytest.mark.parametrize(
    "answer",
    [
        ok(LONG_BODY),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\n\r\n" + chunked(LONG_BODY, 7000),
        b"!HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG_BODY,
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1048576 \r\n\r\n" + LONG_BODY,
    ],
)
def test_long_response_is_complete_and_its_connection_reused(tmp_path: Path, answer: bytes) -> None:
    with running(tmp_path, lambda _: answer) as (program, _, _d), program.connect() as conn:
        file = conn.makefile("rb")
        for _ in range(3):
            conn.sendall(request())
            code, got = read_response(file)
            assert code == 200 and got.body == LONG_BODY
        counters = program.counters()
        assert (counters["requests_served"], counters["answers_begun"], counters["requests_unanswered"]) == (
            3,
            3,
            0,
        )


def test_short_response_that_ends_with_its_connection_is_complete(tmp_path: Path) -> None:
    answer = b"!HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end"
    with running(tmp_path, lambda _: answer) as (program, _, _d):
        assert program.exchange(request("pay", b"x"))[1].body == b"to the end"


def test_truncated_long_response_is_visible_to_the_client_and_not_retried(tmp_path: Path) -> None:
    with running(tmp_path, lambda _: b"!" + ok(LONG_BODY)[:-9]) as (program, upstreams, _):
        with program.connect() as conn:
            conn.sendall(request())
            file = conn.makefile("rb")
            code, answer = read_response(file)
            assert code == 200 and len(answer.body) < int(answer.headers["content-length"]) == len(LONG_BODY)
        assert len(upstreams[0].received) == 1 and program.counters()["answers_cut_off"] == 1


def test_32_mb_response_to_a_slow_reader_takes_little_memory(tmp_path: Path) -> None:
    with running(tmp_path, RawUpstream(send_long_response)) as (program, _, _d):
        assert program.counters()["requests_unanswered"] == 0
        before, max_rss, got = program_rss_kb(program), 0, 0
        with program.connect() as conn:
            conn.sendall(request())
            file = conn.makefile("rb")
            assert file.readline().startswith(b"HTTP/1.1 200")
            while file.readline().strip():
                pass
            time.sleep(0.3)  # the client reads nothing for a while, so that the rest waits at the upstream
            while got < LONG_RESPONSE_SIZE:
                data = file.read(min(1 << 20, LONG_RESPONSE_SIZE - got))
                assert data and data == LONG_RESPONSE_BLOCK[: len(data)]
                got += len(data)
                max_rss = max(max_rss, program_rss_kb(program))
        until(lambda: program.counters()["upstream_connections_open"] <= 1)
        assert max_rss - before < 4096 and program_rss_kb(program) - before < 4096  # kB


ENDLESS_TRAILERS = {
    "fields": [b"x-%x: 1\r\n" % number for number in range(200_000)],
    "one": [b"x" * 65536] * 800,
}
MAX_GROWTH_KB = 8 * 1024


def send_until_closed(conn: socket.socket, start: bytes, rest: list[bytes]) -> None:
    """Send a message without end, until the other side closes the connection or all was sent."""
    with contextlib.suppress(OSError):
        conn.sendall(start)
        for at in range(0, len(rest), 1000):
            for _ in range(20):
                conn.sendall(b"".join(rest[at : at + 1000]))


@pytest.mark.parametrize("rest", ENDLESS_TRAILERS.values(), ids=ENDLESS_TRAILERS)
def test_endless_trailer_section_of_a_response_takes_little_memory(tmp_path: Path, rest: list[bytes]) -> None:
    """Guards against the end of the process by one response: 192 MB were held within two seconds."""

    def exchange(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        send_until_closed(conn, OPEN_CHUNKED_RESPONSE + b"0\r\n", rest)

    with running(tmp_path, RawUpstream(exchange)) as (program, _, _d):
        before = peak_rss_kb(program.process.pid)
        assert program.exchange(request("pay", b"x"))[0] == 500
        assert program.counters()["attempt_broken"] == 1
        assert peak_rss_kb(program.process.pid) - before < MAX_GROWTH_KB


@pytest.mark.parametrize("rest", ENDLESS_TRAILERS.values(), ids=ENDLESS_TRAILERS)
def test_endless_trailer_section_of_a_request_takes_little_memory(tmp_path: Path, rest: list[bytes]) -> None:
    """Guards against the end of the process by one client: a trailer field was held without a limit."""
    start = _post(b"1\r\nx\r\n0\r\nx", "Transfer-Encoding: chunked\r\n")
    with running(tmp_path, echo) as (program, upstreams, _):
        before = peak_rss_kb(program.process.pid)
        with program.connect() as conn:
            sender = threading.Thread(target=send_until_closed, args=(conn, start, rest))
            sender.start()
            assert read_response(conn.makefile("rb"))[0] == 431
        sender.join()
        assert program.exchange(request("pay", b"x"))[0] == 200 and len(upstreams[0].received) == 1
        assert peak_rss_kb(program.process.pid) - before < MAX_GROWTH_KB


def test_reset_after_the_last_byte_gives_a_complete_or_visibly_truncated_response(tmp_path: Path) -> None:
    def exchange(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        conn.sendall(ok(LONG_BODY))
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()
        file.close()

    with running(tmp_path, RawUpstream(exchange)) as (program, _, _d):
        truncated = 0
        for _ in range(5):
            with program.connect() as conn:
                conn.sendall(request())
                code, answer = read_response(conn.makefile("rb"))
                truncated += len(answer.body) < len(LONG_BODY)
                assert code == 200 and LONG_BODY.startswith(answer.body)
                assert answer.headers["content-length"] == str(len(LONG_BODY))
        counters = program.counters()
        assert counters["requests_unanswered"] == 0 and counters["answers_begun"] == 5
        # The reset is reported at once, not by the timeout of a stalled stream.
        assert counters.get("answers_cut_off", 0) == truncated


def test_reset_after_half_a_response_is_detected_at_once(tmp_path: Path) -> None:
    process: list[subprocess.Popen[bytes]] = []

    def exchange(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        process[0].send_signal(signal.SIGSTOP)  # the sidecar then sees the data and the reset in one turn
        conn.sendall(ok(b"x" * 100)[:-50])
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()
        file.close()
        process[0].send_signal(signal.SIGCONT)

    with running(tmp_path, RawUpstream(exchange)) as (program, _, _d):
        process.append(program.process)
        assert program.exchange(request("pay", b"x"))[0] == 500
        counters = program.counters()
        assert counters["attempt_broken"] == 1 and "attempt_cancelled" not in counters


def test_client_that_disconnects_during_a_long_response_ends_it_at_the_upstream(tmp_path: Path) -> None:
    ended = threading.Event()

    def exchange(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        try:
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (1 << 30))
            while True:
                conn.sendall(LONG_BODY)
        except OSError:
            ended.set()

    with running(tmp_path, RawUpstream(exchange)) as (program, _, _d):
        with program.connect() as conn:
            conn.sendall(request())
            assert conn.recv(1000)
        assert ended.wait(TIMEOUT_S)
        until(lambda: program.counters()["upstream_connections_open"] == 0)


def test_sigterm_during_a_long_response_lets_it_complete(tmp_path: Path) -> None:
    proceed = threading.Event()

    def exchange(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:100_000])
        assert proceed.wait(TIMEOUT_S)
        conn.sendall(LONG_BODY[100_000:])

    with running(tmp_path, RawUpstream(exchange)) as (program, _, _d), program.connect() as conn:
        conn.sendall(request())
        file = conn.makefile("rb")
        first = file.readline()
        program.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in program.log.read_text())
        proceed.set()
        while file.readline().strip():
            pass
        assert first.startswith(b"HTTP/1.1 200") and file.read(len(LONG_BODY)) == LONG_BODY
        assert program.process.wait(TIMEOUT_S) == 0


def _post(body: bytes, framing: str) -> bytes:
    head = request("pay", b"").replace(b"Content-Length: 0\r\n", framing.encode())
    return head + body


@pytest.mark.parametrize(
    "raw",
    [
        _post(LONG_BODY, f"Content-Length:  {len(LONG_BODY)} \r\n"),
        _post(chunked(LONG_BODY, 9000), "Transfer-Encoding: chunked\r\n"),
        _post(chunked(LONG_BODY, 300_000), "Transfer-Encoding:chunked \r\nExpect: 100-continue\r\n"),
    ],
)
@pytest.mark.parametrize("slow", [False, True])
def test_long_request_is_forwarded_in_full_once(tmp_path: Path, raw: bytes, slow: bool) -> None:
    bodies: list[bytes] = []

    def exchange(conn: socket.socket, file: Any) -> None:
        while (message := read_message(file)) is not None:
            assert message.line.startswith("POST /pay/")
            bodies.append(message.body)
            conn.sendall(ok(b"took %d" % len(message.body)))

    with running(tmp_path, RawUpstream(exchange)) as (program, _, _d), program.connect() as conn:
        file = conn.makefile("rb")
        for number in (1, 2):
            raw = raw.replace(b"Request-Id: ", b"Request-Id: %d" % number, 1)
            if slow:
                head = raw.index(b"\r\n\r\n") + 4
                conn.sendall(raw[:head])
                for at in range(head, len(raw), 1 << 17):
                    conn.sendall(raw[at : at + (1 << 17)])
                    time.sleep(0.002)
            else:
                conn.sendall(raw)
            code, answer = read_response(file)
            if code == 100:
                code, answer = read_response(file)
            assert (code, answer.body) == (200, b"took %d" % len(LONG_BODY))
        assert bodies == [LONG_BODY, LONG_BODY]
        assert program.counters()["requests_unanswered"] == 0


def test_timeout_of_a_long_request_starts_at_its_last_byte(tmp_path: Path) -> None:
    """Sending takes longer than the client's timeout for the response, but the request is served."""
    with running(tmp_path, echo) as (program, _, _d), program.connect() as conn:
        raw = request("pay", LONG_BODY, wait_ms=300)
        conn.sendall(raw[:200_000])
        time.sleep(0.5)
        conn.sendall(raw[200_000:])
        assert read_response(conn.makefile("rb"))[1].body == LONG_BODY


@pytest.mark.parametrize(
    "framing", [f"Content-Length: {LONG_UPLOAD_BYTES}\r\n", "Transfer-Encoding: chunked\r\n"]
)
def test_long_request_is_answered_in_time_if_its_upstream_reads_nothing(tmp_path: Path, framing: str) -> None:
    """Guards against a request that was never answered: its time limit waited for an unread byte."""
    answered = threading.Event()
    received: list[bytes] = []

    def exchange(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        assert answered.wait(TIMEOUT_S)
        received.append(file.read())  # up to the end of the connection

    body = bytes(LONG_UPLOAD_BYTES)
    raw = _post(body if "Length" in framing else chunked(body, 1 << 16), framing)
    with running(tmp_path, RawUpstream(exchange)) as (program, _, _d), program.connect() as conn:
        sender = threading.Thread(target=conn.sendall, args=(raw,))
        sender.start()
        file = conn.makefile("rb")
        try:
            assert read_response(file)[0] == 500
        finally:
            answered.set()
        sender.join()  # the rest of the body is read and discarded
        until(lambda: bool(received))
        assert len(received[0]) < LONG_UPLOAD_BYTES
        counters = program.counters()
        assert (counters["requests_failed_deadline"], counters["attempt_cancelled"]) == (1, 1)
        conn.sendall(request("view"))
        assert read_response(file)[0] in (200, 500, 503)  # the connection is still in use


@pytest.mark.parametrize("begun_before", [True, False])
def test_long_request_is_answered_in_its_own_time_during_a_shutdown(
    tmp_path: Path, begun_before: bool
) -> None:
    """Guards against an answer at the end of the process, seconds after the client's time."""
    ended = threading.Event()

    def hang(message: Message) -> bytes:
        assert ended.wait(TIMEOUT_S)
        return echo(message)

    with running(tmp_path, hang) as (program, _, _d), program.connect() as conn:
        raw = request("pay", LONG_BODY, wait_ms=300)
        sent = 200_000 if begun_before else 100
        conn.sendall(raw[:sent])
        if begun_before:
            until(lambda: program.counters().get("requests_accepted") == 1)
        program.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in program.log.read_text())
        conn.sendall(raw[sent:])
        assert read_response(conn.makefile("rb"))[0] == 500
        assert program.process.wait(TIMEOUT_S) == 0
        ended.set()
        counters = program.last_counters()
        assert (counters["requests_failed"], counters.get("requests_failed_deadline")) == (1, 1)


def test_long_request_is_rejected_if_it_waited_for_too_long_behind_another(tmp_path: Path) -> None:
    """Guards against an answer after the client's time, which passes while a long body waits to be read."""

    def upstream(message: Message) -> bytes:
        time.sleep(0.5)
        return echo(message)

    with running(tmp_path, upstream) as (program, upstreams, _), program.connect() as conn:
        raw = request("pay", b"first") + request("pay", LONG_BODY, wait_ms=300)
        sender = threading.Thread(target=conn.sendall, args=(raw,))
        sender.start()
        file = conn.makefile("rb")
        assert read_response(file)[1].body == b"first"
        assert read_response(file)[0] == 503
        sender.join()
        assert [message.body for message in upstreams[0].received] == [b"first"]


def test_truncated_long_request_is_never_complete_at_the_upstream(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, upstreams, _):
        with program.connect() as conn:
            conn.sendall(request("pay", LONG_BODY)[:-9])
            until(lambda: program.counters().get("requests_accepted", 0) == 1)
        until(lambda: program.counters()["requests_unanswered"] == 0)
        until(lambda: program.counters()["upstream_connections_open"] == 0)
        assert all(len(message.body) <= len(LONG_BODY) - 9 for message in upstreams[0].received)


def test_long_request_without_an_upstream_gets_its_response_at_once_and_is_read_to_its_end(
    tmp_path: Path,
) -> None:
    closed = socket.create_server(("127.0.0.1", 0))
    port = closed.getsockname()[1]
    closed.close()
    with running_with(tmp_path, entry("s-0", port)) as program, program.connect() as conn:
        file = conn.makefile("rb")
        raw = request("pay", LONG_BODY)
        conn.sendall(raw[:300_000])
        code, answer = read_response(file)  # before the rest is sent
        assert code == 503 and "retry-after" in answer.headers
        conn.sendall(raw[300_000:])
        conn.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert read_response(file)[0] == 200


def test_long_request_waits_for_the_request_before_it_on_its_connection(tmp_path: Path) -> None:
    proceed = threading.Event()

    def upstream(message: Message) -> bytes:
        if message.body == b"first":
            assert proceed.wait(TIMEOUT_S)
        return echo(message)

    with running(tmp_path, upstream) as (program, _, _d), program.connect() as conn:
        sender = threading.Thread(
            target=conn.sendall, args=(request("pay", b"first") + request("pay", LONG_BODY),)
        )
        sender.start()
        until(lambda: program.counters().get("requests_accepted", 0) == 1)
        proceed.set()
        file = conn.makefile("rb")
        assert read_response(file)[1].body == b"first"
        code, answer = read_response(file)
        assert (code, answer.body) == (200, LONG_BODY)
        sender.join()
