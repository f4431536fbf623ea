"""More clients than descriptors, and an event loop that runs late: no response is truncated, no request is
sent for a client that has disconnected, and eviction is cheap."""

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

from indigokeel.balancing.settings import Settings
from indigokeel.config import decode_settings
from indigokeel.metrics import Counters
from indigokeel.net.downstream.client_connection import ClientConnection, Handler
from tests.peers import SETTINGS, Message, Program, ok, read_response, request, running, status, until
from tests.support.clients import make_client_resources
from tests.test_endings import DISCONNECTS, LARGE_BODY

SOCKETS = 64  # descriptors of the process, of which 17 are for clients
MAX_CLIENTS = 17


@contextlib.contextmanager
def stopped(program: Program) -> Iterator[None]:
    """Stop the process, so that its event loop later sees all that arrives meanwhile in one turn."""
    os.kill(program.process.pid, signal.SIGSTOP)
    until(lambda: _state(program) == "T")
    yield
    os.kill(program.process.pid, signal.SIGCONT)


def _state(program: Program) -> str:
    return Path(f"/proc/{program.process.pid}/stat").read_text().rpartition(") ")[2][0]


# --- a client that disconnects before the event loop reads its request ----------------------------------


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_request_read_after_its_client_disconnected_is_not_forwarded(
    tmp_path: Path, disconnect: Callable[[socket.socket], None]
) -> None:
    """The event loop reads the request first; the end of the stream has already arrived behind it."""
    with running(tmp_path, lambda message: ok(message.body)) as (program, (upstream,), _):
        conn = program.connect()
        conn.sendall(request("pay", b"0"))
        assert read_response(conn.makefile("rb"))[0] == 200
        # The next attempt need not wait for a connection.
        until(lambda: program.counters()["upstream_connections_idle"] == 1)
        with stopped(program):
            conn.sendall(request("pay", b"1"))
            disconnect(conn)
        until(lambda: program.counters()["client_connections_open"] == 0)
        assert program.exchange(request("pay", b"2"))[1].body == b"2"
        assert [message.body for message in upstream.received] == [b"0", b"2"]
        counters = program.counters()
        assert (
            counters["requests_unanswered"],
            counters["attempts_waiting"],
            counters.get("client_connection_faults", 0),
        ) == (0, 0, 0)
        conn.close()


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_retry_is_not_sent_once_its_client_has_disconnected(
    tmp_path: Path, disconnect: Callable[[socket.socket], None]
) -> None:
    """The first attempt is rejected and then the client disconnects, before the event loop runs again."""
    release = threading.Event()

    def reject(message: Message) -> bytes:
        release.wait(20.0)
        return status(503, "Not-Started: 1\r\n")

    with running(tmp_path, reject, reject) as (program, upstreams, _):
        conn = program.connect()
        conn.sendall(request("view"))
        until(lambda: sum(len(upstream.received) for upstream in upstreams) == 1)
        held = next(upstream for upstream in upstreams if upstream.received)
        with stopped(program):
            release.set()
            until(lambda: held.responses_sent == 1)
            disconnect(conn)
        until(lambda: program.counters()["client_connections_open"] == 0)
        assert sum(len(upstream.received) for upstream in upstreams) == 1
        assert program.counters()["requests_unanswered"] == 0
        conn.close()


# --- eviction ---------------------------------------------------------------------------------------------


def test_eviction_does_not_truncate_a_response_that_its_client_has_not_received_yet(tmp_path: Path) -> None:
    """The client reads slowly, so that the response is in the system's send buffer, and there is unread
    input: a close would reset the connection and discard the response."""
    with (
        running(tmp_path, lambda _: ok(LARGE_BODY), sockets=SOCKETS) as (program, _upstreams, _d),
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
        for _ in range(MAX_CLIENTS + 3):
            other = program.connect()
            others.append(other)
            other.sendall(request("pay", b"2"))
            assert read_response(other.makefile("rb"))[1].body == LARGE_BODY
        conn.settimeout(20.0)
        code, answer = read_response(conn.makefile("rb"))
        assert (code, answer.body) == (200, LARGE_BODY)
        for other in others:
            other.close()


def test_evicted_partial_request_gets_a_response_first(tmp_path: Path) -> None:
    """Its client may be about to send the last byte: a close without a response would lose the request."""
    with running(tmp_path, lambda message: ok(message.body), sockets=SOCKETS) as (program, _upstreams, _d):
        messages = [request("pay", b"%d" % number) for number in range(MAX_CLIENTS)]
        partial_clients = [program.connect() for _ in messages]
        for conn, message in zip(partial_clients, messages, strict=True):
            conn.sendall(message[:-1])
        until(lambda: program.counters()["client_connections_open"] >= MAX_CLIENTS)
        time.sleep(0.6)  # until the requests count as stalled; a longer wait does no harm
        for number in range(5):
            assert program.exchange(request("pay", b"x%d" % number))[1].body == b"x%d" % number
        error_responses = 0
        for conn, message in zip(partial_clients, messages, strict=True):
            with contextlib.suppress(OSError):
                conn.sendall(message[-1:])
            code, answer = read_response(conn.makefile("rb"))
            assert code == 200 and answer.body in message or code in (408, 503)
            error_responses += code != 200
            conn.close()
        assert error_responses > 0 and program.counters()["requests_unanswered"] == 0


class _Handler:
    """The part of the sidecar that a connection with a partial request needs."""

    overloaded = closing = False

    def settings_for(self, class_name: str, earliest: float, latest: float) -> Settings:
        return decode_settings(SETTINGS)

    def connection_opened(self, connection: ClientConnection) -> None:
        self.connection = connection


class _Transport(asyncio.Transport):
    def __init__(self, sock: socket.socket) -> None:
        super().__init__({"socket": sock})

    def get_write_buffer_size(self) -> int:
        return 0


def test_request_whose_last_byte_is_unread_has_not_stalled() -> None:
    server_socket, client_socket = socket.socketpair()
    with server_socket, client_socket:
        connection = ClientConnection(cast(Handler, _Handler()), Counters("n0"), make_client_resources())
        connection.connection_made(_Transport(server_socket))
        connection.receive(b"GET /view/k1 HT")
        late = time.monotonic() + 10.0
        assert connection.stalled_for(late) > 9.0 and not connection.has_unread_input()
        client_socket.sendall(b"TP/1.1\r\n\r\n")
        assert connection.stalled_for(late) == 0.0 and connection.has_unread_input()


def test_more_clients_than_descriptors_leave_other_requests_their_responses(tmp_path: Path) -> None:
    """Of the clients, a third send nothing, a third half a request, and a third one request and stay."""
    with running(tmp_path, lambda message: ok(message.body), sockets=SOCKETS) as (program, _upstreams, _d):
        clients = []
        for number in range(60):
            conn = program.connect()
            clients.append(conn)
            if number % 3 == 1:
                conn.sendall(request("pay", b"half")[:-2])
            elif number % 3 == 2:
                conn.sendall(request("view"))
            answer = program.exchange(request("pay", b"%d" % number))
            assert (answer[0], answer[1].body) == (200, b"%d" % number)
        counters = program.counters()
        # 12 of the reserved descriptors may be in use as well.
        assert counters["client_connections_open"] <= MAX_CLIENTS + 12
        assert counters.get("descriptors_exhausted", 0) == 0
        # The last request may still be in progress.
        until(lambda: program.counters()["requests_unanswered"] == 0)
        for conn in clients:
            conn.close()
