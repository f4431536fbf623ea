"""The codec of a state file: what one process of a sidecar leaves for the next. No I/O.

A file is one line of head (magic, version, length and SHA-256 of what follows), then JSON. Whatever is wrong
with it, decoding raises SnapshotError, and the reader starts without it.

Times are those of the monotonic clock, which all processes of one machine share until it reboots. Each file
names the boot that it was written under. After another boot, or where the boot is unknown on either side,
ages across the two processes are unknown: learned state and start times are not used, and cordons are kept,
with the time that each had left, or its age, when the file was written.

The format is a superset of the older one of the same version. A cordon's sequence number is stored in the
field that held its Unix time in seconds, as that many microseconds, so that processes of both programs order
the records alike. The older program reads cordons and endpoints of a new file, and finds an age at which it
uses no learned state. A file of the older program is read with the offset between the clocks as this process
measured it at its start; none of its times is taken to lie in the future.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from indigokeel.endpoints.cordons import CordonRecord
from indigokeel.endpoints.endpoint_list import EndpointList, encode_endpoint, parse_endpoint_list
from indigokeel.endpoints.start_times import StartsSnapshot
from indigokeel.hot_restart.learned_state import OFFSET

MAX_BYTES = 4 << 20  # of a file

_MAGIC = b"indigokeel-handover"
_VERSION = 1
_LIFTED_CORDON_KEPT_S = 600.0  # in which the record of a lifted cordon is passed on
_SEQUENCES_PER_S = 1e6  # sequence numbers to a second of the older format
_MAX_SEQUENCE = 2**53  # the largest integer that a JSON number holds exactly


class SnapshotError(ValueError):
    """Bytes that are not a sound state file."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The time at which a process writes or reads a file."""

    clock: float  # monotonic, in seconds
    boot: str = ""  # id of the machine's boot; empty where it is unknown
    unix_to_clock: float = 0.0  # seconds added to a Unix time to get the clock's, as this process measured it


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What the balancer had learnt at one time; ``learned_state`` checks the figures."""

    figures: Any
    at: float  # clock time


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The content of a state file. Times are the reader's clock."""

    records: tuple[CordonRecord, ...]
    known: EndpointList | None = None
    learned: LearnedState | None = None  # None also where its age is unknown
    starts: StartsSnapshot | None = None


def encode(
    reading: ClockReading,
    records: Iterable[CordonRecord],
    known: EndpointList | None = None,
    learned: LearnedState | None = None,
    starts: StartsSnapshot | None = None,
) -> bytes:
    """Return the bytes of a state file."""
    clock: dict[str, Any] = {"boot": reading.boot, "at": reading.clock}
    if learned is not None and learned.figures is not None:
        clock["learned"] = learned.figures
        clock["learned_at"] = learned.at
    if starts is not None:
        clock["current_at"] = starts.current_at
        clock["starts"] = dict(starts.starts)
    body: dict[str, Any] = {
        "clock": clock,
        "marks": [_encode_record(record) for record in records if _is_passed_on(record, reading.clock)],
    }
    if known is not None:
        body["listed_at"] = 0.0  # required by the older program
        body["version"] = known.version
        body["machines"] = [encode_endpoint(endpoint) for endpoint in known.endpoints]
    data = orjson.dumps(body)
    digest = hashlib.sha256(data).hexdigest().encode()
    return b"%s %d %d %s\n" % (_MAGIC, _VERSION, len(data), digest) + data


def _is_passed_on(record: CordonRecord, now: float) -> bool:
    return record.cordoned or now - record.called_at < _LIFTED_CORDON_KEPT_S


def _encode_record(record: CordonRecord) -> dict[str, Any]:
    return {
        "who": record.upstream,
        "out": record.cordoned,
        "at": record.sequence / _SEQUENCES_PER_S,
        "by": record.called_by,
        "until": None,  # in Unix seconds; the older program keeps the cordon until it is lifted
        "called_at": record.called_at,
        "ends_at": None if record.expires_at == math.inf else record.expires_at,
    }


