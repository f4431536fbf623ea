"""Handles operators' calls to the admin server: health, cordon and uncordon."""

from __future__ import annotations

import time
from collections.abc import Callable

from indigokeel.metrics import Counters
from indigokeel.net.admin import CallResult
from indigokeel.net.discovery import DiscoveryClient
from indigokeel.process.effect_executor import EffectExecutor
from indigokeel.process.request_service import RequestService
from indigokeel.process.state_persistence import StatePersistence
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Effects

FIRST_LIST_TIMEOUT_S = 1.5  # after that a new process serves even if discovery has not answered


class AdminService:
    """Implements the admin server's ``AdminHandler``."""

    def __init__(
        self,
        coordinator: RequestCoordinator,
        executor: EffectExecutor,
        requests: RequestService,
        discovery: DiscoveryClient,
        persistence: StatePersistence | None,
        counters: Counters,
    ) -> None:
        """Create the handler; without ``persistence`` cordons are kept in this process only."""
        self.accepting = False  # client connections are accepted
        self._coordinator = coordinator
        self._executor = executor
        self._requests = requests
        self._discovery = discovery
        self._persistence = persistence
        self._counters = counters
        self._started_at = time.monotonic()

    def is_ready(self) -> bool:
        """Return True if this process can replace the previous one, which may then be stopped."""
        waited = time.monotonic() - self._started_at
        has_list = self._discovery.answered or waited > FIRST_LIST_TIMEOUT_S
        return self.accepting and has_list and self._requests.is_healthy()

    def cordon(self, upstream: str, answer: Callable[[CallResult], None]) -> None:
        """Cordon an upstream; ``answer`` is called once the cordon is stored or that has failed."""
        self._answer_call("cordon", upstream, self._coordinator.cordon(time.monotonic(), upstream), answer)

    def uncordon(self, upstream: str, answer: Callable[[CallResult], None]) -> None:
        """Uncordon an upstream; ``answer`` is called once the change is stored or that has failed."""
        effects = self._coordinator.uncordon(time.monotonic(), upstream)
        self._answer_call("uncordon", upstream, effects, answer)

    def _answer_call(
        self, call: str, upstream: str, effects: Effects | None, answer: Callable[[CallResult], None]
    ) -> None:
        if effects is None:
            self._counters.log(f"{call} rejected: unknown upstream {upstream}")
            answer(CallResult.UNKNOWN)
            return
        self._counters.log(f"{call} of {upstream}")
        self._counters.add(f"{call}s")
        self._executor.execute(effects)
        if self._persistence is None:  # there is no state folder, so no other process could read the cordon
            answer(CallResult.STORED)
            return
        # The cordon is stored before the call is answered, because it applies to the next process too.
        self._persistence.store_cordons(
            lambda stored: answer(CallResult.STORED if stored else CallResult.NOT_STORED)
        )
