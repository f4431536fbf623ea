"""Compares the connection table with the descriptors that the process holds, and repairs differences."""

from __future__ import annotations

import contextlib
import os
import resource
import socket
import stat
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from indigokeel.net.upstream.connection import UpstreamConnection

_DESCRIPTOR_DIRECTORY = "/proc/self/fd"
_LEAK_AGE_S = 8.0  # and _LEAK_SIGHTINGS: a busy event loop may hold an accepted socket for a while
_LEAK_SIGHTINGS = 3
_MAX_DESCRIPTORS = 65536  # checked one by one where the system does not list them
_LAST_STANDARD_DESCRIPTOR = 2


class MismatchKind(Enum):
    """How the table and the process differ."""

    MISSING = "missing"  # in the table, but not open
    LEAKED = "leaked"  # open, but with no owner


@dataclass(frozen=True, slots=True)
class DescriptorMismatch:
    """One difference between the owned and the open descriptors."""

    kind: MismatchKind
    fd: int
    text: str


@dataclass(slots=True)
class _Suspect:
    """An open socket without an owner."""

    inode: int
    first_seen: float
    sightings: int = 0


def _inode(fd: int) -> int | None:
    """Return the inode of an open socket, or None if the descriptor is none."""
    with contextlib.suppress(OSError, OverflowError):
        status = os.fstat(fd)
        if stat.S_ISSOCK(status.st_mode):
            return status.st_ino
    return None


def sockets() -> dict[int, int]:
    """Return the inodes of the open sockets by descriptor; some systems list only a part of them."""
    try:
        descriptors = [int(name) for name in os.listdir(_DESCRIPTOR_DIRECTORY)]
    except OSError:  # listing takes a descriptor, and there may be none left
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        descriptors = list(range(min(limit, _MAX_DESCRIPTORS)))
    inodes = ((fd, _inode(fd)) for fd in descriptors)
    return {fd: inode for fd, inode in inodes if inode is not None}


class DescriptorLeakDetector:
    """Finds table entries without a descriptor and sockets without an owner.

    A connection whose descriptor is missing is discarded. A socket without an owner is shut down, which an
    owner that exists after all takes for the end of its connection.
    """

    def __init__(
        self,
        connections: Callable[[], Iterable[UpstreamConnection]],
        discard: Callable[[UpstreamConnection], None],
        other_descriptors: Callable[[], Mapping[int, str]],
        count: Callable[[str], None],
        log: Callable[[str, str], None],
        clock: Callable[[], float],
    ) -> None:
        """Take the sockets that are open now for the event loop's own.

        ``other_descriptors`` returns those of the listener and the clients; ``log`` takes a level and a text.
        """
        self._connections = connections
        self._discard = discard
        self._other_descriptors = other_descriptors
        self._count = count
        self._log = log
        self._clock = clock
        self._suspects: dict[int, _Suspect] = {}
        self._own = sockets()

    def look(self) -> list[DescriptorMismatch]:
        """Compare once. Return the differences that were found and repaired."""
        open_sockets = sockets()
        owned = set(self._other_descriptors())
        mismatches = [*self._find_missing(owned), *self._find_leaked(open_sockets, owned)]
        self._count("audits")
        for mismatch in mismatches:
            kind = mismatch.kind.value
            self._count(f"descriptor_audit_{kind}")
            self._log("error", f"descriptor audit: {kind}: {mismatch.fd}: {mismatch.text}; repaired")
        return mismatches

    def _find_missing(self, owned: set[int]) -> list[DescriptorMismatch]:
        """Discard the connections without a descriptor, and add those of the others to ``owned``."""
        missing = []
        for connection in list(self._connections()):
            # Asked of the descriptor itself, as a listing may be incomplete.
            if connection.fd >= 0 and _inode(connection.fd) == connection.inode:
                owned.add(connection.fd)
                continue
            text = f"connection to {connection.upstream}, {connection.state.value}"
            missing.append(DescriptorMismatch(MismatchKind.MISSING, connection.fd, text))
            self._discard(connection)
        return missing

    def _find_leaked(self, open_sockets: dict[int, int], owned: set[int]) -> list[DescriptorMismatch]:
        """Shut down the sockets that have had no owner for several audits."""
        now = self._clock()
        suspects: dict[int, _Suspect] = {}
        leaked = []
        for fd, inode in open_sockets.items():
            if fd in owned or self._own.get(fd) == inode or fd <= _LAST_STANDARD_DESCRIPTOR:
                continue
            suspect = self._suspects.get(fd)
            if suspect is None or suspect.inode != inode:
                suspect = _Suspect(inode, now)
            suspect.sightings += 1
            suspects[fd] = suspect
            if suspect.sightings >= _LEAK_SIGHTINGS and now - suspect.first_seen >= _LEAK_AGE_S:
                leaked.append(DescriptorMismatch(MismatchKind.LEAKED, fd, f"socket {inode}"))
                _shut_down(fd)
        self._suspects = suspects
        return leaked


def _shut_down(fd: int) -> None:
    """Shut a socket down, unless it listens: other processes may share a listener."""
    with contextlib.suppress(OSError), socket.socket(fileno=os.dup(fd)) as duplicate:
        if not duplicate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            duplicate.shutdown(socket.SHUT_RDWR)
