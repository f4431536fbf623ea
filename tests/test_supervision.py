"""Every loop of the process goes on after an exception: one is forced into each, in the real sidecar."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop

from indigokeel.config import load_config
from indigokeel.hot_restart.state_files import StateFiles
from indigokeel.metrics import Counters
from indigokeel.net.admin import AdminServer
from indigokeel.net.discovery import DiscoveryClient
from indigokeel.net.downstream.client_connection import ClientConnection
from indigokeel.net.downstream.client_registry import ClientRegistry
from indigokeel.net.upstream import DescriptorLeakDetector
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.process import housekeeping, reload, sidecar, supervision
from indigokeel.process.state_persistence import StatePersistence
from indigokeel.process.supervision import Supervisor
from indigokeel.requests.coordinator import RequestCoordinator
from tests import peers
from tests.peers import (
    OPERATORS,
    SETTINGS,
    WAIT,
    Peer,
    echo,
    entry,
    free_port,
    parse_endpoint_list,
    read_answer,
    request,
)

PUSHED = {**SETTINGS, "membership-mode": "pushed"}
PROBED = {
    **SETTINGS,
    "telemetry": {**SETTINGS["telemetry"], "how": "probe"},
    "limits": {**SETTINGS["limits"], "probes": True},
}


class UnforeseenError(Exception):
    """What no code expects."""


class Fault:
    """Forced into a method: its first calls raise, the others go through. Counts the calls."""

    def __init__(self, patch: pytest.MonkeyPatch, owner: object, name: str, times: int) -> None:
        self.calls, self.times, self.active = 0, times, True
        original: Callable[..., Any] = getattr(owner, name)

        def faulty(*args: Any, **kwargs: Any) -> Any:
            self.calls += self.active
            if self.active and self.calls <= self.times:
                raise UnforeseenError(name)
            return original(*args, **kwargs)

        patch.setattr(owner, name, faulty)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT):
        while not condition():
            await asyncio.sleep(0.005)


class Running:
    """The sidecar in this process, on the product's event loop, with one upstream and discovery."""

    def __init__(self, tmp: Path, settings: dict[str, Any] = SETTINGS) -> None:
        self.upstream, self.discovery = Peer(echo), peers.DiscoveryClient()
        self.path, self.mgmt = tmp / "config.json", free_port(OPERATORS)
        self.data = {
            "name": "n0",
            "listen": "127.0.0.1:1",  # not used: the listener is handed on
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "mgmt": f"{OPERATORS}:{self.mgmt}",
            "known": parse_endpoint_list(entry("s-0", self.upstream.port)),
            "settings": settings,
        }
        self.path.write_text(json.dumps(self.data))
        environment = {"BALANCER_CONFIG": str(self.path), "TMPDIR": str(tmp)}
        os.environ["BALANCER_CONFIG"] = str(self.path)  # a reload reads it again
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.sidecar = sidecar.Sidecar(load_config(environment))
        self.counters: Counters = self.sidecar._counters

    def play(self, script: Callable[[], Awaitable[None]]) -> None:
        """Run ``script`` beside the sidecar, then end that in order."""

        async def both() -> None:
            served = asyncio.create_task(self.sidecar.run(self.listener))
            await until(lambda: self.sidecar.accepting or served.done())
            await script()
            os.kill(os.getpid(), signal.SIGTERM)
            async with asyncio.timeout(WAIT):
                await served

        try:
            uvloop.run(both())
        finally:
            self.listener.close()
            for peer in (self.upstream, self.discovery):
                peer.close()

    async def serves(self) -> None:
        assert await asyncio.to_thread(self.ask, request("view")) == 200

    def ask(self, raw: bytes) -> int:
        with socket.create_connection(self.listener.getsockname(), timeout=WAIT) as conn:
            conn.sendall(raw)
            return read_answer(conn.makefile("rb"))[0]


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    """Short pauses, and the environment as it was."""
    monkeypatch.setattr(supervision, "_RESTART_PAUSE_S", 0.001)
    monkeypatch.setattr(housekeeping, "_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(sidecar, "_ACCEPT_AFTER_SIGTERM_S", 0.0)
    monkeypatch.setenv("BALANCER_CONFIG", "")


LOOPS: dict[str, tuple[object, str, dict[str, Any]]] = {
    "housekeeping": (ClientRegistry, "__iter__", SETTINGS),
    "idle connections": (UpstreamClient, "close_expired", SETTINGS),
    "audit": (DescriptorLeakDetector, "look", SETTINGS),
    "state writer": (StatePersistence, "persist", SETTINGS),
    "state file": (StateFiles, "write", SETTINGS),
    "watch": (DiscoveryClient, "_keep_watching", SETTINGS),
    "call of the watch": (DiscoveryClient, "_call", SETTINGS),
    "word on the watch": (RequestCoordinator, "endpoint_watch_failed", SETTINGS),
    "watch on an agent": (DiscoveryClient, "_keep_watching", PUSHED),
    "call to an agent": (DiscoveryClient, "_call", PUSHED),
    "management": (AdminServer, "listen", SETTINGS),
    "beat": (RequestCoordinator, "sample_lag", SETTINGS),
    "probe": (UpstreamClient, "check_health", PROBED),
}


@pytest.mark.parametrize("name", LOOPS)
def test_loop_goes_on_after_an_exception(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    """Found by reading: one exception in housekeeping or the state writer ended that task for good."""
    owner, method, settings = LOOPS[name]
    if name == "word on the watch":  # which has to end for that
        Fault(monkeypatch, DiscoveryClient, "_keep_watching", 3)
    running = Running(tmp_path, settings)
    fault = Fault(monkeypatch, owner, method, 2)

    async def script() -> None:
        async with asyncio.timeout(WAIT):
            while fault.calls < 3:
                await running.serves()  # requests set the pace of probes
        await running.serves()

    running.play(script)
    assert running.counters["task_faults"] >= 1


@pytest.mark.parametrize("method", ["tick", "next_deadline"])
def test_timer_goes_on_after_an_exception(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """The upstream is silent, so that the one answer is the timer's work: the exceptions come before it."""
    running = Running(tmp_path)
    running.upstream.script = lambda message: b""
    fault = Fault(monkeypatch, RequestCoordinator, method, 0)

    async def script() -> None:
        answer = asyncio.create_task(asyncio.to_thread(running.ask, request("pay", b"1", wait_ms=300)))
        await until(lambda: len(running.upstream.got) == 1)
        fault.times = fault.calls + 3
        assert await answer == 500

    running.play(script)
    assert fault.calls > fault.times and running.counters["loop_restarts"] >= 1


def test_client_connection_that_cannot_be_looked_at_keeps_no_other_from_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    running = Running(tmp_path)
    seen: dict[int, int] = {}
    look = ClientConnection.check_timeouts

    def faulty(session: ClientConnection, now: float) -> None:
        seen[session.fd] = seen.get(session.fd, 0) + 1
        if session.fd == min(seen):
            raise UnforeseenError
        look(session, now)

    monkeypatch.setattr(ClientConnection, "check_timeouts", faulty)

    async def script() -> None:
        address = running.listener.getsockname()
        conns = [socket.create_connection(address, timeout=WAIT) for _ in range(3)]
        await until(lambda: len(seen) >= 3 and min(seen.values()) >= 3)
        for conn in conns:
            conn.close()

    running.play(script)


@pytest.mark.parametrize(
    ("owner", "method", "status"),
    [(UpstreamClient, "send_attempt", 500), (ClientConnection, "send_final_response", 0)],
)
def test_order_that_raises_costs_its_request_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: object, method: str, status: int
) -> None:
    """An attempt that cannot be begun counts as broken; a client that cannot be answered sees its connection
    closed, and doesn't wait for ever."""
    running = Running(tmp_path)
    Fault(monkeypatch, owner, method, 1)

    def ask() -> int:
        try:
            return running.ask(request("pay", b"1"))
        except ConnectionError:
            return 0

    async def script() -> None:
        assert await asyncio.to_thread(ask) == status
        await running.serves()

    running.play(script)
    assert running.counters["task_faults"] == 1


@pytest.mark.parametrize(
    ("owner", "method"),
    [(reload, "reload_config"), (RequestCoordinator, "apply_settings"), (UpstreamClient, "apply_timeouts")],
)
def test_reload_that_raises_changes_nothing_and_the_next_one_is_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: object, method: str
) -> None:
    """Whole or nothing: where the fault comes half-way, what has changed already changes back."""
    running = Running(tmp_path)
    old = running.sidecar.settings
    used: list[object] = []
    reconfigure = RequestCoordinator.apply_settings

    def record(coordinator: RequestCoordinator, settings: Any) -> None:
        reconfigure(coordinator, settings)
        used.append(settings)

    monkeypatch.setattr(RequestCoordinator, "apply_settings", record)
    Fault(monkeypatch, owner, method, 1)
    classes = [{**cls, "deadline-s": 2.0} for cls in SETTINGS["classes"]]
    running.path.write_text(json.dumps({**running.data, "settings": {**SETTINGS, "classes": classes}}))

    async def script() -> None:
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: running.counters["task_faults"] == 1)
        assert running.sidecar.settings is old and used[-1:] in ([], [old])
        await running.serves()
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: running.counters["reloads"] == 1)
        assert {cls.deadline for cls in running.sidecar.settings.classes} == {2.0}

    running.play(script)


