"""Passes endpoint lists to the coordinator: the cached one at startup, then those of discovery."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from indigokeel.endpoints.endpoint_list import EndpointList
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Effects


class EndpointFeed:
    """Applies each endpoint list of discovery, and the cached list at most once."""

    def __init__(self, coordinator: RequestCoordinator, execute: Callable[[Effects], None]) -> None:
        """``execute`` carries out the effects of applying a list."""
        self._coordinator = coordinator
        self._execute = execute
        self._cached: EndpointList | None = None
        self._learned: Any = None  # learned state of the previous process; see ``learned_state``

    def set_cached(self, endpoints: EndpointList, learned: Any) -> None:
        """Set the list to start with, and the learned state of the previous process."""
        self._cached = endpoints
        self._learned = learned

    def apply_cached(self) -> None:
        """Apply the cached list, unless it has been applied already."""
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
        """Apply a list from discovery."""
        self._execute(self._coordinator.update_endpoints(time.monotonic(), update))

    def watch_failed(self) -> None:
        """Record that a call to discovery has failed or that a watch has ended."""
        self._execute(self._coordinator.endpoint_watch_failed(time.monotonic()))
