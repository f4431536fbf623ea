"""Closes one client connection without losing the output that was written last.

Closing a socket with unread input resets the connection, and the reset discards output that the client has
not received. A graceful close therefore shuts down writing, discards further input, and closes the socket
after the client has closed its side.
"""

from __future__ import annotations

import asyncio

from indigokeel.net import http
from indigokeel.net.downstream.flow_control import ReadFlow

_MAX_DISCARDED_BYTES = 256 * 1024  # beyond that nothing more is read, and the client's output waits


class ConnectionClose:
    """Close a connection, gracefully or at once, and report the output that a close would lose."""

    __slots__ = ("_discarded_bytes", "_flow", "_transport")

    def __init__(self, flow: ReadFlow) -> None:
        self._flow = flow
        self._transport: asyncio.Transport
        self._discarded_bytes = 0

    def connected(self, transport: asyncio.Transport) -> None:
        """Set the transport that is to be closed."""
        self._transport = transport

    def close_gracefully(self) -> bool:
        """Send the remaining output and the end of the stream; return False if the transport is closing."""
        if self._transport.is_closing():
            return False
        self._transport.write_eof()
        self._flow.resume()
        return True

    def close_unused(self) -> None:
        """Close a connection on which nothing was read or written."""
        self._transport.close()

    def abort(self) -> None:
        """Close at once, whatever is unread or unwritten."""
        self._transport.abort()

    def discard(self, data: bytes) -> None:
        """Discard input that arrived after the end; beyond a limit, stop reading it."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > _MAX_DISCARDED_BYTES and not self._transport.is_closing():
            self._flow.pause()

    def buffered_bytes(self) -> int:
        """Return the number of output bytes that the system has not accepted yet."""
        return self._transport.get_write_buffer_size()

    def has_unwritten_output(self, fd: int) -> bool:
        """Return whether a close now would lose output."""
        return fd >= 0 and (self.buffered_bytes() > 0 or self.unacknowledged_bytes(fd) > 0)

    def pending_output_bytes(self, fd: int, ended: bool) -> int:
        """Return the number of output bytes to wait for.

        After the end these include the bytes that a close would lose.
        """
        if fd < 0:
            return 0
        return self.buffered_bytes() + (self.unacknowledged_bytes(fd) if ended else 0)

    @staticmethod
    def unacknowledged_bytes(fd: int) -> int:
        """Return the number of sent bytes that the client's system has not acknowledged.

        It is 0 without unread input, for then a close does not reset the connection.
        """
        return http.unacknowledged_bytes(fd) if http.is_readable(fd) else 0
