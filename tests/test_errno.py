"""Errors of system calls on upstream connections: local ones, those of an upstream, and retried ones.

They are forced at the call itself: in this process or, by ``sitecustomize``, in the program.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
import uvloop

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.config import decode_settings
from indigokeel.endpoints.endpoint_list import parse_endpoint_list
from indigokeel.metrics import Counters
from indigokeel.net.errors import Meaning
from indigokeel.net.messages import OutboundRequest
from indigokeel.net.upstream import ConnectFailure, UpstreamConnection
from indigokeel.net.upstream.client import UpstreamClient, UpstreamClientOptions
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Request
from tests import peers
from tests.pool_harness import PoolHarness, RecordingHandler


@pytest.fixture
def harness() -> Iterator[PoolHarness]:
    """Return a pool harness that is checked and closed after the test."""
    made = PoolHarness()
    yield made
    made.end()


LOCAL, UPSTREAM, GOES_ON = Meaning.LOCAL, Meaning.UPSTREAM, Meaning.GOES_ON


EXHAUSTED = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


ROUTES = [errno.ENETUNREACH, errno.EHOSTUNREACH]


def failing_call(call: Callable[..., Any], number: int, times: int) -> Callable[..., Any]:
    """Return a system call that fails some times before it is made."""
    left = [times]

    def failing(*args: Any) -> Any:
        if left[0] > 0:
            left[0] -= 1
            raise OSError(number, os.strerror(number))
        return call(*args)

    return failing


def break_connect(step: str, number: int, times: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make one of the calls that a connect consists of fail."""
    if step == "fstat":
        monkeypatch.setattr("os.fstat", failing_call(os.fstat, number, times))
    elif step == "socket":
        real_socket = socket.socket
        scarce = failing_call(real_socket, number, times)
        monkeypatch.setattr(
            "socket.socket",  # a connection's, and none of the event loop's own
            lambda *args: (scarce if args[:1] == (socket.AF_INET,) and len(args) == 2 else real_socket)(
                *args
            ),
        )
    elif step in ("connect", "interrupted"):
        real, left = socket.socket.connect_ex, [times]

        def connect_ex(sock: socket.socket, address: Any) -> int:
            left[0] -= 1
            if left[0] < 0:
                return real(sock, address)
            return number if step == "connect" else real(sock, address) and number

        monkeypatch.setattr(socket.socket, "connect_ex", connect_ex)
    else:
        failing = failing_call(getattr(socket.socket, step), number, times)
        if step == "getsockopt":  # the error that a connect in progress ended with

            def socket_error(sock: socket.socket, *args: int) -> int:
                try:
                    return int(failing(sock, *args))
                except OSError as error:
                    return error.errno or 0

            monkeypatch.setattr(socket.socket, step, socket_error)
        else:
            monkeypatch.setattr(socket.socket, step, failing)


OPENS = [
    *(("socket", number, LOCAL) for number in EXHAUSTED),
    *(("setsockopt", number, LOCAL) for number in (errno.ENOBUFS, errno.ENOMEM)),
    ("fstat", errno.ENOMEM, LOCAL),
    *(("connect", number, LOCAL) for number in (errno.EADDRNOTAVAIL, *ROUTES, errno.ENOBUFS, errno.EAGAIN)),
    ("connect", errno.ECONNREFUSED, UPSTREAM),
    ("interrupted", errno.EINTR, GOES_ON),
    *(("getsockopt", number, LOCAL) for number in (errno.EADDRNOTAVAIL, errno.ENOMEM)),
    *(("getsockopt", number, UPSTREAM) for number in (*ROUTES, errno.ETIMEDOUT, errno.ECONNREFUSED)),
    ("getsockopt", errno.EINTR, GOES_ON),
]


