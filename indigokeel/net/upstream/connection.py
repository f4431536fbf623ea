"""One connection and its descriptor, from the connect to the close; what is said on it is passed in.

The socket is made, watched, read, written and closed here, without a transport of the event loop: so
every step is one call that has happened when it returns, nothing is awaited, and there is no moment in
which a cancelled open belongs to nobody. uvloop's create_connection has one: cancelled just as the
connection comes up it closes the transport and tells no protocol.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
from collections.abc import Sequence
from random import Random
from typing import Protocol

from indigokeel.net.errors import LocalError, Meaning, Step, meaning, typed
from indigokeel.net.upstream.backoff import Backoff
from indigokeel.net.upstream.connection_table import ConnectionState

_READ = 64 * 1024  # bytes asked of the socket at a time
_PIECES = 64  # pieces written at a time; a system takes 1,024 at most (IOV_MAX)


class ConnectionHandler(Protocol):
    """What is said on a connection, in any protocol. One call at a time or many is its own matter."""

    def heard(self, data: bytes) -> None:
        """Bytes have come."""

    def drained(self) -> None:
        """All that was said has been written, where that took more than the call."""

    def lost(self, unsent: bool, ended: bool, local: bool) -> None:
        """The connection is gone, by the peer or by a fault; ``unsent``: before all that was said was
        written; ``ended``: the peer has closed it in order; ``local``: this machine could not go on with it.
        Not called where this side has closed it."""


class Owner(Protocol):
    """Who keeps the books: told of every change that the link did not make at its call."""

    def came_up(self, connection: UpstreamConnection) -> None: ...

    def went_down(self, connection: UpstreamConnection, error: OSError | None) -> None:
        """It is closed. ``error`` where it was while it opened."""

    def fault(self, error: Exception) -> None: ...


class UpstreamConnection:
    """One connection. ``state`` belongs to the books; the descriptor to this object alone."""

    __slots__ = (
        "_backoff", "_loop", "_owner", "_patience", "_poll", "_reading", "_sock", "_stalled", "_timer",
        "_unsent", "_waiting_to_read", "_waiting_to_write", "_writing", "address", "calls", "handler",
        "fd", "idle_since", "inode", "upstream", "state",
    )  # fmt: skip

    def __init__(
        self, loop: asyncio.AbstractEventLoop, owner: Owner, upstream: str, address: tuple[str, int]
    ) -> None:
        self._loop, self._owner = loop, owner
        self.upstream, self.address = upstream, address
        self.state = ConnectionState.OPENING
        self.fd = -1
        self.inode = 0  # of the socket, for the audit
        self.calls = 0  # that are out on it now
        self.idle_since = 0.0
        self.handler: ConnectionHandler | None = None
        self._sock: socket.socket | None = None
        self._poll: select.poll | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._unsent: list[bytes | memoryview] = []
        self._reading = self._writing = False
        # While this machine cannot read or write (ENOBUFS, ENOMEM): the delays, the timers that end them, and
        # how long writing has waited without a byte written.
        self._backoff: Backoff | None = None
        self._waiting_to_read: asyncio.TimerHandle | None = None
        self._waiting_to_write: asyncio.TimerHandle | None = None
        self._stalled = self._patience = 0.0

    def open(self, patience: float) -> None:
        """Begin to connect; raises OSError where even that is not possible, and LocalError where that is this
        machine's own fault. The owner is told, later, that it came up or that it did not within ``patience``
        seconds."""
        try:
            sock = socket.socket(
                socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET,
                socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC,
            )
        except OSError as error:
            raise typed(error.errno, Step.PREPARE) from error
        try:
            self._connect(sock, patience)
        except BaseException:
            if self._writing:
                self._loop.remove_writer(self.fd)
                self._writing = False
            self.fd = -1
            with contextlib.suppress(OSError):
                sock.close()
            raise
        self._sock, self._patience = sock, patience

    def _connect(self, sock: socket.socket, patience: float) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.fd, self.inode = sock.fileno(), os.fstat(sock.fileno()).st_ino
        except OSError as error:
            raise typed(error.errno, Step.PREPARE) from error
        try:
            found = sock.connect_ex(self.address)
        except OSError as error:
            found = error.errno or -1  # not the system's: a name that cannot be resolved
        if meaning(found, Step.CONNECT) is not Meaning.GOES_ON:
            raise typed(found, Step.CONNECT)
        try:
            self._loop.add_writer(self.fd, self._connected)
        except OSError as error:
            raise typed(error.errno, Step.PREPARE) from error
        self._writing = True
        self._timer = self._loop.call_later(patience, self._too_late)

    def _connected(self) -> None:
        sock = self._sock
        if sock is None or self.state is not ConnectionState.OPENING:
            return
        try:
            found = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            step = Step.CONNECTING
            if not found:
                self._loop.add_reader(self.fd, self._readable)  # before the writer goes: one watch, changed
                self._reading = True
        except OSError as error:
            found, step = error.errno or -1, Step.PREPARE
        if found:
            if meaning(found, step) is not Meaning.GOES_ON:
                self._down(typed(found, step))
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._loop.remove_writer(self.fd)
        self._writing = False
        self._owner.came_up(self)

    def settle(self) -> bool:
        """Ask the system whether a connect has ended, rather than wait to be told; True where it has come up.
        Guards against a loop that runs late: its timers fire before it has looked at its sockets."""
        if self._sock is None or self.state is not ConnectionState.OPENING:
            return False
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        try:
            if not poll.poll(0):
                return False
        except OSError:  # the system cannot tell now
            return False
        self._connected()
        return self.state is not ConnectionState.OPENING and self._sock is not None

    def _too_late(self) -> None:
        self._timer = None
        if self.state is ConnectionState.OPENING and not self.settle() and self._sock is not None:
            self._down(TimeoutError("no connection in time"))

    def _down(self, error: OSError | None, ended: bool = False) -> None:
        """It is gone, and not by a call of its owner's."""
        unsent, handler = bool(self._unsent), self.handler
        self.close()
        try:
            if handler is not None:
                handler.lost(unsent, ended, isinstance(error, LocalError))
        except Exception as fault:  # costs this connection and no other
            self._owner.fault(fault)
        finally:
            self._owner.went_down(self, error)

    def _readable(self) -> None:
        self._read()
        # Guards against the reset that nobody is told of: where bytes came before it, uvloop calls once, for
        # those, and watches no more. Asked only while more is awaited: an idle one is asked before its use.
        while self._reading and self.state is ConnectionState.IN_USE and self._broken():
            self._read()

    def _broken(self) -> bool:
        """Whether the system holds an error for this connection, whatever can be read before it."""
        return any(found & select.POLLERR for _, found in self._polled())

    def _polled(self) -> list[tuple[int, int]]:
        """What the system says of the descriptor now; nothing, where it cannot."""
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(self.fd, select.POLLIN)
        try:
            return self._poll.poll(0)
        except OSError:
            return []

    def _read(self) -> None:
        sock = self._sock
        if sock is None:
            return
        try:
            data = sock.recv(_READ)
        except OSError as error:
            match meaning(error.errno, Step.READ):
                case Meaning.LOCAL:
                    self.pause()
                    self._waiting_to_read = self._loop.call_later(self._delay(), self.resume)
                case Meaning.UPSTREAM:
                    self._down(None)
            return
        self._backoff = None
        if not data or self.handler is None or self.state is ConnectionState.IDLE:
            self._down(None, not data)  # its end, or bytes that nobody asked for
            return
        try:
            self.handler.heard(data)
        except Exception as fault:
            self._owner.fault(fault)
            self._down(None)

    def begin(self, pieces: Sequence[bytes]) -> bool:
        """As ``say``, for the first of a message; raises LocalError where this machine cannot write now. Then
        nothing of it was written, and nothing will be."""
        return self._say(pieces, True)

    def say(self, pieces: Sequence[bytes]) -> bool:
        """Write; what the system does not take now follows as soon as it does. False where the connection
        turns out to be broken, so that not all can have been written; it is for the caller to close it."""
        return self._say(pieces, False)

    def _say(self, pieces: Sequence[bytes], first: bool) -> bool:
        if self._sock is None:
            return False
        if self._unsent:
            self._unsent += pieces
            return True
        sent, found = self._write(pieces)
        if found is Meaning.UPSTREAM:
            return False
        if found is Meaning.LOCAL and first:
            raise LocalError("this machine cannot write now")
        if sent < sum(map(len, pieces)):
            self._unsent = _after(pieces, sent)
            self._wait_to_write(found)
        return True

    def _write(self, pieces: Sequence[bytes | memoryview]) -> tuple[int, Meaning]:
        """Write once: how many bytes that was, and what an error says."""
        try:
            return os.writev(self.fd, pieces[:_PIECES]), Meaning.GOES_ON
        except OSError as error:
            return 0, meaning(error.errno, Step.WRITE)

    def _wait_to_write(self, found: Meaning) -> None:
        """Go on once the system takes more; where this machine could not write, a little later."""
        if found is not Meaning.LOCAL:
            if not self._writing:
                self._loop.add_writer(self.fd, self._writable)
                self._writing = True
            return
        if self._writing:
            self._loop.remove_writer(self.fd)
            self._writing = False
        delay = self._delay()
        self._stalled += delay
        self._waiting_to_write = self._loop.call_later(delay, self._writable)

    def _delay(self) -> float:
        """How long to wait, in seconds, where this machine could not read or write."""
        if self._backoff is None:
            self._backoff = Backoff(Random())
        return self._backoff.next()

    def _writable(self) -> None:
        self._waiting_to_write = None
        if self._sock is None:
            return
        sent, found = self._write(self._unsent)
        if found is Meaning.UPSTREAM:
            self._down(None)
            return
        if found is Meaning.LOCAL and self._stalled >= self._patience:
            self._down(LocalError("this machine cannot write"))
            return
        if sent:
            self._stalled, self._backoff = 0.0, None
        self._unsent = _after(self._unsent, sent)
        if self._unsent:
            self._wait_to_write(found)
            return
        if self._writing:
            self._loop.remove_writer(self.fd)
            self._writing = False
        try:
            if self.handler is not None:
                self.handler.drained()
        except Exception as fault:
            self._owner.fault(fault)
            self._down(None)

    def pause(self) -> None:
        """Read nothing for now: what the peer sends waits in the system, then at the peer."""
        self._read_on()
        if self._reading:
            self._loop.remove_reader(self.fd)
            self._reading = False

    def _read_on(self) -> None:
        """Nothing waits any more for this machine to be able to read."""
        if self._waiting_to_read is not None:
            self._waiting_to_read.cancel()
            self._waiting_to_read = None

    def resume(self) -> None:
        self._read_on()
        if self._sock is not None and not self._reading and self.state is not ConnectionState.OPENING:
            self._loop.add_reader(self.fd, self._readable)
            self._reading = True

    def alive(self) -> bool:
        """Whether an idle connection is up still, with nothing on it that nobody asked for: asked of the
        system right before it is used."""
        return self._sock is not None and not self._polled()

    def spent(self) -> bool:
        """Whether something is left unsent, so that no further call may follow on it."""
        return self._sock is None or bool(self._unsent)

    def close(self) -> None:
        """Close it at once; may be called again. The owner is not told: it is its own call."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._waiting_to_write is not None:
            self._waiting_to_write.cancel()
            self._waiting_to_write = None
        self._read_on()
        if self._reading:
            self._loop.remove_reader(self.fd)
        if self._writing:
            self._loop.remove_writer(self.fd)
        self._reading = self._writing = False
        self.fd = -1
        self.handler, self._poll = None, None
        self._unsent = []
        with contextlib.suppress(OSError):  # the descriptor is gone whatever the call says (close(2))
            sock.close()

    def abandon(self) -> None:
        """Let go of a descriptor that is not this object's any more, without closing what it is now."""
        if self._sock is not None:
            with contextlib.suppress(Exception):  # whoever has the number now may have its own watch on it
                self._loop.remove_reader(self.fd)
                self._loop.remove_writer(self.fd)
            self._reading = self._writing = False
            self._sock.detach()
        handler = self.handler
        self.close()
        if handler is not None:
            handler.lost(False, False, False)


def _after(pieces: Sequence[bytes | memoryview], sent: int) -> list[bytes | memoryview]:
    """What is left of some pieces once so many bytes of them have gone."""
    rest: list[bytes | memoryview] = []
    for piece in pieces:
        if sent >= len(piece):
            sent -= len(piece)
        else:
            rest.append(memoryview(piece)[sent:])
            sent = 0
    return rest
