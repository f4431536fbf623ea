"""The listener on a fake socket, event loop and clock.

No transient error of ``accept`` closes a connection or the listener, or keeps the event loop busy."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any, cast

import pytest

from indigokeel.metrics import Counters
from indigokeel.net.downstream.listener import MAX_ACCEPTS_PER_TURN, MAX_PAUSE_S, MIN_PAUSE_S, ClientListener

SKIPPED = (
    "ECONNABORTED", "ECONNRESET", "EHOSTDOWN", "EHOSTUNREACH", "EINTR", "ENETDOWN", "ENETUNREACH", "ENONET",
    "ENOPROTOOPT", "EOPNOTSUPP", "EPERM", "EPROTO", "ETIMEDOUT",
)  # fmt: skip
PAUSING = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")
UNKNOWN = ("EIO", "EINVAL", "EFAULT")


class FakeSystem:
    """A fake of the listening socket and the event loop.

    It has a backlog, errors for the next calls of ``accept``, and a clock that only moves when nothing else
    is due."""

    def __init__(self, waiting: int, errors: list[str]) -> None:
        self.waiting, self.errors = waiting, errors
        self.persistent_error = ""  # of every ``accept``, once ``errors`` is empty
        self.calls = self.accepted = self.closes = self.free_descriptors_calls = 0
        self.now = 100.0
        self.reader: Callable[[], None] | None = None
        self.failing_add_readers = 0
        self.pauses: list[float] = []
        self.timer: tuple[float, Callable[[], None]] | None = None
        self.counters = Counters("test")
        system = cast(Any, self)
        self.listener = ClientListener(system, system, asyncio.Protocol, self.counters, self.free_descriptors)
        self.listener.open()

    def run_once(self) -> int:
        """Run one turn of the event loop; return the number of connections accepted in it."""
        before = self.accepted
        if self.reader is not None and self.waiting:
            self.reader()
        elif self.timer is not None:
            (self.now, callback), self.timer = self.timer, None
            callback()
        return self.accepted - before

    def free_descriptors(self) -> None:
        self.free_descriptors_calls += 1
        raise RuntimeError("the owner failed to close connections")

    # --- the listening socket ---

    def accept(self) -> tuple[object, object]:
        self.calls += 1
        if self.errors or self.persistent_error:
            number = getattr(errno, self.errors.pop(0) if self.errors else self.persistent_error)
            raise OSError(number, os.strerror(number))
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, "")
        self.waiting -= 1
        return object(), None

    def close(self) -> None:
        self.closes += 1

    def fileno(self) -> int:
        return 3

    def setblocking(self, _flag: bool) -> None: ...

    def listen(self, _backlog: int) -> None: ...

    # --- the event loop ---

    def time(self) -> float:
        return self.now

    def add_reader(self, _fd: int, callback: Callable[[], None]) -> None:
        if self.failing_add_readers:
            self.failing_add_readers -= 1
            raise OSError(errno.ENOMEM, "")
        self.reader = callback

    def remove_reader(self, _fd: int) -> None:
        self.reader = None

    def call_later(self, delay: float, callback: Callable[[], None]) -> object:
        assert self.timer is None and self.reader is None
        self.pauses.append(delay)
        self.timer = self.now + delay, callback
        return object()

    async def connect_accepted_socket(self, _factory: object, _connection: object) -> None:
        self.accepted += 1


@pytest.mark.parametrize("error", SKIPPED)
def test_error_of_one_connection_is_skipped_in_the_same_turn(error: str) -> None:
    system = FakeSystem(5, [error] * 3)
    assert system.run_once() == 5
    assert system.pauses == [] and system.reader is not None and system.closes == 0
    assert system.counters["accept_errors"] == 3


@pytest.mark.parametrize("error", PAUSING + UNKNOWN)
def test_repeated_error_pauses_accepting_and_closes_no_connection(error: str) -> None:
    system = FakeSystem(5, [error] * 4)
    assert system.run_once() == 0 and system.calls == 1 and system.reader is None
    while system.accepted < 5:
        system.run_once()
    assert system.pauses == [MIN_PAUSE_S * factor for factor in (1, 2, 4, 8)]
    assert system.free_descriptors_calls == 4 and system.closes == 0
    assert system.counters["accept_errors"] == system.counters["accept_pauses"] == 4
    system.errors, system.waiting = [error], 1  # after a success the pauses start at the shortest again
    while system.waiting:
        system.run_once()
    assert system.pauses[4:] == [MIN_PAUSE_S] and system.reader is not None


@pytest.mark.parametrize("error", PAUSING + UNKNOWN + SKIPPED)
def test_persistent_error_neither_keeps_the_loop_busy_nor_floods_the_log(
    error: str, capfd: pytest.CaptureFixture[str]
) -> None:
    system = FakeSystem(5, [])
    system.persistent_error = error
    max_calls = (10.0 / MAX_PAUSE_S + 6) * (MAX_ACCEPTS_PER_TURN if error in SKIPPED else 1)
    while system.now < 110.0:
        assert system.calls <= max_calls
        system.run_once()
    assert max(system.pauses) == MAX_PAUSE_S and system.closes == 0
    assert len(capfd.readouterr().err.splitlines()) <= 3
    system.persistent_error = ""
    while system.accepted < 5:
        system.run_once()


def test_one_turn_accepts_a_limited_number_of_connections() -> None:
    system = FakeSystem(10 * MAX_ACCEPTS_PER_TURN + 1, [])
    accepted_per_turn = [system.run_once() for _ in range(11)]
    assert accepted_per_turn == [MAX_ACCEPTS_PER_TURN] * 10 + [1] and system.pauses == []


def test_add_reader_that_fails_is_retried() -> None:
    system = FakeSystem(1, ["EMFILE"])
    system.failing_add_readers = 3
    while not system.accepted:
        system.run_once()
    assert system.failing_add_readers == 0 and system.counters["accept_errors"] == 4
