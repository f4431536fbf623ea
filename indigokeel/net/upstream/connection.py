"""A connection to an upstream, from the connect to the close.

The socket is used directly, without a transport of the event loop, so that each operation has taken effect
when its call returns and nothing is awaited. With uvloop's ``create_connection``, a connect that is cancelled
just as it completes closes the transport without notifying the protocol.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from indigokeel.net.errors import ErrorCategory, LocalError, SocketOperation, classify_errno, make_os_error
from indigokeel.net.upstream.backoff import LocalRetryDelays
from indigokeel.net.upstream.connection_table import UNUSED_STATES, ConnectionState
from indigokeel.net.upstream.socket_reader import SocketReader
from indigokeel.net.upstream.socket_writer import SocketWriter

_UNKNOWN_ERRNO = -1  # for errors without an errno, such as a name that cannot be resolved


@dataclass(frozen=True, slots=True)
class CloseReason:
    """The reason why a connection was closed."""

    has_unsent_data: bool = False  # whether the kernel had not accepted all written bytes
    at_eof: bool = False  # whether the peer closed the connection without an error
    is_local_error: bool = False


class ConnectionHandler(Protocol):
    """The implementation of the protocol that is spoken on a connection."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_writable(self) -> None:
        """Handle that the kernel has accepted all bytes, after a write that it did not accept in full."""

    def on_closed(self, reason: CloseReason) -> None:
        """Handle the close of the connection, unless ``UpstreamConnection.close`` was called."""


class ConnectionOwner(Protocol):
    """The owner of connections, notified of changes that it has not made itself."""

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Handle a successful connect."""

    def on_closed(self, connection: UpstreamConnection, error: OSError | None) -> None:
        """Handle the close of a connection; ``error`` is the reason if its connect failed."""

    def on_handler_error(self, error: Exception) -> None:
        """Handle an unexpected exception in a connection's handler."""

    def schedule_read(self, read: Callable[[], None], is_small: bool) -> None:
        """Call ``read`` now, or once the event loop has time; ``is_small`` if little data is expected."""

    def on_unexpected_data(self, connection: UpstreamConnection) -> None:
        """Handle bytes that belong to no response; the connection is closed afterwards."""


