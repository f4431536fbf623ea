"""Peers that send messages in tiny pieces at full speed: the event loop serves the others meanwhile."""

from __future__ import annotations

import contextlib
import threading
from pathlib import Path
from typing import Any

from tests.peers import Program, RawUpstream, echo, ok, read_response, request, running

TINY_CHUNK = b"1\r\nx\r\n"
LONG_BODY_CHUNKS = 600_000
RESPONSES = 200  # that arrive at the same time
RESPONSE_CHUNKS = 100_000


def exchange_beside(program: Program, count: int) -> list[int]:
    """Send requests one after another, each on a new connection; return their status codes."""
    return [program.exchange(request("pay", b"beside"))[0] for _ in range(count)]


def test_long_request_in_chunks_of_one_byte_holds_up_no_other_client(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _upstreams, _), program.connect() as conn:
        head = request("view", more="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST", 1)
        body = TINY_CHUNK * LONG_BODY_CHUNKS + b"0\r\n\r\n"
        sender = threading.Thread(target=conn.sendall, args=(head + body,))
        sender.start()
        assert set(exchange_beside(program, 20)) <= {200, 503}
        code, answer = read_response(conn.makefile("rb"))
        sender.join()
        assert (code, answer.body) == (200, b"x" * LONG_BODY_CHUNKS)
        assert "standstills" not in program.counters()


def send_tiny_chunks(conn: Any, file: Any) -> None:
    """Respond in chunks of one byte to the requests that ask for it, and plainly to the others."""
    while line := file.readline():
        length = 0
        while field := file.readline().strip():
            name, _, value = field.partition(b":")
            length = int(value) if name.lower() == b"content-length" else length
        file.read(length)
        if b"/tiny" not in line:
            conn.sendall(ok())
            continue
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        conn.sendall(TINY_CHUNK * RESPONSE_CHUNKS + b"0\r\n\r\n")


def test_many_responses_in_chunks_of_one_byte_hold_up_no_other_client(tmp_path: Path) -> None:
    upstreams = [RawUpstream(send_tiny_chunks) for _ in range(4)]
    with running(tmp_path, *upstreams, sockets=1024) as (program, _, _d), contextlib.ExitStack() as stack:
        clients = [stack.enter_context(program.connect()) for _ in range(RESPONSES)]
        for client in clients:
            client.sendall(request("view", key="tiny"))
        assert set(exchange_beside(program, 20)) <= {200, 503}
        for client in clients:
            client.close()
        assert "standstills" not in program.counters()
