"""The clocks of the machine: the monotonic clock, which its processes share, and the wall clock."""

from __future__ import annotations

import time
from pathlib import Path

_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
_MAX_BOOT_ID_CHARACTERS = 100


def unix_to_clock() -> float:
    """Return the offset in seconds from a Unix time to the monotonic clock, by the current wall clock.

    This is the only use of the wall clock, once per process. It is needed because ``since_ms`` of the
    endpoint list is a Unix time.
    """
    return time.monotonic() - time.time()


def boot_id() -> str:
    """Return the id of the current boot, at which the monotonic clock began; empty if it is unknown."""
    try:
        return _BOOT_ID.read_text(encoding="ascii").strip()[:_MAX_BOOT_ID_CHARACTERS]
    except (OSError, ValueError):
        return ""
