"""How many bytes clients may make the process hold, derived from its limit on memory."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from resource import getpagesize

from indigokeel.config import Config

_BYTES_PER_MB = 1_000_000
_USABLE_RATIO = 0.85  # of the limit; the rest is for longer endpoint lists and for what is learned
_CONNECTION_BYTES = 10_000  # of an open connection that holds nothing
_MAX_CONNECTIONS_RATIO = 0.25  # of the memory that is left after the start
_RESIDENT_PER_HELD_BYTE = 1.25  # resident memory, as the allocator reuses freed blocks only in part
_MIN_HELD_BYTES = 4_000_000


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The memory that is left for connections, and for what clients make the process hold."""

    connections: int  # for which there is memory
    available_bytes: int  # for connections and what they hold

    @classmethod
    def plan(cls, config: Config, resident_bytes: int) -> MemoryBudget:
        """Divide the memory that a process with ``resident_bytes`` has left."""
        limit_bytes = config.memory_mb * _BYTES_PER_MB
        if config.listen_fd >= 0:  # the next process may run at the same time, under the same limit
            limit_bytes //= 2
        available_bytes = max(int(limit_bytes * _USABLE_RATIO) - resident_bytes, _MIN_HELD_BYTES)
        connections = int(available_bytes * _MAX_CONNECTIONS_RATIO) // _CONNECTION_BYTES
        return cls(connections, available_bytes)

    def held_bytes(self, connections: int) -> int:
        """Return the limit on the bytes that so many connections, if all are open, may hold together."""
        left_bytes = self.available_bytes - connections * _CONNECTION_BYTES
        return max(int(left_bytes / _RESIDENT_PER_HELD_BYTE), _MIN_HELD_BYTES)


def resident_bytes() -> int:
    """Return the resident memory of this process, or 0 if the system does not tell."""
    try:
        pages = Path("/proc/self/statm").read_text().split()[1]
    except (OSError, IndexError):
        return 0
    return int(pages) * getpagesize()
