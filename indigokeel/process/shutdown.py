"""Graceful shutdown: the times of all steps, and the steps after the last connection was accepted."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol, TypeVar

from indigokeel.process.supervision import Supervisor

# Time from SIGTERM to SIGKILL: the longest deadline, at most the first value, plus the second value.
_MAX_DEADLINE_BEFORE_KILL_S = 3.0
_KILL_MARGIN_S = 0.7
_EXIT_MARGIN_S = 0.15  # from the exit of the process to SIGKILL
_CLOSE_MARGIN_S = 0.02  # from the close of all connections, even with unread input, to the exit
_ANSWER_MARGIN_S = 0.05  # from the last final answer to the exit
# From the time when new requests are rejected to the last final answer; at most half of the longest deadline.
_REJECT_MARGIN_S = 0.05
_POLL_S = 0.02  # between checks of connections that have to close
_PEER_POLL_S = 0.01  # between checks of connections that wait for their peer to close

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """The times of the steps of a shutdown, on the monotonic clock."""

    accept_until: float  # new connections are accepted until then
    # Until then partially received requests may be completed, even if no work is unfinished.
    partial_requests_until: float
    reject_after: float  # requests that arrive later are rejected at once
    answer_by: float  # every request has its final answer by then
    close_at: float  # connections are closed; nothing is read after that
    exit_by: float  # the process has exited by then

    @classmethod
    def plan(cls, now: float, longest_deadline: float, accept: float, partial: float) -> ShutdownTimes:
        """Plan a shutdown that begins now.

        ``accept`` and ``partial`` are the durations in seconds of the phase in which connections are
        accepted, and of the next one, in which partially received requests may still be completed.
        """
        deadline = min(longest_deadline, _MAX_DEADLINE_BEFORE_KILL_S)
        exit_by = now + deadline + _KILL_MARGIN_S - _EXIT_MARGIN_S
        answer_by = exit_by - _ANSWER_MARGIN_S
        return cls(
            accept_until=now + accept,
            partial_requests_until=now + accept + partial,
            reject_after=answer_by - min(_REJECT_MARGIN_S, deadline / 2.0),
            answer_by=answer_by,
            close_at=exit_by - _CLOSE_MARGIN_S,
            exit_by=exit_by,
        )


class ClosableConnection(Protocol):
    """A client connection, as the shutdown sees it."""

    def is_idle(self) -> bool:
        """Return True if no request is open or partially received."""

    def close(self) -> None:
        """Close the connection gracefully; nothing is read after this."""

    def check_timeouts(self, now: float) -> None:
        """Close the connection if its peer takes too long."""


class ShutdownTarget(Protocol):
    """The process that is shut down."""

    def client_connections(self) -> Iterator[ClosableConnection]:
        """Return all client connections."""

    def has_unfinished_work(self) -> bool:
        """Return True if a request is unanswered, input is unread or output is unwritten."""

    def answer_all(self) -> None:
        """Give every open request its final answer."""


class Shutdown:
    """The steps after the last connection was accepted; an exception in one does not stop the others."""

    def __init__(
        self, target: ShutdownTarget, supervisor: Supervisor, times: ShutdownTimes, listener_shared: bool
    ) -> None:
        """Create a shutdown.

        ``listener_shared`` is True if another process already accepts on the same socket. Then no connection
        is closed while its client may be sending a request: each closes after its next response, or when it
        times out as idle.
        """
        self._target = target
        self._supervisor = supervisor
        self._times = times
        self._listener_shared = listener_shared

    async def run(self) -> None:
        """Answer all requests that have been received, and write the answers."""
        while self._connections() and time.monotonic() < self._times.close_at:
            if not self._listener_shared:
                self._for_each_connection(
                    lambda connection: connection.close() if connection.is_idle() else None
                )
                if (
                    time.monotonic() >= self._times.partial_requests_until
                    and self._has_unfinished_work() is False
                ):
                    break
            await asyncio.sleep(_POLL_S)
        # No await in between, so that nothing is read between the last answers and the closes.
        self._run_step(self._target.answer_all)
        self._for_each_connection(lambda connection: connection.close())
        # The peers still have to read the last answers and to close.
        while self._connections() and time.monotonic() < self._times.exit_by:
            await asyncio.sleep(_PEER_POLL_S)
            self._for_each_connection(lambda connection: connection.check_timeouts(time.monotonic()))

    def _connections(self) -> list[ClosableConnection]:
        return self._run_step(lambda: list(self._target.client_connections())) or []

    def _has_unfinished_work(self) -> bool | None:
        return self._run_step(self._target.has_unfinished_work)

    def _for_each_connection(self, call: Callable[[ClosableConnection], None]) -> None:
        for connection in self._connections():
            self._supervisor.run_guarded("closing a client connection", call, connection)

    def _run_step(self, call: Callable[[], T]) -> T | None:
        return self._supervisor.run_guarded("shutdown", call)
