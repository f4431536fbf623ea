"""Compare the decisions of two checkouts on the simulator's wire protocol, byte for byte.

Each scenario is first run interactively with the adapter of the base checkout: a seeded model of clients and
upstreams (``simulated_traffic.py``) reads the replies and generates the next events. The recorded input is
then replayed to the adapter of the new checkout, and both outputs must be equal. The exit code is 1 on a
difference.

Run as ``python -m benchmarks.compare_decisions BASE_CHECKOUT NEW_CHECKOUT [--scenarios N] [--seed N]
[--quick]``; with ``--record`` and one checkout it only prints the hash of that checkout's outputs. Settings
reloads and the sidecar's own event loop lag are not part of this protocol and are not compared.
"""

from __future__ import annotations

import argparse
import hashlib
import os
import re
import shlex
import subprocess
import sys
import threading
import tomllib
from dataclasses import dataclass, replace
from itertools import zip_longest
from pathlib import Path
from random import Random
from typing import IO

from benchmarks.simulated_traffic import Simulation
from benchmarks.wire_scenarios import Scenario, named_scenarios, random_scenario

RANDOM_SCENARIOS = 6  # generated in addition to the named scenarios by default
QUICK_SECONDS = 2.5  # upper limit of the simulated duration of a scenario with --quick
QUICK_STRIDE = 2  # with --quick, one in every QUICK_STRIDE scenarios is run
SCENARIO_TIMEOUT_S = 30.0  # real time; an adapter that takes longer for a scenario is considered hung
LOG_TEXT = re.compile(r"^(PRINT sidecar=\d+) .*$", re.MULTILINE)
MAX_SHOWN_LENGTH = 160  # characters shown of a differing line


class AdapterError(RuntimeError):
    """Raised when an adapter cannot be started, fails, or violates the wire protocol."""


@dataclass(frozen=True, slots=True)
class Recording:
    """The input of one scenario and the output of the base adapter, with counts of both."""

    input: str
    output: str
    batches: int
    requests: int
    actions: int
    fatal: int


@dataclass(frozen=True, slots=True)
class Difference:
    """The first line in which two outputs differ; one of the outputs may have ended before it."""

    line: int
    base: str
    new: str


def adapter_command(checkout: Path) -> list[str]:
    """Return the command of a checkout's adapter, as its deploy file names it, for this interpreter."""
    deploy = tomllib.loads((checkout / "deploy" / "balancer.toml").read_text())
    words = shlex.split(deploy["sim"])
    if "-m" not in words[:-1]:
        raise AdapterError(
            f"{checkout}: the sim command in deploy/balancer.toml has no -m MODULE: {deploy['sim']!r}"
        )
    return [sys.executable, "-B", "-m", words[words.index("-m") + 1]]


def adapter_environment() -> dict[str, str]:
    """Return the adapters' environment: without PYTHONPATH, each imports its own checkout's modules only."""
    return {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}


def record(checkout: Path, scenario: Scenario, seed: int) -> Recording:
    """Run a scenario interactively with the adapter of a checkout."""
    simulation = Simulation(scenario, seed)
    sent: list[str] = []
    received: list[str] = []
    batches = 0
    with subprocess.Popen(
        adapter_command(checkout),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        cwd=checkout,
        env=adapter_environment(),
        text=True,
        encoding="utf-8",
    ) as adapter:
        assert adapter.stdin is not None and adapter.stdout is not None
        watchdog = threading.Timer(SCENARIO_TIMEOUT_S, adapter.kill)
        watchdog.start()
        while (lines := simulation.next_batch()) is not None:
            batch = "\n".join(lines) + "\n"
            adapter.stdin.write(batch)
            adapter.stdin.flush()
            reply = read_reply(adapter.stdout)
            sent.append(batch)
            received += reply
            batches += 1
            simulation.execute_actions(reply)
        adapter.stdin.close()
        received += adapter.stdout.read().splitlines()
        watchdog.cancel()
    if adapter.returncode != 0:
        raise AdapterError(f"{checkout}: the adapter ended with {adapter.returncode}")
    output = "\n".join(received) + "\n"
    return Recording(
        "".join(sent), output, batches, simulation.requests, simulation.actions, simulation.fatal
    )


def read_reply(source: IO[str]) -> list[str]:
    """Read the lines of one reply, up to and including its DONE line."""
    lines: list[str] = []
    for line in source:
        lines.append(line.rstrip("\n"))
        if line.startswith("DONE"):
            return lines
    raise AdapterError(f"the adapter's output ended in the middle of a reply, after {lines[-1:]}")


