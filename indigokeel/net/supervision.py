"""Background tasks of the process: started in one place, each fault logged and counted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from indigokeel.net.counters import Counters


class Supervisor:
    """Owns the background tasks of one process."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._group: asyncio.TaskGroup | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def attach(self, group: asyncio.TaskGroup) -> None:
        """Start tasks in ``group`` from now on."""
        self._group = group

    def spawn(self, what: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run ``call(*args)`` as a task; ``what`` names it in the log."""
        assert self._group is not None
        task = self._group.create_task(self._run(what, call, *args))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, what: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        try:
            await call(*args)
        except Exception as error:  # a fault never takes the other tasks with it
            self.fault(what, error)

    def fault(self, what: str, error: BaseException | None) -> None:
        """Log and count an exception that nothing handled."""
        self._counters.add("task_faults")
        self._counters.log(f"fault in {what}: {type(error).__name__}: {error}")

    def cancel_all(self) -> None:
        """Cancel every task that still runs."""
        for task in list(self._tasks):
            task.cancel()
