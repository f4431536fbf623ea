"""The queued input of one client connection. No I/O.

It consists of complete requests that wait for their turn, in order, and of the unparsed bytes behind them.

llhttp parses all bytes that it is given and cannot be interrupted, so it is given slices. This limits the
memory of one connection to MAX_QUEUED_REQUESTS, the requests in one slice, and the bytes of one read.
"""

from __future__ import annotations

from dataclasses import dataclass

from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.http import RequestError

MAX_QUEUED_REQUESTS = 8  # behind the one being served; at this number reading pauses
_MAX_QUEUED_BYTES = 64 * 1024  # of these requests; once they hold more, reading pauses
SLICE_BYTES = 2 * 1024  # parsed at a time, in addition to the rest of a body
_CHUNKED_BODY_SLICE_BYTES = 16 * 1024  # parsed at a time within a chunked body, whose end is not known


@dataclass(slots=True)
class PendingRequest:
    """A request that awaits its response.

    It has either a request to serve (``received``) or an error to respond with; with neither it is a health
    check.
    """

    arrived_at: float  # monotonic seconds at which its last byte may have arrived
    keep_alive: bool  # as the client asked
    received: ReceivedRequest | None = None
    error: RequestError | None = None

    def held_bytes(self) -> int:
        """Return the memory that the request takes."""
        return 0 if self.received is None else self.received.held_bytes()


class Pipeline:
    """Queue the requests that were read before their turn, and the unparsed bytes behind them."""

    __slots__ = ("_bytes", "_requests", "_start", "arrived_at", "queued_bytes", "read_at", "total_queued")

    def __init__(self) -> None:
        self._requests: list[PendingRequest] = []  # not a deque: an empty one is ten times as large
        self.queued_bytes = 0  # memory that the requests take
        self._bytes = b""
        self._start = 0  # index of the first unparsed byte
        self.arrived_at = 0.0  # monotonic seconds at which the newest bytes may have arrived
        self.read_at = 0.0  # monotonic seconds at which they were read
        self.total_queued = 0  # requests ever queued

    def is_empty(self) -> bool:
        """Return whether neither requests nor bytes are waiting."""
        return not self._requests and not self._bytes

    def is_full(self) -> bool:
        """Return whether so many requests are queued that reading has to pause."""
        return len(self._requests) >= MAX_QUEUED_REQUESTS or self.queued_bytes > _MAX_QUEUED_BYTES

    def held_bytes(self) -> int:
        """Return the memory that the requests and the unparsed bytes take."""
        return self.queued_bytes + len(self._bytes)

    def append(self, request: PendingRequest) -> None:
        """Queue a request behind the others."""
        self._requests.append(request)
        self.queued_bytes += request.held_bytes()
        self.total_queued += 1

    def first(self) -> PendingRequest | None:
        """Return the request whose turn it is, if any."""
        return self._requests[0] if self._requests else None

    def pop(self) -> PendingRequest:
        """Remove the first request and return it."""
        request = self._requests.pop(0)
        self.queued_bytes -= request.held_bytes()
        return request

    def fail_requests(self, error: RequestError) -> None:
        """Replace each queued request by this error, unless it has one already."""
        for request in self._requests:
            request.received = None
            request.error = request.error or error
        self.queued_bytes = 0

    def clear(self) -> None:
        """Drop all requests and bytes."""
        self._requests.clear()
        self.queued_bytes = 0
        self.drop_bytes()

    # --- bytes ----------------------------------------------------------------------------------------

    def has_unparsed_bytes(self) -> bool:
        """Return whether bytes are waiting to be parsed."""
        return bool(self._bytes)

    def unparsed_bytes(self) -> int:
        """Return the number of bytes that are waiting to be parsed."""
        return len(self._bytes) - self._start

    def append_bytes(self, data: bytes, arrived_at: float, read_at: float) -> None:
        """Queue bytes that were read and may have arrived at ``arrived_at``, in monotonic seconds."""
        self.arrived_at = arrived_at
        self.read_at = read_at
        self._bytes = self._bytes[self._start :] + data if self._bytes else data
        self._start = 0

    def next_slice(self, remaining_body_bytes: int) -> bytes | memoryview:
        """Remove and return the next bytes to parse.

        ``remaining_body_bytes`` is the number of bytes up to the end of the current body: 0 outside of
        bodies, -1 in a chunked one.
        """
        size = _CHUNKED_BODY_SLICE_BYTES if remaining_body_bytes < 0 else remaining_body_bytes + SLICE_BYTES
        start = self._start
        end = start + size
        if end < len(self._bytes):
            self._start = end
            return memoryview(self._bytes)[start:end]
        data = self._bytes
        self.drop_bytes()
        return memoryview(data)[start:] if start else data

    def drop_bytes(self) -> None:
        """Drop the unparsed bytes."""
        self._bytes = b""
        self._start = 0
