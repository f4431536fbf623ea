"""Periodic checks: client time-outs, idle upstream connections and leaked descriptors."""

from __future__ import annotations

import asyncio
import time

from indigokeel.net.downstream.client_connection import ClientConnection
from indigokeel.net.downstream.client_registry import ClientRegistry
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.net.upstream.descriptor_audit import DescriptorLeakDetector
from indigokeel.process.event_loop_watchdog import EventLoopWatchdog
from indigokeel.process.memory_log import MemoryLog
from indigokeel.process.supervision import Supervisor

_CHECK_INTERVAL_S = 0.2
_CHECKS_PER_EXPIRY = 5  # number of checks per sweep of idle upstream connections
_CHECKS_PER_AUDIT = 25  # number of checks per descriptor audit
_CHECKS_PER_MEMORY_LOG = 25  # number of checks per log line about memory


class Housekeeping:
    """Runs the checks; an exception in one does not keep the others from running."""

    def __init__(
        self,
        clients: ClientRegistry[ClientConnection],
        upstream_client: UpstreamClient,
        leak_detector: DescriptorLeakDetector,
        watchdog: EventLoopWatchdog,
        memory_log: MemoryLog,
        supervisor: Supervisor,
    ) -> None:
        """Create the checks of these connections; nothing runs before ``run``."""
        self._clients = clients
        self._upstream_client = upstream_client
        self._leak_detector = leak_detector
        self._watchdog = watchdog
        self._memory_log = memory_log
        self._supervisor = supervisor

    async def run(self) -> None:
        """Run the checks periodically until cancelled."""
        guarded = self._supervisor.run_guarded
        guarded("event loop watchdog", self._watchdog.start)
        try:
            await self._check_periodically()
        finally:
            guarded("event loop watchdog", self._watchdog.stop)

    async def _check_periodically(self) -> None:
        guarded = self._supervisor.run_guarded
        checks = 0
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            checks += 1
            now = time.monotonic()
            guarded("event loop watchdog", self._watchdog.reset)
            for client in self._clients:
                guarded("checking a client connection", client.check_timeouts, now)
            if checks % _CHECKS_PER_EXPIRY == 0:
                guarded("closing idle connections", self._upstream_client.close_expired, now)
            if checks % _CHECKS_PER_AUDIT == 0:
                guarded("descriptor audit", self._leak_detector.run_audit)
            if checks % _CHECKS_PER_MEMORY_LOG == 0:
                guarded("memory log", self._memory_log.write)
