"""Every loop of the process continues after an exception: one is injected into each, in the real sidecar."""

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
    ADMIN_HOST,
    SETTINGS,
    TIMEOUT_S,
    Peer,
    echo,
    entry,
    free_port,
    make_endpoint_list,
    read_response,
    request,
)

PUSHED = {**SETTINGS, "membership-mode": "pushed"}
HEALTH_CHECKED = {
    **SETTINGS,
    "telemetry": {**SETTINGS["telemetry"], "how": "probe"},
    "limits": {**SETTINGS["limits"], "probes": True},
}


class UnforeseenError(Exception):
    """An error that no code handles by its type."""


class Fault:
    """Makes the first calls of a method raise and passes on the others; counts the calls."""

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
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


class RunningSidecar:
    """The sidecar in this process, on its production event loop (uvloop), with one upstream and discovery."""

    def __init__(self, tmp: Path, settings: dict[str, Any] = SETTINGS) -> None:
        self.upstream, self.discovery = Peer(echo), peers.DiscoveryServer()
        self.path, self.mgmt = tmp / "config.json", free_port(ADMIN_HOST)
        self.data = {
            "name": "n0",
            "listen": "127.0.0.1:1",  # not used: the listener is passed to run()
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "mgmt": f"{ADMIN_HOST}:{self.mgmt}",
            "known": make_endpoint_list(entry("s-0", self.upstream.port)),
            "settings": settings,
        }
        self.path.write_text(json.dumps(self.data))
        environment = {"BALANCER_CONFIG": str(self.path), "TMPDIR": str(tmp)}
        os.environ["BALANCER_CONFIG"] = str(self.path)  # a reload reads the variable again
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.sidecar = sidecar.Sidecar(load_config(environment))
        self.counters: Counters = self.sidecar._counters

    def run_script(self, script: Callable[[], Awaitable[None]]) -> None:
        """Run ``script`` while the sidecar serves, then shut the sidecar down gracefully."""

        async def serve_and_run() -> None:
            served = asyncio.create_task(self.sidecar.run(self.listener))
            await until(lambda: self.sidecar.accepting or served.done())
            await script()
            os.kill(os.getpid(), signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT_S):
                await served

        try:
            uvloop.run(serve_and_run())
        finally:
            self.listener.close()
            for peer in (self.upstream, self.discovery):
                peer.close()

    async def check_serves(self) -> None:
        assert await asyncio.to_thread(self.ask, request("view")) == 200

    def ask(self, raw: bytes) -> int:
        with socket.create_connection(self.listener.getsockname(), timeout=TIMEOUT_S) as conn:
            conn.sendall(raw)
            return read_response(conn.makefile("rb"))[0]


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    """Shorten the pauses, and restore the environment after the test."""
    monkeypatch.setattr(supervision, "_RESTART_PAUSE_S", 0.001)
    monkeypatch.setattr(housekeeping, "_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(sidecar, "_ACCEPT_AFTER_SIGTERM_S", 0.0)
    monkeypatch.setenv("BALANCER_CONFIG", "")


LOOPS: dict[str, tuple[object, str, dict[str, Any]]] = {
    "housekeeping": (ClientRegistry, "__iter__", SETTINGS),
    "idle connections": (UpstreamClient, "close_expired", SETTINGS),
    "descriptor audit": (DescriptorLeakDetector, "run_audit", SETTINGS),
    "state writer": (StatePersistence, "persist", SETTINGS),
    "state file": (StateFiles, "write", SETTINGS),
    "watch": (DiscoveryClient, "_keep_watching", SETTINGS),
    "watch call": (DiscoveryClient, "_call", SETTINGS),
    "report of a failed watch": (RequestCoordinator, "endpoint_watch_failed", SETTINGS),
    "watch of pushed lists": (DiscoveryClient, "_keep_watching", PUSHED),
    "watch call for pushed lists": (DiscoveryClient, "_call", PUSHED),
    "admin server": (AdminServer, "listen", SETTINGS),
    "lag sample": (RequestCoordinator, "sample_lag", SETTINGS),
    "health check": (UpstreamClient, "check_health", HEALTH_CHECKED),
}


@pytest.mark.parametrize("name", LOOPS)
def test_loop_continues_after_an_exception(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    """Guards against an exception in housekeeping or the state writer that ends its task for good."""
    owner, method, settings = LOOPS[name]
    if name == "report of a failed watch":  # only a watch that ends is reported
        Fault(monkeypatch, DiscoveryClient, "_keep_watching", 3)
    running = RunningSidecar(tmp_path, settings)
    fault = Fault(monkeypatch, owner, method, 2)

    async def script() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while fault.calls < 3:
                await running.check_serves()  # the rate of health checks follows that of requests
        await running.check_serves()

    running.run_script(script)
    assert running.counters["task_faults"] >= 1


@pytest.mark.parametrize("method", ["tick", "next_deadline"])
def test_timer_continues_after_an_exception(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """The upstream does not respond: only the timer answers the request, after the exceptions."""
    running = RunningSidecar(tmp_path)
    running.upstream.script = lambda message: b""
    fault = Fault(monkeypatch, RequestCoordinator, method, 0)

    async def script() -> None:
        answer = asyncio.create_task(asyncio.to_thread(running.ask, request("pay", b"1", wait_ms=300)))
        await until(lambda: len(running.upstream.received) == 1)
        fault.times = fault.calls + 3
        assert await answer == 500

    running.run_script(script)
    assert fault.calls > fault.times and running.counters["loop_restarts"] >= 1


def test_client_connection_whose_check_raises_does_not_prevent_the_check_of_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    running = RunningSidecar(tmp_path)
    checks: dict[int, int] = {}
    check_timeouts = ClientConnection.check_timeouts

    def faulty(connection: ClientConnection, now: float) -> None:
        checks[connection.fd] = checks.get(connection.fd, 0) + 1
        if connection.fd == min(checks):
            raise UnforeseenError
        check_timeouts(connection, now)

    monkeypatch.setattr(ClientConnection, "check_timeouts", faulty)

    async def script() -> None:
        address = running.listener.getsockname()
        conns = [socket.create_connection(address, timeout=TIMEOUT_S) for _ in range(3)]
        await until(lambda: len(checks) >= 3 and min(checks.values()) >= 3)
        for conn in conns:
            conn.close()

    running.run_script(script)


@pytest.mark.parametrize(
    ("owner", "method", "code"),
    [(UpstreamClient, "send_attempt", 500), (ClientConnection, "send_final_response", 0)],
)
def test_effect_that_raises_fails_only_its_own_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: object, method: str, code: int
) -> None:
    """An attempt that cannot be started counts as broken. The connection of a client that cannot be answered
    is closed, so that the client does not wait for ever."""
    running = RunningSidecar(tmp_path)
    Fault(monkeypatch, owner, method, 1)

    def ask() -> int:
        try:
            return running.ask(request("pay", b"1"))
        except ConnectionError:
            return 0

    async def script() -> None:
        assert await asyncio.to_thread(ask) == code
        await running.check_serves()

    running.run_script(script)
    assert running.counters["task_faults"] == 1


@pytest.mark.parametrize(
    ("owner", "method"),
    [(reload, "reload_config"), (RequestCoordinator, "apply_settings"), (UpstreamClient, "apply_timeouts")],
)
def test_reload_that_raises_changes_nothing_and_the_next_one_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: object, method: str
) -> None:
    """A reload is all or nothing: after a fault half-way, the changes already applied are rolled back."""
    running = RunningSidecar(tmp_path)
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
        await running.check_serves()
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: running.counters["reloads"] == 1)
        assert {cls.deadline for cls in running.sidecar.settings.classes} == {2.0}

    running.run_script(script)


