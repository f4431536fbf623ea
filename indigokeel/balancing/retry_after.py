"""The retry delay advised to the client of a rejected request."""

from __future__ import annotations

from indigokeel.balancing.settings import Limits

MAX_RETRY_AFTER_S = 0.25


def retry_after_s(limits: Limits) -> float:
    """Return the advised retry delay in seconds, or 0.0 where clients are not advised of one."""
    return min(limits.max_retry_after, MAX_RETRY_AFTER_S) if limits.retry_after else 0.0
