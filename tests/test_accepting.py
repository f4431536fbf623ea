"""Accepting: no transient error of ``accept`` closes a client or the listener, or makes the loop spin."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import os
import resource
import socket
import subprocess
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, cast

import pytest
import uvloop

from indigokeel.metrics import Counters
from indigokeel.net.downstream.listener import MAX_ACCEPTS_PER_TURN, MAX_PAUSE_S, MIN_PAUSE_S, ClientListener
from tests.peers import Program, echo, read_answer, request, running, until
from tests.test_crowds import stopped
from tests.test_endings import HEALTH

PASSED_OVER = (
    "ECONNABORTED", "ECONNRESET", "EHOSTDOWN", "EHOSTUNREACH", "EINTR", "ENETDOWN", "ENETUNREACH", "ENONET",
    "ENOPROTOOPT", "EOPNOTSUPP", "EPERM", "EPROTO", "ETIMEDOUT",
)  # fmt: skip
WAITED_FOR = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")
UNKNOWN = ("EIO", "EINVAL", "EFAULT")


# --- a listener over a scripted system and clock -----------------------------------------------------------


class System:
    """Stands in for the listening socket and for the loop: who waits in the backlog, the errors that the
    next calls meet, and a clock that only moves where nothing else is due."""

    def __init__(self, waiting: int, errors: list[str]) -> None:
        self.waiting, self.errors = waiting, errors
        self.for_ever = ""  # an error of every call
        self.calls = self.accepted = self.closes = self.asked_for_room = 0
        self.now = 100.0
        self.reader: Callable[[], None] | None = None
        self.failing_watches = 0
        self.pauses: list[float] = []
        self.timer: tuple[float, Callable[[], None]] | None = None
        self.counters = Counters("test")
        system = cast(Any, self)
        self.listener = ClientListener(system, system, asyncio.Protocol, self.counters, self.make_room)
        self.listener.open()

    def turn(self) -> int:
        """One turn of the loop; how many were accepted in it."""
        before = self.accepted
        if self.reader is not None and self.waiting:
            self.reader()
        elif self.timer is not None:
            (self.now, callback), self.timer = self.timer, None
            callback()
        return self.accepted - before

    def make_room(self) -> None:
        self.asked_for_room += 1
        raise RuntimeError("a fault of the owner's")

    # the socket

    def accept(self) -> tuple[object, object]:
        self.calls += 1
        if self.errors or self.for_ever:
            number = getattr(errno, self.errors.pop(0) if self.errors else self.for_ever)
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

    # the loop

    def time(self) -> float:
        return self.now

    def add_reader(self, _fd: int, callback: Callable[[], None]) -> None:
        if self.failing_watches:
            self.failing_watches -= 1
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


@pytest.mark.parametrize("error", PASSED_OVER)
def test_error_of_one_connection_is_passed_over_in_the_same_turn(error: str) -> None:
    system = System(5, [error] * 3)
    assert system.turn() == 5
    assert system.pauses == [] and system.reader is not None and system.closes == 0
    assert system.counters["accept_errors"] == 3


@pytest.mark.parametrize("error", WAITED_FOR + UNKNOWN)
def test_error_that_comes_again_is_waited_for_and_nobody_is_closed(error: str) -> None:
    system = System(5, [error] * 4)
    assert system.turn() == 0 and system.calls == 1 and system.reader is None
    while system.accepted < 5:
        system.turn()
    assert system.pauses == [MIN_PAUSE_S * factor for factor in (1, 2, 4, 8)]
    assert system.asked_for_room == 4 and system.closes == 0
    assert system.counters["accept_errors"] == system.counters["accept_pauses"] == 4
    system.errors, system.waiting = [error], 1  # the next shortage begins with the least pause
    while system.waiting:
        system.turn()
    assert system.pauses[4:] == [MIN_PAUSE_S] and system.reader is not None


@pytest.mark.parametrize("error", WAITED_FOR + UNKNOWN + PASSED_OVER)
def test_error_without_end_neither_spins_nor_floods_the_log(
    error: str, capfd: pytest.CaptureFixture[str]
) -> None:
    system = System(5, [])
    system.for_ever = error
    most = (10.0 / MAX_PAUSE_S + 6) * (MAX_ACCEPTS_PER_TURN if error in PASSED_OVER else 1)
    while system.now < 110.0:
        assert system.calls <= most
        system.turn()
    assert max(system.pauses) == MAX_PAUSE_S and system.closes == 0
    assert len(capfd.readouterr().err.splitlines()) <= 3
    system.for_ever = ""
    while system.accepted < 5:
        system.turn()


def test_one_turn_accepts_a_bounded_number() -> None:
    system = System(10 * MAX_ACCEPTS_PER_TURN + 1, [])
    taken = [system.turn() for _ in range(11)]
    assert taken == [MAX_ACCEPTS_PER_TURN] * 10 + [1] and system.pauses == []


def test_watch_that_the_system_refuses_is_tried_again() -> None:
    system = System(1, ["EMFILE"])
    system.failing_watches = 3
    while not system.accepted:
        system.turn()
    assert system.failing_watches == 0 and system.counters["accept_errors"] == 4


# --- on a real loop ---------------------------------------------------------------------------------------


class Greeter(asyncio.Protocol):
    """Greets whoever is connected."""

    made = itertools.count()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).write(b"%d" % next(self.made))


def backlog(clients: int) -> tuple[socket.socket, list[socket.socket]]:
    """A listening socket, and clients that wait in its backlog."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    return listener, [socket.create_connection(listener.getsockname(), 20.0) for _ in range(clients)]


