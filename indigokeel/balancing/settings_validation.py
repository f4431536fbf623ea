"""Validation of the settings."""

from __future__ import annotations

from indigokeel.balancing.settings import Settings


def validate_settings(settings: Settings) -> None:
    """Raise ValueError, naming the key of the settings, if a value is out of range."""
    names = {cls.name for cls in settings.classes}
    _require(len(names) == len(settings.classes) > 0, "classes")
    _require(settings.sidecars >= 1, "balancers")
    _require(settings.instance_index >= 0, "me")
    for cls in settings.classes:
        _require(cls.latency_objective > 0.0, f"classes[{cls.name}].objective-s")
        _require(cls.deadline > 0.0, f"classes[{cls.name}].deadline-s")
        _require(cls.idempotency_window >= 0.0, f"classes[{cls.name}].repeat-window-s")
    _require(settings.limits.max_attempts >= 1, "limits.max-attempts")
    _require(0.0 < settings.safety.warm_up_initial_ratio <= 1.0, "safety.cold-from")
    _require(settings.safety.warm_up_time >= 0.0, "safety.warm-within-s")
    _require(settings.safety.drain_grace >= 0.0, "safety.drain-grace-s")
    _require(settings.safety.poll_within > 0.0, "safety.ask-within-s")


def _require(valid: bool, key: str) -> None:
    if not valid:
        raise ValueError(f"settings: {key} is out of range")
