"""Health checks: request load reports from upstreams whose responses do not carry them."""

from __future__ import annotations

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import SendHealthCheck
from indigokeel.balancing.events import AttemptOutcome, HealthCheckEnded
from indigokeel.balancing.outlier_ejection import OutlierEjection
from indigokeel.balancing.settings import LoadReportSource, Settings
from indigokeel.balancing.subsetting import Subset
from indigokeel.balancing.upstream_registry import UpstreamRegistry

INITIAL_TOKENS = 8.0  # health checks allowed right after a start, one with each request
CHECKS_PER_REQUEST = 0.25
MAX_COST_RATIO = 0.002  # of the total value; the most that health checks may cost
MIN_PRICE = 1e-9


class HealthChecks:
    """Sends health checks in proportion to this sidecar's traffic, and records their results."""

    def __init__(
        self,
        settings: Settings,
        registry: UpstreamRegistry,
        subset: Subset,
        ejection: OutlierEjection,
        sink: ActionSink,
    ) -> None:
        self._registry = registry
        self._subset = subset
        self._ejection = ejection
        self._sink = sink
        self._tokens = INITIAL_TOKENS
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        is_source = settings.load_report_source is LoadReportSource.HEALTH_CHECKS
        self._is_enabled = is_source and settings.limits.health_checks
        price = max(settings.prices.health_check, MIN_PRICE)
        self._tokens_per_request = min(CHECKS_PER_REQUEST, MAX_COST_RATIO / price)

    def send_if_due(self, now: float) -> None:
        """Count a request, and send a health check if one is due.

        It goes to the warm upstream of the subset whose last check is the oldest.
        """
        if not self._is_enabled:
            return
        self._tokens += self._tokens_per_request
        if self._tokens < 1.0:
            return
        self._tokens -= 1.0
        candidates = [
            u for u in self._subset.refresh(now) if not u.health_check_pending and u.warm_up_weight >= 1.0
        ]
        if candidates:
            upstream = min(candidates, key=lambda u: u.health_checked_at)
            upstream.health_check_pending = True
            upstream.health_checked_at = now
            self._sink.add(SendHealthCheck(upstream.member.id))

    def record_result(self, now: float, event: HealthCheckEnded) -> None:
        """Record the load report or the failure of a health check."""
        upstream = self._registry.upstreams.get(event.upstream)
        if upstream is None:
            return
        upstream.health_check_pending = False
        if event.outcome is AttemptOutcome.OK:
            if event.load is not None:
                upstream.record_load_report(now, event.load)
        elif event.outcome not in (AttemptOutcome.REJECTED, AttemptOutcome.NOT_SENT):
            self._ejection.record_failure(now, upstream)
