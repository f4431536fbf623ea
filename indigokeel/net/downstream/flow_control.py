"""Decides when a client connection is read and parsed, and when reading pauses (backpressure)."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Protocol

from indigokeel.net import http
from indigokeel.net.downstream.client_timeouts import ClientTimeouts
from indigokeel.net.downstream.pipeline import MAX_QUEUED_REQUESTS, SLICE_BYTES, Pipeline
from indigokeel.net.downstream.request_parser import RequestParser
from indigokeel.net.http import RequestError
from indigokeel.net.turn_scheduler import TurnScheduler

# Without pauses, a client that repeats an invalid request after each response would occupy the event loop.
_ERRORS_PER_PAUSE = 16
_ERROR_PAUSE_S = 0.01
# What a client may have written beyond the receive buffer of this side: the send buffer of a socket grows to
# this size by default on Linux.
_MAX_CLIENT_SEND_BUFFER_BYTES = 4 << 20


class FlowControlHandler(Protocol):
    """Receives the callbacks of reading a connection."""

    def process_pipeline(self) -> None:
        """Serve the parsed requests, then call ``ReadFlow.regulate``."""

    def on_read_error(self, error: RequestError) -> None:
        """Handle broken framing: the connection cannot be parsed any further."""

    def on_read_fault(self, error: Exception) -> None:
        """Handle an internal error in parsing."""


class BodyBackpressure(Protocol):
    """The backpressure of a streamed request body on the parsing of the input behind it."""

    @property
    def is_blocked(self) -> bool:
        """Whether nothing is parsed until the body is forwarded or its request started."""


class ReadFlow:
    """Regulate the reading and parsing of one connection into its pipeline of requests."""

    __slots__ = (
        "_backlog_since",
        "_body_backpressure",
        "_consecutive_errors",
        "_handler",
        "_parser",
        "_pipeline",
        "_scheduled",
        "_scheduler",
        "_timeouts",
        "_timer",
        "_transport",
        "error_pause",
        "paused_at",
        "stopped",
    )

    def __init__(
        self,
        handler: FlowControlHandler,
        parser: RequestParser,
        pipeline: Pipeline,
        body_backpressure: BodyBackpressure,
        timeouts: ClientTimeouts,
        scheduler: TurnScheduler,
    ) -> None:
        self._handler = handler
        self._parser = parser
        self._pipeline = pipeline
        self._body_backpressure = body_backpressure
        self._timeouts = timeouts
        self._scheduler = scheduler
        self._transport: asyncio.Transport
        self._scheduled = False  # parsing is under way or scheduled
        self._backlog_since = 0.0  # monotonic seconds since which the next bytes may have waited, or 0.0
        self._consecutive_errors = 0
        self._timer: asyncio.TimerHandle | None = None  # ends the pause after errors
        self.error_pause = False
        self.paused_at = 0.0  # monotonic seconds since which reading is paused, or 0.0
        self.stopped = False  # nothing is ever parsed again

    def connected(self, transport: asyncio.Transport) -> None:
        """Set the transport to regulate."""
        self._transport = transport

    def on_read(self, now: float) -> float:
        """Record a read at ``now``; return the monotonic seconds since which its bytes may have waited."""
        arrived_at = self._backlog_since or now
        if self._parser.request_stream is None:  # else ``regulate`` finds out whether more is waiting
            self._backlog_since = 0.0
        return arrived_at

    def record_unread_input(self, now: float) -> None:
        """Record that input is waiting at ``now``, in monotonic seconds."""
        if not self.paused_at:
            self._backlog_since = self._backlog_since or now

    def unread_since(self) -> float | None:
        """Return the monotonic seconds since which the end of a streamed body may have been waiting.

        None if the client has certainly not sent its last byte yet.
        """
        return self._backlog_since or self.paused_at or None

    def stop(self) -> None:
        """Drop the unparsed bytes, and parse nothing more."""
        self.stopped = True
        self._parser.stop()
        self._pipeline.drop_bytes()

    def close(self) -> None:
        """Stop, and release the timer."""
        self.stop()
        if self._timer is not None:
            self._timer.cancel()

    def process(self) -> None:
        """Parse the queued bytes and serve the requests found, now or once the event loop has time."""
        if self._scheduled:
            return
        self._scheduled = True
        self._scheduler.run(self._process_now, self._pipeline.unparsed_bytes() <= SLICE_BYTES)
        if self._scheduled:
            self.regulate()

    def _process_now(self) -> None:
        self._scheduled = False
        if not self.stopped:
            self._parse()
            self._handler.process_pipeline()

    def _parse(self) -> None:
        """Parse the queued bytes: a slice, and more of them while the turn of the event loop has time.

        At most as many requests are parsed as the pipeline holds.
        """
        self._scheduled = True
        queued_before = self._pipeline.total_queued
        try:
            while self._pipeline.has_unparsed_bytes() and not self._is_blocked():
                self._parser.feed(self._pipeline.next_slice(self._parser.remaining_body_bytes()))
                if self._pipeline.total_queued - queued_before >= MAX_QUEUED_REQUESTS:
                    break
                if not self._scheduler.has_time():
                    break
        except RequestError as error:
            self._handler.on_read_error(error)
        except Exception as error:  # an internal error must not affect other connections
            self._handler.on_read_fault(error)
        self._scheduled = False

    def _is_blocked(self) -> bool:
        """Return whether parsed input has to be processed before more is parsed."""
        return self._body_backpressure.is_blocked or self.error_pause or self._pipeline.is_full()

    def regulate(self) -> None:
        """Pause or resume reading, and schedule parsing, as the pipeline requires."""
        if self.stopped:
            return
        blocked = self._is_blocked()
        if blocked or self._pipeline.has_unparsed_bytes():
            self.pause()
            if not blocked and not self._scheduled:
                self._scheduled = True
                self._scheduler.run_later(self._process_now)
        elif self.paused_at:
            self._end_pause()
        elif self._backlog_since:
            self._update_backlog()

    def _end_pause(self) -> None:
        """Resume reading; the pause does not count towards the client's timeouts."""
        self._timeouts.exclude_pause(self.paused_at, time.monotonic())
        # The deadline of a request that arrived during the pause has been running since then.
        self._backlog_since = self._backlog_since or self.paused_at
        self._update_backlog()
        self.resume()

    def _update_backlog(self) -> None:
        """End the backlog if the end of the current message cannot be waiting to be read."""
        if not self._may_hold_end_of_message():
            self._backlog_since = 0.0

    def _may_hold_end_of_message(self) -> bool:
        """Return whether input is waiting, and the socket buffers may hold all the rest of a message."""
        if self._transport.is_closing() or self._parser.is_discarding_body():
            return False
        client = self._transport.get_extra_info("socket")
        if not http.is_readable(client.fileno()):
            return False
        receive_buffer_bytes: int = client.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        buffered_bytes = receive_buffer_bytes + _MAX_CLIENT_SEND_BUFFER_BYTES
        return self._parser.remaining_body_bytes() <= buffered_bytes

    def pause(self) -> None:
        """Pause reading."""
        if not self.paused_at and not self._transport.is_closing():
            self.paused_at = time.monotonic()
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading, whatever the reason for the pause was."""
        self.paused_at = 0.0
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def reset_errors(self) -> None:
        """Record an accepted request, which ends a run of errors."""
        self._consecutive_errors = 0

    def count_error(self) -> None:
        """Record an error response, and pause the connection after many in a row."""
        self._consecutive_errors += 1
        if self._consecutive_errors % _ERRORS_PER_PAUSE == 0:
            self.error_pause = True
            self._timer = asyncio.get_running_loop().call_later(_ERROR_PAUSE_S, self._end_error_pause)

    def _end_error_pause(self) -> None:
        """Serve the connection again after a pause for errors."""
        self.error_pause = False
        self._handler.process_pipeline()
