"""Configuration: what the platform tells a sidecar, decoded once into the few values that are used.

The settings decoder is the simulator adapter's too: both are handed the same object.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from indigokeel.decision import interface as api
from indigokeel.decision.balancer import check
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
    mgmt: tuple[str, int] | None = None  # the operators' address; None: there is none
    listen_fd: int = -1  # the platform's listening socket, inherited; -1: there is none
    state_dir: str = ""  # where processes of this sidecar find what the one before knew; "": nowhere
    raw: Mapping[str, Any] = field(default_factory=dict)  # the file's content, but for what `known` holds


def load_config(env: Mapping[str, str]) -> Config:
    """Read the file that BALANCER_CONFIG names; the other variables go before what it says. Raises
    ConfigError on one that no sidecar can start from."""
    with _told():
        return _config(_read(env), env)


def reload_config(env: Mapping[str, str], force: Config) -> Config:
    """Read the file again while ``force`` holds. What it lacks of that one, or tells in another kind of
    value, makes it a broken file: ConfigError names the first such key. ``discovery`` is told in the file
    alone: what the environment says of it is from the start, and the file is newer."""
    with _told():
        data = _read(env)
        fault = _unlike(force.raw, data)
        if fault:
            raise SettingsError(fault)
        return _config(data, {k: v for k, v in env.items() if k != "BALANCER_DISCOVERY"})


@contextlib.contextmanager
def _told() -> Iterator[None]:
    """Whatever is wrong with a file is a ConfigError of one line."""
    try:
        yield
    except OSError as error:
        raise ConfigError(f"cannot read the configuration: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{error.args[0]!r} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(" ".join(str(error).split())) from None


def _read(env: Mapping[str, str]) -> dict[str, Any]:
    data = orjson.loads(Path(env["BALANCER_CONFIG"]).read_bytes())
    if not isinstance(data, dict):
        raise SettingsError("the configuration is not an object")
    return data


def _config(data: dict[str, Any], env: Mapping[str, str]) -> Config:
    seed, mgmt = data.get("seed", "0"), env.get("BALANCER_MGMT") or data.get("mgmt")
    settings = decode_settings(data["settings"])
    check(settings)
    return Config(
        name=str(env.get("BALANCER_NAME") or data["name"]),
        listen=parse_address(env.get("BALANCER_LISTEN") or data["listen"]),
        discovery=parse_address(env.get("BALANCER_DISCOVERY") or data["discovery"]),
        seed=int(seed, 16) if isinstance(seed, str) else int(seed),
        sockets=int(data.get("limits", {}).get("sockets", 1024)),
        known=machine_list(data.get("known") or {"index": 0, "snapshot": True, "endpoints": []}),
        settings=settings,
        mgmt=parse_address(mgmt) if mgmt else None,
        listen_fd=int(env.get("BALANCER_LISTEN_FD") or -1),
        state_dir=env.get("TMPDIR", "") if mgmt else "",
        raw={key: {} if key == "known" else value for key, value in data.items()},
    )


_KINDS: tuple[tuple[type, ...], ...] = ((bool,), (int, float), (str,), (list,), (dict,))


def _unlike(force: Any, new: Any, path: str = "") -> str:
    """What of a value in force the new one lacks or tells in another kind; "" where nothing. Guards against
    the file that was cut off or spoilt and can still be read: defaults would stand in for what it lost."""
    if force is None:
        return ""
    kind = next(kind for kind in _KINDS if isinstance(force, kind))
    if not isinstance(new, kind) or (isinstance(new, bool) and bool not in kind):
        return f"{path or 'the configuration'} is of another kind"
    if isinstance(new, float) and not math.isfinite(new):
        return f"{path} is no number"
    found: Any = new
    if isinstance(force, dict):
        for key, value in force.items():
            at = f"{path}.{key}" if path else key
            if key not in found:
                return f"{at} is missing"
            if fault := _unlike(value, found[key], at):
                return fault
    elif isinstance(force, list) and force and all(isinstance(item, dict) for item in force):
        common = {k: v for k, v in force[0].items() if all(k in item for item in force)}
        for number, item in enumerate(found):
            if fault := _unlike(common, item, f"{path}[{number}]"):
                return fault
    return ""


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
        ),
        safety=api.Safety(
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
