"""Accepting on real sockets: no transient error of ``accept`` closes a client or the listener."""

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
from indigokeel.net.downstream.listener import MAX_ACCEPTS_PER_TURN, ClientListener
from tests.peers import Program, echo, read_answer, request, running, until
from tests.test_crowds import stopped
from tests.test_endings import HEALTH

# --- on a real loop ---------------------------------------------------------------------------------------


class Greeter(asyncio.Protocol):
    """Send a number to each client."""

    made = itertools.count()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the number."""
        cast(asyncio.Transport, transport).write(b"%d" % next(self.made))


def backlog(clients: int) -> tuple[socket.socket, list[socket.socket]]:
    """Return a listening socket, and clients in its backlog."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    return listener, [socket.create_connection(listener.getsockname(), 20.0) for _ in range(clients)]


def play(call: Callable[[asyncio.AbstractEventLoop], Coroutine[Any, Any, None]]) -> None:
    """Run a test on an event loop of its own."""

    async def main() -> None:
        await call(asyncio.get_running_loop())

    uvloop.run(main())


@pytest.mark.parametrize("failures", [0, 3])
def test_close_accepts_the_backlog_first(failures: int) -> None:
    """Also while descriptors are short. Nothing runs between ``open`` and ``close``."""
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
        client_listener = ClientListener(loop, Failing(fileno=listener.detach()), Greeter, Counters("test"))
        client_listener.open()
        await client_listener.close(drain=True)
        assert next(Greeter.made) == len(clients)
        for client in clients:
            assert client.recv(10)
            client.close()

    play(call)


def test_close_leaves_the_backlog_to_the_process_that_shares_the_listener() -> None:
    listener, clients = backlog(3)

    async def call(loop: asyncio.AbstractEventLoop) -> None:
        Greeter.made = itertools.count()
        client_listener = ClientListener(loop, listener.dup(), Greeter, Counters("test"))
        client_listener.open()
        await client_listener.close(drain=False)
        assert next(Greeter.made) == 0
        other = ClientListener(loop, listener, Greeter, Counters("test"))
        other.open()
        await other.close(drain=True)
        for client in clients:
            assert client.recv(10)
            client.close()

    play(call)


def test_internal_error_in_one_hand_over_affects_no_other_connection() -> None:
    listener, clients = backlog(3)
    protocols = iter([Greeter, None, Greeter])
    counters = Counters("test")

    def make() -> asyncio.Protocol:
        protocol = next(protocols)
        if protocol is None:
            raise RuntimeError("no protocol")
        return protocol()

    async def call(loop: asyncio.AbstractEventLoop) -> None:
        client_listener = ClientListener(loop, listener, make, counters)
        client_listener.open()
        await client_listener.close(drain=True)
        assert [bool(client.recv(10)) for client in clients] == [True, False, True]
        assert counters["accept_hand_over_faults"] == 1
        for client in clients:
            client.close()

    play(call)


# --- the program ------------------------------------------------------------------------------------------


def ask_while_stopped(program: Program, clients: int) -> list[int]:
    """Return the status of a health check for each client, 0 without a response.

    All are in the backlog when the loop gets to them, and each closes as soon as it has read."""
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
    """The errors come from the system call itself, whoever makes it."""
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
    """They would stay for 2.2 s each, and the client would wait for seconds."""
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
