"""The request handler of the process: serves client connections, and evicts some of them over the limit."""

from __future__ import annotations

import time
from collections.abc import Iterator

from indigokeel.balancing.settings import Settings
from indigokeel.metrics import Counters
from indigokeel.net.downstream.client_connection import ClientConnection
from indigokeel.net.downstream.client_registry import ClientRegistry
from indigokeel.net.messages import OutboundRequest
from indigokeel.net.upstream.connection_pool import ConnectionPool
from indigokeel.process.effect_executor import EffectExecutor
from indigokeel.process.settings_history import SettingsHistory
from indigokeel.process.shutdown import ShutdownTimes
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Request

# Part of the reserved descriptors: for new clients while the other clients are busy or have not yet read
# their response.
_SPARE_CONNECTIONS = 12
_MIN_BUDGET_S = 0.02  # of a request that arrives during a shutdown


class RequestService:
    """Implements ``RequestHandler`` with the coordinator, and evicts client connections over the limit."""

    def __init__(
        self,
        settings: Settings,
        coordinator: RequestCoordinator,
        executor: EffectExecutor,
        clients: ClientRegistry[ClientConnection],
        upstream_connections: ConnectionPool,
        counters: Counters,
    ) -> None:
        """Create the request handler of the connections in ``clients``."""
        self._settings = SettingsHistory(settings)
        self.closing = False  # the listener is closing; each connection closes after its next response
        self.overloaded = False  # the event loop lags; requests may be rejected early
        self._coordinator = coordinator
        self._executor = executor
        self._clients = clients
        self._upstream_connections = upstream_connections
        self._counters = counters
        self._shutdown_times: ShutdownTimes | None = None

    # --- settings -------------------------------------------------------------------------------------

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self._settings.current

    def apply_settings(self, now: float, settings: Settings) -> None:
        """Apply settings to the requests that arrive from ``now`` on, in monotonic seconds."""
        for client in self._clients:
            client.record_unread_input(now)
        self._settings.replace(now, settings)

    def settings_for(self, class_name: str, earliest: float, latest: float) -> Settings:
        """Return the settings for a request that arrived between two times, in monotonic seconds."""
        return self._settings.for_class(class_name, earliest, latest)

    # --- requests -------------------------------------------------------------------------------------

    def is_healthy(self) -> bool:
        """Return True if a request could be served."""
        return self._coordinator.has_upstreams() and not self.closing

    def is_open(self, request_id: str) -> bool:
        """Return True if a request with this id is open, or may have run and must not run twice."""
        if self._coordinator.is_open(request_id):
            return True
        return self._coordinator.may_have_run(time.monotonic(), request_id)

    def handle_request(
        self, client: ClientConnection, arrived: float, request: Request, outbound: OutboundRequest
    ) -> None:
        """Serve a request; its final response is passed to ``client``, possibly before this returns."""
        times = self._shutdown_times
        self._executor.register_client(request.id, client, outbound)
        self._clients.request_received(client)
        if times is not None:  # answer it before this process exits
            time_left_s = max(times.answer_by - arrived, _MIN_BUDGET_S)
            request.limited_by_shutdown = time_left_s < request.budget
            request.budget = min(request.budget, time_left_s)
        self._executor.execute(self._coordinator.pick(arrived, request))

    def request_body_sent(self, request_id: str, sent_at: float | None) -> None:
        """Start or suspend the time limit of a request with a streamed body."""
        self._coordinator.request_body_sent(request_id, sent_at)
        self._executor.timer.bring_forward()

    def shed_early(
        self, client: ClientConnection, arrived: float, class_name: str, budget: float
    ) -> float | None:
        """Return the seconds after which a rejected client may retry, or None to accept its request."""
        retry_after = self._coordinator.shed_early(arrived, class_name, budget)
        if self._shutdown_times is not None and time.monotonic() >= self._shutdown_times.reject_after:
            retry_after = self.settings.limits.max_retry_after
        if retry_after is not None:
            self._clients.request_received(client)
        return retry_after

    def client_disconnected(self, request_id: str) -> None:
        """End a request whose client has disconnected."""
        self._executor.unregister_client(request_id)
        self._executor.execute(self._coordinator.client_disconnected(time.monotonic(), request_id))

    # --- client connections ---------------------------------------------------------------------------

    def has_too_many_active_connections(self) -> bool:
        """Return True if there are so many client connections that each closes after its response."""
        return self._clients.has_too_many_active_connections()

    def connection_opened(self, client: ClientConnection) -> None:
        """Register a connection, and evict connections over the limit."""
        self._counters.add("client_connections")
        self._clients.connection_opened(client, time.monotonic())
        # An evicted connection that is sent an error response first stays open for now, so another one is
        # evicted if the spare descriptors are in use as well.
        for spare in (0, _SPARE_CONNECTIONS):
            if self._clients.is_over_limit(spare):
                self._evict_for(client)

    def connection_closing(self, client: ClientConnection) -> None:
        """Record that a connection is only waiting for its peer to close."""
        self._clients.connection_closing(client)

    def connection_closed(self, client: ClientConnection) -> None:
        """Remove a connection."""
        self._clients.connection_closed(client)

    def _evict_for(self, newest: ClientConnection) -> None:
        """Evict one connection to make room for the newest; it may be the newest itself."""
        evicted = self._clients.select_eviction(newest, time.monotonic())
        if evicted is newest:
            if not self._clients.is_over_limit(_SPARE_CONNECTIONS):
                return
            self._counters.add("clients_over_limit")
        if not evicted.ended:
            self._counters.add("clients_evicted")
        if evicted.evict():
            self.connection_closed(evicted)

    def evict_for_backlog(self) -> None:
        """Close one idle client connection and one idle upstream connection.

        Called when no connection can be accepted because descriptors or memory are exhausted.
        """
        self._upstream_connections.shed_unused()
        evicted = self._clients.select_eviction_for_backlog(time.monotonic())
        if evicted is not None:
            self._counters.add("clients_evicted")
            evicted.abort()
            self.connection_closed(evicted)

    # --- shutdown -------------------------------------------------------------------------------------

    def begin_shutdown(self, times: ShutdownTimes) -> None:
        """Limit the deadlines of open and future requests to the times of a shutdown."""
        self._shutdown_times = times
        self._coordinator.limit_deadlines(times.answer_by)

    def client_connections(self) -> Iterator[ClientConnection]:
        """Return all client connections."""
        return iter(self._clients)

    def has_unfinished_work(self) -> bool:
        """Return True if a request is unanswered, input is unread or output is unwritten."""
        if self._coordinator.unanswered > 0:
            return True
        return any(
            client.busy or client.has_unread_input() or client.has_unwritten_output()
            for client in self._clients
        )

    def answer_all(self) -> None:
        """Give every open request its final answer."""
        self._executor.answer_all()
