"""Watchdog: reports an event loop that is blocked by a step that uses up the processor."""

from __future__ import annotations

import signal
import traceback
from pathlib import Path
from types import FrameType

from indigokeel.metrics import Counters

_CPU_LIMIT_S = 1.0  # processor time without a call of ``reset`` after which the event loop counts as blocked
_MAX_FRAMES = 8  # of the reported stack; the innermost ones


class EventLoopWatchdog:
    """Logs the stack of the main thread, once each time the event loop is blocked.

    The timer counts the processor time of the process, so that nothing is reported while the host is busy
    with other processes. A step that does not return to the interpreter is not detected.
    """

    def __init__(self, counters: Counters) -> None:
        """``counters`` counts and logs each report."""
        self._counters = counters

    def start(self) -> None:
        """Start watching; ``reset`` has to be called periodically."""
        signal.signal(signal.SIGPROF, self._report)
        self.reset()

    def reset(self) -> None:
        """Restart the timer, because the event loop is running."""
        signal.setitimer(signal.ITIMER_PROF, _CPU_LIMIT_S)

    def stop(self) -> None:
        """Stop watching: after the interpreter has shut down, the signal would kill the process."""
        signal.setitimer(signal.ITIMER_PROF, 0.0)

    def _report(self, _number: int, frame: FrameType | None) -> None:
        self._counters.add("standstills")
        frames = traceback.extract_stack(frame)[-_MAX_FRAMES:]
        stack = " < ".join(f"{Path(f.filename).name}:{f.lineno} {f.name}" for f in reversed(frames))
        self._counters.log(f"event loop stands still, using the processor: {stack}", "error")
