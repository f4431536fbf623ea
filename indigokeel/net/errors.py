"""Classifies errors of system calls on sockets by step and errno. No I/O.

Some errors are not failures: the call is in progress or has to be repeated (EINTR, EAGAIN, EINPROGRESS). Some
are local: this machine lacks a descriptor, memory, a port or a route, which says nothing about the upstream,
and an attempt that ends with such an error was not sent. All others are failures of the upstream or of the
network path to it.
"""

from __future__ import annotations

import errno
import os
from enum import Enum


class Step(Enum):
    """The step in the life of a connection in which the system call was made."""

    __hash__ = object.__hash__

    PREPARE = "prepare"  # socket, setsockopt, fstat, getsockopt, registration with the event loop
    CONNECT = "connect"  # connect(2) itself
    CONNECTING = "connecting"  # the error with which a connect in progress ended (SO_ERROR)
    WRITE = "write"
    READ = "read"
    ACCEPT = "accept"  # of a client connection


class Meaning(Enum):
    """What an error means for the connection."""

    __hash__ = object.__hash__

    GOES_ON = "goes on"  # not a failure: the call is repeated or completes by itself
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
    Step.PREPARE: frozenset({errno.EINTR}),
    # A connect that a signal interrupts continues asynchronously (POSIX, connect).
    Step.CONNECT: frozenset({0, errno.EINPROGRESS, errno.EINTR, errno.EALREADY, errno.EISCONN}),
    Step.CONNECTING: frozenset({0, errno.EINPROGRESS, errno.EINTR, errno.EALREADY, errno.EAGAIN}),
    Step.WRITE: frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR}),
    Step.READ: frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR}),
    Step.ACCEPT: frozenset(_ACCEPT_SINGLE_CONNECTION),
}

# EHOSTUNREACH and ENETUNREACH from connect(2) itself mean that this machine has no route. Once the connect is
# in progress, they report an unanswered ARP request or an ICMP message, so the upstream is unreachable. On an
# open connection they are failures of the upstream, like ETIMEDOUT and ECONNRESET. EADDRNOTAVAIL is always
# local.
_LOCAL = {
    Step.CONNECT: _CONNECT_LOCAL,
    Step.CONNECTING: EXHAUSTED | {errno.EADDRNOTAVAIL},
    Step.WRITE: EXHAUSTED,
    Step.READ: EXHAUSTED,
}


def meaning(number: int | None, step: Step) -> Meaning:
    """Return the meaning of an errno at a step; None means a timeout."""
    if number in _NOT_FAILURES[step]:
        return Meaning.GOES_ON
    # All other errors before a connect or in an accept are local, as no upstream is involved.
    if step in (Step.PREPARE, Step.ACCEPT) or number in _LOCAL[step]:
        return Meaning.LOCAL
    return Meaning.UPSTREAM


class LocalError(OSError):
    """A system call that failed locally, which says nothing about the upstream."""

    @property
    def exhausted(self) -> bool:
        """Whether the missing resource is needed for a connection to any upstream."""
        return self.errno in EXHAUSTED


def typed(number: int | None, step: Step) -> OSError:
    """Return the exception for an errno: OSError for a failure of the upstream, otherwise LocalError.

    A call that has to be repeated (EINTR) was not carried out, which counts as local.
    """
    kind = OSError if meaning(number, step) is Meaning.UPSTREAM else LocalError
    return kind(number, os.strerror(number or 0))
