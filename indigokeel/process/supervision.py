"""Background tasks of the process: they are started here, and their exceptions are logged and counted."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, ParamSpec, TypeVar

from indigokeel.metrics import Counters

_RESTART_PAUSE_S = 0.05  # before the first restart of a task; doubled for each further one
_MAX_RESTART_PAUSE_S = 1.0
_STABLE_RUN_S = 5.0  # after a run longer than this, the pause is reset to the first

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
        """Set the group in which tasks are started."""
        self._group = group

    def spawn(self, label: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run ``call(*args)`` as a task; ``label`` names it in the log.

        Nothing is started after ``cancel_all``, because the process would wait for it to end.
        """
        if self._stopped:
            return
        assert self._group is not None
        task = self._group.create_task(self.run_guarded_async(label, call, *args))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def keep_running(self, label: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run ``call(*args)`` as a task, restarted after an exception, until it returns or is cancelled."""
        self.spawn(label, self._restart, label, call, *args)

    def run_guarded(self, label: str, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T | None:
        """Call a step of a loop that has to continue even if the step raises.

        An exception is logged and counted; the result is None then.
        """
        try:
            return call(*args, **kwargs)
        except Exception as error:
            self.record_fault(label, error)
            return None

    async def run_guarded_async(self, label: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Await ``call(*args)``; an exception is logged and counted, and does not stop other tasks."""
        try:
            await call(*args)
        except Exception as error:
            self.record_fault(label, error)

    def record_fault(self, label: str, error: BaseException | None) -> None:
        """Log and count an unhandled exception."""
        self._counters.add("task_faults")
        self._counters.log(f"fault in {label}: {type(error).__name__}: {error}", "error")

    def record_restart(self, label: str, error: Exception) -> None:
        """Log and count an exception after which a task or timer is restarted."""
        self.record_fault(label, error)
        self._counters.add("loop_restarts")

    def cancel_all(self) -> None:
        """Cancel all running tasks, and start no more."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()

    async def _restart(self, label: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        pause = _RESTART_PAUSE_S
        while True:
            started_at = time.monotonic()
            try:
                await call(*args)
            except Exception as error:
                self.record_restart(label, error)
            else:
                return
            if time.monotonic() - started_at > _STABLE_RUN_S:
                pause = _RESTART_PAUSE_S
            await asyncio.sleep(pause)
            pause = min(2.0 * pause, _MAX_RESTART_PAUSE_S)
