"""Opens connections as far as the limits, the circuit breakers and the backoff allow."""

from __future__ import annotations

import asyncio
import errno
import math
from collections.abc import Callable
from random import Random

from indigokeel.endpoints.endpoint_list import Address
from indigokeel.net.errors import LocalError
from indigokeel.net.upstream.backoff import ConnectBackoff
from indigokeel.net.upstream.circuit_breaker import CircuitBreakers
from indigokeel.net.upstream.connection import ConnectionOwner, UpstreamConnection
from indigokeel.net.upstream.connection_table import ConnectionState, ConnectionTable
from indigokeel.net.upstream.telemetry import Telemetry

_LOCAL_ERROR_LOG_INTERVAL_S = 1.0  # as local errors may occur hundreds of times per second


class Connector:
    """Starts connects and records their results."""

    def __init__(
        self,
        table: ConnectionTable[UpstreamConnection],
        owner: ConnectionOwner,
        telemetry: Telemetry,
        random: Random,
        connect_timeout_s: float,
        on_resume: Callable[[str | None], None],
    ) -> None:
        """``on_resume`` is called when a suspension of connects to an upstream (None: to all) ends."""
        self.connect_timeout_s = connect_timeout_s
        self._table = table
        self._owner = owner
        self._telemetry = telemetry
        self._on_resume = on_resume
        self._breakers = CircuitBreakers(random)
        self._backoff = ConnectBackoff(random)
        self._started_at: dict[UpstreamConnection, float] = {}  # start times of the connects in progress
        self._local_error_logged_at = -math.inf

    def may_connect(self, upstream: str, address: Address) -> bool:
        """Return whether the circuit breaker of an address allows a connect."""
        return self._breakers.allows(upstream, address, self._telemetry.clock())

    def has_failures(self, upstream: str, address: Address) -> bool:
        """Return whether a connect to an address has failed since the last one that succeeded."""
        return self._breakers.has_failures(upstream, address)

    def is_suspended(self, upstream: str) -> bool:
        """Return whether connects to an upstream are suspended after a local error."""
        return self._backoff.is_active(upstream)

    def was_suspended_since(self, upstream: str, since: float) -> bool:
        """Return whether connects to an upstream were suspended at any time from ``since`` on."""
        return self._backoff.was_active_since(upstream, since)

    def open(self, upstream: str, address: Address) -> bool:
        """Start a connect. Return False if there is no capacity for it, or if it fails at once."""
        if self._table.is_full() and not self.shed_unused():
            return False
        connection = self._connect(upstream, address)
        if connection is None:
            return False
        self._table.move(connection, ConnectionState.OPENING)
        self._started_at[connection] = self._telemetry.clock()
        self._backoff.on_connect_started(upstream)
        self._breakers.on_connect_started(upstream, address)
        return True

    def shed_unused(self) -> bool:
        """Close the connection that is unused for longest, an idle one first. Return False without one."""
        if not self._close_longest_unused():
            return False
        self._telemetry.count("idle_shed")
        return True

    def replace_quiet(self, upstream: str) -> bool:
        """Close a quiet connection, so that another one may be opened. Return False if that is no use."""
        quiet = self._table.replaceable(upstream)
        if quiet is None:
            return False
        self._close_unused(quiet)
        return True

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the table."""
        self._started_at.pop(connection, None)
        self._table.move(connection, ConnectionState.CLOSED)

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Record a successful connect."""
        self._started_at.pop(connection, None)
        self._breakers.on_connected(connection.upstream, connection.address)

    def on_connect_failed(self, upstream: str, address: Address) -> None:
        """Record a connect that failed because of the upstream or the network."""
        self._telemetry.count("connects_failed")
        if self._breakers.on_connect_failed(upstream, address, self._telemetry.clock()):
            self._telemetry.count("circuit_breakers_opened")
            self._telemetry.log(
                "warning",
                f"circuit breaker of {upstream} ({_host(address)}) opened: consecutive connects failed",
            )

    def on_local_error(self, connection: UpstreamConnection, error: LocalError) -> None:
        """Record a connect in progress that failed because of a local error."""
        self._breakers.on_connect_cancelled(connection.upstream, connection.address)
        self._suspend(connection.upstream, connection.address, error)

    def on_connect_cancelled(self, connection: UpstreamConnection, timed_out_since: float | None) -> None:
        """Record a connect that is about to be cancelled because it is no longer needed.

        ``timed_out_since`` is the start of a wait that has timed out, if that is the reason. A connect that
        was in progress for all of that wait counts as failed.
        """
        started_at = self._started_at.get(connection)
        if timed_out_since is not None and (started_at is None or started_at <= timed_out_since):
            self.on_connect_failed(connection.upstream, connection.address)
        else:
            self._breakers.on_connect_cancelled(connection.upstream, connection.address)

    def drop_expired(self, now: float) -> None:
        """Drop the circuit breakers and suspensions that have expired."""
        self._breakers.drop_expired(now)
        self._backoff.drop_expired(now)

    def _connect(self, upstream: str, address: Address) -> UpstreamConnection | None:
        """Start a connect. Close an idle connection first if no descriptor is free."""
        try:
            try:
                return self._start(upstream, address)
            except LocalError as error:
                if not error.is_resource_exhaustion or self._table.longest_unused() is None:
                    raise
                self._report_local_error(upstream, address, error, "closing an idle connection")
                self._close_longest_unused()
                return self._start(upstream, address)
        except LocalError as error:
            self._suspend(upstream, address, error)
        except OSError:
            self.on_connect_failed(upstream, address)
        return None

    def _start(self, upstream: str, address: Address) -> UpstreamConnection:
        connection = UpstreamConnection(asyncio.get_running_loop(), self._owner, upstream, address)
        connection.open(self.connect_timeout_s)
        return connection

    def _close_longest_unused(self) -> bool:
        oldest = self._table.longest_unused()
        if oldest is None:
            return False
        self._close_unused(oldest)
        return True

    def _close_unused(self, connection: UpstreamConnection) -> None:
        self.remove(connection)
        connection.close()

    def _suspend(self, upstream: str, address: Address, error: LocalError) -> None:
        """Suspend connects after a local error, to all upstreams if it would affect them all."""
        scope = None if error.is_resource_exhaustion else upstream
        delay_s = self._backoff.suspend(self._telemetry.clock(), scope)
        self._report_local_error(upstream, address, error, f"retrying in {1000.0 * delay_s:.0f} ms")
        asyncio.get_running_loop().call_later(delay_s, self._resume, scope)

    def _resume(self, scope: str | None) -> None:
        self._backoff.resume(self._telemetry.clock(), scope)
        self._on_resume(scope)

    def _report_local_error(self, upstream: str, address: Address, error: LocalError, action: str) -> None:
        self._telemetry.count(
            "descriptors_exhausted" if error.is_resource_exhaustion else "connects_failed_locally"
        )
        now = self._telemetry.clock()
        if now - self._local_error_logged_at < _LOCAL_ERROR_LOG_INTERVAL_S:
            return
        self._local_error_logged_at = now
        reason = errno.errorcode.get(error.errno or 0, str(error))
        self._telemetry.log(
            "error", f"connect to {upstream} ({_host(address)}) failed locally: {reason}; {action}"
        )


def _host(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
