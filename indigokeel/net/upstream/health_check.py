"""Health checks: requests to upstreams for a load report."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from indigokeel.balancing.events import AttemptOutcome, LoadReport
from indigokeel.endpoints.endpoint_list import Address
from indigokeel.net import http
from indigokeel.net.errors import LocalError
from indigokeel.net.messages import UpstreamResponse
from indigokeel.net.upstream.connection import UpstreamConnection
from indigokeel.net.upstream.connection_pool import ConnectionPool
from indigokeel.net.upstream.connection_releaser import ConnectionReleaser
from indigokeel.net.upstream.connection_table import ConnectionState
from indigokeel.net.upstream.upstream_exchange import UpstreamExchange
from indigokeel.net.upstream.waiter_queue import ConnectFailure, ConnectionWaiter

_TIMEOUT_S = 1.0  # for acquiring a connection and the exchange together
_LOAD_PREFIX = "Server-Load:"


class HealthCheckResult(NamedTuple):
    """The outcome of a health check, and the load report of the upstream."""

    outcome: AttemptOutcome
    load: LoadReport | None = None


class _HealthCheckCall:
    """A health check in progress (Call)."""

    streams_response = False

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.acquired: asyncio.Future[UpstreamConnection | ConnectFailure] = loop.create_future()
        self.connection: UpstreamConnection | None = None
        self.is_reusable = False
        self._ended: asyncio.Future[tuple[UpstreamResponse, bool]] = loop.create_future()
        self._message = b""

    def on_acquired(self, result: UpstreamConnection | ConnectFailure) -> None:
        """Store the result of the wait for a connection."""
        if not self.acquired.done():
            self.acquired.set_result(result)

    async def run(self, connection: UpstreamConnection) -> UpstreamResponse:
        """Send the request and return the response; raises LocalError if the write fails locally."""
        exchange = connection.handler
        assert isinstance(exchange, UpstreamExchange)
        self.connection = connection
        self._message = b"GET /_load HTTP/1.1\r\nHost: %s\r\n\r\n" % exchange.host
        exchange.send(self)
        response, is_reusable = await self._ended
        self.is_reusable = is_reusable
        return response

    def held_connection(self) -> UpstreamConnection | None:
        """Return the acquired connection, even if the check was cancelled before it could use it."""
        if self.connection is None and self.acquired.done() and not self.acquired.cancelled():
            result = self.acquired.result()
            return result if isinstance(result, UpstreamConnection) else None
        return self.connection

    def build_message(self) -> list[bytes]:
        """Return the request (Call)."""
        return [self._message]

    def on_response_started(self, response: UpstreamResponse) -> None:
        """Do nothing: the response is never streamed (Call)."""

    def on_response_ended(self, response: UpstreamResponse, is_reusable: bool) -> None:
        """Store the response (Call)."""
        if not self._ended.done():
            self._ended.set_result((response, is_reusable))


class HealthChecker:
    """Runs health checks on the connections of a pool."""

    def __init__(
        self,
        connections: ConnectionPool,
        releaser: ConnectionReleaser,
        find_address: Callable[[str], Address | None],
        connect_timeout_s: float,
    ) -> None:
        """``find_address`` returns the address of an upstream, or None if it accepts no requests."""
        self.connect_timeout_s = connect_timeout_s
        self._connections = connections
        self._releaser = releaser
        self._find_address = find_address

    async def check(self, upstream: str) -> HealthCheckResult:
        """Request a load report from an upstream."""
        address = self._find_address(upstream)
        if address is None:
            return HealthCheckResult(AttemptOutcome.NOT_SENT)
        call = _HealthCheckCall(asyncio.get_running_loop())
        acquired = self._connections.acquire(upstream, address, self.connect_timeout_s, call.on_acquired)
        if isinstance(acquired, UpstreamConnection):
            call.on_acquired(acquired)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                result = await call.acquired
                if isinstance(result, ConnectFailure):
                    return _result_of_failure(result)
                if result.state is ConnectionState.CLOSED:  # between the end of the wait and now
                    return HealthCheckResult(AttemptOutcome.NO_CONNECTION)
                response = await call.run(result)
        except LocalError:
            return HealthCheckResult(AttemptOutcome.NOT_SENT)
        except TimeoutError:
            return self._result_of_timeout(call, acquired)
        finally:
            self._release(call, acquired)
        return _result_of_response(response)

    def _result_of_timeout(
        self, call: _HealthCheckCall, acquired: UpstreamConnection | ConnectionWaiter
    ) -> HealthCheckResult:
        if call.connection is not None:
            return HealthCheckResult(AttemptOutcome.TIMED_OUT)
        if isinstance(acquired, ConnectionWaiter) and self._connections.was_suspended(acquired):
            return HealthCheckResult(AttemptOutcome.NOT_SENT)
        return HealthCheckResult(AttemptOutcome.NO_CONNECTION)

    def _release(self, call: _HealthCheckCall, acquired: UpstreamConnection | ConnectionWaiter) -> None:
        connection = call.held_connection()
        if connection is not None and call.is_reusable:
            self._releaser.release_later(connection)
        elif connection is not None:
            self._connections.close(connection)
        elif isinstance(acquired, ConnectionWaiter):
            self._connections.cancel(acquired)


def _result_of_failure(failure: ConnectFailure) -> HealthCheckResult:
    if failure is ConnectFailure.LOCAL:
        return HealthCheckResult(AttemptOutcome.NOT_SENT)
    return HealthCheckResult(AttemptOutcome.NO_CONNECTION)


def _result_of_response(response: UpstreamResponse) -> HealthCheckResult:
    """Return the load report from the ``Server-Load`` header if there is one, or else from the body."""
    if response.outcome in (AttemptOutcome.BROKEN, AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT):
        return HealthCheckResult(response.outcome)
    if response.outcome is not AttemptOutcome.OK:
        # The only other response to a health check is 503, which is not a failure of the upstream.
        return HealthCheckResult(AttemptOutcome.REJECTED, response.load)
    text = b"".join(response.body or ()).decode("latin-1").removeprefix(_LOAD_PREFIX)
    return HealthCheckResult(AttemptOutcome.OK, response.load or http.parse_load_report(text))
