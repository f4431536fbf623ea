"""Tests of the classification of errors of system calls."""

from __future__ import annotations

import errno

import pytest

from indigokeel.net.errors import Meaning, Step, meaning

LOCAL, UPSTREAM, GOES_ON = Meaning.LOCAL, Meaning.UPSTREAM, Meaning.GOES_ON


EXHAUSTED = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


ROUTE_ERRORS = [errno.ENETUNREACH, errno.EHOSTUNREACH]


BROKEN_CONNECTION_ERRORS = [errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, *ROUTE_ERRORS]


@pytest.mark.parametrize(
    ("step", "numbers", "expected"),
    [
        (Step.PREPARE, [*EXHAUSTED, errno.EACCES], LOCAL),
        (Step.CONNECT, [*EXHAUSTED, *ROUTE_ERRORS, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EPERM], LOCAL),
        (Step.CONNECT, [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.ECONNRESET, None], UPSTREAM),
        (Step.CONNECT, [0, errno.EINPROGRESS, errno.EALREADY], GOES_ON),
        (Step.CONNECTING, [*ROUTE_ERRORS, errno.ECONNREFUSED, errno.ETIMEDOUT, errno.ECONNRESET], UPSTREAM),
        (Step.CONNECTING, [errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL], LOCAL),
        (Step.WRITE, BROKEN_CONNECTION_ERRORS, UPSTREAM),
        (Step.WRITE, [errno.ENOBUFS, errno.ENOMEM], LOCAL),
        (Step.READ, BROKEN_CONNECTION_ERRORS, UPSTREAM),
        (Step.READ, [errno.ENOBUFS, errno.ENOMEM], LOCAL),
        *((step, [errno.EINTR], GOES_ON) for step in Step),
        *((step, [errno.EAGAIN], GOES_ON) for step in (Step.CONNECTING, Step.WRITE, Step.READ)),
    ],
)
def test_meaning_of_errno_at_each_step(step: Step, numbers: list[int | None], expected: Meaning) -> None:
    assert {meaning(number, step) for number in numbers} == {expected}
