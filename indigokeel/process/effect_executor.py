"""Carries out the coordinator's effects: attempts, answers, health checks and calls to discovery."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.metrics import Counters
from indigokeel.net.discovery import DiscoveryClient
from indigokeel.net.downstream.client_connection import ClientConnection, FinalResponse
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.process.deadline_timer import DeadlineTimer
from indigokeel.process.supervision import Supervisor
from indigokeel.process.unserved_log import UnservedLog
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Attempt, Effects, FinalAnswer, FinalStatus
from indigokeel.requests.unserved import Unserved, UnservedCause


@dataclass(slots=True)
class _WaitingClient:
    """The client connection that waits for a request's answer, and the request to send to upstreams."""

    connection: ClientConnection
    outbound: OutboundRequest


class EffectExecutor:
    """Carries out effects, reports the outcomes of attempts and health checks, and maintains the timer."""

    def __init__(
        self,
        coordinator: RequestCoordinator,
        upstream_client: UpstreamClient,
        discovery: DiscoveryClient,
        supervisor: Supervisor,
        counters: Counters,
    ) -> None:
        """Create an executor of the effects of ``coordinator``."""
        self._coordinator = coordinator
        self._upstream_client = upstream_client
        self._discovery = discovery
        self._supervisor = supervisor
        self._counters = counters
        self._waiting: dict[str, _WaitingClient] = {}  # by request id
        self._unserved_log = UnservedLog(counters)
        self.timer = DeadlineTimer(coordinator, self._run_due, supervisor)

    def register_client(self, request_id: str, client: ClientConnection, outbound: OutboundRequest) -> None:
        """Register the client connection that is sent the answer to a request."""
        self._waiting[request_id] = _WaitingClient(client, outbound)

    def unregister_client(self, request_id: str) -> None:
        """Drop the answer to a request, because its client has disconnected."""
        self._waiting.pop(request_id, None)

    def answer_all(self) -> None:
        """Give each open request its final answer: the coordinator's, or a failure if it gives none."""
        self._supervisor.run_guarded("answering the last requests", self._run_due)
        for request_id in list(self._waiting):
            unserved = Unserved(UnservedCause.INTERNAL_ERROR, "unknown", may_have_run=True)
            self._send_answer(FinalAnswer(request_id, FinalStatus.FAILED, unserved=unserved), None)

    def _run_due(self) -> None:
        self.execute(self._coordinator.tick(time.monotonic()))

    def execute(self, effects: Effects, response: UpstreamResponse | None = None) -> None:
        """Carry out effects; ``response`` is the upstream response for a served answer among them.

        An exception in one effect does not keep the others from being carried out.
        """
        guarded = self._supervisor.run_guarded
        for note in effects.log_messages:
            self._counters.log(note)
        for request_id, number in effects.cancelled_attempts:
            guarded("cancelling an attempt", self._upstream_client.cancel_attempt, request_id, number)
        for attempt in effects.attempts:
            self._start_attempt(attempt)
        for answer in effects.answers:
            self._send_answer(answer, response)
        for upstream in effects.health_checks:
            self._supervisor.spawn("health check", self._check_health, upstream)
        for upstream in effects.drain_connections:
            guarded("closing idle connections", self._upstream_client.drain_connections, upstream)
        if effects.preconnect:
            guarded("opening connections in advance", self._upstream_client.preconnect, effects.preconnect)
        if effects.start_watch:
            self._supervisor.keep_running("watch", self._discovery.watch)
        if effects.fetch_endpoints:
            self._supervisor.keep_running("fetch", self._discovery.fetch)
        self.timer.bring_forward()

    def _start_attempt(self, attempt: Attempt) -> None:
        """Start an attempt; if that raises, it is broken, because part of it may have been written."""
        waiting = self._waiting.get(attempt.request_id)
        if waiting is None:
            return
        try:
            self._upstream_client.send_attempt(attempt, waiting.outbound, self._attempt_ended)
        except Exception as error:
            self._supervisor.record_fault("starting an attempt", error)
            cancel = self._upstream_client.cancel_attempt
            self._supervisor.run_guarded("cancelling an attempt", cancel, attempt.request_id, attempt.number)
            broken = UpstreamResponse(AttemptOutcome.BROKEN)
            asyncio.get_running_loop().call_soon(self._attempt_ended, attempt, broken)

    def _send_answer(self, answer: FinalAnswer, response: UpstreamResponse | None) -> None:
        """Send a final answer to its client; if that raises, close the connection."""
        self._counters.add("requests_" + answer.status.value)
        if answer.unserved is not None:
            now = time.monotonic()
            lag_s = self._coordinator.loop_lag_s(now)
            self._unserved_log.record(now, answer.status, answer.unserved, lag_s)
        waiting = self._waiting.pop(answer.request_id, None)
        if waiting is None:
            return
        served = response if answer.status is FinalStatus.SERVED else None
        try:
            final = FinalResponse(answer.status, answer.retry_after_s, served)
            waiting.connection.send_final_response(final)
        except Exception as error:
            self._supervisor.record_fault("sending an answer", error)
            # Abort in the next iteration of the event loop, so that this one sends what has been written.
            asyncio.get_running_loop().call_soon(waiting.connection.abort)

    def _attempt_ended(self, attempt: Attempt, response: UpstreamResponse) -> None:
        now = time.monotonic()
        self.execute(self._coordinator.report(now, attempt, response.outcome, response.load), response)

    async def _check_health(self, upstream: str) -> None:
        started_at = time.monotonic()
        outcome, load = AttemptOutcome.BROKEN, None
        try:
            outcome, load = await self._upstream_client.check_health(upstream)
        finally:
            now = time.monotonic()
            elapsed = now - started_at
            self.execute(self._coordinator.health_check_ended(now, upstream, outcome, elapsed, load))
