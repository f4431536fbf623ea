"""The simulator's side of the wire protocol: generates events and executes the actions of the replies.

A ``Simulation`` generates the event batches of a scenario and reads the reply to each. It models clients,
requests, attempts and timers; ``simulated_fleet`` models the upstreams and discovery.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import accumulate, count
from random import Random

from benchmarks.simulated_fleet import NETWORK_DELAY_S, Endpoint, EventQueue, Fault, Fleet, Subscription
from benchmarks.simulated_incidents import IncidentRunner
from benchmarks.wire_scenarios import KINDS, ZONES, RequestClass, Scenario

ANSWER_SLACK_S = 0.02  # time for which a client still waits after its deadline
FIRST_BYTE_FRACTION = 0.4  # fraction of the response delay after which a streamed response begins
COOL_DOWN_S = 3.0  # simulated time for which a scenario continues after its last request
DISCOVERY_DELAY_S = 0.02
RESEND_DELAY_S = 0.1
MAX_RESENDS = 3
KEY_EXPONENT = 1.0  # exponent of the Zipf distribution from which keys are drawn

Fields = dict[str, str]


@dataclass(slots=True)
class SentAttempt:
    """An attempt, until its outcome is reported."""

    number: int
    address: str
    sent_s: float
    ended: bool = False


@dataclass(slots=True)
class ClientRequest:
    """A request of a client."""

    id: str
    cls: RequestClass
    tenant: str
    key: str
    work_s: float
    hint_s: float
    budget_s: float
    deadline_s: float
    resend_count: int
    finished: bool = False
    stream_attempt: SentAttempt | None = None
    attempts: list[SentAttempt] = field(default_factory=list)


@dataclass(slots=True)
class SimulatedSidecar:
    """The simulator's view of one sidecar process, from its start to its end."""

    number: int
    subscription: Subscription
    alive: bool = True
    requests: dict[str, ClientRequest] = field(default_factory=dict)


