"""The wait that a rejected client is advised."""

from __future__ import annotations

from indigokeel.balancing.settings import Limits

MAX_RETRY_AFTER_S = 0.25


def retry_after_s(limits: Limits) -> float:
    """Return the advised wait in seconds, or 0.0 where clients do not receive it."""
    return min(limits.max_retry_after, MAX_RETRY_AFTER_S) if limits.retry_after else 0.0
