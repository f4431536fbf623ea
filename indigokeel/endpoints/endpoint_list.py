"""The endpoint list that discovery sends, decoded into plain values. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import orjson

from indigokeel.balancing.events import EndpointState

Address = tuple[str, int]

_STATES = {
    "Ready": EndpointState.SERVING,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
_STATUS_OF_STATE = {state: status for status, state in _STATES.items()}
_MS_PER_S = 1000.0
_MAX_PORT = 65535
_MAX_QUOTED_CHARACTERS = 100  # of an invalid address, in an error message


class EndpointListError(ValueError):
    """A message that is not an endpoint list."""


class NotJSONError(EndpointListError):
    """A message that is not valid JSON, or is incomplete."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One upstream as discovery lists it."""

    name: str
    host: str
    port: int
    zone: str = ""
    kind: str = ""
    replica_group: int = -1
    state: EndpointState = EndpointState.SERVING
    weight: float = 1.0
    since: float = 0.0  # Unix time of its last start, in seconds; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A snapshot of all endpoints, or an update with those that changed since the previous version."""

    version: int
    is_snapshot: bool
    endpoints: tuple[Endpoint, ...]


def parse_address(text: str) -> Address:
    """Split ``host:port``, where an IPv6 host may be in brackets; raise ValueError if it is invalid."""
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not colon or not host or not is_number or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"not an address: {text[:_MAX_QUOTED_CHARACTERS]!r}")
    return host.removeprefix("[").removesuffix("]"), int(port)


def decode(message: bytes | bytearray | memoryview) -> EndpointList:
    """Decode one discovery message; raise EndpointListError if it is invalid."""
    try:
        data = orjson.loads(message)
    except orjson.JSONDecodeError as error:
        raise NotJSONError(f"not JSON: {error}") from None
    return parse_endpoint_list(data)


def parse_endpoint_list(data: Any) -> EndpointList:
    """Convert a decoded message to an endpoint list; raise EndpointListError if it is invalid."""
    try:
        return EndpointList(
            version=int(data["index"]),
            is_snapshot=bool(data["snapshot"]),
            endpoints=tuple(_parse_endpoint(item) for item in data["endpoints"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"not an endpoint list: {type(error).__name__}: {error}") from None


def _parse_endpoint(item: dict[str, Any]) -> Endpoint:
    state = _STATES[item["status"]]
    # Discovery may not know the address of an endpoint that is gone.
    host, port = ("", 0) if state is EndpointState.GONE else parse_address(item["address"])
    weight = float(item.get("weight", 1.0))
    since = float(item.get("since_ms", 0)) / _MS_PER_S
    if not isinstance(item["name"], str) or not math.isfinite(weight) or not math.isfinite(since):
        raise ValueError("invalid name, weight or since_ms of an endpoint")
    return Endpoint(
        name=item["name"],
        host=host,
        port=port,
        zone=str(item.get("zone", "")),
        kind=str(item.get("type", "")),
        replica_group=int(item.get("group", -1)),
        state=state,
        weight=weight,
        since=since,
    )


def encode_endpoint(endpoint: Endpoint) -> dict[str, Any]:
    """Return an endpoint in the format of discovery, which ``parse_endpoint_list`` decodes."""
    return {
        "name": endpoint.name,
        "address": f"{endpoint.host}:{endpoint.port}",
        "zone": endpoint.zone,
        "type": endpoint.kind,
        "group": endpoint.replica_group,
        "status": _STATUS_OF_STATE[endpoint.state],
        "weight": endpoint.weight,
        "since_ms": round(endpoint.since * _MS_PER_S, 3),
    }
