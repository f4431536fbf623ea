"""The endpoint list: what discovery says of the upstreams, decoded once into plain values."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import orjson

from indigokeel.balancing.events import EndpointState

_STATES = {"Ready": EndpointState.SERVING, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.GONE}
_WORDS = {state: word for word, state in _STATES.items()}


class EndpointListError(ValueError):
    """A message that is not an endpoint list."""


class NotJSONError(EndpointListError):
    """... for it is no JSON at all, or not yet."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One upstream as the endpoint list names it."""

    name: str
    host: str
    port: int
    zone: str = ""
    kind: str = ""
    replica_group: int = -1
    state: EndpointState = EndpointState.SERVING
    weight: float = 1.0
    since: float = 0.0  # Unix seconds of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A whole list, or the entries that changed since the version before."""

    version: int
    is_snapshot: bool
    endpoints: tuple[Endpoint, ...]


def parse_address(text: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host may stand in brackets."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text[:100]!r}")
    return host.removeprefix("[").removesuffix("]"), int(port)


def _endpoint(item: dict[str, Any]) -> Endpoint:
    # One that is gone needs no address: discovery may know none any more.
    state = _STATES[item["status"]]
    host, port = ("", 0) if state is EndpointState.GONE else parse_address(item["address"])
    weight, since = float(item.get("weight", 1.0)), float(item.get("since_ms", 0)) / 1000.0
    if not isinstance(item["name"], str) or not math.isfinite(weight) or not math.isfinite(since):
        raise ValueError("an entry of a wrong shape")
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


def entry(endpoint: Endpoint) -> dict[str, Any]:
    """A machine as discovery writes it; ``parse_endpoint_list`` reads the same machine from it again."""
    return {
        "name": endpoint.name,
        "address": f"{endpoint.host}:{endpoint.port}",
        "zone": endpoint.zone,
        "type": endpoint.kind,
        "group": endpoint.replica_group,
        "status": _WORDS[endpoint.state],
        "weight": endpoint.weight,
        "since_ms": round(endpoint.since * 1000.0, 3),
    }


def parse_endpoint_list(data: Any) -> EndpointList:
    """Turn a decoded message into an endpoint list; raises ListError where it is none."""
    try:
        return EndpointList(
            version=int(data["index"]),
            is_snapshot=bool(data["snapshot"]),
            endpoints=tuple(_endpoint(item) for item in data["endpoints"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"not a machine list: {type(error).__name__}: {error}") from None


def decode(message: bytes | bytearray | memoryview) -> EndpointList:
    """Decode one message of discovery."""
    try:
        data = orjson.loads(message)
    except orjson.JSONDecodeError as error:
        raise NotJSONError(f"not JSON: {error}") from None
    return parse_endpoint_list(data)
