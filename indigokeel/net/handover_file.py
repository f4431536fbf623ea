"""The files by which the processes of one sidecar tell each other what they know.

Each process has one at a time, under a name that no file had before: a new one is written beside it, whole
by rename, and the one before goes. Guards against the file system (ext4) that writes a file out to its disk
when it takes the place of another: that took 77 ms in the middle and up to 270 ms, in which a process moves
no job, so that all its claims time out and half of the nodes go to quarantine. Under a new name: 0.3 ms.

A name holds a number, one more than the highest in the folder, and the process's id: the higher number is the
newer file, whatever the clocks did. Processes of older versions put Unix nanoseconds there, which the numbers
then go on from.
"""

from __future__ import annotations

import contextlib
import errno
import os
import stat
from pathlib import Path

from indigokeel import handover
from indigokeel.handover import Handover, HandoverError, Moment

_KEPT = 30.0  # s that a file stays which its process no longer replaces, once another has written
_MOST = 16  # files read at a time, the newest
_MOST_NUMBER = 2**62  # a name with a higher one is foreign, and counts as the oldest


class HandoverFiles:
    """The files in one folder that the processes share."""

    def __init__(self, folder: str, name: str) -> None:
        safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:100]
        self._folder, self._prefix = Path(folder), f"indigokeel-{safe}.handover."
        self._found: dict[str, float] = {}  # names in the folder, with the clock time of the first look
        self._seen: set[str] = set()  # of them, what was read, or is this process's own
        self._failed: set[str] = set()  # of them, what could not be read, and is tried again after the others
        self._highest = 0  # number that a name had
        self._mine = ""

    def fresh(self, now: float) -> list[str]:
        """The names of what was not read yet, newest first. One look at the folder at clock time ``now``;
        raises OSError where that is not possible. A folder that does not exist holds nothing."""
        try:
            names = [name for name in os.listdir(self._folder) if name.startswith(self._prefix)]
        except FileNotFoundError:
            names = []
        self._found = {name: self._found.get(name, now) for name in names}
        self._highest = max([self._highest, *map(_number, names)])
        self._seen.intersection_update(names)
        self._failed.intersection_update(names)
        unread = [name for name in names if name not in self._seen and name[-1] != "~"]
        return sorted(unread, key=lambda n: (n not in self._failed, _number(n)), reverse=True)[:_MOST]

    def read(self, name: str, moment: Moment) -> Handover | None:
        """What is in a file, or None where it has gone. Raises HandoverError on what cannot be relied on,
        which is not read again, or OSError, after which it may be."""
        self._failed.add(name)
        try:
            data = self._read(name)
        except FileNotFoundError:
            return None
        self._failed.discard(name)
        self._seen.add(name)
        if data is None:
            raise HandoverError("not a handover")
        return handover.decode(data, moment)

    def _read(self, name: str) -> bytes | None:
        """The bytes of a file, or None where it is none or too large."""
        # Neither a link nor a pipe that nobody writes to may lead elsewhere or hold this process up.
        flags = os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC
        try:
            fd = os.open(self._folder / name, flags)
        except OSError as error:
            if error.errno == errno.ELOOP:
                return None
            raise
        try:
            found = os.fstat(fd)
            if not stat.S_ISREG(found.st_mode) or found.st_size > handover.MOST:
                return None
            data = b""
            while len(data) <= found.st_size and (piece := os.read(fd, 1 << 16)):
                data += piece
            return data
        finally:
            os.close(fd)

    def write(self, data: bytes) -> None:
        """Put other bytes in the place of this process's file; raises OSError where that is not possible, and
        the one before stays."""
        self._highest += 1
        name = f"{self._prefix}{self._highest}-{os.getpid()}"
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

    def tidy(self, now: float) -> None:
        """Take away what processes that are gone have left: what has stood in the folder for long and was
        read here, or is half-written."""
        for name, since in self._found.items():
            left = name in self._seen or name[-1] == "~"
            if left and name != self._mine and now - since >= _KEPT:
                with contextlib.suppress(OSError):
                    (self._folder / name).unlink()


def _number(name: str) -> int:
    """A file's number by its name: the higher, the newer; 0 where that does not tell."""
    digits = name.rpartition(".")[2].partition("-")[0]
    plain = digits.isdigit() and digits.isascii() and len(digits) < 25
    return int(digits) if plain and int(digits) < _MOST_NUMBER else 0
