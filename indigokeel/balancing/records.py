"""What the balancer remembers: of an upstream, an attempt, a request and a class."""

from __future__ import annotations

import math

from indigokeel.balancing.events import Member, RequestArrived
from indigokeel.balancing.selection_index import SelectionIndex
from indigokeel.balancing.settings import ClassSettings
from indigokeel.balancing.statistics import DecayingSum, ShrinkageEstimate, SlidingWindow, hash64

WINDOW = 3.0  # s; reports are averaged over this, as BP-65 averages three samples of one second
QUARANTINE_FIRST = 2.0  # s; short, because the upstream may have recovered ...
CAPACITY_MIN_UTIL = 0.15  # below this utilisation rate / utilisation is mostly noise
AVERAGED_LEAST = 3  # reports in that time, from where the average says how busy it is: BP-65 averages three
HEALTH_TAU = 10.0  # s in which what own latencies told loses most of its weight
HEALTH_PRIOR = 2.0  # answers that the belief "as fast as the others" is worth; 8 lost on full-size days
SHED_TAU = 4.0  # s over which requests are counted, for each class's part in what is shed


class Upstream:
    """What this sidecar knows of one upstream."""

    __slots__ = (
        "answered", "capacity", "errors", "failures", "fresh_until", "health_sum", "health_weight",
        "jail_time", "jailed_until", "member", "open", "others", "overdue", "probed", "probing", "ramp",
        "rate", "reports", "salt", "scale", "silent", "size", "slot", "slot_left", "told", "utilisation",
        "view", "index",
    )  # fmt: skip

    def __init__(self, member: Member, group: ShrinkageEstimate) -> None:
        self.member = member
        # Drawn to what is known of its like, the same kind in the same cell.
        self.capacity = ShrinkageEstimate(
            group, 0.2
        )  # requests a second at full utilisation, for each unit of scale
        self.salt = hash64(member.id)
        self.reports = SlidingWindow(WINDOW)  # of rate and utilisation
        self.rate = self.utilisation = -1.0  # the averages over the window; -1: missing
        self.health_sum = DecayingSum(HEALTH_TAU)  # of log(own latency / expected)
        self.health_weight = DecayingSum(HEALTH_TAU)
        self.scale = 1.0
        self.failures = 0
        self.errors = 0  # of its failures, those not reckoned yet to what a healthy one shows
        self.answered = -math.inf  # when it last served
        self.fresh_until = -math.inf  # until then the next three need no new look
        self.size = self.ramp = self.view = 1.0
        self.slot, self.slot_left = -math.inf, 0  # while cold: part of the time, what is left to send in it
        self.jailed_until = 0.0
        self.jail_time = QUARANTINE_FIRST
        self.silent = False  # it was put in ejection for saying nothing, not for errors
        self.open = 0  # own attempts out
        self.others, self.told = 0.0, -math.inf  # what it held beyond them, and when it said so
        self.overdue = 0  # those of them that have been out for too long
        self.probing = False
        self.probed = -math.inf
        self.index: SelectionIndex[Upstream] | None = None  # the index it stands in, on large fleets

    def changed(self) -> None:
        """There is news of it: it is looked at again before the next pick."""
        self.fresh_until = -math.inf
        if self.index is not None:
            self.index.news[self] = None

    def report(self, now: float, rate: float, utilisation: float) -> None:
        self.reports.add(now, rate, utilisation)
        self.changed()
        if utilisation > CAPACITY_MIN_UTIL and rate > 0.0:  # while cold, what it would be once warm
            self.capacity.add(math.log(rate / (utilisation * self.scale * self.ramp)))

    def average(self, now: float) -> None:
        """Let reports older than the window go and average the rest. One or two are noise, not an average:
        guards against striking a sound upstream out by them.
        """
        self.rate, self.utilisation = self.reports.means(now) or (-1.0, -1.0)
        if len(self.reports) < AVERAGED_LEAST:
            self.utilisation = -1.0

    def felt(self, now: float, ratio: float) -> None:
        """Take in one own latency, as a multiple of what was expected."""
        self.health_sum.add(now, math.log(min(max(ratio, 0.2), 20.0)))
        self.health_weight.add(now, 1.0)
        self.changed()

    def slowness(self, now: float) -> float:
        """How slow own answers were, 1 being as expected; drawn to 1 where few are known."""
        weight = self.health_weight.value(now)
        return math.exp(self.health_sum.value(now) / (weight + HEALTH_PRIOR)) if weight else 1.0


