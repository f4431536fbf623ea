"""What one process of a sidecar leaves for the next, as bytes. Pure.

One line of head (magic, version, length and SHA-256 of what follows), then JSON. Whatever is wrong with it,
decoding raises HandoverError, and the reader starts as if nothing had been left.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

from indigokeel.cordons import Mark
from indigokeel.machine_list import MachineList, entry, machine_list

MOST = 4 << 20  # bytes
_MAGIC = b"indigokeel-handover"
_VERSION = 1
_AHEAD = 5.0  # s that a time may lie in the future: clocks are set
_KEPT = 600.0  # s that the word on a node that was given back is passed on


class HandoverError(ValueError):
    """Bytes that nobody may rely on."""


@dataclass(frozen=True, slots=True)
class Handover:
    """What is passed on. Times are Unix seconds."""

    marks: tuple[Mark, ...]
    known: MachineList | None = None
    listed_at: float = 0.0  # when the list was last heard
    at: float = 0.0  # when it was written
    learned: Any = None  # see ``learned.py``, which checks it


def encode(
    now: float,
    marks: Iterable[Mark],
    known: MachineList | None = None,
    listed_at: float = 0.0,
    learned: Any = None,
) -> bytes:
    """The bytes to leave."""
    body: dict[str, Any] = {
        "at": now,
        "learned": learned,
        "marks": [
            {
                "who": m.who,
                "out": m.out,
                "at": m.at,
                "by": m.by,
                "until": None if m.until == math.inf else m.until,
            }
            for m in marks
            if m.out or now - m.at < _KEPT
        ],
    }
    if known is not None:
        body["listed_at"], body["version"] = listed_at, known.version
        body["machines"] = [entry(machine) for machine in known.machines]
    data = orjson.dumps(body)
    return b"%s %d %d %s\n" % (_MAGIC, _VERSION, len(data), hashlib.sha256(data).hexdigest().encode()) + data


def decode(data: bytes, now: float) -> Handover:
    """Read them again; raises HandoverError on bytes that are torn, foreign, of another version, or that
    speak of the future."""
    head, _, body = data[: MOST + 1].partition(b"\n")
    parts = head.split(b" ")
    if len(data) > MOST or len(parts) != 4 or parts[0] != _MAGIC:
        raise HandoverError("not a handover")
    if parts[1] != b"%d" % _VERSION:
        raise HandoverError("a handover of another version")
    if parts[2] != b"%d" % len(body) or parts[3] != hashlib.sha256(body).hexdigest().encode():
        raise HandoverError("a handover that is not whole")
    try:
        told = orjson.loads(body)
        marks = tuple(_mark(item, now) for item in told["marks"])
        at, learned = _past(told.get("at", 0.0), now), told.get("learned")
        if "machines" not in told:
            return Handover(marks, None, 0.0, at, learned)
        listed = {"index": told["version"], "snapshot": True, "endpoints": told["machines"]}
        return Handover(marks, machine_list(listed), _past(told["listed_at"], now), at, learned)
    except HandoverError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise HandoverError(f"a handover of a wrong shape: {type(error).__name__}: {error}") from None


def _past(value: Any, now: float) -> float:
    at = float(value)
    if not 0.0 <= at <= now + _AHEAD:
        raise HandoverError("a handover from the future")
    return at


def _mark(item: Any, now: float) -> Mark:
    until = math.inf if item["until"] is None else float(item["until"])
    if not isinstance(item["who"], str) or not isinstance(item["out"], bool) or math.isnan(until):
        raise HandoverError("a mark of a wrong shape")
    return Mark(item["who"], item["out"], _past(item["at"], now), str(item["by"]), until)
