"""Reads and writes on one upstream connection, and its end."""

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
    made.end()


def test_reset_by_the_peer_removes_the_connection(harness: PoolHarness) -> None:
    connection = harness.connection()
    harness.accept()
    exchange = connection.handler
    assert isinstance(exchange, RecordingHandler) and connection.write([b"a job"])
    harness.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    harness.accepted.pop().close()
    harness.until(lambda: exchange.closed_calls == 1)
    harness.check_table()
    assert len(harness.pool.table) == 0


def test_reset_before_all_was_written_reports_unsent_data(harness: PoolHarness) -> None:
    connection = harness.connection()
    harness.accept()
    told: list[bool] = []
    assert isinstance(connection.handler, RecordingHandler)
    connection.handler.on_closed = lambda reason: told.append(reason.has_unsent_data)  # type: ignore[method-assign]
    assert connection.write([b"x" * 60_000] * 400) and connection.has_unsent_data()
    harness.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    harness.accepted.pop().close()
    harness.until(lambda: bool(told))
    assert told == [True]


def test_large_message_arrives_complete_and_in_order(harness: PoolHarness) -> None:
    connection = harness.connection()
    harness.accept()
    pieces = [bytes([i % 251]) * 30_000 for i in range(200)]
    assert connection.write(pieces[:150]) and connection.write(pieces[150:])
    got = bytearray()
    peer = harness.accepted[0]
    peer.setblocking(False)
    while len(got) < 6_000_000:
        harness.step()
        with contextlib.suppress(BlockingIOError):
            got += peer.recv(1 << 20)
    assert got == b"".join(pieces) and not connection.has_unsent_data()


@pytest.mark.parametrize("size", [100, 100_000])
def test_reset_behind_received_data_is_reported(harness: PoolHarness, size: int) -> None:
    """The bytes of the reset's own event are read, and then its error: uvloop does not call again for it."""
    connection = harness.connection()
    harness.accept()
    assert isinstance(connection.handler, RecordingHandler)
    exchange, peer = connection.handler, harness.accepted.pop()
    peer.sendall(b"x" * size)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()
    harness.until(lambda: exchange.closed_calls == 1)
    assert exchange.received == b"x" * len(exchange.received) and len(harness.pool.table) == 0
