"""Tests of errors of system calls on upstream connections: local errors, errors of an upstream, and retries.

The errors are injected at the system call, in this process or, through ``sitecustomize``, in the program.
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
from indigokeel.net.errors import ErrorCategory
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
    pool_harness = PoolHarness()
    yield pool_harness
    pool_harness.close()


LOCAL, UPSTREAM, NO_FAILURE = ErrorCategory.LOCAL, ErrorCategory.UPSTREAM, ErrorCategory.NO_FAILURE


EXHAUSTED = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


ROUTE_ERRORS = [errno.ENETUNREACH, errno.EHOSTUNREACH]


def failing_call(call: Callable[..., Any], number: int, times: int) -> Callable[..., Any]:
    """Return a system call that fails ``times`` times before it is executed."""
    failures_left = [times]

    def failing(*args: Any) -> Any:
        if failures_left[0] > 0:
            failures_left[0] -= 1
            raise OSError(number, os.strerror(number))
        return call(*args)

    return failing


def break_connect(step: str, number: int, times: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make one of the system calls of a connect fail."""
    if step == "fstat":
        monkeypatch.setattr("os.fstat", failing_call(os.fstat, number, times))
    elif step == "socket":
        real_socket = socket.socket
        failing_socket = failing_call(real_socket, number, times)
        monkeypatch.setattr(
            "socket.socket",  # fails for upstream connections, not for the event loop
            lambda *args: (
                failing_socket if args[:1] == (socket.AF_INET,) and len(args) == 2 else real_socket
            )(*args),
        )
    elif step in ("connect", "interrupted"):
        real_call, failures_left = socket.socket.connect_ex, [times]

        def connect_ex(sock: socket.socket, address: Any) -> int:
            failures_left[0] -= 1
            if failures_left[0] < 0:
                return real_call(sock, address)
            return number if step == "connect" else real_call(sock, address) and number

        monkeypatch.setattr(socket.socket, "connect_ex", connect_ex)
    else:
        failing = failing_call(getattr(socket.socket, step), number, times)
        if step == "getsockopt":  # the error with which a connect in progress ended

            def socket_error(sock: socket.socket, *args: int) -> int:
                try:
                    return int(failing(sock, *args))
                except OSError as error:
                    return error.errno or 0

            monkeypatch.setattr(socket.socket, step, socket_error)
        else:
            monkeypatch.setattr(socket.socket, step, failing)


CONNECT_ERRORS = [
    *(("socket", number, LOCAL) for number in EXHAUSTED),
    *(("setsockopt", number, LOCAL) for number in (errno.ENOBUFS, errno.ENOMEM)),
    ("fstat", errno.ENOMEM, LOCAL),
    *(
        ("connect", number, LOCAL)
        for number in (errno.EADDRNOTAVAIL, *ROUTE_ERRORS, errno.ENOBUFS, errno.EAGAIN)
    ),
    ("connect", errno.ECONNREFUSED, UPSTREAM),
    ("interrupted", errno.EINTR, NO_FAILURE),
    *(("getsockopt", number, LOCAL) for number in (errno.EADDRNOTAVAIL, errno.ENOMEM)),
    *(("getsockopt", number, UPSTREAM) for number in (*ROUTE_ERRORS, errno.ETIMEDOUT, errno.ECONNREFUSED)),
    ("getsockopt", errno.EINTR, NO_FAILURE),
]


