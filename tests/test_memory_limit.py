"""Many clients that make the process hold much at once: it stays within its limit, and serves the others."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.peers import (
    TIMEOUT_S,
    Peer,
    RawUpstream,
    echo,
    ok,
    peak_rss_kb,
    read_response,
    request,
    running,
    until,
)

MEMORY_MB = 72
CLIENTS = 420
SEND_BUFFER_BYTES = 1 << 20
ROUNDS = 30  # in which each client sends as much as is taken


def read_no_long_body(conn: socket.socket, file: Any) -> None:
    """Respond to short requests, and take nothing of a long body (for ``RawUpstream``)."""
    while line := file.readline():
        length = 0
        while field := file.readline().strip():
            name, _, value = field.partition(b":")
            length = int(value) if name.lower() == b"content-length" else length
        if b"/long" in line:
            time.sleep(TIMEOUT_S)
            return
        file.read(length)
        conn.sendall(ok())


def pipelined() -> bytes:
    return b"".join(request("pay", b"x" * 60_000, key="long") for _ in range(16))


def long_body() -> bytes:
    return request("view", b"x" * 1_000_000, key="long")


def without_last_byte() -> bytes:
    return request("pay", b"x" * 64_000)[:-1]


def many_fields() -> bytes:
    fields = b"".join(b"f%d:x\r\n" % number for number in range(100))
    return b"GET /view/k HTTP/1.1\r\n" + fields + b"a:b\r\n" * 2_000


def send_what_is_taken(messages: dict[socket.socket, bytes]) -> None:
    """Send a message on each connection, as far as the system takes it."""
    unsent = {client: memoryview(message) for client, message in messages.items()}
    for _ in range(ROUNDS):
        for client, message in unsent.items():
            with contextlib.suppress(BlockingIOError, ConnectionError):
                unsent[client] = message[client.send(message) :]
        time.sleep(0.02)


@pytest.mark.parametrize("make_message", [pipelined, long_body, without_last_byte, many_fields])
def test_hundreds_of_clients_do_not_take_the_process_over_its_memory_limit(
    tmp_path: Path, make_message: Callable[[], bytes]
) -> None:
    upstreams: list[Peer] = [RawUpstream(read_no_long_body) for _ in range(8)]
    with (
        running(tmp_path, *upstreams, sockets=1024, memory_mb=MEMORY_MB) as (program, _, _d),
        contextlib.ExitStack() as stack,
    ):
        clients = [stack.enter_context(program.connect()) for _ in range(CLIENTS)]
        for client in clients:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            client.setblocking(False)
        send_what_is_taken({client: make_message() for client in clients})
        assert program.exchange(request("pay", b"beside"))[0] in (200, 503)
        assert peak_rss_kb(program.process.pid) < MEMORY_MB * 1000
        assert program.process.poll() is None


def test_incomplete_requests_get_an_error_and_others_are_served_while_memory_is_short(tmp_path: Path) -> None:
    with (
        running(tmp_path, echo, sockets=1024, memory_mb=MEMORY_MB) as (program, _, _d),
        contextlib.ExitStack() as stack,
    ):
        incomplete = [stack.enter_context(program.connect()) for _ in range(CLIENTS)]
        for client in incomplete:
            client.sendall(without_last_byte())
        until(lambda: program.counters().get("memory_reclaims", 0) > 0)
        assert [program.exchange(request("pay", b"beside"))[0] for _ in range(10)] == [200] * 10
        codes = [read_response(client.makefile("rb"))[0] for client in incomplete]
        assert set(codes) == {408, 503}
        assert "client_connection_faults" not in program.counters()
