"""Runs the soak for each of the given seeds and prints a summary line for each."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.soak.history import History
from tests.soak.judge import Violation, find_violations
from tests.soak.run import Run
from tests.soak.schedule import plan


def run_seed(seed: int, seconds: float, folder: Path) -> tuple[History, list[Violation]]:
    """Run one seed and check its history against the rules."""
    history = asyncio.run(Run(plan(seed, seconds), folder).execute())
    return history, find_violations(history)


def describe(seed: int, seconds: float, history: History, violations: list[Violation]) -> str:
    """Return the summary line of a seed, and for each broken rule the shortest evidence."""
    answers = Counter(answer.code for request in history.requests.values() for answer in request.answers)
    stalled_s = sum(to - since for since, to in history.stalls)
    line = (
        f"seed {seed}: {len(history.requests)} requests, answers {dict(sorted(answers.items()))}, "
        f"{len(history.ends)} shutdowns, {len(history.crashes)} kills, {len(history.removals)} drains and "
        f"cordons, harness stalled {stalled_s:.2f} s, {len(violations)} violations"
        f" (python -m tests.soak --seeds {seed} --seconds {seconds:g})"
    )
    rules = Counter(violation.rule for violation in violations)
    for rule, count in rules.items():
        evidence = min((b.evidence for b in violations if b.rule == rule), key=len)
        line += f"\n  {rule} x{count}: {evidence[:1500]}"
    return line


def parse_seeds(text: str) -> range:
    """Parse ``7`` or ``1-50``."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Run the seeds of the command line; return 1 if any rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 4), help="a seed, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of a run")
    parser.add_argument("--keep", type=Path, help="folder to keep the logs in")
    arguments = parser.parse_args()
    broken = 0
    for seed in arguments.seeds:
        with tempfile.TemporaryDirectory() as temporary:
            folder = arguments.keep / str(seed) if arguments.keep else Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            history, violations = run_seed(seed, arguments.seconds, folder)
        print(describe(seed, arguments.seconds, history, violations), flush=True)
        broken += bool(violations)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
