"""Goodput of the sidecar at 50% to 300% of the load that one core can carry.

The load is open-loop and comes from four processes. Goodput is the sum of the priority weights of the
requests served within the latency objective, divided by that of all requests. The sidecars of two checkouts
can take turns. Run as
``python -m benchmarks.overload [--capacity R] [--other DIR]``.
"""

from __future__ import annotations

import argparse
import json
import resource
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.exchange import ROOT, cpu, running_peers, start_sidecar, submit

_PRIORITY_WEIGHTS = {"view": 2.0, "order": 10.0}
_LOAD_PROCESSES = 4
_SOCKETS = 20_000
_WARM_UP_REQUESTS = 4000
_CAPACITY_REQUESTS = 8000
_CAPACITY_CONNECTIONS = 16
_FAILURES = ("late", "refused", "failed", "lost", "no_connection")

SidecarProcess = tuple[subprocess.Popen[bytes], int]


def run_load(port: int, rate: float, seconds: float, connections: int, seed: int) -> dict[str, float]:
    """Run one load level. Return the goodput of each class and of all, and the counts of other results."""
    arguments = [str(port), str(connections // _LOAD_PROCESSES), str(rate / _LOAD_PROCESSES), str(seconds)]
    command = [sys.executable, "-m", "benchmarks.peers", "flood", *arguments]
    processes = [
        subprocess.Popen([*command, str(seed * 10 + i)], cwd=ROOT, stdout=subprocess.PIPE, text=True)
        for i in range(_LOAD_PROCESSES)
    ]
    return _summarize([json.loads(process.communicate()[0]) for process in processes])


def _summarize(reports: list[dict[str, Any]]) -> dict[str, float]:
    summary: dict[str, float] = {"refusal_p50_ms": max(report["refusal_p50_ms"] for report in reports)}
    offered_weight = 0.0
    served_weight = 0.0
    for name, weight in _PRIORITY_WEIGHTS.items():
        rows = [report["counts"].get(name, {}) for report in reports]
        offered = sum(row.get("offered", 0) for row in rows)
        in_time = sum(row.get("in_time", 0) for row in rows)
        summary[name] = in_time / max(offered, 1)
        offered_weight += offered * weight
        served_weight += in_time * weight
        for failure in _FAILURES:
            summary[failure] = summary.get(failure, 0) + sum(row.get(failure, 0) for row in rows)
    summary["goodput"] = served_weight / offered_weight
    summary["load_lag_ms"] = 1e3 * max(report["lag_s"] for report in reports)
    return summary


def _measure_capacity(sidecar: SidecarProcess) -> float:
    """Return how many requests the sidecar serves with one second of CPU time."""
    process, port = sidecar
    submit(port, _CAPACITY_CONNECTIONS, _WARM_UP_REQUESTS)
    before = cpu(process.pid)
    submit(port, _CAPACITY_CONNECTIONS, _CAPACITY_REQUESTS)
    return _CAPACITY_REQUESTS / (cpu(process.pid) - before)


def _run_level(
    name: str, sidecar: SidecarProcess, level: int, capacity: float, options: argparse.Namespace
) -> None:
    process, port = sidecar
    before = cpu(process.pid)
    summary = run_load(port, capacity * level / 100, options.seconds, options.connections, level)
    cpu_ratio = (cpu(process.pid) - before) / options.seconds
    row = ", ".join(f"{key} {value:.3g}" for key, value in summary.items())
    print(f"{level:3}% {name:6}: {row}, cpu {cpu_ratio:.2f}", flush=True)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--capacity",
        type=float,
        default=0.0,
        help="requests per second that one core carries; 0: measure it first",
    )
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--connections", type=int, default=3000)
    parser.add_argument("--other", type=Path)
    parser.add_argument("--levels", type=int, nargs="*", default=[50, 80, 100, 120, 150, 200, 250, 300])
    return parser.parse_args()


def main() -> None:
    """Run all load levels and print a line for each."""
    options = _parse_arguments()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    checkouts = {"this": ROOT, **({"other": options.other} if options.other else {})}
    with (
        running_peers(("upstream",), ("upstream",), ("discovery",)) as peers,
        tempfile.TemporaryDirectory() as directory,
    ):
        upstreams = [peer.port for peer in peers[:-1]]
        discovery = peers[-1].port
        sidecars = {
            name: start_sidecar(Path(directory), upstreams, discovery, _SOCKETS, root)
            for name, root in checkouts.items()
        }
        try:
            capacity = options.capacity or _measure_capacity(sidecars["this"])
            print(f"one core carries {capacity:.0f} requests per second", flush=True)
            for level in options.levels:
                for name, sidecar in sidecars.items():
                    _run_level(name, sidecar, level, capacity, options)
        finally:
            for process, _ in sidecars.values():
                process.kill()


if __name__ == "__main__":
    main()
