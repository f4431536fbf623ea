"""The processes of one run, and calls to their admin addresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests import faulty_program
from tests.peers import ADMIN_HOST, CLIENT_HOST, SETTINGS, admin_call, free_port, make_configuration, rss_kb
from tests.soak.history import History, ProcessEnd, ProcessStart
from tests.soak.schedule import Schedule

SOCKETS = 256
KILL_AFTER_TERM_S = 2.5 + 0.7  # the longest deadline of the settings, plus the documented margin
SAFETY = {**SETTINGS["safety"], "warm-within-s": 2.0}  # short, because upstreams come back into service often
KEEPALIVE_S = 3.0  # idle upstream connections close after half of it, before idle use is measured
POLL_S = 0.02


@dataclass
class Process:
    """One process of the program."""

    name: str
    popen: subprocess.Popen[bytes]
    admin_port: int
    log: Path
    start: ProcessStart
    descriptors: int = 0
    resident_kb: int = 0
    is_ending: bool = False  # set once it was sent SIGTERM

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.popen.poll() is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(signal_number)

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        values = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")

    def descriptor_count(self) -> int:
        """Return the number of descriptors that the process holds."""
        return len(os.listdir(f"/proc/{self.popen.pid}/fd"))


class ProcessGroup:
    """The processes that listen on one address, one after another or together."""

    def __init__(
        self,
        schedule: Schedule,
        folder: Path,
        history: History,
        discovery_port: int,
        known_list: Callable[[], Any],
    ) -> None:
        """``known_list`` returns the endpoint list in the configuration of each process that starts."""
        self.replacing = asyncio.Lock()  # held while processes are started or ended
        self._schedule = schedule
        self._folder = folder
        self._history = history
        self._discovery_port = discovery_port
        self._known_list = known_list
        self._processes: list[Process] = []  # in start order
        self._listener: socket.socket | None = None
        if schedule.shares_listener:
            self._listener = socket.create_server((CLIENT_HOST, 0), backlog=512)
            self.address = self._listener.getsockname()
        else:
            self.address = (CLIENT_HOST, free_port(CLIENT_HOST))

    def kill_all(self) -> None:
        """Kill all processes that still run, and close the shared listener."""
        for process in self._processes:
            process.popen.kill()
            process.popen.wait()
        if self._listener is not None:
            self._listener.close()

    def live(self) -> list[Process]:
        """Return the running processes that were not sent SIGTERM."""
        return [each for each in self._processes if each.is_running() and not each.is_ending]

    def start(self) -> Process:
        """Start a process."""
        name = f"p{len(self._processes)}"
        admin_port = free_port(ADMIN_HOST)
        config = self._folder / f"{name}.json"
        config.write_text(json.dumps(self._config()))
        faults = self._schedule.process_faults[len(self._processes) % len(self._schedule.process_faults)]
        env = {"BALANCER_MGMT": f"{ADMIN_HOST}:{admin_port}", "TMPDIR": str(self._folder), **faults}
        log = self._folder / f"{name}.log"
        start = ProcessStart(name, time.monotonic())
        with log.open("wb") as file:
            popen = faulty_program.start(config, file, self._listener, **env)
        process = Process(name, popen, admin_port, log, start)
        self._history.starts.append(start)
        self._processes.append(process)
        return process

    def _config(self) -> dict[str, Any]:
        limits = {
            **SETTINGS["limits"],
            "second-copies": self._schedule.hedges,
            "keepalive-s": KEEPALIVE_S,
        }
        settings = {**SETTINGS, "limits": limits, "safety": SAFETY}
        return make_configuration(self.address, self._discovery_port, SOCKETS, self._known_list(), settings)

    async def start_ready(self) -> Process:
        """Start a process and wait until it serves or has ended."""
        process = self.start()
        while process.is_running() and await self.call_admin(process, "GET", "health") != 200:
            await asyncio.sleep(POLL_S)
        if process.is_running():
            process.start.ready_at = time.monotonic()
            process.descriptors = process.descriptor_count()
            process.resident_kb = rss_kb(process.popen.pid)
        return process

    async def terminate(self, process: Process, pauses_s: tuple[float, ...]) -> None:
        """Send SIGTERM, then further signals, and wait until the process ends or has to be killed."""
        term_at = time.monotonic()
        process.is_ending = True
        process.send(signal.SIGTERM)
        for index, pause_s in enumerate(pauses_s):
            await asyncio.sleep(pause_s)
            process.send((signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1)[index % 3])
        kill_due_at = term_at + KILL_AFTER_TERM_S
        while process.is_running() and time.monotonic() < kill_due_at:
            await asyncio.sleep(POLL_S / 4.0)
        ended_at = time.monotonic()
        if process.is_running():
            process.popen.kill()
            ended_at = time.monotonic() + KILL_AFTER_TERM_S
        code = process.popen.wait()
        self._history.ends.append(ProcessEnd(process.name, term_at, ended_at, code, kill_due_at))

    async def call_admin(self, process: Process, method: str, what: str, who: str = "") -> int:
        """Call the admin address; return the status of the answer, or 0 if there is none."""
        try:
            reader, writer = await asyncio.open_connection(ADMIN_HOST, process.admin_port)
            writer.write(admin_call(method, what, who))
            line = await reader.readline()
            writer.close()
            return int(line.split(b" ")[1])
        except (OSError, IndexError, ValueError):
            return 0
