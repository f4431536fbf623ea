"""The files by which the processes of one sidecar pass on their state.

Each process has two files at a time: one with all of its state, written once a second, and one with the
cordons alone, which is on disk (synced, renamed, and the folder synced) before an operator's call is answered
with success, and which survives a loss of power. Each is written beside the others under a new name, renamed
once it is complete, and only then is its predecessor removed: some file systems (ext4) flush a file to disk
when it replaces another, which would block the process for up to a quarter of a second.

A name holds a number, one more than the highest in the folder, and the process's id. The higher number is the
newer file, whatever the clocks did. Processes of older programs used Unix nanoseconds, from which the numbers
continue.
"""

from __future__ import annotations

import contextlib
import errno
import os
import stat
from pathlib import Path

from indigokeel.hot_restart import snapshot
from indigokeel.hot_restart.snapshot import ClockReading, SnapshotError, StateSnapshot

_LEFTOVER_KEPT_S = 30.0  # in which a file of a process that no longer replaces it is kept
_MAX_FILES_PER_READ = 16  # the newest
_MAX_NUMBER = 2**62  # a name with a higher number is foreign, and counts as the oldest
_MAX_NUMBER_DIGITS = 24
_MAX_NAME_CHARACTERS = 100
_READ_BYTES = 1 << 16
_PARTIAL_SUFFIX = "~"


class StateFiles:
    """The files in one folder that the processes of a sidecar share."""

    def __init__(self, folder: str, name: str) -> None:
        """``name`` is the sidecar's."""
        safe_name = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:_MAX_NAME_CHARACTERS]
        self._folder = Path(folder)
        self._prefix = f"indigokeel-{safe_name}.handover."
        self._found: dict[str, float] = {}  # names in the folder, with the clock time they were first found
        self._read_names: set[str] = set()  # of them, those that were read, or are this process's own
        self._failed_names: set[str] = set()  # of them, those whose read failed, which are retried last
        self._highest_number = 0
        self._own_names: dict[bool, str] = {}  # this process's file that is synced, and the one that is not
        self._reserved_names: set[str] = set()  # being written
        self.synced_lost = False  # this process's synced file was missing when the folder was last listed

    def list_unread(self, now: float) -> list[str]:
        """List the folder, and return the names that were not read yet, the newest first.

        Raise OSError if that is not possible; a folder that does not exist is empty.
        """
        try:
            names = [name for name in os.listdir(self._folder) if name.startswith(self._prefix)]
        except FileNotFoundError:
            names = []
        self._found = {name: self._found.get(name, now) for name in names}
        self._highest_number = max([self._highest_number, *map(_number, names)])
        self._read_names.intersection_update(names)
        self._failed_names.intersection_update(names)
        self.synced_lost = True in self._own_names and self._own_names[True] not in names
        known = self._read_names | self._reserved_names
        unread = [name for name in names if name not in known and not name.endswith(_PARTIAL_SUFFIX)]
        unread.sort(key=lambda name: (name not in self._failed_names, _number(name)), reverse=True)
        return unread[:_MAX_FILES_PER_READ]

    def read(self, name: str, reading: ClockReading) -> StateSnapshot | None:
        """Return the content of a file, or None if it is gone.

        Raise SnapshotError if it is unsound, and it is not read again; or OSError, after which it may be.
        """
        self._failed_names.add(name)
        try:
            data = self._read_bytes(name)
        except FileNotFoundError:
            return None
        self._failed_names.discard(name)
        self._read_names.add(name)
        if data is None:
            raise SnapshotError("not a handover")
        return snapshot.decode(data, reading)

    def _read_bytes(self, name: str) -> bytes | None:
        """Return the bytes of a file, or None if it is no regular file, or too large."""
        # A link must not lead elsewhere, and a pipe without a writer must not block this process.
        flags = os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC
        try:
            fd = os.open(self._folder / name, flags)
        except OSError as error:
            if error.errno == errno.ELOOP:
                return None
            raise
        try:
            status = os.fstat(fd)
            if not stat.S_ISREG(status.st_mode) or status.st_size > snapshot.MAX_BYTES:
                return None
            data = b""
            while len(data) <= status.st_size and (chunk := os.read(fd, _READ_BYTES)):
                data += chunk
            return data
        finally:
            os.close(fd)

    def write(self, data: bytes) -> None:
        """Replace this process's file that is not synced; raise OSError on failure, and keep the former."""
        name = self.reserve()
        try:
            self.put(name, data)
        except OSError:
            self.release(name)
            raise
        self.adopt(name)

    def reserve(self) -> str:
        """Return a new name for ``put``, to be passed to ``adopt`` or ``release`` afterwards."""
        self._highest_number += 1
        name = f"{self._prefix}{self._highest_number}-{os.getpid()}"
        self._reserved_names.add(name)
        return name

    def put(self, name: str, data: bytes, synced: bool = False) -> None:
        """Write a complete file; raise OSError, and leave none, on failure.

        This changes nothing of the object, so that it may be called in another thread: a sync may take long.
        """
        partial = self._folder / (name + _PARTIAL_SUFFIX)
        complete = self._folder / name
        try:
            _write_new_file(partial, data, synced)
            partial.rename(complete)
            if synced:
                _sync_folder(self._folder)
        except OSError:
            for path in (partial, complete):
                with contextlib.suppress(OSError):
                    path.unlink()
            raise

    def adopt(self, name: str, synced: bool = False) -> None:
        """Take a file that was put under this name as this process's own, and remove its predecessor."""
        self._reserved_names.discard(name)
        self._read_names.add(name)
        predecessor = self._own_names.get(synced)
        self._own_names[synced] = name
        if predecessor is not None:
            with contextlib.suppress(OSError):
                (self._folder / predecessor).unlink()

    def release(self, name: str) -> None:
        """Release a reserved name that was not used."""
        self._reserved_names.discard(name)

    def remove_leftovers(self, now: float) -> None:
        """Remove old files of processes that are gone: those that were read here, or are incomplete."""
        own = self._reserved_names.union(self._own_names.values())
        for name, found_at in self._found.items():
            removable = name in self._read_names or name.endswith(_PARTIAL_SUFFIX)
            is_own = name.rstrip(_PARTIAL_SUFFIX) in own
            if removable and not is_own and now - found_at >= _LEFTOVER_KEPT_S:
                with contextlib.suppress(OSError):
                    (self._folder / name).unlink()


def _number(name: str) -> int:
    """Return the number in a file's name, or 0 if it has none."""
    digits = name.rpartition(".")[2].partition("-")[0]
    is_number = digits.isdigit() and digits.isascii() and len(digits) <= _MAX_NUMBER_DIGITS
    return int(digits) if is_number and int(digits) < _MAX_NUMBER else 0


def _write_new_file(path: Path, data: bytes, synced: bool) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
    fd = os.open(path, flags, 0o600)
    try:
        _write_all(fd, data)
        if synced:
            os.fsync(fd)
    finally:
        os.close(fd)


def _write_all(fd: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        written = os.write(fd, rest)
        if written <= 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        rest = rest[written:]


def _sync_folder(folder: Path) -> None:
    """Make a new name in a folder survive a loss of power, where the file system supports that."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    except OSError as error:
        if error.errno != errno.EINVAL:  # this file system syncs no folders
            raise
    finally:
        os.close(fd)
