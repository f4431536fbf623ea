"""Model the upstreams and the discovery service of a deployment in simulated time.

Nothing here reads a clock or does input or output: a queue of events drives the model, and all chance comes
from the generator that is handed in, so the same scenario and seed give the same events.
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import count
from random import Random

from benchmarks.wire_scenarios import KINDS, ZONES, Scenario

LOAD_AVERAGE_S = 1.0  # time over which an upstream averages the load that it reports
REPORT_NOISE = 0.1  # part by which a reported figure may be off
WARM_KEYS_KEPT = 30  # keys that an upstream serves at reduced work
WARM_KEY_WORK = 0.5  # part of the work that is left for such a key
NETWORK_DELAY_S = 0.001
FAULT_DELAY_S = 0.01  # time until an error or a broken connection shows
ERROR_CHANCE = 0.85  # of a request to a failing upstream
QUEUE_LIMIT_PER_SLOT = 25
ROWS_BEHIND_FOR_FULL_LIST = 20  # changes missed, from where discovery sends the whole list
CELL_SIZE = 4
POOL_NUMBERS = 16  # the wire numbers endpoint lists from 0 to 15


class EventQueue:
    """Run calls in the order of their simulated time, in batches a few milliseconds apart.

    Each batch comes a random part of a step late, so that no two spans of time are equal to the microsecond.
    """

    def __init__(self, origin_s: float, step_s: float, random: Random) -> None:
        self._origin_s, self._step_s, self._random = origin_s, step_s, random
        self._index = 0
        self._elapsed_s = 0.0
        self._serial = count()
        self._calls: list[tuple[int, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Return the time of the current batch, in seconds."""
        return round(self._origin_s + self._elapsed_s, 6)

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run ``call`` in the first batch at that time or later, never in the current one."""
        due = math.ceil((self._elapsed_s + delay_s) / self._step_s)
        heapq.heappush(self._calls, (max(due, self._index + 1), next(self._serial), call))

    def run_next(self) -> bool:
        """Advance to the next batch and run its calls; return whether there was one."""
        if not self._calls:
            return False
        self._index = self._calls[0][0]
        self._elapsed_s = (self._index + self._random.uniform(0.0, 0.9)) * self._step_s
        while self._calls and self._calls[0][0] == self._index:
            heapq.heappop(self._calls)[2]()
        return True


class Fault(Enum):
    """Name the ways in which an upstream can fail."""

    NONE = "none"
    ERRORS = "errors"
    HANG = "hang"
    DOWN = "down"
    BREAKS = "breaks"
    FULL = "full"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Describe an upstream as discovery lists it."""

    address: str
    zone: str
    kind: str
    cell: int
    lifecycle: str = "SERVING"
    scale: float = 1.0
    started_s: float = 0.0

    def row(self) -> str:
        """Format the endpoint as an entry of a list on the wire."""
        started = f" start-time-s={self.started_s:.6g}" if self.started_s else ""
        return (
            f"ROW upstream={self.address} failure-domain={self.zone} model={self.kind} "
            f"pod={self.cell} lifecycle={self.lifecycle} scale={self.scale:.4g}{started}"
        )


@dataclass(frozen=True, slots=True)
class Answer:
    """Tell how an upstream will answer: the state code, and after how many seconds."""

    code: str
    delay_s: float


@dataclass(slots=True)
class SlowStart:
    """Hold the figures by which the capacity of a restarted upstream grows."""

    cold_from: float
    warm_within_s: float

    def part(self, started_s: float, now: float) -> float:
        """Return the part of its capacity that an upstream has at this time."""
        age_s = now - started_s
        if not started_s or age_s >= self.warm_within_s:
            return 1.0
        return self.cold_from + (1.0 - self.cold_from) * age_s / self.warm_within_s


