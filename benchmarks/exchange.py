"""CPU time per request of the sidecar, of a plain relay and of a minimal aiohttp proxy, in one run.

They take turns, round by round, between the same peers. Each figure is the CPU time of the process, as the
system counts it, divided by the requests of one round. The aiohttp proxy takes part if aiohttp is installed
(``pip install '.[benchmarks]'``). Run as
``python -m benchmarks.exchange [--rounds N] [--requests N] [--rate R] [--other CHECKOUT]``.
"""

from __future__ import annotations

import argparse
import contextlib
import importlib.util
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
_CONNECTIONS = 16  # that carry the load
_START_ATTEMPTS = 400
_START_INTERVAL_S = 0.01
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "view", "objective-s": 0.6, "deadline-s": 1.2, "effect": "safe", "importance": 2.0},
        {"name": "order", "objective-s": 0.6, "deadline-s": 1.2, "effect": "safe", "importance": 10.0},
    ],
    "balancers": 1,
    "zone": "z",
    "membership-mode": "on_request",
    "telemetry": {"how": "answers"},
    "limits": {
        "second-copies": True,
        "max-attempts": 5,
        "connect-timeout-s": 0.25,
        "keepalive-s": 30.0,
        "retry-after": True,
        "max-retry-after-s": 1.2,
    },
}


class Peer:
    """A peer of the benchmark, in a process of its own."""

    def __init__(self, *args: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.peers", *args], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise SystemExit(f"the peer {args[0]} did not start")
        self.port = int(line)


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


def start_sidecar(
    directory: Path, upstreams: list[int], discovery: int, sockets: int = 1024, root: Path = ROOT
) -> tuple[subprocess.Popen[bytes], int]:
    """Start the sidecar of a checkout. Return its process and port once it accepts connections."""
    port = free_port()
    endpoints = [
        {"name": f"s-{i}", "address": f"127.0.0.1:{upstream}", "zone": "z", "type": "m", "group": i % 3,
         "status": "Ready", "weight": 1.0, "since_ms": 0}
        for i, upstream in enumerate(upstreams)
    ]  # fmt: skip
    config = directory / f"config-{port}.json"
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery}",
                "seed": "1",
                "limits": {"sockets": sockets},
                "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
                "settings": SETTINGS,
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "indigokeel"],
        cwd=root,
        env={**os.environ, "BALANCER_CONFIG": str(config)},
        stderr=(directory / "log").open("ab"),
    )
    for _ in range(_START_ATTEMPTS):
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)):
            return process, port
        time.sleep(_START_INTERVAL_S)
    raise SystemExit("the sidecar did not start")


def cpu(pid: int) -> float:
    """Return the CPU time that all threads of a process have used, in seconds."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def memory_kb(pid: int) -> int:
    """Return the resident memory of a process, in kB."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0])


def submit(port: int, connections: int, requests: int, rate: float = 0.0) -> dict[str, float]:
    """Run one round of load from a process of its own. Return its results."""
    arguments = [str(port), str(connections), str(requests), str(rate)]
    process = subprocess.run(
        [sys.executable, "-m", "benchmarks.peers", "submit", *arguments],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    result: dict[str, float] = json.loads(process.stdout)
    return result


@contextlib.contextmanager
def running_peers(*commands: tuple[str, ...]) -> Iterator[list[Peer]]:
    """Run peers within a context, each given by its role and the arguments of the role."""
    started: list[Peer] = []
    try:
        for args in commands:
            started.append(Peer(*args))
        yield started
    finally:
        for started_peer in started:
            started_peer.process.kill()
            started_peer.process.wait()


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=8000, help="requests in each round")
    parser.add_argument("--rate", type=float, default=0.0, help="requests per second; 0: unlimited")
    parser.add_argument("--upstreams", type=int, default=2)
    parser.add_argument("--other", type=Path, help="another checkout, whose sidecar takes turns too")
    return parser.parse_args()


def _measure(candidates: dict[str, tuple[int, int]], options: argparse.Namespace) -> dict[str, list[float]]:
    """Run the rounds. Return the CPU time per request in us of all rounds but the first, by candidate."""
    results: dict[str, list[float]] = {name: [] for name in candidates}
    for number in range(options.rounds + 1):
        for name, (pid, port) in candidates.items():
            before = cpu(pid)
            result = submit(port, _CONNECTIONS, options.requests, options.rate)
            cpu_us = 1e6 * (cpu(pid) - before) / options.requests
            if number:  # the first round warms up
                results[name].append(cpu_us)
            print(f"{number} {name:8} {cpu_us:7.1f} us  {result}", flush=True)
    return results


def _print_summary(results: dict[str, list[float]]) -> None:
    relay_us = statistics.median(results["relay"])
    for name, figures in results.items():
        median_us = statistics.median(figures)
        print(
            f"{name:8} {median_us:7.1f} us of CPU per request ({min(figures):.1f} to {max(figures):.1f}),"
            f" {median_us / relay_us:.1f} times that of the relay"
        )


def _proxies(upstreams: list[int]) -> list[tuple[str, ...]]:
    """Return the proxies that the sidecar is compared with, each by its role and arguments."""
    proxies: list[tuple[str, ...]] = [("relay", str(upstreams[0]))]
    if importlib.util.find_spec("aiohttp"):
        proxies.append(("aiohttp", *map(str, upstreams)))
    else:
        print("aiohttp is not installed; its proxy is left out")
    return proxies


def main() -> None:
    """Run the benchmark and print its results."""
    options = _parse_arguments()
    upstream_commands = [("upstream",)] * options.upstreams
    with (
        running_peers(*upstream_commands, ("discovery",)) as peers,
        tempfile.TemporaryDirectory() as directory,
    ):
        upstreams = [peer.port for peer in peers[:-1]]
        discovery = peers[-1].port
        proxies = _proxies(upstreams)
        with running_peers(*proxies) as proxy_peers:
            sidecars = {"sidecar": start_sidecar(Path(directory), upstreams, discovery)}
            if options.other:
                sidecars["other"] = start_sidecar(Path(directory), upstreams, discovery, root=options.other)
            candidates = {name: (process.pid, port) for name, (process, port) in sidecars.items()}
            for (name, *_), proxy in zip(proxies, proxy_peers, strict=True):
                candidates[name] = (proxy.process.pid, proxy.port)
            try:
                results = _measure(candidates, options)
                for name, (process, _) in sidecars.items():
                    print(f"{name:8} {memory_kb(process.pid)} kB resident after all rounds")
            finally:
                for process, _ in sidecars.values():
                    process.kill()
            _print_summary(results)


if __name__ == "__main__":
    main()