def decode(data: bytes, reading: ClockReading) -> StateSnapshot:
    """Decode a state file; raise SnapshotError if it is torn, foreign or of another version."""
    content = _verified_content(data)
    try:
        if "clock" not in content:
            return _decode_older_format(content, reading)
        return _decode(content, reading)
    except SnapshotError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SnapshotError(f"a handover of a wrong shape: {type(error).__name__}: {error}") from None


def _verified_content(data: bytes) -> Any:
    """Return the JSON of a file whose head fits it."""
    head, _, body = data[: MAX_BYTES + 1].partition(b"\n")
    parts = head.split(b" ")
    if len(data) > MAX_BYTES or len(parts) != 4 or parts[0] != _MAGIC:
        raise SnapshotError("not a handover")
    if parts[1] != b"%d" % _VERSION:
        raise SnapshotError("a handover of another version")
    if parts[2] != b"%d" % len(body) or parts[3] != hashlib.sha256(body).hexdigest().encode():
        raise SnapshotError("a handover that is not whole")
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise SnapshotError(f"a handover of a wrong shape: {type(error).__name__}: {error}") from None


def _decode(content: Mapping[str, Any], reading: ClockReading) -> StateSnapshot:
    clock = content["clock"]
    written_at = _parse_time(clock["at"])
    # The clock of one boot never goes back, so a later time is one of another clock.
    same_clock = bool(reading.boot) and clock["boot"] == reading.boot and written_at <= reading.clock
    shift = 0.0 if same_clock else reading.clock - written_at
    records = tuple(
        _parse_record(item, item["called_at"], item["ends_at"], shift, reading) for item in content["marks"]
    )
    learned = None
    starts = None
    if same_clock and "learned" in clock:
        learned = LearnedState(clock["learned"], _parse_time(clock["learned_at"]))
    if same_clock and "starts" in clock:
        starts = StartsSnapshot(
            _parse_time(clock["current_at"]),
            {
                str(name): (_parse_time(since), _parse_time(at))
                for name, (since, at) in clock["starts"].items()
            },
        )
    return StateSnapshot(records, _parse_known(content), learned, starts)


def _decode_older_format(content: Mapping[str, Any], reading: ClockReading) -> StateSnapshot:
    """Decode a file of the older program, whose times are Unix seconds."""
    offset = reading.unix_to_clock
    records = tuple(
        _parse_record(item, item["at"], item["until"], offset, reading) for item in content["marks"]
    )
    learned = None
    if content.get("learned") is not None:
        figures = {**content["learned"], OFFSET: offset}
        learned_at = _parse_time(content.get("at", 0.0)) + offset
        learned = LearnedState(figures, min(learned_at, reading.clock))
    return StateSnapshot(records, _parse_known(content), learned)


def _parse_known(content: Mapping[str, Any]) -> EndpointList | None:
    if "machines" not in content:
        return None
    _parse_time(content["listed_at"])
    return parse_endpoint_list(
        {"index": content["version"], "snapshot": True, "endpoints": content["machines"]}
    )


def _parse_record(
    item: Mapping[str, Any], called_at: Any, expires_at: Any, shift: float, reading: ClockReading
) -> CordonRecord:
    """Return a record whose times become the reader's by ``shift``; none was called later than now."""
    sequence = round(_parse_time(item["at"]) * _SEQUENCES_PER_S)
    upstream = item["who"]
    cordoned = item["out"]
    if not isinstance(upstream, str) or not isinstance(cordoned, bool) or sequence >= _MAX_SEQUENCE:
        raise SnapshotError("a mark of a wrong shape")
    called = min(_parse_time(called_at) + shift, reading.clock)
    expires = math.inf if expires_at is None else float(expires_at) + shift
    if math.isnan(expires):
        raise SnapshotError("a mark of a wrong shape")
    return CordonRecord(upstream, cordoned, called, str(item["by"]), expires, sequence)


def _parse_time(value: Any) -> float:
    time = float(value)
    if isinstance(value, bool) or not 0.0 <= time < math.inf:
        raise SnapshotError("a time out of range")
    return time