class SimulatedUpstream:
    """Serve requests first come, first served, on a few slots, and report the load."""

    def __init__(self, slots: int, speed: float, slow_start: SlowStart, random: Random) -> None:
        self.slots, self.speed, self.fault = slots, speed, Fault.NONE
        self.started_s = 0.0
        self._slow_start, self._random = slow_start, random
        self._slot_free_s = [0.0] * slots
        self._finish_s: list[float] = []  # of the requests held
        self._keys: OrderedDict[str, None] = OrderedDict()
        self._busy = self._rate = self._errors = self._latency_s = self._averaged_s = 0.0

    def restart(self, now: float) -> None:
        """Lose all requests and warm keys and begin again with little capacity."""
        self.started_s = now
        self._slot_free_s = [now] * self.slots
        self._finish_s = []
        self._keys.clear()
        self._busy = self._rate = self._errors = 0.0

    def receive(self, now: float, work_s: float, key: str) -> Answer:
        """Take a request and tell how it will be answered."""
        self._age(now)
        if self.fault is Fault.DOWN:
            return Answer("refused_conn", 10 * FAULT_DELAY_S)
        if self.fault is Fault.FULL or self._held(now) >= self.slots * QUEUE_LIMIT_PER_SLOT:
            return Answer("saturated", NETWORK_DELAY_S)
        if self.fault is Fault.HANG:
            return Answer("completed", math.inf)
        if self.fault in (Fault.ERRORS, Fault.BREAKS) and self._random.random() < ERROR_CHANCE:
            self._errors += 1.0 / LOAD_AVERAGE_S
            return Answer("errored" if self.fault is Fault.ERRORS else "severed", FAULT_DELAY_S)
        return Answer("completed", self._serve(now, self._work(work_s, key)))

    def report(self, now: float, columns: Iterable[str]) -> str:
        """Format a load report with these figures, each a little wrong."""
        self._age(now)
        held = self._held(now)
        overload = max(self._busy, 1.0)
        figures = {
            "busy": min(self._busy * self._noise(), 1.0),
            "rate": self._rate / overload * self._noise(),
            "rif": held,
            "q": max(held - self.slots, 0),
            "lat_ms": 1000.0 * self._latency_s * self._noise(),
            "fail_rate": self._errors,
        }
        return ",".join(f"{name}:{figures.get(name, 1.0):.4g}" for name in columns)

    def _serve(self, now: float, work_s: float) -> float:
        """Queue work on the slot that is free first; return the delay until the answer."""
        capacity = self.speed * self._slow_start.part(self.started_s, now)
        if self.fault is Fault.SLOW:
            capacity /= 10.0
        duration_s = work_s / capacity
        begin_s = max(heapq.heappop(self._slot_free_s), now)
        heapq.heappush(self._slot_free_s, begin_s + duration_s)
        heapq.heappush(self._finish_s, begin_s + duration_s)
        self._busy += duration_s / self.slots / LOAD_AVERAGE_S
        self._rate += 1.0 / LOAD_AVERAGE_S
        self._latency_s += 0.2 * (duration_s - self._latency_s)
        return begin_s + duration_s - now + NETWORK_DELAY_S

    def _work(self, work_s: float, key: str) -> float:
        """Return the work of a request, less where its key was served lately."""
        if not key:
            return work_s
        warm = key in self._keys
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > WARM_KEYS_KEPT:
            self._keys.popitem(last=False)
        return work_s * WARM_KEY_WORK if warm else work_s

    def _held(self, now: float) -> int:
        while self._finish_s and self._finish_s[0] <= now:
            heapq.heappop(self._finish_s)
        return len(self._finish_s)

    def _age(self, now: float) -> None:
        """Let the averages lose weight up to this time."""
        factor = math.exp((self._averaged_s - now) / LOAD_AVERAGE_S)
        self._busy *= factor
        self._rate *= factor
        self._errors *= factor
        self._averaged_s = now

    def _noise(self) -> float:
        return self._random.uniform(1.0 - REPORT_NOISE, 1.0 + REPORT_NOISE)


@dataclass(slots=True)
class Subscription:
    """Remember what discovery has sent to one sidecar."""

    version: int
    active: bool = False
    failures: int = 0


