"""Brings endpoint lists to the coordinator: the cached one of the start, then those of discovery."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from indigokeel.endpoints.endpoint_list import EndpointList
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Effects


class EndpointFeed:
    """Applies each endpoint list, and the cached one at most once."""

    def __init__(self, coordinator: RequestCoordinator, execute: Callable[[Effects], None]) -> None:
        """``execute`` carries out the effects of a list."""
        self._coordinator = coordinator
        self._execute = execute
        self._cached: EndpointList | None = None
        self._learned: Any = None  # what the previous process had learnt; see ``learned_state``

    def set_cached(self, endpoints: EndpointList, learned: Any) -> None:
        """Set the list to start from, and what the previous process had learnt of its upstreams."""
        self._cached = endpoints
        self._learned = learned

    def apply_cached(self) -> None:
        """Apply the cached list, unless it was applied before."""
        cached = self._cached
        if cached is None:
            return
        self._cached = None
        self._execute(self._coordinator.update_endpoints(time.monotonic(), cached, cached=True))
        learned = self._learned
        self._learned = None
        if learned is not None:
            self._execute(self._coordinator.restore_learned_state(time.monotonic(), learned))

    def apply(self, update: EndpointList) -> None:
        """Apply a list of discovery."""
        self._execute(self._coordinator.update_endpoints(time.monotonic(), update))

    def watch_failed(self) -> None:
        """Record that a call to discovery failed, or that a watch has ended."""
        self._execute(self._coordinator.endpoint_watch_failed(time.monotonic()))
