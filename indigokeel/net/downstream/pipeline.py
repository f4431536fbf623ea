"""What of one client connection was read and has no answer yet: whole requests in their order, and bytes that
are not parsed. No I/O.

llhttp parses all that it is given and cannot be told to stop, so bytes are handed to it in slices. With that
the memory of one connection is bounded by MOST_AHEAD requests, as many as one slice can hold, and the bytes
of one read.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from indigokeel.net.http import RequestError
from indigokeel.net.messages import OutboundRequest
from indigokeel.requests.effects import Request

MOST_AHEAD = 8  # requests behind the one in service; nothing more is read until there are fewer
_SLICE = 2 * 1024  # bytes, beside the rest of a body, that are parsed at a time
_BODY_SLICE = 16 * 1024  # of a body in chunks, of which nothing tells where it ends


@dataclass(slots=True)
class PendingRequest:
    """A request that is owed its answer: ``request`` to be served, ``error`` to be told, or, without either,
    a health check."""

    arrived: float  # clock time at which its last byte was read, in s
    keep_alive: bool  # as its client asked
    request: tuple[Request, OutboundRequest] | None = None
    error: RequestError | None = None


class Pipeline:
    """The requests of one connection that were read ahead of their turn, and the bytes behind them."""

    __slots__ = ("_bytes", "_requests", "_start", "queued")

    def __init__(self) -> None:
        self._requests: deque[PendingRequest] = deque()
        self._bytes = b""
        self._start = 0  # of what is not parsed
        self.queued = 0  # requests so far

    def empty(self) -> bool:
        """Whether nothing waits, neither requests nor bytes."""
        return not self._requests and not self._bytes

    def full(self) -> bool:
        """Whether so many requests wait that nothing more is to be read."""
        return len(self._requests) >= MOST_AHEAD

    def add(self, request: PendingRequest) -> None:
        """One more, behind the others."""
        self._requests.append(request)
        self.queued += 1

    def first(self) -> PendingRequest | None:
        """Whose turn it is."""
        return self._requests[0] if self._requests else None

    def pop(self) -> PendingRequest:
        """Take the first out."""
        return self._requests.popleft()

    def fail(self, error: RequestError) -> None:
        """What waits to be served, or is a health check, gets this error in its place."""
        for request in self._requests:
            request.request = None
            request.error = request.error or error

    def clear(self) -> None:
        """Nobody waits for any of it."""
        self._requests.clear()
        self.drop_bytes()

    # --- bytes ----------------------------------------------------------------------------------------

    def unparsed(self) -> bool:
        """Whether bytes are left to parse."""
        return bool(self._bytes)

    def hold(self, data: bytes) -> None:
        """Take in what was read."""
        self._bytes = self._bytes[self._start :] + data if self._bytes else data
        self._start = 0

    def next_slice(self, body_left: int) -> bytes | memoryview:
        """The next bytes to parse. ``body_left``: bytes until the end of the body that is being read, 0
        between bodies, -1 where it comes in chunks."""
        size = _BODY_SLICE if body_left < 0 else body_left + _SLICE
        start, end = self._start, self._start + size
        if end < len(self._bytes):
            self._start = end
            return memoryview(self._bytes)[start:end]
        data = self._bytes
        self.drop_bytes()
        return memoryview(data)[start:] if start else data

    def drop_bytes(self) -> None:
        """They are not parsed any more."""
        self._bytes, self._start = b"", 0
