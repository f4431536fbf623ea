"""The clocks of the machine: the one that all its processes share, and the wall clock, which is read once."""

from __future__ import annotations

import time
from pathlib import Path

_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
_MOST_BOOT_ID = 100  # characters


def unix_to_clock() -> float:
    """What has to be added to a Unix time to get the monotonic clock's, as the wall clock stands now.

    The only use of the wall clock: ``since_ms`` of the endpoint list is a Unix time."""
    return time.monotonic() - time.time()


def boot_id() -> str:
    """What tells one boot of the machine from another, until which the monotonic clock goes on; empty where
    the system does not say."""
    try:
        return _BOOT_ID.read_text(encoding="ascii").strip()[:_MOST_BOOT_ID]
    except (OSError, ValueError):
        return ""
