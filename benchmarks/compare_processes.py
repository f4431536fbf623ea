"""Compare running processes of two checkouts: bytes written, settings decoded and state handed over.

``python3 -m benchmarks.compare_processes BASE_CHECKOUT NEW_CHECKOUT`` prints a line for each difference and
exits with 1 if there are any. It uses only addresses in 127.0.0.0/8 and free ports.
"""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Iterator
from pathlib import Path

from benchmarks.comparison.bytes_comparison import compare_bytes
from benchmarks.comparison.program import ComparisonError
from benchmarks.comparison.restart_comparison import compare_restarts
from benchmarks.comparison.settings_comparison import compare_settings
from benchmarks.comparison.state_comparison import compare_state

COMPARISONS = ("bytes", "settings", "state")


def main() -> int:
    """Run the comparisons; return 1 if anything differs, else 0."""
    # An exit by exception on SIGTERM still stops the processes that the comparison has started.
    signal.signal(signal.SIGTERM, lambda number, _: sys.exit(128 + number))
    found = 0
    try:
        for line in _differences(_arguments()):
            print(line, flush=True)
            found += 1
    except ComparisonError as error:
        print(f"comparison aborted: {error}", flush=True)
        found += 1
    print(f"{found} differences", flush=True)
    return 1 if found else 0


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Compare running processes of two checkouts.")
    parser.add_argument("base", type=Path, metavar="BASE_CHECKOUT")
    parser.add_argument("new", type=Path, metavar="NEW_CHECKOUT")
    parser.add_argument("--only", choices=COMPARISONS, help="run only this comparison")
    parser.add_argument("--scenario", default="", help="run only the scenarios whose names contain this")
    parser.add_argument(
        "--settings",
        type=Path,
        nargs="+",
        default=[],
        metavar="FILE",
        help="also compare how these settings are decoded",
    )
    return parser.parse_args()


def _differences(arguments: argparse.Namespace) -> Iterator[str]:
    base, new = arguments.base.resolve(), arguments.new.resolve()
    if arguments.only in (None, "settings"):
        yield from compare_settings(base, new, arguments.settings)
    if arguments.only in (None, "bytes"):
        yield from compare_bytes(base, new, arguments.scenario)
    if arguments.only in (None, "state"):
        yield from compare_state(base, new)
        yield from compare_restarts(base, new)


if __name__ == "__main__":
    sys.exit(main())
