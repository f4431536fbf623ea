"""Reloads the configuration file: settings and discovery address change together, or not at all."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass

from indigokeel.balancing.settings import Settings
from indigokeel.config import Config, ConfigError, reload_config
from indigokeel.metrics import Counters
from indigokeel.net.discovery import DiscoveryClient
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.process.request_service import RequestService
from indigokeel.process.supervision import Supervisor
from indigokeel.requests.coordinator import RequestCoordinator


@dataclass(frozen=True, slots=True)
class ReloadTargets:
    """The components of the process to which new settings are applied."""

    coordinator: RequestCoordinator
    requests: RequestService
    upstream_client: UpstreamClient
    discovery: DiscoveryClient

    def apply(self, settings: Settings) -> None:
        """Apply settings to all components; raise ValueError if they are invalid."""
        limits = settings.limits
        self.coordinator.apply_settings(settings)
        self.upstream_client.apply_timeouts(limits.connect_timeout, limits.keepalive)
        self.requests.apply_settings(time.monotonic(), settings)
        self.discovery.pushed = not settings.polls_membership


class ConfigReloader:
    """Holds the configuration in force, and replaces it on a reload."""

    def __init__(
        self, config: Config, targets: ReloadTargets, supervisor: Supervisor, counters: Counters
    ) -> None:
        """``config`` is the configuration with which the process was started."""
        self.config = config
        self._targets = targets
        self._supervisor = supervisor
        self._counters = counters

    def reload(self) -> None:
        """Read and apply the configuration file, or log why the configuration stays unchanged."""
        try:
            config = reload_config(os.environ, self.config)
        except ConfigError as error:
            self._counters.add("reloads_failed")
            self._counters.log(f"reload rejected, the configuration is unchanged: {error}", "warning")
            return
        previous = self.config
        try:
            self._apply(config)
        except Exception as error:  # undo what was applied before the exception
            self._counters.add("reloads_failed")
            self._supervisor.record_fault("reload", error)
            self._apply(previous)
            return
        self._counters.add("reloads")
        names = ", ".join(cls.name for cls in config.settings.classes)
        self._counters.log(f"configuration reloaded: classes {names}")
        self._supervisor.keep_running(
            "move of the watch", self._targets.discovery.change_address, config.discovery
        )

    def _apply(self, config: Config) -> None:
        self._targets.apply(config.settings)
        self.config = config
