"""Reads from a non-blocking socket when the event loop reports it as readable."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from typing import Protocol

from indigokeel.net.errors import ErrorCategory, SocketOperation, classify_errno
from indigokeel.net.upstream.backoff import LocalRetryDelays

_READ_BYTES = 16 * 1024  # at most, per read


class ReadHandler(Protocol):
    """The receiver of read data and of the end of the stream."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_read_end(self, at_eof: bool) -> None:
        """Handle the end of the stream, or (not ``at_eof``) an error of the connection."""

    def expects_data(self) -> bool:
        """Return whether a response may be expected."""

    def schedule_read(self, read: Callable[[], None], is_small: bool) -> None:
        """Call ``read`` now, or once the event loop has time; ``is_small`` if little data is expected."""


class SocketReader:
    """Reads from one socket. Reading can be paused, and reads that fail locally are retried."""

    __slots__ = (
        "_handler", "_is_read_scheduled", "_last_read_bytes", "_loop", "_poll", "_retry_delays",
        "_retry_timer", "_sock", "_watching",
    )  # fmt: skip

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handler: ReadHandler, retry_delays: LocalRetryDelays
    ) -> None:
        self._loop = loop
        self._handler = handler
        self._sock: socket.socket | None = None
        self._poll: select.poll | None = None
        self._watching = False
        self._is_read_scheduled = False
        self._last_read_bytes = 0
        self._retry_timer: asyncio.TimerHandle | None = None
        self._retry_delays = retry_delays

    def start(self, sock: socket.socket) -> None:
        """Start reading; raises OSError if the event loop cannot register the socket."""
        self._loop.add_reader(sock.fileno(), self._on_readable)
        self._sock = sock
        self._watching = True

    def pause(self) -> None:
        """Stop reading, so that the peer is blocked once the socket buffers are full."""
        self._cancel_retry()
        if self._watching and self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._watching = False

    def resume(self) -> None:
        """Continue reading after a pause."""
        self._cancel_retry()
        if self._sock is not None and not self._watching:
            self._loop.add_reader(self._sock.fileno(), self._on_readable)
            self._watching = True

    def has_no_pending_events(self) -> bool:
        """Poll the socket. Return whether it has no unread data, end of stream or error."""
        return self._sock is not None and not self._poll_events()

    def close(self) -> None:
        """Stop reading permanently; the socket stays open."""
        self.pause()
        self._sock = None
        self._poll = None

    def detach(self) -> None:
        """Stop reading from a descriptor that may belong to another owner by now."""
        if self._watching and self._sock is not None:
            self._watching = False
            self._loop.remove_reader(self._sock.fileno())

    def _on_readable(self) -> None:
        if self._is_read_scheduled:  # the event loop reports the socket again in each turn until it is read
            return
        self._is_read_scheduled = True
        self._handler.schedule_read(self._read, self._last_read_bytes < _READ_BYTES)

    def _read(self) -> None:
        self._is_read_scheduled = False
        if not self._watching:  # paused or closed since
            return
        self._receive()
        # uvloop reports data and a reset that follows it as one event, so the socket is polled for an error
        # while a response is expected. An idle connection is checked before its next use.
        while self._watching and self._handler.expects_data() and self._has_error():
            self._receive()

    def _receive(self) -> None:
        sock = self._sock
        if sock is None:
            return
        try:
            data = sock.recv(_READ_BYTES)
        except OSError as error:
            self._on_error(error)
            return
        self._retry_delays.reset()
        self._last_read_bytes = len(data)
        if data:
            self._handler.on_data(data)
        else:
            self._handler.on_read_end(at_eof=True)

    def _on_error(self, error: OSError) -> None:
        match classify_errno(error.errno, SocketOperation.READ):
            case ErrorCategory.LOCAL:
                self.pause()
                self._retry_timer = self._loop.call_later(self._retry_delays.next_delay_s(), self.resume)
            case ErrorCategory.UPSTREAM:
                self._handler.on_read_end(at_eof=False)

    def _has_error(self) -> bool:
        """Poll the socket. Return whether an error is pending, possibly after unread data."""
        return any(events & select.POLLERR for _, events in self._poll_events())

    def _poll_events(self) -> list[tuple[int, int]]:
        """Poll the socket. Return its pending events, or none if the poll fails."""
        if self._poll is None:
            if self._sock is None:
                return []
            self._poll = select.poll()
            self._poll.register(self._sock.fileno(), select.POLLIN)
        try:
            return self._poll.poll(0)
        except OSError:
            return []

    def _cancel_retry(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
