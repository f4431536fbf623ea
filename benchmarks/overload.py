"""What is still served when the sidecar itself is asked for more than its core carries: 50% to 300% of it.

Open-loop floods from four processes; service is the worth answered within the aim over the worth asked. Two
checkouts can take turns. Run as ``python -m benchmarks.overload [--capacity R] [--other DIR]``.
"""

from __future__ import annotations

import argparse
import json
import resource
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.exchange import ROOT, cpu, roles, start_daemon, submit

_WORTH = {"view": 2.0, "order": 10.0}
_FLOODS = 4


def flood(port: int, rate: float, seconds: float, lines: int, seed: int) -> dict[str, float]:
    """One load level: the service of each class and of all, and how the rest was answered."""
    started = [
        subprocess.Popen(
            [sys.executable, "-m", "benchmarks.peers", "flood",
             *map(str, (port, lines // _FLOODS, rate / _FLOODS, seconds, seed * 10 + i))],
            cwd=ROOT, stdout=subprocess.PIPE, text=True,
        )
        for i in range(_FLOODS)
    ]  # fmt: skip
    found = [json.loads(process.communicate()[0]) for process in started]
    total: dict[str, float] = {"refusal_p50_ms": max(f["refusal_p50_ms"] for f in found)}
    asked = served = 0.0
    for name, priority_weight in _WORTH.items():
        rows = [f["counts"].get(name, {}) for f in found]
        wanted, good = (sum(row.get(what, 0) for row in rows) for what in ("asked", "in_time"))
        total[name] = good / max(wanted, 1)
        asked, served = asked + wanted * priority_weight, served + good * priority_weight
        for what in ("late", "refused", "failed", "lost", "no_line"):
            total[what] = total.get(what, 0) + sum(row.get(what, 0) for row in rows)
    total["service"] = served / asked
    total["own_lag_ms"] = 1e3 * max(f["own_lag"] for f in found)
    return total


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--capacity", type=float, default=0.0, help="jobs a second; 0: measured first")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--lines", type=int, default=3000)
    parser.add_argument("--other", type=Path)
    parser.add_argument("--levels", type=int, nargs="*", default=[50, 80, 100, 120, 150, 200, 250, 300])
    options = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with roles(("node",), ("node",), ("discovery",)) as peers, tempfile.TemporaryDirectory() as name:
        upstreams, discovery = [p.port for p in peers[:-1]], peers[-1].port
        under = {"daemon": ROOT, **({"other": options.other} if options.other else {})}
        daemons = {
            what: start_daemon(Path(name), upstreams, discovery, 20_000, root) for what, root in under.items()
        }
        try:
            capacity = options.capacity
            if not capacity:
                process, port = daemons["daemon"]
                submit(port, 16, 4000)
                before = cpu(process.pid)
                submit(port, 16, 8000)
                capacity = 8000 / (cpu(process.pid) - before)
            print(f"one core carries {capacity:.0f} jobs a second", flush=True)
            for level in options.levels:
                for what, (process, port) in daemons.items():
                    before = cpu(process.pid)
                    found = flood(port, capacity * level / 100, options.seconds, options.lines, level)
                    spent = (cpu(process.pid) - before) / options.seconds
                    row = ", ".join(f"{key} {value:.3g}" for key, value in found.items())
                    print(f"{level:3}% {what:6}: {row}, cpu {spent:.2f}", flush=True)
        finally:
            for process, _ in daemons.values():
                process.kill()


if __name__ == "__main__":
    main()
