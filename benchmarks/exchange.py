"""CPU per exchange of the daemon, of a bare relay and of a minimal aiohttp proxy, side by side in one run.

They take turns, round by round, between the same peers; each figure is the CPU time of the whole
process by the system's own count, over the exchanges of one round. The proxy takes part where aiohttp is
installed (``pip install '.[benchmarks]'``). Run as
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


class Role:
    """One peer's process."""

    def __init__(self, *args: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.peers", *args], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        assert self.process.stdout is not None
        said = self.process.stdout.readline()
        if not said:
            raise SystemExit(f"the peer {args[0]} did not start")
        self.port = int(said)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


def start_daemon(
    tmp: Path, upstreams: list[int], discovery: int, sockets: int = 1024, root: Path = ROOT
) -> tuple[subprocess.Popen[bytes], int]:
    """The program as ``run`` starts it, ready; its process and port."""
    port = free_port()
    endpoints = [
        {"name": f"s-{i}", "address": f"127.0.0.1:{upstream}", "zone": "z", "type": "m", "group": i % 3,
         "status": "Ready", "weight": 1.0, "since_ms": 0}
        for i, upstream in enumerate(upstreams)
    ]  # fmt: skip
    config = tmp / f"config-{port}.json"
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
        stderr=(tmp / "log").open("ab"),
    )
    for _ in range(400):
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)):
            return process, port
        time.sleep(0.01)
    raise SystemExit("the daemon did not start")


def cpu(pid: int) -> float:
    """Seconds of CPU a process has used, all threads, to the nanosecond."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def memory_kb(pid: int) -> int:
    """Resident memory of a process."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0])


def submit(port: int, connections: int, requests: int, rate: float = 0.0) -> dict[str, float]:
    """One round of load, from a process of its own."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "benchmarks.peers",
            "submit",
            str(port),
            str(connections),
            str(requests),
            str(rate),
        ],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    result: dict[str, float] = json.loads(done.stdout)
    return result


@contextlib.contextmanager
def roles(*starts: tuple[str, ...]) -> Iterator[list[Role]]:
    started: list[Role] = []
    try:
        for args in starts:
            started.append(Role(*args))
        yield started
    finally:
        for role in started:
            role.process.kill()
            role.process.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=8000, help="in each round")
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second; 0: without a limit")
    parser.add_argument("--upstreams", type=int, default=2)
    parser.add_argument("--other", type=Path, help="another checkout, whose daemon takes turns too")
    options = parser.parse_args()
    with (
        roles(*[("node",)] * options.upstreams, ("discovery",)) as peers,
        tempfile.TemporaryDirectory() as name,
    ):
        upstreams, discovery = [p.port for p in peers[:-1]], peers[-1].port
        others = [("relay", str(upstreams[0]))]
        if importlib.util.find_spec("aiohttp"):
            others.append(("aiohttp", *map(str, upstreams)))
        else:
            print("aiohttp is not installed: its proxy is left out")
        with roles(*others) as beside:
            daemons = {"daemon": start_daemon(Path(name), upstreams, discovery)}
            if options.other:
                daemons["other"] = start_daemon(Path(name), upstreams, discovery, root=options.other)
            under = {
                **{what: (process.pid, port) for what, (process, port) in daemons.items()},
                **{args[0]: (role.process.pid, role.port) for args, role in zip(others, beside, strict=True)},
            }
            found: dict[str, list[float]] = {what: [] for what in under}
            try:
                for turn in range(options.rounds + 1):
                    for what, (pid, port) in under.items():
                        before = cpu(pid)
                        result = submit(port, 16, options.requests, options.rate)
                        spent = 1e6 * (cpu(pid) - before) / options.requests
                        if turn:  # the first warms up
                            found[what].append(spent)
                        print(f"{turn} {what:8} {spent:7.1f} us  {result}", flush=True)
                for what, (process, _) in daemons.items():
                    print(f"{what:8} {memory_kb(process.pid)} kB resident after all rounds")
            finally:
                for process, _ in daemons.values():
                    process.kill()
            base = statistics.median(found["relay"])
            for what, figures in found.items():
                low, middle, high = min(figures), statistics.median(figures), max(figures)
                print(f"{what:8} {middle:7.1f} us of CPU an exchange ({low:.1f} to {high:.1f}),"
                      f" {middle / base:.1f} times the relay")  # fmt: skip


if __name__ == "__main__":
    main()
