"""Sends one attempt to an upstream: acquires a connection, checks, writes, and handles the response."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.endpoints.endpoint_list import Address
from indigokeel.metrics import Counters
from indigokeel.net.errors import LocalError
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.net.upstream.backoff import Backoff
from indigokeel.net.upstream.connection import UpstreamConnection
from indigokeel.net.upstream.connection_releaser import ConnectionReleaser
from indigokeel.net.upstream.idle_resets import IdleResetEstimator
from indigokeel.net.upstream.request_head import head_after_timeout, head_before_timeout
from indigokeel.net.upstream.upstream_exchange import UpstreamExchange
from indigokeel.net.upstream.waiter_queue import ConnectFailure, ConnectionWaiter, OnResult
from indigokeel.requests.effects import Attempt

_NEW_CONNECTION = -1.0  # recorded as the idle time of a connection that was opened for the attempt

OnEnded = Callable[[Attempt, UpstreamResponse], None]


class ConnectionProvider(Protocol):
    """The pool that attempts acquire connections from."""

    def acquire(
        self, upstream: str, address: Address, timeout_s: float, on_result: OnResult, unsafe: bool = False
    ) -> UpstreamConnection | ConnectionWaiter:
        """Return a connection, or a waiter for one."""

    def cancel(self, waiter: ConnectionWaiter) -> None:
        """Cancel a wait; its ``on_result`` is not called."""

    def release(self, connection: UpstreamConnection, reusable: bool) -> None:
        """End a call on a connection, and close it unless it is ``reusable``."""

    def close(self, connection: UpstreamConnection) -> None:
        """Close a connection."""


class AttemptPolicy(Protocol):
    """The state of requests and upstreams that decides whether an attempt may be sent."""

    def address(self, upstream: str) -> Address | None:
        """Return the address of an upstream, or None if it accepts no new requests."""

    def may_send_attempt(self, now: float, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent, asked right before its first byte is written."""

    def is_open(self, request_id: str) -> bool:
        """Return whether a request is open, or has an attempt in flight."""


class AttemptOwner(Protocol):
    """The owner of the attempts in flight."""

    def on_attempt_ended(self, sender: AttemptSender, response: UpstreamResponse) -> None:
        """Handle the result of an attempt."""

    def on_attempt_dropped(self, sender: AttemptSender) -> None:
        """Handle an attempt that was not sent and needs no result, as its request has ended."""


@dataclass(frozen=True, slots=True)
class AttemptServices:
    """The collaborators that all attempts share."""

    policy: AttemptPolicy
    connections: ConnectionProvider
    releaser: ConnectionReleaser
    idle_resets: IdleResetEstimator
    counters: Counters
    owner: AttemptOwner


