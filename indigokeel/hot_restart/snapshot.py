"""What one process of a sidecar leaves for the next, as bytes. Pure.

One line of head (magic, version, length and SHA-256 of what follows), then JSON. Whatever is wrong with it,
decoding raises HandoverError, and the reader starts as if nothing had been left.

Times are those of the monotonic clock, which all processes of one machine share until it boots again. Each
file names the boot that it was written under. After another boot, or where the boot is not known on either
side, ages across the two processes are unknown: figures and starts are not used, and marks are kept, with the
time that each had left, or its age, when the file was written.

The form is that of version 1 with more in it. A mark's sequence number stands where version 1 has its Unix
time in seconds, as so many microseconds, so that either side orders marks as the other does. A process of the
older program takes over marks and list, and finds an age at which it uses no figures. A file that it wrote is
read with the offset between the clocks as it was taken at the start, and is never one from the future.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from indigokeel.endpoints.cordons import CordonRecord
from indigokeel.endpoints.endpoint_list import EndpointList, entry, parse_endpoint_list
from indigokeel.endpoints.start_times import StartsSnapshot
from indigokeel.hot_restart.learned_state import OFFSET

MOST = 4 << 20  # bytes
_MAGIC = b"indigokeel-handover"
_VERSION = 1
_KEPT = 600.0  # s that the word on an upstream that was given back is passed on
_SEQUENCES_PER_S = 1e6  # sequence numbers to a second of version 1
_MOST_SEQUENCE = 2**53  # a JSON number holds no larger one exactly


class SnapshotError(ValueError):
    """Bytes that nobody may rely on."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The time at which a process writes or reads."""

    clock: float  # of the monotonic clock
    boot: str = ""  # of the machine; empty where it is not known
    unix_to_clock: float = 0.0  # what has to be added to Unix seconds, as well as this process knows


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What the decisions had learnt at one time; see ``learned.py``, which checks the figures."""

    figures: Any
    at: float  # clock time


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """What is passed on. Times are the reader's clock."""

    records: tuple[CordonRecord, ...]
    known: EndpointList | None = None
    learned: LearnedState | None = None  # None also where its age is unknown
    starts: StartsSnapshot | None = None


def encode(
    clock_reading: ClockReading,
    records: Iterable[CordonRecord],
    known: EndpointList | None = None,
    learned: LearnedState | None = None,
    starts: StartsSnapshot | None = None,
) -> bytes:
    """The bytes to leave."""
    clock: dict[str, Any] = {"boot": clock_reading.boot, "at": clock_reading.clock}
    if learned is not None and learned.figures is not None:
        clock["learned"], clock["learned_at"] = learned.figures, learned.at
    if starts is not None:
        clock["current_at"], clock["starts"] = starts.current_at, dict(starts.starts)
    body: dict[str, Any] = {
        "clock": clock,
        "marks": [
            _entry(record) for record in records if record.out or clock_reading.clock - record.at < _KEPT
        ],
    }
    if known is not None:
        body["listed_at"], body["version"] = 0.0, known.version  # version 1 asks for the first
        body["machines"] = [entry(endpoint) for endpoint in known.endpoints]
    data = orjson.dumps(body)
    return b"%s %d %d %s\n" % (_MAGIC, _VERSION, len(data), hashlib.sha256(data).hexdigest().encode()) + data


def _entry(record: CordonRecord) -> dict[str, Any]:
    return {
        "who": record.who,
        "out": record.out,
        "at": record.sequence / _SEQUENCES_PER_S,
        "by": record.by,
        "until": None,  # in Unix seconds; version 1 keeps the upstream out until it is given back
        "called_at": record.at,
        "ends_at": None if record.until == math.inf else record.until,
    }


def decode(data: bytes, clock_reading: ClockReading) -> StateSnapshot:
    """Read them again; raises HandoverError on bytes that are torn, foreign or of another version."""
    head, _, body = data[: MOST + 1].partition(b"\n")
    parts = head.split(b" ")
    if len(data) > MOST or len(parts) != 4 or parts[0] != _MAGIC:
        raise SnapshotError("not a handover")
    if parts[1] != b"%d" % _VERSION:
        raise SnapshotError("a handover of another version")
    if parts[2] != b"%d" % len(body) or parts[3] != hashlib.sha256(body).hexdigest().encode():
        raise SnapshotError("a handover that is not whole")
    try:
        told = orjson.loads(body)
        return (
            _decode_first_form(told, clock_reading) if "clock" not in told else _decode(told, clock_reading)
        )
    except SnapshotError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SnapshotError(f"a handover of a wrong shape: {type(error).__name__}: {error}") from None


def _decode(told: Mapping[str, Any], clock_reading: ClockReading) -> StateSnapshot:
    clock = told["clock"]
    written = _time(clock["at"])
    # The clock of one boot never goes back: a later time is one of another clock.
    same = bool(clock_reading.boot) and clock["boot"] == clock_reading.boot and written <= clock_reading.clock
    shift = 0.0 if same else clock_reading.clock - written
    records = tuple(
        _record(item, item["called_at"], item["ends_at"], shift, clock_reading) for item in told["marks"]
    )
    learned = starts = None
    if same and "learned" in clock:
        learned = LearnedState(clock["learned"], _time(clock["learned_at"]))
    if same and "starts" in clock:
        starts = StartsSnapshot(
            _time(clock["current_at"]),
            {str(name): (_time(since), _time(at)) for name, (since, at) in clock["starts"].items()},
        )
    return StateSnapshot(records, _listed(told), learned, starts)


def _decode_first_form(told: Mapping[str, Any], clock_reading: ClockReading) -> StateSnapshot:
    """What version 1 wrote, whose times are Unix seconds."""
    offset = clock_reading.unix_to_clock
    records = tuple(_record(item, item["at"], item["until"], offset, clock_reading) for item in told["marks"])
    learned = None
    if told.get("learned") is not None:
        figures = {**told["learned"], OFFSET: offset}
        learned = LearnedState(figures, min(_time(told.get("at", 0.0)) + offset, clock_reading.clock))
    return StateSnapshot(records, _listed(told), learned)


def _listed(told: Mapping[str, Any]) -> EndpointList | None:
    if "machines" not in told:
        return None
    _time(told["listed_at"])
    return parse_endpoint_list({"index": told["version"], "snapshot": True, "endpoints": told["machines"]})


def _record(
    item: Mapping[str, Any], at: Any, until: Any, shift: float, clock_reading: ClockReading
) -> CordonRecord:
    """A mark whose times become the reader's by ``shift``; none was made later than now."""
    sequence = round(_time(item["at"]) * _SEQUENCES_PER_S)
    if not isinstance(item["who"], str) or not isinstance(item["out"], bool) or sequence >= _MOST_SEQUENCE:
        raise SnapshotError("a mark of a wrong shape")
    made_at = min(_time(at) + shift, clock_reading.clock)
    ends_at = math.inf if until is None else float(until) + shift
    if math.isnan(ends_at):
        raise SnapshotError("a mark of a wrong shape")
    return CordonRecord(item["who"], item["out"], made_at, str(item["by"]), ends_at, sequence)


def _time(value: Any) -> float:
    time = float(value)
    if isinstance(value, bool) or not 0.0 <= time < math.inf:
        raise SnapshotError("a time out of range")
    return time
