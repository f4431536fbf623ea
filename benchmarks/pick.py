"""What the decision module costs by the job, by the size of the fleet and the rate; and what its odds are.

The module runs alone, on a clock of its own. Nodes differ in speed by a factor of two, answer in some tens
of ms and report with each answer. Run as ``python -m benchmarks.pick [--rates R ...] [--sizes N ...]``.
"""

from __future__ import annotations

import argparse
import heapq
import json
import statistics
import time
from random import Random

from indigokeel.decision import balancer as balancer_module
from indigokeel.decision import interface as api
from indigokeel.decision.balancer import Balancer

SIZES, RATES = (10, 100, 300, 1000, 3000), (80, 320, 1280)
SETTINGS = api.Settings(
    classes=(api.ClassSettings("view", aim=0.6, deadline=1.2, effect=api.Effect.SAFE),),
    limits=api.Limits(max_attempts=5),
)


def members(count: int) -> tuple[api.Member, ...]:
    """A fleet in three zones and cells of ten."""
    return tuple(
        api.Member(f"s-{i}", zone=f"z{i % 3}", kind=f"k{i % 3}", cell=i // 10, started=0.0)
        for i in range(count)
    )


def play(nodes: int, rate: float, jobs: int, seed: int = 1, warm_up: float = 4.0) -> dict[str, float]:
    """Play jobs at ``rate`` a second; what one costs in microseconds once the window is full, and how evenly
    what was sent lies on the nodes."""
    random = Random(seed)
    balancer = Balancer(SETTINGS, seed)
    balancer.handle(0.0, api.MembershipNews(api.News.CACHED, members(nodes)))
    speed = {f"s-{i}": random.uniform(0.7, 1.4) for i in range(nodes)}
    busy = dict.fromkeys(speed, 0.0)  # a decaying count of what each serves
    seen = dict.fromkeys(speed, 0.0)
    heap: list[tuple[float, int, api.Event]] = []
    number, spent, counted, now = 0, 0, 0, 1000.0
    sent: dict[str, int] = {}
    began = now
    arrival = now
    total = int(rate * warm_up) + jobs

    def feed(event: api.Event) -> None:
        nonlocal spent, number
        before = time.perf_counter_ns()
        actions = balancer.handle(now, event)
        if counting:
            spent += time.perf_counter_ns() - before
        for action in actions:
            if isinstance(action, api.Send):
                node = action.upstream
                sent[node] = sent.get(node, 0) + counting
                busy[node] = busy[node] * 2.718281828 ** (seen[node] - now) + 1.0
                seen[node] = now
                qps = busy[node]
                took = random.uniform(0.03, 0.08) / speed[node]
                load = api.Load(rate=qps, utilisation=min(qps * 0.02 / speed[node], 1.0))
                number += 1
                ended = api.AttemptEnded(action.id, node, 0, api.Ending.OK, took, True, load)
                heapq.heappush(heap, (now + took, number, ended))
            elif isinstance(action, api.SetTimer):
                number += 1
                heapq.heappush(heap, (now + action.delay, number, api.TimerFired(action.token)))

    for job in range(total):
        counting = arrival - began >= warm_up
        while heap and heap[0][0] <= arrival:
            now, _, event = heapq.heappop(heap)
            feed(event)
        now = arrival
        counted += counting
        feed(api.RequestArrived(f"r{job}", "view", 1.2))
        arrival += random.expovariate(rate)
    shares = [sent.get(name, 0) / speed[name] for name in speed]
    mean = statistics.fmean(shares)
    return {
        "us": spent / 1e3 / max(counted, 1),
        "imbalance": statistics.pstdev(shares) / mean if mean else 0.0,
        "used": sum(1 for n in sent.values() if n),
    }


def compare(sizes: list[int], rates: list[int], seeds: int, seconds: float) -> None:
    """The index against the whole wheel laid out, on the same seeds: cost, and how evenly load lies."""
    for nodes in sizes:
        for rate in rates:
            rows: dict[str, list[dict[str, float]]] = {"index": [], "whole": []}
            for seed in range(1, seeds + 1):
                for kind, found in rows.items():
                    balancer_module.WHEEL_FROM = 16 if kind == "index" else 10**9
                    found.append(play(nodes, rate, int(rate * seconds), seed))
            differences = [
                a["imbalance"] - b["imbalance"] for a, b in zip(rows["index"], rows["whole"], strict=True)
            ]
            spread = statistics.stdev(differences) / len(differences) ** 0.5 if seeds > 1 else 0.0
            print(
                f"{nodes} nodes, {rate} jobs/s: "
                + ", ".join(
                    f"{kind} {statistics.median(f['us'] for f in found):.0f} us, imbalance "
                    f"{statistics.fmean(f['imbalance'] for f in found):.3f}"
                    for kind, found in rows.items()
                )
                + f"; difference {statistics.fmean(differences):+.4f} (standard error {spread:.4f})",
                flush=True,
            )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--rates", type=int, nargs="*", default=RATES)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--compare", type=int, default=0, metavar="SEEDS", help="index against whole wheel")
    options = parser.parse_args()
    if options.compare:
        compare(options.sizes, options.rates, options.compare, options.seconds)
        return
    for nodes in options.sizes:
        row = [play(nodes, rate, int(rate * options.seconds), options.seed) for rate in options.rates]
        if options.json:
            print(json.dumps({"nodes": nodes, "rates": options.rates, "found": row}))
        else:
            print(
                f"{nodes:5} nodes: " + " / ".join(f"{found['us']:6.1f}" for found in row) + " us a job",
                flush=True,
            )


if __name__ == "__main__":
    main()
