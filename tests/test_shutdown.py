"""Shutdown under load: SIGKILL at the earliest time that it may come, and faults in the shutdown itself."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from indigokeel.metrics import Counters
from indigokeel.net.admin import AdminServer
from indigokeel.net.downstream.client_connection import ClientConnection
from indigokeel.net.downstream.client_registry import ClientRegistry
from indigokeel.net.downstream.listener import ClientListener
from indigokeel.process import sidecar
from indigokeel.process.request_service import RequestService
from indigokeel.process.shutdown import ShutdownTimes
from indigokeel.requests.coordinator import RequestCoordinator
from tests.peers import SETTINGS, TIMEOUT_S, Message, Program, echo, read_response, request, running, until
from tests.test_supervision import Fault, RunningSidecar

MAX_STALL_S = 0.05  # a run in which the machine itself paused for this long proves nothing
MAX_RUNS = 10


def settings_with_deadline(seconds: float) -> dict[str, Any]:
    """Return the settings with the same deadline for all classes."""
    return {
        **SETTINGS,
        "classes": [
            {**cls, "deadline-s": seconds, "objective-s": seconds / 2.0} for cls in SETTINGS["classes"]
        ],
    }


# --- an early SIGKILL -------------------------------------------------------------------------------------


class Client:
    """Sends requests on one connection until it breaks, even after a response that closes it, and reads all
    responses. At most ``depth`` requests are unanswered at a time; with ``split``, half of the next one is
    always sent as well."""

    def __init__(self, program: Program, depth: int, split: bool) -> None:
        self.conn = program.connect()
        self.depth, self.split = depth, split
        self.sent_ids: list[str] = []  # request ids in their order; the last request may be incomplete
        self.answers = 0
        self.error: object = None  # the error that reading an incomplete response raised
        self.threads = [threading.Thread(target=run, daemon=True) for run in (self._read, self._send)]
        for thread in self.threads:
            thread.start()

    def _send(self) -> None:
        rest = b""
        try:
            while True:
                while len(self.sent_ids) - self.answers >= self.depth:
                    if not self.threads[0].is_alive():
                        return
                    time.sleep(0.001)
                message = request("pay", b"x" * 50)
                cut = len(message) // 2 if self.split else len(message)
                self.sent_ids.append(message.partition(b"Request-Id: ")[2][:16].decode())
                self.conn.sendall(rest + message[:cut])
                rest = message[cut:]
                time.sleep(0.001)
        except OSError:
            return

    def _read(self) -> None:
        file = self.conn.makefile("rb")
        try:
            while file.peek(1):
                read_response(file)
                self.answers += 1
        except ConnectionResetError:
            return
        except Exception as error:
            self.error = error

    def join(self) -> None:
        for thread in self.threads:
            thread.join(TIMEOUT_S)
        self.conn.close()


class StallDetector:
    """Detects that the machine paused: measures by how much short sleeps overrun."""

    def __init__(self) -> None:
        self.worst, self._ended = 0.0, threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self) -> None:
        while not self._ended.is_set():
            began = time.monotonic()
            time.sleep(0.005)
            self.worst = max(self.worst, time.monotonic() - began - 0.005)

    def stop(self) -> float:
        self._ended.set()
        self._thread.join()
        return self.worst


def run_early_kill(tmp: Path, deadline: float, listener: socket.socket | None) -> tuple[bool, list[object]]:
    """Run one shutdown under load; return whether the machine ran without pauses, and the faults found."""
    stop = threading.Event()

    def slow(message: Message) -> bytes:
        if message.headers["request-id"].endswith(("0", "7")):
            stop.wait(TIMEOUT_S)
        return echo(message)

    with running(tmp, echo, slow, settings=settings_with_deadline(deadline), listener=listener) as (
        program,
        upstreams,
        _,
    ):
        client_options = [(1, False), (1, False), (4, False), (4, False), (2, True), (6, True)]
        clients = [Client(program, *options) for options in client_options]
        until(lambda: all(client.answers >= 3 for client in clients))
        stall_detector = StallDetector()
        program.process.send_signal(signal.SIGTERM)
        kill_at = time.monotonic() + min(deadline, 3.0) + 0.7
        while time.monotonic() < kill_at and program.process.poll() is None:
            time.sleep(0.002)
        program.process.kill()
        code = program.process.wait()
        worst = stall_detector.stop()
        for client in clients:
            client.join()
        stop.set()
        wrong: list[object] = [client.error for client in clients if client.error is not None]
        if code != 0:
            wrong.append(f"exited with {code}")
        answered = {name for client in clients for name in client.sent_ids[: client.answers]}
        seen = {message.headers["request-id"] for upstream in upstreams for message in upstream.received}
        wrong += sorted(seen - answered)
        if code == 0:
            counters = program.last_counters()
            rejected = ("requests_shed_early", "requests_out_of_time")
            read = counters["requests_accepted"] + sum(counters.get(name, 0) for name in rejected)
            if read != len(answered):
                wrong.append(f"{read:.0f} read, {len(answered)} answered")
    return worst < MAX_STALL_S, wrong


@pytest.mark.parametrize("shared", [False, True])
@pytest.mark.parametrize("deadline", [0.2, 0.5, 1.0])
def test_every_request_read_is_answered_before_an_early_sigkill(
    tmp_path: Path, deadline: float, shared: bool
) -> None:
    """Clients keep sending on open connections until SIGKILL, at the earliest time that it may come. Guards
    against a request that is accepted at the last moment and, with short deadlines, gets no response."""
    for _ in range(MAX_RUNS):
        with socket.create_server(("127.0.0.1", 0)) as listener:  # used as the platform's listener if shared
            undisturbed, wrong = run_early_kill(tmp_path, deadline, listener if shared else None)
        if undisturbed:
            assert wrong == []
            return
    pytest.fail("the machine paused in every run, so the result is inconclusive")


@pytest.mark.parametrize("deadline", [0.01, 0.2, 0.5, 1.0, 3.0, 60.0])
def test_steps_of_a_shutdown_are_ordered_and_before_sigkill(deadline: float) -> None:
    times = ShutdownTimes.plan(100.0, deadline, 0.5, 0.2)
    assert 100.0 < times.reject_after < times.answer_by < times.close_at < times.exit_by
    assert times.exit_by < 100.0 + min(deadline, 3.0) + 0.7
    # A request read at the last moment still has half of its deadline, or the 50 ms that a short one needs.
    assert times.answer_by - times.reject_after >= min(deadline / 2.0, 0.05) - 1e-9
    # Requests on the last accepted connection are still read, unless the deadline is shorter than an exit.
    assert times.reject_after >= times.accept_until or deadline < 0.1


def test_request_read_too_late_in_the_shutdown_is_rejected_and_not_forwarded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Here the time to accept requests ends at once, and the time to read from connections much later."""

    def plan(now: float, *_: float) -> ShutdownTimes:
        return ShutdownTimes(now, now + TIMEOUT_S, now, now + TIMEOUT_S, now + TIMEOUT_S, now + TIMEOUT_S)

    monkeypatch.setattr(sidecar, "_ACCEPT_AFTER_SIGTERM_S", 0.0)
    monkeypatch.setattr(ShutdownTimes, "plan", plan)
    running = RunningSidecar(tmp_path)

    async def script() -> None:
        with socket.create_connection(running.listener.getsockname(), timeout=TIMEOUT_S) as conn:
            first = request("pay", b"first")
            conn.sendall(first[:-1])  # a partial request keeps the connection open
            await asyncio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            while not running.sidecar.closing:
                await asyncio.sleep(0.001)
            conn.sendall(first[-1:])
            code, answer = await asyncio.to_thread(read_response, conn.makefile("rb"))
            assert code == 503 and answer.headers["connection"] == "close"
            assert running.upstream.received == []

    running.run_script(script)