class AttemptSender:
    """An attempt in flight. It is the ``Call`` of its exchange, and receives the result of its waiter."""

    __slots__ = (
        "_backoff", "_connection", "_head_after", "_head_before", "_idle_s", "_is_streaming",
        "_outbound", "_pending", "_send_until", "_services", "_client_disconnected", "attempt", "on_ended",
    )  # fmt: skip

    streams_response = True

    def __init__(
        self,
        services: AttemptServices,
        attempt: Attempt,
        outbound: OutboundRequest,
        on_ended: OnEnded,
        send_until: float,
    ) -> None:
        """``send_until`` is the monotonic time by which the first byte must have been written."""
        self.attempt = attempt
        self.on_ended = on_ended
        self._services = services
        self._outbound = outbound
        self._send_until = send_until
        self._pending: UpstreamConnection | ConnectionWaiter | asyncio.Handle | None = None
        self._connection: UpstreamConnection | None = None
        self._backoff: Backoff | None = None  # set after the first write that failed locally
        self._idle_s = _NEW_CONNECTION
        self._is_streaming = False
        self._client_disconnected = False

    @property
    def key(self) -> tuple[str, int]:
        """The id of the request, and the number of the attempt within it."""
        return self.attempt.request_id, self.attempt.number

    @property
    def is_cancellable(self) -> bool:
        """Whether the attempt is waiting (for a connection, a retry or a response), and not being written."""
        return self._pending is not None

    def connect(self, now: float) -> None:
        """Acquire a connection and send the attempt on it."""
        services = self._services
        upstream = self.attempt.upstream
        address = services.policy.address(upstream)
        if address is None:
            self.end_soon(AttemptOutcome.NOT_SENT)
            return
        timeout_s = max(self._send_until - now, 0.0)
        acquired = services.connections.acquire(
            upstream, address, timeout_s, self._on_acquired, self._outbound.unsafe
        )
        if isinstance(acquired, UpstreamConnection):
            self._send(acquired)
        else:
            self._pending = acquired

    def end_soon(self, outcome: AttemptOutcome) -> None:
        """End the attempt in the next iteration of the event loop, unless it is cancelled first."""
        response = UpstreamResponse(outcome)
        self._pending = asyncio.get_running_loop().call_soon(self._end, response)

    def cancel(self) -> None:
        """Cancel the attempt and close its connection; ``on_ended`` is not called."""
        pending = self._pending
        self._pending = None
        if isinstance(pending, UpstreamConnection):
            self._services.connections.close(pending)
        elif isinstance(pending, ConnectionWaiter):
            self._services.connections.cancel(pending)
        elif pending is not None:
            pending.cancel()

    def build_message(self) -> list[bytes] | None:
        """Return the message, or None if it must no longer be sent (Call).

        The client connection is checked after the clock is read. If the process is delayed between the two,
        the timeout that is sent is too long, which does less harm than an attempt for a client that has
        disconnected. The checks after that make no system calls.
        """
        connection = self._connection
        assert connection is not None
        now = time.monotonic()
        remaining_ms = int((self.attempt.times_out_at - now) * 1000.0)
        if connection.idle_since > 0.0:
            self._idle_s = now - connection.idle_since
        outbound = self._outbound
        message = [b"%s%d%s" % (self._head_before, remaining_ms, self._head_after)]
        if outbound.has_body and outbound.request_stream is None:
            message += outbound.body
        if outbound.has_client_disconnected():
            self._client_disconnected = True
            return None
        services = self._services
        if remaining_ms < 1 or not services.releaser.has_current_address(connection):
            return None
        return message if services.policy.may_send_attempt(now, self.attempt) else None

    def on_response_started(self, response: UpstreamResponse) -> None:
        """End the attempt with a response whose body is streamed (Call)."""
        services = self._services
        connection = self._connection
        stream = response.stream
        assert connection is not None
        assert stream is not None
        self._is_streaming = True
        services.idle_resets.record(time.monotonic(), self._idle_s, False)
        stream.on_cancel = lambda: services.connections.close(connection)
        services.counters.add("answers_begun")
        self._end(response)
        if not stream.is_attached:
            stream.cancel()

    def on_response_ended(self, response: UpstreamResponse, is_reusable: bool) -> None:
        """Release the connection, and end the attempt unless its response was streamed (Call)."""
        services = self._services
        connection = self._connection
        assert connection is not None
        if not self._is_streaming:
            was_reset = response.outcome is AttemptOutcome.BROKEN
            services.idle_resets.record(time.monotonic(), self._idle_s, was_reset)
        if is_reusable:
            services.releaser.release_later(connection)
        else:
            services.connections.release(connection, False)
        if not self._is_streaming:
            self._end(response)

    def _on_acquired(self, result: UpstreamConnection | ConnectFailure) -> None:
        if isinstance(result, UpstreamConnection):
            self._send(result)
        elif result is ConnectFailure.LOCAL:
            self._end(UpstreamResponse(AttemptOutcome.NOT_SENT))
        else:
            self._end(UpstreamResponse(AttemptOutcome.NO_CONNECTION))

    def _send(self, connection: UpstreamConnection) -> None:
        """Write the attempt on a connection, unless the final checks fail."""
        exchange = connection.handler
        assert isinstance(exchange, UpstreamExchange)
        self._pending = None
        self._connection = connection
        self._idle_s = _NEW_CONNECTION
        self._client_disconnected = False
        self._head_before = head_before_timeout(self._outbound, exchange.host)
        self._head_after = head_after_timeout(self._outbound)
        services = self._services
        try:
            is_sent = exchange.send(self, self._outbound.request_stream)
        except LocalError as error:
            services.counters.add("writes_not_begun")
            services.releaser.release_unused(connection)
            self._retry_later(error)
            return
        if is_sent:
            services.counters.add("attempts_sent")
            self._pending = connection
            return
        services.releaser.release_unused(connection)
        self._end_unsent()

    def _end_unsent(self) -> None:
        """End an attempt that failed the final checks.

        If the client has disconnected, the request has ended, and an attempt that was never written is
        dropped without a result.
        """
        has_failed_write = self._backoff is not None
        if not self._client_disconnected or (
            has_failed_write and self._services.policy.is_open(self.attempt.request_id)
        ):
            self.end_soon(AttemptOutcome.NOT_SENT)
        else:
            self._services.owner.on_attempt_dropped(self)

    def _retry_later(self, error: LocalError) -> None:
        """Acquire a connection again after a delay, unless it is too late to send the attempt by then."""
        if self._backoff is None:
            self._backoff = Backoff(Random())
        delay_s = self._backoff.next_delay_s()
        if time.monotonic() + delay_s >= self._send_until:
            self._services.counters.log(f"attempt not sent: {error}", "warning")
            self.end_soon(AttemptOutcome.NOT_SENT)
            return
        self._pending = asyncio.get_running_loop().call_later(delay_s, self._retry)

    def _retry(self) -> None:
        self._pending = None
        self.connect(time.monotonic())

    def _end(self, response: UpstreamResponse) -> None:
        self._pending = None
        self._services.owner.on_attempt_ended(self, response)
