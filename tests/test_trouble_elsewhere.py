"""Trouble elsewhere frees nothing: while upstreams, other clients or the system fail, steadily and through a
whole shutdown, each request of a sound client has one whole final answer in time."""

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

from tests.peers import WAIT, Message, Peer, Program, Raw, echo, ok, read_answer, request, running, until
from tests.test_shutdown import STARVED_S, Witness, deadlines

DEADLINE_S = 0.5
SLACK_S = 0.2  # for both sides' threads; a play in which the machine stood still does not count
SOUND_CLIENTS, ANSWERS, PLAYS = 4, 12, 10
SOCKETS = 64


class SoundClient:
    """Sends one request after the other, on a new connection after each that was closed."""

    def __init__(self, program: Program, class_name: str) -> None:
        self._program, self._class = program, class_name
        self.answered: set[str] = set()
        self.lost: list[str] = []  # requests on connections that were closed in place of an answer
        self.wrong: list[object] = []
        self.slowest = 0.0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def end(self) -> None:
        self._ended.set()
        self._thread.join(WAIT)
        if self._thread.is_alive():
            self.wrong.append("waits for an answer still")

    def _run(self) -> None:
        while not self._ended.is_set():
            with contextlib.suppress(OSError), self._program.connect() as conn, conn.makefile("rb") as file:
                while not self._ended.is_set() and self._ask(conn, file):
                    pass
            time.sleep(0.002)

    def _ask(self, conn: socket.socket, file: Any) -> bool:
        """One request; whether its connection is good for more."""
        message = request(self._class, b"x", wait_ms=int(DEADLINE_S * 1000))
        name = message.partition(b"Request-Id: ")[2][:16].decode()
        began = time.monotonic()
        try:
            conn.sendall(message)
            code, answer = read_answer(file)
        except TimeoutError:
            self.wrong.append(f"{name}: no answer")
            return False
        except ConnectionError:
            self.lost.append(name)
            return False
        self.slowest = max(self.slowest, time.monotonic() - began)
        if code not in (200, 500, 503) or len(answer.body) != int(answer.headers["content-length"]):
            self.wrong.append((name, code, answer))
        self.answered.add(name)
        return answer.headers.get("connection") != "close"


# --- upstreams ----------------------------------------------------------------------------------------------


def says(data: bytes | None) -> Callable[[], Peer]:
    return lambda: Peer(lambda _: data)


def endless(first: bytes, piece: bytes, pause: float = 0.0) -> Callable[[], Peer]:
    """An upstream that begins each answer and never ends it."""

    def answer(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        conn.sendall(first)
        while True:
            conn.sendall(piece)
            time.sleep(pause)

    return lambda: Raw(answer)


def vanishing() -> Peer:
    """Serves a few requests, and is gone."""

    def serve(message: Message) -> bytes | None:
        if len(peer.got) < 8:
            return echo(message)
        peer.close()
        return None

    peer = Peer(serve)
    return peer


def silent() -> Peer:
    ended = threading.Event()

    def wait(_: Message) -> None:
        ended.wait(4.0 * WAIT)

    return Peer(wait)


OK = b"HTTP/1.1 200 OK\r\n"
UPSTREAMS: dict[str, Callable[[], Peer]] = {
    "hang": silent,
    "vanish": vanishing,
    "close": says(None),
    "break off": says(b"!" + OK + b"Content-Length: 100\r\n\r\nhalf"),
    "garbage": says(b"!\x00\xff\r\n\r\n"),
    "two answers": says(ok(b"one") + ok(b"two")),
    "endless head": endless(OK, b"X: y\r\n" * 100),
    "endless interim answers": endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "drip": endless(OK + b"Content-Length: 1000\r\n\r\n", b"x", 0.02),
}


# --- other clients, and the system --------------------------------------------------------------------------


def flood(program: Program, ended: threading.Event) -> None:
    """Connections over and over that say nothing, send half, noise, or too much at once, and stay."""
    kinds = [b"", request("view")[:-3], b"noise\r\n\r\n", request("view") * 12, request("view")]
    conns: list[socket.socket] = []
    for number in range(10**6):
        if ended.is_set():
            break
        with contextlib.suppress(OSError):
            conn = program.connect()
            conns.append(conn)
            conn.sendall(kinds[number % len(kinds)])
        if len(conns) > 200:
            conns.pop(0).close()
        time.sleep(0.003)
    for conn in conns:
        conn.close()


def no_descriptors(program: Program, _: threading.Event) -> None:
    soft = len(os.listdir(f"/proc/{program.process.pid}/fd")) + 1
    resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (soft, soft))


def nothing(_program: Program, _: threading.Event) -> None:
    pass


Trouble = Callable[[Program, threading.Event], None]
CASES: list[tuple[int, str, Trouble]] = [  # sound upstreams beside two of a kind
    *((1, name, nothing) for name in UPSTREAMS),
    (0, "hang", nothing),
    (0, "vanish", nothing),
    (1, "sound", flood),
    (1, "hang", flood),
    (1, "sound", no_descriptors),
    (1, "close", no_descriptors),
    (1, "hang", no_descriptors),
]


def play(tmp: Path, sound: int, upstream: str, trouble: Trouble) -> tuple[bool, list[object]]:
    """Trouble, then a shutdown within it. Whether the machine kept step, and what was wrong."""
    bad = UPSTREAMS.get(upstream, lambda: Peer(echo))
    upstreams: list[Any] = [echo] * sound + [bad(), bad()]
    with running(tmp, *upstreams, sockets=SOCKETS, settings=deadlines(DEADLINE_S)) as (program, peers, _):
        clients = [SoundClient(program, ("pay", "view")[n % 2]) for n in range(SOUND_CLIENTS)]
        until(lambda: all(client.answered for client in clients))
        witness, ended = Witness(), threading.Event()
        other = threading.Thread(target=trouble, args=(program, ended), daemon=True)
        other.start()
        goals = [len(client.answered) + ANSWERS for client in clients]
        until(lambda: all(len(c.answered) >= goal for c, goal in zip(clients, goals, strict=True)))
        lost = sum(len(client.lost) for client in clients)
        program.process.send_signal(signal.SIGTERM)
        code = program.process.wait(WAIT)
        for client in clients:
            client.end()
        ended.set()
        other.join(WAIT)
        worst = witness.end()
        wrong: list[object] = [fault for client in clients for fault in client.wrong]
        seen = [message.headers["request-id"] for peer in peers for message in peer.got]
        cut = {name for client in clients for name in client.lost} & set(seen)
        wrong += [f"forwarded, and not answered: {name}" for name in cut]
        if lost and trouble is nothing:
            wrong.append(f"{lost} requests lost before the shutdown")
        if code != 0:
            wrong.append(f"ended with {code}")
        slowest = max(client.slowest for client in clients)
        if slowest > DEADLINE_S + SLACK_S:
            wrong.append(f"an answer after {slowest:.3f} s")
    return worst < STARVED_S, wrong


@pytest.mark.parametrize(("sound", "upstream", "trouble"), CASES)
def test_trouble_elsewhere_frees_no_request_from_its_answer(
    tmp_path: Path, sound: int, upstream: str, trouble: Trouble
) -> None:
    for _ in range(PLAYS):
        kept_step, wrong = play(tmp_path, sound, upstream, trouble)
        if kept_step:
            assert wrong == []
            return
    pytest.fail("the machine stood still in each play: this shows nothing")