class Simulation:
    """Generates the batches of one scenario; each reply has to be executed before the next batch."""

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
        weights = (1.0 / (rank + 1) ** KEY_EXPONENT for rank in range(scenario.traffic.key_count))
        self._key_weights = list(accumulate(weights))
        self._sidecars: dict[int, SimulatedSidecar] = {}
        self._schedule_start()
        self._action_handlers: dict[str, Callable[[SimulatedSidecar, Fields], None]] = {
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
        """Return the lines of the next batch, or None at the end of the scenario."""
        if self._queue.now > self._end_s + COOL_DOWN_S:
            return None
        self._lines = []
        if not self._queue.run_next():
            return None
        self._round += 1
        head = f"ROUND moment-s={self._queue.now:.6f} round={self._round}"
        return [head, *self._lines, "YOUR_TURN"]

    def execute_actions(self, reply: list[str]) -> None:
        """Execute the actions of a reply; its last line is the DONE that ends it."""
        for line in reply[:-1]:
            name, _, rest = line.partition(" ")
            self.actions += 1
            if name == "FATAL":
                self.fatal += 1
            handler = self._action_handlers.get(name)
            if handler is None:
                continue
            fields = dict(part.split("=", 1) for part in rest.split(" "))
            handler(self._sidecars[int(fields["sidecar"])], fields)

    # --- start ------------------------------------------------------------------------------------

    def _schedule_start(self) -> None:
        scenario = self._scenario
        self._queue.after(0.0, lambda: None)  # makes the first batch an empty one
        for number in range(scenario.sidecars):
            self._queue.after(2 * scenario.step_s, partial(self._spawn, number))
            self._queue.after(scenario.step_s * 4, partial(self._send_due_requests, number))
        incidents = IncidentRunner(self._queue, self._fleet, self._random, self)
        for incident in scenario.incidents:
            self._queue.after(incident.start_s, partial(incidents.begin, incident))

    def _spawn(self, number: int) -> None:
        """Start a sidecar with a cached list, which may contain endpoints that no longer exist."""
        sidecar = SimulatedSidecar(number, Subscription(self._discovery.version))
        self._sidecars[number] = sidecar
        entropy = self._random.getrandbits(63)
        info = self._scenario.settings(number, self._work_s)
        self._lines.append(f"SPAWN sidecar={number} entropy={entropy} info={info}")
        endpoints = list(self._discovery.endpoints.values())
        gone = [self._gone_endpoint(i) for i in range(self._scenario.stale_endpoints)]
        self._lines += self._discovery.list_message(number, "cached", [*gone, *endpoints])
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
        self.notify_subscribers()

    # --- clients ----------------------------------------------------------------------------------

    def _send_due_requests(self, number: int) -> None:
        """Send the requests that are due in this batch, and schedule the next arrival."""
        traffic = self._scenario.traffic
        if self._queue.now >= self._end_s:
            return
        elapsed_s = self._queue.now - self._scenario.origin_s
        surge = traffic.surge_factor if traffic.surge_from_s <= elapsed_s < traffic.surge_until_s else 1.0
        rate_per_s = traffic.rate_per_s * surge / self._scenario.sidecars
        delay_s = self._random.expovariate(rate_per_s)
        while delay_s < self._scenario.step_s:
            self._send_request(self._sidecars[number], self._draw_request())
            delay_s += self._random.expovariate(rate_per_s)
        self._send_request(self._sidecars[number], self._draw_request())
        self._queue.after(delay_s, partial(self._send_due_requests, number))

    def _draw_request(self) -> ClientRequest:
        random, traffic = self._random, self._scenario.traffic
        cls = random.choice(self._scenario.classes)
        work_s = self._work_s * random.gammavariate(2.0, 0.5)
        hint_s = work_s * random.uniform(0.7, 1.4) if traffic.send_hints and random.random() < 0.9 else 0.0
        tenants = self._scenario.tenants
        tenant = random.choices(tenants, [t.request_fraction for t in tenants])[0].name if tenants else ""
        budget_s = cls.objective_per_work * cls.deadline_per_objective * self._work_s
        if random.random() < traffic.short_budget_probability:
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
        resend_count: int,
    ) -> ClientRequest:
        id = f"{self._random.getrandbits(40):010x}{next(self._serial):06x}"
        deadline_s = self._queue.now + budget_s
        return ClientRequest(id, cls, tenant, key, work_s, hint_s, budget_s, deadline_s, resend_count)

    def _draw_key(self) -> str:
        traffic = self._scenario.traffic
        if not traffic.key_count:
            return ""
        if self._random.random() < traffic.hot_key_fraction:
            return f"{0:016x}"
        rank = self._random.choices(range(traffic.key_count), cum_weights=self._key_weights)[0]
        return f"{rank * 0x9E3779B97F4A7C15 & (1 << 64) - 1:016x}"

    def _send_request(self, sidecar: SimulatedSidecar, request: ClientRequest) -> None:
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
        if request.resend_count:
            parts.append("resent=1")
        self._lines.append(" ".join(parts))
        leave = partial(self._leave, sidecar, request)
        self._queue.after(request.budget_s + ANSWER_SLACK_S, leave)
        if self._random.random() < self._scenario.traffic.leave_probability:
            self._queue.after(request.budget_s * self._random.random(), partial(leave, early=True))

    def _leave(self, sidecar: SimulatedSidecar, request: ClientRequest, early: bool = False) -> None:
        if request.finished or not sidecar.alive or (request.stream_attempt is not None and not early):
            return
        request.finished = True
        self._lines.append(f"LEFT sidecar={sidecar.number} id={request.id}")

    def _resend(self, number: int, rejected: ClientRequest) -> None:
        """Send a rejected request again with a new id and a shorter time budget."""
        request = self._make_request(
            rejected.cls,
            rejected.tenant,
            rejected.key,
            rejected.work_s,
            rejected.hint_s,
            rejected.budget_s * 0.7,
            rejected.resend_count + 1,
        )
        self._send_request(self._sidecars[number], request)

    # --- attempts ---------------------------------------------------------------------------------

    def _forward(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        request, now = sidecar.requests[fields["id"]], self._queue.now
        attempt = SentAttempt(len(request.attempts), fields["upstream"], now)
        request.attempts.append(attempt)
        end = partial(self._end_attempt, sidecar, request, attempt)
        left_s = request.deadline_s - now
        attempts_exhausted = len(request.attempts) > self._scenario.limits.max_attempts
        if request.finished or request.stream_attempt is not None or attempts_exhausted or left_s <= 0.0:
            self._queue.after(0.0, partial(end, "superseded"))
            return
        timeout_s = min(float(fields.get("limit-s", "0")) or math.inf, left_s)
        upstream = self._fleet.upstreams.get(attempt.address)
        if upstream is None:  # removed before the sidecar was started
            self._queue.after(0.1, partial(end, "refused_conn"))
            return
        answer = upstream.receive(now, request.work_s, request.key)
        streamed = request.cls.streaming and answer.code == "completed"
        first_s = answer.delay_s * FIRST_BYTE_FRACTION if streamed else answer.delay_s
        if first_s > timeout_s:
            self._queue.after(timeout_s, partial(end, "overdue"))
            return
        if streamed:
            self._queue.after(first_s, partial(self._open_stream, sidecar, request, attempt))
        broken = streamed and upstream.fault is Fault.SLOW
        self._queue.after(answer.delay_s, partial(end, "severed" if broken else answer.code))

    def _open_stream(self, sidecar: SimulatedSidecar, request: ClientRequest, attempt: SentAttempt) -> None:
        """Begin a streamed response; from now on only this attempt can complete the request."""
        if attempt.ended or request.finished or request.stream_attempt is not None or not sidecar.alive:
            return
        request.stream_attempt = attempt
        self._lines.append(
            f"OPENED sidecar={sidecar.number} id={request.id} upstream={attempt.address} "
            f"try={attempt.number} delay-seen-s={self._queue.now - attempt.sent_s:.6f}"
        )

    def _end_attempt(
        self, sidecar: SimulatedSidecar, request: ClientRequest, attempt: SentAttempt, code: str
    ) -> None:
        """Report the outcome of an attempt, unless it has been reported before."""
        if attempt.ended or not sidecar.alive:
            return
        attempt.ended = True
        streams_elsewhere = request.stream_attempt is not None and request.stream_attempt is not attempt
        if code == "completed" and streams_elsewhere:
            code = "recalled"
        if code == "completed" or request.stream_attempt is attempt:
            request.finished = True
        parts = [
            f"REPORT_BACK sidecar={sidecar.number} id={request.id} upstream={attempt.address}",
            f"state-code={code} try={attempt.number}",
            f"delay-seen-s={self._queue.now - attempt.sent_s:.6f}",
        ]
        if request.finished:
            parts.append("final=1")
        if self._scenario.reports == "answers" and code in ("completed", "errored", "saturated"):
            parts.append(f"feedback={self._load_report(attempt.address)}")
        self._lines.append(" ".join(parts))

    def _load_report(self, address: str) -> str:
        upstream = self._fleet.upstreams.get(address)
        return upstream.report(self._queue.now, self._scenario.columns) if upstream else "-"

    def _abort_attempt(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        request = sidecar.requests[fields["id"]]
        attempt = request.attempts[int(fields["try"])]
        if request.stream_attempt is not attempt:
            self._queue.after(0.0, partial(self._end_attempt, sidecar, request, attempt, "recalled"))

    def _reject(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        request = sidecar.requests[fields["id"]]
        if request.finished:
            return
        request.finished = True
        will_resend = self._random.random() < self._scenario.traffic.resend_probability
        if will_resend and request.resend_count < MAX_RESENDS and self._queue.now < self._end_s:
            delay_s = float(fields.get("retry-in-s", "0")) or RESEND_DELAY_S
            self._queue.after(delay_s, partial(self._resend, sidecar.number, request))

    def _abort(self, sidecar: SimulatedSidecar, fields: Fields) -> None:
        sidecar.requests[fields["id"]].finished = True

    # --- timers, health checks and discovery ------------------------------------------------------

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
        report = f" feedback={self._load_report(address)}" if code == "completed" else ""
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
        """Answer a call to discovery; ``active`` is None for a single lookup of the list."""
        if not self._discovery.available:
            self._emit(sidecar, f"SYNC sidecar={sidecar.number} how=failed")
        elif active is None:
            self._emit(sidecar, *self._discovery.full_list(sidecar.number, sidecar.subscription, "full"))
        else:
            sidecar.subscription.active = active
            self._emit(sidecar, *self._discovery.changes(sidecar.number, sidecar.subscription))

    def notify_subscribers(self) -> None:
        """Send the changes of the endpoint list to the subscribed sidecars."""
        for sidecar in self._sidecars.values():
            if sidecar.subscription.active and sidecar.subscription.version < self._discovery.version:
                self._emit(sidecar, *self._discovery.changes(sidecar.number, sidecar.subscription))

    def break_subscriptions(self) -> None:
        """End all subscriptions and report the failure to the sidecars."""
        for sidecar in self._sidecars.values():
            if sidecar.subscription.active:
                sidecar.subscription.active = False
                self._emit(sidecar, f"SYNC sidecar={sidecar.number} how=failed")

    def restart_sidecar(self, number: int) -> None:
        """Stop a sidecar and start it again in the same batch."""
        self._sidecars[number].alive = False
        self._lines.append(f"SHUTDOWN sidecar={number}")
        self._spawn(number)
