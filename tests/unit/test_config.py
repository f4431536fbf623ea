"""Tests of loading the configuration file and decoding its settings."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from indigokeel.balancing.settings import ClassSettings, Idempotency, Limits, LoadReportSource, Settings
from indigokeel.config import ConfigError, decode_settings, load_config
from tests.peers import SETTINGS, make_endpoint_list

CONFIG = {
    "name": "n3",
    "listen": "127.0.0.1:3000",
    "discovery": "127.0.0.1:85",
    "seed": "ff",
    "known": make_endpoint_list(),
    "settings": SETTINGS,
}


def test_config_is_loaded_and_overridden_by_the_environment(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    config = load_config({"BALANCER_CONFIG": str(path), "BALANCER_LISTEN": "127.0.0.1:4000"})
    assert (config.name, config.listen[1], config.discovery[1], config.seed) == ("n3", 4000, 85, 255)
    assert config.settings.limits.max_attempts == 5 and config.max_descriptors == 1024
    assert config.memory_mb == 192


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "nowhere"}, "not an address"),
        ({"listen": None}, None),
        ({"seed": "xyz"}, None),
        ({"settings": []}, "not an object"),
        ({"settings": {"classes": 1}}, r"settings\.classes: not a list"),
        ({"settings": {}}, "'classes' is missing"),
        ({"known": {"index": 1}}, "not an endpoint list"),
        *[
            ({"settings": {**SETTINGS, key: value}}, message)
            for key, value, message in [
                (
                    "classes",
                    [{**SETTINGS["classes"][0], "effect": "odd"}],
                    r"settings\.classes\[0\]\.effect: 'odd'",
                ),
                ("classes", [{"name": "view"}], r"settings\.classes\[0\]: 'objective-s' is missing"),
                ("classes", [{**SETTINGS["classes"][2], "group": 7}], r"settings\.classes\[0\]\.group: '7'"),
                ("limits", {"max-attempts": "many"}, r"settings\.limits\.max-attempts: 'many'"),
                ("limits", 5, r"settings\.limits: not an object"),
                ("safety", {"warm-within-s": "1e999"}, r"settings\.safety\.warm-within-s: '1e999'"),
                ("prices", {"probe": []}, r"settings\.prices\.probe: '\[\]'"),
                ("telemetry", {"how": "pigeon"}, r"settings\.telemetry\.how: 'pigeon'"),
                ("tenants", [{"share": 1}], r"settings\.tenants\[0\]: 'name' is missing"),
                ("me", "x", r"settings\.me: 'x'"),
            ]
        ],
        ({"limits": 3}, None),
        ({"limits": {"memory_mb": "much"}}, "much"),
        ({"limits": {"memory_mb": 0}}, r"limits\.memory_mb: not over 0"),
    ],
)
def test_invalid_config_is_rejected(tmp_path: Path, change: dict[str, Any], message: str | None) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**CONFIG, **change}))
    with pytest.raises(ConfigError, match=message):
        load_config({"BALANCER_CONFIG": str(path)})
    with pytest.raises(ConfigError):
        load_config({})


def test_missing_and_null_settings_have_defaults() -> None:
    minimal = {"classes": [{"name": "view", "objective-s": 0.5, "deadline-s": 1.0, "effect": "safe"}]}
    optional = (
        "limits",
        "safety",
        "prices",
        "telemetry",
        "tenants",
        "specifics",
        "membership-mode",
        "weights",
    )
    assert decode_settings(minimal) == decode_settings({**minimal, **dict.fromkeys(optional)})
    assert decode_settings(minimal) == Settings(
        classes=(ClassSettings("view", latency_objective=0.5, deadline=1.0, idempotency=Idempotency.SAFE),),
        limits=Limits(cancellation=False, hedging=False, max_attempts=1),
        load_report_source=LoadReportSource.NONE,
    )
