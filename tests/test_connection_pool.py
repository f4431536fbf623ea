"""The connection pool on a real event loop: its table matches the open sockets after any cancel or error."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import time
from collections.abc import Iterator
from functools import partial

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from indigokeel.net.upstream import (
    ConnectFailure,
    ConnectionLimits,
    ConnectionState,
    ConnectionWaiter,
    UpstreamConnection,
)
from indigokeel.net.upstream.circuit_breaker import FAILURE_THRESHOLD
from tests.pool_harness import RESET_ON_CLOSE, PoolHarness, RecordingHandler


@pytest.fixture
def harness() -> Iterator[PoolHarness]:
    """Return a pool harness that is checked and closed after the test."""
    made = PoolHarness()
    yield made
    made.close()


class PoolMachine(RuleBasedStateMachine):
    """Random pool operations, resets, drains and faults between single iterations of the event loop."""

    @initialize(calls=st.sampled_from([1, 3]))
    def start(self, calls: int) -> None:
        self.harness = PoolHarness(calls=calls)
        self.waiters: list[ConnectionWaiter] = []
        self.connections: list[UpstreamConnection] = []
        self.quiet: list[UpstreamConnection] = []
        self.asked = 0

    def _collect_connections(self) -> None:
        self.connections += [
            connection for connection in self.harness.results if isinstance(connection, UpstreamConnection)
        ]
        self.harness.results.clear()

    @rule(
        upstream=st.sampled_from(["up", "up", "up", "refuses", "silent"]),
        timeout_s=st.sampled_from([0.0, 0.001, 5.0]),
        unsafe=st.booleans(),
        faulty=st.sampled_from([False, False, False, True]),
    )
    def acquire_connection(self, upstream: str, timeout_s: float, unsafe: bool, faulty: bool) -> None:
        found = self.harness.acquire(upstream, timeout_s, unsafe, faulty)
        if isinstance(found, UpstreamConnection):
            self.connections.append(found)
        else:
            self.waiters.append(found)

    @rule(index=st.integers(0, 20))
    def cancel(self, index: int) -> None:
        if self.waiters:
            waiter = self.waiters.pop(index % len(self.waiters))
            self.harness.run(lambda: self.harness.pool.cancel(waiter))

    @rule(index=st.integers(0, 20), reusable=st.booleans())
    def release_connection(self, index: int, reusable: bool) -> None:
        self._collect_connections()
        if self.connections:
            connection = self.connections.pop(index % len(self.connections))
            self.harness.run(lambda: self.harness.pool.release(connection, reusable))

    @rule(index=st.integers(0, 20))
    def release_quiet(self, index: int) -> None:
        self._collect_connections()
        if self.connections:
            connection = self.connections.pop(index % len(self.connections))
            if self.harness.run(lambda: self.harness.pool.release_quiet(connection)):
                self.quiet.append(connection)

    @rule(reusable=st.booleans())
    def end_quiet_period(self, reusable: bool) -> None:
        if self.quiet:
            connection = self.quiet.pop(0)
            self.harness.run(lambda: self.harness.pool.end_quiet_period(connection, reusable))

    @rule(index=st.integers(0, 20))
    def close(self, index: int) -> None:
        self._collect_connections()
        if self.connections:
            connection = self.connections.pop(index % len(self.connections))
            self.connections = [other for other in self.connections if other is not connection]
            self.harness.run(lambda: self.harness.pool.close(connection))

    @rule(steps=st.integers(1, 4))
    def run_event_loop(self, steps: int) -> None:
        self.harness.step(steps)

    @rule()
    def accept(self) -> None:
        self.harness.accept()

    @rule(index=st.integers(0, 20), action=st.sampled_from(["reset", "end", "bytes"]))
    def act_as_peer(self, index: int, action: str) -> None:
        if self.harness.accepted:
            sock = self.harness.accepted[index % len(self.harness.accepted)]
            if action == "bytes":
                with contextlib.suppress(OSError):
                    sock.send(b"noise")
                return
            if action == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.harness.accepted.remove(sock)
            sock.close()

    @rule(upstream=st.sampled_from(["up", "refuses", "silent"]))
    def drain(self, upstream: str) -> None:
        self.harness.run(lambda: self.harness.pool.drain_upstream(upstream))

    @rule(upstream=st.sampled_from(["up", "refuses", "silent"]))
    def preconnect(self, upstream: str) -> None:
        self.harness.run(lambda: self.harness.pool.preconnect(upstream, self.harness.addresses[upstream]))

    @rule(seconds=st.sampled_from([0.1, 3.0, 40.0]))
    def advance_clock(self, seconds: float) -> None:
        self.harness.now += seconds
        self.harness.run(lambda: self.harness.pool.close_expired(self.harness.now))

    @rule(index=st.integers(0, 20))
    def make_handler_faulty(self, index: int) -> None:
        for connection in list(self.harness.pool.table)[index % 6 :][:1]:
            if isinstance(connection.handler, RecordingHandler):
                connection.handler.is_faulty = True

    @invariant()
    def table_matches_open_sockets(self) -> None:
        if not hasattr(self, "harness"):
            return
        self.harness.check_table()
        table = self.harness.pool.table
        assert len(table) <= 6
        for upstream in ("up", "refuses", "silent"):
            assert table.count(upstream, ConnectionState.OPENING) <= 2
        assert all(connection.state is not ConnectionState.CLOSED for connection in table)

    def teardown(self) -> None:
        if hasattr(self, "harness"):
            self.harness.close()
            assert not self.harness.pool.waiter_count()


PoolMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestPoolMachine = PoolMachine.TestCase


@pytest.mark.parametrize("steps", range(6))
def test_wait_cancelled_at_any_step_of_a_connect_leaves_no_connection(
    harness: PoolHarness, steps: int
) -> None:
    """A connect that is cancelled just as it completes must not stay in the connection table.

    That is what happened with uvloop's ``create_connection``.
    """
    for _ in range(300):
        waiter = harness.acquire()
        assert isinstance(waiter, ConnectionWaiter)
        harness.step(steps)
        harness.run(lambda held=waiter: harness.pool.cancel(held))  # type: ignore[misc]
        harness.accept()
        harness.check_table()
        for connection in list(harness.pool.table):
            harness.run(lambda held=connection: harness.pool.close(held))  # type: ignore[misc]
    assert harness.pool.waiter_count() == 0
    assert harness.run(harness.audit.run_audit) == []


def test_waiters_get_released_connections_in_order() -> None:
    harness = PoolHarness(ConnectionLimits(4, 4, 2))
    connections = [harness.establish_connection() for _ in range(4)]
    harness.results.clear()
    order: list[int] = []

    def wait(number: int) -> None:
        harness.pool.acquire("up", harness.addresses["up"], 5.0, lambda connection: order.append(number))

    for number in range(3):
        harness.run(lambda n=number: wait(n))  # type: ignore[misc]
    harness.step(5)
    assert order == [] and len(harness.pool.table) == 4
    for connection in connections[:3]:
        harness.run(lambda held=connection: harness.pool.release(held, True))  # type: ignore[misc]
    assert order == [0, 1, 2]
    harness.close()


def test_failed_connects_open_the_circuit_and_one_trial_closes_it(harness: PoolHarness) -> None:
    for _ in range(FAILURE_THRESHOLD + 3):
        harness.acquire("refuses")
        harness.run_until(lambda: not harness.pool.waiter_count())
        harness.step(2)
    assert harness.counts["connects_failed"] == FAILURE_THRESHOLD
    assert harness.counts["connects_not_tried"] >= 1
    assert any("consecutive connects failed" in text for _, text in harness.logged)
    harness.now += 5.0  # the open time is over, and the upstream accepts connects again
    server = socket.create_server(harness.addresses["refuses"])
    harness.results.clear()

    def acquire_five() -> int:
        for _ in range(5):
            harness.pool.acquire("refuses", harness.addresses["refuses"], 5.0, harness.results.append)
        return harness.pool.table.count("refuses", ConnectionState.OPENING)

    assert harness.run(acquire_five) == 1  # half-open: one trial for all waiters
    harness.run_until(lambda: len(harness.results) >= 4)
    assert all(isinstance(connection, UpstreamConnection) for connection in harness.results)
    server.close()
    harness.check_table()


def test_connects_to_a_silent_upstream_time_out_until_its_circuit_opens(harness: PoolHarness) -> None:
    for _ in range(FAILURE_THRESHOLD):
        harness.acquire("silent", 0.002)
        harness.now += 0.01
        harness.run_until(lambda: not harness.pool.waiter_count())
    harness.results.clear()
    harness.acquire("silent", 60.0)
    harness.run_until(lambda: harness.results == [ConnectFailure.UPSTREAM])
    assert harness.counts["connects_not_tried"] == 1 and len(harness.pool.table) == 0


def test_descriptors_exhausted_during_a_connect(
    harness: PoolHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An idle connection is closed to free its descriptor. If none is idle, the error is logged and the wait
    continues until a connect succeeds, or ends with a local failure at its timeout."""
    idle = harness.establish_connection()
    harness.run(lambda: harness.pool.release(idle, True))
    real, available = socket.socket, [0]

    def socket_without_descriptors(*args: int, **more: int) -> socket.socket:
        if available[0] <= 0 and args[:1] == (socket.AF_INET,) and len(args) == 2:
            available[0] += 1
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return real(*args, **more)

    monkeypatch.setattr("indigokeel.net.upstream.connection.socket.socket", socket_without_descriptors)
    harness.acquire("refuses")
    assert idle.state is ConnectionState.CLOSED and harness.counts["descriptors_exhausted"] == 1
    available[0] = -9
    harness.results.clear()
    harness.acquire("up")
    assert harness.pool.waiter_count() == 1
    harness.run_until(lambda: bool(harness.results))
    # The connect succeeds at the eleventh try, and none is made after it.
    assert isinstance(harness.results[-1], UpstreamConnection) and available[0] == 1
    assert ("error" in {level for level, _ in harness.logged}) and harness.pool.waiter_count() == 0
    available[0] = -1000
    harness.acquire("up", 0.01)
    harness.run_until(lambda: harness.results[-1] is ConnectFailure.LOCAL)
    assert harness.pool.waiter_count() == 0
    assert harness.counts["connects_failed"] == 1  # the connect to ``refuses``
    monkeypatch.undo()
    harness.check_table()


