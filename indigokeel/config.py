"""Configuration: what the platform tells a sidecar, decoded once into the few values that are used.

The settings decoder is the simulator adapter's too: both are handed the same object.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import orjson

from indigokeel.balancing.balancer import check
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
from indigokeel.endpoints.endpoint_list import EndpointList, parse_address, parse_endpoint_list

_REPORTS = {
    "answers": LoadReportSource.ANSWERS,
    "probe": LoadReportSource.HEALTH_CHECKS,
    "none": LoadReportSource.NONE,
}
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


T = TypeVar("T")


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
    known: EndpointList  # as this sidecar last had it; may be old
    settings: Settings
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
        known=parse_endpoint_list(data.get("known") or {"index": 0, "snapshot": True, "endpoints": []}),
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


class _Part:
    """One object of the settings. What is missing or cannot be used is told by its path."""

    def __init__(self, data: Any, path: str = "settings") -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"{path}: not an object, of a wrong shape")
        self._data, self.path = data, path

    def part(self, key: str) -> _Part:
        found = self._data.get(key)
        return _Part({} if found is None else found, f"{self.path}.{key}")

    def parts(self, key: str, needed: bool = False) -> list[_Part]:
        items = self._data.get(key)
        if items is None:
            if needed:
                raise SettingsError(f"{self.path}: {key!r} is missing")
            return []
        if not isinstance(items, list):
            raise SettingsError(f"{self.path}.{key}: not a list, of a wrong shape")
        return [_Part(item, f"{self.path}.{key}[{number}]") for number, item in enumerate(items)]

    def read(self, key: str, turn: Callable[[Any], T], default: T | None = None) -> T:
        """The value as ``turn`` makes it; without a default it is needed."""
        value = self._data.get(key)
        if value is None:
            if default is None:
                raise SettingsError(f"{self.path}: {key!r} is missing")
            return default
        try:
            return turn(value)
        except (KeyError, ValueError, TypeError, OverflowError):
            raise SettingsError(f"{self.path}.{key}: {str(value)[:60]!r} cannot be used") from None

    def number(self, key: str, default: float | None = None) -> float:
        return self.read(key, _number, default)

    def flag(self, key: str) -> bool:
        return self.read(key, bool, False)


def _number(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError
    return number


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError
    return value


def decode_settings(data: Any) -> Settings:
    """Turn the settings object into the module's settings; unknown keys are skipped, and what is not there
    has the protocol's default. Raises SettingsError, which names the field."""
    top = _Part(data)
    limits, safety, prices = top.part("limits"), top.part("safety"), top.part("prices")
    return Settings(
        classes=tuple(
            ClassSettings(
                name=item.read("name", _text),
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
            for item in top.parts("classes", needed=True)
        ),
        instance_index=top.read("me", int, 0),
        sidecars=top.read("balancers", int, 1),
        zone=top.read("zone", str, ""),
        tenants=tuple(
            TenantSettings(
                item.read("name", _text), item.number("share", 0.0), item.number("quota-per-s", 0.0)
            )
            for item in top.parts("tenants")
        ),
        limits=Limits(
            cancellation=limits.flag("cancelling"),
            hedging=limits.flag("second-copies"),
            health_checks=limits.flag("probes"),
            max_attempts=limits.read("max-attempts", int, 1),
            connect_timeout=limits.number("connect-timeout-s", 0.25),
            keepalive=limits.number("keepalive-s", 15.0),
            retry_after=limits.flag("retry-after"),
            max_retry_after=limits.number("max-retry-after-s", 0.0),
            max_open_requests=limits.read("max-open", int, 20_000),
        ),
        safety=Safety(
            poll_within=safety.number("ask-within-s", 10.0),
            warm_up_initial_ratio=safety.number("cold-from", 0.3),
            warm_up_time=safety.number("warm-within-s", 10.0),
            drain_grace=safety.number("drain-grace-s", 1.0),
            overload_multiple=safety.number("tip-multiple", 3.0),
            overload_window=safety.number("overload-for-s", 2.0),
        ),
        prices=Prices(
            cross_zone=prices.number("cross-zone", 0.0),
            health_check=prices.number("probe", 0.0),
            handshake=prices.number("handshake", 0.0),
            connection=prices.number("connection", 0.0),
        ),
        load_report_source=top.part("telemetry").read("how", _REPORTS.__getitem__, LoadReportSource.NONE),
        polls_membership=top.read("membership-mode", str, "") == "on_request",
        scale_is_capacity=top.read("weights", str, "") in ("nominal", "rough"),
        key_affinity=top.part("specifics").flag("warm-keys"),
        weight_by_work=top.read("counted-by", str, "") == "work",
        over_quota_weight=top.number("over-share-worth", 1.0),
    )
