"""No attempt begins for a client that has closed, reset or half-closed its connection, whatever the state of
its request and whether or not its connection is being read."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.peers import (
    SETTINGS,
    TIMEOUT_S,
    Message,
    Peer,
    RawUpstream,
    echo,
    entry,
    make_endpoint_list,
    ok,
    read_response,
    request,
    running,
    status,
    until,
)
from tests.test_endings import DISCONNECTS, HeldUpstream

# Further input that the client has sent after its request; the last two pause reading.
BEHIND = {
    "nothing": b"",
    "one": request("pay", b"behind"),
    "more than the pipeline holds": b"".join(request("pay", b"behind") for _ in range(600)),
    "long body": request("pay", b"behind" * 15_000),
}
Disconnect = Callable[[socket.socket], None]


def received_by(upstreams: list[Peer]) -> int:
    """Return the number of requests that the upstreams have received."""
    return sum(len(upstream.received) for upstream in upstreams)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("behind", BEHIND)
@pytest.mark.parametrize(
    ("state", "first"),
    [("rejected", status(503, "Not-Started: 1\r\n")), ("failed", status(500)), ("broken", None)],
)
def test_no_retry_for_a_client_that_has_left(
    tmp_path: Path, disconnect: Disconnect, behind: str, state: str, first: bytes | None
) -> None:
    """After the disconnect the attempt ends in a way that another would follow, at once or after a delay."""
    release = threading.Event()

    def script(message: Message) -> bytes | None:
        release.wait(TIMEOUT_S)
        return echo(message) if message.body == b"end" else first

    with running(tmp_path, script, script) as (program, upstreams, _), program.connect() as conn:
        conn.sendall(request("view") + BEHIND[behind])
        until(lambda: received_by(upstreams) >= 1)
        program.counters()
        before = received_by(upstreams)  # a hedged request may have been sent as well
        disconnect(conn)
        release.set()
        until(lambda: program.counters().get("clients_disconnected", 0) == 1)
        assert program.exchange(request("pay", b"end"))[1].body == b"end"
        until(lambda: program.counters()["requests_unanswered"] == 0)
        assert received_by(upstreams) == before + 1


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("behind", BEHIND)
def test_no_hedged_request_for_a_client_that_has_left(
    tmp_path: Path, disconnect: Disconnect, behind: str
) -> None:
    """A hedged request: the second attempt would be sent while the first one is in flight."""
    upstream, other = HeldUpstream(), HeldUpstream()
    with running(tmp_path, upstream, other) as (program, upstreams, _), program.connect() as conn:
        conn.sendall(request("view", wait_ms=1200) + BEHIND[behind])
        until(lambda: received_by(upstreams) == 1)
        disconnect(conn)
        until(lambda: program.counters().get("clients_disconnected", 0) == 1)
        before = received_by(upstreams)
        until(lambda: program.counters().get("attempt_cancelled", 0) == before)  # the deadline has passed
        assert received_by(upstreams) == before
        for held in (upstream, other):
            held.release.set()


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("behind", BEHIND)
def test_no_first_attempt_once_an_upstream_is_added(
    tmp_path: Path, disconnect: Disconnect, behind: str
) -> None:
    upstream = Peer(echo)
    with running(tmp_path) as (program, _, discovery), program.connect() as conn:
        conn.sendall(request("view", wait_ms=60_000) + BEHIND[behind])
        until(lambda: program.counters().get("requests_accepted", 0) == 1)
        disconnect(conn)
        until(lambda: program.counters().get("clients_disconnected", 0) == 1)
        discovery.push(json.dumps(make_endpoint_list(entry("s-0", upstream.port), index=2)).encode())
        until(lambda: program.exchange(request("pay", b"end"))[0] == 200)
        assert {message.body for message in upstream.received} == {b"end"}
    upstream.close()


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_last_byte_of_a_long_body_is_not_forwarded(tmp_path: Path, disconnect: Disconnect) -> None:
    """An upstream starts a request with its last byte. The client writes the whole body and disconnects while
    the upstream reads slowly, so that the sidecar has paused reading."""
    size, client_left, complete = 16 << 20, threading.Event(), []

    def exchange(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        received = 0
        while data := file.read1(1 << 18):
            received += len(data)
            if received == size:
                complete.append(received)
                conn.sendall(ok())
            client_left.wait(0.01)

    with running(tmp_path, RawUpstream(exchange), settings=SETTINGS) as (program, _, _d):
        conn = program.connect()
        with contextlib.suppress(ConnectionError):
            conn.sendall(request("pay", b"x" * size))
            disconnect(conn)
        client_left.set()
        until(lambda: program.counters().get("clients_disconnected", 0) == 1)
        until(lambda: program.counters()["upstream_connections_open"] == 0)
        assert complete == [] and program.counters()["requests_unanswered"] == 0
        conn.close()


def test_client_that_stays_connected_is_served_in_each_case(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d):
        for behind in BEHIND.values():
            with program.connect() as conn:
                sender = threading.Thread(target=conn.sendall, args=(request("view") + behind,))
                sender.start()
                file = conn.makefile("rb")
                for _ in range(1 + behind.count(b"HTTP/1.1")):
                    assert read_response(file)[0] == 200
                sender.join()


def test_unsafe_ids_that_come_again_after_their_client_left_run_once(tmp_path: Path) -> None:
    """Guards against an id that runs twice because its first attempt outlives its client."""

    def slow(message: Message) -> bytes:
        time.sleep(0.03)
        return ok()

    with running(tmp_path, slow, slow) as (program, upstreams, _):
        for number in range(10):
            requests = [request("pay", b"x") for _ in range(40)]
            ran_before = sum(len(upstream.received) for upstream in upstreams)
            conn = program.connect()
            conn.sendall(b"".join(requests))
            until(lambda: sum(len(upstream.received) for upstream in upstreams) > ran_before + number % 3)  # noqa: B023
            conn.close()
            codes = [program.exchange(again)[0] for again in requests[:10]]
            assert codes[0] == 409 and set(codes) <= {200, 409}
        runs = Counter(
            message.headers["request-id"] for upstream in upstreams for message in upstream.received
        )
        assert max(runs.values()) == 1
