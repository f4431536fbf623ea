"""The listening socket at which clients connect, read here and not by the event loop's own server.

libuv's server closes the connections that wait, unread, where ``accept`` finds no descriptor. Here no error
of ``accept`` closes a connection or the listener: what concerns one connection is passed over, and where
resources are short the connections wait in the backlog of the system until there is room.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

from indigokeel.metrics import Counters
from indigokeel.net.errors import Meaning, Step, meaning

BACKLOG = 512  # connections that the system may hold for this process before it accepts them
BATCH = 32  # calls of ``accept`` in one turn of the loop: some 2 ms of its time
PAUSE_LEAST, PAUSE_MOST = 0.005, 0.1  # s without a call after one that failed for want of resources; doubled
_DRAIN_TIME = 0.2  # s in which the backlog is emptied before the socket is closed
_LOG_EVERY = 5.0  # s between two log lines about errors; all of them are counted


class _Batch(Enum):
    """How a batch of calls of ``accept`` ended."""

    EMPTY = "nobody waits any more"
    FULL = "more may wait"
    FAILED = "another call now would fail too"


class ClientListener:
    """Accepts client connections on a socket that is bound, one protocol object for each."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        make_protocol: Callable[[], asyncio.Protocol],
        counters: Counters,
        make_room: Callable[[], None] | None = None,
    ) -> None:
        """``make_room`` is called at each pause for want of resources: the owner may close what is idle."""
        self._loop, self._listener = loop, listener
        self._make_protocol, self._make_room = make_protocol, make_room
        self._counters = counters
        self._pause = PAUSE_LEAST
        self._timer: asyncio.TimerHandle | None = None  # ends the pause
        self._log_from = loop.time()
        # Accepted connections whose ``connection_made`` is still to be called.
        self._opening: dict[asyncio.Future[Any], Coroutine[Any, Any, Any]] = {}

    def open(self) -> None:
        """Begin to listen and to accept."""
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self._watch()

    async def close(self, drain: bool) -> None:
        """Stop accepting and close the socket; connections that were accepted stay, and ``connection_made``
        was called for each when this returns. ``drain``: those that wait in the backlog are accepted first,
        for the system resets them otherwise. Not where another process accepts on the same socket."""
        self._loop.remove_reader(self._listener.fileno())
        if self._timer is not None:
            self._timer.cancel()
        if drain:
            await self._drain()
        self._listener.close()
        while self._opening:
            await asyncio.sleep(0)

    def _watch(self) -> None:
        """Have the loop tell when somebody waits."""
        self._timer = None
        try:
            self._loop.add_reader(self._listener.fileno(), self._readable)
        except OSError as error:  # the system has no memory for one more watch
            self._note(error)
            self._wait()

    def _readable(self) -> None:
        if self._accept_batch() is _Batch.FAILED:
            self._wait()

    def _accept_batch(self) -> _Batch:
        """Accept those that wait, as many as a turn of the loop may take."""
        accepted = 0
        for _ in range(BATCH):
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return _Batch.EMPTY
            except (OSError, MemoryError) as error:
                self._note(error)
                number = error.errno if isinstance(error, OSError) else None
                if meaning(number, Step.ACCEPT) is Meaning.LOCAL:
                    return _Batch.FAILED
                continue
            accepted += 1
            self._pause = PAUSE_LEAST
            self._hand_over(connection)
        # Guards against an error that was taken for one connection's and comes for ever.
        return _Batch.FULL if accepted else _Batch.FAILED

    def _wait(self) -> None:
        """Make no call for a while; those who come wait in the backlog."""
        self._loop.remove_reader(self._listener.fileno())
        self._timer = self._loop.call_later(self._next_pause(), self._watch)
        self._ask_for_room()

    def _next_pause(self) -> float:
        pause, self._pause = self._pause, min(self._pause * 2.0, PAUSE_MOST)
        self._counters.add("accept_pauses")
        return pause

    def _ask_for_room(self) -> None:
        if self._make_room is None:
            return
        try:
            self._make_room()
        except Exception as error:  # whatever it did, accepting goes on
            self._counters.add("accept_room_faults")
            self._log(f"fault while making room: {type(error).__name__}: {error}")

    async def _drain(self) -> None:
        """Empty the backlog. Nothing is awaited between the call that found it empty and the end of this."""
        end = self._loop.time() + _DRAIN_TIME
        while (batch := self._accept_batch()) is not _Batch.EMPTY:
            if self._loop.time() >= end:
                self._counters.add("accept_drains_cut_short")
                return
            pause = 0.0
            if batch is _Batch.FAILED:
                pause = self._next_pause()
                self._ask_for_room()
            await asyncio.sleep(pause)

    def _hand_over(self, connection: socket.socket) -> None:
        """Give an accepted connection to the loop.

        The coroutine is run here up to the one future that it awaits, and resumed when that is done. A task
        for each connection would cost two more turns of the loop, and its transport would not exist yet when
        this returns."""
        opening = self._loop.connect_accepted_socket(self._make_protocol, connection)
        try:
            made = opening.send(None)
        except StopIteration:
            return
        except Exception as error:  # costs this connection and no other
            connection.close()
            self._hand_over_failed(error)
            return
        self._opening[made] = opening
        made.add_done_callback(self._opened)

    def _opened(self, made: asyncio.Future[Any]) -> None:
        """``connection_made`` has been called, or the connection was closed before that."""
        try:
            self._opening.pop(made).send(None)
        except StopIteration:
            return
        except Exception as error:  # the coroutine has closed the transport
            self._hand_over_failed(error)

    def _hand_over_failed(self, error: Exception) -> None:
        self._counters.add("accept_hand_over_faults")
        self._log(f"an accepted connection was lost: {type(error).__name__}: {error}")

    def _note(self, error: Exception) -> None:
        self._counters.add("accept_errors")
        self._log(f"accept failed: {type(error).__name__}: {error}")

    def _log(self, text: str) -> None:
        now = self._loop.time()
        if now >= self._log_from:
            self._log_from = now + _LOG_EVERY
            self._counters.log(text, "warning")
