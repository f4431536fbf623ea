"""Decodes the settings object, which the platform passes to a process and the simulator to an instance.

Unknown keys are ignored; a missing key has the default that the protocol defines.
"""

from __future__ import annotations

from typing import Any

from indigokeel.balancing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    Limits,
    LoadReportSource,
    Prices,
    Safety,
    Settings,
    TenantSettings,
)
from indigokeel.config.field_reader import FieldReader

_LOAD_REPORT_SOURCES = {
    "answers": LoadReportSource.ANSWERS,
    "probe": LoadReportSource.HEALTH_CHECKS,
    "none": LoadReportSource.NONE,
}
# Values of ``weights`` with which the weight of an upstream is its capacity.
_CAPACITY_WEIGHTS = ("nominal", "rough")


def decode_settings(data: Any) -> Settings:
    """Decode the settings object; raise SettingsError, which names the field, if it is invalid."""
    settings = FieldReader(data)
    limits = settings.object("limits")
    safety = settings.object("safety")
    prices = settings.object("prices")
    return Settings(
        classes=tuple(_decode_class(item) for item in settings.objects("classes", required=True)),
        instance_index=settings.integer("me", 0),
        sidecars=settings.integer("balancers", 1),
        zone=settings.read("zone", str, ""),
        tenants=tuple(_decode_tenant(item) for item in settings.objects("tenants")),
        limits=_decode_limits(limits),
        safety=_decode_safety(safety),
        prices=_decode_prices(prices),
        load_report_source=settings.object("telemetry").read(
            "how", _LOAD_REPORT_SOURCES.__getitem__, LoadReportSource.NONE
        ),
        polls_membership=settings.read("membership-mode", str, "") == "on_request",
        scale_is_capacity=settings.read("weights", str, "") in _CAPACITY_WEIGHTS,
        key_affinity=settings.object("specifics").flag("warm-keys"),
        weight_by_work=settings.read("counted-by", str, "") == "work",
        over_quota_weight=settings.number("over-share-worth", 1.0),
    )


def _decode_class(item: FieldReader) -> ClassSettings:
    return ClassSettings(
        name=item.text("name"),
        latency_objective=item.number("objective-s"),
        deadline=item.number("deadline-s"),
        idempotency=item.read("effect", Idempotency),
        deduplication_scope=item.read("group", DeduplicationScope, DeduplicationScope.ALL),
        idempotency_window=item.number("repeat-window-s", 0.0),
        priority_weight=item.number("importance", 1.0),
        late_weight=item.number("late-worth", 0.0),
        streaming=item.flag("streaming"),
        objective_stretch=item.number("aim-stretch", 0.0),
    )


def _decode_tenant(item: FieldReader) -> TenantSettings:
    return TenantSettings(
        name=item.text("name"),
        share=item.number("share", 0.0),
        quota=item.number("quota-per-s", 0.0),
    )


def _decode_limits(limits: FieldReader) -> Limits:
    return Limits(
        cancellation=limits.flag("cancelling"),
        hedging=limits.flag("second-copies"),
        health_checks=limits.flag("probes"),
        max_attempts=limits.integer("max-attempts", 1),
        connect_timeout=limits.number("connect-timeout-s", 0.25),
        keepalive=limits.number("keepalive-s", 15.0),
        retry_after=limits.flag("retry-after"),
        max_retry_after=limits.number("max-retry-after-s", 0.0),
        max_open_requests=limits.integer("max-open", 20_000),
    )


def _decode_safety(safety: FieldReader) -> Safety:
    return Safety(
        poll_within=safety.number("ask-within-s", 10.0),
        warm_up_initial_ratio=safety.number("cold-from", 0.3),
        warm_up_time=safety.number("warm-within-s", 10.0),
        drain_grace=safety.number("drain-grace-s", 1.0),
        overload_multiple=safety.number("tip-multiple", 3.0),
        overload_window=safety.number("overload-for-s", 2.0),
    )


def _decode_prices(prices: FieldReader) -> Prices:
    return Prices(
        cross_zone=prices.number("cross-zone", 0.0),
        health_check=prices.number("probe", 0.0),
        handshake=prices.number("handshake", 0.0),
        connection=prices.number("connection", 0.0),
    )
