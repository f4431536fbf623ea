"""Writes to a non-blocking socket, and buffers the bytes that the kernel has not accepted yet."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from typing import Protocol

from indigokeel.net.errors import ErrorCategory, LocalError, SocketOperation, classify_errno
from indigokeel.net.upstream.backoff import LocalRetryDelays

_MAX_CHUNKS = 64  # per writev call, which accepts 1,024 at most (IOV_MAX)
_CLOSED = -1

Chunks = Sequence[bytes | memoryview]


class WriteHandler(Protocol):
    """The receiver of the results of deferred writes."""

    def on_all_written(self) -> None:
        """Handle that the kernel has accepted the last of the unsent bytes."""

    def on_write_error(self, error: LocalError | None) -> None:
        """Handle a deferred write that failed: locally, or (None) because the connection is broken."""


class SocketWriter:
    """Writes to one socket, in order, and retries writes that fail locally."""

    __slots__ = (
        "_fd", "_handler", "_loop", "_retry_delays", "_retry_timer", "_stall_timeout_s", "_stalled_s",
        "_unsent", "_watching",
    )  # fmt: skip

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handler: WriteHandler, retry_delays: LocalRetryDelays
    ) -> None:
        self._loop = loop
        self._handler = handler
        self._fd = _CLOSED
        self._unsent: list[bytes | memoryview] = []
        self._watching = False
        self._retry_timer: asyncio.TimerHandle | None = None
        self._retry_delays = retry_delays
        self._stalled_s = 0.0  # total delay of retries since bytes were last written
        self._stall_timeout_s = 0.0

    def start(self, fd: int, stall_timeout_s: float) -> None:
        """Allow writes. Those that fail locally are retried for ``stall_timeout_s`` seconds."""
        self._fd = fd
        self._stall_timeout_s = stall_timeout_s

    @property
    def has_unsent(self) -> bool:
        """Whether the kernel has not accepted all bytes yet."""
        return bool(self._unsent)

    def write(self, chunks: Chunks, is_first: bool = False) -> bool:
        """Write, and keep the bytes that the kernel does not accept yet to write them later.

        Return False if the connection is broken and not all was written. ``is_first`` marks the start of a
        message: if its write fails locally, LocalError is raised and nothing is written.
        """
        if self._fd == _CLOSED:
            return False
        if self._unsent:
            self._unsent += chunks
            return True
        written, result = self._write_once(chunks)
        if result is ErrorCategory.UPSTREAM:
            return False
        if result is ErrorCategory.LOCAL and is_first:
            raise LocalError("write failed for lack of a local resource")
        if written < sum(map(len, chunks)):
            self._unsent = _remaining(chunks, written)
            self._schedule(result)
        return True

    def close(self) -> None:
        """Drop the unsent bytes and stop writing permanently; the socket stays open."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        self._unwatch()
        self._fd = _CLOSED
        self._unsent = []

    def detach(self) -> None:
        """Stop writing to a descriptor that may belong to another owner by now."""
        if self._watching:
            self._watching = False
            self._loop.remove_writer(self._fd)

    def _write_once(self, chunks: Chunks) -> tuple[int, ErrorCategory]:
        """Write once. Return the number of bytes written, and the category of the result."""
        try:
            return os.writev(self._fd, chunks[:_MAX_CHUNKS]), ErrorCategory.NO_FAILURE
        except OSError as error:
            return 0, classify_errno(error.errno, SocketOperation.WRITE)

    def _schedule(self, result: ErrorCategory) -> None:
        """Continue when the socket is writable, or after a delay if the write failed locally."""
        if result is not ErrorCategory.LOCAL:
            if not self._watching:
                self._loop.add_writer(self._fd, self._on_writable)
                self._watching = True
            return
        self._unwatch()
        delay_s = self._retry_delays.next_delay_s()
        self._stalled_s += delay_s
        self._retry_timer = self._loop.call_later(delay_s, self._on_writable)

    def _on_writable(self) -> None:
        self._retry_timer = None
        if self._fd == _CLOSED:
            return
        written, result = self._write_once(self._unsent)
        if result is ErrorCategory.UPSTREAM:
            self._handler.on_write_error(None)
            return
        if result is ErrorCategory.LOCAL and self._stalled_s >= self._stall_timeout_s:
            self._handler.on_write_error(
                LocalError("write failed for lack of a local resource until the retries timed out")
            )
            return
        if written:
            self._stalled_s = 0.0
            self._retry_delays.reset()
        self._unsent = _remaining(self._unsent, written)
        if self._unsent:
            self._schedule(result)
            return
        self._unwatch()
        self._handler.on_all_written()

    def _unwatch(self) -> None:
        if self._watching:
            self._loop.remove_writer(self._fd)
            self._watching = False


def _remaining(chunks: Chunks, written: int) -> list[bytes | memoryview]:
    """Return the chunks without their first ``written`` bytes."""
    remaining: list[bytes | memoryview] = []
    for chunk in chunks:
        if written >= len(chunk):
            written -= len(chunk)
        else:
            remaining.append(memoryview(chunk)[written:])
            written = 0
    return remaining
