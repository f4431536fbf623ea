"""The connection manager on a real loop: whatever is cancelled, reset, drained or faulty at any step, the
books hold what the process holds."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import hypothesis.strategies as st
import pytest
import uvloop
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from indigokeel.net.upstream import (
    CloseReason,
    ConnectFailure,
    ConnectionLimits,
    ConnectionPool,
    ConnectionState,
    ConnectionWaiter,
    DescriptorLeakDetector,
    MismatchKind,
    PoolOptions,
    Telemetry,
    UpstreamConnection,
)
from indigokeel.net.upstream.circuit_breaker import FAILURE_THRESHOLD, CircuitBreaker
from indigokeel.net.upstream.connection_table import ConnectionTable
from indigokeel.net.upstream.descriptor_audit import sockets
from indigokeel.net.upstream.idle_resets import IdleResetEstimator

_RESET = struct.pack("ii", 1, 0)


class Echo:
    """A conversation that keeps what it hears, and fails when told to."""

    def __init__(self, connection: UpstreamConnection) -> None:
        self.connection, self.heard_all, self.ended, self.faulty = connection, b"", 0, False

    def on_data(self, data: bytes) -> None:
        if self.faulty:
            raise RuntimeError("a fault in what is said")
        self.heard_all += data

    def on_writable(self) -> None: ...

    def on_closed(self, reason: CloseReason) -> None:
        self.ended += 1


class World:
    """A manager on a loop of its own, and upstreams: one that accepts, one that refuses, one that is
    silent."""

    def __init__(self, bounds: ConnectionLimits | None = None, calls: int = 1, timeout: float = 5.0) -> None:
        self.loop = uvloop.new_event_loop()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.setblocking(False)
        closed = socket.create_server(("127.0.0.1", 0))
        self.silent = socket.create_server(("127.0.0.1", 0), backlog=0)
        self._fillers = [socket.socket() for _ in range(3)]  # with its queue full it answers no connect
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(self.silent.getsockname())
        self.addresses = {
            "up": self.listener.getsockname(),
            "refuses": closed.getsockname(),
            "silent": self.silent.getsockname(),
        }
        closed.close()
        self.baseline = sockets()
        self.accepted: list[socket.socket] = []
        self.counts: Counter[str] = Counter()
        self.logged: list[tuple[str, str]] = []
        self.now = 100.0
        self.connections = ConnectionPool(
            bounds or ConnectionLimits(6, 4, 2),
            Echo,
            Telemetry(
                lambda what: self.counts.update([what]),
                lambda level, text: self.logged.append((level, text)),
                lambda: self.now,
            ),
            PoolOptions(seed=1, connect_timeout_s=timeout, max_calls=calls),
        )
        self.audit = DescriptorLeakDetector(
            lambda: self.connections.table,
            self.connections.discard,
            lambda: {s.fileno(): "peer" for s in self.accepted},
            lambda what: self.counts.update([what]),
            lambda level, text: self.logged.append((level, text)),
            lambda: self.now,
        )
        self.ready: list[UpstreamConnection | ConnectFailure] = []

    def run(self, call: Callable[[], object]) -> object:
        async def inside() -> object:
            return call()

        return self.loop.run_until_complete(inside())

    def step(self, steps: int = 1) -> None:
        for _ in range(steps):
            self.loop.run_until_complete(asyncio.sleep(0))

    def accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                self.accepted.append(self.listener.accept()[0])

    def borrow(
        self, upstream: str = "up", patience: float = 5.0, unsafe: bool = False, faulty: bool = False
    ) -> UpstreamConnection | ConnectionWaiter:
        def ready(connection: UpstreamConnection | ConnectFailure) -> None:
            self.ready.append(connection)
            if faulty:
                raise RuntimeError("a fault in who waits")

        found = self.run(
            lambda: self.connections.acquire(upstream, self.addresses[upstream], patience, ready, unsafe)
        )
        assert isinstance(found, UpstreamConnection | ConnectionWaiter)
        return found

    def connection(self) -> UpstreamConnection:
        """A connection that is up."""
        before = len(self.ready)
        found = self.borrow()
        if isinstance(found, UpstreamConnection):
            return found
        self.until(lambda: len(self.ready) > before)
        connection = self.ready[-1]
        assert isinstance(connection, UpstreamConnection)
        return connection

    def until(self, condition: Callable[[], bool]) -> None:
        for _ in range(20_000):
            if condition():
                return
            self.loop.run_until_complete(asyncio.sleep(0.0005))
        raise AssertionError("waited in vain")

    def held(self) -> set[int]:
        """The inodes of the sockets that the manager must hold: all that are nobody else's."""
        ours = {s.fileno() for s in self.accepted if s.fileno() >= 0}
        return {inode for fd, inode in sockets().items() if self.baseline.get(fd) != inode and fd not in ours}

    def agrees(self) -> None:
        assert {connection.inode for connection in self.connections.table} == self.held()

    def end(self) -> None:
        self.run(self.connections.end)
        self.step(2)
        assert not self.held() and not len(self.connections.table)
        for sock in (*self.accepted, *self._fillers, self.listener, self.silent):
            sock.close()
        self.loop.close()


