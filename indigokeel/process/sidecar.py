"""The sidecar: ties clients, upstreams, discovery and the clock to the coordinator, and ends in order."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

from indigokeel import clocks
from indigokeel.balancing.events import LAG_SAMPLE_INTERVAL_S
from indigokeel.config import Config, ConfigError, reload_config
from indigokeel.endpoints.endpoint_list import EndpointList
from indigokeel.hot_restart.state_files import StateFiles
from indigokeel.metrics import Counters
from indigokeel.net.admin import MOST as MOST_CALLS
from indigokeel.net.admin import AdminServer, CallResult
from indigokeel.net.discovery import DiscoveryClient
from indigokeel.net.downstream.client_connection import ClientConnection
from indigokeel.net.downstream.client_registry import ClientRegistry
from indigokeel.net.downstream.listener import ClientListener
from indigokeel.net.messages import OutboundRequest
from indigokeel.net.upstream import DescriptorLeakDetector
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.process.effect_executor import EffectExecutor
from indigokeel.process.shutdown import Shutdown, ShutdownTimes
from indigokeel.process.state_persistence import StatePersistence
from indigokeel.process.supervision import Supervisor
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Effects, Request

_RESERVE = 32  # descriptors kept for the log, discovery, the event loop and what the system wants
_SUBMITTERS = 0.55  # of the others: for clients, whose crowds come and go; the rest for upstreams
_ACCEPT_ON = 0.5  # s after SIGTERM in which connections are still taken
_HALF_READ = 0.2  # s after that in which a message that has begun may still become whole
_LOOK = 0.2  # s between looks at connections
_RETIRE = 5  # looks between those at idle connections to upstreams
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
        # One clock, the system's monotonic one. Unix times of the endpoint list are mapped onto it once.
        self._coordinator = RequestCoordinator(config.settings, config.seed, clocks.unix_to_clock())
        limits = config.settings.limits
        self.settings = config.settings
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = config.sockets if soft == resource.RLIM_INFINITY else min(config.sockets, soft)
        if config.listen_fd >= 0:  # the next process may stand beside this one, within the same limits
            sockets //= 2
        if config.mgmt is not None:
            sockets -= MOST_CALLS
        most = max(int((sockets - _RESERVE) * _SUBMITTERS), 8)
        self._clients: ClientRegistry[ClientConnection] = ClientRegistry(sockets, most)
        self._upstream_client = UpstreamClient(
            self._coordinator,
            self._counters,
            limits.connect_timeout,
            limits.keepalive,
            max(sockets - _RESERVE - most, 8),
            config.seed,
            warm=config.settings.prices.connection <= 0.0 and config.settings.prices.handshake <= 0.0,
        )
        self._discovery = DiscoveryClient(
            config.discovery, self._counters, self._listed, self._list_failed, self._use_known
        )
        self._discovery.pushed = not config.settings.polls_membership
        self._known: EndpointList | None = None  # the list as last had, until it is taken in
        self._lag = 0.0
        self._supervisor = Supervisor(self._counters)
        self._executor = EffectExecutor(
            self._coordinator, self._upstream_client, self._discovery, self._supervisor, self._counters
        )
        self._audit: DescriptorLeakDetector
        self._admin = AdminServer(self, self._counters)
        self._persistence: StatePersistence | None = None
        if config.state_dir:
            self._persistence = StatePersistence(
                StateFiles(config.state_dir, config.name),
                self._coordinator,
                self._counters,
                self._execute_effects,
                lambda: self._discovery.version,
            )
        self._began = time.monotonic()
        self._learned: Any = None  # what the process before left, until it is taken in
        self._accepting = False
        self._ending: ShutdownTimes | None = None  # once it has begun
        self.closing = False
        self.overloaded = False

    # --- the desk at which clients stand -----------------------------------------------------------

    def is_healthy(self) -> bool:
        return self._coordinator.has_upstreams() and not self.closing

    def serves(self) -> bool:
        """What operators ask before they send the process before this one away."""
        heard = self._discovery.answered or time.monotonic() - self._began > _FIRST_LIST
        return self._accepting and heard and self.is_healthy()

    def cordon(self, who: str, answer: Callable[[CallResult], None]) -> None:
        self._told("cordon", who, self._coordinator.cordon(time.monotonic(), who), answer)

    def uncordon(self, who: str, answer: Callable[[CallResult], None]) -> None:
        self._told("uncordon", who, self._coordinator.uncordon(time.monotonic(), who), answer)

    def _told(
        self, call: str, who: str, effects: Effects | None, answer: Callable[[CallResult], None]
    ) -> None:
        self._counters.log(f"{call} of {who}" + (": nobody has it" if effects is None else ""))
        if effects is None:
            answer(CallResult.UNKNOWN)
            return
        self._counters.add(f"{call}s")
        self._execute_effects(effects)
        if self._persistence is None:
            answer(CallResult.STORED)  # there is no folder, and no process that would read it
            return
        # Before the yes: the next process is bound by it too.
        self._persistence.store(lambda yes: answer(CallResult.STORED if yes else CallResult.NOT_STORED))

    def is_open(self, request_id: str) -> bool:
        return self._coordinator.is_open(request_id)

    def handle_request(
        self, client: ClientConnection, arrived: float, request: Request, outbound: OutboundRequest
    ) -> None:
        """Take a request; its answer goes to the session, perhaps at once."""
        self._executor.expect(request.id, client, outbound)
        self._clients.request_received(client)
        if self._ending is not None:  # it is answered while this process still is
            request.budget = min(request.budget, max(self._ending.answer_by - arrived, 0.02))
        self._execute_effects(self._coordinator.pick(arrived, request))
        if self._ending is not None and request.long:  # its time starts with its last byte, and ends no later
            self._coordinator.limit_deadlines(self._ending.answer_by)
            self._executor.timer.lower()

    def request_body_received(self, request_id: str) -> None:
        self._coordinator.request_body_received(time.monotonic(), request_id)
        self._executor.timer.reset()

    def shed_early(
        self, client: ClientConnection, arrived: float, class_name: str, budget: float
    ) -> float | None:
        wait = self._coordinator.shed_early(arrived, class_name, budget)
        if self._ending is not None and time.monotonic() >= self._ending.take_until:
            wait = self.settings.limits.max_retry_after
        if wait is not None:
            self._clients.request_received(client)
        return wait

    def client_disconnected(self, request_id: str) -> None:
        self._executor.forget(request_id)
        self._execute_effects(self._coordinator.client_disconnected(time.monotonic(), request_id))

    def connection_opened(self, client: ClientConnection) -> None:
        self._counters.add("client_connections")
        self._clients.connection_opened(client, time.monotonic())
        for spare in (0, _SPARE):  # one that is told first goes with the next
            if self._clients.is_over_limit(spare):
                self._make_room(client)

    def is_crowded(self) -> bool:
        return self._clients.is_crowded()

    def connection_closing(self, client: ClientConnection) -> None:
        self._clients.connection_closing(client)

    def connection_closed(self, client: ClientConnection) -> None:
        self._clients.connection_closed(client)

    def _make_room(self, newest: ClientConnection) -> None:
        """Close one connection so that the newest has a place."""
        found = self._clients.select_eviction(newest, time.monotonic())
        if found is newest:
            if not self._clients.is_over_limit(_SPARE):
                return
            self._counters.add("clients_over_limit")
        if not found.ended:
            self._counters.add("clients_evicted")
        if found.evict():
            self.connection_closed(found)

    def _make_room_for_waiting(self) -> None:
        """No client can be accepted for want of descriptors or memory: close what is idle, one connection to
        an upstream and one of a client, since either may be all there is."""
        self._upstream_client.connections.shed_idle()
        found = self._clients.select_eviction_for_backlog(time.monotonic())
        if found is not None:
            self._counters.add("clients_evicted")
            found.abort()
            self.connection_closed(found)

    # --- what the coordinator orders, and is told ----------------------------------------------------------

    def _execute_effects(self, effects: Effects) -> None:
        self._executor.execute(effects)

    def _use_known(self) -> None:
        """Take in the list as last had, and what the process before had learnt of its upstreams; once."""
        known, self._known = self._known, None
        if known is None:
            return
        self._execute_effects(self._coordinator.update_endpoints(time.monotonic(), known, cached=True))
        learned, self._learned = self._learned, None
        if learned is not None:
            self._execute_effects(self._coordinator.restore_learned_state(time.monotonic(), learned))

    def _listed(self, news: EndpointList) -> None:
        self._execute_effects(self._coordinator.update_endpoints(time.monotonic(), news))

    def _list_failed(self) -> None:
        self._execute_effects(self._coordinator.endpoint_watch_failed(time.monotonic()))

    # --- tasks ----------------------------------------------------------------------------------------

    def _beat(self, due: float) -> None:
        """Measure how late the loop runs, which is what every request waits for it, and tell."""
        now = time.monotonic()
        asyncio.get_running_loop().call_later(LAG_SAMPLE_INTERVAL_S, self._beat, now + LAG_SAMPLE_INTERVAL_S)
        self._lag = max(now - due, 0.0)
        self._supervisor.run_guarded("beat", self._tell_lag, now)

    def _tell_lag(self, now: float) -> None:
        self._execute_effects(self._coordinator.sample_lag(now, self._lag))
        self.overloaded = self._coordinator.is_overloaded()

    async def _housekeeping(self) -> None:
        """Look at the connections now and then."""
        guarded = self._supervisor.run_guarded
        looks = 0
        while True:
            await asyncio.sleep(_LOOK)
            looks += 1
            now = time.monotonic()
            for client in self._clients:
                guarded("the look at a client connection", client.check_timeouts, now)
            if looks % _RETIRE == 0:
                guarded("closing idle connections", self._upstream_client.close_expired, now)
            if looks % _AUDIT == 0:
                guarded("audit", self._audit.look)

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
                # What the agent has binds from the first moment on: no request is sent by the old list alone,
                # unless the agent is silent. Until then there is no upstream, and requests are held.
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
                lambda: ClientConnection(self, self._counters),
                self._counters,
                self._make_room_for_waiting,
            )
            clients.open()
            self._accepting = True
            self._audit = DescriptorLeakDetector(
                lambda: self._upstream_client.connections.table,
                self._upstream_client.connections.discard,
                self._others,
                self._counters.add,
                lambda level, text: self._counters.log(text, level),
                time.monotonic,
            )
            self._supervisor.keep_running("housekeeping", self._housekeeping)
            loop.call_later(LAG_SAMPLE_INTERVAL_S, self._beat, time.monotonic() + LAG_SAMPLE_INTERVAL_S)
            while (number := await signals.get()) not in (signal.SIGTERM, signal.SIGINT):
                if number == signal.SIGUSR1:
                    self._dump()
                else:
                    self._supervisor.run_guarded("reload", self._reload)
            signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # for good: the loop lets go of it
            await self._end(clients)
            if self._persistence is not None and self._ending is not None:
                finish = self._persistence.finish
                await self._supervisor.run_guarded_async("the last state", finish, self._ending.exit_by)
            self._supervisor.cancel_all()
        self._dump()

    async def _manage(self, address: tuple[str, int]) -> None:
        """Listen for operators; an address that cannot be had now may come free."""
        while True:
            try:
                await self._admin.listen(address)
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
        self._coordinator.apply_settings(settings)
        self._upstream_client.apply_timeouts(settings.limits.connect_timeout, settings.limits.keepalive)
        self._config, self.settings = config, settings
        self._discovery.pushed = not settings.polls_membership

    async def _end(self, clients: ClientListener) -> None:
        """Graceful shutdown: take requests for a while, answer all that was taken before SIGKILL would come,
        and see that the answers go out."""
        self._counters.log("stopping")
        guarded = self._supervisor.run_guarded
        longest = max(cls.deadline for cls in self.settings.classes)
        shared = self._config.listen_fd >= 0
        # Nothing taken is answered any later, whether it came before or comes now.
        accept = 0.0 if shared else _ACCEPT_ON + _LAST_ACCEPTS
        times = self._ending = ShutdownTimes.plan(time.monotonic(), longest, accept, _HALF_READ)
        guarded("shutdown", self._coordinator.limit_deadlines, times.answer_by)
        self._executor.timer.reset()
        if not shared:
            await asyncio.sleep(_ACCEPT_ON)
        self.closing, self._accepting = True, False
        # What the system has accepted already is ours, where nobody else takes it.
        await self._supervisor.run_guarded_async("closing the listener", clients.close, not shared)
        if not shared:
            await asyncio.sleep(_LAST_ACCEPTS)  # those accepted last may be about to write
        await Shutdown(self, self._supervisor, times, shared).run()
        guarded("closing the operators' listener", self._admin.close)

    def client_connections(self) -> Iterator[ClientConnection]:
        return iter(self._clients)

    def answers_owed(self) -> bool:
        return self._anything_owed()

    def answer_all(self) -> None:
        self._executor.answer_all()

    # --- counters and the audit -----------------------------------------------------------------------

    def _others(self) -> dict[int, str]:
        """The descriptors in use that are no connection to an upstream."""
        known = {client.fd: "client" for client in self._clients}
        known.update(dict.fromkeys(self._discovery.descriptors(), "discovery"))
        known.update(dict.fromkeys(self._admin.descriptors(), "operator"))
        return known

    def _anything_owed(self) -> bool:
        return self._coordinator.unanswered > 0 or any(
            s.busy or s.has_unread_input() or s.has_unwritten_output() for s in self._clients
        )

    def _dump(self) -> None:
        """Print the counters for the operators; a fault in it costs nothing else."""
        self._supervisor.run_guarded("audit", self._audit.look)
        self._supervisor.run_guarded("counters", self._dump_counters)

    def _dump_counters(self) -> None:
        self._counters.dump(
            requests_unanswered=self._coordinator.unanswered,
            balancer_faults=self._coordinator.faults,
            cordoned=len(self._coordinator.cordons.out(time.monotonic())),
            client_connections_open=len(self._clients),
            upstream_connections_open=self._upstream_client.open,
            upstream_connections_idle=self._upstream_client.connections.idle(),
            attempts_waiting=self._upstream_client.connections.waiting(),
            loop_lag_ms=round(self._lag * 1000.0, 1),
            cpu_s=round(time.process_time(), 2),
        )


async def serve(config: Config, listener: socket.socket) -> None:
    """Run one sidecar."""
    await Sidecar(config).run(listener)
