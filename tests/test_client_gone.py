"""Once a client has closed, reset or shut down its sending, no attempt begins for it, in any state of its
request and whether or not its connection is being read."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.peers import (
    SETTINGS,
    WAIT,
    Message,
    Peer,
    Raw,
    echo,
    entry,
    ok,
    parse_endpoint_list,
    read_answer,
    request,
    running,
    status,
    until,
)
from tests.test_endings import LEAVING, Held

# What the client has sent behind its request: the last two pause reading.
BEHIND = {
    "nothing": b"",
    "one": request("pay", b"behind"),
    "too many ahead": b"".join(request("pay", b"behind") for _ in range(600)),
    "long body": request("pay", b"behind" * 15_000),
}
Leave = Callable[[socket.socket], None]


def total(upstreams: list[Peer]) -> int:
    """Return the number of requests that the upstreams received."""
    return sum(len(upstream.got) for upstream in upstreams)


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("behind", BEHIND)
@pytest.mark.parametrize(
    ("state", "first"),
    [("rejected", status(503, "Not-Started: 1\r\n")), ("failed", status(500)), ("broken", None)],
)
def test_no_further_attempt(
    tmp_path: Path, leave: Leave, behind: str, state: str, first: bytes | None
) -> None:
    """The attempt ends so that another would follow, at once or after a delay, and the client has left."""
    release = threading.Event()

    def script(message: Message) -> bytes | None:
        release.wait(WAIT)
        return echo(message) if message.body == b"end" else first

    with running(tmp_path, script, script) as (program, upstreams, _), program.connect() as conn:
        conn.sendall(request("view") + BEHIND[behind])
        until(lambda: total(upstreams) >= 1)
        program.counters()
        before = total(upstreams)  # a second one may have been sent beside the first
        leave(conn)
        release.set()
        until(lambda: program.counters().get("clients_disconnected", 0) == 1)
        assert program.ask(request("pay", b"end"))[1].body == b"end"
        until(lambda: program.counters()["requests_unanswered"] == 0)
        assert total(upstreams) == before + 1


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("behind", BEHIND)
def test_no_second_attempt_beside_the_first(tmp_path: Path, leave: Leave, behind: str) -> None:
    """A hedged request: the second attempt would be sent while the first is in flight."""
    upstream, other = Held(), Held()
    with running(tmp_path, upstream, other) as (program, upstreams, _), program.connect() as conn:
        conn.sendall(request("view", wait_ms=1200) + BEHIND[behind])
        until(lambda: total(upstreams) == 1)
        leave(conn)
        until(lambda: program.counters().get("clients_disconnected", 0) == 1)
        before = total(upstreams)
        until(lambda: program.counters().get("attempt_cancelled", 0) == before)  # its time is over
        assert total(upstreams) == before
        for held in (upstream, other):
            held.let.set()


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("behind", BEHIND)
def test_no_first_attempt_where_there_was_no_upstream(tmp_path: Path, leave: Leave, behind: str) -> None:
    upstream = Peer(echo)
    with running(tmp_path) as (program, _, discovery), program.connect() as conn:
        conn.sendall(request("view", wait_ms=60_000) + BEHIND[behind])
        until(lambda: program.counters().get("requests_accepted", 0) == 1)
        leave(conn)
        until(lambda: program.counters().get("clients_disconnected", 0) == 1)
        discovery.push(json.dumps(parse_endpoint_list(entry("s-0", upstream.port), index=2)).encode())
        until(lambda: program.ask(request("pay", b"end"))[0] == 200)
        assert {message.body for message in upstream.got} == {b"end"}
    upstream.close()


@pytest.mark.parametrize("leave", LEAVING)
def test_last_byte_of_a_long_body_is_not_passed_on(tmp_path: Path, leave: Leave) -> None:
    """For the upstream an attempt begins with the last byte. The client has written all of the body and left
    while the upstream read little, so that reading was paused."""
    size, left, whole = 16 << 20, threading.Event(), []

    def exchange(conn: socket.socket, file: Any) -> None:
        while file.readline().strip():
            pass
        received = 0
        while data := file.read1(1 << 18):
            received += len(data)
            if received == size:
                whole.append(received)
                conn.sendall(ok())
            left.wait(0.01)

    with running(tmp_path, Raw(exchange), settings=SETTINGS) as (program, _, _d):
        conn = program.connect()
        with contextlib.suppress(ConnectionError):
            conn.sendall(request("pay", b"x" * size))
            leave(conn)
        left.set()
        until(lambda: program.counters().get("clients_disconnected", 0) == 1)
        until(lambda: program.counters()["upstream_connections_open"] == 0)
        assert whole == [] and program.counters()["requests_unanswered"] == 0
        conn.close()


def test_client_that_stays_is_served_in_each_of_these_states(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d):
        for behind in BEHIND.values():
            with program.connect() as conn:
                sender = threading.Thread(target=conn.sendall, args=(request("view") + behind,))
                sender.start()
                file = conn.makefile("rb")
                for _ in range(1 + behind.count(b"HTTP/1.1")):
                    assert read_answer(file)[0] == 200
                sender.join()
