"""The counters, log and clock that the parts of a connection pool share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Telemetry:
    """The counters, log and clock of a connection pool."""

    count: Callable[[str], None]  # takes the name of a counter
    log: Callable[[str, str], None]  # takes a level and a text
    clock: Callable[[], float]  # monotonic, in seconds

    def report_handler_error(self, error: Exception) -> None:
        """Count and log an unexpected exception in the code that uses a connection."""
        self.count("connection_faults")
        self.log("error", f"fault on a connection: {type(error).__name__}: {error}")
