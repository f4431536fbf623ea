"""Load shedding: reject requests on arrival when the fleet fails to respond in time."""

from __future__ import annotations

import math
from random import Random

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import LogMessage
from indigokeel.balancing.class_statistics import ARRIVAL_COUNT_TIME_CONSTANT_S
from indigokeel.balancing.fair_share import reduce_to_fair_share
from indigokeel.balancing.request_mix import MAX_REJECTED_RATIO, RequestMix
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.statistics import DecayingSum
from indigokeel.balancing.traffic_statistics import TrafficStatistics

UPDATE_INTERVAL_S = 0.25
MAX_LATE_RATIO = 0.2  # late responses per timely one; requests are shed above this ratio
MIN_LATE_COUNT = 2.0  # late responses in excess of that ratio before any request is shed
ADMITTED_DECREASE = 0.85  # factor of the admitted ratio at each update while too many responses are late
ADMITTED_INCREASE = 0.04  # added to the admitted ratio at each other update


class _TenantState:
    """The arrivals of one tenant, and the fraction of its requests that is shed, by class."""

    __slots__ = ("arrivals", "shed_ratios")

    def __init__(self) -> None:
        self.arrivals = DecayingSum(ARRIVAL_COUNT_TIME_CONSTANT_S)
        self.shed_ratios: dict[str, float] = {}


class LoadShedding:
    """Decides which requests are rejected because too many responses are late.

    Only late responses count: errors of upstreams do not indicate overload, and repeats of rejected requests
    must not count as load.
    """

    def __init__(
        self,
        settings: Settings,
        mix: RequestMix,
        traffic: TrafficStatistics,
        random: Random,
        sink: ActionSink,
    ) -> None:
        self._mix = mix
        self._traffic = traffic
        self._random = random
        self._sink = sink
        self._admitted_ratio = 1.0
        self._next_update_at = -math.inf
        self._is_shedding = False
        self._tenants: dict[str, _TenantState] = {}
        self._other_tenants = _TenantState()  # all tenants without a quota, counted as one
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; tenants that remain configured keep their statistics."""
        self._quotas = {tenant.name: tenant.quota for tenant in settings.tenants if tenant.quota > 0.0}
        self._tenants = {name: self._tenants.get(name) or _TenantState() for name in self._quotas}
        self._protects_quotas = settings.over_quota_weight < 1.0

    def record_arrival(self, now: float, tenant: str) -> None:
        """Count a request of a tenant, and update the shed ratios if an update is due."""
        self._tenants.get(tenant, self._other_tenants).arrivals.add(now, 1.0)
        if now >= self._next_update_at:
            self._next_update_at = now + UPDATE_INTERVAL_S
            self._update_admitted_ratio(now)
            self._update_shed_ratios(now, 1.0 - self._admitted_ratio)
            self._log_change()

    def should_reject(self, tenant: str, class_name: str) -> bool:
        """Decide at random, by the shed ratio, whether to reject a request."""
        ratios = self._tenants.get(tenant, self._other_tenants).shed_ratios
        return self._random.random() < ratios.get(class_name, 0.0)

    def _update_admitted_ratio(self, now: float) -> None:
        allowed = MAX_LATE_RATIO * self._traffic.timely_count(now) + MIN_LATE_COUNT
        if self._traffic.late_count(now) > allowed:
            self._admitted_ratio = max(self._admitted_ratio * ADMITTED_DECREASE, 1.0 - MAX_REJECTED_RATIO)
        else:
            self._admitted_ratio = min(self._admitted_ratio + ADMITTED_INCREASE, 1.0)

    def _update_shed_ratios(self, now: float, excess: float) -> None:
        for tenant, tenant_ratio in self._tenant_rejection_ratios(now, excess):
            class_ratios = self._mix.rejection_ratios(now, tenant_ratio)
            tenant.shed_ratios = {statistics.name: ratio for statistics, ratio in class_ratios}

    def _tenant_rejection_ratios(self, now: float, excess: float) -> list[tuple[_TenantState, float]]:
        """Return the fraction of each tenant's requests to reject so that ``excess`` of all requests are.

        Requests of the tenants with the most arrivals relative to their quota are rejected first.
        """
        tenants = list(self._tenants.values())
        if not self._protects_quotas:
            return [(tenant, excess) for tenant in (*tenants, self._other_tenants)]
        counts = [tenant.arrivals.value(now) for tenant in tenants]
        kept = reduce_to_fair_share(counts, list(self._quotas.values()), excess * sum(counts))
        ratios = [
            1.0 - rest / count if count > 0.0 else 0.0 for count, rest in zip(counts, kept, strict=True)
        ]
        return [(self._other_tenants, excess), *zip(tenants, ratios, strict=True)]

    def _log_change(self) -> None:
        is_shedding = self._admitted_ratio < 1.0
        if is_shedding != self._is_shedding:
            self._is_shedding = is_shedding
            self._sink.add(LogMessage("shedding load" if is_shedding else "shedding ends"))
