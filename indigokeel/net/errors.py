"""What the errors of system calls on sockets mean: the one table, by step and errno. No I/O.

A call fails for three kinds of reasons. It has not failed at all and goes on (EINTR, EAGAIN, EINPROGRESS).
This machine lacks something, a descriptor, memory, a port, a route: that says nothing of the upstream, and
an attempt that meets it has not begun. Or the upstream, or the network on the way to it, has failed.
"""

from __future__ import annotations

import errno
import os
from enum import Enum


class Step(Enum):
    """Where in the life of a connection a call was made."""

    __hash__ = object.__hash__

    PREPARE = "prepare"  # socket, setsockopt, fstat, getsockopt, and the event loop's watch
    CONNECT = "connect"  # the call itself
    CONNECTING = "connecting"  # the error that a connect under way ended with (SO_ERROR)
    WRITE = "write"
    READ = "read"
    ACCEPT = "accept"  # of a client's connection


class Meaning(Enum):
    """What an error says."""

    __hash__ = object.__hash__

    GOES_ON = "goes on"  # no failure: the call is made again, or ends by itself
    LOCAL = "local"  # of this machine: nothing was begun, and nothing is learned of the upstream
    UPSTREAM = "upstream"  # of the upstream, or of the way to it


# What every process, or the whole machine, has run out of; no other upstream would be reached either.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

# What connect(2) itself may say before anything has left the machine: no port (EAGAIN on some systems), no
# route, an interface that is down, a local firewall's rule, a family that is not supported.
_NOT_BEGUN = EXHAUSTED | {
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

# What accept(2) says of one connection, which is off the backlog after it: the connection is gone, a firewall
# forbids it, or, on Linux, an error of the network was pending on the new socket.
_OF_ONE_CONNECTION = {
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
    # A connect that a signal interrupts goes on, and its end is told as that of any other (POSIX, connect).
    Step.CONNECT: frozenset({0, errno.EINPROGRESS, errno.EINTR, errno.EALREADY, errno.EISCONN}),
    Step.CONNECTING: frozenset({0, errno.EINPROGRESS, errno.EINTR, errno.EALREADY, errno.EAGAIN}),
    Step.WRITE: frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR}),
    Step.READ: frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR}),
    Step.ACCEPT: frozenset(_OF_ONE_CONNECTION),
}

# EHOSTUNREACH and ENETUNREACH are ambiguous. From the call they say that this machine has no route. Once the
# connect is under way there was a route: then they tell of an ARP that nobody answered or of an ICMP message,
# which is the network's word on the upstream. EADDRNOTAVAIL cannot come from a peer at any time. On an open
# connection EHOSTUNREACH, ENETUNREACH and ETIMEDOUT are breaks like ECONNRESET.
_LOCAL = {
    Step.CONNECT: _NOT_BEGUN,
    Step.CONNECTING: EXHAUSTED | {errno.EADDRNOTAVAIL},
    Step.WRITE: EXHAUSTED,
    Step.READ: EXHAUSTED,
}


def meaning(number: int | None, step: Step) -> Meaning:
    """What an errno says that a call at this step has failed with; None for a time that is over."""
    if number in _GOES_ON[step]:
        return Meaning.GOES_ON
    # Whatever else goes wrong before a connect or at an accept is local: nobody else was asked.
    if step in (Step.PREPARE, Step.ACCEPT) or number in _LOCAL[step]:
        return Meaning.LOCAL
    return Meaning.UPSTREAM


class LocalError(OSError):
    """This machine could not make a call. It says nothing of the upstream for which the call was made."""

    @property
    def exhausted(self) -> bool:
        """Whether no other upstream could be reached either."""
        return self.errno in EXHAUSTED


def typed(number: int | None, step: Step) -> OSError:
    """The error to raise or to tell on for an errno, by what it means. A call that has to be made again
    (EINTR) was not made, which is nobody else's failure."""
    kind = OSError if meaning(number, step) is Meaning.UPSTREAM else LocalError
    return kind(number, os.strerror(number or 0))
