"""Remembers the requests that must not run twice, after they have ended. No I/O; the clock is passed in."""

from __future__ import annotations

from hashlib import blake2b

_RETENTION_S = 60.0
_MAX_IDS = 16_384  # the oldest are forgotten first
_DIGEST_BYTES = 16


class SentRequestIds:
    """The ids of requests that were sent to an upstream and may have run there."""

    def __init__(self) -> None:
        # Digests, since a client chooses the length of its ids; with the clock time of the last attempt.
        self._sent_at: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._sent_at)

    def add(self, now: float, request_id: str) -> None:
        """Remember a request of which an attempt is sent now."""
        digest = _digest(request_id)
        self._sent_at.pop(digest, None)
        self._sent_at[digest] = now
        self._drop_old(now)

    def discard(self, request_id: str) -> None:
        """Forget a request none of whose attempts can have run."""
        self._sent_at.pop(_digest(request_id), None)

    def contains(self, now: float, request_id: str) -> bool:
        """Return whether a request with this id may have run."""
        sent_at = self._sent_at.get(_digest(request_id))
        return sent_at is not None and now - sent_at < _RETENTION_S

    def _drop_old(self, now: float) -> None:
        while self._sent_at:
            oldest = next(iter(self._sent_at))
            if len(self._sent_at) <= _MAX_IDS and now - self._sent_at[oldest] < _RETENTION_S:
                return
            del self._sent_at[oldest]


def _digest(request_id: str) -> bytes:
    return blake2b(request_id.encode(), digest_size=_DIGEST_BYTES).digest()
