"""The timer of the process: calls back at each deadline, and survives exceptions of the callback."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import Protocol

from indigokeel.process.supervision import Supervisor

_LATE_THRESHOLD_S = 0.02  # if the timer fires later than this, the event loop polls its sockets first
_SOCKET_POLL_DELAY_S = 0.001  # delay of the timer for that poll
_MIN_RETRY_S = 0.001  # after an exception; doubled for each further one in a row
_MAX_RETRY_S = 0.1


class DeadlineSource(Protocol):
    """Provides the deadlines for which the timer is set."""

    def next_deadline(self) -> float:
        """Return the monotonic time of the next deadline, or infinity if there is none."""


class DeadlineTimer:
    """Calls ``run_due`` at each deadline, in the event loop's thread."""

    def __init__(self, source: DeadlineSource, run_due: Callable[[], None], supervisor: Supervisor) -> None:
        """``run_due`` handles everything that is due when it is called."""
        self._source = source
        self._run_due = run_due
        self._supervisor = supervisor
        self._handle: asyncio.TimerHandle | None = None
        self._scheduled_for = math.inf  # monotonic time
        self._polled = False  # the sockets have been polled since the timer fired late
        self._retry_pause_s = _MIN_RETRY_S

    def bring_forward(self) -> None:
        """Reschedule the timer if the next deadline is earlier than the time for which it is scheduled."""
        try:
            if self._source.next_deadline() >= self._scheduled_for:
                return
        except Exception as error:
            self._retry(error)
            return
        self.reschedule()

    def reschedule(self) -> None:
        """Schedule the timer for the next deadline."""
        try:
            self._schedule(self._source.next_deadline())
        except Exception as error:
            self._retry(error)

    def _schedule(self, deadline: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self._scheduled_for = deadline
        if deadline < math.inf:
            delay = max(deadline - time.monotonic(), 0.0)
            self._handle = asyncio.get_running_loop().call_later(delay, self._fire)

    def _retry(self, error: Exception) -> None:
        """Reschedule the timer after an exception, with a pause so that it does not busy-loop."""
        self._supervisor.record_restart("timer", error)
        self._schedule(time.monotonic() + self._retry_pause_s)
        self._retry_pause_s = min(2.0 * self._retry_pause_s, _MAX_RETRY_S)

    def _fire(self) -> None:
        # After a pause of the process, the event loop runs its timers before it polls its sockets; attempts
        # whose responses have already arrived would time out.
        if time.monotonic() - self._scheduled_for > _LATE_THRESHOLD_S and not self._polled:
            self._polled = True
            self._handle = asyncio.get_running_loop().call_later(_SOCKET_POLL_DELAY_S, self._fire)
            return
        self._polled = False
        self._scheduled_for = -math.inf  # ``bring_forward`` does nothing while ``run_due`` runs
        try:
            self._run_due()
        except Exception as error:
            self._retry(error)
            return
        self._retry_pause_s = _MIN_RETRY_S
        self.reschedule()
