"""Timeouts of a client connection that waits for its client. No I/O; the time is passed in."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

_REQUEST_TIMEOUT_S = 2.5  # from a request's first byte (on a new connection: from the accept) to its last
_MIN_BODY_BYTES_PER_S = 32_000  # a body extends the request timeout at this rate
# Idle connections hold descriptors that other clients need.
_KEEPALIVE_TIMEOUT_S = 2.2
_WRITE_TIMEOUT_S = 5.0  # until the client accepts more of a response
_STREAM_TIMEOUT_S = 10.0  # until the next chunk of a streamed response has arrived and been accepted
_LINGER_TIMEOUT_S = 1.0  # until the client closes, after this side has shut down writing


class AwaitedEvent(Enum):
    """What a client connection waits for; the value is the timeout in seconds."""

    RESPONSE_ACCEPTED = _WRITE_TIMEOUT_S
    RESPONSE_STREAM_CHUNK = _STREAM_TIMEOUT_S
    PEER_CLOSE = _LINGER_TIMEOUT_S
    REST_OF_REQUEST = _REQUEST_TIMEOUT_S
    NEXT_REQUEST = _KEEPALIVE_TIMEOUT_S


@dataclass(slots=True)
class ConnectionActivity:
    """The state of a connection that determines what it waits for."""

    streaming_response: bool
    unwritten_bytes: int  # output that the client has not accepted
    ended: bool  # this side has written its last byte
    receiving_request: bool  # a request has been received in part, or its body is being streamed
    reading_paused: bool  # by this side (backpressure)
    idle: bool  # nothing that was read awaits a response

    def awaited_event(self) -> AwaitedEvent | None:
        """Return what the connection waits for from its client, or None if it waits for this side."""
        if self.streaming_response:
            return AwaitedEvent.RESPONSE_STREAM_CHUNK
        if self.unwritten_bytes:
            return AwaitedEvent.RESPONSE_ACCEPTED
        if self.ended:
            return AwaitedEvent.PEER_CLOSE
        if self.receiving_request:
            return None if self.reading_paused else AwaitedEvent.REST_OF_REQUEST
        return AwaitedEvent.NEXT_REQUEST if self.idle else None


class ClientTimeouts:
    """Track how long a connection has waited for its client."""

    __slots__ = ("_unwritten_bytes", "_waiting_since")

    def __init__(self) -> None:
        self._waiting_since = 0.0
        self._unwritten_bytes = 0  # as of the last check

    def restart(self, now: float) -> None:
        """Start a new wait at ``now``, in monotonic seconds."""
        self._waiting_since = now

    def exclude_pause(self, paused_at: float, now: float) -> None:
        """Exclude the time since ``paused_at``, when this side stopped reading."""
        self._waiting_since += now - max(paused_at, self._waiting_since)

    def elapsed_s(self, now: float) -> float:
        """Return the seconds since the wait began, without excluded pauses."""
        return now - self._waiting_since

    def check(self, now: float, activity: ConnectionActivity, body_bytes: int) -> AwaitedEvent | None:
        """Return the awaited event if it is overdue, else None.

        ``body_bytes`` is the number of bytes received of the current request's body. The wait starts anew if
        the client has accepted some of the output since the last check.
        """
        if activity.unwritten_bytes != self._unwritten_bytes:
            self._unwritten_bytes = activity.unwritten_bytes
            if activity.unwritten_bytes:
                self._waiting_since = now
        awaited = activity.awaited_event()
        if awaited is None:
            return None
        timeout_s: float = awaited.value
        if awaited is AwaitedEvent.REST_OF_REQUEST:
            timeout_s += body_bytes / _MIN_BODY_BYTES_PER_S
        return awaited if now - self._waiting_since > timeout_s else None