def test_connection_to_a_former_address_is_not_reused(harness: PoolHarness) -> None:
    """The address may belong to another upstream by now."""
    connection = harness.establish_connection()
    harness.run(lambda: harness.pool.release(connection, True))
    server = socket.create_server(("127.0.0.1", 0))
    harness.addresses["up"] = server.getsockname()
    found = harness.acquire()
    assert isinstance(found, ConnectionWaiter) and connection.state is ConnectionState.CLOSED
    harness.run_until(lambda: bool(harness.results) and isinstance(harness.results[-1], UpstreamConnection))
    server.close()


def test_drain_closes_idle_connections_at_once_and_others_when_released(harness: PoolHarness) -> None:
    first, second = harness.establish_connection(), harness.establish_connection()
    harness.run(lambda: harness.pool.release(first, True))
    harness.run(lambda: harness.pool.drain_upstream("up"))
    assert (first.state, second.state) == (ConnectionState.CLOSED, ConnectionState.DRAINING)
    harness.run(lambda: harness.pool.release(second, True))
    assert second.state is ConnectionState.CLOSED
    harness.check_table()


def test_quiet_connection_is_not_reused_before_its_period_ends(harness: PoolHarness) -> None:
    connection = harness.establish_connection()
    assert harness.run(lambda: harness.pool.release_quiet(connection))
    other = harness.establish_connection()
    assert other is not connection
    harness.run(lambda: harness.pool.end_quiet_period(connection, True))
    assert harness.acquire() is connection


