"""The facade of the decision module: blocking calls, the clock passed in, plain values out.

Network code hands in jobs, endings of claims, machine lists and the time, and carries out the Orders it
gets back. The module's events and actions stay in here. The facade keeps the books: which jobs are owed
an answer, which claims are out, that each claim gets exactly one ending, and what is due when.
It does no input or output, so that any protocol can stand before it.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from indigokeel import learned
from indigokeel.cordons import Cordons, Mark
from indigokeel.decision import interface as api
from indigokeel.decision.balancer import Balancer
from indigokeel.machine_list import Machine, MachineList
from indigokeel.orders import Answer, Claim, Job, Orders, Outcome, Verdict
from indigokeel.start_times import StartsSnapshot, StartTimes

# s before the submitter's own limit at which the last word is given: the answer has to be written, and
# to arrive, in that time. Where it costs no worth it is the longer one. Guards against the burst: when an
# execute node dies, all claims on it end at once, and the work on them delays what is due just then.
ANSWER_MARGIN = 0.05
ANSWER_MARGIN_LEAST = 0.01
_MOST_DEAD = 256  # entries of closed jobs that the agenda may hold, where they are not half of it
_MOST_WARMED = 64  # execute nodes: on a larger fleet a sidecar uses but a part, and opens nothing ahead
_MOST_GONE = 1024  # names kept of nodes that are listed no more: operators may name them
# Events that one call may set off in the module, and as many for each open job: guards against a loop that
# never ends.
_MOST_EVENTS = 1000
_MOST_EACH = 8
_WAITED_LEAST_S = 0.01  # behind others, from which a request's own lack of time is no word on any upstream
_NEVER_BEGUN_MOST = 5  # attempts that never began, beyond a request's limit on attempts


class _OpenClaim:
    __slots__ = ("begin_by", "begun", "ended", "may_have_run", "node", "sent")

    def __init__(self, node: str, sent: float, begin_by: float) -> None:
        self.node, self.sent, self.begin_by = node, sent, begin_by
        self.begun = self.ended = False
        self.may_have_run = True  # until its ending proves otherwise


class _OpenJob:
    __slots__ = (
        "answer_by", "claims", "closed", "cut_short", "entries", "id", "long", "most", "out", "over",
        "repeat_window", "time",
    )  # fmt: skip

    def __init__(
        self, job_id: str, answer_by: float, repeat_window: float, most: int, time: float, long: bool
    ) -> None:
        self.id, self.answer_by, self.repeat_window = job_id, answer_by, repeat_window
        self.most = most  # claims at most
        self.time, self.long = time, long  # s until the last word on it; whether its body is long
        self.cut_short = False  # waited behind others, so that its lack of time is nobody's lateness
        self.claims: list[_OpenClaim] = []
        self.out = 0  # claims without an ending
        self.over = self.closed = False
        self.entries = 0  # in the agenda


class Facade:
    """All decisions of one sidecar, and its books."""

    def __init__(self, settings: api.Settings, seed: int, unix_to_clock: float) -> None:
        """``unix_to_clock`` is what has to be added to a Unix time to get this clock's, as far as known."""
        self._balancer = Balancer(settings, seed)
        self._starts = StartTimes(unix_to_clock, settings.safety.ask_within)
        self._use(settings)
        self.unix_to_clock = unix_to_clock
        self._jobs: dict[str, _OpenJob] = {}
        self._machines: dict[str, Machine] = {}
        self._gone: dict[str, None] = {}  # nodes that were listed once, the last of them
        self._addresses: dict[str, tuple[str, int]] = {}  # of those that take work
        self.cordons = Cordons()
        self._agenda: list[tuple[float, int, Callable[[float, Orders], None], _OpenJob | None]] = []
        self._dead = 0  # entries of closed jobs
        self._entries = 0
        self.owed = 0  # jobs taken and not answered
        self.faults = 0  # exceptions of the module

    def _use(self, settings: api.Settings) -> None:
        self._limits = settings.limits
        self._starts.list_age = settings.safety.ask_within
        self._aims = {cls.name: cls.aim for cls in settings.classes}
        self._windows = {
            cls.name: cls.repeat_window for cls in settings.classes if cls.effect is api.Effect.KEYED
        }

    # --- what network code asks ---------------------------------------------------------------------

    def due(self) -> float:
        """The clock time of the next call of tick."""
        while self._agenda and self._agenda[0][3] is not None and self._agenda[0][3].closed:
            heapq.heappop(self._agenda)
            self._dead -= 1
        return self._agenda[0][0] if self._agenda else math.inf

    def ready(self) -> bool:
        """Whether a job could be served: some execute node takes work."""
        return bool(self._addresses)

    def knows(self, job_id: str) -> bool:
        """Whether a job of this id is open, or has a claim out still."""
        return job_id in self._jobs

    def address(self, node: str) -> tuple[str, int] | None:
        """Where an execute node listens; None where it wants nothing new."""
        return self._addresses.get(node)

    def begin(self, now: float, claim: Claim) -> bool:
        """Asked right before a claim's first byte is written: whether it may still go out.

        Guards against what came to pass while a connection was being made: the node began to drain, the
        job was answered, or the time ran out in which a keyed job may be repeated."""
        job = self._jobs.get(claim.job)
        if job is None or job.over or self.address(claim.node) is None:
            return False
        opened = job.claims[claim.number]
        if opened.ended or now >= opened.begin_by:
            return False
        opened.begun = True
        return True

    # --- what network code tells --------------------------------------------------------------------

    def reconfigure(self, settings: api.Settings) -> None:
        """Take new settings, whole; raises ValueError, and changes nothing, on some that no decision can rest
        on. Open jobs keep the class and the number of attempts that they were taken under."""
        self._balancer.use(settings)
        self._use(settings)

    def lagged(self, now: float, seconds: float) -> Orders:
        """Tell how late the caller itself runs; at a steady beat."""
        orders = Orders()
        self._feed(now, api.Lagged(seconds), orders)
        return orders

    def behind(self) -> bool:
        """Whether the caller runs so late that turn_away may turn jobs away."""
        return self._balancer.behind()

    def turn_away(self, now: float, job_class: str, budget: float) -> float | None:
        """Asked before ``pick``, for next to nothing: None to go on, or how long a submitter that is turned
        away at once is to wait. The job is in no book then, and its answer is a refusal."""
        return self._balancer.turn_away(now, job_class, budget)

    def pick(self, now: float, job: Job) -> Orders:
        """Take a job and decide on it."""
        orders = Orders()
        if self.owed >= self._limits.max_open:
            orders.answers.append(Answer(job.id, Verdict.REFUSED, self._limits.max_retry_after))
            return orders
        if job.id in self._jobs:
            raise ValueError(f"a job of this id is open: {job.id}")
        left = self._time_for(job)
        answer_by = math.inf if job.long else now + left
        window, most = self._windows.get(job.job_class, math.inf), self._limits.max_attempts
        opened = self._jobs[job.id] = _OpenJob(job.id, answer_by, window, most, left, job.long)
        opened.cut_short = job.waited > _WAITED_LEAST_S
        self.owed += 1
        if not job.long:
            self._enter(answer_by, partial(self._expire, opened), opened)
        event = api.RequestArrived(job.id, job.job_class, job.budget, job.tenant, job.key, job.hint)
        self._feed(now, event, orders, opened)
        return orders

    def uploaded(self, now: float, job_id: str) -> None:
        """The last byte of a long job's body has come: its time starts now, its claim's too."""
        job = self._jobs.get(job_id)
        if job is not None and not job.over and job.answer_by == math.inf:
            job.answer_by = now + job.time
            for claim in job.claims:
                claim.sent = now
            self._enter(job.answer_by, partial(self._expire, job), job)

    def report(
        self, now: float, claim: Claim, outcome: Outcome, load: dict[str, float] | None = None
    ) -> Orders:
        """Tell how a claim ended. One that has its ending already is passed over."""
        orders = Orders()
        job = self._jobs.get(claim.job)
        if job is not None and not job.claims[claim.number].ended:
            self._end_claim(now, job, claim.number, outcome, orders, load)
        return orders

    def finish(self, by: float) -> None:
        """The process ends: every open job has its last word at clock time ``by`` or before."""
        for job in self._jobs.values():
            if not job.over and job.answer_by > by:
                job.answer_by = by
                self._enter(by, partial(self._expire, job), job)

    def left(self, now: float, job_id: str) -> Orders:
        """The submitter is gone: nothing more is owed."""
        orders = Orders()
        job = self._jobs.get(job_id)
        if job is not None and not job.over:
            self._over(job)
            self._feed(now, api.ClientLeft(job_id), orders, job)
            for number, claim in enumerate(job.claims):
                if job.long:
                    self._give_up(now, job, number, orders)
                elif not claim.begun and not claim.ended:  # nothing of it was sent, and nothing will be
                    orders.given_up.append((job.id, number))
                    self._end_claim(now, job, number, Outcome.MOOT, orders)
        return orders

    def tick(self, now: float) -> Orders:
        """Do all that is due."""
        orders = Orders()
        while self.due() <= now:
            _, _, call, job = heapq.heappop(self._agenda)
            if job is not None:
                job.entries -= 1
            try:
                call(now, orders)
            except Exception as error:  # costs this entry, and none of the orders of the others
                self.faults += 1
                orders.notes.append(f"fault in the agenda: {type(error).__name__}: {error}")
        return orders

    def probed(
        self, now: float, node: str, outcome: Outcome, elapsed: float, load: dict[str, float] | None = None
    ) -> Orders:
        """Tell how a probe ended."""
        orders = Orders()
        figures = api.Load(**load) if load else None
        self._feed(now, api.ProbeEnded(node, outcome.ending, elapsed, figures), orders)
        return orders

    def listed(self, now: float, news: MachineList, cached: bool = False) -> Orders:
        """Take in a machine list, whole or in part."""
        if news.whole:
            self._gone.update(dict.fromkeys(self._machines))
            self._machines.clear()
        for machine in news.machines:
            if machine.state is api.State.GONE:
                self._gone[machine.name] = None
                self._machines.pop(machine.name, None)
            else:
                self._machines[machine.name] = machine
        self._starts.forget_unlisted(self._machines)
        while len(self._gone) > _MOST_GONE:
            self._gone.pop(next(iter(self._gone)))
        listed = {m.name: m.since for m in news.machines if m.state is not api.State.GONE}
        self._starts.note(now, listed, cached)
        kind = api.News.CACHED if cached else api.News.FULL if news.whole else api.News.DELTA
        orders = Orders()
        self._lay(now, kind, news.machines, orders, news.version)
        return orders

    def _lay(
        self, now: float, kind: api.News, machines: Iterable[Machine], orders: Orders, version: int = 0
    ) -> None:
        """Tell the module of machines, as the operators' word leaves them."""
        whole = kind is not api.News.DELTA
        names = list(self._machines) if whole else [machine.name for machine in machines]
        listed = [self._machines[name] for name in names if name in self._machines]
        laid = {machine.name: self.cordons.lay(machine, now) for machine in listed}
        before = self._addresses if whole else {n: self._addresses[n] for n in names if n in self._addresses}
        after = {name: (m.host, m.port) for name, m in laid.items() if m.state is api.State.SERVING}
        if whole:
            self._addresses = after
        else:
            for name in before:
                del self._addresses[name]
            self._addresses.update(after)
        # Also where one has moved: its connections lead to an address that is another's by now.
        orders.close_idle += sorted(name for name, at in before.items() if after.get(name) != at)
        if len(self._machines) <= _MOST_WARMED:
            orders.warm += sorted(name for name, at in after.items() if before.get(name) != at)
        members = tuple(self._member(now, laid.get(machine.name, machine)) for machine in machines)
        self._feed(now, api.MembershipNews(kind, members, version), orders)

    # --- what operators say ---------------------------------------------------------------------------

    def cordon(self, now: float, node: str) -> Orders | None:
        """Take a node out until ``uncordon``, whatever lists say meanwhile; None where nobody has it."""
        if node not in self._machines and node not in self._gone:
            return None
        changed = self.cordons.cordon(node, now)
        orders = Orders()
        self._marked(now, [node] if changed else [], orders)
        return orders

    def uncordon(self, now: float, node: str) -> Orders | None:
        """Give a node back, cold; None where nobody has it."""
        if node not in self._machines and node not in self._gone and not self.cordons.holds(node, now):
            return None
        changed = self.cordons.uncordon(node, now)
        orders = Orders()
        self._marked(now, [node] if changed else [], orders)
        return orders

    def merge(self, now: float, marks: Iterable[Mark]) -> Orders:
        """Take in what another process of this sidecar was told."""
        orders = Orders()
        self._marked(now, self.cordons.merge(marks), orders)
        return orders

    def _marked(self, now: float, nodes: list[str], orders: Orders) -> None:
        """Something new was said of these nodes, if of any."""
        if nodes:
            told = [self._machines[name] for name in nodes if name in self._machines]
            self._lay(now, api.News.DELTA, told, orders)
            end = self.cordons.next_end(now)
            if end < math.inf:
                self._enter(end, lambda late, more: self._marked(late, list(self._machines), more))

    def learned(self, now: float) -> dict[str, Any] | None:
        """What the module has learnt, for the next process, or None where that does not pay."""
        return learned.collect(self._balancer, now)

    def learn(self, now: float, data: Any) -> Orders:
        """Start from what another process had learnt: after the first list, before the first job."""
        orders = Orders()
        try:
            learned.restore(self._balancer, now, data)
        except learned.LearnedError as error:
            orders.notes.append(f"what the process before had learnt is not used: {error}")
        return orders

    def starts(self, now: float) -> StartsSnapshot | None:
        """What is known of the listed upstreams' starts, for the next process."""
        return self._starts.snapshot(now, self._machines)

    def inherit_starts(self, snapshot: StartsSnapshot) -> None:
        """Take over the starts that another process of this boot knew: before the first list."""
        self._starts.inherit(snapshot)

    def machines(self) -> tuple[Machine, ...]:
        """The list as discovery told it last."""
        return tuple(self._machines.values())

    def list_failed(self, now: float) -> Orders:
        """A call to discovery failed, or a watch has ended. Told once for each."""
        self._starts.list_lost(now)
        orders = Orders()
        self._feed(now, api.MembershipNews(api.News.FAILED), orders)
        return orders

    # --- the books ----------------------------------------------------------------------------------

    def _member(self, now: float, machine: Machine) -> api.Member:
        listed = self._starts.started(machine.name, machine.since)
        started = max(listed, self.cordons.given_back_at(machine.name, now))
        return api.Member(
            machine.name, machine.zone, machine.kind, machine.cell, machine.state, machine.weight, started
        )

    def _enter(self, at: float, call: Callable[[float, Orders], None], job: _OpenJob | None = None) -> None:
        """Enter a call in the agenda; one for a job falls out when that is closed."""
        self._entries += 1
        if job is not None:
            job.entries += 1
        heapq.heappush(self._agenda, (at, self._entries, call, job))

    def _time_for(self, job: Job) -> float:
        """The time until the last word on a job: never cut short before its aim but by the least margin,
        and however short it is, some of it is for trying."""
        wanted = min(self._aims.get(job.job_class, 0.0), job.budget - ANSWER_MARGIN_LEAST)
        return max(job.budget - ANSWER_MARGIN, wanted, job.budget / 2.0)

    def _over(self, job: _OpenJob) -> None:
        job.over = True
        self.owed -= 1

    def _expire(self, job: _OpenJob, now: float, orders: Orders) -> None:
        """The submitter's time is up: end what is out, and see that an answer goes out."""
        for number in range(len(job.claims)):
            self._give_up(now, job, number, orders)
        if not job.over:
            self._fail(now, job, orders)
        self._close(job)

    def _fail(self, now: float, job: _OpenJob, orders: Orders) -> None:
        """The last word, where the module gave none: what cannot have run may be asked again."""
        self._over(job)
        ran = any(claim.may_have_run for claim in job.claims)
        orders.answers.append(Answer(job.id, Verdict.FAILED if ran else Verdict.REFUSED))
        self._feed(now, api.ClientLeft(job.id), orders, job)

    def _give_up(self, now: float, job: _OpenJob, number: int, orders: Orders) -> None:
        claim = job.claims[number]
        if not claim.ended:
            orders.given_up.append((job.id, number))
            # Without its first byte written it cannot have run.
            outcome = Outcome.TIMED_OUT if claim.begun else Outcome.NO_CONNECTION
            self._end_claim(now, job, number, outcome, orders)

    def _end_claim(
        self,
        now: float,
        job: _OpenJob,
        number: int,
        outcome: Outcome,
        orders: Orders,
        load: dict[str, float] | None = None,
    ) -> None:
        claim = job.claims[number]
        claim.ended = True
        claim.may_have_run = not outcome.ending.never_ran
        job.out -= 1
        if outcome is Outcome.SERVED and not job.over:
            self._over(job)
            orders.answers.append(Answer(job.id, Verdict.SERVED, claim=number))
        figures = api.Load(**load) if load else None
        ending = outcome.ending
        if outcome is Outcome.TIMED_OUT and job.cut_short and now >= job.answer_by:
            ending = api.Ending.CANCELLED  # given up for its client's sake: the upstream was not late
        event = api.AttemptEnded(
            job.id, claim.node, number, ending, max(now - claim.sent, 0.0), job.over, figures
        )
        self._feed(now, event, orders, job)

    def _close(self, job: _OpenJob) -> None:
        """A job stays known until its last claim has told how it ended."""
        if job.over and job.out == 0 and not job.closed:
            job.closed = True
            self._jobs.pop(job.id, None)
            # Guards against growth: a submitter may name an hour for a job that is served in a moment.
            self._dead += job.entries
            if self._dead > _MOST_DEAD and self._dead * 2 > len(self._agenda):
                self._agenda = [entry for entry in self._agenda if entry[3] is None or not entry[3].closed]
                heapq.heapify(self._agenda)
                self._dead = 0

    # --- the module ---------------------------------------------------------------------------------

    def _feed(self, now: float, event: api.Event, orders: Orders, job: _OpenJob | None = None) -> None:
        events = [event]
        for number in range(_MOST_EVENTS + _MOST_EACH * len(self._jobs)):
            if number >= len(events):
                break
            try:
                actions = self._balancer.handle(now, events[number])
            except Exception as error:  # a fault in a decision costs its job, never the sidecar
                self.faults += 1
                orders.notes.append(f"fault in the decision module: {type(error).__name__}: {error}")
                if job is not None and not job.over and job.out == 0:
                    self._over(job)
                    orders.answers.append(Answer(job.id, Verdict.FAILED))
                continue
            for action in actions:
                self._act(now, action, orders, events)
        if job is not None:
            self._close(job)

    def _act(self, now: float, action: api.Action, orders: Orders, events: list[api.Event]) -> None:
        if isinstance(action, api.Send):  # the two that every job brings, before the others
            self._claim(now, action, orders, events)
            return
        if isinstance(action, api.SetTimer):
            self._enter(now + action.delay, partial(self._fire, action.token))
            return
        match action:
            case api.CloseIdle(node):
                orders.close_idle.append(node)
            case api.Refuse(job_id, retry_in):
                self._answer(job_id, Verdict.REFUSED, retry_in, orders)
            case api.Fail(job_id):
                self._answer(job_id, Verdict.FAILED, 0.0, orders)
            case api.CancelAttempt(job_id, number):
                job = self._jobs.get(job_id)
                if job is not None and number < len(job.claims) and not job.claims[number].ended:
                    job.claims[number].ended = True
                    job.out -= 1
                    orders.given_up.append((job_id, number))
                    claim = job.claims[number]
                    events.append(
                        api.AttemptEnded(
                            job_id, claim.node, number, api.Ending.CANCELLED, now - claim.sent, job.over
                        )
                    )
                    self._close(job)
            case api.Probe(node):
                orders.probes.append(node)
            case api.Subscribe():
                orders.watch = True
            case api.FetchList():
                orders.fetch = True
            case api.Log(text):
                orders.notes.append(text)

    def _fire(self, token: int, now: float, orders: Orders) -> None:
        self._feed(now, api.TimerFired(token), orders)

    def _answer(self, job_id: str, verdict: Verdict, retry_in: float, orders: Orders) -> None:
        job = self._jobs.get(job_id)
        if job is not None and not job.over:
            self._over(job)
            orders.answers.append(Answer(job_id, verdict, retry_in))
            self._close(job)

    def _claim(self, now: float, send: api.Send, orders: Orders, events: list[api.Event]) -> None:
        job = self._jobs.get(send.id)
        if job is None:
            return
        number = len(job.claims)
        anchor = next((claim.sent for claim in job.claims if claim.may_have_run), math.inf)
        opened = _OpenClaim(send.upstream, now, anchor + job.repeat_window)
        job.claims.append(opened)
        never_begun = sum(claim.ended and not claim.begun for claim in job.claims[:number])
        begun = number - min(never_begun, _NEVER_BEGUN_MOST)
        moot = job.over or now >= job.answer_by or begun >= job.most
        if moot or self.address(send.upstream) is None:
            opened.ended, opened.may_have_run = True, False
            events.append(
                api.AttemptEnded(send.id, send.upstream, number, api.Ending.NEVER_SENT, 0.0, job.over)
            )
            return
        job.out += 1
        if job.long:
            # It ends with its body and then its time. Told that it has started, the module waits for nothing
            # and sends no other for it: what was passed on is not kept.
            events.append(api.AnswerStarted(send.id, send.upstream, number))
            orders.claims.append(Claim(send.id, number, send.upstream, min(now + job.time, job.answer_by)))
            return
        until = min(now + send.timeout, job.answer_by) if send.timeout > 0.0 else job.answer_by
        if send.timeout < 0.0:
            until = now
        if until < job.answer_by:
            self._enter(until, lambda late, more: self._give_up(late, job, number, more), job)
        orders.claims.append(Claim(send.id, number, send.upstream, until))
