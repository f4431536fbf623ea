"""The clocks of the machine: the monotonic one, which its processes share, and the wall clock, read once."""

from __future__ import annotations

import time
from pathlib import Path

_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
_MAX_BOOT_ID_CHARACTERS = 100


def unix_to_clock() -> float:
    """Return the seconds to add to a Unix time to get the monotonic clock's, by the wall clock of now.

    This is the only use of the wall clock: ``since_ms`` of the endpoint list is a Unix time.
    """
    return time.monotonic() - time.time()


def boot_id() -> str:
    """Return the id of the machine's boot, which ends the monotonic clock; empty if it is unknown."""
    try:
        return _BOOT_ID.read_text(encoding="ascii").strip()[:_MAX_BOOT_ID_CHARACTERS]
    except (OSError, ValueError):
        return ""
