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

from indigokeel.cordons import Mark
from indigokeel.learned import OFFSET
from indigokeel.machine_list import MachineList, entry, machine_list
from indigokeel.start_times import StartsSnapshot

MOST = 4 << 20  # bytes
_MAGIC = b"indigokeel-handover"
_VERSION = 1
_KEPT = 600.0  # s that the word on a node that was given back is passed on
_SEQUENCES_PER_S = 1e6  # sequence numbers to a second of version 1
_MOST_SEQUENCE = 2**53  # a JSON number holds no larger one exactly


class HandoverError(ValueError):
    """Bytes that nobody may rely on."""


@dataclass(frozen=True, slots=True)
class Moment:
    """The time at which a process writes or reads."""

    clock: float  # of the monotonic clock
    boot: str = ""  # of the machine; empty where it is not known
    unix_to_clock: float = 0.0  # what has to be added to Unix seconds, as well as this process knows


@dataclass(frozen=True, slots=True)
class Learned:
    """What the decisions had learnt at one time; see ``learned.py``, which checks the figures."""

    figures: Any
    at: float  # clock time


@dataclass(frozen=True, slots=True)
class Handover:
    """What is passed on. Times are the reader's clock."""

    marks: tuple[Mark, ...]
    known: MachineList | None = None
    learned: Learned | None = None  # None also where its age is unknown
    starts: StartsSnapshot | None = None


def encode(
    moment: Moment,
    marks: Iterable[Mark],
    known: MachineList | None = None,
    learned: Learned | None = None,
    starts: StartsSnapshot | None = None,
) -> bytes:
    """The bytes to leave."""
    clock: dict[str, Any] = {"boot": moment.boot, "at": moment.clock}
    if learned is not None and learned.figures is not None:
        clock["learned"], clock["learned_at"] = learned.figures, learned.at
    if starts is not None:
        clock["current_at"], clock["starts"] = starts.current_at, dict(starts.starts)
    body: dict[str, Any] = {
        "clock": clock,
        "marks": [_entry(mark) for mark in marks if mark.out or moment.clock - mark.at < _KEPT],
    }
    if known is not None:
        body["listed_at"], body["version"] = 0.0, known.version  # version 1 asks for the first
        body["machines"] = [entry(machine) for machine in known.machines]
    data = orjson.dumps(body)
    return b"%s %d %d %s\n" % (_MAGIC, _VERSION, len(data), hashlib.sha256(data).hexdigest().encode()) + data


def _entry(mark: Mark) -> dict[str, Any]:
    return {
        "who": mark.who,
        "out": mark.out,
        "at": mark.sequence / _SEQUENCES_PER_S,
        "by": mark.by,
        "until": None,  # in Unix seconds; version 1 keeps the node out until it is given back
        "called_at": mark.at,
        "ends_at": None if mark.until == math.inf else mark.until,
    }


def decode(data: bytes, moment: Moment) -> Handover:
    """Read them again; raises HandoverError on bytes that are torn, foreign or of another version."""
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
        return _decode_first_form(told, moment) if "clock" not in told else _decode(told, moment)
    except HandoverError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise HandoverError(f"a handover of a wrong shape: {type(error).__name__}: {error}") from None


def _decode(told: Mapping[str, Any], moment: Moment) -> Handover:
    clock = told["clock"]
    written = _time(clock["at"])
    # The clock of one boot never goes back: a later time is one of another clock.
    same = bool(moment.boot) and clock["boot"] == moment.boot and written <= moment.clock
    shift = 0.0 if same else moment.clock - written
    marks = tuple(_mark(item, item["called_at"], item["ends_at"], shift, moment) for item in told["marks"])
    learned = starts = None
    if same and "learned" in clock:
        learned = Learned(clock["learned"], _time(clock["learned_at"]))
    if same and "starts" in clock:
        starts = StartsSnapshot(
            _time(clock["current_at"]),
            {str(name): (_time(since), _time(at)) for name, (since, at) in clock["starts"].items()},
        )
    return Handover(marks, _listed(told), learned, starts)


def _decode_first_form(told: Mapping[str, Any], moment: Moment) -> Handover:
    """What version 1 wrote, whose times are Unix seconds."""
    offset = moment.unix_to_clock
    marks = tuple(_mark(item, item["at"], item["until"], offset, moment) for item in told["marks"])
    learned = None
    if told.get("learned") is not None:
        figures = {**told["learned"], OFFSET: offset}
        learned = Learned(figures, min(_time(told.get("at", 0.0)) + offset, moment.clock))
    return Handover(marks, _listed(told), learned)


def _listed(told: Mapping[str, Any]) -> MachineList | None:
    if "machines" not in told:
        return None
    _time(told["listed_at"])
    return machine_list({"index": told["version"], "snapshot": True, "endpoints": told["machines"]})


def _mark(item: Mapping[str, Any], at: Any, until: Any, shift: float, moment: Moment) -> Mark:
    """A mark whose times become the reader's by ``shift``; none was made later than now."""
    sequence = round(_time(item["at"]) * _SEQUENCES_PER_S)
    if not isinstance(item["who"], str) or not isinstance(item["out"], bool) or sequence >= _MOST_SEQUENCE:
        raise HandoverError("a mark of a wrong shape")
    made_at = min(_time(at) + shift, moment.clock)
    ends_at = math.inf if until is None else float(until) + shift
    if math.isnan(ends_at):
        raise HandoverError("a mark of a wrong shape")
    return Mark(item["who"], item["out"], made_at, str(item["by"]), ends_at, sequence)


def _time(value: Any) -> float:
    time = float(value)
    if isinstance(value, bool) or not 0.0 <= time < math.inf:
        raise HandoverError("a time out of range")
    return time
