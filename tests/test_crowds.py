"""Crowds that exhaust the descriptors, and an event loop that runs late: no response is truncated, no
request is sent for a client that has gone, and eviction is cheap."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import cast

import pytest

from indigokeel.metrics import Counters
from indigokeel.net.downstream.client_connection import ClientConnection, Handler
from tests.peers import Message, Program, ok, read_answer, request, running, status, until
from tests.test_endings import BIG, LEAVING

SOCKETS = 64  # of these, 17 for clients
CLIENTS = 17


@contextlib.contextmanager
def stopped(program: Program) -> Iterator[None]:
    """Stop the process, so that its event loop finds all that arrives meanwhile at once."""
    os.kill(program.process.pid, signal.SIGSTOP)
    until(lambda: _state(program) == "T")
    yield
    os.kill(program.process.pid, signal.SIGCONT)


def _state(program: Program) -> str:
    return Path(f"/proc/{program.process.pid}/stat").read_text().rpartition(") ")[2][0]


# --- a client that has left before the loop reads its request -------------------------------------------


@pytest.mark.parametrize("leave", LEAVING)
def test_request_read_after_its_client_disconnected_is_not_forwarded(
    tmp_path: Path, leave: Callable[[socket.socket], None]
) -> None:
    """The loop reads the request first, while the end of the stream has arrived behind it."""
    with running(tmp_path, lambda message: ok(message.body)) as (program, (upstream,), _):
        conn = program.connect()
        conn.sendall(request("pay", b"0"))
        assert read_answer(conn.makefile("rb"))[0] == 200
        until(
            lambda: program.counters()["upstream_connections_idle"] == 1
        )  # the attempt need not wait for one
        with stopped(program):
            conn.sendall(request("pay", b"1"))
            leave(conn)
        until(lambda: program.counters()["client_connections_open"] == 0)
        assert program.ask(request("pay", b"2"))[1].body == b"2"
        assert [message.body for message in upstream.got] == [b"0", b"2"]
        counters = program.counters()
        assert (
            counters["requests_unanswered"],
            counters["attempts_waiting"],
            counters.get("client_connection_faults", 0),
        ) == (0, 0, 0)
        conn.close()


@pytest.mark.parametrize("leave", LEAVING)
def test_further_attempt_is_not_begun_once_its_client_has_left(
    tmp_path: Path, leave: Callable[[socket.socket], None]
) -> None:
    """The first attempt is rejected and then the client leaves, before the loop runs again."""
    let = threading.Event()

    def full(message: Message) -> bytes:
        let.wait(20.0)
        return status(503, "Not-Started: 1\r\n")

    with running(tmp_path, full, full) as (program, upstreams, _):
        conn = program.connect()
        conn.sendall(request("view"))
        until(lambda: sum(len(upstream.got) for upstream in upstreams) == 1)
        held = next(upstream for upstream in upstreams if upstream.got)
        with stopped(program):
            let.set()
            until(lambda: held.answered == 1)
            leave(conn)
        until(lambda: program.counters()["client_connections_open"] == 0)
        assert sum(len(upstream.got) for upstream in upstreams) == 1
        assert program.counters()["requests_unanswered"] == 0
        conn.close()


# --- making room ------------------------------------------------------------------------------------------


def test_answer_that_its_client_has_not_got_yet_is_not_cut_off_to_make_room(tmp_path: Path) -> None:
    """The response is in the system's queue, because the client reads slowly, and there is unread input: a
    close would reset the connection and discard the response."""
    with (
        running(tmp_path, lambda _: ok(BIG), sockets=SOCKETS) as (program, _upstreams, _d),
        socket.socket() as conn,
    ):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        conn.settimeout(20.0)
        conn.connect(program.address)
        conn.setblocking(False)
        conn.send(request("pay", b"1", more="Connection: close\r\n"))
        until(lambda: program.counters().get("answers_written", 0) == 1)
        with contextlib.suppress(BlockingIOError):
            while True:
                conn.send(b"x" * 65536)
        others = []
        for _ in range(CLIENTS + 3):
            other = program.connect()
            others.append(other)
            other.sendall(request("pay", b"2"))
            assert read_answer(other.makefile("rb"))[1].body == BIG
        conn.settimeout(20.0)
        code, answer = read_answer(conn.makefile("rb"))
        assert (code, answer.body) == (200, BIG)
        for other in others:
            other.close()


def test_evicted_partial_request_gets_a_response_first(tmp_path: Path) -> None:
    """Its sender may be about to write the last byte: a close without a response would lose the request."""
    with running(tmp_path, lambda message: ok(message.body), sockets=SOCKETS) as (program, _upstreams, _d):
        whole = [request("pay", b"%d" % number) for number in range(CLIENTS)]
        halves = [program.connect() for _ in whole]
        for conn, message in zip(halves, whole, strict=True):
            conn.sendall(message[:-1])
        until(lambda: program.counters()["client_connections_open"] >= CLIENTS)
        time.sleep(0.6)  # past the time after which they count as stalled; longer does no harm
        for number in range(5):
            assert program.ask(request("pay", b"x%d" % number))[1].body == b"x%d" % number
        refused = 0
        for conn, message in zip(halves, whole, strict=True):
            with contextlib.suppress(OSError):
                conn.sendall(message[-1:])
            code, answer = read_answer(conn.makefile("rb"))
            assert code == 200 and answer.body in message or code in (408, 503)
            refused += code != 200
            conn.close()
        assert refused > 0 and program.counters()["requests_unanswered"] == 0


class _Handler:
    """The sidecar, as far as a connection with a partial request needs it."""

    overloaded = closing = False

    def connection_opened(self, connection: ClientConnection) -> None:
        self.connection = connection


class _Transport(asyncio.Transport):
    def __init__(self, sock: socket.socket) -> None:
        super().__init__({"socket": sock})


def test_request_whose_last_byte_is_unread_has_not_stalled() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        connection = ClientConnection(cast(Handler, _Handler()), Counters("n0"))
        connection.connection_made(_Transport(ours))
        connection.data_received(b"GET /view/k1 HT")
        late = time.monotonic() + 10.0
        assert connection.stalled_for(late) > 9.0 and not connection.has_unread_input()
        theirs.sendall(b"TP/1.1\r\n\r\n")
        assert connection.stalled_for(late) == 0.0 and connection.has_unread_input()


def test_crowd_beyond_the_descriptors_leaves_other_requests_their_responses(tmp_path: Path) -> None:
    """A crowd of which a third sends nothing, a third half a request, and a third one request and stays."""
    with running(tmp_path, lambda message: ok(message.body), sockets=SOCKETS) as (program, _upstreams, _d):
        crowd = []
        for number in range(60):
            conn = program.connect()
            crowd.append(conn)
            if number % 3 == 1:
                conn.sendall(request("pay", b"half")[:-2])
            elif number % 3 == 2:
                conn.sendall(request("view"))
            answer = program.ask(request("pay", b"%d" % number))
            assert (answer[0], answer[1].body) == (200, b"%d" % number)
        counters = program.counters()
        assert counters["client_connections_open"] <= CLIENTS + 12  # what the reserve has for them
        assert counters.get("descriptors_exhausted", 0) == 0
        until(
            lambda: program.counters()["requests_unanswered"] == 0
        )  # the crowd's last request may be at work
        for conn in crowd:
            conn.close()
