"""Serves the requests of one client connection, one at a time and in order."""

from __future__ import annotations

import time
import weakref
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from indigokeel.metrics import Counters
from indigokeel.net.downstream.client_timeouts import ClientTimeouts
from indigokeel.net.downstream.current_exchange import (
    MAX_RESPONSE_BYTES,
    CurrentExchange,
    FinishableConnection,
)
from indigokeel.net.downstream.pipeline import PendingRequest
from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.downstream.request_decoder import PlainRequest
from indigokeel.net.downstream.request_handler import FinalResponse, RequestHandler
from indigokeel.net.downstream.request_input import RequestInput
from indigokeel.net.downstream.resources import ClientResources
from indigokeel.net.downstream.response_writer import ResponseWriter
from indigokeel.net.http import RequestError
from indigokeel.net.streams import RequestStream
from indigokeel.requests.effects import FinalStatus
from indigokeel.requests.open_requests import RESPONSE_MARGIN_S

_INTERNAL_ERROR = RequestError(500, "internal error")
_MAX_MARGIN_RATIO = 0.5  # largest share of a request's budget that is kept for its response


class Connection(FinishableConnection, Protocol):
    """The connection whose requests are dispatched."""

    def abort(self) -> None:
        """Close the connection at once, so that the client sees that the response is incomplete."""

    def has_disconnected(self) -> bool:
        """Return whether the operating system reports that the client has disconnected."""

    def update_memory(self) -> None:
        """Record the memory that the connection takes now."""


ConnectionT = TypeVar("ConnectionT", bound=Connection)


