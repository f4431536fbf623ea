"""Counts and logs the requests that were not served, by cause."""

from __future__ import annotations

import math
from collections import Counter

from indigokeel.metrics import Counters
from indigokeel.requests.effects import FinalStatus
from indigokeel.requests.unserved import Unserved, UnservedCause

_LOG_INTERVAL_S = 30.0  # between two lines of the same cause and status


class UnservedLog:
    """Counts each unserved request, and logs one of a cause and status now and then."""

    def __init__(self, counters: Counters) -> None:
        """``counters`` takes both."""
        self._counters = counters
        self._next_line_at: dict[tuple[FinalStatus, UnservedCause], float] = {}
        self._left_out: Counter[tuple[FinalStatus, UnservedCause]] = Counter()

    def record(self, now: float, status: FinalStatus, why: Unserved, loop_lag_s: float) -> None:
        """Record an answer that is no success, given at monotonic time ``now``."""
        self._counters.add(f"requests_{status.value}_{why.cause.value}")
        kind = status, why.cause
        if now < self._next_line_at.get(kind, -math.inf):
            self._left_out[kind] += 1
            return
        self._next_line_at[kind] = now + _LOG_INTERVAL_S
        self._counters.log(_line(status, why, loop_lag_s, self._left_out.pop(kind, 0)))


def _line(status: FinalStatus, why: Unserved, loop_lag_s: float, left_out: int) -> str:
    parts = [
        f"request {status.value}: {why.cause.value}",
        f"class {why.class_name}",
        f"last upstream {why.upstream or 'none'}",
        "may have run" if why.may_have_run else "has not run",
        f"after {why.elapsed_s:.3f} s",
        f"event loop {loop_lag_s * 1000.0:.1f} ms late",
    ]
    if left_out:
        parts.append(f"{left_out} more of this kind since the last such line")
    return ", ".join(parts)
