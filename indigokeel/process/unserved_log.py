"""Counts and logs requests that were not served, by cause."""

from __future__ import annotations

import math
from collections import Counter

from indigokeel.metrics import Counters
from indigokeel.requests.effects import FinalStatus
from indigokeel.requests.unserved import Unserved, UnservedCause

_LOG_INTERVAL_S = 30.0  # between log lines of the same status and cause


class UnservedLog:
    """Counts each unserved request, and logs at most one of a status and cause per interval."""

    def __init__(self, counters: Counters) -> None:
        """``counters`` counts the requests and writes the log lines."""
        self._counters = counters
        self._next_line_at: dict[tuple[FinalStatus, UnservedCause], float] = {}
        self._suppressed: Counter[tuple[FinalStatus, UnservedCause]] = Counter()

    def record(self, now: float, status: FinalStatus, unserved: Unserved, loop_lag_s: float) -> None:
        """Record an answer to an unserved request, given at monotonic time ``now``."""
        self._counters.add(f"requests_{status.value}_{unserved.cause.value}")
        kind = status, unserved.cause
        if now < self._next_line_at.get(kind, -math.inf):
            self._suppressed[kind] += 1
            return
        self._next_line_at[kind] = now + _LOG_INTERVAL_S
        self._counters.log(_format_line(status, unserved, loop_lag_s, self._suppressed.pop(kind, 0)))


def _format_line(status: FinalStatus, unserved: Unserved, loop_lag_s: float, suppressed: int) -> str:
    parts = [
        f"request {status.value}: {unserved.cause.value}",
        f"class {unserved.class_name}",
        f"last upstream {unserved.upstream or 'none'}",
        "may have run" if unserved.may_have_run else "has not run",
        f"after {unserved.elapsed_s:.3f} s",
        f"event loop {loop_lag_s * 1000.0:.1f} ms late",
    ]
    if suppressed:
        parts.append(f"{suppressed} more of this kind since the last such line")
    return ", ".join(parts)
