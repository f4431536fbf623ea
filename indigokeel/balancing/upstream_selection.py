"""Selection of the upstream for each attempt of a request (docs/design.md)."""

from __future__ import annotations

from random import Random

from indigokeel.balancing import retry_policy, slow_start
from indigokeel.balancing.rejection_sampling import RejectionSampler
from indigokeel.balancing.request_state import RequestState
from indigokeel.balancing.settings import DeduplicationScope, Settings
from indigokeel.balancing.subsetting import Subset
from indigokeel.balancing.upstream_registry import UpstreamRegistry
from indigokeel.balancing.upstream_state import REPORT_WINDOW_S, UpstreamState
from indigokeel.balancing.weighted_selection import WeightedSelection

RETRY_SAMPLE_SIZE = 32  # random candidates for a further attempt, where the pool is larger
# Share of a request's remaining time that the requests in flight at an upstream may take.
IN_FLIGHT_TIME_RATIO = 0.5
# Consecutive requests of a class that are rejected for lack of capacity. The next one is sent all the same,
# to measure the current latency of the class.
MAX_CONSECUTIVE_REJECTIONS = 20
MIN_IN_FLIGHT_LIMIT = 2.0  # requests that may be in flight at an upstream, however little time is left


class UpstreamSelector:
    """Selects upstreams for first and further attempts."""

    def __init__(
        self,
        settings: Settings,
        registry: UpstreamRegistry,
        subset: Subset,
        selection: WeightedSelection,
        sampler: RejectionSampler,
        random: Random,
    ) -> None:
        self._registry = registry
        self._subset = subset
        self._selection = selection
        self._sampler = sampler
        self._random = random
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._safety = settings.safety

    def select(self, now: float, request: RequestState) -> UpstreamState | None:
        """Return an upstream for the next attempt, or None if no upstream may receive it."""
        if request.attempts:
            return self._select_for_further_attempt(now, request)
        return self._select_for_first_attempt(now, request)

    def _select_for_first_attempt(self, now: float, request: RequestState) -> UpstreamState | None:
        key = request.key
        pool = self._subset.key_window(now, key) if key else self._subset.refresh(now)
        usable = [u for u in pool if u.ejected_until <= now] or self._registry.all_serving()
        if not usable:
            return None
        if not key and self._sampler.has_members():
            upstream = self._sampler.choose(now)
        else:
            upstream = self._selection.choose(now, usable, key)
        if upstream is None or _has_capacity(now, upstream, request):
            return upstream
        with_capacity = [u for u in usable if u.warm_up_weight >= 1.0 and _has_capacity(now, u, request)]
        if with_capacity:
            return self._selection.choose(now, with_capacity, key)
        request.class_statistics.consecutive_rejections += 1
        return (
            upstream if request.class_statistics.consecutive_rejections > MAX_CONSECUTIVE_REJECTIONS else None
        )

    def _select_for_further_attempt(self, now: float, request: RequestState) -> UpstreamState | None:
        """Select an upstream that this request has not tried and that is not warming up.

        Requests that failed on warm upstreams must not be redirected to those with the least capacity.
        """
        pool = self._retry_pool(now, request)
        if len(pool) > RETRY_SAMPLE_SIZE:
            sampled = self._random.sample(pool, RETRY_SAMPLE_SIZE)
            usable = [u for u in sampled if self._may_get_further_attempt(now, u, request)]
            if usable:
                return self._selection.choose(now, usable, request.key)
        usable = [u for u in pool if self._may_get_further_attempt(now, u, request)]
        return self._selection.choose(now, usable, request.key) if usable else None

    def _retry_pool(self, now: float, request: RequestState) -> list[UpstreamState]:
        executed = request.first_possible_execution()
        if executed is None:
            return self._subset.refresh(now)
        pool = self._registry.all_serving()
        if request.class_settings.deduplication_scope is not DeduplicationScope.REPLICA_GROUP:
            return pool
        group = self._registry.serving_in_group(executed.member.replica_group)
        return pool if group is None else group

    def _may_get_further_attempt(self, now: float, upstream: UpstreamState, request: RequestState) -> bool:
        return (
            all(attempt.upstream is not upstream for attempt in request.attempts)
            and retry_policy.deduplicates(request, upstream.member)
            and upstream.ejected_until <= now
            and slow_start.warm_up_weight(self._safety, upstream.member.started, now) >= 1.0
            and _has_capacity(now, upstream, request)
        )


def _has_capacity(now: float, upstream: UpstreamState, request: RequestState) -> bool:
    """Return whether so few requests are in flight at an upstream that one more is served in time.

    Those are the requests of other sidecars, as of its last load report, and this sidecar's open attempts.
    """
    if now - upstream.load_reported_at > REPORT_WINDOW_S:
        return True
    usual_latency_s = request.class_statistics.usual_latency_s
    limit = IN_FLIGHT_TIME_RATIO * (request.latest_useful_at - now) / usual_latency_s
    return upstream.other_in_flight + upstream.open_attempts < max(limit, MIN_IN_FLIGHT_LIMIT)