@pytest.fixture
def world() -> Iterator[World]:
    made = World()
    yield made
    made.end()


class Manager(RuleBasedStateMachine):
    """Random opens, cancels, resets, drains and faults, with the loop turned by single steps between."""

    @initialize(calls=st.sampled_from([1, 3]))
    def start(self, calls: int) -> None:
        self.world = World(calls=calls)
        self.waiters: list[ConnectionWaiter] = []
        self.connections: list[UpstreamConnection] = []
        self.asked = 0

    def _taken(self) -> None:
        self.connections += [
            connection for connection in self.world.ready if isinstance(connection, UpstreamConnection)
        ]
        self.world.ready.clear()

    @rule(
        upstream=st.sampled_from(["up", "up", "up", "refuses", "silent"]),
        patience=st.sampled_from([0.0, 0.001, 5.0]),
        unsafe=st.booleans(),
        faulty=st.sampled_from([False, False, False, True]),
    )
    def borrow(self, upstream: str, patience: float, unsafe: bool, faulty: bool) -> None:
        found = self.world.borrow(upstream, patience, unsafe, faulty)
        if isinstance(found, UpstreamConnection):
            self.connections.append(found)
        else:
            self.waiters.append(found)

    @rule(which=st.integers(0, 20))
    def cancel(self, which: int) -> None:
        if self.waiters:
            waiter = self.waiters.pop(which % len(self.waiters))
            self.world.run(lambda: self.world.connections.cancel(waiter))

    @rule(which=st.integers(0, 20), clean=st.booleans())
    def give_back(self, which: int, clean: bool) -> None:
        self._taken()
        if self.connections:
            connection = self.connections.pop(which % len(self.connections))
            self.world.run(lambda: self.world.connections.release(connection, clean))

    @rule(which=st.integers(0, 20))
    def close(self, which: int) -> None:
        self._taken()
        if self.connections:
            connection = self.connections.pop(which % len(self.connections))
            self.connections = [other for other in self.connections if other is not connection]
            self.world.run(lambda: self.world.connections.close(connection))

    @rule(steps=st.integers(1, 4))
    def turn(self, steps: int) -> None:
        self.world.step(steps)

    @rule()
    def accept(self) -> None:
        self.world.accept()

    @rule(which=st.integers(0, 20), how=st.sampled_from(["reset", "end", "bytes"]))
    def peer(self, which: int, how: str) -> None:
        if self.world.accepted:
            sock = self.world.accepted[which % len(self.world.accepted)]
            if how == "bytes":
                with contextlib.suppress(OSError):
                    sock.send(b"noise")
                return
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self.world.accepted.remove(sock)
            sock.close()

    @rule(upstream=st.sampled_from(["up", "refuses", "silent"]))
    def drain(self, upstream: str) -> None:
        self.world.run(lambda: self.world.connections.close_to(upstream))

    @rule(upstream=st.sampled_from(["up", "refuses", "silent"]))
    def warm(self, upstream: str) -> None:
        self.world.run(lambda: self.world.connections.warm(upstream, self.world.addresses[upstream]))

    @rule(seconds=st.sampled_from([0.1, 3.0, 40.0]))
    def age(self, seconds: float) -> None:
        self.world.now += seconds
        self.world.run(lambda: self.world.connections.close_expired(self.world.now))

    @rule(which=st.integers(0, 20))
    def fault(self, which: int) -> None:
        for connection in list(self.world.connections.table)[which % 6 :][:1]:
            if isinstance(connection.handler, Echo):
                connection.handler.faulty = True

    @invariant()
    def the_books_are_true(self) -> None:
        if not hasattr(self, "world"):
            return
        self.world.agrees()
        table = self.world.connections.table
        assert len(table) <= 6
        for upstream in ("up", "refuses", "silent"):
            assert table.count(upstream, ConnectionState.OPENING) <= 2
        assert all(connection.state is not ConnectionState.CLOSED for connection in table)

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.end()
            assert not self.world.connections.waiting()


