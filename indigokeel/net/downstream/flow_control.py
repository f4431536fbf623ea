"""When one client connection is read and parsed, and when reading pauses (backpressure)."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from indigokeel.net import http
from indigokeel.net.downstream.client_timeouts import ClientTimeouts
from indigokeel.net.downstream.pipeline import MAX_QUEUED_REQUESTS, Pipeline
from indigokeel.net.downstream.request_parser import RequestParser
from indigokeel.net.http import RequestError

# A client that repeats an invalid request as soon as it has the response would take up the loop.
_ERRORS_PER_PAUSE = 16
_ERROR_PAUSE_S = 0.01


class FlowEvents(Protocol):
    """Receives what reading a connection leads to."""

    def process_pipeline(self) -> None:
        """Serve the requests that were parsed, then call ``ReadFlow.regulate``."""

    def on_read_error(self, error: RequestError) -> None:
        """Handle broken framing: the connection cannot be parsed any further."""

    def on_read_fault(self, error: Exception) -> None:
        """Handle an internal error while the connection was parsed."""


class RequestBodyGate(Protocol):
    """Tells whether a streamed request body holds up the parsing of what is behind it."""

    is_blocked: bool  # the body has to be forwarded, or its request started, before more is parsed


class ReadFlow:
    """Regulate the flow of one connection's bytes into its pipeline of requests."""

    __slots__ = (
        "_backlog_since",
        "_body_gate",
        "_consecutive_errors",
        "_events",
        "_parser",
        "_pipeline",
        "_scheduled",
        "_timeouts",
        "_timer",
        "_transport",
        "error_pause",
        "last_read_at",
        "paused_at",
        "stopped",
    )

    def __init__(
        self,
        events: FlowEvents,
        parser: RequestParser,
        pipeline: Pipeline,
        body_gate: RequestBodyGate,
        timeouts: ClientTimeouts,
    ) -> None:
        self._events = events
        self._parser = parser
        self._pipeline = pipeline
        self._body_gate = body_gate
        self._timeouts = timeouts
        self._transport: asyncio.Transport
        self._scheduled = False  # parsing is under way or scheduled
        self._backlog_since = 0.0  # monotonic seconds since when the next bytes may have waited, or 0.0
        self._consecutive_errors = 0
        self._timer: asyncio.TimerHandle | None = None  # ends the pause after errors
        self.error_pause = False
        self.last_read_at = 0.0  # monotonic seconds
        self.paused_at = 0.0  # monotonic seconds since when nothing is read, or 0.0
        self.stopped = False  # nothing more is parsed, for good

    def connected(self, transport: asyncio.Transport) -> None:
        """Start to regulate a transport."""
        self._transport = transport

    def on_read(self, now: float) -> float:
        """Note that bytes were read; return the monotonic seconds at which they may have arrived."""
        arrived_at = self._backlog_since or now
        self._backlog_since = 0.0
        self.last_read_at = now
        return arrived_at

    def stop(self) -> None:
        """Drop what is not parsed yet, and parse nothing more."""
        self.stopped = True
        self._parser.stop()
        self._pipeline.drop_bytes()

    def close(self) -> None:
        """Stop, and release the timer."""
        self.stop()
        if self._timer is not None:
            self._timer.cancel()

    def parse(self) -> None:
        """Parse what was read, up to as many requests as the pipeline holds.

        The bound keeps one client from occupying the loop.
        """
        self._scheduled = True
        queued_before = self._pipeline.total_queued
        try:
            while self._pipeline.has_unparsed_bytes() and not self._is_blocked():
                self._parser.feed(self._pipeline.next_slice(self._parser.remaining_body_bytes()))
                if self._pipeline.total_queued - queued_before >= MAX_QUEUED_REQUESTS:
                    break
        except RequestError as error:
            self._events.on_read_error(error)
        except Exception as error:  # an internal error must not affect other connections
            self._events.on_read_fault(error)
        self._scheduled = False

    def _parse_scheduled(self) -> None:
        """Parse in a later turn of the loop, and serve what was found."""
        if not self.stopped:
            self.parse()
            self._events.process_pipeline()

    def _is_blocked(self) -> bool:
        """Return whether parsed input has to be dealt with before more is parsed."""
        return self._body_gate.is_blocked or self.error_pause or self._pipeline.is_full()

    def regulate(self) -> None:
        """Read, parse or pause, as the pipeline allows."""
        if self.stopped:
            return
        blocked = self._is_blocked()
        if blocked or self._pipeline.has_unparsed_bytes():
            self.pause()
            if not blocked and not self._scheduled:
                self._scheduled = True
                asyncio.get_running_loop().call_soon(self._parse_scheduled)
        elif self.paused_at:
            self._end_pause()

    def _end_pause(self) -> None:
        """Read again, without counting the pause as the client's time."""
        self._timeouts.exclude_pause(self.paused_at, time.monotonic())
        # A request that arrived during the pause has had its deadline running since then.
        if http.readable(self._transport.get_extra_info("socket").fileno()):
            self._backlog_since = self.paused_at
        self.resume()

    def pause(self) -> None:
        """Stop to read for now."""
        if not self.paused_at and not self._transport.is_closing():
            self.paused_at = time.monotonic()
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read again, whatever the reason for the pause."""
        self.paused_at = 0.0
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def reset_errors(self) -> None:
        """Note that a request was accepted."""
        self._consecutive_errors = 0

    def count_error(self) -> None:
        """Note that an error response was written, and pause after many in a row."""
        self._consecutive_errors += 1
        if self._consecutive_errors % _ERRORS_PER_PAUSE == 0:
            self.error_pause = True
            self._timer = asyncio.get_running_loop().call_later(_ERROR_PAUSE_S, self._end_error_pause)

    def _end_error_pause(self) -> None:
        """Serve the connection again."""
        self.error_pause = False
        self._events.process_pipeline()