NEVER_BEGUN = 5  # attempts that never began, beyond the limit on attempts: each has waited for its patience


class AttemptState:
    """One attempt that has been sent."""

    __slots__ = (
        "begun", "called_off", "copy", "expected", "may_have_run", "out", "overdue", "sent", "upstream",
    )  # fmt: skip

    def __init__(self, upstream: Upstream, sent: float, expected: float) -> None:
        self.upstream, self.sent, self.expected = upstream, sent, expected
        self.out, self.overdue, self.called_off = True, False, False
        self.copy = False  # sent while another was out
        self.begun = self.may_have_run = True  # until its outcome proves otherwise


class RequestState:
    """One request from its arrival until it is over and all its attempts have ended."""

    __slots__ = (
        "attempts", "cls", "deadline", "done", "hint", "id", "key", "latest", "most", "started",
        "objective_at", "stats",
    )  # fmt: skip

    def __init__(
        self, event: RequestArrived, cls: ClassSettings, stats: ClassStats, most: int, key: int, now: float
    ) -> None:
        self.id, self.cls, self.hint = event.id, cls, event.hint
        self.stats, self.most = stats, most  # attempts at most; all as of its arrival
        self.key = key
        self.started = False  # a streamed answer has begun
        self.deadline = now + event.budget
        self.objective_at = now + min(
            cls.latency_objective + cls.objective_stretch * event.hint, event.budget
        )
        self.latest = self.deadline if cls.late_weight > 0.0 or cls.streaming else self.objective_at
        self.attempts: list[AttemptState] = []
        self.done = False

    def spent(self) -> bool:
        """Whether it has had all its attempts. One that never began is none, but for a bound on those."""
        begun = sum(attempt.begun for attempt in self.attempts)
        return begun >= self.most or len(self.attempts) >= self.most + NEVER_BEGUN

    def out(self) -> int:
        return sum(attempt.out for attempt in self.attempts)

    def anchor(self) -> AttemptState | None:
        """The first attempt that may have run: its group and its time bind a keyed repeat."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None


class TenantStats:
    """What this sidecar has seen of one tenant."""

    __slots__ = ("arrivals", "shed")

    def __init__(self) -> None:
        self.arrivals = DecayingSum(SHED_TAU)
        self.shed: dict[str, float] = {}  # the part of its requests that is refused at once, by class


class ClassStats:
    """What this sidecar has seen of one class: its usual latency and hint."""

    __slots__ = ("arrivals", "hint", "kept_out", "latency", "name")

    def __init__(self, cls: ClassSettings) -> None:
        self.arrivals = DecayingSum(SHED_TAU)
        self.name = cls.name
        self.kept_out = 0.0  # the part of it that is turned away at the door while the sidecar is behind
        self.latency = (
            cls.latency_objective / 4.0
        )  # until seen: aims are commonly a few times the usual latency
        self.hint = 0.0

    def seen(self, latency: float, hint: float) -> None:
        self.latency += 0.05 * (latency - self.latency)
        if hint > 0.0:
            self.hint = hint if self.hint == 0.0 else self.hint + 0.05 * (hint - self.hint)

    def expected(self, hint: float) -> float:
        if hint <= 0.0 or self.hint == 0.0:
            return self.latency
        return self.latency * (0.5 + 0.5 * min(hint / self.hint, 6.0))
