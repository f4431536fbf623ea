"""The files through which the processes of one sidecar pass on their state.

Each process has two files at a time. One holds all of its state and is written once a second. The other holds
the cordons alone; it is on disk (synced, renamed, and the folder synced) before an operator's call is
answered with success, so it survives a loss of power. Each is written under a temporary name, renamed once it
is complete, and only then is its predecessor removed: some file systems (ext4) flush a file to disk when it
replaces another, which would block the process for up to a quarter of a second.

A file name holds a number, one more than the highest in the folder, and the process id. The higher number is
the newer file, whatever the clocks did. Processes of older programs used the Unix time in nanoseconds, from
which the numbers continue.
"""

from __future__ import annotations

import contextlib
import errno
import os
import stat
from pathlib import Path

from indigokeel.hot_restart import snapshot
from indigokeel.hot_restart.snapshot import ClockReading, SnapshotError, StateSnapshot

_LEFTOVER_RETENTION_S = 30.0  # for which a file that its process no longer replaces is kept
_MAX_FILES_PER_READ = 16  # the newest ones
_MAX_NUMBER = 2**62  # a file with a higher number is foreign and counts as the oldest
_MAX_NUMBER_DIGITS = 24
_MAX_NAME_CHARACTERS = 100
_READ_BYTES = 1 << 16
_PARTIAL_SUFFIX = "~"


class StateFiles:
    """The files in one folder that the processes of a sidecar share."""

    def __init__(self, folder: str, name: str) -> None:
        """Create an object for the files of the sidecar ``name`` in ``folder``."""
        safe_name = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:_MAX_NAME_CHARACTERS]
        self._folder = Path(folder)
        self._prefix = f"indigokeel-{safe_name}.handover."
        self._found: dict[str, float] = {}  # clock time at which each name in the folder was first found
        self._read_names: set[str] = set()  # of these, the ones already read or written by this process
        self._failed_names: set[str] = set()  # of these, the unreadable ones, which are retried last
        self._highest_number = 0
        self._own_names: dict[bool, str] = {}  # this process's synced file (True) and the other one (False)
        self._reserved_names: set[str] = set()  # names of files being written
        self.synced_lost = False  # this process's synced file was missing at the last listing of the folder

    def list_unread(self, now: float) -> list[str]:
        """List the folder, and return the names of files not read yet, the newest first.

        Raise OSError if the folder cannot be listed; a folder that does not exist counts as empty.
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
        """Return the content of a file, or None if it no longer exists.

        Raise SnapshotError if it is invalid, after which it is not read again, or OSError if it cannot be
        read, after which it may be retried.
        """
        self._failed_names.add(name)
        try:
            data = self._read_bytes(name)
        except FileNotFoundError:
            return None
        self._failed_names.discard(name)
        self._read_names.add(name)
        if data is None:
            raise SnapshotError("not a state file")
        return snapshot.decode(data, reading)

    def _read_bytes(self, name: str) -> bytes | None:
        """Return the bytes of a file, or None if it is not a regular file or too large."""
        # Symbolic links must not lead out of the folder, and a pipe without a writer must not block this
        # process.
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
        """Replace this process's unsynced file; on failure raise OSError and keep the previous one."""
        name = self.reserve()
        try:
            self.put(name, data)
        except OSError:
            self.release(name)
            raise
        self.adopt(name)

    def reserve(self) -> str:
        """Return a new name for ``put``, which has to be passed to ``adopt`` or ``release`` afterwards."""
        self._highest_number += 1
        name = f"{self._prefix}{self._highest_number}-{os.getpid()}"
        self._reserved_names.add(name)
        return name

    def put(self, name: str, data: bytes, synced: bool = False) -> None:
        """Write a complete file; on failure raise OSError and leave no file.

        This changes no state of the object, so it may be called in another thread, as a sync may take long.
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
        """Make the file written under this name this process's own, and remove its predecessor."""
        self._reserved_names.discard(name)
        self._read_names.add(name)
        predecessor = self._own_names.get(synced)
        self._own_names[synced] = name
        if predecessor is not None:
            with contextlib.suppress(OSError):
                (self._folder / predecessor).unlink()

    def release(self, name: str) -> None:
        """Release a reserved name whose file was not written."""
        self._reserved_names.discard(name)

    def remove_leftovers(self, now: float) -> None:
        """Remove old files of processes that have ended, if they were read here or are incomplete."""
        own = self._reserved_names.union(self._own_names.values())
        for name, found_at in self._found.items():
            removable = name in self._read_names or name.endswith(_PARTIAL_SUFFIX)
            is_own = name.rstrip(_PARTIAL_SUFFIX) in own
            if removable and not is_own and now - found_at >= _LEFTOVER_RETENTION_S:
                with contextlib.suppress(OSError):
                    (self._folder / name).unlink()


def _number(name: str) -> int:
    """Return the number in a file name, or 0 if it has none."""
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
    """Sync a folder, so that a new name in it survives a loss of power, if the file system supports that."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    except OSError as error:
        if error.errno != errno.EINVAL:  # this file system cannot sync folders
            raise
    finally:
        os.close(fd)
