"""A pool of connections to all upstreams."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from indigokeel.endpoints.endpoint_list import Address
from indigokeel.net.upstream.connection import ConnectionHandler, UpstreamConnection
from indigokeel.net.upstream.connection_table import (
    UNUSED_STATES,
    ConnectionLimits,
    ConnectionState,
    ConnectionTable,
)
from indigokeel.net.upstream.connector import Connector
from indigokeel.net.upstream.dispatcher import ConnectionDispatcher
from indigokeel.net.upstream.idle_resets import IdleResetEstimator
from indigokeel.net.upstream.telemetry import Telemetry
from indigokeel.net.upstream.waiter_queue import ConnectionWaiter, OnResult, WaiterQueue

_STRAY_LOG_INTERVAL_S = 10.0


ScheduleRead = Callable[[Callable[[], None], bool], None]  # see ``ConnectionOwner.schedule_read``


def read_now(read: Callable[[], None], _is_small: bool) -> None:
    """Read at once, without a limit on the reads in one turn of the event loop."""
    read()


@dataclass(frozen=True, slots=True)
class PoolOptions:
    """The settings of a pool. ``max_calls`` is the maximum number of concurrent calls on a connection.

    ``schedule_read`` is ``TurnScheduler.run``.
    """

    seed: int = 0
    connect_timeout_s: float = 0.25
    max_idle_s: float = 15.0
    max_calls: int = 1
    schedule_read: ScheduleRead = read_now


class ConnectionPool:
    """Hands out connections to upstreams and takes them back."""

    def __init__(
        self,
        limits: ConnectionLimits,
        make_handler: Callable[[UpstreamConnection], ConnectionHandler],
        telemetry: Telemetry,
        options: PoolOptions | None = None,
    ) -> None:
        """``make_handler`` creates the handler of each new connection."""
        options = options or PoolOptions()
        self.table: ConnectionTable[UpstreamConnection] = ConnectionTable(limits)
        self.idle_resets = IdleResetEstimator()
        self._make_handler = make_handler
        self._telemetry = telemetry
        self._max_idle_s = options.max_idle_s
        self._max_calls = options.max_calls
        self.schedule_read = options.schedule_read
        self._stray_logged_at = -math.inf
        self._queue = WaiterQueue()
        self._connector = Connector(
            self.table, self, telemetry, Random(options.seed), options.connect_timeout_s, self._on_resume
        )
        self._dispatcher = ConnectionDispatcher(
            self.table, self._queue, self._connector, telemetry, options.max_calls
        )

    def apply_timeouts(self, connect_timeout_s: float, max_idle_s: float) -> None:
        """Set the timeouts, in seconds."""
        self._connector.connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s

    def acquire(
        self,
        upstream: str,
        address: Address,
        timeout_s: float,
        on_result: OnResult,
        unsafe: bool = False,
    ) -> UpstreamConnection | ConnectionWaiter:
        """Return a connection to ``upstream`` for one call, or a waiter if none is free.

        ``on_result`` of a waiter is called once, after this returns, with a connection or with the reason why
        none became available within ``timeout_s`` seconds. During that time, connects that fail locally are
        retried. An ``unsafe`` request, which must not be sent again, is not given a connection that is likely
        to be reset.
        """
        connection = self._find_shared(upstream, address) or self._take_idle(upstream, address, unsafe)
        if connection is not None:
            connection.calls += 1
            return connection
        waiter = ConnectionWaiter(upstream, address, self._telemetry.clock(), on_result)
        self._dispatcher.enqueue(waiter, timeout_s)
        return waiter

    def cancel(self, waiter: ConnectionWaiter) -> None:
        """Cancel a wait; its ``on_result`` is not called."""
        self._dispatcher.cancel(waiter)

    def was_suspended(self, waiter: ConnectionWaiter) -> bool:
        """Return whether connects were suspended by a local error during any part of a wait."""
        return self._connector.was_suspended_since(waiter.upstream, waiter.started_at)

    def release(self, connection: UpstreamConnection, reusable: bool) -> None:
        """End a call on a connection, and close it unless it is ``reusable``."""
        if self._end_call(connection, reusable):
            self._dispatcher.offer(connection)

    def release_quiet(self, connection: UpstreamConnection) -> bool:
        """End a call, and keep the connection unused until ``end_quiet_period``. Return False if closed.

        Meanwhile it is closed if bytes arrive on it, or if the limits require that for a connect.
        """
        if not self._end_call(connection, True):
            return False
        connection.idle_since = self._telemetry.clock()
        self.table.move(connection, ConnectionState.QUIET)
        self._dispatcher.connect_for_all_waiters()
        return connection.state is ConnectionState.QUIET

    def end_quiet_period(self, connection: UpstreamConnection, reusable: bool) -> None:
        """Offer a quiet connection for reuse, or close it if it is not ``reusable`` or bytes have arrived."""
        if connection.state is not ConnectionState.QUIET:
            return
        if reusable and connection.has_no_pending_events():
            self._dispatcher.offer(connection)
        else:
            self.close(connection)

    def _end_call(self, connection: UpstreamConnection, reusable: bool) -> bool:
        """End a call, and close a connection that must not be reused. Return whether it is free for reuse."""
        connection.calls -= 1
        state = connection.state
        if state is ConnectionState.CLOSED:
            return False
        if not reusable:
            self.close(connection)
            return False
        if connection.calls > 0:
            if state is ConnectionState.IN_USE:
                self._dispatcher.share(connection)
            return False
        if state is ConnectionState.DRAINING or connection.has_unsent_data():
            self.close(connection)
            return False
        return True

    def close(self, connection: UpstreamConnection) -> None:
        """Close a connection in any state; its handler is not notified."""
        self._dispatcher.close(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a connection that no longer owns its descriptor, and fail its calls."""
        if connection.state is not ConnectionState.CLOSED:
            self._connector.remove(connection)
            connection.detach()
            self._dispatcher.connect_for_all_waiters()

    def drain_upstream(self, upstream: str) -> None:
        """Close the unused connections to an upstream now, and those in use when their calls have ended."""
        for state in UNUSED_STATES:
            for connection in self.table.connections(upstream, state):
                self.close(connection)
        for connection in self.table.connections(upstream, ConnectionState.IN_USE):
            self.table.move(connection, ConnectionState.DRAINING)

    def preconnect(self, upstream: str, address: Address) -> None:
        """Open a connection ahead of the first attempt, if the upstream has none and the limits allow it."""
        usable = (*UNUSED_STATES, ConnectionState.OPENING, ConnectionState.IN_USE)
        if any(self.table.count(upstream, state) for state in usable):
            return
        if self.table.is_full() or self._connector.is_suspended(upstream):
            return
        if not self._connector.has_failures(upstream, address) and self._connector.open(upstream, address):
            self._telemetry.count("connections_warmed")

    def close_expired(self, now: float) -> None:
        """Close the connections that have been idle for too long, and drop outdated failure records."""
        while (oldest := self.table.longest_idle()) is not None:
            if now - oldest.idle_since < self._max_idle_s:
                break
            self.close(oldest)
        self._connector.drop_expired(now)

    def shed_unused(self) -> bool:
        """Close the connection that is unused for longest, an idle one first. Return False without one."""
        return self._connector.shed_unused()

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return self.table.idle_count()

    def waiter_count(self) -> int:
        """Return the number of waiters."""
        return len(self._queue)

    def close_all(self) -> None:
        """Cancel all waiters and close all connections, without notifying any."""
        for upstream in self._queue.upstreams():
            for waiter in self._queue.waiters(upstream):
                self.cancel(waiter)
        for connection in list(self.table):
            self.close(connection)

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Assign a new connection to waiters, or make it idle (ConnectionOwner)."""
        self._connector.on_connected(connection)
        self._telemetry.count("upstream_connections")
        try:
            connection.handler = self._make_handler(connection)
        except Exception as error:
            self.on_handler_error(error)
            self.close(connection)
            return
        self._dispatcher.offer(connection)
        self._dispatcher.connect_for_all_waiters()

    def on_closed(self, connection: UpstreamConnection, error: OSError | None) -> None:
        """Remove a connection that the peer or an error has closed (ConnectionOwner)."""
        was_opening = connection.state is ConnectionState.OPENING
        if connection.state is not ConnectionState.CLOSED:
            self._connector.remove(connection)
        if was_opening:
            self._dispatcher.on_connect_error(connection, error)
        self._dispatcher.connect_for_all_waiters()

    def on_handler_error(self, error: Exception) -> None:
        """Report an error in a connection's handler (ConnectionOwner)."""
        self._telemetry.report_handler_error(error)

    def on_unexpected_data(self, connection: UpstreamConnection) -> None:
        """Count and log bytes that belong to no response (ConnectionOwner)."""
        self._telemetry.count("stray_answers")
        now = self._telemetry.clock()
        if now - self._stray_logged_at >= _STRAY_LOG_INTERVAL_S:
            self._stray_logged_at = now
            late_ms = 1000.0 * (now - connection.idle_since)
            self._telemetry.log(
                "warning",
                f"{connection.upstream} sent bytes {late_ms:.1f} ms after its response; connection closed",
            )

    def _on_resume(self, upstream: str | None) -> None:
        """Open connections for the waiters for which connects were suspended."""
        if upstream is None:
            self._dispatcher.connect_for_all_waiters()
        else:
            self._dispatcher.connect_for_waiters(upstream)

    def _find_shared(self, upstream: str, address: Address) -> UpstreamConnection | None:
        """Return a connection in use that has room for another call."""
        if self._max_calls <= 1:
            return None
        for connection in self.table.connections(upstream, ConnectionState.IN_USE):
            if connection.calls < self._max_calls and connection.address == address:
                return connection
        return None

    def _take_idle(self, upstream: str, address: Address, unsafe: bool) -> UpstreamConnection | None:
        """Return the most recently used idle connection that its peer has not closed.

        Connections that have been idle for too long or lead to a former address are closed.
        """
        connection = self.table.most_recently_used(upstream)
        if connection is None:
            return None
        now = self._telemetry.clock()
        while connection is not None:
            idle_s = now - connection.idle_since
            if connection.address == address and idle_s < self._max_idle_s:
                if self.idle_resets.is_risky(now, idle_s, unsafe):
                    if not self.idle_resets.is_risky(now, idle_s):
                        return None  # kept open for requests that are safe to send again
                elif connection.has_no_pending_events():
                    self.table.move(connection, ConnectionState.IN_USE)
                    return connection
            self.close(connection)
            connection = self.table.most_recently_used(upstream)
        return None
