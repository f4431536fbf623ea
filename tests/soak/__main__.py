"""Plays seeds and prints a line for each."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.soak.history import History
from tests.soak.judge import Breach, judge
from tests.soak.run import Run
from tests.soak.schedule import plan


def play(seed: int, seconds: float, folder: Path) -> tuple[History, list[Breach]]:
    """Play one seed, and judge what was seen."""
    history = asyncio.run(Run(plan(seed, seconds), folder).play())
    return history, judge(history)


def describe(seed: int, seconds: float, history: History, breaches: list[Breach]) -> str:
    """Return the line of a seed, with the shortest piece that shows each broken rule."""
    answers = Counter(answer.code for each in history.requests.values() for answer in each.answers)
    stalled_s = sum(to - since for since, to in history.stalls)
    line = (
        f"seed {seed}: {len(history.requests)} requests, answers {dict(sorted(answers.items()))}, "
        f"{len(history.ends)} shutdowns, {len(history.crashes)} kills, {len(history.notices)} drains, "
        f"harness stalled {stalled_s:.2f} s, {len(breaches)} breaches"
        f" (python -m tests.soak --seeds {seed} --seconds {seconds:g})"
    )
    rules = Counter(breach.rule for breach in breaches)
    for rule, count in rules.items():
        piece = min((b.piece for b in breaches if b.rule == rule), key=len)
        line += f"\n  {rule} x{count}: {piece[:1500]}"
    return line


def parse_seeds(text: str) -> range:
    """Parse ``7`` or ``1-50``."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Play the seeds of the command line; return 1 if a rule was broken."""
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
            history, breaches = play(seed, arguments.seconds, folder)
        print(describe(seed, arguments.seconds, history, breaches), flush=True)
        broken += bool(breaches)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