@pytest.mark.parametrize("is_read", [True, False])
def test_bytes_on_a_quiet_connection_close_it(harness: PoolHarness, is_read: bool) -> None:
    """Guards against bytes that a late event loop has not read yet when the period ends."""
    connection = harness.establish_connection()
    harness.accept()
    harness.run(lambda: harness.pool.release_quiet(connection))
    harness.accepted[0].sendall(b"stray")
    if is_read:
        harness.run_until(lambda: connection.state is ConnectionState.CLOSED)
        assert harness.counts["stray_answers"] == 1 and "sent bytes" in harness.logged[0][1]
    harness.run(lambda: harness.pool.end_quiet_period(connection, True))
    assert connection.state is ConnectionState.CLOSED and not len(harness.pool.table)


def test_quiet_connections_are_closed_for_others_at_the_limits_and_in_a_drain() -> None:
    """Guards against attempts that wait for the end of a quiet period while all descriptors are in use."""
    harness = PoolHarness(ConnectionLimits(2, 2, 2))
    connections = [harness.establish_connection() for _ in range(2)]
    for connection in connections:
        harness.run(partial(harness.pool.release_quiet, connection))
    assert harness.establish_connection() not in connections
    assert [connection.state for connection in connections] == [ConnectionState.CLOSED, ConnectionState.QUIET]
    harness.run(lambda: harness.pool.drain_upstream("up"))
    assert connections[1].state is ConnectionState.CLOSED
    harness.close()


