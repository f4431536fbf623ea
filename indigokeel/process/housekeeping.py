"""Periodic checks of connections: time-outs of clients, idle connections to upstreams, leaked descriptors."""

from __future__ import annotations

import asyncio
import time

from indigokeel.net.downstream.client_connection import ClientConnection
from indigokeel.net.downstream.client_registry import ClientRegistry
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.net.upstream.descriptor_audit import DescriptorLeakDetector
from indigokeel.process.standstill import StandstillWatch
from indigokeel.process.supervision import Supervisor

_CHECK_INTERVAL_S = 0.2
_CHECKS_PER_EXPIRY = 5  # checks between two of idle connections to upstreams
_CHECKS_PER_AUDIT = 25  # checks between two of the descriptors


class Housekeeping:
    """Runs the checks, each by itself: one that raises keeps no other from running."""

    def __init__(
        self,
        clients: ClientRegistry[ClientConnection],
        upstream_client: UpstreamClient,
        leak_detector: DescriptorLeakDetector,
        standstill_watch: StandstillWatch,
        supervisor: Supervisor,
    ) -> None:
        """Create the checks of these connections."""
        self._clients = clients
        self._upstream_client = upstream_client
        self._leak_detector = leak_detector
        self._standstill_watch = standstill_watch
        self._supervisor = supervisor

    async def run(self) -> None:
        """Check until cancelled."""
        guarded = self._supervisor.run_guarded
        guarded("standstill watch", self._standstill_watch.start)
        try:
            await self._check_steadily()
        finally:
            guarded("standstill watch", self._standstill_watch.stop)

    async def _check_steadily(self) -> None:
        guarded = self._supervisor.run_guarded
        checks = 0
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            checks += 1
            now = time.monotonic()
            guarded("standstill watch", self._standstill_watch.progress)
            for client in self._clients:
                guarded("the check of a client connection", client.check_timeouts, now)
            if checks % _CHECKS_PER_EXPIRY == 0:
                guarded("closing idle connections", self._upstream_client.close_expired, now)
            if checks % _CHECKS_PER_AUDIT == 0:
                guarded("descriptor audit", self._leak_detector.look)
