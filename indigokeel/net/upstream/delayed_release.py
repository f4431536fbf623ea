"""Returns connections to the pool a short while after a response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

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


class DelayedRelease:
    """Releases connections after a quiet period; unexpected bytes in it make a connection unusable."""

    def __init__(
        self, pool: ReleasePool, counters: Counters, is_current: Callable[[UpstreamConnection], bool]
    ) -> None:
        """``is_current`` returns whether a connection leads to the present address of its upstream."""
        self._pool = pool
        self._counters = counters
        self._is_current = is_current

    def schedule(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        """Release a connection after the quiet period. ``exchange`` is its protocol."""
        asyncio.get_running_loop().call_later(QUIET_PERIOD_S, self._release, connection, exchange)

    def _release(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        if exchange.has_unexpected_bytes:
            self._counters.add("stray_answers")
        reusable = not exchange.has_unexpected_bytes and self._is_current(connection)
        self._pool.release(connection, reusable)
