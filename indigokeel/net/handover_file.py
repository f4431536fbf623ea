"""The files by which the processes of one sidecar tell each other what they know.

Each process has one at a time, under a name that no file had before: a new one is written beside it, whole
by rename, and the one before goes. Guards against the file system (ext4) that writes a file out to its disk
when it takes the place of another: that took 77 ms in the middle and up to 270 ms, in which a process moves
no job, so that all its claims time out and half of the nodes go to quarantine. Under a new name: 0.3 ms.
"""

from __future__ import annotations

import contextlib
import os
import stat
import time
from pathlib import Path

from indigokeel import handover
from indigokeel.handover import Handover, HandoverError

_KEPT = 30.0  # s that the last file of a process that is gone stays, once another has written
_MOST = 16  # files read at a time, the newest


class HandoverFiles:
    """The files in one folder that the processes share."""

    def __init__(self, folder: str, name: str) -> None:
        safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:100]
        self._folder, self._prefix = Path(folder), f"indigokeel-{safe}.handover."
        self._seen: set[str] = set()  # names of what was read, or is this process's own
        self._mine = ""

    def fresh(self) -> list[str]:
        """The names of what was not read yet, newest first. One look at the folder."""
        try:
            found = [n for n in os.listdir(self._folder) if n.startswith(self._prefix) and n[-1] != "~"]
        except OSError:
            return []
        self._seen.intersection_update(found)
        return sorted((n for n in found if n not in self._seen), key=_stamp, reverse=True)[:_MOST]

    def read(self, name: str, now: float) -> Handover | None:
        """What is in a file, or None where it has gone. ``now`` is in Unix seconds. Raises HandoverError, or
        OSError, on what cannot be relied on. None is read twice."""
        self._seen.add(name)
        try:
            # Neither a link nor a pipe that nobody writes to may lead elsewhere or hold this process up.
            flags = os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC
            fd = os.open(self._folder / name, flags)
        except FileNotFoundError:
            return None
        try:
            found = os.fstat(fd)
            if not stat.S_ISREG(found.st_mode) or found.st_size > handover.MOST:
                raise HandoverError("not a handover")
            data = b""
            while len(data) <= found.st_size and (piece := os.read(fd, 1 << 16)):
                data += piece
        finally:
            os.close(fd)
        return handover.decode(data, now)

    def write(self, data: bytes) -> None:
        """Put other bytes in the place of this process's file; raises OSError where that is not possible, and
        the one before stays."""
        name = f"{self._prefix}{time.time_ns()}-{os.getpid()}"
        new = self._folder / (name + "~")
        try:
            fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
            try:
                rest = memoryview(data)
                while rest:
                    rest = rest[os.write(fd, rest) :]
            finally:
                os.close(fd)
            new.rename(self._folder / name)
        except OSError:
            with contextlib.suppress(OSError):
                new.unlink()
            raise
        self._seen.add(name)
        before, self._mine = self._mine, name
        if before:
            with contextlib.suppress(OSError):
                (self._folder / before).unlink()

    def tidy(self) -> None:
        """Take away what processes that are gone have left, all of which was read here."""
        oldest = time.time_ns() - int(_KEPT * 1e9)
        for name in [n for n in self._seen if n != self._mine and _stamp(n) < oldest]:
            with contextlib.suppress(OSError):
                (self._folder / name).unlink()


def _stamp(name: str) -> int:
    """When a file was written, in Unix nanoseconds, by its name; 0 where that does not tell."""
    digits = name.rpartition(".")[2].partition("-")[0]
    return int(digits) if digits.isdigit() and digits.isascii() and len(digits) < 25 else 0
