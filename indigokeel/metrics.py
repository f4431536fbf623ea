"""Counters of what is taken in, sent and answered, and the log."""

from __future__ import annotations

import os
import select
import time
from collections import Counter

import orjson

# A log counts as memory where it is kept, and no fault may flood it: so many lines at once, then so many a
# second. What is left out is counted.
_LOG_BURST = 200.0
_LOG_RATE = 0.5
_STDERR = 2


class Counters:
    """Counts by name, printed as one line of JSON; and log lines, bounded."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._counts: Counter[str] = Counter()
        self._lines, self._refilled = _LOG_BURST, time.monotonic()

    def add(self, what: str, amount: int = 1) -> None:
        self._counts[what] += amount

    def __getitem__(self, what: str) -> int:
        return self._counts[what]

    def log(self, text: str, level: str = "info") -> None:
        """Write a line for the operators; past the bound only counters tell. ``level`` is info, warning or
        error; the last two stand before the text."""
        now = time.monotonic()
        self._lines = min(self._lines + _LOG_RATE * (now - self._refilled), _LOG_BURST)
        self._refilled = now
        if self._lines < 1.0:
            self.add("log_lines_left_out")
            return
        self._lines -= 1.0
        line = " ".join(text.split())[:500]
        self._write(line if level == "info" else f"{level}: {line}")

    def dump(self, **figures: float) -> None:
        """Print all counters; never held back by the bound on log lines."""
        counts = dict(sorted(self._counts.items()))
        self._write("counters " + orjson.dumps({**counts, **figures}).decode())

    def _write(self, text: str) -> None:
        line = f"indigokeel {self._name}: {text}\n".encode()
        try:
            # Guards against a log that nobody reads any more: a full pipe would stop every request. One that
            # is ready takes a line of up to PIPE_BUF without blocking.
            poll = select.poll()
            poll.register(_STDERR, select.POLLOUT)
            if any(found & select.POLLOUT for _, found in poll.poll(0)):
                os.write(_STDERR, line[: select.PIPE_BUF])
                return
        except OSError:
            pass
        self._counts["log_lines_left_out"] += 1