# --- faults in the shutdown ---------------------------------------------------------------------------------

FAULTS: list[tuple[object, str]] = [
    (RequestCoordinator, "limit_deadlines"),
    (RequestCoordinator, "tick"),
    (RequestCoordinator, "next_deadline"),
    (ClientRegistry, "__iter__"),
    (ClientConnection, "is_idle"),
    (ClientConnection, "close"),
    (ClientConnection, "_end"),
    (ClientListener, "close"),
    (AdminServer, "close"),
    (RequestService, "has_unfinished_work"),
    (Counters, "dump"),
]


@pytest.mark.parametrize(("owner", "method"), FAULTS)
def test_fault_in_the_shutdown_leaves_no_request_unanswered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: object, method: str
) -> None:
    """The upstream does not respond, and from SIGTERM on the method raises on each call: the request still
    gets a complete response. A second connection sends nothing, so that one remains to be closed."""
    monkeypatch.setattr(sidecar, "_ACCEPT_AFTER_SIGTERM_S", 0.0)
    monkeypatch.setattr(sidecar, "_PARTIAL_REQUEST_S", 0.0)
    running = RunningSidecar(tmp_path, settings_with_deadline(0.5))
    running.upstream.script = lambda message: b""
    fault = Fault(monkeypatch, owner, method, 0)

    async def script() -> None:
        answer = asyncio.create_task(asyncio.to_thread(running.ask, request("pay", b"1")))
        while not running.upstream.received or running.counters["client_connections"] < 2:
            await asyncio.sleep(0.001)
        fault.times = 10**6
        os.kill(os.getpid(), signal.SIGTERM)
        assert await answer == 500

    with socket.create_connection(running.listener.getsockname()):
        running.run_script(script)
    assert running.counters["task_faults"] >= 1
