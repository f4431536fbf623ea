"""A connection pool on its own event loop, with upstreams that accept, refuse or ignore connects."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable

import uvloop

from indigokeel.net.upstream import (
    CloseReason,
    ConnectFailure,
    ConnectionLimits,
    ConnectionPool,
    ConnectionWaiter,
    DescriptorLeakDetector,
    PoolOptions,
    Telemetry,
    UpstreamConnection,
)
from indigokeel.net.upstream.descriptor_audit import list_open_sockets

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close sends a reset


class RecordingHandler:
    """A connection handler that records received data, and raises on data while ``is_faulty`` is set."""

    def __init__(self, connection: UpstreamConnection) -> None:
        self.connection = connection
        self.received = b""
        self.closed_calls = 0
        self.is_faulty = False

    def on_data(self, data: bytes) -> None:
        """Record received bytes (ConnectionHandler)."""
        if self.is_faulty:
            raise RuntimeError("a fault in the handler")
        self.received += data

    def on_writable(self) -> None:
        """Do nothing (ConnectionHandler)."""

    def on_closed(self, reason: CloseReason) -> None:
        """Count the call (ConnectionHandler)."""
        self.closed_calls += 1


class PoolHarness:
    """A pool, its leak detector, and three upstreams.

    ``up`` accepts connects, ``refuses`` refuses them and ``silent`` does not respond to them.
    """

    def __init__(self, limits: ConnectionLimits | None = None, calls: int = 1, timeout: float = 5.0) -> None:
        self.loop = uvloop.new_event_loop()
        self.loop.run_until_complete(asyncio.sleep(0))
        self._open_upstreams()
        self.baseline = list_open_sockets()
        self.accepted: list[socket.socket] = []
        self.counts: Counter[str] = Counter()
        self.logged: list[tuple[str, str]] = []
        self.now = 100.0
        self.results: list[UpstreamConnection | ConnectFailure] = []
        telemetry = Telemetry(self.count, self.log, self.clock)
        self.pool = ConnectionPool(
            limits or ConnectionLimits(6, 4, 2),
            RecordingHandler,
            telemetry,
            PoolOptions(seed=1, connect_timeout_s=timeout, max_calls=calls),
        )
        self.audit = DescriptorLeakDetector(
            lambda: self.pool.table,
            self.pool.discard,
            lambda: {sock.fileno(): "peer" for sock in self.accepted},
            self.count,
            self.log,
            self.clock,
        )

    def _open_upstreams(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.setblocking(False)
        closed = socket.create_server(("127.0.0.1", 0))
        self.silent = socket.create_server(("127.0.0.1", 0), backlog=0)
        # While its backlog is full, ``silent`` does not respond to connects.
        self._fillers = [socket.socket() for _ in range(3)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(self.silent.getsockname())
        self.addresses = {
            "up": self.listener.getsockname(),
            "refuses": closed.getsockname(),
            "silent": self.silent.getsockname(),
        }
        closed.close()

    def count(self, name: str) -> None:
        """Add one to a counter (Telemetry)."""
        self.counts.update([name])

    def log(self, level: str, text: str) -> None:
        """Record a log line (Telemetry)."""
        self.logged.append((level, text))

    def clock(self) -> float:
        """Return the time set by the test (Telemetry)."""
        return self.now

    def run(self, call: Callable[[], object]) -> object:
        """Run a function inside the event loop, and return its result."""

        async def call_in_loop() -> object:
            return call()

        return self.loop.run_until_complete(call_in_loop())

    def step(self, steps: int = 1) -> None:
        """Run some iterations of the event loop."""
        for _ in range(steps):
            self.loop.run_until_complete(asyncio.sleep(0))

    def accept(self) -> None:
        """Accept all pending connections to ``up``."""
        with contextlib.suppress(BlockingIOError):
            while True:
                self.accepted.append(self.listener.accept()[0])

    def acquire(
        self, upstream: str = "up", timeout_s: float = 5.0, unsafe: bool = False, faulty: bool = False
    ) -> UpstreamConnection | ConnectionWaiter:
        """Acquire a connection. A waiter adds its result to ``results``; a ``faulty`` one then raises."""

        def on_result(result: UpstreamConnection | ConnectFailure) -> None:
            self.results.append(result)
            if faulty:
                raise RuntimeError("a fault in the waiter")

        found = self.run(
            lambda: self.pool.acquire(upstream, self.addresses[upstream], timeout_s, on_result, unsafe)
        )
        assert isinstance(found, UpstreamConnection | ConnectionWaiter)
        return found

    def establish_connection(self) -> UpstreamConnection:
        """Acquire a connection to ``up``, and return it once it is established."""
        before = len(self.results)
        found = self.acquire()
        if isinstance(found, UpstreamConnection):
            return found
        self.run_until(lambda: len(self.results) > before)
        connection = self.results[-1]
        assert isinstance(connection, UpstreamConnection)
        return connection

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Run the event loop until a condition holds."""
        for _ in range(20_000):
            if condition():
                return
            self.loop.run_until_complete(asyncio.sleep(0.0005))
        raise AssertionError("the condition did not become true")

    def open_inodes(self) -> set[int]:
        """Return the inodes of the open sockets that belong to the pool."""
        peers = {sock.fileno() for sock in self.accepted if sock.fileno() >= 0}
        return {
            inode
            for fd, inode in list_open_sockets().items()
            if self.baseline.get(fd) != inode and fd not in peers
        }

    def check_table(self) -> None:
        """Assert that the connection table holds exactly the open sockets of the pool."""
        assert {connection.inode for connection in self.pool.table} == self.open_inodes()

    def close(self) -> None:
        """Close the pool and the upstreams, and assert that the pool leaves no socket open."""
        self.run(self.pool.close_all)
        self.step(2)
        assert not self.open_inodes() and not len(self.pool.table)
        for sock in (*self.accepted, *self._fillers, self.listener, self.silent):
            sock.close()
        self.loop.close()
