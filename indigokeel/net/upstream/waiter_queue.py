"""The queue of waiters for connections, in order of arrival."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from indigokeel.endpoints.endpoint_list import Address
from indigokeel.net.upstream.connection import UpstreamConnection


class ConnectFailure(Enum):
    """The reason why a wait ended without a connection."""

    # Connects failed, were rejected by the circuit breaker, or did not complete in time.
    UPSTREAM = "upstream"
    LOCAL = "local"  # connects were suspended by a local error during a part of the wait


OnResult = Callable[[UpstreamConnection | ConnectFailure], None]


class ConnectionWaiter:
    """A wait for a connection to an upstream.

    The wait ends with one call of ``on_result``, or with ``ConnectionPool.cancel``.
    """

    __slots__ = ("address", "on_result", "started_at", "timer", "upstream")

    def __init__(self, upstream: str, address: Address, started_at: float, on_result: OnResult) -> None:
        self.upstream = upstream
        self.address = address
        self.started_at = started_at
        self.on_result = on_result
        self.timer: asyncio.Handle | None = None

    def cancel_timer(self) -> None:
        """Cancel the timeout, or the notification that is scheduled, if any."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class WaiterQueue:
    """The waiters for connections to all upstreams."""

    def __init__(self) -> None:
        self._by_upstream: dict[str, dict[ConnectionWaiter, None]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_upstream.values()))

    def __bool__(self) -> bool:
        return bool(self._by_upstream)

    def __contains__(self, waiter: ConnectionWaiter) -> bool:
        return waiter in self._by_upstream.get(waiter.upstream, ())

    def append(self, waiter: ConnectionWaiter) -> None:
        """Add a waiter after the others for its upstream."""
        self._by_upstream.setdefault(waiter.upstream, {})[waiter] = None

    def remove(self, waiter: ConnectionWaiter) -> bool:
        """Remove a waiter. Return False if it was not queued."""
        waiters = self._by_upstream.get(waiter.upstream)
        if waiters is None or waiter not in waiters:
            return False
        del waiters[waiter]
        if not waiters:
            del self._by_upstream[waiter.upstream]
        return True

    def count(self, upstream: str) -> int:
        """Return the number of waiters for an upstream."""
        return len(self._by_upstream.get(upstream, ()))

    def first(self, upstream: str) -> ConnectionWaiter | None:
        """Return the first waiter for an upstream."""
        return next(iter(self._by_upstream.get(upstream, ())), None)

    def first_for(self, connection: UpstreamConnection) -> ConnectionWaiter | None:
        """Return the first waiter for the upstream and address of a connection."""
        waiters = self._by_upstream.get(connection.upstream)
        if waiters is None:
            return None
        return next((waiter for waiter in waiters if waiter.address == connection.address), None)

    def upstreams(self) -> list[str]:
        """Return the upstreams that have waiters."""
        return list(self._by_upstream)

    def waiters(self, upstream: str) -> list[ConnectionWaiter]:
        """Return the waiters for an upstream, in order of arrival."""
        return list(self._by_upstream.get(upstream, ()))
