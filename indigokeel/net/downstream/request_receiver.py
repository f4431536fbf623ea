"""Queues the requests that the parser reports, and holds one whose long body is streamed."""

from __future__ import annotations

import time
from typing import Protocol

from indigokeel.net.downstream.client_timeouts import ClientTimeouts
from indigokeel.net.downstream.pipeline import PendingRequest, Pipeline
from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.http import RequestError
from indigokeel.net.streams import RequestStream


class RequestReceiverHandler(Protocol):
    """Receives the callbacks that concern the request being served."""

    def has_disconnected(self) -> bool:
        """Return whether the operating system reports that the client has disconnected."""

    def on_continue_expected(self) -> None:
        """Handle a client that waits for ``100 Continue``."""

    def on_body_discarded(self) -> None:
        """Handle the last byte of a request that was responded to before it was complete."""

    def on_stream_ended(self, request_stream: RequestStream, keep_alive: bool) -> None:
        """Handle the last byte of the streamed body of the request being served."""

    def regulate_reading(self) -> None:
        """Pause or resume reading as the streamed body requires."""


class RequestReceiver:
    """Handle the parser's callbacks; implements ``RequestParserHandler``.

    A request with a streamed body waits for its turn here, outside of the pipeline; until then, nothing
    behind it is parsed.
    """

    __slots__ = ("_handler", "_pipeline", "_stream_full", "_streamed_request", "_timeouts", "is_blocked")

    def __init__(self, handler: RequestReceiverHandler, pipeline: Pipeline, timeouts: ClientTimeouts) -> None:
        self._handler = handler
        self._pipeline = pipeline
        self._timeouts = timeouts
        self._stream_full = False  # buffered parts of the streamed body must be forwarded before more is read
        self._streamed_request: ReceivedRequest | None = None
        self.is_blocked = False  # parsing waits for the streamed body, or for its request's turn

    def holds_streamed_request(self) -> bool:
        """Return whether a streamed request is waiting for its turn."""
        return self._streamed_request is not None

    def take_streamed_request(self) -> ReceivedRequest | None:
        """Remove and return the streamed request that is waiting for its turn, if there is one."""
        received = self._streamed_request
        if received is not None:
            self._update_blocking(None, self._stream_full)
        return received

    def _update_blocking(self, streamed_request: ReceivedRequest | None, stream_full: bool) -> None:
        """Set the two conditions that block parsing."""
        self._streamed_request = streamed_request
        self._stream_full = stream_full
        self.is_blocked = stream_full or streamed_request is not None

    # --- parser callbacks -----------------------------------------------------------------------------

    def on_request(self, received: ReceivedRequest, keep_alive: bool) -> None:
        """Queue a complete request."""
        self._timeouts.restart(time.monotonic())
        received.outbound.has_client_disconnected = self._handler.has_disconnected
        self._pipeline.append(PendingRequest(self._pipeline.arrived_at, keep_alive, received))

    def on_health_check(self, keep_alive: bool) -> None:
        """Queue a health check."""
        self._timeouts.restart(time.monotonic())
        self._pipeline.append(PendingRequest(self._pipeline.arrived_at, keep_alive))

    def on_invalid_request(self, error: RequestError, keep_alive: bool) -> None:
        """Queue the error response to a request that cannot be served."""
        self._timeouts.restart(time.monotonic())
        self._pipeline.append(PendingRequest(self._pipeline.arrived_at, keep_alive, error=error))

    def on_body_discarded(self) -> None:
        """Handle the last byte of a request that was responded to before it was complete."""
        self._timeouts.restart(time.monotonic())
        self._handler.on_body_discarded()

    def on_continue_expected(self) -> None:
        """Report that the client waits for ``100 Continue``."""
        self._handler.on_continue_expected()

    def on_stream_started(self, received: ReceivedRequest) -> None:
        """Hold a request with a streamed body until its turn."""
        received.outbound.has_client_disconnected = self._handler.has_disconnected
        self._update_blocking(received, self._stream_full)

    def on_stream_ended(
        self, request_stream: RequestStream, received: ReceivedRequest, keep_alive: bool
    ) -> None:
        """Handle the last byte of a streamed body."""
        self._timeouts.restart(time.monotonic())
        if self._streamed_request is not None:
            self._queue_buffered(request_stream, received, keep_alive)
        else:
            self._handler.on_stream_ended(request_stream, keep_alive)

    def _queue_buffered(
        self, request_stream: RequestStream, received: ReceivedRequest, keep_alive: bool
    ) -> None:
        """Queue a request whose body was complete before its turn, so that it need not be streamed."""
        received.outbound.body = request_stream.buffered()
        received.outbound.request_stream = None
        received.request.body_streamed = False
        self._update_blocking(None, stream_full=False)
        self._pipeline.append(PendingRequest(self._pipeline.arrived_at, keep_alive, received))

    # --- source of the streamed body ------------------------------------------------------------------

    def pause(self) -> None:
        """Pause reading until the buffered part of the streamed body has been forwarded."""
        self._update_blocking(self._streamed_request, stream_full=True)
        self._handler.regulate_reading()

    def resume(self) -> None:
        """Resume reading the streamed body."""
        self._update_blocking(self._streamed_request, stream_full=False)
        self._handler.regulate_reading()

    def has_disconnected(self) -> bool:
        """Return whether the operating system reports that the client has disconnected."""
        return self._handler.has_disconnected()
