"""The sidecar: builds and connects the components of the process, and runs them until it shuts down."""

from __future__ import annotations

import asyncio
import resource
import signal
import socket
import time
from collections.abc import Callable

from indigokeel import clocks
from indigokeel.balancing.settings import Settings
from indigokeel.config import Config
from indigokeel.hot_restart.state_files import StateFiles
from indigokeel.metrics import Counters
from indigokeel.net.admin import AdminServer
from indigokeel.net.discovery import DiscoveryClient
from indigokeel.net.downstream.client_connection import ClientConnection
from indigokeel.net.downstream.client_registry import ClientRegistry
from indigokeel.net.downstream.listener import ClientListener
from indigokeel.net.downstream.resources import ClientResources
from indigokeel.net.memory_account import MemoryAccount
from indigokeel.net.turn_scheduler import TurnScheduler
from indigokeel.net.upstream import DescriptorLeakDetector
from indigokeel.net.upstream.client import UpstreamClient, UpstreamClientOptions
from indigokeel.process.admin_service import FIRST_LIST_TIMEOUT_S, AdminService
from indigokeel.process.connection_budget import ConnectionBudget
from indigokeel.process.counter_report import CounterReport
from indigokeel.process.effect_executor import EffectExecutor
from indigokeel.process.endpoint_feed import EndpointFeed
from indigokeel.process.event_loop_watchdog import EventLoopWatchdog
from indigokeel.process.housekeeping import Housekeeping
from indigokeel.process.lag_monitor import LagMonitor
from indigokeel.process.memory_budget import MemoryBudget, resident_bytes
from indigokeel.process.memory_log import MemoryLog
from indigokeel.process.reload import ConfigReloader, ReloadTargets
from indigokeel.process.request_service import RequestService
from indigokeel.process.shutdown import Shutdown, ShutdownTimes
from indigokeel.process.state_persistence import StatePersistence
from indigokeel.process.supervision import Supervisor
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Effects

_ACCEPT_AFTER_SIGTERM_S = 0.5  # time during which new connections are still accepted
_PARTIAL_REQUEST_S = 0.2  # time after that in which a partially received request may be completed
_BACKLOG_ACCEPT_S = 0.01  # time to accept connections that the kernel queued before the listener closes
_ADMIN_BIND_RETRY_S = 0.5
_SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*_SHUTDOWN_SIGNALS, signal.SIGUSR1, signal.SIGHUP)


