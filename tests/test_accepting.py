"""Accepting on real sockets: no transient error of ``accept`` closes a client connection or the listener."""

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
from tests.peers import Program, echo, read_response, request, running, until
from tests.test_crowds import stopped
from tests.test_endings import HEALTH_REQUEST

# --- on a real event loop ---------------------------------------------------------------------------------


class Greeter(asyncio.Protocol):
    """Send a number to each client."""

    numbers = itertools.count()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the number."""
        cast(asyncio.Transport, transport).write(b"%d" % next(self.numbers))


def backlog(clients: int) -> tuple[socket.socket, list[socket.socket]]:
    """Return a listening socket, and the sockets of clients in its backlog."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    return listener, [socket.create_connection(listener.getsockname(), 20.0) for _ in range(clients)]


def run_test(call: Callable[[asyncio.AbstractEventLoop], Coroutine[Any, Any, None]]) -> None:
    """Run a test on its own event loop."""

    async def main() -> None:
        await call(asyncio.get_running_loop())

    uvloop.run(main())


@pytest.mark.parametrize("failures", [0, 3])
def test_close_accepts_the_backlog_first(failures: int) -> None:
    """This also holds while descriptors are short. Nothing else runs between ``open`` and ``close``."""
    listener, clients = backlog(3 * MAX_ACCEPTS_PER_TURN)

    class FailingSocket(socket.socket):
        failures_left = failures

        def accept(self) -> tuple[socket.socket, Any]:
            if self.failures_left:
                self.failures_left -= 1
                raise OSError(errno.EMFILE, "")
            return super().accept()

    async def call(loop: asyncio.AbstractEventLoop) -> None:
        Greeter.numbers = itertools.count()
        client_listener = ClientListener(
            loop, FailingSocket(fileno=listener.detach()), Greeter, Counters("test")
        )
        client_listener.open()
        await client_listener.close(drain=True)
        assert next(Greeter.numbers) == len(clients)
        for client in clients:
            assert client.recv(10)
            client.close()

    run_test(call)


def test_close_leaves_the_backlog_to_the_process_that_shares_the_listener() -> None:
    listener, clients = backlog(3)

    async def call(loop: asyncio.AbstractEventLoop) -> None:
        Greeter.numbers = itertools.count()
        client_listener = ClientListener(loop, listener.dup(), Greeter, Counters("test"))
        client_listener.open()
        await client_listener.close(drain=False)
        assert next(Greeter.numbers) == 0
        other = ClientListener(loop, listener, Greeter, Counters("test"))
        other.open()
        await other.close(drain=True)
        for client in clients:
            assert client.recv(10)
            client.close()

    run_test(call)


def test_internal_error_on_one_accepted_connection_affects_no_other() -> None:
    listener, clients = backlog(3)
    protocols = iter([Greeter, None, Greeter])
    counters = Counters("test")

    def make_protocol() -> asyncio.Protocol:
        protocol = next(protocols)
        if protocol is None:
            raise RuntimeError("no protocol")
        return protocol()

    async def call(loop: asyncio.AbstractEventLoop) -> None:
        client_listener = ClientListener(loop, listener, make_protocol, counters)
        client_listener.open()
        await client_listener.close(drain=True)
        assert [bool(client.recv(10)) for client in clients] == [True, False, True]
        assert counters["accept_hand_over_faults"] == 1
        for client in clients:
            client.close()

    run_test(call)


# --- the whole program ------------------------------------------------------------------------------------


def check_health_while_stopped(program: Program, clients: int) -> list[int]:
    """Return the status code of a health check for each client, 0 without a response.

    All clients are in the backlog when the event loop accepts them; each closes after its response."""
    with stopped(program):
        client_sockets = [program.connect() for _ in range(clients)]
        for client in client_sockets:
            client.sendall(HEALTH_REQUEST)
    codes = []
    for client in client_sockets:
        code = 0
        with client, contextlib.suppress(OSError), client.makefile("rb") as file:
            code = read_response(file)[0]
        codes.append(code)
    return codes


@pytest.mark.parametrize("error", ["ENFILE", "ECONNABORTED"])
def test_every_client_gets_its_response_despite_errors_of_accept(tmp_path: Path, error: str) -> None:
    """The errors are injected into the system call itself, whichever code makes it."""
    source, library = Path(__file__).with_name("accept_faults.c"), tmp_path / "accept_faults.so"
    subprocess.run(["cc", "-shared", "-fPIC", "-o", library, source, "-ldl"], check=True)
    faults = tmp_path / "faults"
    environment: dict[str, Any] = {
        "ACCEPT_FAULTS": f"{getattr(errno, error)} 50 3",
        "ACCEPT_FAULTS_LOG": str(faults),
    }
    with running(tmp_path, echo, sockets=1024, LD_PRELOAD=str(library), **environment) as (program, _, _d):
        assert check_health_while_stopped(program, 200) == [200] * 200
        assert faults.read_text().count("failed") == 3
        counters = program.counters()
        assert counters["accept_errors"] == 3
        assert counters.get("accept_pauses", 0) == (3 if error == "ENFILE" else 0)


def test_clients_beyond_the_descriptor_limit_wait_until_one_is_free(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d):
        assert program.exchange(request())[0] == 200
        until(lambda: program.counters()["client_connections_open"] == 0)
        soft = max(map(int, os.listdir(f"/proc/{program.process.pid}/fd"))) + 4
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (soft, soft))
        assert check_health_while_stopped(program, 20) == [200] * 20
        counters = program.counters()
        assert counters["accept_errors"] == counters["accept_pauses"] > 0


def test_silent_clients_that_hold_all_descriptors_are_evicted_for_one_that_waits(tmp_path: Path) -> None:
    """Otherwise each would stay for 2.2 s, and the waiting client would wait for seconds."""
    with running(tmp_path, echo) as (program, _, _d):
        assert program.exchange(request())[0] == 200
        until(lambda: program.counters()["client_connections_open"] == 0)
        soft = max(map(int, os.listdir(f"/proc/{program.process.pid}/fd"))) + 4
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (soft, soft))
        with contextlib.ExitStack() as stack:
            for _ in range(10):
                stack.enter_context(program.connect())
            assert program.exchange(HEALTH_REQUEST)[0] == 200
            assert program.counters()["clients_evicted"] > 0
