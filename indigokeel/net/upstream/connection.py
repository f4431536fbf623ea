"""A connection to an upstream, from the connect to the close. Its protocol is handed in.

The socket is used directly, without a transport of the event loop: every step is a call that has happened
when it returns, and nothing is awaited. With uvloop's ``create_connection``, an open that is cancelled just
as the connection is established closes the transport without notifying the protocol.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from indigokeel.net.errors import LocalError, Meaning, Step, meaning, typed
from indigokeel.net.upstream.backoff import LocalRetryDelays
from indigokeel.net.upstream.connection_table import ConnectionState
from indigokeel.net.upstream.socket_reader import SocketReader
from indigokeel.net.upstream.socket_writer import SocketWriter

_UNKNOWN_ERROR = -1  # for errors that carry no errno, as of a name that cannot be resolved


@dataclass(frozen=True, slots=True)
class CloseReason:
    """How a connection ended."""

    has_unsent_data: bool = False  # bytes that the system had not taken
    at_eof: bool = False  # the peer has closed it in order
    is_local_error: bool = False


class ConnectionHandler(Protocol):
    """The protocol spoken on a connection."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_writable(self) -> None:
        """Handle that all bytes were written after a write that the system did not take at once."""

    def on_closed(self, reason: CloseReason) -> None:
        """Handle the end of the connection, unless this side has closed it."""


class ConnectionOwner(Protocol):
    """The owner of connections, notified of changes that it did not make itself."""

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Handle a successful connect."""

    def on_closed(self, connection: UpstreamConnection, error: OSError | None) -> None:
        """Handle the end of a connection; ``error`` is set if its connect failed."""

    def on_handler_error(self, error: Exception) -> None:
        """Handle an unexpected error in a connection's handler."""


class UpstreamConnection:
    """A connection. ``state`` is changed by the connection table; the descriptor is owned here."""

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
        self.inode = 0  # of the socket, for the descriptor audit
        self.calls = 0  # that are in progress
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

        Raises OSError if the connect fails at once, and LocalError if this machine is the cause.
        """
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        except OSError as error:
            raise typed(error.errno, Step.PREPARE) from error
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
        """Ask the system whether the connect has completed. Return whether it has succeeded.

        An event loop that runs late calls its timers before it looks at its sockets.
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
        """Write the start of a message; raises LocalError, with nothing written, if this machine cannot.

        Return as ``write``.
        """
        return self._writer.write(chunks, True)

    def write(self, chunks: Sequence[bytes]) -> bool:
        """Write, now or as soon as the system takes more.

        Return False if the connection is broken, so that not all was written; the caller has to close it.
        """
        return self._writer.write(chunks)

    def pause(self) -> None:
        """Stop reading."""
        self._reader.pause()

    def resume(self) -> None:
        """Read again after a pause."""
        self._reader.resume()

    def is_quiet(self) -> bool:
        """Return whether the peer has sent nothing and not closed the connection, asked of the system."""
        return self._reader.is_quiet()

    def has_unsent_data(self) -> bool:
        """Return whether written bytes are unsent or lost, so that no other call may follow."""
        return self._sock is None or self._writer.has_unsent

    def close(self) -> None:
        """Close the connection at once, without a notification. May be called again."""
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
        """Give up a descriptor that belongs to something else by now, and notify the handler."""
        if self._sock is not None:
            for stop_watching in (self._reader.detach, self._writer.detach, self._stop_watching_connect):
                with contextlib.suppress(Exception):  # the new owner may watch the same number
                    stop_watching()
            self._sock.detach()
        handler = self.handler
        self.close()
        if handler is not None:
            handler.on_closed(CloseReason())

    def on_data(self, data: bytes) -> None:
        """Pass received bytes to the handler (ReadEvents)."""
        handler = self.handler
        if handler is None or self.state is ConnectionState.IDLE:
            self._fail(None)
            return
        try:
            handler.on_data(data)
        except Exception as error:
            self._owner.on_handler_error(error)
            self._fail(None)

    def on_read_end(self, at_eof: bool) -> None:
        """End the connection (ReadEvents)."""
        self._fail(None, at_eof)

    def expects_data(self) -> bool:
        """Return whether a call is in progress (ReadEvents)."""
        return self.state is ConnectionState.IN_USE

    def on_all_written(self) -> None:
        """Notify the handler (WriteEvents)."""
        try:
            if self.handler is not None:
                self.handler.on_writable()
        except Exception as error:
            self._owner.on_handler_error(error)
            self._fail(None)

    def on_write_error(self, error: LocalError | None) -> None:
        """End the connection (WriteEvents)."""
        self._fail(error)

    def _connect(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.fd = sock.fileno()
            self.inode = os.fstat(self.fd).st_ino
        except OSError as error:
            raise typed(error.errno, Step.PREPARE) from error
        try:
            number = sock.connect_ex(self.address)
        except OSError as error:
            number = error.errno or _UNKNOWN_ERROR
        if meaning(number, Step.CONNECT) is not Meaning.GOES_ON:
            raise typed(number, Step.CONNECT)
        try:
            self._loop.add_writer(self.fd, self._on_connect_event)
        except OSError as error:
            raise typed(error.errno, Step.PREPARE) from error
        self._watching_connect = True
        self._connect_timer = self._loop.call_later(self._connect_timeout_s, self._on_connect_timeout)

    def _on_connect_event(self) -> None:
        sock = self._sock
        if sock is None or self.state is not ConnectionState.OPENING:
            return
        step = Step.CONNECTING
        try:
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if not number:
                self._reader.start(sock)  # before the writer is removed, so that the watch is only changed
        except OSError as error:
            number = error.errno or _UNKNOWN_ERROR
            step = Step.PREPARE
        if not number:
            self._on_connected()
        elif meaning(number, step) is not Meaning.GOES_ON:
            self._fail(typed(number, step))

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
            self._fail(TimeoutError("no connection in time"))

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