Manager.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestManager = Manager.TestCase


@pytest.mark.parametrize("steps", range(6))
def test_wait_cancelled_at_every_step_of_an_open_leaves_nothing(world: World, steps: int) -> None:
    """Found outside the bench: with uvloop's create_connection each open that was cancelled just as it came
    up stayed in the books for good, until they stood at their bound and nothing was served."""
    for _ in range(300):
        waiter = world.borrow()
        assert isinstance(waiter, ConnectionWaiter)
        world.step(steps)
        world.run(lambda held=waiter: world.connections.cancel(held))  # type: ignore[misc]
        world.accept()
        world.agrees()
        for connection in list(world.connections.table):
            world.run(lambda held=connection: world.connections.close(held))  # type: ignore[misc]
    assert world.connections.waiting() == 0
    assert world.run(world.audit.look) == []


def test_waits_are_served_in_order_by_what_comes_free() -> None:
    world = World(ConnectionLimits(4, 4, 2))
    connections = [world.connection() for _ in range(4)]
    world.ready.clear()
    order: list[int] = []

    def wait(number: int) -> None:
        world.connections.acquire("up", world.addresses["up"], 5.0, lambda connection: order.append(number))

    for number in range(3):
        world.run(lambda n=number: wait(n))  # type: ignore[misc]
    world.step(5)
    assert order == [] and len(world.connections.table) == 4
    for connection in connections[:3]:
        world.run(lambda held=connection: world.connections.release(held, True))  # type: ignore[misc]
    assert order == [0, 1, 2]
    world.end()


def test_connects_that_fail_open_the_circuit_and_one_trial_closes_it(world: World) -> None:
    for _ in range(FAILURE_THRESHOLD + 3):
        world.borrow("refuses")
        world.until(lambda: not world.connections.waiting())
        world.step(2)
    assert world.counts["connects_failed"] == FAILURE_THRESHOLD and world.counts["connects_not_tried"] >= 1
    assert any("consecutive connects failed" in text for _, text in world.logged)
    world.now += 5.0  # the time out is over, and the upstream is back
    server = socket.create_server(world.addresses["refuses"])
    world.ready.clear()

    def crowd() -> int:
        for _ in range(5):
            world.connections.acquire("refuses", world.addresses["refuses"], 5.0, world.ready.append)
        return world.connections.table.count("refuses", ConnectionState.OPENING)

    assert world.run(crowd) == 1  # half open: one trial for all
    world.until(lambda: len(world.ready) >= 4)
    assert all(isinstance(connection, UpstreamConnection) for connection in world.ready)
    server.close()
    world.agrees()


