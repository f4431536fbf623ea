"""The audit: whether the books of connections agree with the descriptors that the process really holds."""

from __future__ import annotations

import contextlib
import os
import resource
import socket
import stat
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from indigokeel.net.upstream.connection import UpstreamConnection

_FD = "/proc/self/fd"
_STRAY, _SEEN = 8.0, 3  # s, and audits, for which a socket stands in no book before it is a stray
_MOST = 65536  # descriptors looked at where they cannot be listed


@dataclass(frozen=True, slots=True)
class DescriptorMismatch:
    """One difference. ``phantom``: in the books and not held; ``stray``: held and in no book."""

    kind: str
    fd: int
    text: str


def _inode(fd: int) -> int | None:
    """The inode of the socket that a descriptor is; None where it is none, or is not held."""
    with contextlib.suppress(OSError, OverflowError):
        status = os.fstat(fd)
        if stat.S_ISSOCK(status.st_mode):
            return status.st_ino
    return None


def sockets() -> dict[int, int]:
    """The sockets that the process is seen to hold: inode by descriptor. Where a system does not list them
    all, some are missing."""
    found: dict[int, int] = {}
    try:
        numbers = [int(name) for name in os.listdir(_FD)]
    except OSError:  # no descriptor left to list them with, which is when it matters most
        numbers = list(range(min(resource.getrlimit(resource.RLIMIT_NOFILE)[0], _MOST)))
    for fd in numbers:
        inode = _inode(fd)
        if inode is not None:  # else not held, as the listing's own is not by now
            found[fd] = inode
    return found


class DescriptorLeakDetector:
    """Compares, repairs and tells.

    A phantom is struck from the books and its owner closes what it has. A stray is told only when it was
    seen at every audit of some seconds, three at the least, for a connection that the event loop has accepted
    and not yet handed over is in no book, and a loop that is behind may take long over it; it is then shut
    down, which its owner, if it has one, takes for its end."""

    def __init__(
        self,
        connections: Callable[[], Iterable[UpstreamConnection]],
        strike: Callable[[UpstreamConnection], None],
        others: Callable[[], Mapping[int, str]],
        count: Callable[[str], None],
        log: Callable[[str, str], None],
        clock: Callable[[], float],
    ) -> None:
        """``others`` names the descriptors that are somebody else's and known: clients, the listener."""
        self._links, self._discard, self._others = connections, strike, others
        self._count, self._log, self._clock = count, log, clock
        self._suspects: dict[int, tuple[int, float, int]] = {}  # inode, since when, and at how many audits
        self._own = sockets()  # the event loop's own, from before any connection

    def look(self) -> list[DescriptorMismatch]:
        """Compare the books with reality once; says what it found and has repaired."""
        held = sockets()
        found: list[DescriptorMismatch] = []
        known = set(self._others())
        for connection in list(self._links()):
            # Asked of the descriptor itself. Guards against a listing that leaves sockets out: every good
            # connection was a phantom to it, and the repair lost its descriptor for good.
            if connection.fd >= 0 and _inode(connection.fd) == connection.inode:
                known.add(connection.fd)
                continue
            found.append(
                DescriptorMismatch(
                    "phantom", connection.fd, f"{connection.state.value} to {connection.upstream}"
                )
            )
            self._discard(connection)
        now, suspects = self._clock(), dict[int, tuple[int, float, int]]()
        for fd, inode in held.items():
            if fd in known or self._own.get(fd) == inode or fd <= 2:
                continue
            before, since, seen = self._suspects.get(fd, (inode, now, 0))
            if before != inode:
                since, seen = now, 0
            suspects[fd] = inode, since, seen + 1
            if seen + 1 >= _SEEN and now - since >= _STRAY:
                found.append(DescriptorMismatch("stray", fd, f"socket {inode}"))
                with contextlib.suppress(OSError), socket.socket(fileno=os.dup(fd)) as double:
                    # A listener may be shared with other processes: it is told of and left alone.
                    if not double.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                        double.shutdown(socket.SHUT_RDWR)
        self._suspects = suspects
        self._count("audits")
        for finding in found:
            self._count(f"audit_{finding.kind}s")
            self._log("error", f"audit: {finding.kind} descriptor {finding.fd}: {finding.text}; repaired")
        return found
