"""A sidecar whose descriptors are exhausted by a crowd of clients: its lag, memory and descriptors, and the
responses to ordinary requests.

A third of the clients in the crowd send nothing, a third send an incomplete request, and a third send one
request; each stays connected for three seconds. Ordinary requests are sent on connections of their own. The
sidecars of two checkouts can take turns. Run as ``python -m benchmarks.crowd [--other DIR]``.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import resource
import signal
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path

from benchmarks.exchange import ROOT, memory_kb, running_peers, start_sidecar

_STAY_S = 3.0
_LATENCY_OBJECTIVE_S = 0.6  # of both classes
_RESPONSE_TIMEOUT_S = 3.0
_SAMPLE_INTERVAL_S = 0.05


def _message(number: int) -> bytes:
    """Return the bytes of a request."""
    return (
        b"GET /view/k HTTP/1.1\r\nHost: a\r\nRequest-Id: %d\r\nRequest-Class: view\r\n"
        b"Request-Timeout-Ms: 1200\r\n\r\n" % number
    )


async def _connect_and_stay(port: int, number: int) -> None:
    """Connect; send nothing, an incomplete request or a whole one; and stay connected."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write((b"", _message(number)[:-2], _message(number))[number % 3])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STAY_S):
                while await reader.read(65536):
                    pass
        writer.close()


async def _send_ordinary_request(
    port: int, number: int, outcomes: Counter[str], latencies_s: list[float]
) -> None:
    """Send an ordinary request. Count its outcome, and record its latency if it gets a response."""
    started_at = time.perf_counter()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(_message(number))
        async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
            line = await reader.readuntil(b"\r\n")
        writer.close()
    except (OSError, EOFError, TimeoutError) as error:
        outcomes[type(error).__name__] += 1
        return
    elapsed_s = time.perf_counter() - started_at
    latencies_s.append(elapsed_s)
    in_time = b" 200 " in line and elapsed_s <= _LATENCY_OBJECTIVE_S
    outcomes["in time" if in_time else line.decode().split()[1]] += 1


async def _run_load(port: int, pid: int, seconds: float, crowd: int, rate: int) -> dict[str, object]:
    """Run the load against one sidecar. Return the figures."""
    outcomes: Counter[str] = Counter()
    latencies_s: list[float] = []
    maxima = {"descriptors": 0, "memory_kb": 0}
    tasks, number, started_at = [], 0, time.perf_counter()
    while (now := time.perf_counter() - started_at) < seconds:
        while number < now * (crowd + rate):
            number += 1
            is_ordinary = number % (crowd + rate) < rate
            client = (
                _send_ordinary_request(port, number, outcomes, latencies_s)
                if is_ordinary
                else _connect_and_stay(port, number)
            )
            tasks.append(asyncio.create_task(client))
        maxima["descriptors"] = max(maxima["descriptors"], len(os.listdir(f"/proc/{pid}/fd")))
        maxima["memory_kb"] = max(maxima["memory_kb"], memory_kb(pid))
        os.kill(pid, signal.SIGUSR1)  # makes the sidecar log its counters, with the lag
        await asyncio.sleep(_SAMPLE_INTERVAL_S)
    await asyncio.gather(*tasks)
    latencies_s.sort()
    return {**maxima, "asked": sum(outcomes.values()), **outcomes,
            "p50_ms": round(1e3 * statistics.median(latencies_s), 1),
            "p99_ms": round(1e3 * latencies_s[int(len(latencies_s) * 0.99)], 1)}  # fmt: skip


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--crowd", type=int, default=900, help="connections of the crowd per second")
    parser.add_argument("--rate", type=int, default=60, help="ordinary requests per second")
    parser.add_argument("--sockets", type=int, default=576)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--other", type=Path)
    options = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with running_peers(("upstream",), ("upstream",), ("discovery",)) as peers:
        upstreams = [peer.port for peer in peers[:-1]]
        for _ in range(options.rounds):
            for root in (ROOT, options.other) if options.other else (ROOT,):
                figures = _measure(root, upstreams, peers[-1].port, options)
                print("this" if root == ROOT else "other", json.dumps(figures), flush=True)


def _measure(
    root: Path, upstreams: list[int], discovery: int, options: argparse.Namespace
) -> dict[str, object]:
    """Run the sidecar of one checkout under the load. Return the figures."""
    with tempfile.TemporaryDirectory() as name:
        process, port = start_sidecar(Path(name), upstreams, discovery, options.sockets, root)
        load = _run_load(port, process.pid, options.seconds, options.crowd, options.rate)
        figures = asyncio.run(load)
        process.terminate()
        process.wait()
        log = (Path(name) / "log").read_text().splitlines()
    counters = [json.loads(line.partition("counters ")[2]) for line in log if "counters " in line]
    lags_ms = sorted(count["loop_lag_ms"] for count in counters)
    return {
        **figures,
        "lag_p50_ms": lags_ms[len(lags_ms) // 2],
        "lag_most_ms": lags_ms[-1],
        "cpu_s": counters[-1]["cpu_s"],
    }


if __name__ == "__main__":
    main()