@dataclass(slots=True)
class SimulatedDiscovery:
    """Hold the list of endpoints with its history and format the lists that sidecars receive."""

    endpoints: dict[str, Endpoint]
    version: int = 1
    available: bool = True
    _log: list[tuple[int, Endpoint]] = field(default_factory=list)
    _next_pool: int = 0

    def change(self, endpoint: Endpoint) -> None:
        """Record a new state of an endpoint."""
        self.version += 1
        self._log.append((self.version, endpoint))
        if endpoint.lifecycle == "DELETED":
            self.endpoints.pop(endpoint.address, None)
        else:
            self.endpoints[endpoint.address] = endpoint

    def update(self, address: str, lifecycle: str | None = None, started_s: float | None = None) -> None:
        """Record a change of some figures of a listed endpoint."""
        known = self.endpoints[address]
        changed = replace(
            known,
            lifecycle=known.lifecycle if lifecycle is None else lifecycle,
            started_s=known.started_s if started_s is None else started_s,
        )
        self.change(changed)

    def changes(self, sidecar: int, subscription: Subscription) -> list[str]:
        """Format what a sidecar has missed, as changes or as the whole list."""
        missed = [endpoint for version, endpoint in self._log if version > subscription.version]
        if len(missed) > ROWS_BEHIND_FOR_FULL_LIST:
            return self.whole(sidecar, subscription, "full")
        subscription.version = self.version
        return self.message(sidecar, "delta", missed)

    def whole(self, sidecar: int, subscription: Subscription, how: str) -> list[str]:
        """Format the whole list."""
        subscription.version = self.version
        return self.message(sidecar, how, list(self.endpoints.values()))

    def message(self, sidecar: int, how: str, endpoints: list[Endpoint]) -> list[str]:
        """Format a list and the event that refers to it."""
        number = self._next_pool
        self._next_pool = (number + 1) % POOL_NUMBERS
        return [
            f"POOL roster-id={number} rows={len(endpoints)}",
            *(endpoint.row() for endpoint in endpoints),
            f"SYNC sidecar={sidecar} how={how} stamp={self.version} roster-id={number}",
        ]


class Fleet:
    """Hold the upstreams of a scenario and the discovery service that lists them."""

    def __init__(self, scenario: Scenario, random: Random) -> None:
        self.upstreams: dict[str, SimulatedUpstream] = {}
        self.discovery = SimulatedDiscovery({})
        self._scenario, self._random = scenario, random
        self._slow_start = SlowStart(scenario.cold_from, scenario.warm_within_s)
        for number in range(scenario.upstreams):
            cold = number < scenario.cold * scenario.upstreams
            started_s = scenario.origin_s - random.uniform(0.05, 0.5) if cold else 0.0
            endpoint = self.add(max(started_s, 0.0))
            self.discovery.endpoints[endpoint.address] = endpoint

    def capacity(self) -> float:
        """Return the work that all upstreams can do, in seconds of a standard core per second."""
        return sum(upstream.slots * upstream.speed for upstream in self.upstreams.values())

    def add(self, started_s: float) -> Endpoint:
        """Add an upstream and return how discovery is to list it."""
        number = len(self.upstreams)
        kind = self._random.choice(KINDS)
        slots = 2 if kind == "large" else 1
        speed = self._random.uniform(0.7, 1.4)
        upstream = SimulatedUpstream(slots, speed, self._slow_start, self._random)
        upstream.started_s = started_s
        address = f"10.{number % 7}.{number // 250}.{number % 250}:{9000 + number % 3}"
        self.upstreams[address] = upstream
        zone = ZONES[number % len(ZONES)]
        scale = self._scale(slots * speed)
        return Endpoint(address, zone, kind, number // CELL_SIZE, scale=scale, started_s=started_s)

    def _scale(self, size: float) -> float:
        """Return the figure of size that discovery lists."""
        if self._scenario.weights == "none":
            return 1.0
        rough = self._scenario.weights in ("rough", "live")
        return size * self._random.uniform(0.7, 1.3) if rough else size
