"""Parses the requests of one client connection. No I/O.

Broken framing ends the connection; a well-framed request that cannot be served gets an error in its turn.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

from indigokeel.balancing.settings import Settings
from indigokeel.net import http
from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.downstream.request_decoder import read_request
from indigokeel.net.framing_limit import FramingLimit
from indigokeel.net.http import RequestError
from indigokeel.net.streams import RequestStream, RequestStreamSource

_MAX_HEADERS = 100
_HEALTH_TARGET = b"/_health"
_FIELD_BYTES = 200  # memory of a header field, beside its content


class RequestParserHandler(RequestStreamSource, Protocol):
    """Receives the callbacks of the parser, and is the source of streamed bodies."""

    def on_request(self, received: ReceivedRequest, keep_alive: bool) -> None:
        """Handle a complete request."""

    def on_health_check(self, keep_alive: bool) -> None:
        """Handle a complete health check."""

    def on_invalid_request(self, error: RequestError, keep_alive: bool) -> None:
        """Handle a well-framed request that cannot be served; its body is discarded as it arrives."""

    def on_body_discarded(self) -> None:
        """Handle the last byte of a request that was responded to before it was complete."""

    def on_continue_expected(self) -> None:
        """Handle ``Expect: 100-continue``: the client waits before it sends the body."""

    def on_stream_started(self, received: ReceivedRequest) -> None:
        """Handle a request whose body is too long to be buffered and is streamed instead."""

    def on_stream_ended(
        self, request_stream: RequestStream, received: ReceivedRequest, keep_alive: bool
    ) -> None:
        """Handle the last byte of a streamed body."""


class RequestParser:
    """Parse requests and pass them to a handler. httptools calls the ``on_`` methods."""

    __slots__ = (
        "_content_length",
        "_framing_limit",
        "_handler",
        "_headers",
        "_parser",
        "_pieces",
        "_received",
        "_settings_for",
        "_target",
        "already_responded",
        "body_bytes",
        "in_head",
        "in_message",
        "messages_parsed",
        "request_stream",
    )

    def __init__(self, handler: RequestParserHandler, settings_for: Callable[[str], Settings]) -> None:
        """``settings_for`` returns the settings for a request of a class in the bytes that are parsed."""
        self._handler = handler
        self._settings_for = settings_for
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._framing_limit = FramingLimit()
        self._content_length = -1  # -1: a chunked body, or none
        self._received: ReceivedRequest | None = None
        self._pieces: list[bytes] = []  # of the body, from the bytes that are being parsed
        self.messages_parsed = 0
        self.in_message = False
        self.in_head = False
        self.body_bytes = 0  # of the current message so far
        self.already_responded = False  # the current message's response is already written or queued
        self.request_stream: RequestStream | None = None  # the current message's body, if it is streamed

    def feed(self, data: bytes | memoryview) -> None:
        """Parse bytes.

        Raises RequestError if the framing is broken, and whatever an event handler raises.
        """
        assert self._parser is not None
        parsed_before = self.messages_parsed
        body_bytes_before = self.body_bytes
        try:
            self._parser.feed_data(data)
            self._handle_pieces()
        except httptools.HttpParserCallbackError as error:
            raise (error.__context__ or error) from None
        except httptools.HttpParserError as error:
            raise RequestError(400, str(error)) from None
        has_ended = self.messages_parsed > parsed_before or not self.in_message
        if self._framing_limit.is_exceeded_by(len(data), has_ended or self.body_bytes != body_bytes_before):
            raise RequestError(431, "the head, a chunk header or the trailer section is too large")

    def stop(self) -> None:
        """Release the httptools parser.

        It refers to this object, so only without it are the two freed by reference counting.
        """
        self._parser = None
        self.in_message = False
        self.in_head = False
        self._received = None
        self._pieces = []
        self.request_stream = None

    def held_bytes(self) -> int:
        """Return the memory that the current message takes, without a body that is streamed."""
        if not self.in_message:
            return 0
        if self._received is not None and self.request_stream is None:
            return self._received.held_bytes()
        return self._framing_limit.bytes_without_progress + len(self._headers) * _FIELD_BYTES

    def remaining_body_bytes(self) -> int:
        """Return the bytes up to the end of the current body: 0 outside of bodies, -1 in a chunked one."""
        if not self.in_message or self.in_head:
            return 0
        return -1 if self._content_length < 0 else max(self._content_length - self.body_bytes, 0)

    def is_discarding_body(self) -> bool:
        """Return whether the rest of a request that has its response is being read and discarded."""
        return self.in_message and self.already_responded

    # --- httptools callbacks --------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a message."""
        self.in_message = True
        self.in_head = True
        self._target = b""
        self._headers = {}
        self._received = None
        self.body_bytes = 0
        self.already_responded = False

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; the first one of a name counts. Raises RequestError if the head is too large.

        The fields of a trailer section are ignored.
        """
        if not self.in_head:
            return
        if len(name) + len(value) > http.MAX_HEAD or len(self._headers) > _MAX_HEADERS:
            raise RequestError(431, "the head is too large")
        # llhttp keeps trailing whitespace that arrives in a later read than the value.
        self._headers.setdefault(name.lower(), value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        """Decode the head. Raises RequestError if the connection cannot be parsed any further."""
        parser = self._parser
        assert parser is not None
        self.in_head = False
        self._check_head()
        if parser.should_upgrade():
            raise RequestError(400, "no other protocol is spoken here")
        if self._headers.get(b"expect", b"").lower() == b"100-continue":
            self._handler.on_continue_expected()
        if self._target == _HEALTH_TARGET:
            return
        try:
            self._received = read_request(
                parser.get_method(), self._target, self._headers, self._settings_for
            )
        except RequestError as error:
            # The end of the message is known, so the connection can serve the next request.
            self._reject(error)
        self._headers = {}

    def _check_head(self) -> None:
        """Check the head's size and framing. Raises RequestError if either is not acceptable."""
        if len(self._target) + sum(map(len, self._headers.values())) > http.MAX_HEAD:
            raise RequestError(431, "the head is too large")
        http.check_framing(self._headers)
        content_length = self._headers.get(b"content-length")
        self._content_length = -1 if content_length is None else int(content_length)
        if self._content_length > http.MAX_REQUEST_BODY:
            raise RequestError(413, "the body is too large")

    def _reject(self, error: RequestError) -> None:
        """Report a request that cannot be served."""
        assert self._parser is not None
        self.already_responded = True
        text = "" if self._parser.get_method() == b"HEAD" else str(error)  # a response to HEAD has no body
        # A raised error keeps the frames of its traceback alive; a new one can be queued without them.
        queued = RequestError(error.status, text)
        self._handler.on_invalid_request(queued, self._parser.should_keep_alive())

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body.

        Its parts are handled together: a body may come in chunks of one byte.
        """
        self.body_bytes += len(data)
        self._pieces.append(data)

    def _handle_pieces(self) -> None:
        """Buffer, stream or discard what was collected. Raises RequestError if the body is too large."""
        pieces = self._pieces
        if not pieces:
            return
        data = b"".join(pieces)
        pieces.clear()
        if self.request_stream is not None or self.already_responded:
            if self.body_bytes > http.MAX_REQUEST_BODY:
                raise RequestError(413, "the body is too large")
            if self.request_stream is not None:
                self.request_stream.add(data)
        elif self._received is not None:
            self._buffer(self._received, data)
        elif self.body_bytes > http.MAX_BUFFERED_BODY:
            self._reject(RequestError(413, "the body is too large"))

    def _buffer(self, received: ReceivedRequest, data: bytes) -> None:
        """Append to a body; stream it once it is too long to be buffered."""
        outbound = received.outbound
        http.append_part(outbound.body, data)
        if self.body_bytes > http.MAX_BUFFERED_BODY:
            self.request_stream = RequestStream(self._handler, self._content_length, outbound.body)
            outbound.request_stream = self.request_stream
            outbound.body = []
            received.request.body_streamed = True
            self._handler.on_stream_started(received)

    def on_message_complete(self) -> None:
        """Report the end of a message."""
        assert self._parser is not None
        self._handle_pieces()
        self.in_message = False
        self.messages_parsed += 1
        keep_alive = self._parser.should_keep_alive()
        received = self._received
        self._received = None
        request_stream = self.request_stream
        self.request_stream = None
        if request_stream is not None and received is not None:
            self._handler.on_stream_ended(request_stream, received, keep_alive)
        elif self.already_responded:
            self._handler.on_body_discarded()
        elif received is not None:
            self._handler.on_request(received, keep_alive)
        else:
            self._handler.on_health_check(keep_alive)
