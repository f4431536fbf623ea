"""The platform: starts and ends processes, and keeps the record of a case."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins.client import Application, Request
from review.standins.discovery import Discovery

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
_VERDICTS = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no result"}
_ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_MAX_RUN_S = 110.0
_READY_WITHIN_S = 30.0


class CaseError(Exception):
    """The case could not be run."""


class Platform:
    """One small deployment: a sidecar, its application, port servers and discovery."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.seed = int(os.environ.get("SEED", "0")) or random.SystemRandom().randrange(1, 1 << 30)
        self.random = random.Random(self.seed)
        self.folder = folder
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.servers: dict[str, subprocess.Popen[str]] = {}
        self.sidecar: subprocess.Popen[bytes] | None = None
        self.application: Application
        self.started_at = time.monotonic()
        self._lines: list[str] = []
        self._discovery: Discovery | None = None
        self._address = ("", 0)
        self._config: dict[str, Any] = {}
        self._log: Any = None

    # --- processes ------------------------------------------------------------------------------------

    def start_port_servers(self, count: int, *options: str) -> list[dict[str, Any]]:
        """Start port servers in pods of five; return their entries in the list."""
        entries = []
        for number in range(count):
            name = f"s-{number}"
            log = self.temporary / f"{name}.log"
            command = [sys.executable, "-B", "-m", "review.standins.port_server", "--name", name]
            command += ["--log", str(log), "--seed", str(self.seed + number), *options]
            server = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
            self.servers[name] = server
            assert server.stdout is not None
            port = server.stdout.readline().strip()
            if not port:
                raise CaseError(f"port server {name} did not start")
            entries.append(
                {
                    "name": name,
                    "address": f"127.0.0.1:{port}",
                    "zone": "dc",
                    "type": "m",
                    "group": number // 5,
                    "status": "Ready",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            )
        return entries

    async def start_sidecar(self, endpoints: list[dict[str, Any]], settings: dict[str, Any]) -> None:
        """Start discovery and the sidecar; return once the sidecar is healthy."""
        self._discovery = Discovery(endpoints)
        self._discovery.start()
        self._address = ("127.0.0.1", _free_port())
        self._log = (self.temporary / "sidecar.log").open("wb")
        self._config = {
            "name": "n0",
            "listen": f"{self._address[0]}:{self._address[1]}",
            "discovery": self._discovery.address,
            "seed": "",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._discovery.whole(),
            "settings": settings,
        }
        await self.restart_sidecar()

    async def restart_sidecar(self) -> None:
        """Start the sidecar by the deploy file's ``run``, from nothing; return once it is healthy."""
        config = self._config
        config["seed"] = f"{self.random.randrange(1 << 63):016x}"
        path = self.temporary / "config.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "BALANCER_NAME": config["name"],
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": config["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": tempfile.mkdtemp(dir=self.temporary),
        }
        self.sidecar = self._start_program(run, environment)
        self.application = Application(self._address)
        until = time.monotonic() + _READY_WITHIN_S
        while not await self.application.is_healthy():
            if time.monotonic() > until or self.sidecar.poll() is not None:
                raise CaseError("the sidecar is not ready")
            await asyncio.sleep(0.05)

    def _start_program(self, command: str, environment: dict[str, str]) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    def close(self) -> None:
        """End all processes, and remove the temporary folder."""
        processes = [*self.servers.values(), *([self.sidecar] if self.sidecar else [])]
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
        for process in processes:
            process.wait()
        if self._discovery is not None:
            self._discovery.stop()
        if self._log is not None:
            self._log.close()
        shutil.rmtree(self.temporary, ignore_errors=True)

    # --- the record -----------------------------------------------------------------------------------

    def record(self, text: str, at: float | None = None) -> None:
        """Add a line to the record."""
        now = time.monotonic() if at is None else at
        self._lines.append(f"{now - self.started_at:9.3f} {text}")

    def server_events(self) -> list[dict[str, Any]]:
        """Return what the port servers have logged, in order."""
        events = []
        for name in self.servers:
            for line in (self.temporary / f"{name}.log").read_text().splitlines():
                with contextlib.suppress(json.JSONDecodeError):  # a line cut off by the end of the process
                    events.append(json.loads(line))
        return sorted(events, key=lambda event: event["t"])

    def record_all(self, requests: list[Request]) -> None:
        """Record what was sent, run and answered."""
        for event in self.server_events():
            more = {key: value for key, value in event.items() if key not in ("t", "event", "server")}
            details = " ".join(f"{key}={value}" for key, value in more.items())
            self.record(f"{event['server']} {event['event']}: {details}", event["t"])
        for request in requests:
            if request.sent_at:
                text = f"client sent {request.class_name} {request.id} timeout_ms={request.timeout_ms}"
                self.record(f"{text} body_bytes={len(request.body)}", request.sent_at)
            if request.answer is not None:
                body = request.answer.body[:60].decode("latin-1").split("\n")[0]
                text = f"client got {request.answer.status} for {request.id}"
                self.record(f"{text} bytes={request.answer.body_bytes} body={body!r}", request.answered_at)
            elif request.fault:
                self.record(f"client has no answer to {request.id}: {request.fault}", request.sent_at or None)

    @staticmethod
    def require_service(requests: list[Request]) -> None:
        """Raise CaseError if nothing was served: a rule that nothing could break has not held."""
        if not any(request.outcome() == "served" for request in requests):
            raise CaseError("no request was served")

    def write_record(self) -> None:
        """Write the record, in order of time."""
        lines = sorted(self._lines, key=lambda line: float(line.split()[0]))
        if (log := self.temporary / "sidecar.log").exists():
            lines += [f"          sidecar: {line}" for line in log.read_text(errors="replace").splitlines()]
        (self.folder / "record.txt").write_text("\n".join(lines) + "\n")

    # --- load -----------------------------------------------------------------------------------------

    async def offer_load(self, rate: float, seconds: float, make: Callable[[int], Request]) -> list[Request]:
        """Send requests at random times, whether or not earlier ones are answered; return them all."""
        requests: list[Request] = []
        tasks = []
        end = time.monotonic() + seconds
        at = time.monotonic()
        while (at := at + self.random.expovariate(rate)) < end:
            await asyncio.sleep(max(at - time.monotonic(), 0.0))
            request = make(len(requests))
            requests.append(request)
            tasks.append(asyncio.create_task(self.application.send(request)))
        await asyncio.gather(*tasks)
        self.application.close()
        return requests

    def request_id(self) -> str:
        """Return a new request id."""
        return f"{self.random.randrange(1 << 64):016x}"


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


def _run(platform: Platform, case: Callable[[Platform], Awaitable[bool]]) -> int:
    """Run a case, write its record, end its processes, and return its status."""
    result = NOT_RUN
    try:
        platform.record(f"seed {platform.seed}, trouble {'on' if platform.trouble else 'off'}")
        held = asyncio.run(asyncio.wait_for(case(platform), _MAX_RUN_S))
        result = HELD if held else BROKEN
    except Exception as error:  # noqa: BLE001 - a fault of the case must not pass for a broken rule
        platform.record(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        for number in _ENDING_SIGNALS:  # a second one must not keep the processes from being ended
            signal.signal(number, signal.SIG_IGN)
        try:
            platform.record(_VERDICTS[result])
            platform.write_record()
        finally:
            platform.close()
    return result


def main(folder: Path, case: Callable[[Platform], Awaitable[bool]]) -> None:
    """Run a case, which returns whether the rule held, and exit with its status."""
    for number in _ENDING_SIGNALS:
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    result = NOT_RUN
    try:
        result = _run(Platform(folder), case)
    except Exception:  # noqa: BLE001 - nor may a record that cannot be written
        traceback.print_exc()
    sys.stdout.write(f"{_VERDICTS[result]}\n")
    sys.exit(result)
