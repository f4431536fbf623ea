"""Measures the event loop lag, by which every request is delayed."""

from __future__ import annotations

import asyncio
import time

from indigokeel.balancing.events import LAG_SAMPLE_INTERVAL_S
from indigokeel.process.effect_executor import EffectExecutor
from indigokeel.process.request_service import RequestService
from indigokeel.process.supervision import Supervisor
from indigokeel.requests.coordinator import RequestCoordinator


class LagMonitor:
    """Samples the lag periodically, and sets ``RequestService.overloaded``."""

    def __init__(
        self,
        coordinator: RequestCoordinator,
        executor: EffectExecutor,
        requests: RequestService,
        supervisor: Supervisor,
    ) -> None:
        """Create a monitor that is not running yet."""
        self.lag_s = 0.0  # of the latest sample
        self._coordinator = coordinator
        self._executor = executor
        self._requests = requests
        self._supervisor = supervisor

    def start(self) -> None:
        """Start taking samples."""
        self._schedule_sample(time.monotonic())

    def _schedule_sample(self, now: float) -> None:
        due_at = now + LAG_SAMPLE_INTERVAL_S
        asyncio.get_running_loop().call_later(LAG_SAMPLE_INTERVAL_S, self._sample, due_at)

    def _sample(self, due_at: float) -> None:
        now = time.monotonic()
        self._schedule_sample(now)
        self.lag_s = max(now - due_at, 0.0)
        self._supervisor.run_guarded("lag sample", self._report, now)

    def _report(self, now: float) -> None:
        self._executor.execute(self._coordinator.sample_lag(now, self.lag_s))
        self._requests.overloaded = self._coordinator.is_overloaded()
