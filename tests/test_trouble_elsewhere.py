"""Tests that disturbances leave well-behaved clients unharmed: each of their requests gets one complete final
answer in time, while upstreams, other clients or the system fail steadily and during the whole shutdown."""

from __future__ import annotations

import contextlib
import os
import resource
import signal
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.peers import (
    TIMEOUT_S,
    Message,
    Peer,
    Program,
    RawUpstream,
    echo,
    ok,
    read_response,
    request,
    running,
    until,
)
from tests.test_shutdown import MAX_STALL_S, StallDetector, settings_with_deadline

DEADLINE_S = 0.5
SCHEDULING_SLACK_S = 0.2  # for the threads of both sides; a run in which the machine stalled does not count
CLIENTS, ANSWERS, MAX_RUNS = 4, 12, 10
SOCKETS = 64


class WellBehavedClient:
    """Sends one request after another, and reconnects whenever its connection was closed."""

    def __init__(self, program: Program, class_name: str) -> None:
        self._program, self._class = program, class_name
        self.answered: set[str] = set()
        self.lost: list[str] = []  # requests whose connection was closed without an answer
        self.violations: list[object] = []
        self.slowest = 0.0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def end(self) -> None:
        self._ended.set()
        self._thread.join(TIMEOUT_S)
        if self._thread.is_alive():
            self.violations.append("still waiting for an answer")

    def _run(self) -> None:
        while not self._ended.is_set():
            with contextlib.suppress(OSError), self._program.connect() as conn, conn.makefile("rb") as file:
                while not self._ended.is_set() and self._ask(conn, file):
                    pass
            time.sleep(0.002)

    def _ask(self, conn: socket.socket, file: Any) -> bool:
        """Send one request; return whether its connection can be used for another."""
        message = request(self._class, b"x", wait_ms=int(DEADLINE_S * 1000))
        name = message.partition(b"Request-Id: ")[2][:16].decode()
        sent_at = time.monotonic()
        try:
            conn.sendall(message)
            code, answer = read_response(file)
        except TimeoutError:
            self.violations.append(f"{name}: no answer")
            return False
        except ConnectionError:
            self.lost.append(name)
            return False
        self.slowest = max(self.slowest, time.monotonic() - sent_at)
        if code not in (200, 500, 503) or len(answer.body) != int(answer.headers["content-length"]):
            self.violations.append((name, code, answer))
        self.answered.add(name)
        return answer.headers.get("connection") != "close"


# --- upstreams ----------------------------------------------------------------------------------------------


def answering(data: bytes | None) -> Callable[[], Peer]:
    return lambda: Peer(lambda _: data)


def endless(first: bytes, chunk: bytes, pause: float = 0.0) -> Callable[[], Peer]:
    """Return a factory of upstreams that begin each answer and never end it."""

    def answer(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        conn.sendall(first)
        while True:
            conn.sendall(chunk)
            time.sleep(pause)

    return lambda: RawUpstream(answer)


def stopping() -> Peer:
    """Return an upstream that stops listening after a few requests."""

    def serve(message: Message) -> bytes | None:
        if len(peer.received) < 8:
            return echo(message)
        peer.close()
        return None

    peer = Peer(serve)
    return peer


def silent() -> Peer:
    ended = threading.Event()

    def wait(_: Message) -> None:
        ended.wait(4.0 * TIMEOUT_S)

    return Peer(wait)


OK = b"HTTP/1.1 200 OK\r\n"
UPSTREAMS: dict[str, Callable[[], Peer]] = {
    "hang": silent,
    "stop listening": stopping,
    "close": answering(None),
    "truncated answer": answering(b"!" + OK + b"Content-Length: 100\r\n\r\nhalf"),
    "garbage": answering(b"!\x00\xff\r\n\r\n"),
    "two answers": answering(ok(b"one") + ok(b"two")),
    "endless head": endless(OK, b"X: y\r\n" * 100),
    "endless interim responses": endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "slow body": endless(OK + b"Content-Length: 1000\r\n\r\n", b"x", 0.02),
}


# --- other clients, and the system --------------------------------------------------------------------------


def flood_with_connections(program: Program, ended: threading.Event) -> None:
    """Keep opening connections that stay open and send nothing, half a request, noise or a long pipeline."""
    payloads = [b"", request("view")[:-3], b"noise\r\n\r\n", request("view") * 12, request("view")]
    conns: list[socket.socket] = []
    for number in range(10**6):
        if ended.is_set():
            break
        with contextlib.suppress(OSError):
            conn = program.connect()
            conns.append(conn)
            conn.sendall(payloads[number % len(payloads)])
        if len(conns) > 200:
            conns.pop(0).close()
        time.sleep(0.003)
    for conn in conns:
        conn.close()


def exhaust_descriptors(program: Program, _: threading.Event) -> None:
    soft = len(os.listdir(f"/proc/{program.process.pid}/fd")) + 1
    resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (soft, soft))


