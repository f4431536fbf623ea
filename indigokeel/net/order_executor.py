"""Carries out what the facade orders: attempts, answers, probes and calls to discovery."""

from __future__ import annotations

import asyncio
import time

from indigokeel.facade import Facade
from indigokeel.net.counters import Counters
from indigokeel.net.discovery import Discovery
from indigokeel.net.exchange import Reply, Task
from indigokeel.net.pool import Pool
from indigokeel.net.request_timer import RequestTimer
from indigokeel.net.submitters import Final, Session
from indigokeel.net.supervision import Supervisor
from indigokeel.orders import Answer, Claim, Orders, Outcome, Verdict


class OrderExecutor:
    """Passes orders on, and tells the facade of how attempts and probes end; keeps the timer set."""

    def __init__(
        self,
        facade: Facade,
        pool: Pool,
        discovery: Discovery,
        supervisor: Supervisor,
        counters: Counters,
    ) -> None:
        self._facade, self._pool, self._discovery = facade, pool, discovery
        self._supervisor, self._counters = supervisor, counters
        self._waiting: dict[str, tuple[Session, Task]] = {}  # requests whose answer is awaited, by id
        self.timer = RequestTimer(facade.due, self._run_due, supervisor)

    def expect(self, request_id: str, session: Session, task: Task) -> None:
        """The answer to this request goes to ``session``."""
        self._waiting[request_id] = session, task

    def forget(self, request_id: str) -> None:
        """Nobody waits for this request's answer any more."""
        self._waiting.pop(request_id, None)

    def answer_all(self) -> None:
        """Give every open request its final answer: what the facade has due, and, should a fault have kept
        any from that, a plain failure."""
        self._supervisor.attempt("the last answers", self._run_due)
        for request_id in list(self._waiting):
            self._answer(Answer(request_id, Verdict.FAILED), None)

    def _run_due(self) -> None:
        self.execute(self._facade.tick(time.monotonic()))

    def execute(self, orders: Orders, reply: Reply | None = None) -> None:
        """``reply`` is the one that a served answer among the orders passes on. An order that raises costs
        what it is for, and none of the others."""
        attempt = self._supervisor.attempt
        for note in orders.notes:
            self._counters.log(note)
        for job, number in orders.given_up:
            attempt("giving up an attempt", self._pool.give_up, job, number)
        for claim in orders.claims:
            self._start(claim)
        for answer in orders.answers:
            self._answer(answer, reply)
        for node in orders.probes:
            self._supervisor.spawn("probe", self._probe, node)
        for node in orders.close_idle:
            attempt("closing idle connections", self._pool.close_idle, node)
        if orders.warm:
            attempt("opening connections ahead", self._pool.listed, orders.warm)
        if orders.watch:
            self._supervisor.keep_running("watch", self._discovery.watch)
        if orders.fetch:
            self._supervisor.keep_running("fetch", self._discovery.fetch)
        self.timer.lower()

    def _start(self, claim: Claim) -> None:
        """Begin an attempt. One that cannot be begun may have been written in part: it counts as broken."""
        waiting = self._waiting.get(claim.job)
        if waiting is None:
            return
        try:
            self._pool.start(claim, waiting[1], self._attempt_ended)
        except Exception as error:
            self._supervisor.fault("an attempt", error)
            self._supervisor.attempt("giving up an attempt", self._pool.give_up, claim.job, claim.number)
            asyncio.get_running_loop().call_soon(self._attempt_ended, claim, Reply(Outcome.BROKEN))

    def _answer(self, answer: Answer, reply: Reply | None) -> None:
        """Pass a final answer on. A client that it cannot be written to is not left to wait for it."""
        self._counters.add("jobs_" + answer.verdict.value)
        waiting = self._waiting.pop(answer.job, None)
        if waiting is None:
            return
        served = reply if answer.verdict is Verdict.SERVED else None
        try:
            waiting[0].answer(Final(answer.verdict, answer.retry_in, served))
        except Exception as error:
            self._supervisor.fault("an answer", error)
            # A step later, for what was written by then goes out at the end of this one.
            asyncio.get_running_loop().call_soon(waiting[0].abort)

    def _attempt_ended(self, claim: Claim, reply: Reply) -> None:
        now = time.monotonic()
        self.execute(self._facade.report(now, claim, reply.outcome, reply.load), reply)

    async def _probe(self, node: str) -> None:
        began = time.monotonic()
        outcome, load = Outcome.BROKEN, None
        try:
            outcome, load = await self._pool.probe(node)
        finally:
            now = time.monotonic()
            self.execute(self._facade.probed(now, node, outcome, now - began, load))
