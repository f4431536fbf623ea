"""Parses and validates one HTTP/1.1 response of an upstream. No I/O."""

from __future__ import annotations

import httptools

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.net import http
from indigokeel.net.framing_limit import FramingLimit
from indigokeel.net.messages import UpstreamResponse
from indigokeel.net.response_callbacks import ResponseCallbacks

_MAX_INTERIM_RESPONSES = 16  # with status 1xx, before the final response
_STREAM_THRESHOLD_BYTES = 16 * 1024  # a body of unknown length is streamed once more than this has arrived
_END_OF_HEAD = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
# All others are ignored. Those of a trailer section count like those of the head.
_KNOWN_FIELDS = frozenset(
    (b"connection", b"content-length", b"not-started", b"server-load", b"transfer-encoding")
)


class InvalidResponseError(Exception):
    """A response that is malformed or whose end is ambiguous."""


class ResponseParser:
    """Parses the next response on a connection. The ``on_`` methods are those of ``ResponseHandler``.

    With ``streams_body``, the caller takes the body of a long response with status 200 while it arrives. Any
    other body is stored until the response is complete, and is invalid if it exceeds
    ``http.MAX_BUFFERED_BODY``.

    ``is_reusable`` is set when the response is complete, no bytes follow it and the upstream keeps the
    connection open. Received bytes are counted for this, because llhttp skips empty lines after a response.
    """

    __slots__ = (
        "__weakref__", "_body_bytes", "_body_start", "_ends_at_eof", "_framing_limit", "_head",
        "_interim_responses", "_keeps_alive", "_parser", "_pieces", "_received_bytes", "_streams_body",
        "_tail", "body", "chunked", "complete", "headers", "is_reusable", "length", "status",
    )  # fmt: skip

    def __init__(self, streams_body: bool = True) -> None:
        self._parser = httptools.HttpResponseParser(ResponseCallbacks(self))
        self._streams_body = streams_body
        self._framing_limit = FramingLimit()
        self._interim_responses = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._body_start = -1
        self._pieces: list[bytes] = []  # of the body, from the bytes that are being parsed
        self._head = b""  # the bytes received until the end of the head is found
        self._tail = b""  # the last received bytes of a chunked body
        self._keeps_alive = False
        self._ends_at_eof = False
        self.headers: dict[bytes, bytes] = {}
        self.body: http.Body = []
        self.length = -1
        self.chunked = False
        self.complete = False
        self.status = 0
        self.is_reusable = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises InvalidResponseError."""
        self._received_bytes += len(data)
        if self._body_start < 0:
            self._head += data
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if (
                not self.complete
            ):  # after a complete response, an error only makes the connection not reusable
                raise InvalidResponseError(str(error)) from None
            self._store_pieces()
            return
        self._store_pieces()
        if self._body_start < 0:
            self._find_body_start()
        if self.chunked:
            self._tail = (self._tail + data[-len(_LAST_CHUNK) :])[-len(_LAST_CHUNK) :]
        if self.complete:
            self.is_reusable = self._keeps_alive and self._ends_with_response()
        elif self._framing_limit.is_exceeded_by(len(data), self._body_bytes > body_bytes):
            raise InvalidResponseError(
                "the response head, a chunk header or the trailer section is too large"
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a known header; raises InvalidResponseError if one that gives the length is repeated."""
        name = name.lower()
        if self.complete or name not in _KNOWN_FIELDS:
            return
        if name in (b"content-length", b"transfer-encoding") and name in self.headers:
            raise InvalidResponseError("repeated Content-Length or Transfer-Encoding header")
        # llhttp does not recognize a transfer coding that is followed by a tab.
        self.headers[name] = value.strip(b" " if name == b"transfer-encoding" else b" \t")

    def on_headers_complete(self) -> None:
        """Check the head; raises InvalidResponseError."""
        if self.complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._skip_interim_response(status)
            return
        self._check_framing(status)
        self.status = status
        self._check_body_size(self.length)

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if self.complete:
            return
        self._body_bytes += len(data)
        self._pieces.append(data)

    def _store_pieces(self) -> None:
        """Store what was collected; raises InvalidResponseError if the body is too large to be stored.

        The parts are joined: a body may come in chunks of one byte.
        """
        pieces = self._pieces
        if not pieces:
            return
        self._pieces = []
        self._check_body_size(self._body_bytes)
        http.append_part(self.body, b"".join(pieces))

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it is an interim response."""
        if self.status and not self.complete:
            self.complete = True
            self._keeps_alive = self._parser.should_keep_alive()  # only valid in this callback

    def feed_eof(self) -> bool:
        """Handle the end of the stream. Return whether the response is complete."""
        self.complete = self.complete or self._ends_at_eof
        return self.complete

    def is_long(self) -> bool:
        """Return whether a response in progress is to be streamed, as it is too long to be stored."""
        if not self._may_be_streamed() or self.complete or not self.body:
            return False
        if self.length < 0:
            return self._body_bytes > _STREAM_THRESHOLD_BYTES
        return self.length > http.MAX_BUFFERED_BODY

    def take_body(self) -> http.Body:
        """Remove and return the parts of the body received since the last call."""
        body = self.body
        self.body = []
        return body

    def response(self) -> UpstreamResponse:
        """Return the result of the attempt."""
        report = self.headers.get(b"server-load")
        load = http.parse_load_report(report.decode("latin-1")) if report else None
        if self.status == 200:
            return UpstreamResponse(AttemptOutcome.OK, load, self.body)
        # Without this header, the upstream may have started to run the request.
        if self.status in (503, 504) and self.headers.get(b"not-started") == b"1":
            return UpstreamResponse(AttemptOutcome.REJECTED, load)
        return UpstreamResponse(AttemptOutcome.ERROR, load)

    def _may_be_streamed(self) -> bool:
        return self._streams_body and self.status == 200

    def _check_body_size(self, size: int) -> None:
        """Raise InvalidResponseError if a body of this size is too large and cannot be streamed either."""
        if size > http.MAX_BUFFERED_BODY and not self._may_be_streamed():
            raise InvalidResponseError("the body is too large to be stored")

    def _find_body_start(self) -> None:
        """Locate the body if the final head is complete."""
        if self.status >= 200:
            start = 0
            for _ in range(self._interim_responses + 1):
                start = self._head.find(_END_OF_HEAD, start) + len(_END_OF_HEAD)
            self._body_start = start
            self._head = b""

    def _ends_with_response(self) -> bool:
        """Return whether the last byte received is the last byte of the response."""
        if self.chunked:
            return self._tail == _LAST_CHUNK
        return self._received_bytes == self._body_start + self.length

    def _skip_interim_response(self, status: int) -> None:
        self._interim_responses += 1
        if self._interim_responses > _MAX_INTERIM_RESPONSES or status == 101:
            raise InvalidResponseError("too many interim responses, or a protocol switch")
        self.headers.clear()

    def _check_framing(self, status: int) -> None:
        """Require exactly one indication of the end of the body.

        Without one, a truncated response would pass for a complete one. With two, bytes after the response
        could be taken for its body, or a part of its body for bytes after it. The close of the connection
        counts as an indication if the response announces it.
        """
        length = self.headers.get(b"content-length")
        coding = self.headers.get(b"transfer-encoding")
        closes = self.headers.get(b"connection", b"").lower() == b"close"
        self._ends_at_eof = length is None and coding is None and closes and status == 200
        if (length is None) == (coding is None) and not self._ends_at_eof:
            raise InvalidResponseError("neither or both of Content-Length and Transfer-Encoding")
        if coding is not None and coding.strip().lower() != b"chunked":
            raise InvalidResponseError("unsupported transfer coding")
        self.chunked = coding is not None
        if length is not None:
            self.length = int(length)
