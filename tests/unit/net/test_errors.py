"""Tests of the classification of errors of system calls."""

from __future__ import annotations

import errno

import pytest

from indigokeel.net.errors import ErrorCategory, SocketOperation, classify_errno

LOCAL, UPSTREAM, NO_FAILURE = ErrorCategory.LOCAL, ErrorCategory.UPSTREAM, ErrorCategory.NO_FAILURE


EXHAUSTED = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


ROUTE_ERRORS = [errno.ENETUNREACH, errno.EHOSTUNREACH]


BROKEN_CONNECTION_ERRORS = [errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, *ROUTE_ERRORS]


@pytest.mark.parametrize(
    ("operation", "numbers", "expected"),
    [
        (SocketOperation.PREPARE, [*EXHAUSTED, errno.EACCES], LOCAL),
        (
            SocketOperation.CONNECT,
            [*EXHAUSTED, *ROUTE_ERRORS, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EPERM],
            LOCAL,
        ),
        (SocketOperation.CONNECT, [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.ECONNRESET, None], UPSTREAM),
        (SocketOperation.CONNECT, [0, errno.EINPROGRESS, errno.EALREADY], NO_FAILURE),
        (
            SocketOperation.CONNECT_RESULT,
            [*ROUTE_ERRORS, errno.ECONNREFUSED, errno.ETIMEDOUT, errno.ECONNRESET],
            UPSTREAM,
        ),
        (SocketOperation.CONNECT_RESULT, [errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL], LOCAL),
        (SocketOperation.WRITE, BROKEN_CONNECTION_ERRORS, UPSTREAM),
        (SocketOperation.WRITE, [errno.ENOBUFS, errno.ENOMEM], LOCAL),
        (SocketOperation.READ, BROKEN_CONNECTION_ERRORS, UPSTREAM),
        (SocketOperation.READ, [errno.ENOBUFS, errno.ENOMEM], LOCAL),
        *((operation, [errno.EINTR], NO_FAILURE) for operation in SocketOperation),
        *(
            (operation, [errno.EAGAIN], NO_FAILURE)
            for operation in (SocketOperation.CONNECT_RESULT, SocketOperation.WRITE, SocketOperation.READ)
        ),
    ],
)
def test_category_of_errno_for_each_operation(
    operation: SocketOperation, numbers: list[int | None], expected: ErrorCategory
) -> None:
    assert {classify_errno(number, operation) for number in numbers} == {expected}
