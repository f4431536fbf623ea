"""Graceful shutdown: when each step is due, and the steps once no connection is accepted any more."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol, TypeVar

from indigokeel.process.supervision import Supervisor

# SIGKILL comes this long after SIGTERM: the longest deadline, bounded by the first, and the second.
_MAX_DEADLINE_BEFORE_KILL_S = 3.0
_KILL_MARGIN_S = 0.7
_EXIT_MARGIN_S = 0.15  # before SIGKILL, by which the process has ended
_CLOSE_MARGIN_S = 0.02  # before the exit, at which connections are closed over whatever is unread
_ANSWER_MARGIN_S = 0.05  # before the exit, by which each request has its answer
_TAKE_MARGIN_S = 0.05  # before that, or half of the longest deadline, after which requests are rejected
_POLL_S = 0.02  # between two checks of connections that are to end
_PEER_POLL_S = 0.01  # between two checks of those that wait for their peer to close

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """When each step of a shutdown is due, on the monotonic clock."""

    accept_until: float  # new connections are accepted
    partial_until: float  # a request that has begun may still be completed, if nothing else is owed
    take_until: float  # a request that comes later is refused at once
    answer_by: float  # every request has its final answer
    close_at: float  # nothing is read any more
    exit_by: float

    @classmethod
    def plan(cls, now: float, longest_deadline: float, accept: float, partial: float) -> ShutdownTimes:
        """Plan a shutdown that begins now; ``accept`` and ``partial`` are lengths in seconds."""
        deadline = min(longest_deadline, _MAX_DEADLINE_BEFORE_KILL_S)
        exit_by = now + deadline + _KILL_MARGIN_S - _EXIT_MARGIN_S
        answer_by = exit_by - _ANSWER_MARGIN_S
        return cls(
            accept_until=now + accept,
            partial_until=now + accept + partial,
            take_until=answer_by - min(_TAKE_MARGIN_S, deadline / 2.0),
            answer_by=answer_by,
            close_at=exit_by - _CLOSE_MARGIN_S,
            exit_by=exit_by,
        )


class ClosableConnection(Protocol):
    """A client connection that is to end."""

    def is_idle(self) -> bool:
        """Return True if no request is open or received in part."""

    def close(self) -> None:
        """End it gracefully; nothing is read after this."""

    def check_timeouts(self, now: float) -> None:
        """Close it if its peer takes too long."""


class EndingProcess(Protocol):
    """What a shutdown needs of the process."""

    def client_connections(self) -> Iterator[ClosableConnection]:
        """Return all client connections."""

    def answers_owed(self) -> bool:
        """Return True if a request is open, or a byte of one is unread, or of an answer is unwritten."""

    def answer_all(self) -> None:
        """Give every open request its final answer."""


class Shutdown:
    """The steps after the last connection was accepted. A step that raises keeps none from following."""

    def __init__(
        self, process: EndingProcess, supervisor: Supervisor, times: ShutdownTimes, shared: bool
    ) -> None:
        """Create a shutdown.

        ``shared`` is True if another process accepts on the same socket already. No connection is closed then
        while its client may be writing: each ends with its next answer, or when it times out as idle.
        """
        self._process = process
        self._supervisor = supervisor
        self._times = times
        self._shared = shared

    async def run(self) -> None:
        """Answer all requests that were read, and write the answers."""
        while self._connections() and time.monotonic() < self._times.close_at:
            if not self._shared:
                self._each(lambda connection: connection.close() if connection.is_idle() else None)
                if time.monotonic() >= self._times.partial_until and self._owed() is False:
                    break
            await asyncio.sleep(_POLL_S)
        # In one step of the loop, so that nothing is read between the last answers and the closes.
        self._step(self._process.answer_all)
        self._each(lambda connection: connection.close())
        # The peers have yet to read the last answers, and to close.
        while self._connections() and time.monotonic() < self._times.exit_by:
            await asyncio.sleep(_PEER_POLL_S)
            self._each(lambda connection: connection.check_timeouts(time.monotonic()))

    def _connections(self) -> list[ClosableConnection]:
        return self._step(lambda: list(self._process.client_connections())) or []

    def _owed(self) -> bool | None:
        return self._step(self._process.answers_owed)

    def _each(self, call: Callable[[ClosableConnection], None]) -> None:
        for connection in self._connections():
            self._supervisor.run_guarded("the end of a client connection", call, connection)

    def _step(self, call: Callable[[], T]) -> T | None:
        return self._supervisor.run_guarded("shutdown", call)
