"""Background tasks of the process: started in one place, each fault logged and counted."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, ParamSpec, TypeVar

from indigokeel.metrics import Counters

_RESTART_PAUSE_S = 0.05  # before the first restart of a loop; doubled with each further one
_MAX_RESTART_PAUSE_S = 1.0
_STABLE_RUN_S = 5.0  # after a run this long, the pauses start again from the first

P = ParamSpec("P")
T = TypeVar("T")


class Supervisor:
    """Owns the background tasks of one process."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._group: asyncio.TaskGroup | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False

    def attach(self, group: asyncio.TaskGroup) -> None:
        """Start tasks in ``group`` from now on."""
        self._group = group

    def spawn(self, what: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run ``call(*args)`` as a task, which ``what`` names in the log.

        Nothing starts after ``cancel_all``, because the process would wait for it.
        """
        if self._stopped:
            return
        assert self._group is not None
        task = self._group.create_task(self.run_guarded_async(what, call, *args))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def keep_running(self, what: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run ``call(*args)`` as a task, restarted after an exception, until it returns or is cancelled."""
        self.spawn(what, self._restart, what, call, *args)

    def run_guarded(self, what: str, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T | None:
        """Call a step of a loop that continues whatever the step raises; return None if it raised."""
        try:
            return call(*args, **kwargs)
        except Exception as error:
            self.fault(what, error)
            return None

    async def run_guarded_async(self, what: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Await ``call(*args)``; an exception is logged and counted, and takes nothing else along."""
        try:
            await call(*args)
        except Exception as error:
            self.fault(what, error)

    def fault(self, what: str, error: BaseException | None) -> None:
        """Log and count an exception that nothing handled."""
        self._counters.add("task_faults")
        self._counters.log(f"fault in {what}: {type(error).__name__}: {error}", "error")

    def restarting(self, what: str, error: Exception) -> None:
        """Log and count an exception that ended a loop, which is started again."""
        self.fault(what, error)
        self._counters.add("loop_restarts")

    def cancel_all(self) -> None:
        """Cancel every task that still runs, and start no more."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()

    async def _restart(self, what: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        pause = _RESTART_PAUSE_S
        while True:
            started_at = time.monotonic()
            try:
                await call(*args)
            except Exception as error:
                self.restarting(what, error)
            else:
                return
            if time.monotonic() - started_at > _STABLE_RUN_S:
                pause = _RESTART_PAUSE_S
            await asyncio.sleep(pause)
            pause = min(2.0 * pause, _MAX_RESTART_PAUSE_S)