@pytest.mark.parametrize(("owner", "method"), [(Counters, "dump"), (DescriptorLeakDetector, "look")])
def test_counters_that_cannot_be_printed_cost_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: object, method: str
) -> None:
    running = Running(tmp_path)
    fault = Fault(monkeypatch, owner, method, 0)

    async def script() -> None:
        fault.times = fault.calls + 1
        os.kill(os.getpid(), signal.SIGUSR1)
        await until(lambda: running.counters["task_faults"] >= 1)
        await running.serves()

    running.play(script)


def test_restarts_pause_longer_each_time_up_to_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """And they end with a return, or with the process."""
    pauses: list[float] = []

    async def pause(seconds: float) -> None:
        pauses.append(seconds)

    monkeypatch.setattr(supervision, "_RESTART_PAUSE_S", 0.05)
    monkeypatch.setattr(asyncio, "sleep", pause)
    counters, left = Counters("t"), [UnforeseenError()] * 8

    async def loop() -> None:
        if left:
            raise left.pop()

    async def play() -> None:
        supervisor = Supervisor(counters)
        async with asyncio.TaskGroup() as tasks:
            supervisor.attach(tasks)
            supervisor.keep_running("loop", loop)
        supervisor.cancel_all()
        supervisor.spawn("late", loop)  # the group is over: nothing starts

    asyncio.run(play())
    assert pauses == [0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0] and counters["loop_restarts"] == 8
