"""One run: starts processes of the program and their peers, and carries out a schedule."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import signal
import socket
import subprocess
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from tests import faulty_program
from tests.peers import CLIENTS, OPERATORS, SETTINGS, free_port, rss_kb
from tests.soak.history import History, Notice, ProcessEnd, ProcessStart, Quiet
from tests.soak.peers import Client, Discovery, Upstream
from tests.soak.schedule import UPSTREAMS, Act, Schedule, Step

SOCKETS = 256
KILL_AFTER_TERM_S = 2.5 + 0.7  # the longest deadline of the settings, and what the pages add
CROWD = 260
CROWD_S = 1.0
NOTIFIED_S = 6.0  # after a change that discovery could not tell at once
CORDON_SPREAD_S = 0.3  # until the processes of one sidecar have merged a cordon
QUIET_S = 2.0
SAFETY = {**SETTINGS["safety"], "warm-within-s": 2.0}  # upstreams come back often
WATCH_STALL_S = 0.01
RECORDED_STALL_S = 0.03
POLL_S = 0.02
LAST_ANSWERS_S = 6.0


@dataclass
class Process:
    """One process of the program."""

    name: str
    popen: subprocess.Popen[bytes]
    mgmt: int
    log: Path
    start: ProcessStart
    descriptors: int = 0
    resident_kb: int = 0
    ends: list[asyncio.Task[None]] = field(default_factory=list)

    def is_running(self) -> bool:
        return self.popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(number)

    def cpu_s(self) -> float:
        values = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")

    def descriptor_count(self) -> int:
        return len(os.listdir(f"/proc/{self.popen.pid}/fd"))


class StallWatch(threading.Thread):
    """Notes when this interpreter stands still: starting a process holds up all of its threads."""

    def __init__(self, history: History) -> None:
        super().__init__(daemon=True)
        self._history = history
        self.stopping = False

    def run(self) -> None:
        last = time.monotonic()
        while not self.stopping:
            time.sleep(WATCH_STALL_S)
            now = time.monotonic()
            if now - last > RECORDED_STALL_S:
                self._history.stalls.append((last, now))
            last = now


class Run:
    """The state of one run."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.history = History()
        self._schedule = schedule
        self._folder = folder
        self._random = Random(schedule.seed + 1)
        self._upstreams = [
            Upstream(f"s-{n}", n // 2, self.history, Random(schedule.seed * 100 + n))
            for n in range(UPSTREAMS)
        ]
        self._discovery = Discovery(self._upstreams)
        self._processes: list[Process] = []  # in the order of their start
        self._tasks: set[asyncio.Task[None]] = set()
        self._out: set[int] = set()  # upstreams that drain or are cordoned, and those with a fault
        self._replacing = asyncio.Lock()
        self._listener: socket.socket | None = None
        self._address = (CLIENTS, 0)

    async def play(self) -> History:
        """Carry out the schedule, and return what was seen."""
        watch = StallWatch(self.history)
        watch.start()
        for upstream in self._upstreams:
            await upstream.listen()
        await self._discovery.listen()
        self._listen()
        await self._start_ready()
        clients = [
            Client(self._address, self.history, Random(self._schedule.seed * 1000 + n))
            for n in range(self._schedule.clients)
        ]
        running = [asyncio.create_task(client.run()) for client in clients]
        await self._carry_out()
        for client in clients:
            client.stopping = True
        await asyncio.wait(running, timeout=LAST_ANSWERS_S * 3)
        await asyncio.gather(*self._tasks)
        await self._look_at_quiet()
        for process in self._live():
            await self._terminate(process, ())
        watch.stopping = True
        # What the peers still wait for is cancelled with the loop, which would be reported for each.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return self.history

    def kill_all(self) -> None:
        """End what is left."""
        for process in self._processes:
            process.popen.kill()
            process.popen.wait()

    # --- processes ------------------------------------------------------------------------------------

    def _listen(self) -> None:
        if self._schedule.shares_listener:
            self._listener = socket.create_server((CLIENTS, 0), backlog=512)
            self._address = self._listener.getsockname()
        else:
            self._address = (CLIENTS, free_port(CLIENTS))

    def _live(self) -> list[Process]:
        return [each for each in self._processes if each.is_running() and not each.ends]

    def _start(self) -> Process:
        name = f"p{len(self._processes)}"
        mgmt = free_port(OPERATORS)
        config = self._folder / f"{name}.json"
        config.write_text(json.dumps(self._config()))
        faults = self._schedule.process_faults[len(self._processes) % len(self._schedule.process_faults)]
        env = {"BALANCER_MGMT": f"{OPERATORS}:{mgmt}", "TMPDIR": str(self._folder), **faults}
        log = self._folder / f"{name}.log"
        start = ProcessStart(name, time.monotonic())
        with log.open("wb") as file:
            popen = faulty_program.start(config, file, self._listener, **env)
        process = Process(name, popen, mgmt, log, start)
        self.history.starts.append(start)
        self._processes.append(process)
        return process

    def _config(self) -> dict[str, Any]:
        limits = {**SETTINGS["limits"], "second-copies": self._schedule.hedges}
        return {
            "name": "n0",
            "listen": f"{self._address[0]}:{self._address[1]}",
            "discovery": f"127.0.0.1:{self._discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": SOCKETS},
            "known": self._discovery.whole_list(),
            "settings": {**SETTINGS, "limits": limits, "safety": SAFETY},
        }

    async def _start_ready(self) -> Process:
        process = self._start()
        while process.is_running() and await self._admin(process, "GET", "health") != 200:
            await asyncio.sleep(POLL_S)
        process.start.ready_at = time.monotonic()
        if process.is_running():
            process.descriptors = process.descriptor_count()
            process.resident_kb = rss_kb(process.popen.pid)
        return process

    async def _terminate(self, process: Process, pauses_s: tuple[float, ...]) -> None:
        """Send SIGTERM once and again, with other signals between, and wait for the end or the kill."""
        term_at = time.monotonic()
        process.ends.append(asyncio.current_task())  # type: ignore[arg-type]
        process.send(signal.SIGTERM)
        for number, pause_s in enumerate(pauses_s):
            await asyncio.sleep(pause_s)
            process.send((signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1)[number % 3])
        kill_at = term_at + KILL_AFTER_TERM_S
        while process.is_running() and time.monotonic() < kill_at:
            await asyncio.sleep(POLL_S / 4.0)
        ended_at = time.monotonic()
        if process.is_running():
            process.popen.kill()
            ended_at = time.monotonic() + KILL_AFTER_TERM_S
        code = process.popen.wait()
        self.history.ends.append(ProcessEnd(process.name, term_at, ended_at, code, kill_at))

    async def _admin(self, process: Process, method: str, what: str, who: str = "") -> int:
        """Make an operator's call; return its status, or 0 without an answer."""
        body = json.dumps({"who": who}) if who else ""
        head = f"{method} /admin/{what} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            reader, writer = await asyncio.open_connection(OPERATORS, process.mgmt)
            writer.write((head + body).encode())
            line = await reader.readline()
            writer.close()
            return int(line.split(b" ")[1])
        except (OSError, IndexError, ValueError):
            return 0

    # --- acts -----------------------------------------------------------------------------------------

    async def _carry_out(self) -> None:
        began = time.monotonic()
        acts = {
            Act.REPLACE: self._replace,
            Act.CRASH: self._crash,
            Act.TERMINATE_STARTING: self._terminate_starting,
            Act.KILL_STARTING: self._kill_starting,
            Act.RELOAD: self._reload,
            Act.DRAIN: self._drain,
            Act.CORDON: self._cordon,
            Act.UPSTREAM_FAULT: self._upstream_fault,
            Act.DISCOVERY_FAULT: self._discovery_fault,
            Act.CROWD: self._crowd,
        }
        for step in self._schedule.steps:
            await asyncio.sleep(max(began + step.at_s - time.monotonic(), 0.0))
            task = asyncio.create_task(acts[step.act](step))
            self._tasks.add(task)
        await asyncio.sleep(max(began + self._schedule.seconds - time.monotonic(), 0.0))

    async def _replace(self, step: Step) -> None:
        if self._replacing.locked():
            return
        async with self._replacing:
            old = self._live()
            if self._schedule.shares_listener:
                await self._start_ready()
                for process in old:
                    await self._terminate(process, step.pauses_s)
            else:
                for process in old:
                    await self._terminate(process, step.pauses_s)
                await self._start_ready()

    async def _crash(self, step: Step) -> None:
        if self._replacing.locked():
            return
        async with self._replacing:
            killed_at = time.monotonic()
            self.history.crashes.append(killed_at)
            for process in self._live():
                process.popen.kill()
                process.popen.wait()
            self.history.crashes.append(time.monotonic())
            await self._start_ready()
            self.history.outages.append((killed_at, time.monotonic()))

    async def _terminate_starting(self, step: Step) -> None:
        await self._disturb_start(step, signal.SIGTERM)

    async def _kill_starting(self, step: Step) -> None:
        await self._disturb_start(step, signal.SIGKILL)

    async def _disturb_start(self, step: Step, number: signal.Signals) -> None:
        """Start a further process beside the running one, and end it while it starts."""
        if self._replacing.locked() or not self._schedule.shares_listener:
            return
        async with self._replacing:
            process = self._start()
            process.start.ready_at = process.start.started_at  # nothing is asked of it
            await asyncio.sleep(step.pauses_s[0])
            if number is signal.SIGKILL:
                self.history.crashes.append(time.monotonic())
                process.popen.kill()
                process.popen.wait()
                self.history.crashes.append(time.monotonic())
                return
            term_at = time.monotonic()
            process.send(number)
            while process.is_running() and time.monotonic() < term_at + KILL_AFTER_TERM_S:
                await asyncio.sleep(POLL_S)
            process.popen.kill()
            process.popen.wait()
            self.history.crashes.append(time.monotonic())  # it may have been ended before its handlers

    async def _reload(self, step: Step) -> None:
        ready = [process for process in self._live() if process.start.ready_at < math.inf]
        for process in ready:
            for pause_s in step.pauses_s:
                process.send(signal.SIGHUP)
                await asyncio.sleep(pause_s)
                process.send(signal.SIGUSR1)

    def _take(self, step: Step) -> Upstream | None:
        """Reserve an upstream for an act, unless it or half of all are in use for another."""
        if step.upstream in self._out or len(self._out) >= UPSTREAMS // 2:
            return None
        self._out.add(step.upstream)
        return self._upstreams[step.upstream]

    async def _drain(self, step: Step) -> None:
        upstream = self._take(step)
        if upstream is None:
            return
        upstream.state = "Terminating"
        told = self._tells_at_once()
        self._discovery.publish(upstream)
        notice = Notice(upstream.name, time.monotonic() + (0.0 if told else NOTIFIED_S))
        self.history.notices.append(notice)
        await asyncio.sleep(step.length_s + (0.0 if told else NOTIFIED_S))
        if self._discovery.fault is not None or self._discovery.fault_ended_at > notice.at - NOTIFIED_S:
            notice.at = max(notice.at, self._discovery.fault_ended_at + NOTIFIED_S)
        notice.until = time.monotonic()
        upstream.state, upstream.since_ms = "Ready", int(time.time() * 1000)
        self._discovery.publish(upstream)
        self._out.discard(step.upstream)

    def _tells_at_once(self) -> bool:
        """Return whether each live process has a watch that tells changes."""
        return (
            self._discovery.fault is None
            and time.monotonic() > self._discovery.fault_ended_at + NOTIFIED_S
            and not self._replacing.locked()
            and self._discovery.watches() >= len(self._live())
        )

    async def _cordon(self, step: Step) -> None:
        upstream = self._take(step)
        if upstream is None:
            return
        async with self._replacing:  # an operator calls at the processes of one moment
            codes = [await self._admin(p, "PUT", "cordon", upstream.name) for p in self._live()]
        if codes and all(code == 200 for code in codes):
            notice = Notice(upstream.name, time.monotonic() + CORDON_SPREAD_S)
            self.history.notices.append(notice)
            await asyncio.sleep(step.length_s)
            notice.until = time.monotonic()
        await self._uncordon(upstream)
        self._out.discard(step.upstream)

    async def _uncordon(self, upstream: Upstream) -> None:
        async with self._replacing:
            for process in self._live():
                await self._admin(process, "PUT", "uncordon", upstream.name)

    async def _upstream_fault(self, step: Step) -> None:
        upstream = self._take(step)
        if upstream is None:
            return
        upstream.fault = step.upstream_fault
        await asyncio.sleep(step.length_s)
        upstream.fault = None
        self._out.discard(step.upstream)

    async def _discovery_fault(self, step: Step) -> None:
        if self._discovery.fault is not None:
            return
        self._discovery.begin_fault(step.discovery_fault)
        await asyncio.sleep(step.length_s)
        self._discovery.end_fault()

    async def _crowd(self, step: Step) -> None:
        """Fill the descriptors with clients that send nothing."""
        began = time.monotonic()
        crowd = []
        for _ in range(CROWD):
            with contextlib.suppress(OSError):
                crowd.append(await asyncio.open_connection(*self._address))
        await asyncio.sleep(CROWD_S)
        for _, writer in crowd:
            writer.close()
        self.history.crowds.append((began, time.monotonic()))

    async def _look_at_quiet(self) -> None:
        """Note what the last process uses while nothing is sent."""
        await asyncio.sleep(QUIET_S)
        for process in self._live():
            before_s = process.cpu_s()
            await asyncio.sleep(QUIET_S)
            self.history.quiet.append(
                Quiet(
                    process.name,
                    QUIET_S,
                    process.cpu_s() - before_s,
                    process.descriptor_count(),
                    process.descriptors,
                    rss_kb(process.popen.pid),
                    process.resident_kb,
                )
            )
