"""A client connection: the event loop's callbacks, passed on to the parts that handle them."""

from __future__ import annotations

import asyncio
import time
import weakref
from collections.abc import Callable
from typing import cast

from indigokeel.metrics import Counters
from indigokeel.net import http
from indigokeel.net.downstream.client_timeouts import AwaitedEvent, ClientTimeouts, ConnectionActivity
from indigokeel.net.downstream.connection_close import ConnectionClose
from indigokeel.net.downstream.request_decoder import scan_plain_request
from indigokeel.net.downstream.request_dispatcher import RequestDispatcher
from indigokeel.net.downstream.request_handler import FinalResponse as FinalResponse
from indigokeel.net.downstream.request_handler import RequestHandler
from indigokeel.net.downstream.resources import ClientResources
from indigokeel.net.http import RequestError

_SHUTDOWN_ERROR = RequestError(503, "the process ends")
_TIMEOUT_ERROR = RequestError(408, "the message took too long")
_EVICTION_ERROR = RequestError(503, "there is no room for a message that comes slowly")
_MEMORY_ERROR = RequestError(503, "the memory for messages is used up")
_STALLED_OUTPUT_S = 1.0  # without progress; then output that the client does not take is dropped if need be


class ClientConnection(asyncio.BufferedProtocol):
    """Pass the events of a client's connection on to the parts that handle them.

    The parts refer to the connection weakly, so that reference counting frees it as soon as it is lost.
    """

    __slots__ = (
        "__weakref__",
        "_close",
        "_counters",
        "_dispatcher",
        "_handler",
        "_input",
        "_memory",
        "_read_buffer",
        "_timeouts",
        "_writer",
        "fd",
        "has_received_data",
    )

    def __init__(self, handler: Handler, counters: Counters, resources: ClientResources) -> None:
        self._handler = handler
        self._counters = counters
        self._memory = resources.memory
        self._read_buffer = resources.read_buffer
        owner = cast(Callable[[], ClientConnection], weakref.ref(self))
        self._timeouts = ClientTimeouts()
        self._dispatcher: RequestDispatcher[ClientConnection] = RequestDispatcher(
            owner, handler, counters, self._timeouts, resources
        )
        self._input = self._dispatcher.input
        self._writer = self._dispatcher.writer
        self._close = ConnectionClose(self._input.flow)
        self.fd = -1
        self.has_received_data = False  # something has arrived from the client

    @property
    def busy(self) -> bool:
        """Whether a request was read completely and its response has not been written yet."""
        return self._dispatcher.exchange.busy

    @property
    def ended(self) -> bool:
        """Whether nothing more will be written: the connection is ending or lost."""
        return self._dispatcher.ended

    # --- callbacks of the event loop ------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the parts, register the connection, and wait for the first request."""
        stream_transport = cast(asyncio.Transport, transport)
        self._input.flow.connected(stream_transport)
        self._writer.connected(stream_transport)
        self._close.connected(stream_transport)
        self.fd = transport.get_extra_info("socket").fileno()
        self._timeouts.restart(time.monotonic())
        self._handler.connection_opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next input is read into."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take input out of the buffer, which all connections share."""
        self.receive(bytes(self._read_buffer[:nbytes]))

    def receive(self, data: bytes) -> None:
        """Parse input, and serve the requests in it."""
        request_input = self._input
        if request_input.flow.stopped:
            self._close.discard(data)
            return
        now = time.monotonic()
        arrived_at = request_input.flow.on_read(now)
        if self.has_received_data and not request_input.parser.in_message:
            self._timeouts.restart(now)
        self.has_received_data = True
        if self._handler.overloaded and self._dispatcher.is_idle() and self._shed(data):
            return
        request_input.pipeline.append_bytes(data, arrived_at, now)
        request_input.flow.process()
        if request_input.pipeline.has_unparsed_bytes():  # else it was recorded as the requests were served
            self.update_memory()

    def _shed(self, data: bytes) -> bool:
        """Reject a complete request without parsing it, if the sidecar sheds load; return whether it does.

        Otherwise an overloaded sidecar would spend its time on parsing requests that it rejects afterwards.
        """
        plain = scan_plain_request(data)
        return plain is not None and self._dispatcher.shed_unparsed(plain)

    def eof_received(self) -> None:
        """Treat the end of the client's output as a disconnect: its requests are dropped."""
        self._on_disconnected()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release everything."""
        self.fd = -1
        self._on_disconnected()
        self._input.flow.close()
        self._memory.remove(self)
        self._handler.connection_closed(self)

    def pause_writing(self) -> None:
        """Pause a streamed response."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Continue a streamed response, and the requests that waited for the output to be accepted."""
        self._writer.resume()
        self._dispatcher.process_pipeline()

    # --- state of the connection ----------------------------------------------------------------------

    def is_idle(self) -> bool:
        """Return whether the connection waits for its first or next request and has no unread input."""
        return self._dispatcher.is_idle() and not http.is_readable(self.fd)

    def has_unread_input(self) -> bool:
        """Return whether input is waiting that will get a response and is not being served yet."""
        return not self.ended and (not self._input.pipeline.is_empty() or http.is_readable(self.fd))

    def record_unread_input(self, now: float) -> None:
        """Record that input is waiting at ``now``, in monotonic seconds, if that is so."""
        if not self.ended and http.is_readable(self.fd):
            self._input.flow.record_unread_input(now)

    def has_unwritten_output(self) -> bool:
        """Return whether a close now would lose output."""
        return self._close.has_unwritten_output(self.fd)

    def idle_for(self, now: float) -> float:
        """Return the seconds since the last request or response, or 0.0 if a request is pending."""
        return self._timeouts.elapsed_s(now) if self._dispatcher.is_idle() else 0.0

    def stalled_for(self, now: float) -> float:
        """Return the seconds since the last byte of a partially received request, or 0.0 if none is pending.

        Unread input counts as progress.
        """
        stalled_s = 0.0 if self.busy or self.ended else self._input.stalled_for(now)
        return 0.0 if stalled_s == 0.0 or http.is_readable(self.fd) else stalled_s

    def has_disconnected(self) -> bool:
        """Return whether the operating system reports a disconnect, and if so drop the client's requests.

        The event loop may not have read the end of the stream yet.
        """
        if not self.ended and http.peer_has_disconnected(self.fd):
            self._on_disconnected()
        return self.ended

    # --- memory ---------------------------------------------------------------------------------------

    def update_memory(self) -> None:
        """Record the memory that the connection takes now."""
        if self.fd >= 0:
            held_bytes = self._input.held_bytes() + self._dispatcher.exchange.held_bytes()
            self._memory.update(self, held_bytes + self._close.buffered_bytes())

    def reclaim_memory(self) -> None:
        """Free what the client can send again, or does not take.

        A request that was received completely and waits gets an error response in its turn, and so does one
        that was received in part, after which the connection ends.
        """
        if self.ended:
            return
        if self._writer.write_paused and not self.busy:
            if self._timeouts.elapsed_s(time.monotonic()) > _STALLED_OUTPUT_S:
                self._counters.add("memory_outputs_dropped")
                self.abort()
                self._memory.remove(self)
            return
        is_partial = self._input.parser.in_message and not self._input.is_discarding_body()
        if not is_partial and self._input.pipeline.queued_bytes == 0:
            return
        self._counters.add("memory_reclaims")
        self._input.pipeline.fail_requests(_MEMORY_ERROR)
        if is_partial:
            self._dispatcher.on_read_error(_MEMORY_ERROR)
        self._dispatcher.process_pipeline()

    # --- timeouts -------------------------------------------------------------------------------------

    def check_timeouts(self, now: float) -> None:
        """End the connection if the client keeps it waiting for too long; called periodically.

        While reading is paused, the event loop does not report a disconnect, so the system is asked here.
        """
        if self._input.flow.paused_at and http.peer_has_disconnected(self.fd):
            self._on_disconnected()
            self.abort()
            return
        overdue = self._timeouts.check(now, self._activity(), self._input.parser.body_bytes)
        if overdue is not None:
            self._on_timeout(overdue)

    def _activity(self) -> ConnectionActivity:
        """Return the state that determines what the connection waits for."""
        parser = self._input.parser
        return ConnectionActivity(
            streaming_response=self._writer.is_streaming(),
            unwritten_bytes=self._close.pending_output_bytes(self.fd, self.ended),
            ended=self.ended,
            receiving_request=parser.in_message and (not self.busy or parser.request_stream is not None),
            reading_paused=self._input.flow.paused_at > 0.0,
            idle=self._dispatcher.is_idle(),
        )

    def _on_timeout(self, overdue: AwaitedEvent) -> None:
        """End the connection in the way that loses the least data."""
        if overdue is AwaitedEvent.REST_OF_REQUEST:
            self._dispatcher.on_read_error(_TIMEOUT_ERROR)
            self._dispatcher.process_pipeline()
        elif overdue is not AwaitedEvent.NEXT_REQUEST:
            self.abort()
        elif not http.is_readable(self.fd):  # else the next request has arrived
            self._counters.add("clients_idle" if self.has_received_data else "clients_silent")
            self._end()

    # --- end of the connection ------------------------------------------------------------------------

    def close(self) -> None:
        """End the connection now, with an error response to each request that was read and has none."""
        if self.ended:
            return
        if not self._writer.is_streaming():  # nothing can follow a truncated response
            self._dispatcher.respond_error_to_all(_SHUTDOWN_ERROR)
        self._end()

    def abort(self) -> None:
        """Close at once, whatever is unread or unwritten."""
        self._dispatcher.mark_ended()
        self._close.abort()

    def evict(self) -> bool:
        """End the connection because there are too many; return whether it was closed at once.

        A client that has sent part of a request may be about to complete it: it gets an error response, and
        the connection is closed gracefully.
        """
        if self._input.parser.in_message and not self.busy and not self.ended:
            self._dispatcher.on_read_error(_EVICTION_ERROR)
            self._dispatcher.process_pipeline()
            return False
        self.abort()
        return True

    def _end(self) -> None:
        """End the connection gracefully: send the remaining output, then wait for the client to close."""
        if self.ended:
            return
        self._dispatcher.stop()
        if not self.has_received_data:
            self._close.close_unused()
            return
        self._timeouts.restart(time.monotonic())
        if self._close.close_gracefully():
            self._handler.connection_closing(self)

    def _on_disconnected(self) -> None:
        """Drop all input and requests, because the client has disconnected."""
        if self.busy and not self.ended:
            self._counters.add("clients_disconnected")
        self._dispatcher.stop()

    # --- responses ------------------------------------------------------------------------------------

    def send_final_response(self, final: FinalResponse) -> None:
        """Respond to the request that is being served."""
        self._dispatcher.send_final_response(final)

    def on_finished(self) -> None:
        """End the connection gracefully: no response on it is outstanding."""
        self._end()


Handler = RequestHandler[ClientConnection]