def replay(checkout: Path, recorded: str) -> str:
    """Return the output of a checkout's adapter for recorded input."""
    completed = subprocess.run(
        adapter_command(checkout),
        input=recorded,
        stdout=subprocess.PIPE,
        cwd=checkout,
        env=adapter_environment(),
        text=True,
        encoding="utf-8",
        timeout=SCENARIO_TIMEOUT_S,
        check=False,
    )
    if completed.returncode != 0:
        raise AdapterError(f"{checkout}: the adapter ended with {completed.returncode}")
    return completed.stdout


def without_log_text(output: str) -> str:
    """Return an output in which each log line is kept but its free text is removed."""
    return LOG_TEXT.sub(r"\1", output)


def first_difference(base: str, new: str) -> Difference | None:
    """Return the first line in which the outputs differ, or None if they are equal byte for byte."""
    if base == new:
        return None
    pairs = zip_longest(base.split("\n"), new.split("\n"), fillvalue="(end of the output)")
    for number, (base_line, new_line) in enumerate(pairs, 1):
        if base_line != new_line:
            return Difference(number, base_line, new_line)
    raise AssertionError("the outputs differ, but none of their lines do")


def choose_scenarios(number: int | None, seed: int, quick: bool) -> list[Scenario]:
    """Return the named scenarios followed by random ones, ``number`` in total if it is given."""
    named = named_scenarios()
    number = len(named) + RANDOM_SCENARIOS if number is None else number
    random = Random(f"{seed}/scenarios")
    drawn = [random_scenario(i, random) for i in range(max(number - len(named), 0))]
    chosen = [*named, *drawn][:number]
    if not quick:
        return chosen
    return [replace(s, seconds=min(s.seconds, QUICK_SECONDS)) for s in chosen[::QUICK_STRIDE]]


def report(scenario: Scenario, recording: Recording, result: str) -> None:
    """Print the result of one scenario on one line."""
    fatal = f", {recording.fatal} FATAL" if recording.fatal else ""
    print(
        f"{scenario.name}: {recording.batches} batches, {recording.requests} requests, "
        f"{recording.actions} actions{fatal}: {result}",
        flush=True,
    )


def compare(
    base: Path, new: Path | None, scenarios: list[Scenario], seed: int, ignore_log_text: bool = False
) -> int:
    """Run all scenarios and print a line for each; return the number of scenarios that differ."""
    digest = hashlib.sha256()
    differing = 0
    for scenario in scenarios:
        recording = record(base, scenario, seed)
        digest.update(recording.output.encode())
        if new is None:
            report(scenario, recording, "recorded")
            continue
        base_output = without_log_text(recording.output) if ignore_log_text else recording.output
        new_output = replay(new, recording.input)
        if ignore_log_text:
            new_output = without_log_text(new_output)
        difference = first_difference(base_output, new_output)
        if difference is None:
            report(scenario, recording, "equal")
            continue
        differing += 1
        report(scenario, recording, f"first difference in line {difference.line}")
        print(
            f"  base: {difference.base[:MAX_SHOWN_LENGTH]}\n  new:  {difference.new[:MAX_SHOWN_LENGTH]}",
            flush=True,
        )
    print(
        f"{len(scenarios)} scenarios, {differing} differ; SHA-256 of the base outputs: {digest.hexdigest()}"
    )
    return differing


def main() -> int:
    """Run the command; return 1 if outputs differ and 2 if an adapter fails."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("base", type=Path, metavar="BASE_CHECKOUT")
    parser.add_argument("new", type=Path, nargs="?", metavar="NEW_CHECKOUT")
    parser.add_argument(
        "--scenarios",
        type=int,
        metavar="N",
        help="number of scenarios; those beyond the named ones are random",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="run fewer and shorter scenarios")
    parser.add_argument("--ignore-log-text", action="store_true", help="compare log lines without their text")
    parser.add_argument(
        "--record", action="store_true", help="run a single checkout and print the hash of its outputs"
    )
    options = parser.parse_args()
    if options.record == (options.new is not None):
        parser.error("two checkouts are needed, or one with --record")
    new = options.new.resolve() if options.new else None
    scenarios = choose_scenarios(options.scenarios, options.seed, options.quick)
    try:
        differing = compare(options.base.resolve(), new, scenarios, options.seed, options.ignore_log_text)
    except (AdapterError, OSError, subprocess.SubprocessError) as error:
        print(f"compare_decisions: {error}", file=sys.stderr)
        return 2
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
