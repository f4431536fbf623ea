"""Settings like those of a small deployment."""

from __future__ import annotations

from typing import Any

UNSAFE = {
    "name": "route-update",
    "objective-s": 0.6,
    "deadline-s": 1.2,
    "effect": "unsafe",
    "group": "all",
    "importance": 2.0,
    "late-worth": 0.0,
    "repeat-window-s": 5.0,
    "streaming": False,
}
KEYED = {
    "name": "port-request",
    "objective-s": 0.6,
    "deadline-s": 2.5,
    "effect": "keyed",
    "group": "cell",
    "importance": 10.0,
    "late-worth": 0.0,
    "repeat-window-s": 1.5,
    "streaming": False,
}


def settings() -> dict[str, Any]:
    """Return the settings of one sidecar."""
    return {
        "balancers": 1,
        "me": 0,
        "zone": "dc",
        "failure-domains": ["dc"],
        "classes": [UNSAFE, KEYED],
        "membership-mode": "on_request",
        "counted-by": "request",
        "kinds": ["m"],
        "over-share-worth": 0.1,
        "weights": "none",
        "telemetry": {"how": "answers", "columns": ["busy", "rate"]},
        "tenants": [{"name": "greenline", "quota-per-s": 400.0, "share": 1.0}],
        "specifics": {"warm-keys": True},
        "limits": {
            "cancelling": True,
            "connect-timeout-s": 0.25,
            "keepalive-s": 30.0,
            "max-attempts": 5,
            "max-open": 20000,
            "max-retry-after-s": 1.2,
            "probes": True,
            "retry-after": True,
            "second-copies": True,
        },
        "safety": {
            "answer-slack-s": 0.02,
            "ask-within-s": 10.0,
            "cold-from": 0.35,
            "drain-grace-s": 0.25,
            "overload-for-s": 1.5,
            "tip-multiple": 3.0,
            "warm-within-s": 8.8,
        },
        "prices": {"late-fail": 0.035, "probe": 0.01, "waste": 0.15},
    }
