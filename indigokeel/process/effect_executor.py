"""Carries out what the coordinator orders: attempts, answers, probes and calls to discovery."""

from __future__ import annotations

import asyncio
import time

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.metrics import Counters
from indigokeel.net.discovery import DiscoveryClient
from indigokeel.net.downstream.client_connection import ClientConnection, FinalResponse
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.process.deadline_timer import DeadlineTimer
from indigokeel.process.supervision import Supervisor
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Attempt, Effects, FinalAnswer, FinalStatus


class EffectExecutor:
    """Passes orders on, and tells the coordinator of how attempts and probes end; keeps the timer set."""

    def __init__(
        self,
        coordinator: RequestCoordinator,
        pool: UpstreamClient,
        discovery: DiscoveryClient,
        supervisor: Supervisor,
        counters: Counters,
    ) -> None:
        self._coordinator, self._upstream_client, self._discovery = coordinator, pool, discovery
        self._supervisor, self._counters = supervisor, counters
        self._waiting: dict[
            str, tuple[ClientConnection, OutboundRequest]
        ] = {}  # requests whose answer is awaited, by id
        self.timer = DeadlineTimer(coordinator.next_deadline, self._run_due, supervisor)

    def expect(self, request_id: str, client: ClientConnection, outbound: OutboundRequest) -> None:
        """The answer to this request goes to ``client``."""
        self._waiting[request_id] = client, outbound

    def forget(self, request_id: str) -> None:
        """Nobody waits for this request's answer any more."""
        self._waiting.pop(request_id, None)

    def answer_all(self) -> None:
        """Give every open request its final answer: what the coordinator has due, and, should a fault have
        kept any from that, a plain failure."""
        self._supervisor.run_guarded("the last answers", self._run_due)
        for request_id in list(self._waiting):
            self._answer(FinalAnswer(request_id, FinalStatus.FAILED), None)

    def _run_due(self) -> None:
        self.execute(self._coordinator.tick(time.monotonic()))

    def execute(self, effects: Effects, response: UpstreamResponse | None = None) -> None:
        """``response`` is the one that a served answer among the orders passes on. An order that raises costs
        what it is for, and none of the others."""
        guarded = self._supervisor.run_guarded
        for note in effects.notes:
            self._counters.log(note)
        for request, number in effects.cancelled:
            guarded("giving up an attempt", self._upstream_client.cancel_attempt, request, number)
        for attempt in effects.attempts:
            self._start(attempt)
        for answer in effects.answers:
            self._answer(answer, response)
        for upstream in effects.health_checks:
            self._supervisor.spawn("probe", self._probe, upstream)
        for upstream in effects.close_idle:
            guarded("closing idle connections", self._upstream_client.close_idle, upstream)
        if effects.warm:
            guarded("opening connections ahead", self._upstream_client.warm_up, effects.warm)
        if effects.watch:
            self._supervisor.keep_running("watch", self._discovery.watch)
        if effects.fetch:
            self._supervisor.keep_running("fetch", self._discovery.fetch)
        self.timer.lower()

    def _start(self, attempt: Attempt) -> None:
        """Begin an attempt. One that cannot be begun may have been written in part: it counts as broken."""
        waiting = self._waiting.get(attempt.request)
        if waiting is None:
            return
        try:
            self._upstream_client.send_attempt(attempt, waiting[1], self._attempt_ended)
        except Exception as error:
            self._supervisor.fault("an attempt", error)
            self._supervisor.run_guarded(
                "giving up an attempt", self._upstream_client.cancel_attempt, attempt.request, attempt.number
            )
            asyncio.get_running_loop().call_soon(
                self._attempt_ended, attempt, UpstreamResponse(AttemptOutcome.BROKEN)
            )

    def _answer(self, answer: FinalAnswer, response: UpstreamResponse | None) -> None:
        """Pass a final answer on. A client that it cannot be written to is not left to wait for it."""
        self._counters.add("requests_" + answer.status.value)
        waiting = self._waiting.pop(answer.request, None)
        if waiting is None:
            return
        served = response if answer.status is FinalStatus.SERVED else None
        try:
            waiting[0].send_final_response(FinalResponse(answer.status, answer.retry_after_s, served))
        except Exception as error:
            self._supervisor.fault("an answer", error)
            # A step later, for what was written by then goes out at the end of this one.
            asyncio.get_running_loop().call_soon(waiting[0].abort)

    def _attempt_ended(self, attempt: Attempt, response: UpstreamResponse) -> None:
        now = time.monotonic()
        self.execute(self._coordinator.report(now, attempt, response.outcome, response.load), response)

    async def _probe(self, upstream: str) -> None:
        began = time.monotonic()
        outcome, load = AttemptOutcome.BROKEN, None
        try:
            outcome, load = await self._upstream_client.probe(upstream)
        finally:
            now = time.monotonic()
            self.execute(self._coordinator.health_check_ended(now, upstream, outcome, now - began, load))
