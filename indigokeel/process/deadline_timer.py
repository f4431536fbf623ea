"""The timer of the process: calls back when something is due, and goes on whatever that raises."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from indigokeel.process.supervision import Supervisor

_LATE_S = 0.02  # by which the timer is late where the sockets are polled first
_POLL_S = 0.001  # for that poll
_RETRY_S = 0.001  # after an exception; doubled with each further one in a row ...
_RETRY_MOST_S = 0.1  # ... up to this


class DeadlineTimer:
    """Runs what is due at its time, on the event loop's thread."""

    def __init__(self, due: Callable[[], float], run_due: Callable[[], None], supervisor: Supervisor) -> None:
        """``due`` tells the monotonic time of what is due next, infinity for nothing; ``run_due`` does all
        that is due by now."""
        self._due, self._run_due, self._supervisor = due, run_due, supervisor
        self._handle: asyncio.TimerHandle | None = None
        self._due_at = math.inf
        self._polled = False  # the sockets, since the timer was found late
        self._retry_pause = _RETRY_S

    def lower(self) -> None:
        """Something may be due before what the timer was set for."""
        try:
            if self._due() >= self._due_at:
                return
        except Exception as error:
            self._retry(error)
            return
        self.reset()

    def reset(self) -> None:
        """Set the timer for what is due next."""
        try:
            self._set(self._due())
        except Exception as error:
            self._retry(error)

    def _set(self, due_at: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self._due_at = due_at
        if due_at < math.inf:
            delay = max(due_at - time.monotonic(), 0.0)
            self._handle = asyncio.get_running_loop().call_later(delay, self._fire)

    def _retry(self, error: Exception) -> None:
        """The timer must go on, but not in a spin."""
        self._supervisor.restarting("timer", error)
        self._set(time.monotonic() + self._retry_pause)
        self._retry_pause = min(2.0 * self._retry_pause, _RETRY_MOST_S)

    def _fire(self) -> None:
        """Guards against the loop that stood still: its timers fire before it has looked at its sockets, and
        attempts would time out whose answers are here."""
        if time.monotonic() - self._due_at > _LATE_S and not self._polled:
            self._polled = True
            self._handle = asyncio.get_running_loop().call_later(_POLL_S, self._fire)
            return
        self._polled = False
        self._due_at = -math.inf  # set once, when all is done
        try:
            self._run_due()
        except Exception as error:
            self._retry(error)
            return
        self._retry_pause = _RETRY_S
        self.reset()
