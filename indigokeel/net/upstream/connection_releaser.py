"""Returns connections to the pool, which does not reuse one shortly after a response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from indigokeel.endpoints.endpoint_list import Address
from indigokeel.net.upstream.connection import UpstreamConnection

# A faulty upstream may send a second response some milliseconds after the first. Nothing in it identifies its
# request, so on a connection that is reused by then it would pass for the response to the next request. The
# period leaves time for delays of both processes.
QUIET_PERIOD_S = 0.02


class ReleasePool(Protocol):
    """The pool that connections are returned to."""

    def release(self, connection: UpstreamConnection, reusable: bool) -> None:
        """End a call on a connection, and close it unless it is ``reusable``."""

    def release_quiet(self, connection: UpstreamConnection) -> bool:
        """End a call, and keep the connection unused until ``end_quiet_period``. Return False if closed."""

    def end_quiet_period(self, connection: UpstreamConnection, reusable: bool) -> None:
        """Offer a quiet connection for reuse, or close it if it is not ``reusable`` or bytes have arrived."""


class ConnectionReleaser:
    """Decides whether connections are reusable, and releases them to the pool."""

    def __init__(self, pool: ReleasePool, find_address: Callable[[str], Address | None]) -> None:
        """``find_address`` returns the address of an upstream, or None if it accepts no requests."""
        self._pool = pool
        self._find_address = find_address

    def has_current_address(self, connection: UpstreamConnection) -> bool:
        """Return whether the upstream of a connection accepts requests at the connection's address."""
        return self._find_address(connection.upstream) == connection.address

    def release_unused(self, connection: UpstreamConnection) -> None:
        """Release a connection on which nothing was written."""
        self._pool.release(connection, self.has_current_address(connection))

    def release_later(self, connection: UpstreamConnection) -> None:
        """Release a connection after a response; it is not reused before the quiet period is over."""
        if self._pool.release_quiet(connection):
            asyncio.get_running_loop().call_later(QUIET_PERIOD_S, self._end_quiet_period, connection)

    def _end_quiet_period(self, connection: UpstreamConnection) -> None:
        self._pool.end_quiet_period(connection, self.has_current_address(connection))
