"""Play the simulator's part of the wire: make events in simulated time and carry out the actions replied.

A ``Simulation`` writes batches of a scenario and reads the reply to each. It keeps requests, attempts and
timers; ``simulated_fleet`` models what answers them.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import accumulate, count
from random import Random

from benchmarks.simulated_fleet import NETWORK_DELAY_S, Endpoint, EventQueue, Fault, Fleet, Subscription
from benchmarks.simulated_incidents import IncidentPlayer
from benchmarks.wire_scenarios import KINDS, ZONES, RequestClass, Scenario

ANSWER_SLACK_S = 0.02
FIRST_BYTE = 0.4  # the part of its time after which a streamed answer begins
DRAIN_S = 3.0  # simulated time that a scenario goes on after its last request
DISCOVERY_DELAY_S = 0.02
RESEND_DELAY_S = 0.1
RESENDS_MOST = 3
KEY_EXPONENT = 1.0  # of the Zipf law by which keys are drawn

Fields = dict[str, str]


@dataclass(slots=True)
class SentAttempt:
    """Remember one attempt until its outcome is reported."""

    number: int
    address: str
    sent_s: float
    ended: bool = False


@dataclass(slots=True)
class ClientRequest:
    """Remember one request of a client."""

    id: str
    cls: RequestClass
    tenant: str
    key: str
    work_s: float
    hint_s: float
    budget_s: float
    deadline_s: float
    tries: int
    over: bool = False
    stream: SentAttempt | None = None
    attempts: list[SentAttempt] = field(default_factory=list)


@dataclass(slots=True)
class SimulatedSidecar:
    """Hold what the simulator knows of one life of a sidecar."""

    number: int
    subscription: Subscription
    alive: bool = True
    requests: dict[str, ClientRequest] = field(default_factory=dict)


class Simulation:
    """Make the batches of one scenario; read each reply before the next batch."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.actions = self.fatal = self.requests = 0
        self._scenario = scenario
        self._random = Random(f"{seed}/{scenario.name}")
        self._queue = EventQueue(scenario.origin_s, scenario.step_s, self._random)
        self._lines: list[str] = []
        self._round = 0
        self._serial = count(1)
        self._fleet = Fleet(scenario, self._random)
        self._discovery = self._fleet.discovery
        self._end_s = scenario.origin_s + scenario.seconds
        self._work_s = scenario.traffic.load * self._fleet.capacity() / scenario.traffic.rate_per_s
        weights = (1.0 / (rank + 1) ** KEY_EXPONENT for rank in range(scenario.traffic.keys))
        self._key_weights = list(accumulate(weights))
        self._sidecars: dict[int, SimulatedSidecar] = {}
        self._schedule_start()
        self._carriers: dict[str, Callable[[SimulatedSidecar, Fields], None]] = {
            "FORWARD": self._forward,
            "SET_TIMER": self._set_timer,
            "REJECT": self._reject,
            "ABORT": self._abort,
            "ABORT_ATTEMPT": self._abort_attempt,
            "HEALTH_CHECK": self._health_check,
            "WATCH": self._watch,
            "LOOKUP": self._lookup,
        }

    def next_batch(self) -> list[str] | None:
        """Return the lines of the next batch; None at the end of the scenario."""
        if self._queue.now > self._end_s + DRAIN_S:
            return None
        self._lines = []
        if not self._queue.run_next():
            return None
        self._round += 1
        head = f"ROUND moment-s={self._queue.now:.6f} round={self._round}"
        return [head, *self._lines, "YOUR_TURN"]

    def carry_out(self, reply: list[str]) -> None:
        """Carry out the actions of a reply; its last line ends it."""
        for line in reply[:-1]:
            name, _, rest = line.partition(" ")
            self.actions += 1
            if name == "FATAL":
                self.fatal += 1
            carry_out = self._carriers.get(name)
            if carry_out is None:
                continue
            fields = dict(part.split("=", 1) for part in rest.split(" "))
            carry_out(self._sidecars[int(fields["sidecar"])], fields)

    # --- start ------------------------------------------------------------------------------------

    def _schedule_start(self) -> None:
        scenario = self._scenario
        self._queue.after(0.0, lambda: None)  # the first batches are empty
        for number in range(scenario.sidecars):
            self._queue.after(2 * scenario.step_s, partial(self._spawn, number))
            self._queue.after(scenario.step_s * 4, partial(self._arrive, number))
        incidents = IncidentPlayer(self._queue, self._fleet, self._random, self)
        for incident in scenario.incidents:
            self._queue.after(incident.at_s, partial(incidents.begin, incident))

    def _spawn(self, number: int) -> None:
        """Start a sidecar with the list as it last had it, which may name upstreams that are gone."""
        sidecar = SimulatedSidecar(number, Subscription(self._discovery.version))
        self._sidecars[number] = sidecar
        entropy = self._random.getrandbits(63)
        info = self._scenario.settings(number, self._work_s)
        self._lines.append(f"SPAWN sidecar={number} entropy={entropy} info={info}")
        endpoints = list(self._discovery.endpoints.values())
        gone = [self._gone_endpoint(i) for i in range(self._scenario.stale)]
        self._lines += self._discovery.message(number, "cached", [*gone, *endpoints])
        for endpoint in gone:
            self._queue.after(0.5, partial(self._remove_gone, endpoint))
        if self._scenario.membership == "pushed":
            sidecar.subscription.active = True

    def _gone_endpoint(self, number: int) -> Endpoint:
        return Endpoint(f"10.200.0.{number}:9000", ZONES[0], KINDS[0], 900 + number)

    def _remove_gone(self, endpoint: Endpoint) -> None:
        self._discovery.change(
            Endpoint(endpoint.address, endpoint.zone, endpoint.kind, endpoint.cell, "DELETED")
        )
        self.tell_subscribers()

    # --- clients ----------------------------------------------------------------------------------

    def _arrive(self, number: int) -> None:
        """Let a client's request arrive, and plan the next."""
        traffic = self._scenario.traffic
        if self._queue.now >= self._end_s:
            return
        elapsed_s = self._queue.now - self._scenario.origin_s
        surge = traffic.surge if traffic.surge_from_s <= elapsed_s < traffic.surge_until_s else 1.0
        rate_per_s = traffic.rate_per_s * surge / self._scenario.sidecars
        delay_s = self._random.expovariate(rate_per_s)
        while delay_s < self._scenario.step_s:
            self._request(self._sidecars[number], self._draw_request())
            delay_s += self._random.expovariate(rate_per_s)
        self._request(self._sidecars[number], self._draw_request())
        self._queue.after(delay_s, partial(self._arrive, number))

    def _draw_request(self) -> ClientRequest:
        random, traffic = self._random, self._scenario.traffic
        cls = random.choice(self._scenario.classes)
        work_s = self._work_s * random.gammavariate(2.0, 0.5)
        hint_s = work_s * random.uniform(0.7, 1.4) if traffic.hints and random.random() < 0.9 else 0.0
        tenants = self._scenario.tenants
        tenant = random.choices(tenants, [t.traffic for t in tenants])[0].name if tenants else ""
        budget_s = cls.aim_of_work * cls.deadline_of_aim * self._work_s
        if random.random() < traffic.short_budget:
            budget_s *= random.uniform(0.02, 0.4)
        return self._make_request(cls, tenant, self._draw_key(), work_s, hint_s, budget_s, 0)

    def _make_request(
        self,
        cls: RequestClass,
        tenant: str,
        key: str,
        work_s: float,
        hint_s: float,
        budget_s: float,
        tries: int,
    ) -> ClientRequest:
        id = f"{self._random.getrandbits(40):010x}{next(self._serial):06x}"
        deadline_s = self._queue.now + budget_s
        return ClientRequest(id, cls, tenant, key, work_s, hint_s, budget_s, deadline_s, tries)

    def _draw_key(self) -> str:
        traffic = self._scenario.traffic
        if not traffic.keys:
            return ""
        if self._random.random() < traffic.hot_key:
            return f"{0:016x}"
        rank = self._random.choices(range(traffic.keys), cum_weights=self._key_weights)[0]
        return f"{rank * 0x9E3779B97F4A7C15 & (1 << 64) - 1:016x}"

    def _request(self, sidecar: SimulatedSidecar, request: ClientRequest) -> None:
        self.requests += 1
        sidecar.requests[request.id] = request
        parts = [f"REQUEST sidecar={sidecar.number} id={request.id} band={request.cls.name}"]
        if request.tenant:
            parts.append(f"org={request.tenant}")
        if request.key:
            parts.append(f"resource={request.key}")
        parts.append(f"budget-s={request.budget_s:.6f}")
        if request.hint_s:
            parts.append(f"hint-s={request.hint_s:.6f}")
        if request.tries:
            parts.append("resent=1")
        self._lines.append(" ".join(parts))
        leave = partial(self._leave, sidecar, request)
        self._queue.after(request.budget_s + ANSWER_SLACK_S, leave)
        if self._random.random() < self._scenario.traffic.leaving:
            self._queue.after(request.budget_s * self._random.random(), partial(leave, early=True))

    def _leave(self, sidecar: SimulatedSidecar, request: ClientRequest, early: bool = False) -> None:
        if request.over or not sidecar.alive or (request.stream is not None and not early):
            return
        request.over = True
        self._lines.append(f"LEFT sidecar={sidecar.number} id={request.id}")

    def _resend(self, number: int, refused: ClientRequest) -> None:
        """Let a refused client come again with a new id and less time."""
        request = self._make_request(
            refused.cls,
            refused.tenant,
            refused.key,
            refused.work_s,
            refused.hint_s,
            refused.budget_s * 0.7,
            refused.tries + 1,
        )
        self._request(self._sidecars[number], request)

    # --- attempts ---------------------------------------------------------------------------------

    def _forward(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        request, now = sidecar.requests[fields["id"]], self._queue.now
        attempt = SentAttempt(len(request.attempts), fields["upstream"], now)
        request.attempts.append(attempt)
        end = partial(self._end_attempt, sidecar, request, attempt)
        left_s = request.deadline_s - now
        spent = len(request.attempts) > self._scenario.limits.max_attempts
        if request.over or request.stream is not None or spent or left_s <= 0.0:
            self._queue.after(0.0, partial(end, "superseded"))
            return
        timeout_s = min(float(fields.get("limit-s", "0")) or math.inf, left_s)
        upstream = self._fleet.upstreams.get(attempt.address)
        if upstream is None:  # gone before the sidecar started
            self._queue.after(0.1, partial(end, "refused_conn"))
            return
        answer = upstream.receive(now, request.work_s, request.key)
        streamed = request.cls.streaming and answer.code == "completed"
        first_s = answer.delay_s * FIRST_BYTE if streamed else answer.delay_s
        if first_s > timeout_s:
            self._queue.after(timeout_s, partial(end, "overdue"))
            return
        if streamed:
            self._queue.after(first_s, partial(self._open, sidecar, request, attempt))
        broken = streamed and upstream.fault is Fault.SLOW
        self._queue.after(answer.delay_s, partial(end, "severed" if broken else answer.code))

    def _open(self, sidecar: SimulatedSidecar, request: ClientRequest, attempt: SentAttempt) -> None:
        """Begin a streamed answer: from now the request belongs to this attempt."""
        if attempt.ended or request.over or request.stream is not None or not sidecar.alive:
            return
        request.stream = attempt
        self._lines.append(
            f"OPENED sidecar={sidecar.number} id={request.id} upstream={attempt.address} "
            f"try={attempt.number} delay-seen-s={self._queue.now - attempt.sent_s:.6f}"
        )

    def _end_attempt(
        self, sidecar: SimulatedSidecar, request: ClientRequest, attempt: SentAttempt, code: str
    ) -> None:
        """Report the outcome of an attempt, once."""
        if attempt.ended or not sidecar.alive:
            return
        attempt.ended = True
        bound_elsewhere = request.stream is not None and request.stream is not attempt
        if code == "completed" and bound_elsewhere:
            code = "recalled"
        if code == "completed" or request.stream is attempt:
            request.over = True
        parts = [
            f"REPORT_BACK sidecar={sidecar.number} id={request.id} upstream={attempt.address}",
            f"state-code={code} try={attempt.number}",
            f"delay-seen-s={self._queue.now - attempt.sent_s:.6f}",
        ]
        if request.over:
            parts.append("final=1")
        if self._scenario.reports == "answers" and code in ("completed", "errored", "saturated"):
            parts.append(f"feedback={self._report(attempt.address)}")
        self._lines.append(" ".join(parts))

    def _report(self, address: str) -> str:
        upstream = self._fleet.upstreams.get(address)
        return upstream.report(self._queue.now, self._scenario.columns) if upstream else "-"

    def _abort_attempt(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        request = sidecar.requests[fields["id"]]
        attempt = request.attempts[int(fields["try"])]
        if request.stream is not attempt:
            self._queue.after(0.0, partial(self._end_attempt, sidecar, request, attempt, "recalled"))

    def _reject(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        request = sidecar.requests[fields["id"]]
        if request.over:
            return
        request.over = True
        resends = self._random.random() < self._scenario.traffic.resending
        if resends and request.tries < RESENDS_MOST and self._queue.now < self._end_s:
            delay_s = float(fields.get("retry-in-s", "0")) or RESEND_DELAY_S
            self._queue.after(delay_s, partial(self._resend, sidecar.number, request))

    def _abort(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        sidecar.requests[fields["id"]].over = True

    # --- timers, probes and discovery -------------------------------------------------------------

    def _set_timer(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        line = f"DEADLINE_HIT sidecar={sidecar.number} handle={fields['handle']}"
        self._queue.after(float(fields["delay-s"]), partial(self._emit, sidecar, line))

    def _health_check(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        self._queue.after(2 * NETWORK_DELAY_S, partial(self._echo, sidecar, fields["upstream"]))

    def _echo(self, sidecar: SimulatedSidecar, address: str) -> None:
        upstream = self._fleet.upstreams.get(address)
        code = "completed"
        if upstream is None or upstream.fault is Fault.DOWN:
            code = "refused_conn"
        elif upstream.fault in (Fault.HANG, Fault.FULL):
            code = "overdue" if upstream.fault is Fault.HANG else "saturated"
        report = f" feedback={self._report(address)}" if code == "completed" else ""
        line = (
            f"ECHO sidecar={sidecar.number} upstream={address} state-code={code} delay-seen-s=0.002{report}"
        )
        self._emit(sidecar, line)

    def _emit(self, sidecar: SimulatedSidecar, *lines: str) -> None:
        if sidecar.alive:
            self._lines += lines

    def _watch(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        self._queue.after(
            DISCOVERY_DELAY_S, partial(self._answer_discovery, sidecar, fields["active"] == "1")
        )

    def _lookup(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        self._queue.after(DISCOVERY_DELAY_S, partial(self._answer_discovery, sidecar, None))

    def _answer_discovery(self, sidecar: SimulatedSidecar, active: bool | None) -> None:
        """Answer a call to discovery; ``active`` is None where it asked for the list once."""
        if not self._discovery.available:
            self._emit(sidecar, f"SYNC sidecar={sidecar.number} how=failed")
        elif active is None:
            self._emit(sidecar, *self._discovery.whole(sidecar.number, sidecar.subscription, "full"))
        else:
            sidecar.subscription.active = active
            self._emit(sidecar, *self._discovery.changes(sidecar.number, sidecar.subscription))

    def tell_subscribers(self) -> None:
        """Send the changes of the endpoint list to the sidecars that are subscribed."""
        for sidecar in self._sidecars.values():
            if sidecar.subscription.active and sidecar.subscription.version < self._discovery.version:
                self._emit(sidecar, *self._discovery.changes(sidecar.number, sidecar.subscription))

    def break_subscriptions(self) -> None:
        """End all subscriptions and report that to the sidecars."""
        for sidecar in self._sidecars.values():
            if sidecar.subscription.active:
                sidecar.subscription.active = False
                self._emit(sidecar, f"SYNC sidecar={sidecar.number} how=failed")

    def restart_sidecar(self, number: int) -> None:
        """Kill a sidecar and start it again in the same batch."""
        self._sidecars[number].alive = False
        self._lines.append(f"SHUTDOWN sidecar={number}")
        self._spawn(number)
