"""One run: carries out a schedule on the processes of the program and their peers."""

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
from tests.soak.history import History, Notice, Quiet
from tests.soak.peers import Client, Discovery, Upstream
from tests.soak.processes import KILL_AFTER_TERM_S, POLL_S, ProcessGroup
from tests.soak.schedule import UPSTREAMS, Act, Schedule, Step

CROWD = 260
CROWD_S = 1.0
NOTIFIED_S = 6.0  # after a change that discovery could not send at once
CORDON_SPREAD_S = 0.3  # until the processes of one sidecar have merged a cordon
QUIET_S = 2.0
WATCH_STALL_S = 0.01
RECORDED_STALL_S = 0.03
LAST_ANSWERS_S = 6.0


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
        self._upstreams = [
            Upstream(f"s-{n}", n // 2, self.history, Random(schedule.seed * 100 + n))
            for n in range(UPSTREAMS)
        ]
        self._discovery = Discovery(self._upstreams)
        self._tasks: set[asyncio.Task[None]] = set()
        self._out: set[int] = set()  # upstreams that drain, are cordoned or have a fault
        self._processes: ProcessGroup  # once the peers listen

    async def play(self) -> History:
        """Carry out the schedule, and return what was seen."""
        watch = StallWatch(self.history)
        watch.start()
        for upstream in self._upstreams:
            await upstream.listen()
        await self._discovery.listen()
        self._processes = ProcessGroup(
            self._schedule, self._folder, self.history, self._discovery.port, self._discovery.whole_list
        )
        try:
            await self._play()
        finally:
            self._processes.kill_all()
        watch.stopping = True
        # What the peers still wait for is cancelled with the loop, which would be reported for each.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return self.history

    async def _play(self) -> None:
        await self._processes.start_ready()
        clients = [
            Client(self._processes.address, self.history, Random(self._schedule.seed * 1000 + n))
            for n in range(self._schedule.clients)
        ]
        running = [asyncio.create_task(client.run()) for client in clients]
        await self._carry_out()
        for client in clients:
            client.stopping = True
        await asyncio.wait(running, timeout=LAST_ANSWERS_S * 3)
        await asyncio.gather(*self._tasks)
        await self._look_at_quiet()
        for process in self._processes.live():
            await self._processes.terminate(process, ())

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
        await self._disturb_start(step, signal.SIGTERM)

    async def _kill_starting(self, step: Step) -> None:
        await self._disturb_start(step, signal.SIGKILL)

    async def _disturb_start(self, step: Step, number: signal.Signals) -> None:
        """Start a further process beside the running one, and end it while it starts."""
        if self._processes.replacing.locked() or not self._schedule.shares_listener:
            return
        async with self._processes.replacing:
            process = self._processes.start()
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
        ready = [process for process in self._processes.live() if process.start.ready_at < math.inf]
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
        notified = self._notifies_at_once()
        self._discovery.publish(upstream)
        notice = Notice(upstream.name, time.monotonic() + (0.0 if notified else NOTIFIED_S))
        self.history.notices.append(notice)
        await asyncio.sleep(step.length_s + (0.0 if notified else NOTIFIED_S))
        if self._discovery.fault is not None or self._discovery.fault_ended_at > notice.at - NOTIFIED_S:
            notice.at = max(notice.at, self._discovery.fault_ended_at + NOTIFIED_S)
        notice.until = time.monotonic()
        upstream.state, upstream.since_ms = "Ready", int(time.time() * 1000)
        self._discovery.publish(upstream)
        self._out.discard(step.upstream)

    def _notifies_at_once(self) -> bool:
        """Return whether each live process has a watch that delivers changes."""
        return (
            self._discovery.fault is None
            and time.monotonic() > self._discovery.fault_ended_at + NOTIFIED_S
            and not self._processes.replacing.locked()
            and self._discovery.watches() >= len(self._processes.live())
        )

    async def _cordon(self, step: Step) -> None:
        upstream = self._take(step)
        if upstream is None:
            return
        async with self._processes.replacing:  # an operator calls at the processes of one moment
            codes = [
                await self._processes.admin(p, "PUT", "cordon", upstream.name) for p in self._processes.live()
            ]
        if codes and all(code == 200 for code in codes):
            notice = Notice(upstream.name, time.monotonic() + CORDON_SPREAD_S)
            self.history.notices.append(notice)
            await asyncio.sleep(step.length_s)
            notice.until = time.monotonic()
        await self._uncordon(upstream)
        self._out.discard(step.upstream)

    async def _uncordon(self, upstream: Upstream) -> None:
        async with self._processes.replacing:
            for process in self._processes.live():
                await self._processes.admin(process, "PUT", "uncordon", upstream.name)

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
                crowd.append(await asyncio.open_connection(*self._processes.address))
        await asyncio.sleep(CROWD_S)
        for _, writer in crowd:
            writer.close()
        self.history.crowds.append((began, time.monotonic()))

    async def _look_at_quiet(self) -> None:
        """Note what the last process uses while nothing is sent."""
        await asyncio.sleep(QUIET_S)
        for process in self._processes.live():
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