class Sidecar:
    """One sidecar process."""

    def __init__(self, config: Config) -> None:
        """Build all components; nothing runs before ``run``."""
        self._counters = Counters(config.name)
        self._supervisor = Supervisor(self._counters)
        self._coordinator = RequestCoordinator(config.settings, config.seed, clocks.unix_to_clock())
        self._scheduler = TurnScheduler(_call_soon, time.monotonic)
        memory = MemoryBudget.plan(config, resident_bytes())
        budget = ConnectionBudget.plan(config, _descriptor_limit(), memory)
        self._memory = MemoryAccount(memory.held_bytes(budget.clients + budget.upstreams))
        self._clients: ClientRegistry[ClientConnection] = ClientRegistry(budget.descriptors, budget.clients)
        self._upstream_client = self._make_upstream_client(config, budget)
        self._endpoint_feed = EndpointFeed(self._coordinator, self._execute)
        self._discovery = self._make_discovery(config)
        self._executor = EffectExecutor(
            self._coordinator, self._upstream_client, self._discovery, self._supervisor, self._counters
        )
        self._requests = RequestService(
            config.settings,
            self._coordinator,
            self._executor,
            self._clients,
            self._upstream_client.connections,
            self._counters,
        )
        targets = ReloadTargets(self._coordinator, self._requests, self._upstream_client, self._discovery)
        self._reloader = ConfigReloader(config, targets, self._supervisor, self._counters)
        self._persistence = self._make_persistence(config)
        self._admin_service = AdminService(
            self._coordinator,
            self._executor,
            self._requests,
            self._discovery,
            self._persistence,
            self._counters,
        )
        self._admin = AdminServer(self._admin_service, self._counters)
        self._lag_monitor = LagMonitor(self._coordinator, self._executor, self._requests, self._supervisor)
        self._counter_report = CounterReport(
            self._counters,
            self._coordinator,
            self._clients,
            self._upstream_client,
            self._lag_monitor,
            self._memory,
        )
        self._leak_detector: DescriptorLeakDetector

    def _make_upstream_client(self, config: Config, budget: ConnectionBudget) -> UpstreamClient:
        limits = config.settings.limits
        prices = config.settings.prices
        options = UpstreamClientOptions(
            connect_timeout_s=limits.connect_timeout,
            keepalive_s=limits.keepalive,
            max_connections=budget.upstreams,
            seed=config.seed,
            preconnects=prices.connection <= 0.0 and prices.handshake <= 0.0,
            schedule_read=self._scheduler.run,
        )
        return UpstreamClient(self._coordinator, self._counters, options)

    def _make_discovery(self, config: Config) -> DiscoveryClient:
        feed = self._endpoint_feed
        discovery = DiscoveryClient(
            config.discovery, self._counters, feed.apply, feed.watch_failed, feed.apply_cached
        )
        discovery.pushed = not config.settings.polls_membership
        return discovery

    def _make_persistence(self, config: Config) -> StatePersistence | None:
        if not config.state_dir:
            return None
        return StatePersistence(
            StateFiles(config.state_dir, config.name),
            self._coordinator,
            self._counters,
            self._execute,
            lambda: self._discovery.version,
        )

    def _execute(self, effects: Effects) -> None:
        self._executor.execute(effects)

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self._requests.settings

    @property
    def accepting(self) -> bool:
        """Whether new client connections are accepted."""
        return self._admin_service.accepting

    @property
    def closing(self) -> bool:
        """Whether the listener is closing; each client connection then closes after its next response."""
        return self._requests.closing

    # --- start ----------------------------------------------------------------------------------------

    async def run(self, listener: socket.socket) -> None:
        """Serve on a bound socket until SIGTERM or SIGINT; return once all answers have been written."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self._supervisor.record_fault(
                context.get("message", ""), context.get("exception")
            )
        )
        signals = self._receive_signals(loop)
        async with asyncio.TaskGroup() as tasks:
            self._supervisor.attach(tasks)
            await self._restore_state()
            self._start_watch(loop)
            self._start_persistence()
            if self._reloader.config.admin_address is not None:
                self._supervisor.keep_running("admin server", self._start_admin_server)
            clients = self._accept_clients(loop, listener)
            self._start_housekeeping()
            self._lag_monitor.start()
            await self._handle_signals(signals)
            times = await self._shut_down(clients)
            if self._persistence is not None:
                finish = self._persistence.finish
                await self._supervisor.run_guarded_async("saving the final state", finish, times.exit_by)
            self._supervisor.cancel_all()
        self._report_counters()

    @staticmethod
    def _receive_signals(loop: asyncio.AbstractEventLoop) -> asyncio.Queue[signal.Signals]:
        signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
        for number in HANDLED_SIGNALS:
            loop.add_signal_handler(number, _receive_signal, signals, number)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        return signals

    async def _restore_state(self) -> None:
        """Restore the state of the previous process, and choose the endpoint list to start with."""
        cached = self._reloader.config.known
        learned = None
        if self._persistence is not None:
            restored = await self._persistence.restore()
            learned = restored.learned
            if restored.known is not None and restored.known.version >= cached.version:
                cached = restored.known
        self._discovery.version = cached.version
        self._endpoint_feed.set_cached(cached, learned)

    def _start_watch(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self._discovery.pushed:
            self._endpoint_feed.apply_cached()
            return
        # Lists that discovery pushes are authoritative from the start: the cached list is applied only once
        # discovery has answered, or has been silent for a while. Until then requests wait for an upstream.
        self._supervisor.keep_running("watch", self._discovery.watch)
        loop.call_later(FIRST_LIST_TIMEOUT_S, self._endpoint_feed.apply_cached)

    def _start_persistence(self) -> None:
        if self._persistence is not None:
            self._supervisor.keep_running(
                "state synchronisation", self._persistence.synchronise, lambda: self.closing
            )
            self._supervisor.keep_running("cordon store", self._persistence.keep_cordons_stored)

    def _accept_clients(self, loop: asyncio.AbstractEventLoop, listener: socket.socket) -> ClientListener:
        resources = ClientResources(self._scheduler, self._memory)
        clients = ClientListener(
            loop,
            listener,
            lambda: ClientConnection(self._requests, self._counters, resources),
            self._counters,
            self._requests.evict_for_backlog,
        )
        clients.open()
        self._admin_service.accepting = True
        return clients

    def _start_housekeeping(self) -> None:
        connections = self._upstream_client.connections
        self._leak_detector = DescriptorLeakDetector(
            lambda: connections.table,
            connections.discard,
            self._other_descriptors,
            self._counters.add,
            lambda level, text: self._counters.log(text, level),
            time.monotonic,
        )
        housekeeping = Housekeeping(
            self._clients,
            self._upstream_client,
            self._leak_detector,
            EventLoopWatchdog(self._counters),
            MemoryLog(self._memory, self._counters),
            self._supervisor,
        )
        self._supervisor.keep_running("housekeeping", housekeeping.run)

    async def _start_admin_server(self) -> None:
        """Listen on the admin address, retrying because an address in use may become free."""
        address = self._reloader.config.admin_address
        while address is not None:
            try:
                await self._admin.listen(address)
            except OSError as error:
                self._counters.add("mgmt_binds_failed")
                self._counters.log(f"cannot listen for operators: {error}", "warning")
                await asyncio.sleep(_ADMIN_BIND_RETRY_S)
            else:
                return

    async def _handle_signals(self, signals: asyncio.Queue[signal.Signals]) -> None:
        """Handle signals until one requests a shutdown."""
        while (number := await signals.get()) not in _SHUTDOWN_SIGNALS:
            if number == signal.SIGUSR1:
                self._report_counters()
            else:
                self._supervisor.run_guarded("reload", self._reloader.reload)

    # --- end ------------------------------------------------------------------------------------------

    async def _shut_down(self, clients: ClientListener) -> ShutdownTimes:
        """Accept requests for a while, then answer all of them and write the answers, before SIGKILL."""
        self._counters.log("stopping")
        guarded = self._supervisor.run_guarded
        # An inherited listener is shared: the next process already accepts on it.
        listener_shared = self._reloader.config.listen_fd >= 0
        times = self._plan_shutdown(listener_shared)
        guarded("shutdown", self._requests.begin_shutdown, times)
        self._executor.timer.reschedule()
        if not listener_shared:
            await asyncio.sleep(_ACCEPT_AFTER_SIGTERM_S)
        self._requests.closing = True
        self._admin_service.accepting = False
        await self._supervisor.run_guarded_async("closing the listener", clients.close, not listener_shared)
        if not listener_shared:
            await asyncio.sleep(_BACKLOG_ACCEPT_S)  # the clients accepted last may be about to send
        await Shutdown(self._requests, self._supervisor, times, listener_shared).run()
        guarded("closing the admin server", self._admin.close)
        return times

    def _plan_shutdown(self, listener_shared: bool) -> ShutdownTimes:
        longest_deadline = max(cls.deadline for cls in self.settings.classes)
        accept = 0.0 if listener_shared else _ACCEPT_AFTER_SIGTERM_S + _BACKLOG_ACCEPT_S
        return ShutdownTimes.plan(time.monotonic(), longest_deadline, accept, _PARTIAL_REQUEST_S)

    # --- counters -------------------------------------------------------------------------------------

    def _other_descriptors(self) -> dict[int, str]:
        """Return the descriptors of connections other than those to upstreams, each with its use."""
        descriptors = {client.fd: "client" for client in self._clients}
        descriptors.update(dict.fromkeys(self._discovery.descriptors(), "discovery"))
        descriptors.update(dict.fromkeys(self._admin.descriptors(), "operator"))
        return descriptors

    def _report_counters(self) -> None:
        """Print the counters; an exception in this affects nothing else."""
        self._supervisor.run_guarded("descriptor audit", self._leak_detector.run_audit)
        self._supervisor.run_guarded("counters", self._counter_report.print)


def _receive_signal(signals: asyncio.Queue[signal.Signals], number: signal.Signals) -> None:
    """Queue a signal. After one that ends the process, ignore all: a flood of them would hold up its end."""
    signals.put_nowait(number)
    if number in _SHUTDOWN_SIGNALS:
        for ignored in HANDLED_SIGNALS:
            signal.signal(ignored, signal.SIG_IGN)


def _call_soon(task: Callable[[], None]) -> None:
    """Call a function in the next turn of the event loop."""
    asyncio.get_running_loop().call_soon(task)


def _descriptor_limit() -> int | None:
    """Return the soft limit on open descriptors of this process, or None if it is unlimited."""
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return None if soft == resource.RLIM_INFINITY else soft


async def serve(config: Config, listener: socket.socket) -> None:
    """Run one sidecar until a signal shuts it down."""
    await Sidecar(config).run(listener)