@pytest.mark.parametrize(("owner", "method"), [(Counters, "dump"), (DescriptorLeakDetector, "run_audit")])
def test_counters_that_cannot_be_printed_affect_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: object, method: str
) -> None:
    running = RunningSidecar(tmp_path)
    fault = Fault(monkeypatch, owner, method, 0)

    async def script() -> None:
        fault.times = fault.calls + 1
        os.kill(os.getpid(), signal.SIGUSR1)
        await until(lambda: running.counters["task_faults"] >= 1)
        await running.check_serves()

    running.run_script(script)


def test_restart_pauses_grow_up_to_a_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """They stop when the loop returns, or with the process."""
    pauses: list[float] = []

    async def pause(seconds: float) -> None:
        pauses.append(seconds)

    monkeypatch.setattr(supervision, "_RESTART_PAUSE_S", 0.05)
    monkeypatch.setattr(asyncio, "sleep", pause)
    counters, errors = Counters("t"), [UnforeseenError()] * 8

    async def loop() -> None:
        if errors:
            raise errors.pop()

    async def run_loop() -> None:
        supervisor = Supervisor(counters)
        async with asyncio.TaskGroup() as tasks:
            supervisor.attach(tasks)
            supervisor.keep_running("loop", loop)
        supervisor.cancel_all()
        supervisor.spawn("late", loop)  # the task group has ended: nothing is started

    asyncio.run(run_loop())
    assert pauses == [0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0] and counters["loop_restarts"] == 8
