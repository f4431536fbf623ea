"""Counters and the log, both written to standard error."""

from __future__ import annotations

import os
import select
import time
from collections import Counter

import orjson

# No error may flood the log, which counts as memory where the platform keeps it. Lines over the limit are
# dropped and counted.
_LOG_BURST_LINES = 200.0
_LOG_LINES_PER_S = 0.5
_MAX_LINE_CHARACTERS = 500
_STDERR = 2


class Counters:
    """Counters by name, printed as one line of JSON, and rate-limited log lines."""

    def __init__(self, name: str) -> None:
        """Create counters at zero; ``name`` is that of the sidecar, with which each line begins."""
        self._name = name
        self._counts: Counter[str] = Counter()
        self._available_lines = _LOG_BURST_LINES
        self._refilled_at = time.monotonic()

    def add(self, counter: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[counter] += amount

    def __getitem__(self, counter: str) -> int:
        """Return the value of a counter."""
        return self._counts[counter]

    def log(self, text: str, level: str = "info") -> None:
        """Write a log line, unless the rate limit is exceeded.

        ``level`` is info, warning or error; warning and error are written before the text.
        """
        now = time.monotonic()
        self._available_lines = min(
            self._available_lines + _LOG_LINES_PER_S * (now - self._refilled_at), _LOG_BURST_LINES
        )
        self._refilled_at = now
        if self._available_lines < 1.0:
            self.add("log_lines_left_out")
            return
        self._available_lines -= 1.0
        line = " ".join(text.split())[:_MAX_LINE_CHARACTERS]
        self._write(line if level == "info" else f"{level}: {line}")

    def dump(self, **figures: float) -> None:
        """Print all counters and the given figures, regardless of the rate limit."""
        counts = dict(sorted(self._counts.items()))
        self._write("counters " + orjson.dumps({**counts, **figures}).decode())

    def _write(self, text: str) -> None:
        line = f"indigokeel {self._name}: {text}\n".encode()
        try:
            # A write to a full pipe that is no longer read would block every request. A pipe that polls as
            # writable accepts a line of up to PIPE_BUF bytes without blocking.
            poll = select.poll()
            poll.register(_STDERR, select.POLLOUT)
            if any(found & select.POLLOUT for _, found in poll.poll(0)):
                os.write(_STDERR, line[: select.PIPE_BUF])
                return
        except OSError:
            pass
        self._counts["log_lines_left_out"] += 1
