"""The listening socket for clients.

The sidecar calls ``accept`` itself, because libuv's server closes waiting connections if ``accept`` finds no
free descriptor. Here no error of ``accept`` closes a connection or the listener: an error that concerns a
single connection is skipped, and while resources are short, new connections wait in the system's backlog.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from enum import Enum

from indigokeel.metrics import Counters
from indigokeel.net.errors import ErrorCategory, SocketOperation, classify_errno

BACKLOG = 512  # connections that the system queues before they are accepted
MAX_ACCEPTS_PER_TURN = 32  # calls of ``accept`` in one turn of the event loop
MIN_PAUSE_S = 0.005  # after an ``accept`` that failed for lack of resources; doubled with each failure
MAX_PAUSE_S = 0.1
_MAX_DRAIN_S = 0.2  # for emptying the backlog before the socket is closed
_LOG_INTERVAL_S = 5.0  # at least, between log lines about errors; all errors are counted


class _BatchResult(Enum):
    """The result of a batch of ``accept`` calls."""

    EMPTY = "no connection is waiting"
    FULL = "more connections may be waiting"
    FAILED = "another call now would fail as well"


class ClientListener:
    """Accept client connections on a bound socket, with one protocol object for each."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        make_protocol: Callable[[], asyncio.BufferedProtocol | asyncio.Protocol],
        counters: Counters,
        free_descriptors: Callable[[], None] | None = None,
    ) -> None:
        """Create a listener that is not open yet.

        ``free_descriptors`` is called at each pause for lack of resources, to close idle connections.
        """
        self._loop = loop
        self._listener = listener
        self._make_protocol = make_protocol
        self._free_descriptors = free_descriptors
        self._counters = counters
        self._next_pause_s = MIN_PAUSE_S
        self._pause_timer: asyncio.TimerHandle | None = None
        self._next_log_at = loop.time()
        # Accepted connections whose ``connection_made`` has not been called yet.
        self._opening: dict[asyncio.Future[object], Coroutine[asyncio.Future[object], None, object]] = {}

    def open(self) -> None:
        """Start listening and accepting."""
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self._watch()

    async def close(self, drain: bool) -> None:
        """Stop accepting and close the socket; wait until ``connection_made`` was called for each connection.

        With ``drain`` the connections in the backlog, which the system would reset, are accepted first; it
        must be False if another process accepts on the same socket.
        """
        self._loop.remove_reader(self._listener.fileno())
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        if drain:
            await self._drain()
        self._listener.close()
        while self._opening:
            await asyncio.sleep(0)

    def _watch(self) -> None:
        """Watch the socket for connections."""
        self._pause_timer = None
        try:
            self._loop.add_reader(self._listener.fileno(), self._on_readable)
        except OSError as error:  # the system has no memory to watch the socket
            self._record(error)
            self._pause()

    def _on_readable(self) -> None:
        """Accept the connections that are waiting, or pause."""
        if self._accept_batch() is _BatchResult.FAILED:
            self._pause()

    def _accept_batch(self) -> _BatchResult:
        """Accept waiting connections, up to the limit for one turn of the event loop."""
        accepted = 0
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return _BatchResult.EMPTY
            except (OSError, MemoryError) as error:
                self._record(error)
                number = error.errno if isinstance(error, OSError) else None
                if classify_errno(number, SocketOperation.ACCEPT) is ErrorCategory.LOCAL:
                    return _BatchResult.FAILED
                continue
            accepted += 1
            self._next_pause_s = MIN_PAUSE_S
            self._hand_over(connection)
        # Errors that concern one connection may persist as well: without any success, pause.
        return _BatchResult.FULL if accepted else _BatchResult.FAILED

    def _pause(self) -> None:
        """Stop accepting for a while; new connections wait in the backlog."""
        self._loop.remove_reader(self._listener.fileno())
        self._pause_timer = self._loop.call_later(self._count_pause(), self._watch)
        self._request_descriptors()

    def _count_pause(self) -> float:
        """Count a pause and return its length in seconds; the next one is twice as long."""
        pause_s = self._next_pause_s
        self._next_pause_s = min(pause_s * 2.0, MAX_PAUSE_S)
        self._counters.add("accept_pauses")
        return pause_s

    def _request_descriptors(self) -> None:
        """Ask the owner to close idle connections."""
        if self._free_descriptors is None:
            return
        try:
            self._free_descriptors()
        except Exception as error:  # must not stop the listener
            self._counters.add("accept_room_faults")
            self._log(f"internal error while closing idle connections: {type(error).__name__}: {error}")

    async def _drain(self) -> None:
        """Empty the backlog; nothing is awaited after the ``accept`` that finds it empty."""
        end = self._loop.time() + _MAX_DRAIN_S
        while (batch := self._accept_batch()) is not _BatchResult.EMPTY:
            if self._loop.time() >= end:
                self._counters.add("accept_drains_cut_short")
                return
            pause_s = 0.0
            if batch is _BatchResult.FAILED:
                pause_s = self._count_pause()
                self._request_descriptors()
            await asyncio.sleep(pause_s)

    def _hand_over(self, connection: socket.socket) -> None:
        """Give an accepted connection to the event loop.

        The coroutine runs here up to the only future that it awaits, and is resumed when that is done. A task
        would cost two more turns of the event loop, and the transport would not exist yet when this returns.
        """
        opening = self._loop.connect_accepted_socket(self._make_protocol, connection)
        try:
            ready = opening.send(None)
        except StopIteration:
            return
        except Exception as error:  # must not affect other connections
            connection.close()
            self._hand_over_failed(error)
            return
        self._opening[ready] = opening
        ready.add_done_callback(self._opened)

    def _opened(self, ready: asyncio.Future[object]) -> None:
        """Finish a hand-over after ``connection_made`` was called or the connection was closed."""
        try:
            self._opening.pop(ready).send(None)
        except StopIteration:
            return
        except Exception as error:  # the coroutine has closed the transport
            self._hand_over_failed(error)

    def _hand_over_failed(self, error: Exception) -> None:
        """Count and log an accepted connection that was lost."""
        self._counters.add("accept_hand_over_faults")
        self._log(f"accepted connection lost: {type(error).__name__}: {error}")

    def _record(self, error: Exception) -> None:
        """Count and log an error of ``accept``."""
        self._counters.add("accept_errors")
        self._log(f"accept failed: {type(error).__name__}: {error}")

    def _log(self, text: str) -> None:
        """Log a warning, unless one was logged recently."""
        now = self._loop.time()
        if now >= self._next_log_at:
            self._next_log_at = now + _LOG_INTERVAL_S
            self._counters.log(text, "warning")
