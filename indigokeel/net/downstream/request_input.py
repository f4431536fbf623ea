"""The reading side of one client connection: what was read, what may still be read, and what went wrong."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol

from indigokeel.balancing.settings import Settings
from indigokeel.net.downstream.client_timeouts import ClientTimeouts
from indigokeel.net.downstream.flow_control import FlowEvents, ReadFlow
from indigokeel.net.downstream.pipeline import Pipeline
from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.downstream.request_parser import RequestParser
from indigokeel.net.downstream.request_receiver import ReceiverEvents, RequestReceiver
from indigokeel.net.http import RequestError
from indigokeel.net.streams import RequestStream


class InputEvents(FlowEvents, ReceiverEvents, Protocol):
    """Receives what the reading side leads to. It is referred to weakly, for it owns the reading side."""


class RequestInput:
    """Own the parser, the pipeline and the flow control of one connection."""

    __slots__ = ("_receiver", "continue_expected", "flow", "parser", "pipeline", "read_error")

    def __init__(
        self, events: InputEvents, settings: Callable[[], Settings], timeouts: ClientTimeouts
    ) -> None:
        self.pipeline = Pipeline()
        self._receiver = RequestReceiver(events, self.pipeline, timeouts)
        self.parser = RequestParser(self._receiver, settings)
        self.flow = ReadFlow(events, self.parser, self.pipeline, self._receiver, timeouts)
        self.read_error: RequestError | None = None  # reported after the responses to what came before it
        self.continue_expected = False  # the client waits for ``100 Continue`` behind another request

    def is_idle(self) -> bool:
        """Return whether no request was read, not even in part, that has no response."""
        return not self.parser.in_message and self.pipeline.is_empty()

    def stalled_for(self, now: float) -> float:
        """Return the seconds since the last byte of a partially received request, or 0.0 without one."""
        if not self.parser.in_message or self.flow.paused_at:
            return 0.0
        return now - self.flow.last_read_at

    def has_more_requests(self) -> bool:
        """Return whether anything was read behind the request being served."""
        partial = self.parser.in_message and not self.parser.answered
        return partial or not self.pipeline.is_empty() or self.flow.stopped

    def is_discarding_body(self) -> bool:
        """Return whether the rest of a request that has its response is being read."""
        return self.parser.in_message and self.parser.answered

    def is_body_awaited(self) -> bool:
        """Return whether a request's head was read and nothing of its body."""
        return self.parser.in_message and self.parser.body_bytes == 0 and not self.parser.answered

    # --- streamed bodies ------------------------------------------------------------------------------

    def active_stream(self) -> RequestStream | None:
        """Return the body that is being read for the request in service, if it is streamed."""
        request_stream = self.parser.request_stream
        if request_stream is None or self._receiver.holds_streamed_request():
            return None
        return request_stream

    def take_streamed_request(self) -> ReceivedRequest | None:
        """Return the streamed request that waits for its turn, if there is one, and stop holding it."""
        return self._receiver.take_streamed_request()

    def discard_active_stream(self) -> None:
        """Read the rest of the body of the request in service, which has its response, and discard it."""
        request_stream = self.active_stream()
        if request_stream is not None:
            request_stream.discard()
            self.parser.answered = True

    def drop_request_stream(self) -> None:
        """Forward nothing more of the body that is being read."""
        if self.parser.request_stream is not None:
            self.parser.request_stream.discard()

    # --- the end of reading ---------------------------------------------------------------------------

    def stop(self) -> None:
        """Drop what was read, and parse nothing more."""
        self.pipeline.clear()
        self.flow.stop()

    def fail(self, error: RequestError) -> None:
        """Stop at broken framing. Requests that were read before it keep their turns.

        The error is not reported if it lies within a request that has its response.
        """
        self._receiver.take_streamed_request()
        # A raised error refers to its traceback's frames; a new one keeps nothing alive.
        self.read_error = None if self.parser.answered else RequestError(error.status, str(error))
        self.flow.stop()

    def drain_errors(
        self, error: RequestError, on_read_error: Callable[[RequestError], None]
    ) -> Iterator[RequestError]:
        """Remove all requests that were read; yield an error for each, in order: its own, or ``error``."""
        pipeline = self.pipeline
        while True:
            pipeline.fail_requests(error)
            while pipeline.first() is not None:
                yield pipeline.pop().error or error
            if not pipeline.has_unparsed_bytes() or self.flow.stopped:
                break
            try:
                self.parser.feed(pipeline.next_slice(self.parser.remaining_body_bytes()))
            except RequestError as broken:
                on_read_error(broken)
        if self.read_error is not None:
            yield self.read_error