@pytest.mark.parametrize(("step", "number", "found"), OPENS)
def test_connect_over_errors(
    harness: PoolHarness, monkeypatch: pytest.MonkeyPatch, step: str, number: int, found: Meaning
) -> None:
    """Six failures of an upstream open its circuit; six local ones only prolong the wait."""
    break_connect(step, number, 6, monkeypatch)
    for _ in range(6):
        harness.acquire()
        harness.until(lambda: not harness.pool.waiting())
        harness.step(2)
    monkeypatch.undo()
    came_up = sum(isinstance(connection, UpstreamConnection) for connection in harness.ready)
    assert came_up == (0 if found is UPSTREAM else 6)
    assert harness.counts["circuit_breakers_opened"] == (found is UPSTREAM)
    assert bool(harness.counts["connects_failed"]) == (found is UPSTREAM)
    harness.check_table()


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENFILE, errno.EHOSTUNREACH])
def test_wait_that_ends_with_a_local_error_reports_it(
    harness: PoolHarness, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """No upstream counts as failed, also where a connect could start at last and had no time left."""
    break_connect("connect", number, 10**6, monkeypatch)
    harness.acquire(timeout_s=0.03)
    harness.until(lambda: harness.ready == [ConnectFailure.LOCAL])
    monkeypatch.undo()
    break_connect("connect", number, 2, monkeypatch)
    harness.acquire("silent", 0.1)
    harness.until(lambda: len(harness.ready) == 2)
    assert harness.ready[1] is ConnectFailure.LOCAL and not harness.counts["connects_failed"]


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN])
def test_bytes_are_complete_and_in_order_over_failed_calls(
    harness: PoolHarness, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    connection = harness.connection()
    harness.accept()
    peer, echo, got = harness.accepted[0], connection.handler, bytearray()
    assert isinstance(echo, RecordingHandler)
    peer.setblocking(False)
    pieces = [bytes([i % 251]) * 301 for i in range(5000)]  # more than a system takes in one call
    monkeypatch.setattr("os.writev", failing_call(os.writev, number, 5))
    assert connection.write(pieces)
    while len(got) < 301 * 5000:
        harness.step()
        with contextlib.suppress(BlockingIOError):
            got += peer.recv(1 << 20)
    assert got == b"".join(pieces) and not connection.has_unsent_data()
    monkeypatch.setattr(socket.socket, "recv", failing_call(socket.socket.recv, number, 5))
    peer.send(b"heard")
    harness.until(lambda: echo.received == b"heard")
    assert echo.closed_calls == 0 and not harness.counts["connection_faults"]


def run_client(
    scripts: int, work: Callable[[UpstreamClient, RequestCoordinator, Counters], Any]
) -> tuple[Any, list[peers.Peer]]:
    """Run something with a client of some upstreams."""
    upstreams = [peers.Peer(peers.echo) for _ in range(scripts)]
    coordinator, counters = RequestCoordinator(decode_settings(peers.SETTINGS), 1, 0.0), Counters("t")
    entries = [peers.entry(f"s-{i}", upstream.port) for i, upstream in enumerate(upstreams)]
    coordinator.update_endpoints(0.0, parse_endpoint_list(peers.parse_endpoint_list(*entries)))

    async def inside() -> Any:
        return await work(
            UpstreamClient(coordinator, counters, UpstreamClientOptions(0.25, 30.0, 32)),
            coordinator,
            counters,
        )

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found = runner.run(inside())
    for upstream in upstreams:
        upstream.close()
    return found, upstreams


async def send_attempt(
    client: UpstreamClient, coordinator: RequestCoordinator, name: str, body: list[bytes]
) -> AttemptOutcome:
    """Send one attempt of a request of an unsafe class."""
    attempt = coordinator.pick(time.monotonic(), Request(name, "pay", 60.0)).attempts[0]
    done: asyncio.Future[AttemptOutcome] = asyncio.get_running_loop().create_future()
    outbound = OutboundRequest(b"POST", b"/pay/k", name.encode(), None, body, True, unsafe=True)
    client.send_attempt(attempt, outbound, lambda _, response: done.set_result(response.outcome))
    return await done


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize(
    ("times", "outcome", "got"), [(3, AttemptOutcome.OK, 1), (10**6, AttemptOutcome.NOT_SENT, 0)]
)
def test_first_write_that_fails_locally(
    monkeypatch: pytest.MonkeyPatch, number: int, times: int, outcome: AttemptOutcome, got: int
) -> None:
    """Nothing was written, so it is retried, and ends as not sent if that does not help."""

    async def work(client: UpstreamClient, coordinator: RequestCoordinator, counters: Counters) -> int:
        monkeypatch.setattr("os.writev", failing_call(os.writev, number, times))
        assert await send_attempt(client, coordinator, "j", [b"body"]) is outcome
        return counters["writes_not_begun"]

    tries, upstreams = run_client(1, work)
    assert len(upstreams[0].got) == got and tries >= 3


def test_partly_written_attempt_that_fails_locally(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its last byte was never written, so it did not run, and the upstream has not failed."""
    real, calls = os.writev, [0]

    def writev(fd: int, pieces: list[bytes]) -> int:
        calls[0] += 1
        if calls[0] > 1:
            raise OSError(errno.ENOBUFS, "no buffers")
        return real(fd, [bytes(pieces[0])[:10]])

    async def work(client: UpstreamClient, coordinator: RequestCoordinator, counters: Counters) -> None:
        monkeypatch.setattr("os.writev", writev)
        assert await send_attempt(client, coordinator, "j", [b"body"]) is AttemptOutcome.NOT_SENT

    _, upstreams = run_client(1, work)
    assert calls[0] > 3 and not any(message.body for message in upstreams[0].got)


@pytest.mark.parametrize(("times", "outcome"), [(3, AttemptOutcome.OK), (10**6, AttemptOutcome.NOT_SENT)])
@pytest.mark.parametrize("step", ["connect", "write"])
def test_health_check_over_local_errors(
    monkeypatch: pytest.MonkeyPatch, step: str, times: int, outcome: AttemptOutcome
) -> None:
    if step == "write" and times == 3:
        times, outcome = 1, AttemptOutcome.NOT_SENT  # a health check is not retried: the next one is due soon

    async def work(client: UpstreamClient, coordinator: RequestCoordinator, counters: Counters) -> None:
        if step == "connect":
            break_connect("connect", errno.EADDRNOTAVAIL, times, monkeypatch)
        else:
            monkeypatch.setattr("os.writev", failing_call(os.writev, errno.ENOBUFS, times))
        assert (await client.check_health("s-0"))[0] is outcome
        assert not counters["connects_failed"]

    run_client(1, work)


CUSTOM = """
import socket
real, left = socket.socket.connect_ex, [{times}]
def connect_ex(sock, address):
    if left[0] <= 0:
        return real(sock, address)
    left[0] -= 1
    return {answer}
socket.socket.connect_ex = connect_ex
"""


@pytest.mark.parametrize(
    "answer",
    [
        *map(str, (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.EMFILE, errno.ENOBUFS)),
        f"real(sock, address) and {errno.EINTR}",  # a connect that continues
    ],
)
def test_connects_that_fail_locally_cost_no_request_and_no_upstream(tmp_path: Path, answer: str) -> None:
    """24 local failures open no circuit, eject no upstream and leave all of 200 requests served."""
    (tmp_path / "sitecustomize.py").write_text(CUSTOM.format(times=24, answer=answer))
    with peers.running(tmp_path, *[peers.echo] * 4, PYTHONPATH=str(tmp_path)) as (program, upstreams, _):
        with ThreadPoolExecutor(16) as clients:
            codes = list(clients.map(lambda _: program.ask(peers.request("pay", b"x"))[0], range(200)))
        counts, log = program.counters(), program.log.read_text()
    assert codes == [200] * 200 and sum(len(upstream.got) for upstream in upstreams) == 200
    assert not counts.get("circuit_breakers_opened") and not counts.get("connects_failed")
    assert "quarantine" not in log and "eject" not in log
