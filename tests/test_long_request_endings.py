"""Tests that a client connection is read again after a request with a long body, however that has ended."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from pathlib import Path

from tests.peers import (
    Program,
    entry,
    read_response,
    request,
    running_with,
    until,
)


@contextlib.contextmanager
def full_listener() -> Iterator[int]:
    """Listen on a port to which no connection comes up, because the accept queue is full."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(server.getsockname())
        yield server.getsockname()[1]


FIRST_BYTES, REST_BYTES = 66_000, 10_000  # streamed, and together more than is buffered


def assert_next_request_is_answered(program: Program) -> None:
    """Send a long request that is refused, its end after it was accepted, and a health check behind it."""
    raw = request("pay", bytes(FIRST_BYTES + REST_BYTES), wait_ms=1200)
    with program.connect() as conn, conn.makefile("rb") as file:
        conn.sendall(raw[:-REST_BYTES])
        until(lambda: program.counters().get("requests_accepted", 0) == 1)
        conn.sendall(raw[-REST_BYTES:])
        assert read_response(file)[0] == 503
        conn.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert read_response(file)[0] in (200, 503)  # 503 without an upstream


def test_request_behind_a_long_one_without_a_connection_is_answered(tmp_path: Path) -> None:
    """Guards against a pause that outlasts its request: the next one on the connection was never read."""
    with full_listener() as port, running_with(tmp_path, entry("s-0", port)) as program:
        assert_next_request_is_answered(program)


def test_request_behind_a_long_one_without_an_upstream_is_answered(tmp_path: Path) -> None:
    """Guards against the same pause while a request waits for an upstream to become available."""
    with running_with(tmp_path, entry("s-0", 9, "Terminating")) as program:
        assert_next_request_is_answered(program)
