"""Long bodies on their way, in pieces, with no more of them here than both sides' pace asks for. No I/O.

A body within ``http.MAX_BODY`` never comes here: it is read whole.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from indigokeel.net import http

_HIGH = 64 * 1024  # bytes that wait here before the side they come from is told to stop


class Source(Protocol):
    """The connection that a body comes from."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class RequestStreamSource(Source, Protocol):
    """The client connection that a long body comes from."""

    def has_disconnected(self) -> bool:
        """Whether the client has closed, asked of the system."""


class Reader(Protocol):
    """Who takes an answer's body."""

    def body(self, pieces: http.Body) -> None: ...

    def body_ended(self, whole: bool) -> None:
        """``whole``: else it broke off, and its taker has to show that."""


class ResponseStream:
    """A long answer, from the upstream's connection to the client's. ``length`` in bytes, -1 where the
    upstream tells none."""

    __slots__ = ("_drop", "_reader", "_source", "length", "over")

    def __init__(self, source: Source, length: int) -> None:
        self._source, self.length = source, length
        self._reader: Reader | None = None
        self._drop: Callable[[], None] = lambda: None
        self.over = False

    def owned(self, drop: Callable[[], None]) -> None:
        """``drop`` closes the connection that it comes from."""
        self._drop = drop

    def taken(self) -> bool:
        return self._reader is not None

    def attach(self, reader: Reader) -> None:
        self._reader = reader

    def feed(self, pieces: http.Body) -> None:
        if self._reader is not None and pieces:
            self._reader.body(pieces)

    def end(self, whole: bool) -> None:
        """The last of it was fed, or no more will come."""
        if not self.over:
            self.over = True
            self._source.resume()  # whatever it is used for next
            if self._reader is not None:
                self._reader.body_ended(whole)

    def wait(self) -> None:
        """The reader cannot take more now."""
        if not self.over:
            self._source.pause()

    def go_on(self) -> None:
        if not self.over:
            self._source.resume()

    def abandon(self) -> None:
        """Nobody wants the rest."""
        if not self.over:
            self.over, self._reader = True, None
            self._drop()


class Sink(Protocol):
    """The connection that a body goes to."""

    def clear(self) -> bool:
        """Whether all that was written has been taken."""

    def write(self, pieces: http.Body) -> None: ...


class RequestStream:
    """A long body of a request, from the client's connection to an upstream's, once. ``length`` in bytes,
    -1 where it comes in chunks."""

    __slots__ = (
        "_came", "_dropped", "_held", "_holding", "_sink", "_size", "_source", "length", "passed", "whole",
    )  # fmt: skip

    def __init__(self, source: RequestStreamSource, length: int, held: http.Body) -> None:
        self._source, self.length, self._held = source, length, held
        self._size = self._came = sum(map(len, held))  # bytes here, and in all so far
        self._sink: Sink | None = None
        self._holding = self._dropped = False
        self.whole = False  # its last byte is here
        self.passed = False  # ... and was written on

    def add(self, data: bytes) -> None:
        if self._dropped:
            return
        self._held.append(data)
        self._size += len(data)
        self._came += len(data)
        self.flush()
        if self._size > _HIGH and not self._holding:
            self._holding = True
            self._source.pause()

    def end(self) -> None:
        self.whole = True
        self.flush()

    def attach(self, sink: Sink) -> None:
        self._sink = sink
        self.flush()

    def flush(self) -> None:
        """Write on what is here, if what was written before has been taken."""
        sink = self._sink
        if sink is None or self.passed or not sink.clear():
            return
        # For the upstream an attempt begins with the last byte. Guards against the client that left while
        # nothing was read of it, because this side was full.
        last = self.whole or self._came == self.length
        if last and self._source.has_disconnected():
            return
        pieces, self._held, self._size = self._held, [], 0
        if self.length < 0:
            pieces = http.chunk(pieces, self.whole)
        self.passed = self.whole
        if pieces:
            sink.write(pieces)
        self._release()

    def drop(self) -> None:
        """Nobody wants the rest: it is read and thrown away."""
        self._dropped, self._sink, self._size = True, None, 0
        self._held.clear()
        self._release()

    def all(self) -> http.Body:
        """Everything, where it came whole before it was passed on."""
        return self._held

    def _release(self) -> None:
        if self._holding:
            self._holding = False
            self._source.resume()
