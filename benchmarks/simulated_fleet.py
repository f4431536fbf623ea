"""A model of the upstreams and the discovery service of a deployment in simulated time.

Nothing here reads a clock or does any input or output: an event queue drives the model, and all random
numbers come from the generator passed in, so the same scenario and seed produce the same events.
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

LOAD_AVERAGING_S = 1.0  # time constant of the exponential averages of the load that an upstream reports
REPORT_NOISE = 0.1  # largest relative error of a reported value
MAX_WARM_KEYS = 30  # number of most recently served keys that need less work
WARM_KEY_WORK_FACTOR = 0.5  # fraction of the work that a request with a warm key needs
NETWORK_DELAY_S = 0.001
FAULT_DELAY_S = 0.01  # time until an error response or a broken connection is seen
ERROR_PROBABILITY = 0.85  # probability that a failing upstream fails a request
QUEUE_LIMIT_PER_SLOT = 25  # an upstream with as many requests in flight per slot is saturated
MAX_DELTA_ROWS = 20  # a sidecar that has missed more changes is sent the full list
CELL_SIZE = 4  # upstreams per cell
POOL_NUMBER_COUNT = 16  # the wire protocol numbers endpoint lists from 0 to 15


class EventQueue:
    """Runs scheduled calls in the order of their simulated time, in batches a few milliseconds apart.

    Each batch is delayed by a random fraction of a step, so that no two durations are equal to the
    microsecond.
    """

    def __init__(self, origin_s: float, step_s: float, random: Random) -> None:
        self._origin_s, self._step_s, self._random = origin_s, step_s, random
        self._index = 0
        self._elapsed_s = 0.0
        self._serial = count()
        self._calls: list[tuple[int, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Return the simulated time of the current batch, in seconds."""
        return round(self._origin_s + self._elapsed_s, 6)

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule ``call`` for the first batch at or after that time, but never for the current batch."""
        due = math.ceil((self._elapsed_s + delay_s) / self._step_s)
        heapq.heappush(self._calls, (max(due, self._index + 1), next(self._serial), call))

    def run_next(self) -> bool:
        """Advance to the next batch and run its calls; return False if no calls are left."""
        if not self._calls:
            return False
        self._index = self._calls[0][0]
        self._elapsed_s = (self._index + self._random.uniform(0.0, 0.9)) * self._step_s
        while self._calls and self._calls[0][0] == self._index:
            heapq.heappop(self._calls)[2]()
        return True


class Fault(Enum):
    """The ways in which an upstream can fail."""

    NONE = "none"
    ERRORS = "errors"
    HANG = "hang"
    DOWN = "down"
    BREAKS = "breaks"
    FULL = "full"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An upstream as discovery lists it."""

    address: str
    zone: str
    kind: str
    cell: int
    lifecycle: str = "SERVING"
    scale: float = 1.0
    started_s: float = 0.0

    def row(self) -> str:
        """Return the endpoint as a row of a list in the wire protocol."""
        started = f" start-time-s={self.started_s:.6g}" if self.started_s else ""
        return (
            f"ROW upstream={self.address} failure-domain={self.zone} model={self.kind} "
            f"pod={self.cell} lifecycle={self.lifecycle} scale={self.scale:.4g}{started}"
        )


@dataclass(frozen=True, slots=True)
class Answer:
    """The state code and the delay of an upstream's response."""

    code: str
    delay_s: float


@dataclass(slots=True)
class SlowStart:
    """The parameters of the linear growth of a restarted upstream's capacity."""

    warm_up_initial_ratio: float
    warm_up_time_s: float

    def capacity_fraction(self, started_s: float, now: float) -> float:
        """Return the fraction of its full capacity that an upstream has at this time."""
        age_s = now - started_s
        if not started_s or age_s >= self.warm_up_time_s:
            return 1.0
        return self.warm_up_initial_ratio + (1.0 - self.warm_up_initial_ratio) * age_s / self.warm_up_time_s


