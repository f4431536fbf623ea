"""Ends one client connection without the loss of what was written last.

A close over unread bytes resets the connection, and the reset discards output that the peer has not received.
A graceful end therefore shuts down writing, discards what still arrives, and closes after the peer has.
"""

from __future__ import annotations

import asyncio

from indigokeel.net import http
from indigokeel.net.downstream.flow_control import ReadFlow

_MAX_DISCARDED_BYTES = 256 * 1024  # beyond them the peer is left to wait with its output


class ConnectionClose:
    """Close a connection, gracefully or at once, and tell what a close would lose."""

    __slots__ = ("_discarded_bytes", "_flow", "_transport")

    def __init__(self, flow: ReadFlow) -> None:
        self._flow = flow
        self._transport: asyncio.Transport
        self._discarded_bytes = 0

    def connected(self, transport: asyncio.Transport) -> None:
        """Take charge of a transport."""
        self._transport = transport

    def close_gracefully(self) -> bool:
        """Send what was written and then the end of the stream; return False if the transport is closing."""
        if self._transport.is_closing():
            return False
        self._transport.write_eof()
        self._flow.resume()
        return True

    def close_untouched(self) -> None:
        """Close a connection on which nothing was read or written."""
        self._transport.close()

    def abort(self) -> None:
        """Close at once, whatever is unread or unwritten."""
        self._transport.abort()

    def discard(self, data: bytes) -> None:
        """Discard bytes that arrived after the end; leave them with the system beyond a bound."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > _MAX_DISCARDED_BYTES and not self._transport.is_closing():
            self._flow.pause()

    def buffered_bytes(self) -> int:
        """Return the bytes of output that the system has not accepted yet."""
        return self._transport.get_write_buffer_size()

    def has_unwritten_output(self, fd: int) -> bool:
        """Return whether a close would lose output now."""
        return fd >= 0 and (self.buffered_bytes() > 0 or self.unacknowledged_bytes(fd) > 0)

    def pending_output_bytes(self, fd: int, ended: bool) -> int:
        """Return the bytes of output to wait for; after the end, those that a close would lose as well."""
        if fd < 0:
            return 0
        return self.buffered_bytes() + (self.unacknowledged_bytes(fd) if ended else 0)

    @staticmethod
    def unacknowledged_bytes(fd: int) -> int:
        """Return the sent bytes that are not acknowledged, if unread input would make a close a reset."""
        return http.unsent(fd) if http.readable(fd) else 0
