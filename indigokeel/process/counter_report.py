"""Prints the counters and the current state of the process for operators."""

from __future__ import annotations

import time

from indigokeel.metrics import Counters
from indigokeel.net.downstream.client_connection import ClientConnection
from indigokeel.net.downstream.client_registry import ClientRegistry
from indigokeel.net.memory_account import MemoryAccount
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.process.lag_monitor import LagMonitor
from indigokeel.requests.coordinator import RequestCoordinator


class CounterReport:
    """One line of JSON with all counters and current figures of the process."""

    def __init__(
        self,
        counters: Counters,
        coordinator: RequestCoordinator,
        clients: ClientRegistry[ClientConnection],
        upstream_client: UpstreamClient,
        lag_monitor: LagMonitor,
        memory: MemoryAccount,
    ) -> None:
        """Create a report on these components."""
        self._counters = counters
        self._coordinator = coordinator
        self._clients = clients
        self._upstream_client = upstream_client
        self._lag_monitor = lag_monitor
        self._memory = memory

    def print(self) -> None:
        """Print the line to standard error."""
        connections = self._upstream_client.connections
        self._counters.dump(
            requests_unanswered=self._coordinator.unanswered,
            balancer_faults=self._coordinator.faults,
            ticks_cut_short=self._coordinator.ticks_cut_short,
            cordoned=len(self._coordinator.cordons.active_records(time.monotonic())),
            client_connections_open=len(self._clients),
            upstream_connections_open=self._upstream_client.open_connections,
            upstream_connections_idle=connections.idle_count(),
            attempts_waiting=connections.waiter_count(),
            memory_held_bytes=self._memory.used_bytes,
            loop_lag_ms=round(self._lag_monitor.lag_s * 1000.0, 1),
            cpu_s=round(time.process_time(), 2),
        )
