"""Returns connections to the pool; after a response, with a short delay."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from indigokeel.endpoints.endpoint_list import Address
from indigokeel.metrics import Counters
from indigokeel.net.upstream.connection import UpstreamConnection
from indigokeel.net.upstream.upstream_exchange import UpstreamExchange

# A faulty upstream may send a second response some milliseconds after the first. Nothing in it identifies its
# request, so on a connection that is reused at once it would pass for the response to the next request.
QUIET_PERIOD_S = 0.005


class ReleasePool(Protocol):
    """The pool that connections are returned to."""

    def release(self, connection: UpstreamConnection, reusable: bool) -> None:
        """End a call on a connection, and close it unless it is ``reusable``."""


class ConnectionReleaser:
    """Decides whether connections are reusable, and releases them to the pool."""

    def __init__(
        self, pool: ReleasePool, counters: Counters, find_address: Callable[[str], Address | None]
    ) -> None:
        """``find_address`` returns the address of an upstream, or None if it accepts no requests."""
        self._pool = pool
        self._counters = counters
        self._find_address = find_address

    def has_current_address(self, connection: UpstreamConnection) -> bool:
        """Return whether the upstream of a connection accepts requests at the connection's address."""
        return self._find_address(connection.upstream) == connection.address

    def release_unused(self, connection: UpstreamConnection) -> None:
        """Release a connection on which nothing was written."""
        self._pool.release(connection, self.has_current_address(connection))

    def release_later(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        """Release a connection after the quiet period, as not reusable if unexpected bytes have arrived."""
        asyncio.get_running_loop().call_later(QUIET_PERIOD_S, self._release, connection, exchange)

    def _release(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        if exchange.has_unexpected_bytes:
            self._counters.add("stray_answers")
        reusable = not exchange.has_unexpected_bytes and self.has_current_address(connection)
        self._pool.release(connection, reusable)
