"""Long bodies in transit, with flow control in both directions. No I/O.

A body of at most ``http.MAX_BODY`` bytes is read in full instead.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from indigokeel.net import http

_HIGH_WATER_BYTES = 64 * 1024  # buffered before the source is paused


class Source(Protocol):
    """The connection that a body comes from."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Read again."""


class RequestStreamSource(Source, Protocol):
    """The client connection that a long body comes from."""

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, asked of the system."""


class Reader(Protocol):
    """The receiver of a response's body."""

    def body(self, pieces: http.Body) -> None:
        """Handle a part of the body."""

    def body_ended(self, whole: bool) -> None:
        """Handle the end of the body, which is incomplete unless ``whole``."""


def _do_nothing() -> None:
    """Stand in for a callback that is not set yet."""


class ResponseStream:
    """The body of a long response, from the upstream's connection to the client's.

    ``length`` is in bytes, -1 if the upstream does not give it. ``on_cancel`` closes the connection to it.
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
        """End the stream after its last part."""
        if self.has_ended:
            return
        self.has_ended = True
        self._source.resume()  # for the next response on the connection
        if self._reader is not None:
            self._reader.body_ended(is_complete)

    def pause(self) -> None:
        """Stop the source while the reader cannot take more."""
        if not self.has_ended:
            self._source.pause()

    def resume(self) -> None:
        """Continue after a pause."""
        if not self.has_ended:
            self._source.resume()

    def cancel(self) -> None:
        """Discard the rest of the body; the reader is not notified."""
        if not self.has_ended:
            self.has_ended = True
            self._reader = None
            self.on_cancel()


class Sink(Protocol):
    """The connection that a body goes to."""

    def is_writable(self) -> bool:
        """Return whether all that was written has been sent."""

    def write(self, chunks: http.Body) -> None:
        """Write a part of the body."""


class RequestStream:
    """The body of a long request, from the client's connection to one upstream's.

    ``length`` is in bytes, -1 if the body is chunked. ``is_complete`` is set when its last byte has been
    received, ``is_fully_written`` when that has been written to the upstream.
    """

    __slots__ = (
        "_buffered", "_buffered_bytes", "_is_discarded", "_is_source_paused", "_received_bytes", "_sink",
        "_source", "is_complete", "is_fully_written", "length",
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
        self._is_source_paused = False
        self._is_discarded = False

    def add(self, data: bytes) -> None:
        """Take a part of the body, and pause the source if too much is buffered."""
        if self._is_discarded:
            return
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        self._received_bytes += len(data)
        self.flush()
        if self._buffered_bytes > _HIGH_WATER_BYTES and not self._is_source_paused:
            self._is_source_paused = True
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
        """Write what is buffered, if the sink has sent all that was written before."""
        sink = self._sink
        if sink is None or self.is_fully_written or not sink.is_writable():
            return
        # An upstream starts a request with its last byte. While the source was paused, the disconnect of its
        # client was not read.
        is_last = self.is_complete or self._received_bytes == self.length
        if is_last and self._source.has_disconnected():
            return
        chunks = self._buffered
        self._buffered = []
        self._buffered_bytes = 0
        if self.length < 0:
            chunks = http.chunk(chunks, self.is_complete)
        self.is_fully_written = self.is_complete
        if chunks:
            sink.write(chunks)
        self._resume_source()

    def discard(self) -> None:
        """Drop what is buffered and all that follows."""
        self._is_discarded = True
        self._sink = None
        self._buffered_bytes = 0
        self._buffered.clear()
        self._resume_source()

    def buffered(self) -> http.Body:
        """Return what has been received and not written."""
        return self._buffered

    def _resume_source(self) -> None:
        if self._is_source_paused:
            self._is_source_paused = False
            self._source.resume()
