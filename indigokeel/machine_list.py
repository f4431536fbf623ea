"""The machine list: what discovery says of the execute nodes, decoded once into plain values."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import orjson

from indigokeel.decision.interface import State

_STATES = {"Ready": State.SERVING, "Terminating": State.DRAINING, "Gone": State.GONE}
_WORDS = {state: word for word, state in _STATES.items()}


class ListError(ValueError):
    """A message that is not a machine list."""


class NotJSONError(ListError):
    """... for it is no JSON at all, or not yet."""


@dataclass(frozen=True, slots=True)
class Machine:
    """One execute node as the machine list names it."""

    name: str
    host: str
    port: int
    zone: str = ""
    kind: str = ""
    cell: int = -1
    state: State = State.SERVING
    weight: float = 1.0
    since: float = 0.0  # Unix seconds of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class MachineList:
    """A whole list, or the entries that changed since the version before."""

    version: int
    whole: bool
    machines: tuple[Machine, ...]


def parse_address(text: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host may stand in brackets."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text[:100]!r}")
    return host.removeprefix("[").removesuffix("]"), int(port)


def _machine(item: dict[str, Any]) -> Machine:
    # One that is gone needs no address: discovery may know none any more.
    state = _STATES[item["status"]]
    host, port = ("", 0) if state is State.GONE else parse_address(item["address"])
    weight, since = float(item.get("weight", 1.0)), float(item.get("since_ms", 0)) / 1000.0
    if not isinstance(item["name"], str) or not math.isfinite(weight) or not math.isfinite(since):
        raise ValueError("an entry of a wrong shape")
    return Machine(
        name=item["name"],
        host=host,
        port=port,
        zone=str(item.get("zone", "")),
        kind=str(item.get("type", "")),
        cell=int(item.get("group", -1)),
        state=state,
        weight=weight,
        since=since,
    )


def entry(machine: Machine) -> dict[str, Any]:
    """A machine as discovery writes it; ``machine_list`` reads the same machine from it again."""
    return {
        "name": machine.name,
        "address": f"{machine.host}:{machine.port}",
        "zone": machine.zone,
        "type": machine.kind,
        "group": machine.cell,
        "status": _WORDS[machine.state],
        "weight": machine.weight,
        "since_ms": round(machine.since * 1000.0, 3),
    }


def machine_list(data: Any) -> MachineList:
    """Turn a decoded message into a machine list; raises ListError where it is none."""
    try:
        return MachineList(
            version=int(data["index"]),
            whole=bool(data["snapshot"]),
            machines=tuple(_machine(item) for item in data["endpoints"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"not a machine list: {type(error).__name__}: {error}") from None


def decode(message: bytes | bytearray | memoryview) -> MachineList:
    """Decode one message of discovery."""
    try:
        data = orjson.loads(message)
    except orjson.JSONDecodeError as error:
        raise NotJSONError(f"not JSON: {error}") from None
    return machine_list(data)
