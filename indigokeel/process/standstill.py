"""Reports an event loop that stands still because a step of it uses up the processor."""

from __future__ import annotations

import signal
import traceback
from pathlib import Path
from types import FrameType

from indigokeel.metrics import Counters

_LIMIT_CPU_S = 1.0  # processor time without a call of ``progress``
_MAX_FRAMES = 8  # innermost ones, of the reported stack


class StandstillWatch:
    """Logs the stack once in each standstill.

    The timer counts processor time of the process, so that nothing is reported while the host is busy with
    others. A step that never returns to the interpreter is not seen.
    """

    def __init__(self, counters: Counters) -> None:
        """``counters`` takes the count and the line of each standstill."""
        self._counters = counters

    def start(self) -> None:
        """Watch from now on; ``progress`` has to be called at a steady interval."""
        signal.signal(signal.SIGPROF, self._report)
        self.progress()

    def progress(self) -> None:
        """Note that the event loop runs."""
        signal.setitimer(signal.ITIMER_PROF, _LIMIT_CPU_S)

    def stop(self) -> None:
        """Stop watching, before the interpreter ends and the signal would end the process."""
        signal.setitimer(signal.ITIMER_PROF, 0.0)

    def _report(self, _number: int, frame: FrameType | None) -> None:
        self._counters.add("standstills")
        frames = traceback.extract_stack(frame)[-_MAX_FRAMES:]
        stack = " < ".join(f"{Path(f.filename).name}:{f.lineno} {f.name}" for f in reversed(frames))
        self._counters.log(f"event loop stands still, using the processor: {stack}", "error")
