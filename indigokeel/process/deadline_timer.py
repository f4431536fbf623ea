"""The timer of the process: calls back at the next deadline, and keeps running whatever that raises."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import Protocol

from indigokeel.process.supervision import Supervisor

_LATE_S = 0.02  # from which a timer that fires late lets the loop poll its sockets first
_POLL_S = 0.001  # for that poll
_MIN_RETRY_S = 0.001  # after an exception; doubled with each further one in a row
_MAX_RETRY_S = 0.1


class DeadlineSource(Protocol):
    """What the timer is set for."""

    def next_deadline(self) -> float:
        """Return the monotonic time of the next deadline, or infinity."""


class DeadlineTimer:
    """Runs what is due at its time, in the event loop's thread."""

    def __init__(self, source: DeadlineSource, run_due: Callable[[], None], supervisor: Supervisor) -> None:
        """``run_due`` does all that is due by now."""
        self._source = source
        self._run_due = run_due
        self._supervisor = supervisor
        self._handle: asyncio.TimerHandle | None = None
        self._set_for = math.inf  # monotonic time
        self._polled = False  # the sockets were polled since the timer was found late
        self._retry_pause_s = _MIN_RETRY_S

    def lower(self) -> None:
        """Set the timer earlier if a deadline has come up before the one that it is set for."""
        try:
            if self._source.next_deadline() >= self._set_for:
                return
        except Exception as error:
            self._retry(error)
            return
        self.reset()

    def reset(self) -> None:
        """Set the timer for the next deadline."""
        try:
            self._set(self._source.next_deadline())
        except Exception as error:
            self._retry(error)

    def _set(self, deadline: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self._set_for = deadline
        if deadline < math.inf:
            delay = max(deadline - time.monotonic(), 0.0)
            self._handle = asyncio.get_running_loop().call_later(delay, self._fire)

    def _retry(self, error: Exception) -> None:
        """Set the timer again after an exception, with a pause so that it does not busy-loop."""
        self._supervisor.restarting("timer", error)
        self._set(time.monotonic() + self._retry_pause_s)
        self._retry_pause_s = min(2.0 * self._retry_pause_s, _MAX_RETRY_S)

    def _fire(self) -> None:
        # After a pause of the process the loop runs its timers before it polls its sockets: attempts would
        # time out whose responses have arrived.
        if time.monotonic() - self._set_for > _LATE_S and not self._polled:
            self._polled = True
            self._handle = asyncio.get_running_loop().call_later(_POLL_S, self._fire)
            return
        self._polled = False
        self._set_for = -math.inf  # ``lower`` sets nothing until all is done
        try:
            self._run_due()
        except Exception as error:
            self._retry(error)
            return
        self._retry_pause_s = _MIN_RETRY_S
        self.reset()
