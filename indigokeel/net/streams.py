"""Streams of long bodies between client and upstream, with flow control. No I/O.

A body of at most ``http.MAX_BUFFERED_BODY`` bytes is buffered whole instead.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from indigokeel.net import http

_HIGH_WATER_BYTES = 64 * 1024  # buffered bytes above which the source is paused


class Source(Protocol):
    """The connection from which a body is read."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Start reading again."""


class RequestStreamSource(Source, Protocol):
    """The client connection from which the body of a long request is read."""

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, by a query of the socket."""


class Reader(Protocol):
    """The receiver of the body of a response."""

    def body(self, pieces: http.Body) -> None:
        """Handle a part of the body."""

    def body_ended(self, is_complete: bool) -> None:
        """Handle the end of the body, which is truncated unless ``whole``."""


def _do_nothing() -> None:
    """Do nothing, as the default of a callback that is not set yet."""


class ResponseStream:
    """The body of a long response, from the upstream connection to the client connection.

    ``length`` is in bytes, or -1 if the upstream does not state it. ``on_cancel`` closes the upstream
    connection.
    """

    __slots__ = ("_reader", "_source", "has_ended", "length", "on_cancel")

    def __init__(self, source: Source, length: int) -> None:
        self.length = length
        self.has_ended = False
        self.on_cancel: Callable[[], None] = _do_nothing
        self._source = source
        self._reader: Reader | None = None

    @property
    def is_attached(self) -> bool:
        """Whether the stream has a reader."""
        return self._reader is not None

    def attach(self, reader: Reader) -> None:
        """Set the receiver of the body."""
        self._reader = reader

    def feed(self, chunks: http.Body) -> None:
        """Pass a part of the body to the reader."""
        if self._reader is not None and chunks:
            self._reader.body(chunks)

    def end(self, is_complete: bool) -> None:
        """End the stream, after the last part of the body."""
        if self.has_ended:
            return
        self.has_ended = True
        self._source.resume()  # so that the next response on the connection is read
        if self._reader is not None:
            self._reader.body_ended(is_complete)

    def pause(self) -> None:
        """Pause the source while the reader cannot accept more."""
        if not self.has_ended:
            self._source.pause()

    def resume(self) -> None:
        """Resume the source after a pause."""
        if not self.has_ended:
            self._source.resume()

    def cancel(self) -> None:
        """Discard the rest of the body; the reader is not notified."""
        if not self.has_ended:
            self.has_ended = True
            self._reader = None
            self.on_cancel()


class Sink(Protocol):
    """The connection to which a body is written."""

    def is_writable(self) -> bool:
        """Return whether everything written so far has been sent."""

    def write(self, chunks: http.Body) -> None:
        """Write a part of the body."""


class RequestStream:
    """The body of a long request, from the client connection to one upstream connection.

    ``length`` is in bytes, or -1 if the body is chunked. ``is_complete`` is set when the last byte has been
    received, ``is_fully_written`` when it has been written to the upstream. ``is_source_paused`` is set while
    too much is buffered.
    """

    __slots__ = (
        "_buffered", "_buffered_bytes", "_flushed_bytes", "_is_discarded", "_received_bytes", "_sink",
        "_source", "is_complete", "is_fully_written", "is_source_paused", "length",
    )  # fmt: skip

    def __init__(self, source: RequestStreamSource, length: int, received: http.Body) -> None:
        self.length = length
        self.is_complete = False
        self.is_fully_written = False
        self._source = source
        self._sink: Sink | None = None
        self._buffered = received
        self._buffered_bytes = sum(map(len, received))
        self._received_bytes = self._buffered_bytes
        self._flushed_bytes = 0  # by the last write to the sink, which may not have sent them yet
        self.is_source_paused = False
        self._is_discarded = False

    def add(self, data: bytes) -> None:
        """Buffer a part of the body, and pause the source if too much is buffered."""
        if self._is_discarded:
            return
        http.append_part(self._buffered, data)
        self._buffered_bytes += len(data)
        self._received_bytes += len(data)
        self.flush()
        if self._buffered_bytes > _HIGH_WATER_BYTES and not self.is_source_paused:
            self.is_source_paused = True
            self._source.pause()

    def end(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self.flush()

    def attach(self, sink: Sink) -> None:
        """Set the connection to write to."""
        self._sink = sink
        self.flush()

    def flush(self) -> None:
        """Write the buffered data, if the sink has sent everything written before."""
        sink = self._sink
        if sink is None or self.is_fully_written or not sink.is_writable():
            return
        # An upstream runs a request once it has its last byte. A disconnect of the client is not noticed
        # while the source is paused, so the socket is queried before that byte is written.
        is_last = self.is_complete or self._received_bytes == self.length
        if is_last and self._source.has_disconnected():
            return
        chunks = self._buffered
        self._flushed_bytes = self._buffered_bytes
        self._buffered = []
        self._buffered_bytes = 0
        if self.length < 0:
            chunks = http.encode_chunk(chunks, self.is_complete)
        self.is_fully_written = self.is_complete
        if chunks:
            sink.write(chunks)
        self._resume_source()

    def discard(self) -> None:
        """Discard the buffered data and all that follows."""
        self._is_discarded = True
        self._sink = None
        self._buffered_bytes = 0
        self._buffered.clear()
        self._resume_source()

    def buffered(self) -> http.Body:
        """Return the data that was received but not written yet."""
        return self._buffered

    def held_bytes(self) -> int:
        """Return the number of bytes that were received and not sent yet."""
        unsent_bytes = 0 if self._sink is None or self._sink.is_writable() else self._flushed_bytes
        return self._buffered_bytes + unsent_bytes

    def _resume_source(self) -> None:
        if self.is_source_paused:
            self.is_source_paused = False
            self._source.resume()
