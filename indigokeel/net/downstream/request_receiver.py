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

    __slots__ = ("_current_stream", "_handler", "_pipeline", "_streamed_request", "_timeouts")

    def __init__(self, handler: RequestReceiverHandler, pipeline: Pipeline, timeouts: ClientTimeouts) -> None:
        self._handler = handler
        self._pipeline = pipeline
        self._timeouts = timeouts
        self._streamed_request: ReceivedRequest | None = None  # waits for its turn
        self._current_stream: RequestStream | None = None  # of the request being served, until its response

    @property
    def is_blocked(self) -> bool:
        """Whether parsing waits for a streamed request's turn, or for its body to be forwarded."""
        if self._streamed_request is not None:
            return True
        return self._current_stream is not None and self._current_stream.is_source_paused

    def holds_streamed_request(self) -> bool:
        """Return whether a streamed request is waiting for its turn."""
        return self._streamed_request is not None

    def start_streamed_request(self) -> ReceivedRequest | None:
        """Remove and return the streamed request whose turn it is, if there is one."""
        received = self._streamed_request
        self._streamed_request = None
        if received is not None:
            self._current_stream = received.outbound.request_stream
        return received

    def drop_streamed_request(self) -> None:
        """Remove the streamed request that is waiting for its turn, if there is one."""
        self._streamed_request = None

    def held_bytes(self) -> int:
        """Return the memory of the streamed bodies of the request being served and of the one that waits."""
        waiting = None if self._streamed_request is None else self._streamed_request.outbound.request_stream
        return sum(
            request_stream.held_bytes()
            for request_stream in (self._current_stream, waiting)
            if request_stream is not None
        )

    def end_current_stream(self) -> None:
        """Discard what is left of the streamed body of the request that was served, and of its pause."""
        request_stream = self._current_stream
        self._current_stream = None
        if request_stream is not None:
            request_stream.discard()

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
        self._streamed_request = received

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
        self._streamed_request = None
        self._pipeline.append(PendingRequest(self._pipeline.arrived_at, keep_alive, received))

    # --- source of the streamed body ------------------------------------------------------------------

    def pause(self) -> None:
        """Pause reading until the buffered part of the streamed body has been forwarded."""
        self._handler.regulate_reading()

    def resume(self) -> None:
        """Resume reading the streamed body."""
        self._handler.regulate_reading()

    def has_disconnected(self) -> bool:
        """Return whether the operating system reports that the client has disconnected."""
        return self._handler.has_disconnected()
