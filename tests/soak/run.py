"""One run of the soak: applies a schedule to the processes of the program and to their peers."""

from __future__ import annotations

import asyncio
import contextlib
import math
import signal
import threading
import time
from pathlib import Path
from random import Random

from tests.peers import rss_kb
from tests.soak.history import History, IdleUsage, Removal
from tests.soak.peers import Client, Discovery, Upstream
from tests.soak.processes import KILL_AFTER_TERM_S, POLL_S, ProcessGroup
from tests.soak.schedule import UPSTREAMS, Operation, Schedule, Step

FLOOD_CONNECTIONS = 260
FLOOD_LENGTH_S = 1.0
NOTIFICATION_DELAY_S = 6.0  # how late a change may reach processes that discovery cannot notify at once
CORDON_SPREAD_S = 0.3  # how long the processes of one sidecar take to merge a cordon
IDLE_S = 2.0
STALL_POLL_S = 0.01
MIN_STALL_S = 0.03
LAST_ANSWERS_S = 6.0


class StallMonitor(threading.Thread):
    """Records stalls of this interpreter: starting a process holds up all of its threads."""

    def __init__(self, history: History) -> None:
        super().__init__(daemon=True)
        self._history = history
        self.stopping = False

    def run(self) -> None:
        last = time.monotonic()
        while not self.stopping:
            time.sleep(STALL_POLL_S)
            now = time.monotonic()
            if now - last > MIN_STALL_S:
                self._history.stalls.append((last, now))
            last = now