class RequestDispatcher(Generic[ConnectionT]):
    """Hand the requests of a connection to the sidecar; handle the callbacks of its input and its writer.

    The input and the writer refer to the dispatcher weakly, and the dispatcher to its connection, so that all
    are freed by reference counting.
    """

    __slots__ = (
        "__weakref__",
        "_admitted",
        "_connection",
        "_counters",
        "_handler",
        "_memory",
        "_processing",
        "ended",
        "exchange",
        "input",
        "writer",
    )

    def __init__(
        self,
        connection: Callable[[], ConnectionT],
        handler: RequestHandler[ConnectionT],
        counters: Counters,
        timeouts: ClientTimeouts,
        resources: ClientResources,
    ) -> None:
        """Create the dispatcher of the connection that ``connection`` returns."""
        self._connection = connection
        self._handler = handler
        self._counters = counters
        dispatcher = weakref.proxy(self)
        self.input = RequestInput(dispatcher, handler.settings_for, timeouts, resources.scheduler)
        self.writer = ResponseWriter(dispatcher, timeouts, counters)
        self.exchange = CurrentExchange(connection, handler, counters, self.input, self.writer, timeouts)
        self._memory = resources.memory
        self._processing = False
        self._admitted = False  # by load shedding: the next request need not be checked again
        self.ended = False  # no more requests are served

    def is_idle(self) -> bool:
        """Return whether nothing that was read awaits a response."""
        return not (self.exchange.busy or self.ended) and self.input.is_idle()

    # --- the order of requests ------------------------------------------------------------------------

    def process_pipeline(self) -> None:
        """Serve the queued requests one after another, then pause or resume reading."""
        if self._processing:  # called for a response that is written while its request is being handed over
            return
        self._processing = True
        while not self.ended:
            try:
                self._serve_queued()
                break
            except Exception as error:  # an internal error must not affect other connections
                self._on_fault(error)
        self._processing = False
        self.regulate_reading()
        self._connection().update_memory()

    def _serve_queued(self) -> None:
        """Serve queued requests until one is in progress; after the last, serve what follows the queue."""
        pipeline = self.input.pipeline
        while not self.exchange.busy and not self.ended and (pending := pipeline.first()) is not None:
            if self.input.flow.error_pause or self._must_wait_for_output(pending):
                return
            pipeline.pop()
            self.exchange.begin(pending.keep_alive)
            self._begin(pending)
        if not self.exchange.busy and not self.ended:
            self._serve_after_queue()

    def _must_wait_for_output(self, pending: PendingRequest) -> bool:
        """Return whether a request has to wait until the client has taken more of the earlier responses."""
        return self.writer.write_paused and (pending.received is None or self._memory.is_short())

    def _serve_after_queue(self) -> None:
        """Serve a streamed request, end a connection that has stopped reading, or invite an awaited body."""
        request_input = self.input
        streamed = request_input.start_streamed_request()
        if streamed is not None:
            self.exchange.begin(keep_alive=True)
            streamed.request.body_unread_since = request_input.flow.unread_since()
            self._accept(streamed.request.body_unread_since or time.monotonic(), streamed, admitted=False)
        elif request_input.flow.stopped:
            if request_input.read_error is not None:
                self._counters.add("messages_malformed")
                self.writer.write_error(request_input.read_error, close=True)
            self._connection().on_finished()
        elif request_input.continue_expected:
            request_input.continue_expected = False
            if request_input.is_body_awaited():
                self.writer.write_continue()

    def _begin(self, pending: PendingRequest) -> None:
        """Serve a request, or respond here if it is a health check or invalid."""
        admitted = self._admitted
        self._admitted = False
        if pending.error is not None:
            self.exchange.respond_error(pending.error)
        elif pending.received is not None:
            self._accept(pending.arrived_at, pending.received, admitted)
        else:
            self.exchange.respond_health()

    # --- admission ------------------------------------------------------------------------------------

    def shed_unparsed(self, plain: PlainRequest) -> bool:
        """Reject an unparsed request if the sidecar sheds load; return whether it was rejected."""
        retry_after_s = self._handler.shed_early(self._connection(), time.monotonic(), *plain)
        if retry_after_s is None:
            self._admitted = True  # load shedding is not asked again once the request is parsed
            return False
        self.exchange.begin(keep_alive=True)
        self._shed(retry_after_s)
        return True

    def _accept(self, arrived_at: float, received: ReceivedRequest, admitted: bool) -> None:
        """Hand a request to the sidecar with the rest of its budget, or reject it.

        Requests that are ``admitted`` have passed load shedding already.
        """
        now = time.monotonic()
        request = received.request
        waited_s = now - arrived_at
        budget_s = request.budget - waited_s
        if self._handler.is_open(request.id):
            self.exchange.respond_error(RequestError(409, "a job of this id is open"))
            return
        if budget_s <= min(RESPONSE_MARGIN_S, request.budget * _MAX_MARGIN_RATIO):
            # It waited behind other requests of its connection, which must not count against an upstream.
            self._counters.add("requests_out_of_time")
            self.send_final_response(FinalResponse(FinalStatus.REJECTED))
            return
        connection = self._connection()
        if not admitted:
            retry_after_s = self._handler.shed_early(connection, now, request.class_name, budget_s)
            if retry_after_s is not None:
                self._shed(retry_after_s)
                return
        if not self._memory.has_room(MAX_RESPONSE_BYTES):
            self._counters.add("requests_over_memory_limit")
            retry_after_s = 0.0 if request.settings is None else request.settings.limits.max_retry_after
            self.send_final_response(FinalResponse(FinalStatus.REJECTED, retry_after_s))
            return
        self._counters.add("requests_accepted")
        self.input.flow.reset_errors()
        self.exchange.on_accepted(request.id, received.held_bytes())
        if not request.body_streamed:
            request.budget = budget_s
        request.queued_s = waited_s
        self._handler.handle_request(connection, now, request, received.outbound)

    def _shed(self, retry_after_s: float) -> None:
        """Reject a request because the sidecar sheds load."""
        self._counters.add("requests_shed_early")
        self.send_final_response(FinalResponse(FinalStatus.REJECTED, retry_after_s))

    # --- responses ------------------------------------------------------------------------------------

    def send_final_response(self, final: FinalResponse) -> None:
        """Respond to the request being served, and serve the next one."""
        self.exchange.request_id = ""
        if self.ended:
            return
        try:
            self.exchange.respond(final)
        except Exception as error:  # an internal error must not affect other connections
            self._on_fault(error)
        self.process_pipeline()

    def on_response_written(self) -> None:
        """Serve the next request after a streamed response."""
        self.exchange.on_written()
        self.process_pipeline()

    def on_response_truncated(self) -> None:
        """Close the connection at once after an incomplete streamed response."""
        self._connection().abort()

    # --- the request's body ---------------------------------------------------------------------------

    def on_continue_expected(self) -> None:
        """Send ``100 Continue`` now, or once it is the request's turn."""
        self.input.continue_expected = self.exchange.busy or self.input.pipeline.first() is not None
        if not self.input.continue_expected:
            self.writer.write_continue()

    def on_body_discarded(self) -> None:
        """Handle the last byte of a request that was responded to before it was complete."""
        self.exchange.on_body_discarded()

    def on_stream_ended(self, request_stream: RequestStream, keep_alive: bool) -> None:
        """Handle the last byte of the streamed body of the request being served."""
        self.exchange.on_stream_ended(request_stream, keep_alive)

    def regulate_reading(self) -> None:
        """Pause or resume reading, and report whether the end of a streamed body may be waiting unread."""
        self.input.flow.regulate()
        self.exchange.report_unread_body()

    def has_disconnected(self) -> bool:
        """Return whether the operating system reports that the client has disconnected."""
        return self.ended or self._connection().has_disconnected()

    # --- end of the connection ------------------------------------------------------------------------

    def mark_ended(self) -> None:
        """Serve no more requests."""
        self.ended = True

    def stop(self) -> None:
        """Drop all requests; parse and serve nothing more."""
        self.ended = True
        self.input.pipeline.clear()
        self.exchange.release_request()
        self.input.flow.stop()

    def on_read_error(self, error: RequestError) -> None:
        """Stop reading at broken framing, and cancel the request being served if its body is cut off."""
        if self.input.flow.stopped:
            return
        if self.exchange.request_id and self.input.active_stream() is not None:
            self.exchange.cancel()
        self.input.fail(error)

    def respond_error_to_all(self, error: RequestError) -> None:
        """Respond with an error, in order, to each request that was read and has no response."""
        if self.exchange.busy:
            self.exchange.cancel()
            self.writer.write_response(FinalResponse(FinalStatus.FAILED), close=True)
        for request_error in self.input.pop_errors(error, self.on_read_error):
            self.writer.write_error(request_error, close=True)

    # --- internal errors ------------------------------------------------------------------------------

    def on_read_fault(self, error: Exception) -> None:
        """Handle an internal error in parsing; the requests before it are still served."""
        if not self.ended:
            self._record_fault(error)
            self.on_read_error(_INTERNAL_ERROR)

    def _on_fault(self, error: Exception) -> None:
        """Respond with an error to each request that was read, and end the connection."""
        self._record_fault(error)
        if self.writer.is_streaming():  # no complete response can be written any more
            self._connection().abort()
            return
        try:
            self.respond_error_to_all(_INTERNAL_ERROR)
            self._connection().on_finished()
        except Exception:  # nothing can be written any more
            self._connection().abort()

    def _record_fault(self, error: Exception) -> None:
        """Count and log an internal error."""
        self._counters.add("client_connection_faults")
        self._counters.log(f"internal error on a client connection: {type(error).__name__}: {error}")
