"""Returns connections to the pool, after a response a short while later."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from indigokeel.endpoints.endpoint_list import Address
from indigokeel.metrics import Counters
from indigokeel.net.upstream.connection import UpstreamConnection
from indigokeel.net.upstream.upstream_exchange import UpstreamExchange

# A second response that an upstream sends by mistake, some milliseconds late, would be taken for that to the
# next request, as nothing in it tells which request it belongs to.
QUIET_PERIOD_S = 0.005


class ReleasePool(Protocol):
    """The pool that connections are returned to."""

    def release(self, connection: UpstreamConnection, reusable: bool) -> None:
        """End a call on a connection."""


class ConnectionReleaser:
    """Decides whether connections may be reused, and releases them."""

    def __init__(
        self, pool: ReleasePool, counters: Counters, find_address: Callable[[str], Address | None]
    ) -> None:
        """``find_address`` returns None for an upstream that accepts no requests."""
        self._pool = pool
        self._counters = counters
        self._find_address = find_address

    def is_current(self, connection: UpstreamConnection) -> bool:
        """Return whether an upstream accepts requests at the address of a connection."""
        return self._find_address(connection.upstream) == connection.address

    def release_unused(self, connection: UpstreamConnection) -> None:
        """Release a connection on which nothing was written."""
        self._pool.release(connection, self.is_current(connection))

    def release_later(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        """Release a connection after the quiet period; unexpected bytes in it make it unusable."""
        asyncio.get_running_loop().call_later(QUIET_PERIOD_S, self._release, connection, exchange)

    def _release(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        if exchange.has_unexpected_bytes:
            self._counters.add("stray_answers")
        reusable = not exchange.has_unexpected_bytes and self.is_current(connection)
        self._pool.release(connection, reusable)
