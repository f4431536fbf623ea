"""Counters, and the log: both are written to standard error."""

from __future__ import annotations

import os
import select
import time
from collections import Counter

import orjson

# No fault may flood the log, which counts as memory where it is kept. Lines over the limit are counted.
_LOG_BURST_LINES = 200.0
_LOG_LINES_PER_S = 0.5
_MAX_LINE_CHARACTERS = 500
_STDERR = 2


class Counters:
    """Counts by name, printed as one line of JSON, and log lines within a rate limit."""

    def __init__(self, name: str) -> None:
        """``name`` is the sidecar's, which begins each line."""
        self._name = name
        self._counts: Counter[str] = Counter()
        self._lines = _LOG_BURST_LINES
        self._refilled = time.monotonic()

    def add(self, what: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[what] += amount

    def __getitem__(self, what: str) -> int:
        """Return a counter's value."""
        return self._counts[what]

    def log(self, text: str, level: str = "info") -> None:
        """Write a line for the operators, unless over the rate limit.

        ``level`` is info, warning or error; the last two precede the text.
        """
        now = time.monotonic()
        self._lines = min(self._lines + _LOG_LINES_PER_S * (now - self._refilled), _LOG_BURST_LINES)
        self._refilled = now
        if self._lines < 1.0:
            self.add("log_lines_left_out")
            return
        self._lines -= 1.0
        line = " ".join(text.split())[:_MAX_LINE_CHARACTERS]
        self._write(line if level == "info" else f"{level}: {line}")

    def dump(self, **figures: float) -> None:
        """Print all counters, whatever the rate limit of log lines."""
        counts = dict(sorted(self._counts.items()))
        self._write("counters " + orjson.dumps({**counts, **figures}).decode())

    def _write(self, text: str) -> None:
        line = f"indigokeel {self._name}: {text}\n".encode()
        try:
            # Writing to a full pipe, which nobody reads any more, would block every request. A pipe that is
            # ready takes a line of up to PIPE_BUF bytes without blocking.
            poll = select.poll()
            poll.register(_STDERR, select.POLLOUT)
            if any(found & select.POLLOUT for _, found in poll.poll(0)):
                os.write(_STDERR, line[: select.PIPE_BUF])
                return
        except OSError:
            pass
        self._counts["log_lines_left_out"] += 1
