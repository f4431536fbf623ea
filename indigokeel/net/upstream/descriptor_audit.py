"""Compares the connection table with the open sockets of the process, and repairs differences."""

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
# A socket without an owner counts as leaked once it has been found for this long and in this many audits:
# a busy event loop may hold an accepted socket for a while before handing it over.
_LEAK_MIN_AGE_S = 8.0
_LEAK_MIN_AUDITS = 3
_MAX_DESCRIPTORS = 65536  # checked one by one if they cannot be listed
_LAST_STANDARD_DESCRIPTOR = 2


class MismatchKind(Enum):
    """A kind of difference between the owned and the open sockets."""

    MISSING = "missing"  # in the connection table, but not open
    LEAKED = "leaked"  # open, but with no owner


@dataclass(frozen=True, slots=True)
class DescriptorMismatch:
    """A difference between the owned and the open sockets."""

    kind: MismatchKind
    fd: int
    text: str


@dataclass(slots=True)
class _Suspect:
    """An open socket without an owner, which may be leaked."""

    inode: int
    first_seen: float
    audits: int = 0  # that have found it


def _socket_inode(fd: int) -> int | None:
    """Return the inode of an open socket, or None if the descriptor is closed or not a socket."""
    with contextlib.suppress(OSError, OverflowError):
        status = os.fstat(fd)
        if stat.S_ISSOCK(status.st_mode):
            return status.st_ino
    return None


def list_open_sockets() -> dict[int, int]:
    """Return the inodes of the open sockets by descriptor; some systems do not list all of them."""
    try:
        descriptors = [int(name) for name in os.listdir(_DESCRIPTOR_DIRECTORY)]
    except OSError:  # listing needs a free descriptor, and there may be none
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        descriptors = list(range(min(limit, _MAX_DESCRIPTORS)))
    inodes = ((fd, _socket_inode(fd)) for fd in descriptors)
    return {fd: inode for fd, inode in inodes if inode is not None}


class DescriptorLeakDetector:
    """Finds connections without an open descriptor, and open sockets without an owner.

    A connection whose descriptor is missing is discarded. A socket without an owner is shut down but not
    closed: if it has an owner after all, that owner sees the end of its connection.
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
        """Create a detector; the sockets that are open now are taken to belong to the event loop.

        ``other_descriptors`` returns the descriptors of the listener and the client connections, with a
        description each. ``log`` takes a level and a text.
        """
        self._connections = connections
        self._discard = discard
        self._other_descriptors = other_descriptors
        self._count = count
        self._log = log
        self._clock = clock
        self._suspects: dict[int, _Suspect] = {}
        self._event_loop_sockets = list_open_sockets()

    def run_audit(self) -> list[DescriptorMismatch]:
        """Run one audit. Return the differences that were found and repaired."""
        open_sockets = list_open_sockets()
        owned = set(self._other_descriptors())
        mismatches = [*self._find_missing(owned), *self._find_leaked(open_sockets, owned)]
        self._count("audits")
        for mismatch in mismatches:
            kind = mismatch.kind.value
            self._count(f"descriptor_audit_{kind}")
            self._log("error", f"descriptor audit: {kind}: {mismatch.fd}: {mismatch.text}; repaired")
        return mismatches

    def _find_missing(self, owned: set[int]) -> list[DescriptorMismatch]:
        """Discard connections without an open descriptor, and add the descriptors of others to ``owned``."""
        missing = []
        for connection in list(self._connections()):
            # The descriptor itself is checked, as the list of open sockets may be incomplete.
            if connection.fd >= 0 and _socket_inode(connection.fd) == connection.inode:
                owned.add(connection.fd)
                continue
            text = f"connection to {connection.upstream}, {connection.state.value}"
            missing.append(DescriptorMismatch(MismatchKind.MISSING, connection.fd, text))
            self._discard(connection)
        return missing

    def _find_leaked(self, open_sockets: dict[int, int], owned: set[int]) -> list[DescriptorMismatch]:
        """Shut down the sockets that had no owner in several audits."""
        now = self._clock()
        suspects: dict[int, _Suspect] = {}
        leaked = []
        for fd, inode in open_sockets.items():
            if fd in owned or self._event_loop_sockets.get(fd) == inode or fd <= _LAST_STANDARD_DESCRIPTOR:
                continue
            suspect = self._suspects.get(fd)
            if suspect is None or suspect.inode != inode:
                suspect = _Suspect(inode, now)
            suspect.audits += 1
            suspects[fd] = suspect
            if suspect.audits >= _LEAK_MIN_AUDITS and now - suspect.first_seen >= _LEAK_MIN_AGE_S:
                leaked.append(DescriptorMismatch(MismatchKind.LEAKED, fd, f"socket {inode}"))
                _shut_down(fd)
        self._suspects = suspects
        return leaked


def _shut_down(fd: int) -> None:
    """Shut down a socket, unless it is a listener, which other processes may share."""
    with contextlib.suppress(OSError), socket.socket(fileno=os.dup(fd)) as duplicate:
        if not duplicate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            duplicate.shutdown(socket.SHUT_RDWR)
