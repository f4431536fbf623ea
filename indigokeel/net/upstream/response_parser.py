"""One exchange with an upstream over HTTP/1.1, without I/O: the answer that is owed, read and judged."""

from __future__ import annotations

import httptools

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.net import http
from indigokeel.net.messages import UpstreamResponse

_MOST_AHEAD = 16  # 1xx answers before the final one
_EARLY = 16 * 1024  # bytes of a body without a length, from where it is passed on before its end


class InvalidResponseError(Exception):
    """An answer that cannot be trusted to be whole, or to be an answer at all."""


class ResponseParser:
    """Reads the one answer that is owed on a connection. httptools calls the ``on_`` methods."""

    __slots__ = (
        "_ahead", "_body_at", "_got", "_head", "_keep", "_parser", "_size", "_tail", "_to_the_end", "body",
        "chunked", "clean", "complete", "headers", "length", "status",
    )  # fmt: skip

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._ahead = 0  # 1xx answers so far
        self._got = self._size = 0  # bytes in all, and of the body
        self._tail = b""  # the last bytes, of an answer in chunks
        self._head = b""  # the bytes up to the body, while that has not begun
        self._body_at = -1
        self.headers: dict[bytes, bytes] = {}
        self.body: http.Body = []
        self.length = -1
        self.chunked = self.complete = self._keep = self._to_the_end = False
        self.status = 0
        self.clean = False  # complete, with nothing behind it: the connection may serve again

    def feed(self, data: bytes) -> None:
        """Take in bytes; raises UnsoundError on an answer that will never be one."""
        self._got += len(data)
        if self._body_at < 0:
            self._head += data
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:  # else it is what came behind a good answer
                raise InvalidResponseError(str(error)) from None
            return
        if self._body_at < 0:
            if self.status >= 200:
                at = 0
                for _ in range(self._ahead + 1):
                    at = self._head.find(b"\r\n\r\n", at) + 4
                self._body_at, self._head = at, b""
            elif len(self._head) > http.MAX_HEAD:
                raise InvalidResponseError("a head without an end")
        if self.chunked:
            self._tail = (self._tail + data[-5:])[-5:]
        if self.complete:
            # Guards against the answer that brings more than belongs to it: what is left over would pass
            # for the next request's answer. llhttp skips empty lines, so the bytes are counted.
            ends = self._tail == b"0\r\n\r\n" if self.chunked else self._got == self._body_at + self.length
            self.clean = ends and self._keep

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if self.complete:
            return
        if name in (b"content-length", b"transfer-encoding") and name in self.headers:
            raise InvalidResponseError("two lengths")
        # A coding with a tab behind it is none to llhttp, so it must be none here.
        self.headers[name] = value.strip(b" " if name == b"transfer-encoding" else b" \t")

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._ahead += 1
            if self._ahead > _MOST_AHEAD or status == 101:
                raise InvalidResponseError("an answer that does not come")
            self.headers.clear()
            return
        # An answer says in one way, and one way only, where it ends. Without a length a broken one passes
        # for whole; with two, what follows it may be taken for its body or the other way round.
        length, coding = self.headers.get(b"content-length"), self.headers.get(b"transfer-encoding")
        # The end of the connection is one too, where the answer announces it; a broken one ends otherwise.
        last = self.headers.get(b"connection", b"").lower() == b"close"
        self._to_the_end = length is None and coding is None and last and status == 200
        if (length is None) == (coding is None) and not self._to_the_end:
            raise InvalidResponseError("no length, or two")
        if coding is not None and coding.strip().lower() != b"chunked":
            raise InvalidResponseError("a coding that nobody asked for")
        self.chunked = coding is not None
        if length is not None:
            self.length = int(length)
        if status != 200 and self.length > http.MAX_BODY:
            raise InvalidResponseError("an error at length")
        self.status = status

    def on_body(self, data: bytes) -> None:
        if self.complete:
            return
        self._size += len(data)
        if self._size > http.MAX_BODY and self.status != 200:
            raise InvalidResponseError("an error at length")
        self.body.append(data)

    def on_message_complete(self) -> None:
        if self.status and not self.complete:
            self.complete = True
            self._keep = self._parser.should_keep_alive()  # known only here

    def long(self) -> bool:
        """Whether it is a good answer so far, and too long to be read whole."""
        if self.status != 200 or self.complete or not self.body:
            return False
        return self.length > http.MAX_BODY or (self.length < 0 and self._size > _EARLY)

    def ends_here(self) -> bool:
        """Told that the connection has ended in order: whether that makes it complete."""
        self.complete = self.complete or self._to_the_end
        return self.complete

    def take(self) -> http.Body:
        """What of the body has come since the last call."""
        body, self.body = self.body, []
        return body

    def response(self) -> UpstreamResponse:
        """What the complete answer means for the attempt."""
        report = self.headers.get(b"server-load")
        load = http.load_figures(report.decode("latin-1")) if report else None
        if self.status == 200:
            return UpstreamResponse(AttemptOutcome.OK, load, self.body)
        # Only the upstream's own word proves that it never began.
        if self.status in (503, 504) and self.headers.get(b"not-started") == b"1":
            return UpstreamResponse(AttemptOutcome.REJECTED, load)
        return UpstreamResponse(AttemptOutcome.ERROR, load)
