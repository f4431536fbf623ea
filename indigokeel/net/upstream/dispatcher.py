"""Assigns connections to the waiters for them."""

from __future__ import annotations

import asyncio

from indigokeel.net.errors import LocalError
from indigokeel.net.upstream.connection import UpstreamConnection
from indigokeel.net.upstream.connection_table import ConnectionState, ConnectionTable
from indigokeel.net.upstream.connector import Connector
from indigokeel.net.upstream.telemetry import Telemetry
from indigokeel.net.upstream.waiter_queue import ConnectFailure, ConnectionWaiter, WaiterQueue


class ConnectionDispatcher:
    """Opens connections for waiters, assigns free ones to them, and ends waits that cannot succeed."""

    def __init__(
        self,
        table: ConnectionTable[UpstreamConnection],
        queue: WaiterQueue,
        connector: Connector,
        telemetry: Telemetry,
        max_calls: int,
    ) -> None:
        """``max_calls`` is the maximum number of concurrent calls on a connection."""
        self._table = table
        self._queue = queue
        self._connector = connector
        self._telemetry = telemetry
        self._max_calls = max_calls
        self._connecting_for_all = False

    def enqueue(self, waiter: ConnectionWaiter, timeout_s: float) -> None:
        """Queue a waiter and open a connection for it if the limits allow.

        If the circuit breaker rejects connects and none is in progress, the wait fails.
        """
        upstream = waiter.upstream
        is_opening = self._table.count(upstream, ConnectionState.OPENING) > 0
        if not is_opening and not self._connector.may_connect(upstream, waiter.address):
            self._telemetry.count("connects_not_tried")
            self._fail_soon(waiter)
            return
        waiter.timer = asyncio.get_running_loop().call_later(timeout_s, self._on_timeout, waiter)
        self._queue.append(waiter)
        self.connect_for_waiters(upstream)

    def cancel(self, waiter: ConnectionWaiter) -> None:
        """Remove a waiter; its ``on_result`` is not called."""
        waiter.cancel_timer()
        if self._queue.remove(waiter):
            self._cancel_surplus_connect(waiter, timed_out=False)

    def close(self, connection: UpstreamConnection) -> None:
        """Close a connection in any state, and use the freed capacity to connect for waiters."""
        if connection.state is not ConnectionState.CLOSED:
            self._connector.remove(connection)
            connection.close()
            self.connect_for_all_waiters()

    def offer(self, connection: UpstreamConnection) -> None:
        """Assign a connection without calls to the first waiters for its address, or make it idle."""
        waiter = self._queue.first_for(connection)
        if waiter is None:
            if connection.state is not ConnectionState.QUIET:
                connection.idle_since = self._telemetry.clock()
            self._table.move(connection, ConnectionState.IDLE)
            if self._queue:
                self.connect_for_all_waiters()  # may close it for waiters of other upstreams
            return
        if connection.state is not ConnectionState.IN_USE:
            self._table.move(connection, ConnectionState.IN_USE)
        self._assign(waiter, connection)
        self.share(connection)

    def share(self, connection: UpstreamConnection) -> None:
        """Assign a connection in use to more waiters, up to its limit of concurrent calls."""
        while 0 < connection.calls < self._max_calls and connection.state is ConnectionState.IN_USE:
            waiter = self._queue.first_for(connection)
            if waiter is None:
                return
            self._assign(waiter, connection)

    def on_connect_error(self, connection: UpstreamConnection, error: OSError | None) -> None:
        """Handle the failure of a connect that was in progress."""
        if isinstance(error, LocalError):
            self._connector.on_local_error(connection, error)
            return
        self._connector.on_connect_failed(connection.upstream, connection.address)
        waiter = self._queue.first_for(connection)
        if waiter is not None and self._queue.remove(waiter):
            self._notify(waiter, ConnectFailure.UPSTREAM)
        self._fail_blocked_waiters(connection.upstream)

    def connect_for_waiters(self, upstream: str) -> None:
        """Open connections for the waiters for an upstream, within the limits."""
        while (waiter := self._next_to_connect(upstream)) is not None:
            if self._has_room(upstream) and self._connector.open(upstream, waiter.address):
                continue
            if self._may_get_capacity(upstream) or not self._queue.remove(waiter):
                return
            self._fail_soon(waiter)

    def connect_for_all_waiters(self) -> None:
        """Open connections for the waiters for all upstreams, after capacity was freed."""
        if self._connecting_for_all or not self._queue:
            return
        self._connecting_for_all = True
        try:
            for upstream in self._queue.upstreams():
                self.connect_for_waiters(upstream)
                if self._table.is_full() and self._table.longest_unused() is None:
                    break
        finally:
            self._connecting_for_all = False

    def _has_room(self, upstream: str) -> bool:
        """Return whether the limits of an upstream allow another connection, if need be for a quiet one."""
        return self._table.may_open(upstream) or self._connector.replace_quiet(upstream)

    def _next_to_connect(self, upstream: str) -> ConnectionWaiter | None:
        """Return the waiter to open a connection for, or None if a connect is not needed or not allowed."""
        opening = self._table.count(upstream, ConnectionState.OPENING)
        if opening * self._max_calls >= self._queue.count(upstream):
            return None
        if self._connector.is_suspended(upstream):
            return None
        waiter = self._queue.first(upstream)
        if waiter is None or not self._connector.may_connect(upstream, waiter.address):
            return None
        return waiter

    def _may_get_capacity(self, upstream: str) -> bool:
        """Return whether a connection may still become available to the waiters for an upstream."""
        if self._table.count(upstream, ConnectionState.OPENING) or self._connector.is_suspended(upstream):
            return True
        return self._table.is_full() or not self._table.may_open(upstream)

    def _assign(self, waiter: ConnectionWaiter, connection: UpstreamConnection) -> None:
        self._queue.remove(waiter)
        connection.calls += 1
        self._notify(waiter, connection)

    def _notify(self, waiter: ConnectionWaiter, result: UpstreamConnection | ConnectFailure) -> None:
        """End a wait. An exception in the waiter's callback fails that call alone."""
        waiter.cancel_timer()
        try:
            waiter.on_result(result)
        except Exception as error:
            self._telemetry.report_handler_error(error)
            if isinstance(result, UpstreamConnection):
                result.calls -= 1
                self.close(result)

    def _fail_soon(self, waiter: ConnectionWaiter) -> None:
        """Fail a wait in the next iteration of the event loop, after the current caller has returned."""
        waiter.cancel_timer()
        waiter.timer = asyncio.get_running_loop().call_soon(self._notify, waiter, ConnectFailure.UPSTREAM)

    def _on_timeout(self, waiter: ConnectionWaiter) -> None:
        waiter.timer = None
        for connection in self._table.connections(waiter.upstream, ConnectionState.OPENING):
            if waiter in self._queue:
                connection.check_connected()
        if not self._queue.remove(waiter):
            return
        was_suspended = self._connector.was_suspended_since(waiter.upstream, waiter.started_at)
        self._cancel_surplus_connect(waiter, timed_out=not was_suspended)
        self._notify(waiter, ConnectFailure.LOCAL if was_suspended else ConnectFailure.UPSTREAM)

    def _cancel_surplus_connect(self, removed: ConnectionWaiter, timed_out: bool) -> None:
        """Cancel the oldest connect to an upstream if more connects than waiters are left."""
        upstream = removed.upstream
        if self._table.count(upstream, ConnectionState.OPENING) <= self._queue.count(upstream):
            return
        connection = self._table.oldest_opening(upstream)
        if connection is None:
            return
        self._connector.on_connect_cancelled(connection, removed.started_at if timed_out else None)
        self.close(connection)
        self._fail_blocked_waiters(upstream)

    def _fail_blocked_waiters(self, upstream: str) -> None:
        """Fail the waits for an upstream if no connect is in progress and its circuit breaker allows none."""
        if self._table.count(upstream, ConnectionState.OPENING):
            return
        for waiter in self._queue.waiters(upstream):
            if not self._connector.may_connect(upstream, waiter.address) and self._queue.remove(waiter):
                self._telemetry.count("connects_not_tried")
                self._fail_soon(waiter)
