"""Counts the bytes that peers make the process hold, and frees some of them over a limit. No I/O."""

from __future__ import annotations

import sys
from typing import Protocol

UNLIMITED = sys.maxsize  # bytes
_SHORT_RATIO = 0.5  # of the limit, above which memory is short
_TARGET_RATIO = 0.9  # of the limit, to which the held bytes are reduced once they exceed it
_RETRY_RATIO = 0.01  # of the limit, by which they have to grow until memory is tried to be freed again


class MemoryHolder(Protocol):
    """A connection whose peer makes the process hold bytes."""

    def reclaim_memory(self) -> None:
        """Free what the peer can send again, or does not take; update the account."""

    def __hash__(self) -> int:
        """Return a hash by identity."""


class MemoryAccount:
    """The bytes that each connection holds, and the limit on all of them together."""

    __slots__ = (
        "_held", "_is_reclaiming", "_retry_above_bytes", "_retry_step_bytes", "_short_above_bytes",
        "_target_bytes", "limit_bytes", "times_exceeded", "used_bytes",
    )  # fmt: skip

    def __init__(self, limit_bytes: int = UNLIMITED) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.times_exceeded = 0
        self._held: dict[MemoryHolder, int] = {}
        self._short_above_bytes = int(limit_bytes * _SHORT_RATIO)
        self._target_bytes = int(limit_bytes * _TARGET_RATIO)
        self._retry_step_bytes = int(limit_bytes * _RETRY_RATIO)
        self._retry_above_bytes = 0  # held bytes; up to that, a vain attempt to free memory is not repeated
        self._is_reclaiming = False

    def update(self, holder: MemoryHolder, held_bytes: int) -> None:
        """Record what a connection holds now; over the limit, free memory of those that hold most."""
        self._count(held_bytes - self._held.get(holder, 0))
        self._held[holder] = held_bytes
        if self.used_bytes > self.limit_bytes:
            self._reclaim(self._target_bytes)

    def remove(self, holder: MemoryHolder) -> None:
        """Forget a connection, which holds nothing any more."""
        self._count(-self._held.pop(holder, 0))

    def is_short(self) -> bool:
        """Return whether so much is held that connections should not hold more than they need."""
        return self.used_bytes > self._short_above_bytes

    def has_room(self, additional_bytes: int) -> bool:
        """Return whether more may be held, if need be after memory was freed."""
        if self.used_bytes + additional_bytes > self.limit_bytes:
            self._reclaim(min(self._target_bytes, self.limit_bytes - additional_bytes))
        return self.used_bytes + additional_bytes <= self.limit_bytes

    def _count(self, change_bytes: int) -> None:
        self.used_bytes += change_bytes
        self._retry_above_bytes = min(self._retry_above_bytes, self.used_bytes + self._retry_step_bytes)

    def _reclaim(self, target_bytes: int) -> None:
        """Free memory until at most ``target_bytes`` are held, or nothing more can be freed."""
        if self._is_reclaiming or self.used_bytes <= self._retry_above_bytes:
            return
        self._is_reclaiming = True
        self.times_exceeded += 1
        try:
            for holder in sorted(self._held, key=self._held.__getitem__, reverse=True):
                if self.used_bytes <= target_bytes:
                    break
                holder.reclaim_memory()
        finally:
            self._is_reclaiming = False
            is_enough = self.used_bytes <= target_bytes
            self._retry_above_bytes = 0 if is_enough else self.used_bytes + self._retry_step_bytes
