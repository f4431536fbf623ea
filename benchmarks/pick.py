"""Time of the balancer per request, by fleet size and request rate, and how evenly it spreads the load.

The balancer runs alone, on a simulated clock. The simulated upstreams differ in speed by a factor of two,
respond after some tens of ms and send a load report with each response. Run as
``python -m benchmarks.pick [--rates R ...] [--sizes N ...]``.
"""

from __future__ import annotations

import argparse
import heapq
import json
import statistics
import time
from random import Random

from indigokeel.balancing import subsetting
from indigokeel.balancing.actions import SendAttempt, SetTimer
from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import (
    AttemptEnded,
    AttemptOutcome,
    Event,
    LoadReport,
    Member,
    MembershipUpdate,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from indigokeel.balancing.settings import ClassSettings, Idempotency, Limits, Settings

SIZES, RATES = (10, 100, 300, 1000, 3000), (80, 320, 1280)
SETTINGS = Settings(
    classes=(ClassSettings("view", latency_objective=0.6, deadline=1.2, idempotency=Idempotency.SAFE),),
    limits=Limits(max_attempts=5),
)


def members(count: int) -> tuple[Member, ...]:
    """Return a fleet in three zones, with replica groups of ten."""
    return tuple(
        Member(f"s-{i}", zone=f"z{i % 3}", kind=f"k{i % 3}", replica_group=i // 10, started=0.0)
        for i in range(count)
    )


def simulate(
    upstreams: int, rate: float, requests: int, seed: int = 1, warm_up: float = 4.0
) -> dict[str, float]:
    """Simulate ``rate`` requests per second.

    Return what was measured after ``warm_up`` seconds, when the balancer's time windows are full:
    its time per request in microseconds, the imbalance of the load, and the number of upstreams used. The
    imbalance is the coefficient of variation, over the upstreams, of attempts divided by speed.
    """
    random = Random(seed)
    balancer = Balancer(SETTINGS, seed)
    balancer.handle(0.0, MembershipUpdate(UpdateKind.CACHED, members(upstreams)))
    speed = {f"s-{i}": random.uniform(0.7, 1.4) for i in range(upstreams)}
    recent_rate = dict.fromkeys(speed, 0.0)  # requests of each per second, exponentially decaying
    decayed_at = dict.fromkeys(speed, 0.0)
    event_queue: list[tuple[float, int, Event]] = []
    number, spent_ns, counted, now = 0, 0, 0, 1000.0
    sent: dict[str, int] = {}
    first_arrival = now
    arrival = now
    total = int(rate * warm_up) + requests

    def handle_event(event: Event) -> None:
        nonlocal spent_ns, number
        before = time.perf_counter_ns()
        actions = balancer.handle(now, event)
        if counting:
            spent_ns += time.perf_counter_ns() - before
        for action in actions:
            if isinstance(action, SendAttempt):
                upstream = action.upstream
                sent[upstream] = sent.get(upstream, 0) + counting
                recent_rate[upstream] = (
                    recent_rate[upstream] * 2.718281828 ** (decayed_at[upstream] - now) + 1.0
                )
                decayed_at[upstream] = now
                qps = recent_rate[upstream]
                latency_s = random.uniform(0.03, 0.08) / speed[upstream]
                report = LoadReport(rate=qps, utilisation=min(qps * 0.02 / speed[upstream], 1.0))
                number += 1
                ended = AttemptEnded(action.id, upstream, 0, AttemptOutcome.OK, latency_s, True, report)
                heapq.heappush(event_queue, (now + latency_s, number, ended))
            elif isinstance(action, SetTimer):
                number += 1
                heapq.heappush(event_queue, (now + action.delay, number, TimerFired(action.token)))

    for request in range(total):
        counting = arrival - first_arrival >= warm_up
        while event_queue and event_queue[0][0] <= arrival:
            now, _, event = heapq.heappop(event_queue)
            handle_event(event)
        now = arrival
        counted += counting
        handle_event(RequestArrived(f"r{request}", "view", 1.2))
        arrival += random.expovariate(rate)
    relative_loads = [sent.get(name, 0) / speed[name] for name in speed]
    mean = statistics.fmean(relative_loads)
    return {
        "us": spent_ns / 1e3 / max(counted, 1),
        "imbalance": statistics.pstdev(relative_loads) / mean if mean else 0.0,
        "used": sum(1 for n in sent.values() if n),
    }


def compare(sizes: list[int], rates: list[int], seeds: int, seconds: float) -> None:
    """Compare the selection index with a scan of the whole subset, on the same seeds: time and imbalance."""
    for upstreams in sizes:
        for rate in rates:
            rows: dict[str, list[dict[str, float]]] = {"index": [], "scan": []}
            for seed in range(1, seeds + 1):
                for kind, runs in rows.items():
                    subsetting.MAX_SCANNED_UPSTREAMS = 16 if kind == "index" else 10**9
                    runs.append(simulate(upstreams, rate, int(rate * seconds), seed))
            differences = [
                a["imbalance"] - b["imbalance"] for a, b in zip(rows["index"], rows["scan"], strict=True)
            ]
            standard_error = statistics.stdev(differences) / len(differences) ** 0.5 if seeds > 1 else 0.0
            print(
                f"{upstreams} upstreams, {rate} requests/s: "
                + ", ".join(
                    f"{kind} {statistics.median(run['us'] for run in runs):.0f} us, imbalance "
                    f"{statistics.fmean(run['imbalance'] for run in runs):.3f}"
                    for kind, runs in rows.items()
                )
                + f"; difference {statistics.fmean(differences):+.4f} (standard error {standard_error:.4f})",
                flush=True,
            )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--rates", type=int, nargs="*", default=RATES)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--compare",
        type=int,
        default=0,
        metavar="SEEDS",
        help="compare the selection index with a scan of the subset, on so many seeds",
    )
    options = parser.parse_args()
    if options.compare:
        compare(options.sizes, options.rates, options.compare, options.seconds)
        return
    for upstreams in options.sizes:
        row = [simulate(upstreams, rate, int(rate * options.seconds), options.seed) for rate in options.rates]
        if options.json:
            print(json.dumps({"nodes": upstreams, "rates": options.rates, "found": row}))
        else:
            print(
                f"{upstreams:5} upstreams: "
                + " / ".join(f"{result['us']:6.1f}" for result in row)
                + " us per request",
                flush=True,
            )


if __name__ == "__main__":
    main()
