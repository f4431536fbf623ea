"""The files by which the processes of one sidecar tell each other what they know.

Each process has two at a time: one with all that it knows, written once a second, and one with the operators'
marks alone, which is on disk (synced, renamed, and the folder synced) before a call is answered with yes, and
which outlasts a loss of power. Each is put under a name that no file had before: a new one is written beside
it, whole by rename, and only then the one before goes.

Guards against the file system (ext4) that writes a file out to its disk when it takes the place of another:
that took 77 ms in the middle and up to 270 ms, in which a process moves no request, so that all its attempts
time out and half of the upstreams go to ejection. Under a new name: 0.3 ms.

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

from indigokeel.hot_restart import snapshot
from indigokeel.hot_restart.snapshot import ClockReading, SnapshotError, StateSnapshot

_KEPT = 30.0  # s that a file stays which its process no longer replaces, once another has written
_MOST = 16  # files read at a time, the newest
_MOST_NUMBER = 2**62  # a name with a higher one is foreign, and counts as the oldest


class StateFiles:
    """The files in one folder that the processes share."""

    def __init__(self, folder: str, name: str) -> None:
        safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:100]
        self._folder, self._prefix = Path(folder), f"indigokeel-{safe}.handover."
        self._found: dict[str, float] = {}  # names in the folder, with the clock time of the first look
        self._seen: set[str] = set()  # of them, what was read, or is this process's own
        self._failed: set[str] = set()  # of them, what could not be read, and is tried again after the others
        self._highest = 0  # number that a name had
        self._mine: dict[bool, str] = {}  # this process's file that is synced, and the one that is not
        self._reserved: set[str] = set()  # names that are being written
        self.synced_lost = False  # somebody took this process's synced file away, as the last look found

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
        self.synced_lost = True in self._mine and self._mine[True] not in names
        known = self._seen | self._reserved
        unread = [name for name in names if name not in known and name[-1] != "~"]
        return sorted(unread, key=lambda n: (n not in self._failed, _number(n)), reverse=True)[:_MOST]

    def read(self, name: str, clock_reading: ClockReading) -> StateSnapshot | None:
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
            raise SnapshotError("not a handover")
        return snapshot.decode(data, clock_reading)

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
            if not stat.S_ISREG(found.st_mode) or found.st_size > snapshot.MOST:
                return None
            data = b""
            while len(data) <= found.st_size and (piece := os.read(fd, 1 << 16)):
                data += piece
            return data
        finally:
            os.close(fd)

    def write(self, data: bytes) -> None:
        """Put other bytes in the place of this process's file that is not synced; raises OSError where that
        is not possible, and the one before stays."""
        name = self.reserve()
        try:
            self.put(name, data)
        except OSError:
            self.give_up(name)
            raise
        self.adopt(name)

    def reserve(self) -> str:
        """A name for ``put``, to be given to ``adopt`` or ``give_up`` afterwards."""
        self._highest += 1
        name = f"{self._prefix}{self._highest}-{os.getpid()}"
        self._reserved.add(name)
        return name

    def put(self, name: str, data: bytes, synced: bool = False) -> None:
        """Write a whole file; raises OSError, and leaves none. Changes nothing of this object: it may be
        called in another thread, for a sync may take as long as the disk is busy."""
        half, whole = self._folder / (name + "~"), self._folder / name
        try:
            fd = os.open(half, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
            try:
                _write(fd, data)
                if synced:
                    os.fsync(fd)
            finally:
                os.close(fd)
            half.rename(whole)
            if synced:
                _sync_folder(self._folder)
        except OSError:
            for path in (half, whole):
                with contextlib.suppress(OSError):
                    path.unlink()
            raise

    def adopt(self, name: str, synced: bool = False) -> None:
        """What was put under this name takes the place of the one before."""
        self._reserved.discard(name)
        self._seen.add(name)
        before = self._mine.get(synced)
        self._mine[synced] = name
        if before is not None:
            with contextlib.suppress(OSError):
                (self._folder / before).unlink()

    def give_up(self, name: str) -> None:
        """Nothing was put under this name."""
        self._reserved.discard(name)

    def tidy(self, now: float) -> None:
        """Take away what processes that are gone have left: what has stood in the folder for long and was
        read here, or is half-written."""
        own = self._reserved.union(self._mine.values())
        for name, since in self._found.items():
            left = name in self._seen or name[-1] == "~"
            if left and name.rstrip("~") not in own and now - since >= _KEPT:
                with contextlib.suppress(OSError):
                    (self._folder / name).unlink()


def _number(name: str) -> int:
    """A file's number by its name: the higher, the newer; 0 where that does not tell."""
    digits = name.rpartition(".")[2].partition("-")[0]
    plain = digits.isdigit() and digits.isascii() and len(digits) < 25
    return int(digits) if plain and int(digits) < _MOST_NUMBER else 0


def _write(fd: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        written = os.write(fd, rest)
        if written <= 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        rest = rest[written:]


def _sync_folder(folder: Path) -> None:
    """See that a name in the folder outlasts a loss of power, where the file system can say so."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    except OSError as error:
        if error.errno != errno.EINVAL:  # this file system syncs no folders
            raise
    finally:
        os.close(fd)
