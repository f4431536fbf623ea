"""A sidecar process of one checkout, started like the ``run`` command of ``deploy/balancer.toml``."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.comparison.discovery import EndpointList
from benchmarks.comparison.messages import PEER_TIMEOUT_S, Message, read_message

POLL_INTERVAL_S = 0.005
INHERITED_DESCRIPTOR = 7  # descriptor of the listening socket that the platform passes to the process
SEED = "8c1f30d27a5be964"

# The addresses are derived from this process's id, so that no other process takes a port found free there.
_HIGH_OCTET, _LOW_OCTET = os.getpid() >> 8 & 255, os.getpid() & 255 or 1
ADMIN_HOST = f"127.11.{_HIGH_OCTET}.{_LOW_OCTET}"
CLIENT_HOST = f"127.12.{_HIGH_OCTET}.{_LOW_OCTET}"

HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"

BASIC_SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "pay", "objective-s": 0.6, "deadline-s": 1.2, "effect": "unsafe", "importance": 2.0},
        {"name": "view", "objective-s": 0.6, "deadline-s": 1.2, "effect": "safe"},
        {
            "name": "order",
            "objective-s": 0.6,
            "deadline-s": 2.5,
            "effect": "keyed",
            "group": "cell",
            "repeat-window-s": 1.5,
        },
    ],
    "balancers": 1,
    "zone": "z",
    "membership-mode": "on_request",
    "telemetry": {"how": "answers", "columns": ["busy", "rate"]},
    "limits": {
        "max-attempts": 5,
        "connect-timeout-s": 0.25,
        "keepalive-s": 30.0,
        "retry-after": True,
        "max-retry-after-s": 1.2,
    },
    "safety": {"cold-from": 0.35, "warm-within-s": 600.0, "drain-grace-s": 0.25, "tip-multiple": 1.0},
}


class ComparisonError(Exception):
    """Raised when a comparison cannot go on, for example because a wait timed out."""


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait for a condition; raise ComparisonError naming ``what`` after PEER_TIMEOUT_S."""
    end = time.monotonic() + PEER_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            raise ComparisonError(f"timed out waiting for {what}")
        time.sleep(POLL_INTERVAL_S)


def free_port(host: str) -> int:
    """Return a free port of a local address."""
    with socket.create_server((host, 0)) as server:
        return int(server.getsockname()[1])


@dataclass(frozen=True)
class Options:
    """The configuration and the environment with which a process is started."""

    discovery: str  # address of discovery
    known: EndpointList
    settings: dict[str, Any] = field(default_factory=lambda: BASIC_SETTINGS)
    admin_enabled: bool = False
    state_folder: Path | None = None
    listener: socket.socket | None = None  # inherited listening socket, in place of one of its own
    raw_configuration: bytes | None = None  # content of the configuration file, in place of the generated one


class Program:
    """A sidecar process of one checkout."""

    def __init__(self, checkout: Path, folder: Path, options: Options) -> None:
        """Start the process; its configuration file and standard error are written to ``folder``."""
        self._options = options
        self.client_address = (CLIENT_HOST, free_port(CLIENT_HOST))
        if options.listener is not None:
            self.client_address = options.listener.getsockname()
        self.admin_address = (ADMIN_HOST, free_port(ADMIN_HOST))
        self.configuration_file = folder / f"configuration-{self.client_address[1]}.json"
        self.configure(options.settings)
        if options.raw_configuration is not None:
            self.configuration_file.write_bytes(options.raw_configuration)
        self._log_file = folder / f"log-{self.admin_address[1]}"
        with self._log_file.open("wb") as log:
            self.process = self._start(checkout, log.fileno())

    def configure(self, settings: dict[str, Any], discovery: str = "") -> None:
        """Write the configuration file with these settings and, if given, another discovery address."""
        options = self._options
        host, port = self.client_address
        data = {
            "name": "n0",
            "listen": f"{host}:{port}",
            "discovery": discovery or options.discovery,
            "seed": SEED,
            "limits": {"sockets": 256},
            "known": options.known.encoded(),
            "settings": settings,
        }
        self.configuration_file.write_text(json.dumps(data))

    def _environment(self) -> dict[str, str]:
        environment = {"PATH": os.environ["PATH"], "BALANCER_CONFIG": str(self.configuration_file)}
        if self._options.admin_enabled:
            host, port = self.admin_address
            environment["BALANCER_MGMT"] = f"{host}:{port}"
        if self._options.state_folder is not None:
            environment["TMPDIR"] = str(self._options.state_folder)
        if self._options.listener is not None:
            environment["BALANCER_LISTEN_FD"] = str(INHERITED_DESCRIPTOR)
        return environment

    def _start(self, checkout: Path, log: int) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-B", "-m", "indigokeel"]
        listener = self._options.listener
        if listener is not None:
            redirect = f'exec "$0" "$@" {INHERITED_DESCRIPTOR}<&{listener.fileno()}'
            command = ["/bin/bash", "-c", redirect, *command]
        return subprocess.Popen(
            command,
            cwd=checkout,
            env=self._environment(),
            stdout=subprocess.DEVNULL,
            stderr=log,
            pass_fds=[listener.fileno()] if listener is not None else [],
        )

    def wait_ready(self) -> None:
        """Wait until the process answers health checks, at its admin address if it has one."""
        wait_until(self._ready, "the start of the process")

    def _ready(self) -> bool:
        if self.process.poll() is not None:
            last_line = self._log_file.read_text().rstrip().rpartition("\n")[2]
            raise ComparisonError(
                f"the process exited with {self.process.returncode} while starting: {last_line}"
            )
        try:
            if self._options.admin_enabled:
                return self.call_admin("GET", "health").status == 200
            return self.exchange(HEALTH_CHECK).status in (200, 503)
        except OSError:
            return False

    def connect(self) -> socket.socket:
        """Open a client connection."""
        return socket.create_connection(self.client_address, timeout=PEER_TIMEOUT_S)

    def exchange(self, data: bytes) -> Message:
        """Send a request on a new connection, and return the response."""
        with self.connect() as connection, connection.makefile("rb") as file:
            connection.sendall(data)
            return _require_response(read_message(file))

    def call_admin(self, method: str, call: str, upstream: str = "") -> Message:
        """Send a request to the admin address, and return the response."""
        body = json.dumps({"who": upstream}) if upstream else ""
        head = f"{method} /admin/{call} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
        with socket.create_connection(self.admin_address, timeout=PEER_TIMEOUT_S) as connection:
            connection.sendall((head + body).encode())
            return _require_response(read_message(connection.makefile("rb")))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def wait(self) -> int:
        """Wait until the process exits, and return its exit code."""
        return self.process.wait(PEER_TIMEOUT_S)

    def kill(self) -> None:
        """Kill the process if it is still running, and wait until it has exited."""
        self.process.kill()
        self.process.wait()


def _require_response(message: Message | None) -> Message:
    if message is None:
        raise ConnectionError("closed without a response")
    return message