class SimulatedUpstream:
    """An upstream that serves requests in order of arrival on a few slots, and reports its load."""

    def __init__(self, slots: int, speed: float, slow_start: SlowStart, random: Random) -> None:
        self.slots, self.speed, self.fault = slots, speed, Fault.NONE
        self.started_s = 0.0
        self._slow_start, self._random = slow_start, random
        self._slot_free_s = [0.0] * slots
        self._finish_s: list[float] = []  # finish times of the requests in flight
        self._warm_keys: OrderedDict[str, None] = OrderedDict()
        self._busy = self._rate = self._errors = self._latency_s = self._averaged_s = 0.0

    def restart(self, now: float) -> None:
        """Drop all requests and warm keys, and start again with reduced capacity."""
        self.started_s = now
        self._slot_free_s = [now] * self.slots
        self._finish_s = []
        self._warm_keys.clear()
        self._busy = self._rate = self._errors = 0.0

    def receive(self, now: float, work_s: float, key: str) -> Answer:
        """Accept a request and return how it will be answered."""
        self._decay_averages(now)
        if self.fault is Fault.DOWN:
            return Answer("refused_conn", 10 * FAULT_DELAY_S)
        if self.fault is Fault.FULL or self._in_flight_count(now) >= self.slots * QUEUE_LIMIT_PER_SLOT:
            return Answer("saturated", NETWORK_DELAY_S)
        if self.fault is Fault.HANG:
            return Answer("completed", math.inf)
        if self.fault in (Fault.ERRORS, Fault.BREAKS) and self._random.random() < ERROR_PROBABILITY:
            self._errors += 1.0 / LOAD_AVERAGING_S
            return Answer("errored" if self.fault is Fault.ERRORS else "severed", FAULT_DELAY_S)
        return Answer("completed", self._serve(now, self._effective_work(work_s, key)))

    def report(self, now: float, columns: Iterable[str]) -> str:
        """Return a load report with these columns; the measured values have a random error."""
        self._decay_averages(now)
        in_flight = self._in_flight_count(now)
        overload = max(self._busy, 1.0)
        figures = {
            "busy": min(self._busy * self._noise(), 1.0),
            "rate": self._rate / overload * self._noise(),
            "rif": in_flight,
            "q": max(in_flight - self.slots, 0),
            "lat_ms": 1000.0 * self._latency_s * self._noise(),
            "fail_rate": self._errors,
        }
        return ",".join(f"{name}:{figures.get(name, 1.0):.4g}" for name in columns)

    def _serve(self, now: float, work_s: float) -> float:
        """Queue work on the slot that becomes free first; return the delay until the response."""
        capacity = self.speed * self._slow_start.capacity_fraction(self.started_s, now)
        if self.fault is Fault.SLOW:
            capacity /= 10.0
        duration_s = work_s / capacity
        begin_s = max(heapq.heappop(self._slot_free_s), now)
        heapq.heappush(self._slot_free_s, begin_s + duration_s)
        heapq.heappush(self._finish_s, begin_s + duration_s)
        self._busy += duration_s / self.slots / LOAD_AVERAGING_S
        self._rate += 1.0 / LOAD_AVERAGING_S
        self._latency_s += 0.2 * (duration_s - self._latency_s)
        return begin_s + duration_s - now + NETWORK_DELAY_S

    def _effective_work(self, work_s: float, key: str) -> float:
        """Return the work of a request, which is reduced if its key is warm."""
        if not key:
            return work_s
        warm = key in self._warm_keys
        self._warm_keys[key] = None
        self._warm_keys.move_to_end(key)
        if len(self._warm_keys) > MAX_WARM_KEYS:
            self._warm_keys.popitem(last=False)
        return work_s * WARM_KEY_WORK_FACTOR if warm else work_s

    def _in_flight_count(self, now: float) -> int:
        while self._finish_s and self._finish_s[0] <= now:
            heapq.heappop(self._finish_s)
        return len(self._finish_s)

    def _decay_averages(self, now: float) -> None:
        """Apply the exponential decay of the averages up to this time."""
        factor = math.exp((self._averaged_s - now) / LOAD_AVERAGING_S)
        self._busy *= factor
        self._rate *= factor
        self._errors *= factor
        self._averaged_s = now

    def _noise(self) -> float:
        return self._random.uniform(1.0 - REPORT_NOISE, 1.0 + REPORT_NOISE)


@dataclass(slots=True)
class Subscription:
    """The state of one sidecar's subscription to the endpoint list."""

    version: int
    active: bool = False
    failures: int = 0


@dataclass(slots=True)
class SimulatedDiscovery:
    """The endpoint list with its history of changes; formats the lists that sidecars receive."""

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
        """Record a new lifecycle or start time of a listed endpoint."""
        known = self.endpoints[address]
        changed = replace(
            known,
            lifecycle=known.lifecycle if lifecycle is None else lifecycle,
            started_s=known.started_s if started_s is None else started_s,
        )
        self.change(changed)

    def changes(self, sidecar: int, subscription: Subscription) -> list[str]:
        """Return the changes that a sidecar has missed, or the full list if there are too many."""
        missed = [endpoint for version, endpoint in self._log if version > subscription.version]
        if len(missed) > MAX_DELTA_ROWS:
            return self.full_list(sidecar, subscription, "full")
        subscription.version = self.version
        return self.list_message(sidecar, "delta", missed)

    def full_list(self, sidecar: int, subscription: Subscription, how: str) -> list[str]:
        """Return the full list."""
        subscription.version = self.version
        return self.list_message(sidecar, how, list(self.endpoints.values()))

    def list_message(self, sidecar: int, how: str, endpoints: list[Endpoint]) -> list[str]:
        """Return the lines of a list and of the event that refers to it."""
        number = self._next_pool
        self._next_pool = (number + 1) % POOL_NUMBER_COUNT
        return [
            f"POOL roster-id={number} rows={len(endpoints)}",
            *(endpoint.row() for endpoint in endpoints),
            f"SYNC sidecar={sidecar} how={how} stamp={self.version} roster-id={number}",
        ]


class Fleet:
    """The upstreams of a scenario and the discovery service that lists them."""

    def __init__(self, scenario: Scenario, random: Random) -> None:
        self.upstreams: dict[str, SimulatedUpstream] = {}
        self.discovery = SimulatedDiscovery({})
        self._scenario, self._random = scenario, random
        self._slow_start = SlowStart(scenario.warm_up_initial_ratio, scenario.warm_up_time_s)
        for number in range(scenario.upstreams):
            cold = number < scenario.cold_fraction * scenario.upstreams
            started_s = scenario.origin_s - random.uniform(0.05, 0.5) if cold else 0.0
            endpoint = self.add(max(started_s, 0.0))
            self.discovery.endpoints[endpoint.address] = endpoint

    def capacity(self) -> float:
        """Return the total capacity of all upstreams, in seconds of work on a standard core per second."""
        return sum(upstream.slots * upstream.speed for upstream in self.upstreams.values())

    def add(self, started_s: float) -> Endpoint:
        """Add an upstream and return the endpoint that discovery lists for it."""
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
        """Return the scale that discovery lists for an upstream of this size."""
        if self._scenario.weights == "none":
            return 1.0
        rough = self._scenario.weights in ("rough", "live")
        return size * self._random.uniform(0.7, 1.3) if rough else size