class Run:
    """One run: its processes, peers and history."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.history = History()
        self._schedule = schedule
        self._folder = folder
        self._upstreams = [
            Upstream(f"s-{n}", n // 2, self.history, Random(schedule.seed * 100 + n))
            for n in range(UPSTREAMS)
        ]
        self._discovery = Discovery(self._upstreams)
        self._tasks: set[asyncio.Task[None]] = set()
        self._reserved: set[int] = set()  # upstreams that are draining, cordoned or faulty
        self._processes: ProcessGroup  # set once the peers listen

    async def execute(self) -> History:
        """Carry out the schedule and return the history."""
        stall_monitor = StallMonitor(self.history)
        stall_monitor.start()
        for upstream in self._upstreams:
            await upstream.listen()
        await self._discovery.listen()
        self._processes = ProcessGroup(
            self._schedule, self._folder, self.history, self._discovery.port, self._discovery.whole_list
        )
        try:
            await self._run_schedule()
        finally:
            self._processes.kill_all()
        stall_monitor.stopping = True
        # Tasks of the peers that still wait are cancelled with the loop; asyncio would report each of them.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return self.history

    async def _run_schedule(self) -> None:
        await self._processes.start_ready()
        clients = [
            Client(self._processes.address, self.history, Random(self._schedule.seed * 1000 + n))
            for n in range(self._schedule.clients)
        ]
        running = [asyncio.create_task(client.run()) for client in clients]
        await self._run_steps()
        for client in clients:
            client.stopping = True
        await asyncio.wait(running, timeout=LAST_ANSWERS_S * 3)
        await asyncio.gather(*self._tasks)
        await self._measure_idle_usage()
        for process in self._processes.live():
            await self._processes.terminate(process, ())

    # --- operations -----------------------------------------------------------------------------------

    async def _run_steps(self) -> None:
        began = time.monotonic()
        operations = {
            Operation.REPLACE: self._replace,
            Operation.CRASH: self._crash,
            Operation.TERMINATE_STARTING: self._terminate_starting,
            Operation.KILL_STARTING: self._kill_starting,
            Operation.RELOAD: self._reload,
            Operation.DRAIN: self._drain,
            Operation.CORDON: self._cordon,
            Operation.UPSTREAM_FAULT: self._upstream_fault,
            Operation.DISCOVERY_FAULT: self._discovery_fault,
            Operation.CONNECTION_FLOOD: self._flood_with_connections,
        }
        for step in self._schedule.steps:
            await asyncio.sleep(max(began + step.at_s - time.monotonic(), 0.0))
            task = asyncio.create_task(operations[step.operation](step))
            self._tasks.add(task)
        await asyncio.sleep(max(began + self._schedule.seconds - time.monotonic(), 0.0))

    async def _replace(self, step: Step) -> None:
        if self._processes.replacing.locked():
            return
        async with self._processes.replacing:
            old = self._processes.live()
            if self._schedule.shares_listener:
                await self._processes.start_ready()
                for process in old:
                    await self._processes.terminate(process, step.pauses_s)
            else:
                for process in old:
                    await self._processes.terminate(process, step.pauses_s)
                await self._processes.start_ready()

    async def _crash(self, step: Step) -> None:
        if self._processes.replacing.locked():
            return
        async with self._processes.replacing:
            killed_at = time.monotonic()
            self.history.crashes.append(killed_at)
            for process in self._processes.live():
                process.popen.kill()
                process.popen.wait()
            self.history.crashes.append(time.monotonic())
            await self._processes.start_ready()
            self.history.outages.append((killed_at, time.monotonic()))

    async def _terminate_starting(self, step: Step) -> None:
        await self._interrupt_start(step, signal.SIGTERM)

    async def _kill_starting(self, step: Step) -> None:
        await self._interrupt_start(step, signal.SIGKILL)

    async def _interrupt_start(self, step: Step, signal_number: signal.Signals) -> None:
        """Start a further process beside the running ones and send it a signal during its start."""
        if self._processes.replacing.locked() or not self._schedule.shares_listener:
            return
        async with self._processes.replacing:
            process = self._processes.start()
            process.start.ready_at = process.start.started_at  # it need not become ready
            await asyncio.sleep(step.pauses_s[0])
            if signal_number is signal.SIGKILL:
                self.history.crashes.append(time.monotonic())
                process.popen.kill()
                process.popen.wait()
                self.history.crashes.append(time.monotonic())
                return
            term_at = time.monotonic()
            process.send(signal_number)
            while process.is_running() and time.monotonic() < term_at + KILL_AFTER_TERM_S:
                await asyncio.sleep(POLL_S)
            process.popen.kill()
            process.popen.wait()
            # SIGTERM may have ended it before it installed its handlers: that counts as a crash.
            self.history.crashes.append(time.monotonic())

    async def _reload(self, step: Step) -> None:
        ready = [process for process in self._processes.live() if process.start.ready_at < math.inf]
        for process in ready:
            for pause_s in step.pauses_s:
                process.send(signal.SIGHUP)
                await asyncio.sleep(pause_s)
                process.send(signal.SIGUSR1)

    def _reserve(self, step: Step) -> Upstream | None:
        """Reserve the step's upstream, unless it or half of all upstreams are reserved already."""
        if step.upstream in self._reserved or len(self._reserved) >= UPSTREAMS // 2:
            return None
        self._reserved.add(step.upstream)
        return self._upstreams[step.upstream]

    async def _drain(self, step: Step) -> None:
        upstream = self._reserve(step)
        if upstream is None:
            return
        upstream.state = "Terminating"
        delivers_at_once = self._delivers_changes_at_once()
        self._discovery.publish(upstream)
        removal = Removal(
            upstream.name, time.monotonic() + (0.0 if delivers_at_once else NOTIFICATION_DELAY_S)
        )
        self.history.removals.append(removal)
        await asyncio.sleep(step.length_s + (0.0 if delivers_at_once else NOTIFICATION_DELAY_S))
        if (
            self._discovery.fault is not None
            or self._discovery.fault_ended_at > removal.at - NOTIFICATION_DELAY_S
        ):
            removal.at = max(removal.at, self._discovery.fault_ended_at + NOTIFICATION_DELAY_S)
        removal.until = time.monotonic()
        upstream.state, upstream.since_ms = "Ready", int(time.time() * 1000)
        self._discovery.publish(upstream)
        self._reserved.discard(step.upstream)

    def _delivers_changes_at_once(self) -> bool:
        """Return whether every live process has a watch that delivers changes now."""
        return (
            self._discovery.fault is None
            and time.monotonic() > self._discovery.fault_ended_at + NOTIFICATION_DELAY_S
            and not self._processes.replacing.locked()
            and self._discovery.watch_count() >= len(self._processes.live())
        )

    async def _cordon(self, step: Step) -> None:
        upstream = self._reserve(step)
        if upstream is None:
            return
        async with self._processes.replacing:  # no process may start or end between these calls
            codes = [
                await self._processes.call_admin(p, "PUT", "cordon", upstream.name)
                for p in self._processes.live()
            ]
        if codes and all(code == 200 for code in codes):
            removal = Removal(upstream.name, time.monotonic() + CORDON_SPREAD_S)
            self.history.removals.append(removal)
            await asyncio.sleep(step.length_s)
            removal.until = time.monotonic()
        await self._uncordon(upstream)
        self._reserved.discard(step.upstream)

    async def _uncordon(self, upstream: Upstream) -> None:
        async with self._processes.replacing:
            for process in self._processes.live():
                await self._processes.call_admin(process, "PUT", "uncordon", upstream.name)

    async def _upstream_fault(self, step: Step) -> None:
        upstream = self._reserve(step)
        if upstream is None:
            return
        upstream.fault = step.upstream_fault
        await asyncio.sleep(step.length_s)
        upstream.fault = None
        self._reserved.discard(step.upstream)

    async def _discovery_fault(self, step: Step) -> None:
        if self._discovery.fault is not None:
            return
        self._discovery.begin_fault(step.discovery_fault)
        await asyncio.sleep(step.length_s)
        self._discovery.end_fault()

    async def _flood_with_connections(self, step: Step) -> None:
        """Use up descriptors with client connections that send nothing."""
        began = time.monotonic()
        connections = []
        for _ in range(FLOOD_CONNECTIONS):
            with contextlib.suppress(OSError):
                connections.append(await asyncio.open_connection(*self._processes.address))
        await asyncio.sleep(FLOOD_LENGTH_S)
        for _, writer in connections:
            writer.close()
        self.history.connection_floods.append((began, time.monotonic()))

    async def _measure_idle_usage(self) -> None:
        """Record what the live processes use while no requests are sent."""
        await asyncio.sleep(IDLE_S)
        for process in self._processes.live():
            before_s = process.cpu_s()
            await asyncio.sleep(IDLE_S)
            self.history.idle_usage.append(
                IdleUsage(
                    process.name,
                    IDLE_S,
                    process.cpu_s() - before_s,
                    process.descriptor_count(),
                    process.descriptors,
                    rss_kb(process.popen.pid),
                    process.resident_kb,
                )
            )
