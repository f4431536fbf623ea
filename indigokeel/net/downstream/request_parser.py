"""Reads the requests of one client connection off its bytes, and tells broken framing from a request that is
well framed and cannot be served. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

from indigokeel.balancing.settings import Settings
from indigokeel.net import http
from indigokeel.net.downstream.request_decoder import read_request
from indigokeel.net.http import RequestError
from indigokeel.net.messages import OutboundRequest
from indigokeel.net.streams import RequestStream, RequestStreamSource
from indigokeel.requests.effects import Request

_MOST_HEADERS = 100
_MOST_PIECES = 64  # of a body that came in crumbs: then they are joined, so that they stay few


class Receiver(RequestStreamSource, Protocol):
    """The connection's session, which is told of what was read."""

    def request_read(
        self, request: tuple[Request, OutboundRequest] | None, error: RequestError | None, keep_alive: bool
    ) -> None:
        """One more request is owed an answer: a whole one, a health check where there is neither request nor
        error, or, from its head on, one that cannot be served, whose body is thrown away as it comes."""

    def upload_begun(self, request: tuple[Request, OutboundRequest]) -> None:
        """A request's body is longer than what is read whole: it goes on in pieces."""

    def upload_read(
        self, request_stream: RequestStream, request: tuple[Request, OutboundRequest], keep_alive: bool
    ) -> None:
        """The last byte of that body was read."""

    def body_expected(self) -> None:
        """The client waits for a word before it sends the body."""

    def discarded(self) -> None:
        """The last byte of a request that had its error before was read."""


class RequestReader:
    """httptools calls the ``on_`` methods."""

    __slots__ = (
        "_head_size", "_headers", "_length", "_parser", "_receiver", "_request", "_settings", "_target",
        "answered", "in_head", "messages", "reading", "size", "request_stream",
    )  # fmt: skip

    def __init__(self, receiver: Receiver, settings: Callable[[], Settings]) -> None:
        """``settings`` tells those in force."""
        self._receiver, self._settings = receiver, settings
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._head_size = 0
        self._length = -1  # of the body in bytes, -1: in chunks, or none
        self._request: tuple[Request, OutboundRequest] | None = None
        self.messages = 0  # read to their end so far
        self.reading = False  # within a message
        self.in_head = False  # ... and its head
        self.size = 0  # bytes of its body so far
        self.answered = False  # an answer to it was written or is queued: it gets no other
        self.request_stream: RequestStream | None = None  # its body, where that is long

    def feed(self, data: bytes | memoryview) -> None:
        """Take in bytes; raises MalformedError where the connection cannot be read any further, and whatever
        fault came up."""
        assert self._parser is not None
        whole = self.messages
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise (error.__context__ or error) from None
        except httptools.HttpParserError as error:
            raise RequestError(400, str(error)) from None
        if self.in_head and self.messages == whole:  # all of it was head
            self._head_size += len(data)
            if self._head_size > http.MAX_HEAD:
                raise RequestError(431, "the head is too large")

    def stop(self) -> None:
        """Read nothing more. The parser holds this object: the two are let go together."""
        self._parser, self.reading, self.in_head = None, False, False
        self._request = self.request_stream = None

    def body_left(self) -> int:
        """Bytes until the end of the body that is being read: 0 between bodies, -1 where it comes in
        chunks."""
        if not self.reading or self.in_head:
            return 0
        return -1 if self._length < 0 else max(self._length - self.size, 0)

    # --- httptools ------------------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self.reading = self.in_head = True
        self._target, self._headers, self._request = b"", {}, None
        self._head_size = self.size = 0
        self.answered = False

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(name) + len(value) > http.MAX_HEAD or len(self._headers) > _MOST_HEADERS:
            raise RequestError(431, "the head is too large")
        # The blanks round a value are none of it; llhttp leaves those behind it that came in another piece.
        self._headers.setdefault(name.lower(), value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        self.in_head = False
        if len(self._target) + sum(map(len, self._headers.values())) > http.MAX_HEAD:
            raise RequestError(431, "the head is too large")
        http.one_framing(self._headers)
        length = self._headers.get(b"content-length")
        self._length = -1 if length is None else int(length)
        if self._length > http.MOST_BODY:
            raise RequestError(413, "the body is too large")
        if parser.should_upgrade():
            raise RequestError(400, "no other protocol is spoken here")
        if self._headers.get(b"expect", b"").lower() == b"100-continue":
            self._receiver.body_expected()
        if self._target == b"/_health":
            return
        try:
            request = read_request(parser.get_method(), self._target, self._headers, self._settings())
        except RequestError as error:
            # Its bounds are known, so the connection is good for the next one.
            self._refuse(error)
        else:
            request[1].left = self._receiver.has_disconnected
            self._request = request

    def _refuse(self, error: RequestError) -> None:
        assert self._parser is not None
        self.answered = True
        text = "" if self._parser.get_method() == b"HEAD" else str(error)  # no answer to HEAD has a body
        self._receiver.request_read(None, RequestError(error.status, text), self._parser.should_keep_alive())

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if self.request_stream is not None or self.answered:
            if self.size > http.MOST_BODY:
                raise RequestError(413, "the body is too large")
            if self.request_stream is not None:
                self.request_stream.add(data)
            return
        if self._request is None:
            if self.size > http.MAX_BODY:
                self._refuse(RequestError(413, "the body is too large"))
            return
        outbound = self._request[1]
        outbound.body.append(data)
        if self.size > http.MAX_BODY:
            outbound.request_stream = self.request_stream = RequestStream(
                self._receiver, self._length, outbound.body
            )
            outbound.body = []
            self._request[0].long = True
            self._receiver.upload_begun(self._request)
        elif len(outbound.body) >= _MOST_PIECES:
            outbound.body[:] = [b"".join(outbound.body)]

    def on_message_complete(self) -> None:
        assert self._parser is not None
        self.reading = False
        self.messages += 1
        keep_alive = self._parser.should_keep_alive()
        request, self._request = self._request, None
        request_stream, self.request_stream = self.request_stream, None
        if request_stream is not None and request is not None:
            self._receiver.upload_read(request_stream, request, keep_alive)
        elif self.answered:
            self._receiver.discarded()
        else:
            self._receiver.request_read(request, None, keep_alive)