@pytest.mark.parametrize(("step", "number", "expected"), CONNECT_ERRORS)
def test_connect_with_errors(
    harness: PoolHarness, monkeypatch: pytest.MonkeyPatch, step: str, number: int, expected: ErrorCategory
) -> None:
    """Six failures of an upstream open its circuit breaker; six local errors only prolong the wait."""
    break_connect(step, number, 6, monkeypatch)
    for _ in range(6):
        harness.acquire()
        harness.run_until(lambda: not harness.pool.waiter_count())
        harness.step(2)
    monkeypatch.undo()
    connected = sum(isinstance(connection, UpstreamConnection) for connection in harness.results)
    assert connected == (0 if expected is UPSTREAM else 6)
    assert harness.counts["circuit_breakers_opened"] == (expected is UPSTREAM)
    assert bool(harness.counts["connects_failed"]) == (expected is UPSTREAM)
    harness.check_table()


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENFILE, errno.EHOSTUNREACH])
def test_waiter_that_times_out_after_a_local_error_reports_it(
    harness: PoolHarness, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """No upstream counts as failed, even if a connect could start in the end but had no time left."""
    break_connect("connect", number, 10**6, monkeypatch)
    harness.acquire(timeout_s=0.03)
    harness.run_until(lambda: harness.results == [ConnectFailure.LOCAL])
    monkeypatch.undo()
    break_connect("connect", number, 2, monkeypatch)
    harness.acquire("silent", 0.1)
    harness.run_until(lambda: len(harness.results) == 2)
    assert harness.results[1] is ConnectFailure.LOCAL and not harness.counts["connects_failed"]


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN])
def test_bytes_are_complete_and_in_order_after_failed_calls(
    harness: PoolHarness, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    connection = harness.establish_connection()
    harness.accept()
    peer, echo, received_data = harness.accepted[0], connection.handler, bytearray()
    assert isinstance(echo, RecordingHandler)
    peer.setblocking(False)
    pieces = [bytes([i % 251]) * 301 for i in range(5000)]  # more than the system accepts in one call
    monkeypatch.setattr("os.writev", failing_call(os.writev, number, 5))
    assert connection.write(pieces)
    while len(received_data) < 301 * 5000:
        harness.step()
        with contextlib.suppress(BlockingIOError):
            received_data += peer.recv(1 << 20)
    assert received_data == b"".join(pieces) and not connection.has_unsent_data()
    monkeypatch.setattr(socket.socket, "recv", failing_call(socket.socket.recv, number, 5))
    peer.send(b"heard")
    harness.run_until(lambda: echo.received == b"heard")
    assert echo.closed_calls == 0 and not harness.counts["connection_faults"]


def run_client(
    count: int, work: Callable[[UpstreamClient, RequestCoordinator, Counters], Any]
) -> tuple[Any, list[peers.Peer]]:
    """Run ``work`` with an upstream client for ``count`` upstreams; return its result and the upstreams."""
    upstreams = [peers.Peer(peers.echo) for _ in range(count)]
    coordinator, counters = RequestCoordinator(decode_settings(peers.SETTINGS), 1, 0.0), Counters("t")
    entries = [peers.entry(f"s-{i}", upstream.port) for i, upstream in enumerate(upstreams)]
    coordinator.update_endpoints(0.0, parse_endpoint_list(peers.make_endpoint_list(*entries)))

    async def run_work() -> Any:
        return await work(
            UpstreamClient(coordinator, counters, UpstreamClientOptions(0.25, 30.0, 32)),
            coordinator,
            counters,
        )

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result = runner.run(run_work())
    for upstream in upstreams:
        upstream.close()
    return result, upstreams


async def send_attempt(
    client: UpstreamClient, coordinator: RequestCoordinator, name: str, body: list[bytes]
) -> AttemptOutcome:
    """Send one attempt of a request of an unsafe class; return its outcome."""
    attempt = coordinator.pick(time.monotonic(), Request(name, "pay", 60.0)).attempts[0]
    done: asyncio.Future[AttemptOutcome] = asyncio.get_running_loop().create_future()
    outbound = OutboundRequest(b"POST", b"/pay/k", name.encode(), None, body, True, unsafe=True)
    client.send_attempt(attempt, outbound, lambda _, response: done.set_result(response.outcome))
    return await done


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize(
    ("times", "outcome", "received_count"), [(3, AttemptOutcome.OK, 1), (10**6, AttemptOutcome.NOT_SENT, 0)]
)
def test_attempt_whose_first_write_fails_locally_is_retried(
    monkeypatch: pytest.MonkeyPatch, number: int, times: int, outcome: AttemptOutcome, received_count: int
) -> None:
    """No byte was written, so the write is retried; the attempt ends as not sent if it keeps failing."""

    async def work(client: UpstreamClient, coordinator: RequestCoordinator, counters: Counters) -> int:
        monkeypatch.setattr("os.writev", failing_call(os.writev, number, times))
        assert await send_attempt(client, coordinator, "j", [b"body"]) is outcome
        return counters["writes_not_begun"]

    tries, upstreams = run_client(1, work)
    assert len(upstreams[0].received) == received_count and tries >= 3


def test_partly_written_attempt_that_fails_locally_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last byte was never written, so the request did not run, and the upstream has not failed."""
    real_call, calls = os.writev, [0]

    def writev(fd: int, pieces: list[bytes]) -> int:
        calls[0] += 1
        if calls[0] > 1:
            raise OSError(errno.ENOBUFS, "no buffers")
        return real_call(fd, [bytes(pieces[0])[:10]])

    async def work(client: UpstreamClient, coordinator: RequestCoordinator, counters: Counters) -> None:
        monkeypatch.setattr("os.writev", writev)
        assert await send_attempt(client, coordinator, "j", [b"body"]) is AttemptOutcome.NOT_SENT

    _, upstreams = run_client(1, work)
    assert calls[0] > 3 and not any(message.body for message in upstreams[0].received)


@pytest.mark.parametrize(("times", "outcome"), [(3, AttemptOutcome.OK), (10**6, AttemptOutcome.NOT_SENT)])
@pytest.mark.parametrize("step", ["connect", "write"])
def test_health_check_with_local_errors(
    monkeypatch: pytest.MonkeyPatch, step: str, times: int, outcome: AttemptOutcome
) -> None:
    if step == "write" and times == 3:
        # A health check is not retried, as the next one is due soon.
        times, outcome = 1, AttemptOutcome.NOT_SENT

    async def work(client: UpstreamClient, coordinator: RequestCoordinator, counters: Counters) -> None:
        if step == "connect":
            break_connect("connect", errno.EADDRNOTAVAIL, times, monkeypatch)
        else:
            monkeypatch.setattr("os.writev", failing_call(os.writev, errno.ENOBUFS, times))
        assert (await client.check_health("s-0"))[0] is outcome
        assert not counters["connects_failed"]

    run_client(1, work)


SITECUSTOMIZE = """
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
def test_locally_failing_connects_fail_no_request_and_eject_no_upstream(tmp_path: Path, answer: str) -> None:
    """24 local failures open no circuit breaker and eject no upstream; all 200 requests are served."""
    (tmp_path / "sitecustomize.py").write_text(SITECUSTOMIZE.format(times=24, answer=answer))
    with peers.running(tmp_path, *[peers.echo] * 4, PYTHONPATH=str(tmp_path)) as (program, upstreams, _):
        with ThreadPoolExecutor(16) as clients:
            codes = list(clients.map(lambda _: program.exchange(peers.request("pay", b"x"))[0], range(200)))
        counts, log = program.counters(), program.log.read_text()
    assert codes == [200] * 200 and sum(len(upstream.received) for upstream in upstreams) == 200
    assert not counts.get("circuit_breakers_opened") and not counts.get("connects_failed")
    assert "quarantine" not in log and "eject" not in log
