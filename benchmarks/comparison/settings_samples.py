"""Handwritten settings objects: every key that is read, with various values, and some invalid ones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from benchmarks.comparison.program import BASIC_SETTINGS


@dataclass(frozen=True, slots=True)
class Sample:
    """A settings object and its name."""

    name: str
    settings: Any


_MINIMAL_CLASS = {"name": "view", "objective-s": 0.6, "deadline-s": 1.2, "effect": "safe"}

_FULL_CLASSES = [
    {
        "name": "order",
        "objective-s": 0.25,
        "deadline-s": 1.75,
        "effect": "keyed",
        "group": "cell",
        "repeat-window-s": 4.5,
        "importance": 3.5,
        "late-worth": 0.125,
        "streaming": True,
        "aim-stretch": 0.75,
    },
    {"name": "status", "objective-s": 0.5, "deadline-s": 1, "effect": "unsafe", "group": "all"},
    {
        "name": "tile",
        "objective-s": 1,
        "deadline-s": 2,
        "effect": "safe",
        "importance": 7,
        "streaming": False,
    },
]

_FULL_SETTINGS: dict[str, Any] = {
    "classes": _FULL_CLASSES,
    "me": 3,
    "balancers": 11,
    "zone": "north",
    "tenants": [
        {"name": "one", "share": 0.625, "quota-per-s": 40.5},
        {"name": "two", "share": 0.375},
        {"name": "three"},
    ],
    "limits": {
        "cancelling": True,
        "second-copies": True,
        "probes": True,
        "max-attempts": 6,
        "connect-timeout-s": 0.125,
        "keepalive-s": 12.5,
        "retry-after": True,
        "max-retry-after-s": 2.25,
        "max-open": 1234,
    },
    "safety": {
        "ask-within-s": 8.5,
        "cold-from": 0.15,
        "warm-within-s": 24.5,
        "drain-grace-s": 2.125,
        "tip-multiple": 4.25,
        "overload-for-s": 1.0625,
    },
    "prices": {"cross-zone": 0.01, "probe": 0.0018, "handshake": 0.002, "connection": 0.003},
    "telemetry": {"how": "probe", "columns": ["rif", "busy", "lat_ms", "rate"]},
    "membership-mode": "on_request",
    "weights": "rough",
    "specifics": {"warm-keys": True},
    "counted-by": "work",
    "over-share-worth": 0.05,
}


def _settings_with(**changes: Any) -> dict[str, Any]:
    """Return the sample with every key, with other values for these top-level keys."""
    return {**_FULL_SETTINGS, **{key.replace("_", "-"): value for key, value in changes.items()}}


def _settings_without(key: str) -> dict[str, Any]:
    return {name: value for name, value in _FULL_SETTINGS.items() if name != key}


def _class_with(**changes: Any) -> dict[str, Any]:
    changed = {key.replace("_", "-"): value for key, value in changes.items()}
    return {"classes": [{**_MINIMAL_CLASS, **changed}]}


SAMPLES = (
    Sample("minimal", {"classes": [_MINIMAL_CLASS]}),
    Sample("no classes", {"classes": []}),
    Sample("basic", BASIC_SETTINGS),
    Sample("every key", _FULL_SETTINGS),
    *(Sample(f"every key except {key}", _settings_without(key)) for key in _FULL_SETTINGS),
    *(Sample(f"null for {key}", _settings_with(**{key: None})) for key in _FULL_SETTINGS),
    Sample("unknown keys", _settings_with(other={"a": 1}, limits={"other": 2, "max-attempts": 2})),
    Sample("pushed lists", _settings_with(membership_mode="push")),
    Sample("answers", _settings_with(telemetry={"how": "answers"})),
    Sample("no reports", _settings_with(telemetry={"how": "none"})),
    Sample("nominal weights", _settings_with(weights="nominal")),
    Sample("no weights", _settings_with(weights="none")),
    Sample("counted by request", _settings_with(counted_by="request")),
    Sample("other types for numbers", _class_with(objective_s=1, deadline_s="2.5", importance=True)),
    Sample(
        "strings for numbers and numbers for strings",
        _settings_with(balancers="4", zone=7, over_share_worth="0.5"),
    ),
    Sample("no warm keys", _settings_with(specifics={"warm-keys": False})),
    Sample("name not in ASCII", _class_with(name="l\u00e9arsc\u00e1il")),
    Sample("not an object", []),
    Sample("null", None),
    Sample("classes not a list", {"classes": {}}),
    Sample("class not an object", {"classes": [1]}),
    Sample("unknown effect", _class_with(effect="other")),
    Sample("unknown group", _class_with(group="other")),
    Sample("deadline not a number", _class_with(deadline_s="soon")),
    Sample("name not a string", _class_with(name=7)),
    Sample("unknown telemetry", _settings_with(telemetry={"how": "other"})),
    Sample("limits not an object", _settings_with(limits=[])),
    Sample("max-attempts not a number", _settings_with(limits={"max-attempts": "many"})),
)
