"""A limit on the bytes of an HTTP message that are not part of its body."""

from __future__ import annotations

from indigokeel.net import http


class FramingLimit:
    """Counts the bytes that have arrived since the last byte of a body.

    These belong to heads, interim responses, chunk sizes and extensions, and trailer sections. None of them
    is passed on while it arrives, and httptools keeps an incomplete field in memory, so the peer alone would
    decide how much is held.
    """

    __slots__ = ("bytes_without_progress",)

    def __init__(self) -> None:
        self.bytes_without_progress = 0

    def is_exceeded_by(self, size: int, has_progress: bool) -> bool:
        """Count received bytes; return whether too many have arrived since the last progress.

        ``has_progress`` is whether a part of a body or the end of a message is among them.
        """
        self.bytes_without_progress = 0 if has_progress else self.bytes_without_progress + size
        return self.bytes_without_progress > http.MAX_HEAD