def test_silent_node_costs_each_claim_its_patience_and_then_nothing(world: World) -> None:
    for _ in range(FAILURE_THRESHOLD):
        world.borrow("silent", 0.002)
        world.now += 0.01
        world.until(lambda: not world.connections.waiting())
    world.ready.clear()
    world.borrow("silent", 60.0)
    world.until(lambda: world.ready == [ConnectFailure.UPSTREAM])
    assert world.counts["connects_not_tried"] == 1 and len(world.connections.table) == 0


def test_node_that_accepts_and_resets(world: World) -> None:
    connection = world.connection()
    world.accept()
    exchange = connection.handler
    assert isinstance(exchange, Echo) and connection.write([b"a job"])
    world.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    world.accepted.pop().close()
    world.until(lambda: exchange.ended == 1)
    world.agrees()
    assert len(world.connections.table) == 0


def test_node_that_accepts_and_never_reads_says_what_was_not_written(world: World) -> None:
    connection = world.connection()
    world.accept()
    told: list[bool] = []
    assert isinstance(connection.handler, Echo)
    connection.handler.on_closed = lambda reason: told.append(reason.has_unsent_data)  # type: ignore[method-assign]
    assert connection.write([b"x" * 60_000] * 400) and connection.has_unsent_data()
    world.accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    world.accepted.pop().close()
    world.until(lambda: bool(told))
    assert told == [True]


def test_large_message_arrives_whole_and_in_order(world: World) -> None:
    connection = world.connection()
    world.accept()
    pieces = [bytes([i % 251]) * 30_000 for i in range(200)]
    assert connection.write(pieces[:150]) and connection.write(pieces[150:])
    got = bytearray()
    peer = world.accepted[0]
    peer.setblocking(False)
    while len(got) < 6_000_000:
        world.step()
        with contextlib.suppress(BlockingIOError):
            got += peer.recv(1 << 20)
    assert got == b"".join(pieces) and not connection.has_unsent_data()