def test_upstream_limit_applies_only_beside_other_upstreams() -> None:
    harness = PoolHarness(ConnectionLimits(8, 4, 8))
    taken = [harness.establish_connection() for _ in range(8)]
    harness.run(lambda: harness.pool.close(taken[0]))
    for connection in taken[1:4]:
        harness.run(lambda held=connection: harness.pool.close(held))  # type: ignore[misc]
    server = socket.create_server(("127.0.0.1", 0))
    harness.addresses["other"] = server.getsockname()
    harness.acquire("other")
    harness.run_until(lambda: harness.pool.table.count("other", ConnectionState.IN_USE) == 1)
    harness.acquire("up")
    assert harness.pool.table.count("up", ConnectionState.OPENING) == 0  # now its limit is reached
    server.close()
    harness.close()


def test_calls_share_a_connection_up_to_its_limit() -> None:
    harness = PoolHarness(ConnectionLimits(1, 1, 1), calls=3)
    connection = harness.establish_connection()
    assert [harness.acquire() for _ in range(2)] == [connection, connection]
    assert isinstance(harness.acquire(), ConnectionWaiter)
    harness.run(lambda: harness.pool.release(connection, True))
    assert harness.results[-1] is connection and connection.calls == 3
    harness.close()


def test_new_upstream_is_preconnected_once(harness: PoolHarness) -> None:
    for _ in range(3):
        harness.run(lambda: harness.pool.preconnect("up", harness.addresses["up"]))
        harness.step(3)
    assert harness.counts["connections_warmed"] == 1
    harness.run_until(lambda: harness.pool.table.count("up", ConnectionState.IDLE) == 1)
    assert isinstance(harness.acquire(), UpstreamConnection)


def test_connect_that_completes_while_the_event_loop_is_blocked_succeeds(harness: PoolHarness) -> None:
    """A delayed event loop runs its timers before it polls its sockets."""

    def acquire_and_block() -> None:
        harness.pool.acquire("up", harness.addresses["up"], 0.005, harness.results.append)
        time.sleep(0.03)  # the event loop is blocked

    harness.run(acquire_and_block)
    harness.run_until(lambda: bool(harness.results))
    assert isinstance(harness.results[0], UpstreamConnection) and not harness.counts["connects_failed"]