def no_disturbance(_program: Program, _: threading.Event) -> None:
    pass


Disturbance = Callable[[Program, threading.Event], None]
CASES: list[tuple[int, str, Disturbance]] = [  # number of healthy upstreams, and the kind of the two others
    *((1, name, no_disturbance) for name in UPSTREAMS),
    (0, "hang", no_disturbance),
    (0, "stop listening", no_disturbance),
    (1, "healthy", flood_with_connections),
    (1, "hang", flood_with_connections),
    (1, "healthy", exhaust_descriptors),
    (1, "close", exhaust_descriptors),
    (1, "hang", exhaust_descriptors),
]


def run_once(tmp: Path, healthy: int, upstream: str, disturbance: Disturbance) -> tuple[bool, list[object]]:
    """Shut the program down during a disturbance; return whether the machine kept pace, and violations."""
    make_upstream = UPSTREAMS.get(upstream, lambda: Peer(echo))
    upstreams: list[Any] = [echo] * healthy + [make_upstream(), make_upstream()]
    with running(tmp, *upstreams, sockets=SOCKETS, settings=settings_with_deadline(DEADLINE_S)) as (
        program,
        peers,
        _,
    ):
        clients = [WellBehavedClient(program, ("pay", "view")[n % 2]) for n in range(CLIENTS)]
        until(lambda: all(client.answered for client in clients))
        stall_detector, ended = StallDetector(), threading.Event()
        disturber = threading.Thread(target=disturbance, args=(program, ended), daemon=True)
        disturber.start()
        targets = [len(client.answered) + ANSWERS for client in clients]
        until(lambda: all(len(c.answered) >= expected for c, expected in zip(clients, targets, strict=True)))
        lost = sum(len(client.lost) for client in clients)
        program.process.send_signal(signal.SIGTERM)
        code = program.process.wait(TIMEOUT_S)
        for client in clients:
            client.end()
        ended.set()
        disturber.join(TIMEOUT_S)
        longest_stall_s = stall_detector.stop()
        violations: list[object] = [fault for client in clients for fault in client.violations]
        forwarded = [message.headers["request-id"] for peer in peers for message in peer.received]
        unanswered = {name for client in clients for name in client.lost} & set(forwarded)
        violations += [f"forwarded but not answered: {name}" for name in unanswered]
        if lost and disturbance is no_disturbance:
            violations.append(f"{lost} requests lost before the shutdown")
        if code != 0:
            violations.append(f"exit status {code}")
        slowest = max(client.slowest for client in clients)
        if slowest > DEADLINE_S + SCHEDULING_SLACK_S:
            violations.append(f"an answer after {slowest:.3f} s")
    return longest_stall_s < MAX_STALL_S, violations


@pytest.mark.parametrize(("healthy", "upstream", "disturbance"), CASES)
def test_disturbances_keep_no_request_from_its_answer(
    tmp_path: Path, healthy: int, upstream: str, disturbance: Disturbance
) -> None:
    for _ in range(MAX_RUNS):
        machine_kept_pace, violations = run_once(tmp_path, healthy, upstream, disturbance)
        if machine_kept_pace:
            assert violations == []
            return
    pytest.fail("the machine stalled in every run, so that none of them counts")
