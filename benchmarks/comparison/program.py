"""The program of one checkout as a process, started as ``run`` of ``deploy/balancer.toml`` starts it."""

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
INHERITED_DESCRIPTOR = 7  # of the listening socket that the platform hands on
SEED = "8c1f30d27a5be964"

# Addresses that are this process's own: a port that is free there when asked for stays so.
_HIGH, _LOW = os.getpid() >> 8 & 255, os.getpid() & 255 or 1
OPERATOR_HOST = f"127.11.{_HIGH}.{_LOW}"
CLIENT_HOST = f"127.12.{_HIGH}.{_LOW}"

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
    """What was waited for did not come about."""


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait for a condition; raise ComparisonError naming ``what`` where it does not come about."""
    end = time.monotonic() + PEER_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            raise ComparisonError(f"waited in vain: {what}")
        time.sleep(POLL_INTERVAL_S)


def free_port(host: str) -> int:
    """Return a port that is free at a host."""
    with socket.create_server((host, 0)) as server:
        return int(server.getsockname()[1])


@dataclass(frozen=True)
class Options:
    """How a process is started."""

    discovery: str  # address
    known: EndpointList
    settings: dict[str, Any] = field(default_factory=lambda: BASIC_SETTINGS)
    operators: bool = False
    state_folder: Path | None = None
    listener: socket.socket | None = None  # inherited, in place of an address of its own
    broken_configuration: bytes | None = None  # in place of the file that the rest makes


class Program:
    """One process of one checkout."""

    def __init__(self, checkout: Path, folder: Path, options: Options) -> None:
        """``folder`` takes the configuration file and what is written on standard error."""
        self._options = options
        self.client_address = (CLIENT_HOST, free_port(CLIENT_HOST))
        if options.listener is not None:
            self.client_address = options.listener.getsockname()
        self.operator_address = (OPERATOR_HOST, free_port(OPERATOR_HOST))
        self.configuration_file = folder / f"configuration-{self.client_address[1]}.json"
        self.configure(options.settings)
        if options.broken_configuration is not None:
            self.configuration_file.write_bytes(options.broken_configuration)
        self._log_file = folder / f"log-{self.operator_address[1]}"
        with self._log_file.open("wb") as log:
            self.process = self._start(checkout, log.fileno())

    def configure(self, settings: dict[str, Any], discovery: str = "") -> None:
        """Write the configuration file with these settings."""
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
        if self._options.operators:
            host, port = self.operator_address
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
        """Wait until the process answers health checks, or operators' ones where it has their address."""
        wait_until(self._ready, "the program's start")

    def _ready(self) -> bool:
        if self.process.poll() is not None:
            last_line = self._log_file.read_text().rstrip().rpartition("\n")[2]
            raise ComparisonError(f"ended with {self.process.returncode} at its start: {last_line}")
        try:
            if self._options.operators:
                return self.call_operator("GET", "health").status == 200
            return self.exchange(HEALTH_CHECK).status in (200, 503)
        except OSError:
            return False

    def connect(self) -> socket.socket:
        """Open a client connection."""
        return socket.create_connection(self.client_address, timeout=PEER_TIMEOUT_S)

    def exchange(self, data: bytes) -> Message:
        """Write one request on a connection of its own, and return its response."""
        with self.connect() as connection, connection.makefile("rb") as file:
            connection.sendall(data)
            return _required(read_message(file))

    def call_operator(self, method: str, call: str, upstream: str = "") -> Message:
        """Make an operator's call, and return its response."""
        body = json.dumps({"who": upstream}) if upstream else ""
        head = f"{method} /admin/{call} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
        with socket.create_connection(self.operator_address, timeout=PEER_TIMEOUT_S) as connection:
            connection.sendall((head + body).encode())
            return _required(read_message(connection.makefile("rb")))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def wait(self) -> int:
        """Wait for the end, and return the exit code."""
        return self.process.wait(PEER_TIMEOUT_S)

    def kill(self) -> None:
        """End the process where it has not ended."""
        self.process.kill()
        self.process.wait()


def _required(message: Message | None) -> Message:
    if message is None:
        raise ConnectionError("closed without a response")
    return message
