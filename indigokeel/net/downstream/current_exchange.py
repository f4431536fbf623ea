"""The request that is being served on a client connection, and its response."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from indigokeel.metrics import Counters
from indigokeel.net import http
from indigokeel.net.downstream.client_timeouts import ClientTimeouts
from indigokeel.net.downstream.request_handler import FinalResponse, RequestHandler
from indigokeel.net.downstream.request_input import RequestInput
from indigokeel.net.downstream.response_writer import ResponseWriter
from indigokeel.net.http import RequestError
from indigokeel.net.streams import RequestStream


class FinishableConnection(Protocol):
    """The connection that the exchange takes place on."""

    def on_finished(self) -> None:
        """End the connection gracefully: no response on it is outstanding."""


ConnectionT = TypeVar("ConnectionT", bound=FinishableConnection)

# For a response that is received as a whole, or for what is held of one that is streamed.
MAX_RESPONSE_BYTES = http.MAX_BUFFERED_BODY


class CurrentExchange(Generic[ConnectionT]):
    """Own the state of the current exchange: its request, its response, and whether to close after it."""

    __slots__ = (
        "_connection",
        "_counters",
        "_handler",
        "_input",
        "_keep_alive",
        "_request_bytes",
        "_timeouts",
        "_unread_since",
        "_writer",
        "busy",
        "request_id",
    )

    def __init__(
        self,
        connection: Callable[[], ConnectionT],
        handler: RequestHandler[ConnectionT],
        counters: Counters,
        request_input: RequestInput,
        writer: ResponseWriter,
        timeouts: ClientTimeouts,
    ) -> None:
        self._connection = connection
        self._handler = handler
        self._counters = counters
        self._input = request_input
        self._writer = writer
        self._timeouts = timeouts
        self._keep_alive = True  # the connection persists after the current response
        self._unread_since: float | None = None  # as last reported for the request's streamed body
        self._request_bytes = 0  # memory of the request that was accepted last
        self.busy = False  # a request is being served or responded to
        self.request_id = ""  # of the request that the sidecar is serving, until its response

    def begin(self, keep_alive: bool) -> None:
        """Start an exchange; ``keep_alive`` is whether the client asks to keep the connection after it."""
        self.busy = True
        self._keep_alive = keep_alive

    def held_bytes(self) -> int:
        """Return the memory that the current request takes, and its response may take."""
        is_in_progress = self.request_id or self._writer.is_streaming()
        return self._request_bytes + MAX_RESPONSE_BYTES if is_in_progress else 0

    def on_accepted(self, request_id: str, request_bytes: int) -> None:
        """Record that the sidecar serves the request from now on."""
        self.request_id = request_id
        self._request_bytes = request_bytes
        self._unread_since = None

    def cancel(self) -> None:
        """Cancel the request being served; nothing more is written for it."""
        self.busy = False
        self.release_request()

    def respond(self, final: FinalResponse) -> None:
        """Write the sidecar's final response."""
        self._counters.add("answers_written")
        self._input.discard_active_stream()
        self._decide_keep_alive()
        if self._writer.write_response(final, close=not self._keep_alive):
            self.on_written()

    def respond_error(self, error: RequestError) -> None:
        """Write the response to a request that is well framed but cannot be served."""
        self._counters.add("messages_malformed")
        self._input.flow.count_error()
        self._input.discard_active_stream()
        self._decide_keep_alive()
        self._writer.write_error(error, close=not self._keep_alive)
        self.on_written()

    def respond_health(self) -> None:
        """Write the response to a health check."""
        self._counters.add("health_checks")
        self._writer.write_health(self._handler.is_healthy(), close=not self._keep_alive)
        self.on_written()

    def _decide_keep_alive(self) -> None:
        """Let the connection close after this response if the sidecar asks for it and no request follows."""
        if (
            self._handler.closing or self._handler.has_too_many_active_connections()
        ) and not self._input.has_more_requests():
            self._keep_alive = False

    def on_written(self) -> None:
        """Finish the exchange, and end the connection if it does not persist."""
        self.busy = False
        self._input.end_current_stream()
        if self._input.active_stream() is not None:
            return  # a close before the rest of the body is read would reset the connection
        self._timeouts.restart(time.monotonic())
        if not self._keep_alive and not self._input.is_discarding_body():
            self._connection().on_finished()

    # --- the request's body ---------------------------------------------------------------------------

    def on_body_discarded(self) -> None:
        """End a connection that stayed open only to read the rest of a body."""
        if not self._keep_alive and not self.busy and self._input.pipeline.first() is None:
            self._connection().on_finished()

    def report_unread_body(self) -> None:
        """Report a change of the time since which the end of the request's streamed body may be unread."""
        if not self.request_id or self._input.active_stream() is None:
            return
        unread_since = self._input.flow.unread_since()
        if unread_since != self._unread_since:
            self._unread_since = unread_since
            self._handler.request_body_sent(self.request_id, unread_since)

    def on_stream_ended(self, request_stream: RequestStream, keep_alive: bool) -> None:
        """Handle the last byte of the streamed body of the request being served."""
        self._keep_alive = self._keep_alive and keep_alive
        request_stream.end()
        if self.request_id:
            self._handler.request_body_sent(self.request_id, self._input.pipeline.arrived_at)
        elif not self._writer.is_streaming() and not self._keep_alive:
            self._connection().on_finished()

    def release_request(self) -> None:
        """Cancel the request being served, and the streamed bodies in both directions."""
        request_id = self.request_id
        self.request_id = ""
        if request_id:
            self._handler.client_disconnected(request_id)
        self._input.drop_streams()
        self._writer.abandon_stream()
