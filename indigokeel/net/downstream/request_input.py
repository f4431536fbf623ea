"""The input of one client connection: its parser, its queued requests, flow control and read errors."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from typing import Protocol

from indigokeel.balancing.settings import Settings
from indigokeel.net.downstream.client_timeouts import ClientTimeouts
from indigokeel.net.downstream.flow_control import FlowControlHandler, ReadFlow
from indigokeel.net.downstream.pipeline import Pipeline
from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.downstream.request_parser import RequestParser
from indigokeel.net.downstream.request_receiver import RequestReceiver, RequestReceiverHandler
from indigokeel.net.http import RequestError
from indigokeel.net.streams import RequestStream
from indigokeel.net.turn_scheduler import TurnScheduler


class RequestInputHandler(FlowControlHandler, RequestReceiverHandler, Protocol):
    """Receives the callbacks of the input. It owns the input, which therefore refers to it weakly."""


class RequestInput:
    """Own the parser, the pipeline and the flow control of one connection."""

    __slots__ = ("_receiver", "continue_expected", "flow", "parser", "pipeline", "read_error")

    def __init__(
        self,
        handler: RequestInputHandler,
        settings_for: Callable[[str, float, float], Settings],
        timeouts: ClientTimeouts,
        scheduler: TurnScheduler,
    ) -> None:
        """``settings_for`` is ``RequestHandler.settings_for``."""
        self.pipeline = Pipeline()
        self._receiver = RequestReceiver(handler, self.pipeline, timeouts)
        self.parser = RequestParser(self._receiver, partial(_settings_for, self.pipeline, settings_for))
        self.flow = ReadFlow(handler, self.parser, self.pipeline, self._receiver, timeouts, scheduler)
        self.read_error: RequestError | None = None  # reported after the responses to the requests before it
        self.continue_expected = False  # ``100 Continue`` is due once the requests before are served

    def is_idle(self) -> bool:
        """Return whether nothing is queued and no request is partially received."""
        return not self.parser.in_message and self.pipeline.is_empty()

    def stalled_for(self, now: float) -> float:
        """Return the seconds since the last byte of a partially received request, or 0.0 without one."""
        if not self.parser.in_message or self.flow.paused_at:
            return 0.0
        return now - self.pipeline.read_at

    def has_more_requests(self) -> bool:
        """Return whether anything was read after the request being served."""
        partial = self.parser.in_message and not self.parser.already_responded
        return partial or not self.pipeline.is_empty() or self.flow.stopped

    def held_bytes(self) -> int:
        """Return the memory that the input takes."""
        return self.pipeline.held_bytes() + self.parser.held_bytes() + self._receiver.held_bytes()

    def is_discarding_body(self) -> bool:
        """Return whether the rest of a request that has its response is being read and discarded."""
        return self.parser.is_discarding_body()

    def is_body_awaited(self) -> bool:
        """Return whether a request's head was received and nothing of its body."""
        return self.parser.in_message and self.parser.body_bytes == 0 and not self.parser.already_responded

    # --- streamed bodies ------------------------------------------------------------------------------

    def active_stream(self) -> RequestStream | None:
        """Return the body that is being read for the request being served, if it is streamed."""
        request_stream = self.parser.request_stream
        if request_stream is None or self._receiver.holds_streamed_request():
            return None
        return request_stream

    def start_streamed_request(self) -> ReceivedRequest | None:
        """Remove and return the streamed request whose turn it is, if there is one."""
        return self._receiver.start_streamed_request()

    def discard_active_stream(self) -> None:
        """Discard the rest of the streamed body of the request being served, which has its response."""
        request_stream = self.active_stream()
        if request_stream is not None:
            request_stream.discard()
            self.parser.already_responded = True

    def end_current_stream(self) -> None:
        """Discard the streamed body of the request being served, which has ended."""
        self._receiver.end_current_stream()

    def drop_streams(self) -> None:
        """Discard all streamed bodies, and the streamed request that is waiting for its turn."""
        self._receiver.drop_streamed_request()
        self._receiver.end_current_stream()
        if self.parser.request_stream is not None:
            self.parser.request_stream.discard()

    # --- end of the input -----------------------------------------------------------------------------

    def stop(self) -> None:
        """Drop all queued input, and parse nothing more."""
        self.pipeline.clear()
        self.flow.stop()

    def fail(self, error: RequestError) -> None:
        """Stop reading at broken framing; the requests before it are still served in their turn.

        The error is not reported if it is within a request that already has its response.
        """
        self._receiver.drop_streamed_request()
        # A raised error keeps the frames of its traceback alive; a new one does not.
        self.read_error = None if self.parser.already_responded else RequestError(error.status, str(error))
        self.flow.stop()

    def pop_errors(
        self, error: RequestError, on_read_error: Callable[[RequestError], None]
    ) -> Iterator[RequestError]:
        """Remove all requests that were read; yield an error for each, in order: its own or ``error``."""
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


def _settings_for(
    pipeline: Pipeline, settings_for: Callable[[str, float, float], Settings], class_name: str
) -> Settings:
    """Return the settings for a request of a class in the bytes that were read last."""
    return settings_for(class_name, pipeline.arrived_at, pipeline.read_at)
