"""Compare how the state that a process of one checkout stores is used by a process of the other.

Each pair of checkouts goes through the same steps, BASE after BASE first. The behaviour of the second process
there, and the structure of the files that both write, are the baseline for the other pairs.
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
from benchmarks.comparison.upstreams import RequestLog, Upstream, echo

WRITE_INTERVAL_S = 1.0  # interval at which a process writes its state
WARM_UP_REQUESTS = 30
REQUESTS_AFTER = 30
PUSHED_LIST_INDEX = 5
CORDONED = "s-0"
WRITE_MARGIN_S = 0.3  # additional time for a write to finish
LEARNED_CLASS, OTHER_CLASS = "view", "pay"  # classes of the requests to the first and the second process
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class HandoverResult:
    """The observed results of two processes that used a state folder one after the other."""

    first_exit_code: int
    second_exit_code: int
    statuses: tuple[int, ...]  # the distinct statuses of the second process's responses
    cordoned_requests: int  # requests that the second process sent to the cordoned upstream
    others_received: bool  # every other upstream got requests, including the one learned from discovery only
    watch_target: str  # target of the second process's first call to discovery
    learned_kept: bool  # the second process stores state that only the first one has learned
    first_files: str  # structure of the state files that the first process left
    second_files: str


class UpstreamTrio:
    """Three upstreams, each with a request log of its own."""

    def __init__(self) -> None:
        self.received = tuple(RequestLog() for _ in range(3))
        self.servers = tuple(Upstream(echo, received) for received in self.received)
        self.endpoints = tuple(
            Endpoint(f"s-{number}", upstream.address) for number, upstream in enumerate(self.servers)
        )

    def counts(self) -> list[int]:
        """Return the number of requests that each upstream has received."""
        return [len(received.messages) for received in self.received]

    def close(self) -> None:
        """Stop all upstreams."""
        for upstream in self.servers:
            upstream.close()


def state_file_structure(folder: Path, upstreams: UpstreamTrio) -> str:
    """Return the structure of the state files in a folder: the first words of their heads and the keys and
    types of their values, with the addresses of this run replaced by names."""
    structures = set()
    for file in folder.iterdir():
        head, _, body = file.read_bytes().partition(b"\n")
        text = body.decode()
        for endpoint in upstreams.endpoints:
            text = text.replace(endpoint.address, endpoint.name)
        words = head.split(b" ")[:2]
        structures.add(f"{b' '.join(words).decode()} {_structure(json.loads(text))}")
    return " / ".join(sorted(structures))


def _structure(value: Any) -> str:
    """Return the keys and types of a JSON value; items of a list with the same structure are listed once."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key}: {_structure(value[key])}" for key in sorted(value)) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(sorted({_structure(item) for item in value})) + "]"
    if isinstance(value, bool) or value is None:
        return json.dumps(value)
    return "number" if isinstance(value, int | float) else "text"


def learned_latency(folder: Path) -> float | None:
    """Return the stored latency of the class that only the first process has served."""
    for file in folder.iterdir():
        content = json.loads(file.read_bytes().partition(b"\n")[2])
        try:
            return float(content["clock"]["learned"]["classes"][LEARNED_CLASS][0])
        except (KeyError, TypeError):  # a file with cordons only, or with a structure compared elsewhere
            continue
    return None


def run_handover(first: Path, second: Path) -> HandoverResult:
    """Run a process of ``first``, cordon an upstream, stop it, and run one of ``second`` on its folder."""
    upstreams = UpstreamTrio()
    try:
        with scenario_context(first) as writer:
            state_folder = writer.folder / "state"
            state_folder.mkdir()
            exit_code = _write_state(writer, upstreams, state_folder)
            with scenario_context(second) as reader:
                return _read_state(reader, upstreams, state_folder, exit_code)
    finally:
        upstreams.close()


def _write_state(writer: ScenarioContext, upstreams: UpstreamTrio, state_folder: Path) -> int:
    """Have a process learn latencies, an endpoint list and a cordon, and stop it. Return its exit code."""
    program = writer.start(*upstreams.endpoints[:2], admin_enabled=True, state_folder=state_folder)
    writer.wait_watches(1)
    writer.discovery.watches[0].push(EndpointList(PUSHED_LIST_INDEX, upstreams.endpoints).line())
    numbers = iter(range(10**6))

    def all_served() -> bool:
        program.exchange(request(LEARNED_CLASS, f"w-{next(numbers)}"))
        return min(upstreams.counts()) > 0 and next(numbers) > WARM_UP_REQUESTS

    wait_until(all_served, "requests at each upstream")
    if program.call_admin("PUT", "cordon", CORDONED).status != HTTP_OK:
        raise ComparisonError("the first process rejects the cordon")
    time.sleep(WRITE_INTERVAL_S + WRITE_MARGIN_S)
    program.signal(signal.SIGTERM)
    return program.wait()


def _read_state(
    reader: ScenarioContext, upstreams: UpstreamTrio, state_folder: Path, first_exit_code: int
) -> HandoverResult:
    """Start a process without known endpoints on the state folder, have it serve requests, and stop it."""
    first_files, learned = state_file_structure(state_folder, upstreams), learned_latency(state_folder)
    counts = upstreams.counts()
    program = reader.start(admin_enabled=True, state_folder=state_folder)
    reader.wait_watches(1)
    statuses = {
        program.exchange(request(OTHER_CLASS, f"r-{number}")).status for number in range(REQUESTS_AFTER)
    }
    received_counts = [after - before for before, after in zip(counts, upstreams.counts(), strict=True)]
    for file in state_folder.iterdir():  # files found later were written by the second process
        file.unlink(missing_ok=True)
    time.sleep(WRITE_INTERVAL_S + WRITE_MARGIN_S)
    program.signal(signal.SIGTERM)
    exit_code = program.wait()
    return HandoverResult(
        first_exit_code=first_exit_code,
        second_exit_code=exit_code,
        statuses=tuple(sorted(statuses)),
        cordoned_requests=received_counts[0],
        others_received=min(received_counts[1:]) > 0,
        watch_target=reader.discovery.received[0].target,
        learned_kept=learned is not None and learned == learned_latency(state_folder),
        first_files=first_files,
        second_files=state_file_structure(state_folder, upstreams),
    )


def compare_state(base: Path, new: Path) -> Iterator[str]:
    """Yield a line for each result of a pair of checkouts that differs from that of BASE after BASE."""
    expected = run_handover(base, base)
    yield from _check_baseline(expected)
    for label, first, second in (("BASE to NEW", base, new), ("NEW to BASE", new, base)):
        try:
            found = run_handover(first, second)
        except (ComparisonError, OSError) as error:
            yield f"state: {label}: {error}"
            continue
        for field in fields(HandoverResult):
            before, after = getattr(expected, field.name), getattr(found, field.name)
            if before != after:
                yield f"state: {label}: {field.name}: expected {before!r} as BASE to BASE, got {after!r}"


def _check_baseline(result: HandoverResult) -> Iterator[str]:
    """Yield a line if BASE after BASE does not keep its state, so that it is no valid baseline."""
    kept = result.cordoned_requests == 0 and result.others_received and result.learned_kept
    if not kept or result.statuses != (HTTP_OK,):
        yield f"state: BASE to BASE does not keep its state: {result}"
