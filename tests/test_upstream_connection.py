"""Reads and writes on an upstream connection, and its close."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

import pytest

from tests.pool_harness import RESET_ON_CLOSE, PoolHarness, RecordingHandler


@pytest.fixture
def harness() -> Iterator[PoolHarness]:
    """Return a pool harness that is checked and closed after the test."""
    made = PoolHarness()
    yield made
    made.close()


def test_reset_by_the_peer_removes_the_connection(harness: PoolHarness) -> None:
    connection = harness.establish_connection()
    harness.accept()
    handler = connection.handler
    assert isinstance(handler, RecordingHandler) and connection.write([b"a request"])
    harness.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    harness.accepted.pop().close()
    harness.run_until(lambda: handler.closed_calls == 1)
    harness.check_table()
    assert len(harness.pool.table) == 0


def test_reset_before_the_end_of_a_write_reports_unsent_data(harness: PoolHarness) -> None:
    connection = harness.establish_connection()
    harness.accept()
    reported: list[bool] = []
    assert isinstance(connection.handler, RecordingHandler)
    connection.handler.on_closed = lambda reason: reported.append(reason.has_unsent_data)  # type: ignore[method-assign]
    assert connection.write([b"x" * 60_000] * 400) and connection.has_unsent_data()
    harness.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    harness.accepted.pop().close()
    harness.run_until(lambda: bool(reported))
    assert reported == [True]


def test_large_message_arrives_complete_and_in_order(harness: PoolHarness) -> None:
    connection = harness.establish_connection()
    harness.accept()
    chunks = [bytes([i % 251]) * 30_000 for i in range(200)]
    assert connection.write(chunks[:150]) and connection.write(chunks[150:])
    received_bytes = bytearray()
    peer = harness.accepted[0]
    peer.setblocking(False)
    while len(received_bytes) < 6_000_000:
        harness.step()
        with contextlib.suppress(BlockingIOError):
            received_bytes += peer.recv(1 << 20)
    assert received_bytes == b"".join(chunks) and not connection.has_unsent_data()


@pytest.mark.parametrize("size", [100, 100_000])
def test_reset_after_received_data_is_reported(harness: PoolHarness, size: int) -> None:
    """uvloop reports the data and the reset that follows it as one event."""
    connection = harness.establish_connection()
    harness.accept()
    assert isinstance(connection.handler, RecordingHandler)
    handler = connection.handler
    peer = harness.accepted.pop()
    peer.sendall(b"x" * size)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()
    harness.run_until(lambda: handler.closed_calls == 1)
    assert handler.received == b"x" * len(handler.received) and len(harness.pool.table) == 0
