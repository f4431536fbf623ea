"""A limit on the bytes of an HTTP message that are not part of its body."""

from __future__ import annotations

from indigokeel.net import http


class FramingLimit:
    """Counts the bytes that have arrived since the last byte of a body.

    These belong to heads, interim responses, chunk sizes and extensions, and trailer sections. None of them
    is passed on while it arrives, and httptools keeps an incomplete field in memory, so the peer alone would
    decide how much is held.
    """

    __slots__ = ("_bytes",)

    def __init__(self) -> None:
        self._bytes = 0

    def restart(self) -> None:
        """Start to count anew: a part of a body has arrived, or a message has ended."""
        self._bytes = 0

    def is_exceeded_by(self, size: int) -> bool:
        """Count received bytes without any of a body among them; return whether there are too many."""
        self._bytes += size
        return self._bytes > http.MAX_HEAD
