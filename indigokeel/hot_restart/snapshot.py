"""The codec of state files, which pass the state of one process of a sidecar to the next. No I/O.

A file consists of a header line (magic, version, length and SHA-256 of the rest) and of JSON. If anything is
wrong with it, decoding raises SnapshotError, and the reader starts without it.

Times are those of the monotonic clock, which all processes of one machine share until it reboots. Each file
holds the id of the boot under which it was written. After a reboot, or if either boot id is unknown, the
times of the two processes cannot be compared: learned state and start times are not used; cordons are kept,
each with the age and the remaining time that it had when the file was written.

The format is a superset of the older one with the same version number. A cordon's sequence number is stored,
as a number of microseconds, in the field that held its Unix time in seconds, so that the older and the newer
program sort the records alike. The older program reads the cordons and endpoints of a new file, and finds an
age at which it ignores learned state. A file of the older program is read with the offset between the clocks
that this process measured at its start; a time that would then lie in the future counts as now.
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
_LIFTED_CORDON_RETENTION_S = 600.0  # for which the record of a lifted cordon is stored
_SEQUENCES_PER_S = 1e6  # sequence numbers per second of the older format
_MAX_SEQUENCE = 2**53  # the largest integer that a JSON number holds exactly


class SnapshotError(ValueError):
    """Bytes that are not a valid state file."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The clocks at the time when a process writes or reads a file."""

    clock: float  # monotonic, in seconds
    boot: str = ""  # id of the machine's boot; empty where it is unknown
    unix_to_clock: float = 0.0  # offset from a Unix time to the clock time, as this process measured it


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What the balancer had learned at one time; the module ``learned_state`` checks the figures."""

    figures: Any
    at: float  # clock time


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The content of a state file. Times are those of the reader's clock."""

    records: tuple[CordonRecord, ...]
    known: EndpointList | None = None
    learned: LearnedState | None = None  # None also if its age is unknown
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
        "marks": [_encode_record(record) for record in records if _is_stored(record, reading.clock)],
    }
    if known is not None:
        body["listed_at"] = 0.0  # the older program requires this field
        body["version"] = known.version
        body["machines"] = [encode_endpoint(endpoint) for endpoint in known.endpoints]
    data = orjson.dumps(body)
    digest = hashlib.sha256(data).hexdigest().encode()
    return b"%s %d %d %s\n" % (_MAGIC, _VERSION, len(data), digest) + data


def _is_stored(record: CordonRecord, now: float) -> bool:
    return record.cordoned or now - record.called_at < _LIFTED_CORDON_RETENTION_S


def _encode_record(record: CordonRecord) -> dict[str, Any]:
    return {
        "who": record.upstream,
        "out": record.cordoned,
        "at": record.sequence / _SEQUENCES_PER_S,
        "by": record.called_by,
        "until": None,  # a Unix time; with None the older program keeps the cordon until it is lifted
        "called_at": record.called_at,
        "ends_at": None if record.expires_at == math.inf else record.expires_at,
    }


def decode(data: bytes, reading: ClockReading) -> StateSnapshot:
    """Decode a state file; raise SnapshotError if it is truncated, foreign or of another version."""
    content = _verified_content(data)
    try:
        if "clock" not in content:
            return _decode_older_format(content, reading)
        return _decode(content, reading)
    except SnapshotError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SnapshotError(f"malformed state file: {type(error).__name__}: {error}") from None


def _verified_content(data: bytes) -> Any:
    """Return the JSON of a file; raise SnapshotError if its header line does not match."""
    head, _, body = data[: MAX_BYTES + 1].partition(b"\n")
    parts = head.split(b" ")
    if len(data) > MAX_BYTES or len(parts) != 4 or parts[0] != _MAGIC:
        raise SnapshotError("not a state file")
    if parts[1] != b"%d" % _VERSION:
        raise SnapshotError("state file of another version")
    if parts[2] != b"%d" % len(body) or parts[3] != hashlib.sha256(body).hexdigest().encode():
        raise SnapshotError("state file truncated or corrupted: length or checksum does not match")
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise SnapshotError(f"malformed state file: {type(error).__name__}: {error}") from None


def _decode(content: Mapping[str, Any], reading: ClockReading) -> StateSnapshot:
    clock = content["clock"]
    written_at = _parse_time(clock["at"])
    # The clock of one boot never goes back, so a time later than now is from another clock.
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
    """Decode a file of the older program, whose times are Unix times in seconds."""
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
    """Return a record whose times are moved by ``shift`` to the reader's clock; no call is later than now."""
    sequence = round(_parse_time(item["at"]) * _SEQUENCES_PER_S)
    upstream = item["who"]
    cordoned = item["out"]
    if not isinstance(upstream, str) or not isinstance(cordoned, bool) or sequence >= _MAX_SEQUENCE:
        raise SnapshotError("malformed cordon record")
    called = min(_parse_time(called_at) + shift, reading.clock)
    expires = math.inf if expires_at is None else float(expires_at) + shift
    if math.isnan(expires):
        raise SnapshotError("malformed cordon record")
    return CordonRecord(upstream, cordoned, called, str(item["by"]), expires, sequence)


def _parse_time(value: Any) -> float:
    time = float(value)
    if isinstance(value, bool) or not 0.0 <= time < math.inf:
        raise SnapshotError("time out of range")
    return time
