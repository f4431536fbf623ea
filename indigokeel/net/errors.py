"""The meaning of errors of system calls on sockets, by step and errno. No I/O.

Some are no failures, as the call is in progress or has to be repeated (EINTR, EAGAIN, EINPROGRESS). Some are
local: this machine lacks a descriptor, memory, a port or a route, which says nothing about the upstream, and
an attempt that meets one has not been sent. The others are failures of the upstream or of the network to it.
"""

from __future__ import annotations

import errno
import os
from enum import Enum


class Step(Enum):
    """The step in the life of a connection at which a call was made."""

    __hash__ = object.__hash__

    PREPARE = "prepare"  # socket, setsockopt, fstat, getsockopt, registration with the event loop
    CONNECT = "connect"  # the call itself
    CONNECTING = "connecting"  # the error that a connect in progress ended with (SO_ERROR)
    WRITE = "write"
    READ = "read"
    ACCEPT = "accept"  # of a client's connection


class Meaning(Enum):
    """What an error means for the connection."""

    __hash__ = object.__hash__

    GOES_ON = "goes on"  # no failure: the call is repeated, or completes by itself
    LOCAL = "local"  # a failure of this machine
    UPSTREAM = "upstream"  # a failure of the upstream, or of the network to it


# Resources of the process or the machine that a connection to any upstream needs.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

# Errors of connect(2) before anything has left the machine: no port (EAGAIN on some systems), no route, an
# interface that is down, a local firewall rule, an unsupported address family.
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

# Errors of accept(2) that concern one connection, which has left the backlog: it is closed, a firewall
# forbids it, or, on Linux, a network error was pending on the new socket.
_ACCEPT_OF_ONE_CONNECTION = {
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

_GOES_ON = {
    Step.PREPARE: frozenset({errno.EINTR}),
    # A connect that a signal interrupts continues asynchronously (POSIX, connect).
    Step.CONNECT: frozenset({0, errno.EINPROGRESS, errno.EINTR, errno.EALREADY, errno.EISCONN}),
    Step.CONNECTING: frozenset({0, errno.EINPROGRESS, errno.EINTR, errno.EALREADY, errno.EAGAIN}),
    Step.WRITE: frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR}),
    Step.READ: frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR}),
    Step.ACCEPT: frozenset(_ACCEPT_OF_ONE_CONNECTION),
}

# EHOSTUNREACH and ENETUNREACH from the call itself mean that this machine has no route. Once the connect is
# in progress they report an unanswered ARP request or an ICMP message, so the upstream is not reachable; on
# an open connection they are failures of it, like ETIMEDOUT and ECONNRESET. EADDRNOTAVAIL is always local.
_LOCAL = {
    Step.CONNECT: _CONNECT_LOCAL,
    Step.CONNECTING: EXHAUSTED | {errno.EADDRNOTAVAIL},
    Step.WRITE: EXHAUSTED,
    Step.READ: EXHAUSTED,
}


def meaning(number: int | None, step: Step) -> Meaning:
    """Return the meaning of an errno at a step; None stands for a timeout."""
    if number in _GOES_ON[step]:
        return Meaning.GOES_ON
    # All other errors before a connect or at an accept are local, as no peer is involved.
    if step in (Step.PREPARE, Step.ACCEPT) or number in _LOCAL[step]:
        return Meaning.LOCAL
    return Meaning.UPSTREAM


class LocalError(OSError):
    """A call that this machine could not make, which says nothing about the upstream."""

    @property
    def exhausted(self) -> bool:
        """Whether the missing resource is needed for a connection to any upstream."""
        return self.errno in EXHAUSTED


def typed(number: int | None, step: Step) -> OSError:
    """Return the exception for an errno: OSError for a failure of the upstream, else LocalError.

    A call that has to be repeated (EINTR) was not made, which counts as local.
    """
    kind = OSError if meaning(number, step) is Meaning.UPSTREAM else LocalError
    return kind(number, os.strerror(number or 0))
