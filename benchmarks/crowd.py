"""A crowd that fills the descriptors: lag, memory and descriptors of the sidecar, and what true requests get.

A third of the crowd says nothing, a third sends half a request, a third asks once and stays; each stays for
three seconds. Beside them true requests come on connections of their own. Two checkouts take turns.
Run as ``python -m benchmarks.crowd [--other DIR]``.
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

from benchmarks.exchange import ROOT, memory_kb, roles, start_daemon

_STAY = 3.0  # s
_LATE = 0.6  # s, the aim of both classes


def _message(number: int) -> bytes:
    return (
        b"GET /view/k HTTP/1.1\r\nHost: a\r\nRequest-Id: %d\r\nRequest-Class: view\r\n"
        b"Request-Timeout-Ms: 1200\r\n\r\n" % number
    )


async def _idle(port: int, number: int) -> None:
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write((b"", _message(number)[:-2], _message(number))[number % 3])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STAY):
                while await reader.read(65536):
                    pass
        writer.close()


async def _ask(port: int, number: int, ends: Counter[str], times: list[float]) -> None:
    began = time.perf_counter()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(_message(number))
        async with asyncio.timeout(3.0):
            line = await reader.readuntil(b"\r\n")
        writer.close()
    except (OSError, EOFError, TimeoutError) as error:
        ends[type(error).__name__] += 1
        return
    took = time.perf_counter() - began
    times.append(took)
    ends["in time" if b" 200 " in line and took <= _LATE else line.decode().split()[1]] += 1


async def _play(port: int, pid: int, seconds: float, crowd: int, rate: int) -> dict[str, object]:
    ends: Counter[str] = Counter()
    times: list[float] = []
    most = {"descriptors": 0, "memory_kb": 0}
    tasks, number, began = [], 0, time.perf_counter()
    while (now := time.perf_counter() - began) < seconds:
        while number < now * (crowd + rate):
            number += 1
            true = number % (crowd + rate) < rate
            call = _ask(port, number, ends, times) if true else _idle(port, number)
            tasks.append(asyncio.create_task(call))
        most["descriptors"] = max(most["descriptors"], len(os.listdir(f"/proc/{pid}/fd")))
        most["memory_kb"] = max(most["memory_kb"], memory_kb(pid))
        os.kill(pid, signal.SIGUSR1)
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    times.sort()
    return {**most, "asked": sum(ends.values()), **ends, "p50_ms": round(1e3 * statistics.median(times), 1),
            "p99_ms": round(1e3 * times[int(len(times) * 0.99)], 1)}  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--crowd", type=int, default=900, help="connections a second")
    parser.add_argument("--rate", type=int, default=60, help="true requests a second")
    parser.add_argument("--sockets", type=int, default=576)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--other", type=Path)
    options = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with roles(("node",), ("node",), ("discovery",)) as peers:
        upstreams, discovery = [p.port for p in peers[:-1]], peers[-1].port
        for _ in range(options.rounds):
            for root in (ROOT, options.other) if options.other else (ROOT,):
                with tempfile.TemporaryDirectory() as name:
                    process, port = start_daemon(Path(name), upstreams, discovery, options.sockets, root)
                    play = _play(port, process.pid, options.seconds, options.crowd, options.rate)
                    found = asyncio.run(play)
                    process.terminate()
                    process.wait()
                    log = (Path(name) / "log").read_text().splitlines()
                counts = [json.loads(line.partition("counters ")[2]) for line in log if "counters " in line]
                lags = sorted(count["loop_lag_ms"] for count in counts)
                lag = {
                    "lag_p50_ms": lags[len(lags) // 2],
                    "lag_most_ms": lags[-1],
                    "cpu_s": counts[-1]["cpu_s"],
                }
                print("this" if root == ROOT else "other", json.dumps({**found, **lag}), flush=True)


if __name__ == "__main__":
    main()