def play(call: Callable[[asyncio.AbstractEventLoop], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        await call(asyncio.get_running_loop())

    uvloop.run(main())


@pytest.mark.parametrize("failures", [0, 3])
def test_close_takes_those_that_wait_first(failures: int) -> None:
    """Also where descriptors are short in that moment. Nothing runs between ``open`` and ``close``."""
    listener, clients = backlog(3 * MAX_ACCEPTS_PER_TURN)

    class Failing(socket.socket):
        left = failures

        def accept(self) -> tuple[socket.socket, Any]:
            if self.left:
                self.left -= 1
                raise OSError(errno.EMFILE, "")
            return super().accept()

    async def call(loop: asyncio.AbstractEventLoop) -> None:
        Greeter.made = itertools.count()
        taken = ClientListener(loop, Failing(fileno=listener.detach()), Greeter, Counters("test"))
        taken.open()
        await taken.close(drain=True)
        assert next(Greeter.made) == len(clients)
        for client in clients:
            assert client.recv(10)
            client.close()

    play(call)


def test_close_leaves_those_that_wait_to_the_process_that_shares_the_listener() -> None:
    listener, clients = backlog(3)

    async def call(loop: asyncio.AbstractEventLoop) -> None:
        Greeter.made = itertools.count()
        taken = ClientListener(loop, listener.dup(), Greeter, Counters("test"))
        taken.open()
        await taken.close(drain=False)
        assert next(Greeter.made) == 0
        other = ClientListener(loop, listener, Greeter, Counters("test"))
        other.open()
        await other.close(drain=True)
        for client in clients:
            assert client.recv(10)
            client.close()

    play(call)


def test_fault_in_taking_one_connection_over_costs_no_other() -> None:
    listener, clients = backlog(3)
    protocols = iter([Greeter, None, Greeter])
    counters = Counters("test")

    def make() -> asyncio.Protocol:
        protocol = next(protocols)
        if protocol is None:
            raise RuntimeError("no protocol")
        return protocol()

    async def call(loop: asyncio.AbstractEventLoop) -> None:
        taken = ClientListener(loop, listener, make, counters)
        taken.open()
        await taken.close(drain=True)
        assert [bool(client.recv(10)) for client in clients] == [True, False, True]
        assert counters["accept_hand_over_faults"] == 1
        for client in clients:
            client.close()

    play(call)


# --- the program ------------------------------------------------------------------------------------------


def ask_while_stopped(program: Program, clients: int) -> list[int]:
    """The status that each gets for a question after health, 0 for none. All stand in the backlog when the
    loop gets to them, and each closes as soon as it has read."""
    with stopped(program):
        waiting = [program.connect() for _ in range(clients)]
        for client in waiting:
            client.sendall(HEALTH)
    found = []
    for client in waiting:
        code = 0
        with client, contextlib.suppress(OSError), client.makefile("rb") as file:
            code = read_answer(file)[0]
        found.append(code)
    return found


@pytest.mark.parametrize("error", ["ENFILE", "ECONNABORTED"])
def test_every_client_is_answered_whatever_accept_meets(tmp_path: Path, error: str) -> None:
    """The errors come from the system call itself, whoever makes it: the loop's own server closed, unread,
    all that waited."""
    source, library = Path(__file__).with_name("accept_faults.c"), tmp_path / "accept_faults.so"
    subprocess.run(["cc", "-shared", "-fPIC", "-o", library, source, "-ldl"], check=True)
    faults = tmp_path / "faults"
    plan: dict[str, Any] = {
        "ACCEPT_FAULTS": f"{getattr(errno, error)} 50 3",
        "ACCEPT_FAULTS_LOG": str(faults),
    }
    with running(tmp_path, echo, sockets=1024, LD_PRELOAD=str(library), **plan) as (program, _, _d):
        assert ask_while_stopped(program, 200) == [200] * 200
        assert faults.read_text().count("failed") == 3
        counters = program.counters()
        assert counters["accept_errors"] == 3
        assert counters.get("accept_pauses", 0) == (3 if error == "ENFILE" else 0)


def test_clients_beyond_the_real_limit_wait_until_there_is_room(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d):
        assert program.ask(request())[0] == 200
        until(lambda: program.counters()["client_connections_open"] == 0)
        soft = max(map(int, os.listdir(f"/proc/{program.process.pid}/fd"))) + 4
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (soft, soft))
        assert ask_while_stopped(program, 20) == [200] * 20
        counters = program.counters()
        assert counters["accept_errors"] == counters["accept_pauses"] > 0


def test_silent_clients_that_hold_all_descriptors_make_room_for_one_that_waits(tmp_path: Path) -> None:
    """They would keep their places for 2.2 s each, by tens: the client would wait for seconds."""
    with running(tmp_path, echo) as (program, _, _d):
        assert program.ask(request())[0] == 200
        until(lambda: program.counters()["client_connections_open"] == 0)
        soft = max(map(int, os.listdir(f"/proc/{program.process.pid}/fd"))) + 4
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (soft, soft))
        with contextlib.ExitStack() as stack:
            for _ in range(10):
                stack.enter_context(program.connect())
            assert program.ask(HEALTH)[0] == 200
            assert program.counters()["clients_evicted"] > 0
