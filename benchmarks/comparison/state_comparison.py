"""Comparison 3: state that a process of one checkout leaves is used by a process of the other.

Each pair of checkouts goes through the same steps, BASE after BASE first: what the second process then shows,
and the form of the files that either writes, is what the other pairs are held against.
"""

from __future__ import annotations

import json
import signal
import time
from collections.abc import Iterator
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from benchmarks.comparison.discovery import Endpoint, EndpointList
from benchmarks.comparison.messages import request
from benchmarks.comparison.program import ComparisonError, wait_until
from benchmarks.comparison.scenario import ScenarioContext, scenario_context
from benchmarks.comparison.upstreams import Received, Upstream, echo

WRITE_INTERVAL_S = 1.0  # between two writings of a process's own state
WARM_UP_REQUESTS = 30
REQUESTS_AFTER = 30
LISTED_INDEX = 5
CORDONED = "s-0"
MARGIN_S = 0.3  # for a state that is about to be written
LEARNED_CLASS, OTHER_CLASS = "view", "pay"  # served by the first process, and by the second one
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class PassedState:
    """What two processes, one after the other on one state folder, showed."""

    first_exit_code: int
    second_exit_code: int
    statuses: tuple[int, ...]  # of the second one's responses, without repetition
    cordoned_got: int  # requests at the cordoned upstream from the second one
    others_got: bool  # each of the others had some, also the one that only discovery had named
    watched_from: str  # the target of the second one's first call to discovery
    learned_kept: bool  # the second one passes on what only the first one had learnt
    first_files: str  # the form of the files that the first one left
    second_files: str


class UpstreamTrio:
    """Three upstreams, each with a record of its own."""

    def __init__(self) -> None:
        self.received = tuple(Received() for _ in range(3))
        self.servers = tuple(Upstream(echo, received) for received in self.received)
        self.endpoints = tuple(
            Endpoint(f"s-{number}", upstream.address) for number, upstream in enumerate(self.servers)
        )

    def counts(self) -> list[int]:
        """Return how many requests each has received."""
        return [len(received.messages) for received in self.received]

    def close(self) -> None:
        """Stop all."""
        for upstream in self.servers:
            upstream.close()


def file_shape(folder: Path, upstreams: UpstreamTrio) -> str:
    """Return the form of the state files in a folder: their first words and the keys and kinds of their
    values, with names for the addresses of this run."""
    forms = set()
    for file in folder.iterdir():
        head, _, body = file.read_bytes().partition(b"\n")
        text = body.decode()
        for endpoint in upstreams.endpoints:
            text = text.replace(endpoint.address, endpoint.name)
        words = head.split(b" ")[:2]
        forms.add(f"{b' '.join(words).decode()} {_shape(json.loads(text))}")
    return " / ".join(sorted(forms))


def _shape(value: Any) -> str:
    """Return the keys and kinds of a value of JSON; equal forms of a list's items stand once."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key}: {_shape(value[key])}" for key in sorted(value)) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(sorted({_shape(item) for item in value})) + "]"
    if isinstance(value, bool) or value is None:
        return json.dumps(value)
    return "number" if isinstance(value, int | float) else "text"


def learned_latency(folder: Path) -> float | None:
    """Return the latency that state files tell of the class that only the first process serves."""
    for file in folder.iterdir():
        content = json.loads(file.read_bytes().partition(b"\n")[2])
        try:
            return float(content["clock"]["learned"]["classes"][LEARNED_CLASS][0])
        except (KeyError, TypeError):  # a file of cordons alone, or of another form, which is compared itself
            continue
    return None


def pass_state(first: Path, second: Path) -> PassedState:
    """Run a process of ``first``, cordon an upstream, end it, and run one of ``second`` on its folder."""
    upstreams = UpstreamTrio()
    try:
        with scenario_context(first) as writing:
            state_folder = writing.folder / "state"
            state_folder.mkdir()
            exit_code = _write_state(writing, upstreams, state_folder)
            with scenario_context(second) as reading:
                return _read_state(reading, upstreams, state_folder, exit_code)
    finally:
        upstreams.close()


def _write_state(writing: ScenarioContext, upstreams: UpstreamTrio, state_folder: Path) -> int:
    """Have a process learn, receive a list and a cordon, and end. Return its exit code."""
    program = writing.start(*upstreams.endpoints[:2], operators=True, state_folder=state_folder)
    writing.wait_watches(1)
    writing.discovery.watches[0].push(EndpointList(LISTED_INDEX, upstreams.endpoints).line())
    numbers = iter(range(10**6))

    def all_served() -> bool:
        program.exchange(request(LEARNED_CLASS, f"w-{next(numbers)}"))
        return min(upstreams.counts()) > 0 and next(numbers) > WARM_UP_REQUESTS

    wait_until(all_served, "requests at each upstream")
    if program.call_operator("PUT", "cordon", CORDONED).status != HTTP_OK:
        raise ComparisonError("the first process does not cordon")
    time.sleep(WRITE_INTERVAL_S + MARGIN_S)
    program.signal(signal.SIGTERM)
    return program.wait()


def _read_state(
    reading: ScenarioContext, upstreams: UpstreamTrio, state_folder: Path, first_exit_code: int
) -> PassedState:
    """Have a process without endpoints of its own start on the folder, serve, and end."""
    first_files, learned = file_shape(state_folder, upstreams), learned_latency(state_folder)
    counts = upstreams.counts()
    program = reading.start(operators=True, state_folder=state_folder)
    reading.wait_watches(1)
    statuses = {
        program.exchange(request(OTHER_CLASS, f"r-{number}")).status for number in range(REQUESTS_AFTER)
    }
    got = [after - before for before, after in zip(counts, upstreams.counts(), strict=True)]
    for file in state_folder.iterdir():  # what the second one writes from here on is its own
        file.unlink(missing_ok=True)
    time.sleep(WRITE_INTERVAL_S + MARGIN_S)
    program.signal(signal.SIGTERM)
    exit_code = program.wait()
    return PassedState(
        first_exit_code=first_exit_code,
        second_exit_code=exit_code,
        statuses=tuple(sorted(statuses)),
        cordoned_got=got[0],
        others_got=min(got[1:]) > 0,
        watched_from=reading.discovery.received[0].target,
        learned_kept=learned is not None and learned == learned_latency(state_folder),
        first_files=first_files,
        second_files=file_shape(state_folder, upstreams),
    )


def compare_state(base: Path, new: Path) -> Iterator[str]:
    """Yield a line for each thing that a pair of checkouts shows otherwise than BASE after BASE."""
    expected = pass_state(base, base)
    yield from _unusable(expected)
    for label, first, second in (("BASE to NEW", base, new), ("NEW to BASE", new, base)):
        try:
            found = pass_state(first, second)
        except (ComparisonError, OSError) as error:
            yield f"state: {label}: {error}"
            continue
        for field in fields(PassedState):
            before, after = getattr(expected, field.name), getattr(found, field.name)
            if before != after:
                yield f"state: {label}: {field.name}: BASE to BASE {before!r} here {after!r}"


def _unusable(passed: PassedState) -> Iterator[str]:
    """Yield a line where BASE after BASE does not itself show what the others are held against."""
    kept = passed.cordoned_got == 0 and passed.others_got and passed.learned_kept
    if not kept or passed.statuses != (HTTP_OK,):
        yield f"state: BASE to BASE does not keep its state: {passed}"
