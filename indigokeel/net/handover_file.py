"""The file by which the processes of one sidecar tell each other what they know."""

from __future__ import annotations

import contextlib
import os
import stat
from pathlib import Path

from indigokeel import handover
from indigokeel.handover import Handover, HandoverError


class HandoverFile:
    """One file in a folder that the processes share, written whole by rename."""

    def __init__(self, folder: str, name: str) -> None:
        safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:100]
        self._path = Path(folder) / f"indigokeel-{safe}.handover"
        self._seen = (0, 0, 0)  # inode, size and time of what was read last

    def changed(self) -> bool:
        """Whether there is something that was not read yet. One call to the system."""
        try:
            found = self._path.stat(follow_symlinks=False)
        except OSError:
            return False
        return (found.st_ino, found.st_size, found.st_mtime_ns) != self._seen

    def read(self, now: float) -> Handover | None:
        """What is there, or None where nothing is. ``now`` is in Unix seconds. Raises HandoverError, or
        OSError, on what cannot be relied on; that is not read again until it has changed."""
        try:
            # Neither a link nor a pipe that nobody writes to may lead elsewhere or hold this process up.
            fd = os.open(self._path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            found = os.fstat(fd)
            self._seen = found.st_ino, found.st_size, found.st_mtime_ns
            if not stat.S_ISREG(found.st_mode) or found.st_size > handover.MOST:
                raise HandoverError("not a handover")
            data = b""
            while len(data) <= found.st_size and (piece := os.read(fd, 1 << 16)):
                data += piece
        finally:
            os.close(fd)
        return handover.decode(data, now)

    def write(self, data: bytes) -> None:
        """Put other bytes in its place, whole or not at all; raises OSError where that is not possible."""
        new = self._path.with_suffix(f".{os.getpid()}")
        try:
            fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
            try:
                rest = memoryview(data)
                while rest:
                    rest = rest[os.write(fd, rest) :]
                found = os.fstat(fd)
            finally:
                os.close(fd)
            new.replace(self._path)
            self._seen = found.st_ino, found.st_size, found.st_mtime_ns
        except OSError:
            with contextlib.suppress(OSError):
                new.unlink()
            raise
