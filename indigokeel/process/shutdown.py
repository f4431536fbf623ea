"""The end of the process: when each step of a shutdown is due, and the steps once nothing new is accepted."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol, TypeVar

from indigokeel.process.supervision import Supervisor

# SIGKILL comes the longest deadline, but at most the first, and the second after SIGTERM.
_KILLED_MOST_S, _KILLED_S = 3.0, 0.7
_EXIT_S = 0.15  # before SIGKILL by which the process has ended
_CLOSE_S = 0.02  # before that the connections end, over whatever is still unread
_ANSWER_S = 0.05  # before the exit by which each request has its answer
_TAKE_S = 0.05  # before that, or half of the longest deadline, a request is taken for the last time
_POLL_S = 0.02  # between two looks at connections that are to end
_PEER_POLL_S = 0.01  # ... and at those that wait for their peer to close

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """When each step of a shutdown is due, on the monotonic clock, in their order but for the first two."""

    accept_until: float  # new connections are accepted
    half_read_until: float  # a message that has begun may still become whole, where nothing else is owed
    take_until: float  # a request that comes later is refused at once
    answer_by: float  # every request has its final answer
    close_at: float  # nothing is read any more
    exit_by: float

    @classmethod
    def plan(cls, now: float, longest_deadline: float, accept: float, half_read: float) -> ShutdownTimes:
        """Those of a shutdown that begins now; ``accept`` and ``half_read`` are spans in seconds."""
        deadline = min(longest_deadline, _KILLED_MOST_S)
        exit_by = now + deadline + _KILLED_S - _EXIT_S
        answer_by = exit_by - _ANSWER_S
        return cls(
            accept_until=now + accept,
            half_read_until=now + accept + half_read,
            take_until=answer_by - min(_TAKE_S, deadline / 2.0),
            answer_by=answer_by,
            close_at=exit_by - _CLOSE_S,
            exit_by=exit_by,
        )


class ClosableConnection(Protocol):
    """A client's connection that is to end."""

    def is_idle(self) -> bool: ...

    def close(self) -> None:
        """End it in order; nothing is read after this."""

    def check_timeouts(self, now: float) -> None: ...


class EndingProcess(Protocol):
    """What a shutdown needs of the process."""

    def client_connections(self) -> Iterator[ClosableConnection]: ...

    def answers_owed(self) -> bool:
        """Whether any request is open, any byte of one unread, or any of an answer unwritten."""

    def answer_all(self) -> None:
        """Give every open request its final answer."""


class Shutdown:
    """The steps after the last connection was accepted. A step that raises keeps none from following."""

    def __init__(
        self, process: EndingProcess, supervisor: Supervisor, times: ShutdownTimes, shared: bool
    ) -> None:
        """``shared``: another process accepts on the same socket already. Then no connection is closed on a
        client that may be writing: each ends with its next answer, or as idle."""
        self._process, self._supervisor = process, supervisor
        self._times, self._shared = times, shared

    async def run(self) -> None:
        """Answer all that was read, and see that the answers go out."""
        while self._connections() and time.monotonic() < self._times.close_at:
            if not self._shared:
                self._each(lambda connection: connection.close() if connection.is_idle() else None)
                if time.monotonic() >= self._times.half_read_until and self._owed() is False:
                    break
            await asyncio.sleep(_POLL_S)
        # In one step of the loop: nothing is read between the last answers and the end of the reading.
        self._step(self._process.answer_all)
        self._each(lambda connection: connection.close())
        # The peers have yet to read what was written last, and to close.
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
