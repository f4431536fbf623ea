"""Configuration: what the platform tells a sidecar, decoded once into the few values that are used.

The settings decoder is the simulator adapter's too: both are handed the same object.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from indigokeel.decision import interface as api
from indigokeel.machine_list import MachineList, machine_list, parse_address

_REPORTS = {"answers": api.Reports.ANSWERS, "probe": api.Reports.PROBES, "none": api.Reports.NONE}
# A load report's figures. Reports bring them under the names that ``telemetry.columns`` of the settings
# gives, or under those of the protocol's examples, the second of each.
LOAD_FIELDS = {
    "busy": "utilisation",
    "util": "utilisation",
    "rate": "rate",
    "qps": "rate",
    "rif": "in_flight",
    "inflight": "in_flight",
    "q": "queued",
    "queue": "queued",
    "lat_ms": "latency",
    "latency_ms": "latency",
    "fail_rate": "error_rate",
    "eps": "error_rate",
}


class SettingsError(ValueError):
    """Settings of a wrong shape."""


class ConfigError(ValueError):
    """A configuration that no sidecar can start from."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that a sidecar is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # descriptors that the process may hold
    known: MachineList  # as this sidecar last had it; may be old
    settings: api.Settings


def load_config(env: Mapping[str, str]) -> Config:
    """Read the file that BALANCER_CONFIG names; the other variables go before what it says."""
    try:
        data = orjson.loads(Path(env["BALANCER_CONFIG"]).read_bytes())
        seed = data.get("seed", "0")
        return Config(
            name=str(env.get("BALANCER_NAME") or data["name"]),
            listen=parse_address(env.get("BALANCER_LISTEN") or data["listen"]),
            discovery=parse_address(env.get("BALANCER_DISCOVERY") or data["discovery"]),
            seed=int(seed, 16) if isinstance(seed, str) else int(seed),
            sockets=int(data.get("limits", {}).get("sockets", 1024)),
            known=machine_list(data.get("known") or {"index": 0, "snapshot": True, "endpoints": []}),
            settings=decode_settings(data["settings"]),
        )
    except OSError as error:
        raise ConfigError(f"cannot read the configuration: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{error.args[0]!r} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(" ".join(str(error).split())) from None


def reload_discovery(env: Mapping[str, str]) -> tuple[str, int]:
    """Where discovery listens by the file as it is now. Told in the file alone: what the environment says
    is from the start, and the file is newer."""
    try:
        return parse_address(orjson.loads(Path(env["BALANCER_CONFIG"]).read_bytes())["discovery"])
    except OSError as error:
        raise ConfigError(f"cannot read the configuration: {error}") from None
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"no address of discovery: {' '.join(str(error).split())}") from None


def decode_settings(data: Any) -> api.Settings:
    """Turn the settings object into the module's settings; unknown keys are skipped."""
    if not isinstance(data, dict):
        raise SettingsError("settings are not an object")
    try:
        return _settings(data)
    except (AttributeError, TypeError) as error:
        raise SettingsError(f"settings of a wrong shape: {error}") from None


def _settings(data: dict[str, Any]) -> api.Settings:
    limits, safety, prices = data.get("limits", {}), data.get("safety", {}), data.get("prices", {})
    return api.Settings(
        classes=tuple(
            api.ClassSettings(
                name=item["name"],
                aim=float(item["objective-s"]),
                deadline=float(item["deadline-s"]),
                effect=api.Effect(item["effect"]),
                group=api.Group(item.get("group", "all")),
                repeat_window=float(item.get("repeat-window-s", 0.0)),
                worth=float(item.get("importance", 1.0)),
                late_worth=float(item.get("late-worth", 0.0)),
                streaming=bool(item.get("streaming", False)),
                aim_stretch=float(item.get("aim-stretch", 0.0)),
            )
            for item in data["classes"]
        ),
        me=int(data.get("me", 0)),
        sidecars=int(data.get("balancers", 1)),
        zone=str(data.get("zone", "")),
        tenants=tuple(
            api.TenantSettings(
                item["name"], float(item.get("share", 0.0)), float(item.get("quota-per-s", 0.0))
            )
            for item in data.get("tenants") or ()
        ),
        limits=api.Limits(
            cancelling=bool(limits.get("cancelling", False)),
            second_copies=bool(limits.get("second-copies", False)),
            probes=bool(limits.get("probes", False)),
            max_attempts=int(limits.get("max-attempts", 1)),
            connect_timeout=float(limits.get("connect-timeout-s", 0.25)),
            keepalive=float(limits.get("keepalive-s", 15.0)),
            retry_after=bool(limits.get("retry-after", False)),
            max_retry_after=float(limits.get("max-retry-after-s", 0.0)),
            max_open=int(limits.get("max-open", 20_000)),
            streams=int(limits.get("streams-per-conn", 1)),
        ),
        safety=api.Safety(
            answer_slack=float(safety.get("answer-slack-s", 0.02)),
            ask_within=float(safety.get("ask-within-s", 10.0)),
            cold_from=float(safety.get("cold-from", 0.3)),
            warm_within=float(safety.get("warm-within-s", 10.0)),
            drain_grace=float(safety.get("drain-grace-s", 1.0)),
            tip_multiple=float(safety.get("tip-multiple", 3.0)),
            overload_for=float(safety.get("overload-for-s", 2.0)),
        ),
        prices=api.Prices(
            cross_zone=float(prices.get("cross-zone", 0.0)),
            probe=float(prices.get("probe", 0.0)),
            waste=float(prices.get("waste", 0.0)),
            late_fail=float(prices.get("late-fail", 0.0)),
            handshake=float(prices.get("handshake", 0.0)),
            connection=float(prices.get("connection", 0.0)),
        ),
        reports=_REPORTS.get(data.get("telemetry", {}).get("how", "none"), api.Reports.NONE),
        ask_membership=data.get("membership-mode") == "on_request",
        scale_is_size=data.get("weights") in ("nominal", "rough"),
        warm_keys=bool(data.get("specifics", {}).get("warm-keys", False)),
        worth_by_work=data.get("counted-by") == "work",
        over_share_worth=float(data.get("over-share-worth", 1.0)),
    )
