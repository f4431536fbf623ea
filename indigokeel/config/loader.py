"""Loads the configuration file that an environment variable names."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from indigokeel.balancing.settings import Settings
from indigokeel.balancing.settings_validation import validate_settings
from indigokeel.config.errors import ConfigError, SettingsError
from indigokeel.config.reload_check import find_regression
from indigokeel.config.settings_decoder import decode_settings
from indigokeel.endpoints.endpoint_list import Address, EndpointList, parse_address, parse_endpoint_list

_DEFAULT_MAX_DESCRIPTORS = 1024
_DEFAULT_MEMORY_MB = 192
_NO_ENDPOINTS: Mapping[str, Any] = {"index": 0, "snapshot": True, "endpoints": []}


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of a process."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int  # limit of descriptors that the process may have open
    memory_mb: int  # limit of the memory of the process, in megabytes
    known: EndpointList  # the endpoint list that this sidecar had last; may be outdated
    settings: Settings
    admin_address: Address | None = None  # the address for operators; None: no admin server
    listen_fd: int = -1  # a listening socket inherited from the platform; -1: none
    state_dir: str = ""  # folder for the state files of this sidecar; "": no state is stored
    # Content of the file, without that of ``known``.
    file_content: Mapping[str, Any] = field(default_factory=dict)


def load_config(env: Mapping[str, str]) -> Config:
    """Load the file BALANCER_CONFIG names, which other variables override; raise ConfigError if invalid."""
    with _converted_to_config_errors():
        return _decode(_read_file(env), env)


def reload_config(env: Mapping[str, str], current: Config) -> Config:
    """Load the file again while ``current`` is in force; raise ConfigError if it is invalid.

    A file that lacks a key of the current one, or has a value of another JSON type, is invalid. ``discovery``
    is taken from the file alone: the environment dates from the start of the process, and the file is newer.
    """
    with _converted_to_config_errors():
        data = _read_file(env)
        if fault := find_regression(current.file_content, data):
            raise SettingsError(fault)
        return _decode(data, {key: value for key, value in env.items() if key != "BALANCER_DISCOVERY"})


@contextlib.contextmanager
def _converted_to_config_errors() -> Iterator[None]:
    """Convert any error of reading or decoding the file to a ConfigError with a message of one line."""
    try:
        yield
    except OSError as error:
        raise ConfigError(f"cannot read the configuration: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{error.args[0]!r} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(" ".join(str(error).split())) from None


def _read_file(env: Mapping[str, str]) -> dict[str, Any]:
    data = orjson.loads(Path(env["BALANCER_CONFIG"]).read_bytes())
    if not isinstance(data, dict):
        raise SettingsError("the configuration is not an object")
    return data


def _decode(data: dict[str, Any], env: Mapping[str, str]) -> Config:
    seed = data.get("seed", "0")
    limits = data.get("limits", {})
    memory_mb = int(limits.get("memory_mb", _DEFAULT_MEMORY_MB))
    if memory_mb <= 0:
        raise SettingsError("limits.memory_mb: not over 0")
    admin_address = env.get("BALANCER_MGMT") or data.get("mgmt")
    settings = decode_settings(data["settings"])
    validate_settings(settings)
    return Config(
        name=str(env.get("BALANCER_NAME") or data["name"]),
        listen=parse_address(env.get("BALANCER_LISTEN") or data["listen"]),
        discovery=parse_address(env.get("BALANCER_DISCOVERY") or data["discovery"]),
        seed=int(seed, 16) if isinstance(seed, str) else int(seed),
        max_descriptors=int(limits.get("sockets", _DEFAULT_MAX_DESCRIPTORS)),
        memory_mb=memory_mb,
        known=parse_endpoint_list(data.get("known") or _NO_ENDPOINTS),
        settings=settings,
        admin_address=parse_address(admin_address) if admin_address else None,
        listen_fd=int(env.get("BALANCER_LISTEN_FD") or -1),
        state_dir=env.get("TMPDIR", "") if admin_address else "",
        file_content={key: {} if key == "known" else value for key, value in data.items()},
    )
