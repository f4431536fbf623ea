"""What the errors of system calls mean."""

from __future__ import annotations

import errno

import pytest

from indigokeel.net.errors import Meaning, Step, meaning

LOCAL, UPSTREAM, GOES_ON = Meaning.LOCAL, Meaning.UPSTREAM, Meaning.GOES_ON


EXHAUSTED = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


ROUTES = [errno.ENETUNREACH, errno.EHOSTUNREACH]


BREAKS = [errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, *ROUTES]


@pytest.mark.parametrize(
    ("step", "numbers", "found"),
    [
        (Step.PREPARE, [*EXHAUSTED, errno.EACCES], LOCAL),
        (Step.CONNECT, [*EXHAUSTED, *ROUTES, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EPERM], LOCAL),
        (Step.CONNECT, [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.ECONNRESET, None], UPSTREAM),
        (Step.CONNECT, [0, errno.EINPROGRESS, errno.EALREADY], GOES_ON),
        (Step.CONNECTING, [*ROUTES, errno.ECONNREFUSED, errno.ETIMEDOUT, errno.ECONNRESET], UPSTREAM),
        (Step.CONNECTING, [errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL], LOCAL),
        (Step.WRITE, BREAKS, UPSTREAM),
        (Step.WRITE, [errno.ENOBUFS, errno.ENOMEM], LOCAL),
        (Step.READ, BREAKS, UPSTREAM),
        (Step.READ, [errno.ENOBUFS, errno.ENOMEM], LOCAL),
        *((step, [errno.EINTR], GOES_ON) for step in Step),
        *((step, [errno.EAGAIN], GOES_ON) for step in (Step.CONNECTING, Step.WRITE, Step.READ)),
    ],
)
def test_meaning_of_errno_at_each_step(step: Step, numbers: list[int | None], found: Meaning) -> None:
    assert {meaning(number, step) for number in numbers} == {found}