def test_descriptors_that_run_out_within_an_open(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """An idle connection makes room; without one the wait goes on, for nothing of the upstream has failed,
    and the operators are told. With none until its patience is over, it ends, and says whose fault that
    was."""
    idle = world.connection()
    world.run(lambda: world.connections.release(idle, True))
    real, left = socket.socket, [0]

    def scarce(*args: int, **more: int) -> socket.socket:
        if left[0] <= 0 and args[:1] == (socket.AF_INET,) and len(args) == 2:
            left[0] += 1
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return real(*args, **more)

    monkeypatch.setattr("indigokeel.net.upstream.connection.socket.socket", scarce)
    world.borrow("refuses")
    assert idle.state is ConnectionState.CLOSED and world.counts["descriptors_exhausted"] == 1
    left[0] = -9
    world.ready.clear()
    world.borrow("up")
    assert world.connections.waiting() == 1
    world.until(lambda: bool(world.ready))
    assert (
        isinstance(world.ready[-1], UpstreamConnection) and left[0] == 1
    )  # at the eleventh try, and no more after it
    assert ("error" in {level for level, _ in world.logged}) and world.connections.waiting() == 0
    left[0] = -1000
    world.borrow("up", 0.01)
    world.until(lambda: world.ready[-1] is ConnectFailure.LOCAL)
    assert world.connections.waiting() == 0
    assert world.counts["connects_failed"] == 1  # the one to the upstream that refuses
    monkeypatch.undo()
    world.agrees()


def test_node_that_moved_gets_no_connection_of_the_old_address(world: World) -> None:
    """A gone upstream's address may be another's by now, and an upstream's own id may come up elsewhere."""
    connection = world.connection()
    world.run(lambda: world.connections.release(connection, True))
    server = socket.create_server(("127.0.0.1", 0))
    world.addresses["up"] = server.getsockname()
    found = world.borrow()
    assert isinstance(found, ConnectionWaiter) and connection.state is ConnectionState.CLOSED
    world.until(lambda: bool(world.ready) and isinstance(world.ready[-1], UpstreamConnection))
    server.close()


def test_drain_closes_what_is_idle_now_and_the_rest_when_free(world: World) -> None:
    first, second = world.connection(), world.connection()
    world.run(lambda: world.connections.release(first, True))
    world.run(lambda: world.connections.close_to("up"))
    assert (first.state, second.state) == (ConnectionState.CLOSED, ConnectionState.DRAINING)
    world.run(lambda: world.connections.release(second, True))
    assert second.state is ConnectionState.CLOSED
    world.agrees()


def test_one_node_leaves_room_for_the_others_but_alone_it_may_have_all() -> None:
    world = World(ConnectionLimits(8, 4, 8))
    taken = [world.connection() for _ in range(8)]
    world.run(lambda: world.connections.close(taken[0]))
    for connection in taken[1:4]:
        world.run(lambda held=connection: world.connections.close(held))  # type: ignore[misc]
    server = socket.create_server(("127.0.0.1", 0))
    world.addresses["other"] = server.getsockname()
    world.borrow("other")
    world.until(lambda: world.connections.table.count("other", ConnectionState.IN_USE) == 1)
    world.borrow("up")
    assert world.connections.table.count("up", ConnectionState.OPENING) == 0  # at its bound now: it waits
    server.close()
    world.end()


def test_several_calls_share_a_connection_up_to_its_bound() -> None:
    world = World(ConnectionLimits(1, 1, 1), calls=3)
    connection = world.connection()
    assert [world.borrow() for _ in range(2)] == [connection, connection]
    assert isinstance(world.borrow(), ConnectionWaiter)
    world.run(lambda: world.connections.release(connection, True))
    assert world.ready[-1] is connection and connection.calls == 3
    world.end()


def test_audit_finds_and_repairs_phantoms_and_strays(world: World) -> None:
    connection = world.connection()
    assert isinstance(connection.handler, Echo)
    exchange = connection.handler
    os.close(connection.fd)  # behind its owner's back
    stray = socket.create_connection(world.addresses["up"])
    world.accept()
    found = world.run(world.audit.look)
    assert isinstance(found, list) and [f.kind for f in found] == [MismatchKind.MISSING]
    assert exchange.ended == 1 and len(world.connections.table) == 0
    for _ in range(5):  # as often as one likes: one that the loop has yet to hand over looks the same
        assert world.run(world.audit.look) == []
    world.now += 8.0
    found = world.run(world.audit.look)
    assert isinstance(found, list) and [f.kind for f in found] == [MismatchKind.LEAKED]
    assert stray.recv(1) == b""  # shut down: its owner sees its end
    assert [level for level, _ in world.logged] == ["error", "error"]
    assert (world.counts["descriptor_audit_missing"], world.counts["descriptor_audit_leaked"]) == (1, 1)
    stray.close()
    assert world.run(world.audit.look) == []


def test_audit_takes_no_connection_for_a_phantom_that_the_listing_leaves_out(
    world: World, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    connections = [world.connection() for _ in range(3)]
    monkeypatch.setattr(
        "indigokeel.net.upstream.descriptor_audit._DESCRIPTOR_DIRECTORY", str(tmp_path)
    )  # a listing of nothing
    assert world.run(world.audit.look) == []
    assert [connection.state for connection in connections] == [ConnectionState.IN_USE] * 3 and len(
        world.connections.table
    ) == 3
    os.close(connections[1].fd)  # and what is gone is still found
    found = world.run(world.audit.look)
    assert isinstance(found, list) and [f.kind for f in found] == [MismatchKind.MISSING]


def test_new_node_is_warmed_once(world: World) -> None:
    for _ in range(3):
        world.run(lambda: world.connections.warm("up", world.addresses["up"]))
        world.step(3)
    assert world.counts["connections_warmed"] == 1
    world.until(lambda: world.connections.table.count("up", ConnectionState.IDLE) == 1)
    assert isinstance(world.borrow(), UpstreamConnection)


def test_books_refuse_a_state_that_cannot_follow() -> None:
    class Entry:
        upstream, state = "n", ConnectionState.OPENING

    table: ConnectionTable[Entry] = ConnectionTable(ConnectionLimits.of(10))
    entry = Entry()
    with pytest.raises(ValueError, match="not in the table"):
        table.move(entry, ConnectionState.IDLE)
    table.move(entry, ConnectionState.OPENING)
    with pytest.raises(ValueError, match="cannot go from opening to draining"):
        table.move(entry, ConnectionState.DRAINING)
    table.move(entry, ConnectionState.CLOSED)
    assert len(table) == 0 and table.count("n", ConnectionState.OPENING) == 0


def test_circuit_waits_longer_with_jitter_and_tries_one_at_a_time() -> None:
    breaker, now, waits = CircuitBreaker(Random(3)), 0.0, []
    for _ in range(FAILURE_THRESHOLD):
        assert breaker.allows(now)
        breaker.on_connect_started()
        breaker.on_connect_failed(now)
    for _ in range(12):
        assert not breaker.allows(now) or breaker.open_until <= now
        waits.append(breaker.open_until - now)
        now = breaker.open_until
        assert breaker.allows(now)
        breaker.on_connect_started()
        assert not breaker.allows(now + 9.0)  # its trial is out
        breaker.on_connect_failed(now)
    assert max(waits) <= 2.0 and max(waits[:2]) <= 0.4 and len(set(waits)) == len(waits)
    breaker.on_connected()
    assert breaker.allows(now)


@pytest.mark.parametrize(("unsafe", "old"), [(False, False), (True, True)])
def test_unsafe_jobs_shun_ages_that_broke_a_little(unsafe: bool, old: bool) -> None:
    """Found on days of resets with stale connections: a request that must not be sent again was lost for
    every break from which the age's risk was learnt."""
    idle_resets = IdleResetEstimator()
    for step in range(100):
        idle_resets.record(0.0, -1.0, False)
        idle_resets.record(0.0, 0.3, step % 25 == 0)
    assert idle_resets.is_risky(0.0, 0.3, unsafe) is old
    assert not idle_resets.is_risky(0.0, 0.03, unsafe=False)


def test_connect_that_came_up_while_the_loop_was_late_is_no_failure(world: World) -> None:
    """Found under overload: timers fired before the loop had looked at its sockets, connects that were up
    counted as failed, and circuits opened on upstreams that were well."""

    def late() -> None:
        world.connections.acquire("up", world.addresses["up"], 0.005, world.ready.append)
        time.sleep(0.03)  # the loop is busy elsewhere

    world.run(late)
    world.until(lambda: bool(world.ready))
    assert isinstance(world.ready[0], UpstreamConnection) and not world.counts["connects_failed"]


def test_audit_never_shuts_a_listener_that_others_may_share(world: World) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        for _ in range(5):
            world.run(world.audit.look)
        world.now += 8.0
        found = world.run(world.audit.look)
        assert isinstance(found, list) and [f.kind for f in found] == [MismatchKind.LEAKED]
        with socket.create_connection(listener.getsockname(), timeout=5.0):
            listener.accept()[0].close()


@pytest.mark.parametrize("size", [100, 100_000])
def test_reset_behind_bytes_is_told(world: World, size: int) -> None:
    """The bytes of the reset's own event are read, and then its error: uvloop does not call again for it."""
    connection = world.connection()
    world.accept()
    assert isinstance(connection.handler, Echo)
    exchange, peer = connection.handler, world.accepted.pop()
    peer.sendall(b"x" * size)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    peer.close()
    world.until(lambda: exchange.ended == 1)
    assert exchange.heard_all == b"x" * len(exchange.heard_all) and len(world.connections.table) == 0