class UpstreamConnection:
    """A connection, which owns its socket. Only the connection table changes ``state``."""

    __slots__ = (
        "_connect_timeout_s", "_connect_timer", "_loop", "_owner", "_reader", "_sock", "_watching_connect",
        "_writer", "address", "calls", "fd", "handler", "idle_since", "inode", "state", "upstream",
    )  # fmt: skip

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        owner: ConnectionOwner,
        upstream: str,
        address: tuple[str, int],
    ) -> None:
        self._loop = loop
        self._owner = owner
        self.upstream = upstream
        self.address = address
        self.state = ConnectionState.OPENING
        self.fd = -1
        self.inode = 0  # of the socket, compared by the descriptor audit
        self.calls = 0  # in progress
        self.idle_since = 0.0
        self.handler: ConnectionHandler | None = None
        self._sock: socket.socket | None = None
        retry_delays = LocalRetryDelays()
        self._reader = SocketReader(loop, self, retry_delays)
        self._writer = SocketWriter(loop, self, retry_delays)
        self._connect_timeout_s = 0.0
        self._connect_timer: asyncio.TimerHandle | None = None
        self._watching_connect = False

    def open(self, timeout_s: float) -> None:
        """Start to connect; the owner is notified of the result within ``timeout_s`` seconds.

        Raise OSError if the connect fails at once, or LocalError if the cause is on this machine.
        """
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        except OSError as error:
            raise make_os_error(error.errno, SocketOperation.PREPARE) from error
        self._connect_timeout_s = timeout_s
        try:
            self._connect(sock)
        except BaseException:
            self._stop_watching_connect()
            self.fd = -1
            with contextlib.suppress(OSError):
                sock.close()
            raise
        self._sock = sock

    def check_connected(self) -> bool:
        """Check whether the connect has completed by now. Return whether it has succeeded.

        A delayed event loop runs its timers before it polls its sockets, so a timeout may precede the event
        of a connect that has completed in time.
        """
        if self._sock is None or self.state is not ConnectionState.OPENING:
            return False
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        try:
            if not poll.poll(0):
                return False
        except OSError:
            return False
        self._on_connect_event()
        return self.state is not ConnectionState.OPENING and self._sock is not None

    def write_first(self, chunks: Sequence[bytes]) -> bool:
        """Write the start of a message and return the result as ``write`` does.

        Raise LocalError, with nothing written, if the write fails for lack of a local resource.
        """
        return self._writer.write(chunks, True)

    def write(self, chunks: Sequence[bytes]) -> bool:
        """Write, and keep the bytes that the kernel does not accept yet to write them later.

        Return False if the connection is broken and not all was written; the caller has to close it.
        """
        return self._writer.write(chunks)

    def pause(self) -> None:
        """Stop reading until ``resume`` is called."""
        self._reader.pause()

    def resume(self) -> None:
        """Continue reading after a pause."""
        self._reader.resume()

    def has_no_pending_events(self) -> bool:
        """Poll the socket. Return whether it has no unread data, end of stream or error."""
        return self._reader.has_no_pending_events()

    def has_unsent_data(self) -> bool:
        """Return whether written bytes are unsent or lost, so that the connection cannot be reused."""
        return self._sock is None or self._writer.has_unsent

    def close(self) -> None:
        """Close the connection at once, without notifying the handler or the owner. Idempotent."""
        sock = self._sock
        if sock is None:
            return
        self._sock = None
        self._cancel_connect_timer()
        self._stop_watching_connect()
        self._reader.close()
        self._writer.close()
        self.fd = -1
        self.handler = None
        with contextlib.suppress(OSError):  # close(2) releases the descriptor even if it fails
            sock.close()

    def detach(self) -> None:
        """Abandon a descriptor that may belong to another owner by now, and notify the handler."""
        if self._sock is not None:
            for stop_watching in (self._reader.detach, self._writer.detach, self._stop_watching_connect):
                with contextlib.suppress(Exception):  # the new owner may have registered the same number
                    stop_watching()
            self._sock.detach()
        handler = self.handler
        self.close()
        if handler is not None:
            handler.on_closed(CloseReason())

    def on_data(self, data: bytes) -> None:
        """Pass received bytes to the handler (ReadHandler)."""
        handler = self.handler
        if handler is None or self.state in UNUSED_STATES:
            self.reject_data()
            return
        try:
            handler.on_data(data)
        except Exception as error:
            self._owner.on_handler_error(error)
            self._fail(None)

    def reject_data(self) -> None:
        """Close the connection because of bytes that belong to no response."""
        self._owner.on_unexpected_data(self)
        self._fail(None)

    def on_read_end(self, at_eof: bool) -> None:
        """Close the connection and notify the handler and the owner (ReadHandler)."""
        self._fail(None, at_eof)

    def expects_data(self) -> bool:
        """Return whether a response may be expected (ReadHandler)."""
        return self.state is ConnectionState.IN_USE

    def schedule_read(self, read: Callable[[], None], is_small: bool) -> None:
        """Call ``read`` now, or once the event loop has time (ReadHandler)."""
        self._owner.schedule_read(read, is_small)

    def on_all_written(self) -> None:
        """Notify the handler that all bytes are written (WriteHandler)."""
        try:
            if self.handler is not None:
                self.handler.on_writable()
        except Exception as error:
            self._owner.on_handler_error(error)
            self._fail(None)

    def on_write_error(self, error: LocalError | None) -> None:
        """Close the connection and notify the handler and the owner (WriteHandler)."""
        self._fail(error)

    def _connect(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.fd = sock.fileno()
            self.inode = os.fstat(self.fd).st_ino
        except OSError as error:
            raise make_os_error(error.errno, SocketOperation.PREPARE) from error
        try:
            error_number = sock.connect_ex(self.address)
        except OSError as error:
            error_number = error.errno or _UNKNOWN_ERRNO
        if classify_errno(error_number, SocketOperation.CONNECT) is not ErrorCategory.NO_FAILURE:
            raise make_os_error(error_number, SocketOperation.CONNECT)
        try:
            self._loop.add_writer(self.fd, self._on_connect_event)
        except OSError as error:
            raise make_os_error(error.errno, SocketOperation.PREPARE) from error
        self._watching_connect = True
        self._connect_timer = self._loop.call_later(self._connect_timeout_s, self._on_connect_timeout)

    def _on_connect_event(self) -> None:
        sock = self._sock
        if sock is None or self.state is not ConnectionState.OPENING:
            return
        operation = SocketOperation.CONNECT_RESULT
        try:
            error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if not error_number:
                # Started before the writer is removed, so that the descriptor stays registered.
                self._reader.start(sock)
        except OSError as error:
            error_number = error.errno or _UNKNOWN_ERRNO
            operation = SocketOperation.PREPARE
        if not error_number:
            self._on_connected()
        elif classify_errno(error_number, operation) is not ErrorCategory.NO_FAILURE:
            self._fail(make_os_error(error_number, operation))

    def _on_connected(self) -> None:
        self._cancel_connect_timer()
        self._stop_watching_connect()
        self._writer.start(self.fd, self._connect_timeout_s)
        self._owner.on_connected(self)

    def _on_connect_timeout(self) -> None:
        self._connect_timer = None
        if self.state is not ConnectionState.OPENING:
            return
        if not self.check_connected() and self._sock is not None:
            self._fail(TimeoutError("connect timed out"))

    def _fail(self, error: OSError | None, at_eof: bool = False) -> None:
        """Close the connection and notify the handler and the owner."""
        reason = CloseReason(self._writer.has_unsent, at_eof, isinstance(error, LocalError))
        handler = self.handler
        self.close()
        try:
            if handler is not None:
                handler.on_closed(reason)
        except Exception as handler_error:
            self._owner.on_handler_error(handler_error)
        finally:
            self._owner.on_closed(self, error)

    def _cancel_connect_timer(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None

    def _stop_watching_connect(self) -> None:
        if self._watching_connect:
            self._watching_connect = False
            self._loop.remove_writer(self.fd)
