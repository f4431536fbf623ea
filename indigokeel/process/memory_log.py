"""Logs that clients have used up the memory for what they send."""

from __future__ import annotations

from indigokeel.metrics import Counters
from indigokeel.net.memory_account import MemoryAccount


class MemoryLog:
    """Writes a line if the limit was exceeded since the last one."""

    def __init__(self, memory: MemoryAccount, counters: Counters) -> None:
        """``counters`` writes the line."""
        self._memory = memory
        self._counters = counters
        self._logged_times_exceeded = 0

    def write(self) -> None:
        """Write the line, if there is something to report; called periodically."""
        memory = self._memory
        times = memory.times_exceeded - self._logged_times_exceeded
        if times == 0:
            return
        self._logged_times_exceeded = memory.times_exceeded
        self._counters.log(
            f"memory for requests used up {times} times, rejecting those that are incomplete or wait: "
            f"{memory.used_bytes} of {memory.limit_bytes} bytes held",
            "warning",
        )
