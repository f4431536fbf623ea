"""HTTP/1.1 on a connection to an upstream: one request and its response at a time."""

from __future__ import annotations

import asyncio
from typing import Protocol

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.net import http
from indigokeel.net.messages import UpstreamResponse
from indigokeel.net.streams import RequestStream, ResponseStream
from indigokeel.net.upstream.connection import CloseReason, UpstreamConnection
from indigokeel.net.upstream.response_parser import InvalidResponseError, ResponseParser


class Call(Protocol):
    """A request that an exchange sends, and the receiver of its response."""

    streams_response: bool  # a long response is passed on while it arrives; otherwise it is invalid

    def build_message(self) -> list[bytes] | None:
        """Return the message to write, or None to write nothing."""

    def on_response_started(self, response: UpstreamResponse) -> None:
        """Handle the start of a long response, whose body follows in ``response.stream``."""

    def on_response_ended(self, response: UpstreamResponse, is_reusable: bool) -> None:
        """Handle a complete response or a failure, and whether the connection is reusable."""


class UpstreamExchange:
    """The handler of a connection (ConnectionHandler), which also writes streamed request bodies (Sink)."""

    __slots__ = (
        "_call", "_connection", "_parser", "_request_stream", "_stream", "host",
    )  # fmt: skip

    def __init__(self, connection: UpstreamConnection) -> None:
        self.host = http.format_host(connection.address)
        self._connection = connection
        self._call: Call | None = None
        self._parser: ResponseParser | None = None
        self._stream: ResponseStream | None = None
        self._request_stream: RequestStream | None = None

    def send(self, call: Call, request_stream: RequestStream | None = None) -> bool:
        """Write the message of a call, followed by the body from ``request_stream``, if any.

        ``call.build_message`` is called right before the write, so that the state that the message depends on
        (clock, client, endpoint list) is current. Return False if it returns None. Raise LocalError if the
        write fails for lack of a local resource. The call is not notified in either case; otherwise it is
        notified of the result, after this returns.
        """
        parser = ResponseParser(call.streams_response)
        message = call.build_message()
        if message is None:
            return False
        is_written = self._connection.write_first(message)
        self._parser = parser
        self._call = call
        self._stream = None
        self._request_stream = request_stream
        if not is_written:
            self._fail_soon()
        if request_stream is not None:
            request_stream.attach(self)
        return True

    def write(self, chunks: list[bytes]) -> None:
        """Write a part of the request's body (Sink)."""
        if not self._connection.write(chunks):
            self._fail_soon()

    def is_writable(self) -> bool:
        """Return whether the kernel has accepted all bytes written so far (Sink)."""
        return not self._connection.has_unsent_data()

    def on_writable(self) -> None:
        """Continue a streamed request (ConnectionHandler)."""
        if self._request_stream is not None:
            self._request_stream.flush()

    def on_data(self, data: bytes) -> None:
        """Parse a part of the response (ConnectionHandler)."""
        parser = self._parser
        if parser is None:
            self._connection.reject_data()
            return
        try:
            parser.feed(data)
        except InvalidResponseError:
            self._finish(UpstreamResponse(AttemptOutcome.BROKEN))
            return
        if self._stream is not None:
            self._stream.feed(parser.take_body())
        elif parser.is_long():
            self._start_stream(parser)
        if parser.complete:
            self._finish(parser.response(), parser.is_reusable)

    def on_closed(self, reason: CloseReason) -> None:
        """Fail the call, unless the close of the connection completes its response (ConnectionHandler)."""
        if reason.at_eof and self._parser is not None and self._parser.feed_eof():
            self._finish(self._parser.response())
            return
        self._finish(UpstreamResponse(self._outcome_of(reason)))

    def _outcome_of(self, reason: CloseReason) -> AttemptOutcome:
        request_stream = self._request_stream
        is_written = request_stream is None or request_stream.is_fully_written
        if is_written and not reason.has_unsent_data:
            return AttemptOutcome.BROKEN
        # The upstream has not received the request in full, so it cannot have run it.
        return AttemptOutcome.NOT_SENT if reason.is_local_error else AttemptOutcome.NO_CONNECTION

    def _start_stream(self, parser: ResponseParser) -> None:
        call = self._call
        if call is None:
            return
        stream = self._stream = ResponseStream(self._connection, parser.length)
        call.on_response_started(UpstreamResponse(AttemptOutcome.OK, parser.response().load, None, stream))
        if self._stream is not None:
            self._stream.feed(parser.take_body())

    def _fail_soon(self) -> None:
        """Fail the call after a write on a broken connection: the request was not received in full."""
        asyncio.get_running_loop().call_soon(self._finish, UpstreamResponse(AttemptOutcome.NO_CONNECTION))

    def _finish(self, response: UpstreamResponse, is_reusable: bool = False) -> None:
        call = self._call
        stream = self._stream
        request_stream = self._request_stream
        self._call = None
        self._parser = None
        self._stream = None
        self._request_stream = None
        if stream is not None:
            stream.end(response.outcome is AttemptOutcome.OK)
        if request_stream is not None:
            is_reusable = is_reusable and request_stream.is_fully_written
            request_stream.discard()
        if call is not None:
            call.on_response_ended(response, is_reusable)
