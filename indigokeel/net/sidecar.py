"""The sidecar: ties submitters, execute nodes, discovery and the clock to the facade, and ends in order."""

from __future__ import annotations

import math
import os
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from indigokeel.config import Config, ConfigError, reload_discovery
from indigokeel.facade import Claim, Facade, Job, Orders, Outcome, Verdict
from indigokeel.machine_list import MachineList
from indigokeel.net import http
from indigokeel.net.counters import Counters
from indigokeel.net.discovery import Discovery
from indigokeel.net.pool import Pool, Reply, Task
from indigokeel.net.submitters import Final, Session

_RESERVE = 64  # descriptors kept for the log, discovery, the event loop and what the system wants
_ACCEPT_ON = 0.5  # s after SIGTERM in which connections are still taken
_HALF_READ = 0.2  # s after that in which a message that has begun may still become whole
_HOUSEKEEPING = 1.0  # s between looks at idle connections
_BACKLOG = 512
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


class _Waiting:
    """A job whose answer is awaited."""

    __slots__ = ("final", "ready", "task")

    def __init__(self, task: Task) -> None:
        self.task = task
        self.ready = trio.Event()
        self.final = Final(Verdict.FAILED)


class Sidecar:
    """One real sidecar."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self._counters = Counters(config.name)
        # One clock: the event loop's. Unix times of the machine list are mapped onto it once.
        self._facade = Facade(config.settings, config.seed, trio.current_time() - time.time())
        limits = config.settings.limits
        self._most = max((config.sockets - _RESERVE) // 2, 8)
        self._pool = Pool(self._facade, self._counters, limits.connect_timeout, limits.keepalive, self._most)
        self._discovery = Discovery(config.discovery, self._counters, self._listed, self._list_failed)
        self._discovery.version = config.known.version
        self._waiting: dict[str, _Waiting] = {}
        self._sessions: dict[Session, None] = {}  # in the order they came
        self._due_at = math.inf
        self._due_sooner = trio.Event()
        self._session_over = trio.Event()
        self._nursery: trio.Nursery
        self.closing = False

    # --- the desk at which submitters stand -----------------------------------------------------------

    def healthy(self) -> bool:
        return self._facade.ready() and not self.closing

    def knows(self, job_id: str) -> bool:
        return self._facade.knows(job_id)

    async def serve(self, arrived: float, job: Job, task: Task) -> Final:
        """Take a job and wait for its answer."""
        waiting = self._waiting[job.id] = _Waiting(task)
        try:
            self._carry_out(self._facade.pick(arrived, job))
            await waiting.ready.wait()
        finally:
            self._waiting.pop(job.id, None)
            if not waiting.ready.is_set():  # it left, or its session failed: nobody waits any more
                self.left(job.id)
        return waiting.final

    def left(self, job_id: str) -> None:
        self._carry_out(self._facade.left(trio.current_time(), job_id))

    # --- what the facade orders -----------------------------------------------------------------------

    def _carry_out(self, orders: Orders, reply: Reply | None = None) -> None:
        """``reply`` is the one that a served answer among the orders passes on."""
        for note in orders.notes:
            self._counters.log(note)
        for job, number in orders.given_up:
            self._pool.give_up(job, number)
        for answer in orders.answers:
            self._counters.add("jobs_" + answer.verdict.value)
            waiting = self._waiting.get(answer.job)
            if waiting is not None:
                body = reply.body if reply is not None and answer.verdict is Verdict.SERVED else None
                waiting.final = Final(answer.verdict, answer.retry_in, body)
                waiting.ready.set()
        for claim in orders.claims:
            waiting = self._waiting.get(claim.job)
            if waiting is not None:
                self._spawn("claim", self._pool.run, claim, waiting.task, self._claim_done)
        for node in orders.probes:
            self._spawn("probe", self._probe, node)
        for node in orders.close_idle:
            self._pool.close_idle(node)
        if orders.watch:
            self._spawn("watch", self._discovery.watch)
        if orders.fetch:
            self._spawn("fetch", self._discovery.fetch)
        if self._facade.due() < self._due_at:
            self._due_sooner.set()

    def _claim_done(self, claim: Claim, reply: Reply) -> None:
        now = trio.current_time()
        self._carry_out(self._facade.report(now, claim, reply.outcome, reply.load), reply)

    async def _probe(self, node: str) -> None:
        began = trio.current_time()
        outcome, load = Outcome.BROKEN, None
        try:
            outcome, load = await self._pool.probe(node)
        finally:
            now = trio.current_time()
            self._carry_out(self._facade.probed(now, node, outcome, now - began, load))

    def _listed(self, news: MachineList) -> None:
        self._carry_out(self._facade.listed(trio.current_time(), news))

    def _list_failed(self) -> None:
        self._carry_out(self._facade.list_failed(trio.current_time()))

    # --- tasks ----------------------------------------------------------------------------------------

    def _spawn(self, what: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        self._nursery.start_soon(self._guard, what, call, *args)

    async def _guard(self, what: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run a task. A fault is logged and counted; it never takes the other tasks with it."""
        try:
            await call(*args)
        except Exception as error:
            self._counters.add("task_faults")
            self._counters.log(f"fault in {what}: {type(error).__name__}: {error}")

    async def _keep_time(self) -> None:
        """Call the facade whenever something is due."""
        while True:
            self._due_sooner = trio.Event()
            self._due_at = self._facade.due()
            with trio.move_on_at(self._due_at):
                await self._due_sooner.wait()
            try:
                self._carry_out(self._facade.tick(trio.current_time()))
            except Exception as error:  # the clock must go on whatever one entry did
                self._counters.add("task_faults")
                self._counters.log(f"fault in tick: {type(error).__name__}: {error}")

    async def _housekeeping(self) -> None:
        while True:
            await trio.sleep(_HOUSEKEEPING)
            self._pool.retire(trio.current_time())

    async def _session(self, sock: trio.socket.SocketType) -> None:
        session = Session(sock, self, self._config.settings, self._counters)
        self._sessions[session] = None
        try:
            await session.run()
        finally:
            del self._sessions[session]
            self._session_over.set()

    async def _accept(self, listener: trio.socket.SocketType) -> None:
        while True:
            while len(self._sessions) >= self._most:
                await self._make_room()
            try:
                sock, _ = await listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as error:
                # A connection that broke in the queue is nothing; without descriptors, wait for some.
                self._counters.add("accept_failures")
                if http.out_of_descriptors(error):
                    for session in list(self._sessions)[:8]:
                        session.close_if_idle()
                    await trio.sleep(0.02)
                continue
            self._counters.add("submitter_connections")
            self._spawn("session", self._session, sock)

    async def _make_room(self) -> None:
        """Close the connection that came first among the idle, or wait for one to end."""
        self._session_over = trio.Event()
        idle = next((session for session in self._sessions if session.idle), None)
        if idle is not None:
            idle.close_if_idle()
        await self._session_over.wait()

    # --- start and end --------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until told to stop, then end once nothing is owed."""
        host, port = self._config.listen
        listener = trio.socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await listener.bind((host, port))
        listener.listen(_BACKLOG)
        with trio.open_signal_receiver(*_SIGNALS) as signals:
            async with trio.open_nursery() as self._nursery:
                now = trio.current_time()
                self._carry_out(self._facade.listed(now, self._config.known, cached=True))
                self._spawn("keep time", self._keep_time)
                self._spawn("housekeeping", self._housekeeping)
                accepting = trio.CancelScope()

                async def accept() -> None:
                    with accepting:
                        await self._accept(listener)

                self._spawn("accept", accept)
                async for number in signals:
                    if number == signal.SIGUSR1:
                        self._dump()
                    elif number == signal.SIGHUP:
                        self._reload()
                    else:
                        break
                await self._end(listener, accepting)
                self._nursery.cancel_scope.cancel()
        self._dump()

    def _reload(self) -> None:
        """The configuration file was replaced: discovery may have moved. One that cannot be read changes
        nothing."""
        try:
            address = reload_discovery(os.environ)
        except ConfigError as error:
            self._counters.add("reloads_failed")
            self._counters.log(f"the configuration stays as it was: {error}")
            return
        self._counters.add("reloads")
        self._spawn("move", self._discovery.move, address)

    async def _end(self, listener: trio.socket.SocketType, accepting: trio.CancelScope) -> None:
        self._counters.log("stopping")
        await trio.sleep(_ACCEPT_ON)
        accepting.cancel()
        self.closing = True
        # What the system has accepted already is ours: it is served before the listener goes.
        while len(self._sessions) < self._most and http.readable(listener):
            try:
                sock, _ = await listener.accept()
            except OSError:
                break
            self._spawn("session", self._session, sock)
        listener.close()
        await trio.sleep(0)
        # A message that is only half here is not owed an answer; it may still become whole for a moment.
        patience = trio.current_time() + _HALF_READ
        while self._sessions and (self._anything_owed() or trio.current_time() < patience):
            for session in list(self._sessions):
                session.close_if_idle()
            self._session_over = trio.Event()
            with trio.move_on_after(0.05):
                await self._session_over.wait()

    def _anything_owed(self) -> bool:
        return self._facade.owed > 0 or any(session.busy for session in self._sessions)

    def _dump(self) -> None:
        self._counters.dump(
            owed=self._facade.owed,
            module_faults=self._facade.faults,
            submitter_connections_open=len(self._sessions),
            node_connections_open=self._pool.open,
        )


async def serve(config: Config) -> None:
    """Run one sidecar."""
    await Sidecar(config).run()
