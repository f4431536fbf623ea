"""Classifies errors of system calls on sockets by operation and errno. No I/O.

Some errors are not failures: the call is in progress or has to be repeated (EINTR, EAGAIN, EINPROGRESS). Some
are local: this machine lacks a descriptor, memory, a port or a route, which says nothing about the upstream,
and an attempt that ends with such an error was not sent. All others are failures of the upstream or of the
network path to it.
"""

from __future__ import annotations

import errno
import os
from enum import Enum


class SocketOperation(Enum):
    """The operation on a socket during which the error occurred."""

    __hash__ = object.__hash__

    PREPARE = "prepare"  # socket, setsockopt, fstat, getsockopt, registration with the event loop
    CONNECT = "connect"  # connect(2) itself
    CONNECT_RESULT = "connect result"  # the error with which a connect in progress ended (SO_ERROR)
    WRITE = "write"
    READ = "read"
    ACCEPT = "accept"  # of a client connection


class ErrorCategory(Enum):
    """The category of an error: what it means for the connection."""

    __hash__ = object.__hash__

    NO_FAILURE = "no failure"  # not a failure: the call is repeated or completes by itself
    LOCAL = "local"  # a failure of this machine
    UPSTREAM = "upstream"  # a failure of the upstream or of the network path to it


# Lack of a resource of the process or the machine that a connection to any upstream needs.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

# Errors of connect(2) that occur before a packet leaves the machine: no port (EAGAIN on some systems), no
# route, an interface that is down, a local firewall rule, an unsupported address family.
_CONNECT_LOCAL = EXHAUSTED | {
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.EACCES,
    errno.EPERM,
    errno.EAFNOSUPPORT,
}

# Errors of accept(2) that concern a single connection, which has left the backlog: it was closed, a firewall
# forbids it or, on Linux, a network error was pending on the new socket.
_ACCEPT_SINGLE_CONNECTION = {
    errno.ECONNABORTED,
    errno.ECONNRESET,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.EINTR,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
    errno.EPROTONOSUPPORT,
    errno.ESOCKTNOSUPPORT,
    errno.ETIMEDOUT,
}

_NOT_FAILURES = {
    SocketOperation.PREPARE: frozenset({errno.EINTR}),
    # A connect that a signal interrupts continues asynchronously (POSIX, connect).
    SocketOperation.CONNECT: frozenset({0, errno.EINPROGRESS, errno.EINTR, errno.EALREADY, errno.EISCONN}),
    SocketOperation.CONNECT_RESULT: frozenset(
        {0, errno.EINPROGRESS, errno.EINTR, errno.EALREADY, errno.EAGAIN}
    ),
    SocketOperation.WRITE: frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR}),
    SocketOperation.READ: frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR}),
    SocketOperation.ACCEPT: frozenset(_ACCEPT_SINGLE_CONNECTION),
}

# EHOSTUNREACH and ENETUNREACH from connect(2) itself mean that this machine has no route. Once the connect is
# in progress, they report an unanswered ARP request or an ICMP message, so the upstream is unreachable. On an
# open connection they are failures of the upstream, like ETIMEDOUT and ECONNRESET. EADDRNOTAVAIL is always
# local.
_LOCAL = {
    SocketOperation.CONNECT: _CONNECT_LOCAL,
    SocketOperation.CONNECT_RESULT: EXHAUSTED | {errno.EADDRNOTAVAIL},
    SocketOperation.WRITE: EXHAUSTED,
    SocketOperation.READ: EXHAUSTED,
}


def classify_errno(number: int | None, operation: SocketOperation) -> ErrorCategory:
    """Return the category of an errno in an operation; None means a timeout."""
    if number in _NOT_FAILURES[operation]:
        return ErrorCategory.NO_FAILURE
    # All other errors before a connect or in an accept are local, as no upstream is involved.
    if operation in (SocketOperation.PREPARE, SocketOperation.ACCEPT) or number in _LOCAL[operation]:
        return ErrorCategory.LOCAL
    return ErrorCategory.UPSTREAM


class LocalError(OSError):
    """A system call that failed locally, which says nothing about the upstream."""

    @property
    def is_resource_exhaustion(self) -> bool:
        """Whether the missing resource is needed for a connection to any upstream."""
        return self.errno in EXHAUSTED


def make_os_error(number: int | None, operation: SocketOperation) -> OSError:
    """Return the exception for an errno: OSError for a failure of the upstream, otherwise LocalError.

    A call that has to be repeated (EINTR) was not carried out, which counts as local.
    """
    kind = OSError if classify_errno(number, operation) is ErrorCategory.UPSTREAM else LocalError
    return kind(number, os.strerror(number or 0))
