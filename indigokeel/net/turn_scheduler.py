"""Shares each turn of the event loop among the connections that have input to process. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

_TURN_S = 0.005  # processing in one turn; then sockets, timers and signals are served again

Task = Callable[[], None]


class TurnScheduler:
    """Runs tasks at once while the turn has time left, and queues the others for later turns.

    Small tasks run before large ones, so that peers that send much do not delay those that send little; each
    turn also runs a large one. A task has to be short, and queues itself again if work is left.
    """

    __slots__ = ("_call_soon", "_clock", "_is_turn_open", "_large", "_small", "_turn_ends_at")

    def __init__(self, call_soon: Callable[[Task], object], clock: Callable[[], float]) -> None:
        """``call_soon`` calls a function in the next turn of the event loop; ``clock`` is in seconds."""
        self._call_soon = call_soon
        self._clock = clock
        self._is_turn_open = False
        self._turn_ends_at = 0.0
        self._small: deque[Task] = deque()
        self._large: deque[Task] = deque()

    def has_time(self) -> bool:
        """Return whether the current turn has time left."""
        return self._clock() < self._turn_ends_at

    def run(self, task: Task, is_small: bool) -> None:
        """Run a task now, or in a later turn if this one has no time left or such tasks are waiting."""
        if not self._is_turn_open:
            self._open_turn()
        queue = self._small if is_small else self._large
        if queue or not self.has_time():
            queue.append(task)
        else:
            task()

    def run_later(self, task: Task) -> None:
        """Run a task, the rest of one that was interrupted, behind the large tasks that are waiting."""
        self._large.append(task)
        if not self._is_turn_open:
            self._open_turn()

    def _open_turn(self) -> None:
        self._is_turn_open = True
        self._turn_ends_at = self._clock() + _TURN_S
        self._call_soon(self._run_waiting)

    def _run_waiting(self) -> None:
        """Run waiting tasks as far as a new turn has time for them."""
        self._is_turn_open = False
        if not self._small and not self._large:
            return
        self._open_turn()
        if self._large:
            self._large.popleft()()
        for queue in (self._small, self._large):
            while queue and self.has_time():
                queue.popleft()()
