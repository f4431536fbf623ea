"""The sidecar: ties submitters, execute nodes, discovery and the clock to the facade, and ends in order."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

from indigokeel.config import Config, ConfigError, reload_config
from indigokeel.decision.interface import BEAT
from indigokeel.facade import Facade
from indigokeel.machine_list import MachineList
from indigokeel.net import clocks
from indigokeel.net.client_connections import ClientConnections
from indigokeel.net.connections import Audit
from indigokeel.net.counters import Counters
from indigokeel.net.discovery import Discovery
from indigokeel.net.exchange import Task
from indigokeel.net.handover_file import HandoverFiles
from indigokeel.net.lifecycle import Shutdown, ShutdownTimes
from indigokeel.net.listener import ClientListener
from indigokeel.net.management import MOST as MOST_CALLS
from indigokeel.net.management import CallResult, Management
from indigokeel.net.order_executor import OrderExecutor
from indigokeel.net.pool import Pool
from indigokeel.net.state_persistence import StatePersistence
from indigokeel.net.submitters import Session
from indigokeel.net.supervision import Supervisor
from indigokeel.orders import Job, Orders

_RESERVE = 32  # descriptors kept for the log, discovery, the event loop and what the system wants
_SUBMITTERS = 0.55  # of the others: for submitters, whose crowds come and go; the rest for execute nodes
_ACCEPT_ON = 0.5  # s after SIGTERM in which connections are still taken
_HALF_READ = 0.2  # s after that in which a message that has begun may still become whole
_LOOK = 0.2  # s between looks at connections
_RETIRE = 5  # looks between those at idle connections to execute nodes
_AUDIT = 25  # looks between audits of the descriptors
_SPARE = 12  # of the reserve: for new clients while all others are at work or have yet to read a last word
_FIRST_LIST = 1.5  # s in which discovery's first word is awaited, before this process says that it serves
_LAST_ACCEPTS = 0.01  # s for the loop to take what the system has accepted before the listener goes
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


class Sidecar:
    """One real sidecar."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self._counters = Counters(config.name)
        # One clock, the system's monotonic one. Unix times of the machine list are mapped onto it once.
        self._facade = Facade(config.settings, config.seed, clocks.unix_to_clock())
        limits = config.settings.limits
        self.settings = config.settings
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = config.sockets if soft == resource.RLIM_INFINITY else min(config.sockets, soft)
        if config.listen_fd >= 0:  # the next process may stand beside this one, within the same limits
            sockets //= 2
        if config.mgmt is not None:
            sockets -= MOST_CALLS
        most = max(int((sockets - _RESERVE) * _SUBMITTERS), 8)
        self._sessions: ClientConnections[Session] = ClientConnections(sockets, most)
        self._pool = Pool(
            self._facade,
            self._counters,
            limits.connect_timeout,
            limits.keepalive,
            max(sockets - _RESERVE - most, 8),
            config.seed,
            warm=config.settings.prices.connection <= 0.0 and config.settings.prices.handshake <= 0.0,
        )
        self._discovery = Discovery(
            config.discovery, self._counters, self._listed, self._list_failed, self._use_known
        )
        self._discovery.pushed = not config.settings.ask_membership
        self._known: MachineList | None = None  # the list as last had, until it is taken in
        self._lag = 0.0
        self._supervisor = Supervisor(self._counters)
        self._executor = OrderExecutor(
            self._facade, self._pool, self._discovery, self._supervisor, self._counters
        )
        self._audit: Audit
        self._management = Management(self, self._counters)
        self._persistence: StatePersistence | None = None
        if config.state_dir:
            self._persistence = StatePersistence(
                HandoverFiles(config.state_dir, config.name),
                self._facade,
                self._counters,
                self._carry_out,
                lambda: self._discovery.version,
            )
        self._began = time.monotonic()
        self._learned: Any = None  # what the process before left, until it is taken in
        self._accepting = False
        self._ending: ShutdownTimes | None = None  # once it has begun
        self.closing = False
        self.behind = False

    # --- the desk at which submitters stand -----------------------------------------------------------

    def healthy(self) -> bool:
        return self._facade.ready() and not self.closing

    def serves(self) -> bool:
        """What operators ask before they send the process before this one away."""
        heard = self._discovery.answered or time.monotonic() - self._began > _FIRST_LIST
        return self._accepting and heard and self.healthy()

    def cordon(self, who: str, answer: Callable[[CallResult], None]) -> None:
        self._told("cordon", who, self._facade.cordon(time.monotonic(), who), answer)

    def uncordon(self, who: str, answer: Callable[[CallResult], None]) -> None:
        self._told("uncordon", who, self._facade.uncordon(time.monotonic(), who), answer)

    def _told(self, call: str, who: str, orders: Orders | None, answer: Callable[[CallResult], None]) -> None:
        self._counters.log(f"{call} of {who}" + (": nobody has it" if orders is None else ""))
        if orders is None:
            answer(CallResult.UNKNOWN)
            return
        self._counters.add(f"{call}s")
        self._carry_out(orders)
        if self._persistence is None:
            answer(CallResult.STORED)  # there is no folder, and no process that would read it
            return
        # Before the yes: the next process is bound by it too.
        self._persistence.store(lambda yes: answer(CallResult.STORED if yes else CallResult.NOT_STORED))

    def knows(self, job_id: str) -> bool:
        return self._facade.knows(job_id)

    def take(self, session: Session, arrived: float, job: Job, task: Task) -> None:
        """Take a job; its answer goes to the session, perhaps at once."""
        self._executor.expect(job.id, session, task)
        self._sessions.brought(session)
        if self._ending is not None:  # it is answered while this process still is
            job.budget = min(job.budget, max(self._ending.answer_by - arrived, 0.02))
        self._carry_out(self._facade.pick(arrived, job))
        if self._ending is not None and job.long:  # its time starts with its last byte, and ends no later
            self._facade.finish(self._ending.answer_by)
            self._executor.timer.lower()

    def uploaded(self, job_id: str) -> None:
        self._facade.uploaded(time.monotonic(), job_id)
        self._executor.timer.reset()

    def turn_away(self, session: Session, arrived: float, job_class: str, budget: float) -> float | None:
        wait = self._facade.turn_away(arrived, job_class, budget)
        if self._ending is not None and time.monotonic() >= self._ending.take_until:
            wait = self.settings.limits.max_retry_after
        if wait is not None:
            self._sessions.brought(session)
        return wait

    def left(self, job_id: str) -> None:
        self._executor.forget(job_id)
        self._carry_out(self._facade.left(time.monotonic(), job_id))

    def joined(self, session: Session) -> None:
        self._counters.add("submitter_connections")
        self._sessions.joined(session, time.monotonic())
        for spare in (0, _SPARE):  # one that is told first goes with the next
            if self._sessions.too_many(spare):
                self._make_room(session)

    def crowded(self) -> bool:
        return self._sessions.crowded()

    def ending(self, session: Session) -> None:
        self._sessions.ending(session)

    def gone(self, session: Session) -> None:
        self._sessions.gone(session)

    def _make_room(self, newest: Session) -> None:
        """Close one connection so that the newest has a place."""
        found = self._sessions.to_close(newest, time.monotonic())
        if found is newest:
            if not self._sessions.too_many(_SPARE):
                return
            self._counters.add("submitters_without_room")
        if not found.ended:
            self._counters.add("submitters_shed")
        if found.give_way():
            self.gone(found)

    def _make_room_for_waiting(self) -> None:
        """No client can be accepted for want of descriptors or memory: close what is idle, one connection to
        an upstream and one of a client, since either may be all there is."""
        self._pool.connections.shed_idle()
        found = self._sessions.to_close_for_waiting(time.monotonic())
        if found is not None:
            self._counters.add("submitters_shed")
            found.abort()
            self.gone(found)

    # --- what the facade orders, and is told ----------------------------------------------------------

    def _carry_out(self, orders: Orders) -> None:
        self._executor.execute(orders)

    def _use_known(self) -> None:
        """Take in the list as last had, and what the process before had learnt of its nodes; once."""
        known, self._known = self._known, None
        if known is None:
            return
        self._carry_out(self._facade.listed(time.monotonic(), known, cached=True))
        learned, self._learned = self._learned, None
        if learned is not None:
            self._carry_out(self._facade.learn(time.monotonic(), learned))

    def _listed(self, news: MachineList) -> None:
        self._carry_out(self._facade.listed(time.monotonic(), news))

    def _list_failed(self) -> None:
        self._carry_out(self._facade.list_failed(time.monotonic()))

    # --- tasks ----------------------------------------------------------------------------------------

    def _beat(self, due: float) -> None:
        """Measure how late the loop runs, which is what every job waits for it, and tell."""
        now = time.monotonic()
        asyncio.get_running_loop().call_later(BEAT, self._beat, now + BEAT)
        self._lag = max(now - due, 0.0)
        self._supervisor.attempt("beat", self._tell_lag, now)

    def _tell_lag(self, now: float) -> None:
        self._carry_out(self._facade.lagged(now, self._lag))
        self.behind = self._facade.behind()

    async def _housekeeping(self) -> None:
        """Look at the connections now and then."""
        attempt = self._supervisor.attempt
        looks = 0
        while True:
            await asyncio.sleep(_LOOK)
            looks += 1
            now = time.monotonic()
            for session in self._sessions:
                attempt("the look at a client connection", session.look, now)
            if looks % _RETIRE == 0:
                attempt("closing idle connections", self._pool.retire, now)
            if looks % _AUDIT == 0:
                attempt("audit", self._audit.look)

    # --- start and end --------------------------------------------------------------------------------

    async def run(self, listener: socket.socket) -> None:
        """Serve on a socket that is bound, until told to stop; end once nothing is owed."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self._supervisor.fault(context.get("message", ""), context.get("exception"))
        )
        signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
        for number in _SIGNALS:
            loop.add_signal_handler(number, signals.put_nowait, number)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        async with asyncio.TaskGroup() as tasks:
            self._supervisor.attach(tasks)
            known = self._config.known
            if self._persistence is not None:
                restored = await self._persistence.restore()
                self._learned = restored.learned
                if restored.known is not None and restored.known.version >= known.version:
                    known = restored.known
            self._discovery.version, self._known = known.version, known
            if self._discovery.pushed:
                # What the agent has binds from the first moment on: no job is sent by the old list alone,
                # unless the agent is silent. Until then there is no node, and jobs are held.
                self._supervisor.keep_running("watch", self._discovery.watch)
                loop.call_later(_FIRST_LIST, self._use_known)
            else:
                self._use_known()
            if self._persistence is not None:
                self._supervisor.keep_running("sync", self._persistence.synchronise, lambda: self.closing)
                self._supervisor.keep_running("store", self._persistence.keep_stored)
            if self._config.mgmt is not None:
                self._supervisor.keep_running("management", self._manage, self._config.mgmt)
            clients = ClientListener(
                loop,
                listener,
                lambda: Session(self, self._counters),
                self._counters,
                self._make_room_for_waiting,
            )
            clients.open()
            self._accepting = True
            self._audit = Audit(
                lambda: self._pool.connections.books,
                self._pool.connections.strike,
                self._others,
                self._counters.add,
                lambda level, text: self._counters.log(text, level),
                time.monotonic,
            )
            self._supervisor.keep_running("housekeeping", self._housekeeping)
            loop.call_later(BEAT, self._beat, time.monotonic() + BEAT)
            while (number := await signals.get()) not in (signal.SIGTERM, signal.SIGINT):
                if number == signal.SIGUSR1:
                    self._dump()
                else:
                    self._supervisor.attempt("reload", self._reload)
            signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # for good: the loop lets go of it
            await self._end(clients)
            if self._persistence is not None and self._ending is not None:
                finish = self._persistence.finish
                await self._supervisor.attempt_async("the last state", finish, self._ending.exit_by)
            self._supervisor.cancel_all()
        self._dump()

    async def _manage(self, address: tuple[str, int]) -> None:
        """Listen for operators; an address that cannot be had now may come free."""
        while True:
            try:
                await self._management.listen(address)
                return
            except OSError as error:
                self._counters.add("mgmt_binds_failed")
                self._counters.log(f"cannot listen for operators: {error}", "warning")
                await asyncio.sleep(0.5)

    def _reload(self) -> None:
        """The configuration file was replaced: settings and discovery change together, or, where anything
        is wrong with the file, nothing does."""
        try:
            config = reload_config(os.environ, self._config)
        except ConfigError as error:
            self._counters.add("reloads_failed")
            self._counters.log(f"the configuration stays as it was: {error}", "warning")
            return
        previous = self._config
        try:
            self._use_config(config)
        except Exception as error:  # whole or nothing: what has changed already changes back
            self._counters.add("reloads_failed")
            self._supervisor.fault("reload", error)
            self._use_config(previous)
            return
        self._counters.add("reloads")
        names = ", ".join(cls.name for cls in config.settings.classes)
        self._counters.log(f"a new configuration: classes {names}")
        self._supervisor.keep_running("move", self._discovery.move, config.discovery)

    def _use_config(self, config: Config) -> None:
        settings = config.settings
        self._facade.reconfigure(settings)
        self._pool.reconfigure(settings.limits.connect_timeout, settings.limits.keepalive)
        self._config, self.settings = config, settings
        self._discovery.pushed = not settings.ask_membership

    async def _end(self, clients: ClientListener) -> None:
        """Graceful shutdown: take requests for a while, answer all that was taken before SIGKILL would come,
        and see that the answers go out."""
        self._counters.log("stopping")
        attempt = self._supervisor.attempt
        longest = max(cls.deadline for cls in self.settings.classes)
        shared = self._config.listen_fd >= 0
        # Nothing taken is answered any later, whether it came before or comes now.
        accept = 0.0 if shared else _ACCEPT_ON + _LAST_ACCEPTS
        times = self._ending = ShutdownTimes.plan(time.monotonic(), longest, accept, _HALF_READ)
        attempt("shutdown", self._facade.finish, times.answer_by)
        self._executor.timer.reset()
        if not shared:
            await asyncio.sleep(_ACCEPT_ON)
        self.closing, self._accepting = True, False
        # What the system has accepted already is ours, where nobody else takes it.
        await self._supervisor.attempt_async("closing the listener", clients.close, not shared)
        if not shared:
            await asyncio.sleep(_LAST_ACCEPTS)  # those accepted last may be about to write
        await Shutdown(self, self._supervisor, times, shared).run()
        attempt("closing the operators' listener", self._management.close)

    def client_connections(self) -> Iterator[Session]:
        return iter(self._sessions)

    def answers_owed(self) -> bool:
        return self._anything_owed()

    def answer_all(self) -> None:
        self._executor.answer_all()

    # --- counters and the audit -----------------------------------------------------------------------

    def _others(self) -> dict[int, str]:
        """The descriptors in use that are no connection to an execute node."""
        known = {session.fd: "submitter" for session in self._sessions}
        known.update(dict.fromkeys(self._discovery.descriptors(), "discovery"))
        known.update(dict.fromkeys(self._management.descriptors(), "operator"))
        return known

    def _anything_owed(self) -> bool:
        return self._facade.owed > 0 or any(s.busy or s.unread() or s.unwritten() for s in self._sessions)

    def _dump(self) -> None:
        """Print the counters for the operators; a fault in it costs nothing else."""
        self._supervisor.attempt("audit", self._audit.look)
        self._supervisor.attempt("counters", self._dump_counters)

    def _dump_counters(self) -> None:
        self._counters.dump(
            owed=self._facade.owed,
            module_faults=self._facade.faults,
            cordoned=len(self._facade.cordons.out(time.monotonic())),
            submitter_connections_open=len(self._sessions),
            node_connections_open=self._pool.open,
            node_connections_idle=self._pool.connections.idle(),
            claims_waiting=self._pool.connections.waiting(),
            loop_lag_ms=round(self._lag * 1000.0, 1),
            cpu_s=round(time.process_time(), 2),
        )


async def serve(config: Config, listener: socket.socket) -> None:
    """Run one sidecar."""
    await Sidecar(config).run(listener)
