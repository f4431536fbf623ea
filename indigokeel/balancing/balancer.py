"""The decisions of a sidecar load balancer. Its interface (types, events, actions): interface.py.

One Balancer serves one sidecar. It knows the events it was handed and nothing else: it reads no clock,
draws from its own generator, and does no input or output. The ordinary path of a request is that of
docs/design.md: average the load reports, strike out busy upstreams, spin a roulette wheel over the rest.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Iterator
from itertools import islice
from random import Random
from weakref import WeakValueDictionary

from indigokeel.balancing import records, slow_start
from indigokeel.balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpoints,
)
from indigokeel.balancing.events import (
    LAG_SAMPLE_INTERVAL_S,
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    Event,
    HealthCheckEnded,
    LagSampled,
    LoadReport,
    Member,
    MembershipUpdate,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from indigokeel.balancing.records import AttemptState, ClassStats, RequestState, TenantStats, Upstream
from indigokeel.balancing.selection_index import SelectionIndex
from indigokeel.balancing.settings import DeduplicationScope, Idempotency, LoadReportSource, Settings
from indigokeel.balancing.statistics import (
    DecayingSum,
    FrequencyCounter,
    ShrinkageEstimate,
    hash64,
    mix,
    trim_max_min,
)
from indigokeel.balancing.weighted_choice import by_chance, by_key, van_der_corput
from indigokeel.balancing.zone_ordered_set import ZoneOrderedSet

# --- the settings of the mechanism, each with its reason --------------------------------------

BUSY = 0.95  # an upstream over this utilisation is struck out: a queue grows without bound near 1
SHUFFLE = 0x5851F42D4C957F2D  # mixes the order that subsets are cut from
LOW_LOAD_RATIO = 0.5  # BP-65's lowLoadBookieRatio: with more than this struck out, pick at random
QUARANTINE_DOUBT = 0.0005  # an upstream is quarantined after as many failures in a row as a healthy one
QUARANTINE_MOST = 6  # ... shows with less than this chance, given how common failures are; at most these
QUARANTINE_RATIO = 0.7  # chance that a sidecar quarantines, so that not all drop an upstream at once
QUARANTINE_VISITS = 0.3  # ... but this part of the time until a sidecar would use it again by chance
HANG_FELT = 5.0  # a time-out this many times over the usual latency counts as two failures
QUARANTINE_LONGEST = 10.0  # s; ... doubled while it keeps failing, up to this
SUBSET_LEAST = 20  # upstreams a quiet sidecar uses: fewer leave no choice when some are bad
SUBSET_SECONDS = 1.0  # s of own traffic a subset is sized for: one request each in that time
WHEEL_FROM = 16  # upstreams in a pool, from where one is drawn at a time instead of all being laid out
DRAWS = 64  # before all are laid out after all
SAMPLE = 32  # upstreams of a large pool that a further attempt is chosen from
LAZY = 2.0  # s more that a look at a warm one holds there: news and reports that fall due end it anyway
KEY_WINDOW = 20  # candidates weighed for a warm key: bounds the cost of a pick on any fleet
HOT_KEY_SPREAD = 2.0  # a key with the traffic of one upstream is spread over this many more
HOME_PULL = 1.5  # a slice in the own zone grows by this where crossing zones has a price
LEAN_FROM = 2.0  # times its part of the own attempts out, from where a slice shrinks ...
LEAN = 4.0  # ... and how steeply
SUSPECT = 0.1  # what is left of the slice of an upstream with an answer overdue
FAILURE_FELT = 3.0  # a refusal or an error counts like an answer this many times slower than expected
PATIENCE = 3.0  # an answer is overdue after this multiple of the usual time
RETRY_SHARE = 0.2  # further attempts for each timely answer
RETRY_BURST = 3.0  # and this many saved up
COPY_SHARE = 0.03  # second copies for each timely answer, besides those that pay for themselves
COLD_KEY_SPREAD = 4  # cold upstreams that a key is spread over: a hot key fills none of them
PROBE_FIRST = 8.0  # probes that a start may spend at once on learning the fleet, one a request
PROBE_SHARE = 0.25  # probes for each request, where reports come by probe only ...
PROBE_COST = 0.002  # ... or fewer, where their price would take more than this of the whole
ROOM = 0.5  # of the time left within the aim that may pass with what an upstream holds ...
ROOM_LEAST = 2.0  # requests that it may hold however little that is ...
REFRESH = 0.25  # s that a look at an upstream holds while there is no news of it
RATE_TAU = 5.0  # s over which the own request rate is averaged
LOAD_KEPT = 0.95  # of the load that was asked for, with each look at the upstreams in use
FEW = 1.0  # a second, added to requests and answers before they are compared: no status on next to none
LATE_TAU = 1.0  # s over which late and timely answers are counted
SHED_LATE = 0.2  # requests are shed while there are more than so many late answers for a timely one
SHED_LEAST = 2.0  # ... and these
SHED_STEP_DOWN, SHED_STEP_UP = 0.85, 0.04  # what is admitted changes by this, four times a second
SHED_MOST = 0.9  # of a class; the rest shows when the trouble is over
LAG_WEIGHT = 0.25  # of the newest beat in the smoothed lag: a pause of one beat is no overload
LAG_MOST = 0.5  # of the shortest aim; with more the sidecar is behind, and turns away at the door ...
LAG_STEP_DOWN, LAG_STEP_UP = 0.85, 0.015  # ... what is let in changes by this each beat
LAG_BEATS = 4.0  # that one late beat counts for at most
LAG_TURNS = 2.0  # times its lag that a request spends waiting for the sidecar itself
HELD_PART = 0.4  # of the time left, that a request is held for which there is no upstream
WATCH_AGAIN = 0.1  # s before discovery is asked again after a watch that had told something, with jitter
WATCH_FIRST = 0.5  # s before discovery is asked again after a failed call, with jitter ...
WATCH_LONGEST = 0.4  # ... doubled up to this part of the time that it must be asked in ...
WATCH_MOST = 2.9  # s; ... and this: 6 s after discovery can be reached again a change counts as told
REFUSAL_WAIT = 0.25  # s a refused client is asked to wait, where clients hear it
IDLE_KEPT = 1  # upstreams to which idle connections are kept where open connections have a price ...
IDLE_KEPT_FREE = 64  # ... and where not: a handshake costs the upstream work and the request time
MARGIN = 0.05  # s kept clear of every time that a rule states


def check(settings: Settings) -> None:
    """Raise ValueError, naming the field, on settings that no decision can rest on."""

    def need(good: bool, name: str) -> None:
        if not good:
            raise ValueError(f"settings: {name} is out of range")

    need(len({cls.name for cls in settings.classes}) == len(settings.classes) > 0, "classes")
    need(settings.sidecars >= 1, "sidecars")
    need(settings.instance_index >= 0, "me")
    for cls in settings.classes:
        need(cls.latency_objective > 0.0, f"classes[{cls.name}].aim")
        need(cls.deadline > 0.0, f"classes[{cls.name}].deadline")
        need(cls.idempotency_window >= 0.0, f"classes[{cls.name}].repeat_window")
    need(settings.limits.max_attempts >= 1, "limits.max_attempts")
    need(0.0 < settings.safety.warm_up_initial_ratio <= 1.0, "safety.cold_from")
    need(settings.safety.warm_up_time >= 0.0, "safety.warm_within")
    need(settings.safety.drain_grace >= 0.0, "safety.drain_grace")
    need(settings.safety.poll_within > 0.0, "safety.ask_within")


class Balancer:
    """All decisions of one sidecar. ``handle`` takes the clock and an event and returns actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._stats: dict[str, ClassStats] = {}
        self._tenants: dict[str, TenantStats] = {}
        self.apply_settings(settings)
        self._random = Random(seed)
        self._other = TenantStats()  # requests of no tenant with a quota
        self._upstreams: dict[str, Upstream] = {}
        self._ring: list[Upstream] = []  # the subset, by salt, for keys
        self._salts: list[int] = []
        # Those that serve, by zone, in the order that the subset is cut from.
        self._serving: ZoneOrderedSet[Upstream] = ZoneOrderedSet()
        self._replica_groups: dict[int, list[Upstream]] = {}  # the same by cell, once laid out ...
        self._ranked: list[Upstream] | None = None  # ... and in their order; None after a change
        self._requests: dict[str, RequestState] = {}
        self._idle: OrderedDict[str, None] = OrderedDict()  # with idle connections, longest ago first
        self._held: OrderedDict[str, RequestState] = OrderedDict()
        self._timers: dict[int, Callable[[float], None]] = {}
        self._next_token = 1
        self._arrivals = DecayingSum(RATE_TAU)
        self._shed_base = DecayingSum(records.SHED_TAU)
        self._in_time, self._late = DecayingSum(LATE_TAU), DecayingSum(LATE_TAU)
        self._admitted = 1.0  # the part of the requests that is not refused at once
        self._shed_until, self._shedding = -math.inf, False
        self._lag, self._late_beat = 0.0, False
        self._let_in = 1.0  # the part of the requests that is let in at the door
        self._keys = FrequencyCounter(500)
        self._retry_tokens, self._copy_tokens = RETRY_BURST, 0.5  # copies are earned: a start is no hang
        self._probe_tokens = PROBE_FIRST
        self._failure_share = 0.1  # of own attempts on healthy upstreams, of late
        self._capacity = ShrinkageEstimate(
            None, 0.02
        )  # of all upstreams, then by kind, then by kind and cell
        self._kinds: dict[str, ShrinkageEstimate] = {}
        # Held by their upstreams alone: guards against growth where cells come and go by new numbers.
        self._groups: WeakValueDictionary[tuple[str, int], ShrinkageEstimate] = WeakValueDictionary()
        self._sends = self._served = 1.0  # attempts and answers of late
        self._subset_now: list[Upstream] = []
        self._subset_until = -math.inf
        self._wheel: SelectionIndex[Upstream] = SelectionIndex(
            self._look, BUSY
        )  # over the subset, where that is large
        self._load: float | None = None  # how busy the upstreams are by full capacity; None: not known
        self._share = 1.0  # of the fleet's traffic, that passes through this sidecar
        self._full_size, self._warm = 1.0, 0
        self._asked = False
        self._watch_delay = WATCH_FIRST
        self._actions: list[Action] = []
        self._handlers: dict[type, Callable[..., None]] = {
            MembershipUpdate: self._on_membership,
            RequestArrived: self._on_request,
            AttemptEnded: self._on_attempt_ended,
            TimerFired: self._on_timer,
            ClientDisconnected: self._on_left,
            ResponseStarted: self._on_started,
            HealthCheckEnded: self._on_probe_ended,
            LagSampled: self._on_lagged,
        }

    def apply_settings(self, settings: Settings) -> None:
        """Take settings, whole, or raise ValueError. Open requests keep what they came under; of classes and
        tenants that stay, what was learnt.
        """
        check(settings)
        self._settings = settings
        limits = settings.limits
        self._refusal_wait = min(limits.max_retry_after, REFUSAL_WAIT) if limits.retry_after else 0.0
        self._idle_kept = IDLE_KEPT if settings.prices.connection > 0.0 else IDLE_KEPT_FREE
        self._lag_most = LAG_MOST * min(cls.latency_objective for cls in settings.classes)
        self._classes = {cls.name: cls for cls in settings.classes}
        self._stats = {cls.name: self._stats.get(cls.name) or ClassStats(cls) for cls in settings.classes}
        self._quotas = {t.name: t.quota for t in settings.tenants if t.quota > 0.0}
        self._tenants = {name: self._tenants.get(name) or TenantStats() for name in self._quotas}

    def learned_figures(
        self,
    ) -> tuple[
        dict[str, ClassStats],
        dict[str, Upstream],
        ShrinkageEstimate,
        dict[str, ShrinkageEstimate],
        FrequencyCounter,
    ]:
        """What was learnt, itself: for ``learned.py``, which hands it to the next process."""
        return self._stats, self._upstreams, self._capacity, self._kinds, self._keys

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event at clock time ``now``."""
        self._actions = []
        self._handlers[type(event)](now, event)
        return self._actions

    def _timer(self, delay: float, call: Callable[[float], None]) -> None:
        token = self._next_token
        self._next_token += 1
        self._timers[token] = call
        self._actions.append(SetTimer(max(delay, 0.0), token))

    def _on_timer(self, now: float, event: TimerFired) -> None:
        call = self._timers.pop(event.token, None)
        if call is not None:
            call(now)

    # --- membership and discovery ---------------------------------------------------------------

    def _on_membership(self, now: float, event: MembershipUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            # The list in hand stays: an unreachable list says nothing of the upstreams.
            self._ask_again()
            return
        if event.kind is not UpdateKind.DELTA:
            listed = {member.id for member in event.members}
            for known in [name for name in self._upstreams if name not in listed]:
                self._withdraw(self._upstreams.pop(known))
        for member in event.members:
            self._apply(now, member)
        self._subset_until, self._ranked = -math.inf, None
        if event.kind is not UpdateKind.CACHED:
            self._watch_delay = WATCH_AGAIN
        if self._settings.polls_membership and not self._asked:
            self._asked = True
            self._actions.append(WatchEndpoints())
        for request in list(self._held.values()):
            self._advance(now, request)

    def _apply(self, now: float, member: Member) -> None:
        known = self._upstreams.get(member.id)
        if known is not None:
            self._withdraw(known)
        if member.state is EndpointState.GONE:
            self._upstreams.pop(member.id, None)
            return
        if known is None or known.member.started != member.started:
            # New, or restarted: all that was known of it is void.
            known = self._upstreams[member.id] = Upstream(member, self._group(member))
        known.member, known.ramp = member, slow_start.ramp(self._settings.safety, member.started, now)
        known.scale = max(member.scale, 1e-6) if self._settings.scale_is_capacity else 1.0
        if member.state is EndpointState.SERVING:
            self._serving.add(member.zone, mix(known.salt, SHUFFLE), member.id, known)

    def _withdraw(self, known: Upstream) -> None:
        """It is no more among those that serve."""
        self._serving.discard(known.member.zone, mix(known.salt, SHUFFLE), known.member.id)

    def _group(self, member: Member) -> ShrinkageEstimate:
        kind = self._kinds.setdefault(member.kind, ShrinkageEstimate(self._capacity, 0.02))
        return self._groups.setdefault((member.kind, member.replica_group), ShrinkageEstimate(kind, 0.05))

    def _order(self) -> Iterator[Upstream]:
        """Those that serve, in the order for the subset. It is the same at every sidecar, and each begins at
        one of a few places in it. Guards against keys that have a home of their own at every sidecar, and so
        are warm nowhere.
        """
        return self._serving.order(self._place(len(self._serving)))

    def _all(self) -> list[Upstream]:
        """The same as a list. It is laid out only where a choice needs it after a change of the endpoint
        list: that takes some ms on a large fleet.
        """
        if self._ranked is None:
            self._ranked, self._replica_groups = list(self._order()), {}
            for upstream in self._ranked:
                self._replica_groups.setdefault(upstream.member.replica_group, []).append(upstream)
        return self._ranked

    def _place(self, count: int) -> float:
        """Where in the order this sidecar's subset begins: of so many places, evenly apart, that the least
        subsets cover all; a power of two, so that places stay as they are while the fleet changes.
        """
        places = 1
        while places * SUBSET_LEAST < count:
            places *= 2
        return van_der_corput(self._settings.instance_index % places)

    def _ask_again(self) -> None:
        if not self._settings.polls_membership:
            return
        delay = self._watch_delay * self._random.uniform(0.5, 1.0)
        longest = min(WATCH_LONGEST * self._settings.safety.poll_within, WATCH_MOST)
        self._watch_delay = min(max(self._watch_delay * 2.0, WATCH_FIRST), longest)
        self._timer(delay, lambda now: self._actions.append(WatchEndpoints()))

    # --- reports --------------------------------------------------------------------------------

    def _take_report(self, now: float, upstream: Upstream, load: LoadReport | None) -> None:
        if load is not None and load.in_flight is not None:
            upstream.others, upstream.told = load.in_flight - upstream.open, now
        if load is not None and load.rate is not None and load.utilisation is not None:
            upstream.report(now, load.rate, load.utilisation)

    def _size(self, upstream: Upstream) -> float:
        """The capacity of an upstream, in a unit of this sidecar's own.

        Guards against the slow upstream whose low rate looks like room: what it serves is judged against how
        busy that made it. It is drawn to what others of its kind in its cell (labels, nothing more) show, for
        one sidecar sees few reports, and servers of a cell can share a limit.
        """
        return upstream.scale * math.exp(upstream.capacity.value() - self._capacity.value())

    # --- the wheel ------------------------------------------------------------------------------

    def _subset(self, now: float) -> list[Upstream]:
        """This sidecar's stable part of the fleet, large enough for its traffic; bad ones replaced."""
        if now >= self._subset_until:
            size = max(SUBSET_LEAST, int(self._arrivals.value(now) / RATE_TAU * SUBSET_SECONDS))
            free = (u for u in self._order() if u.jailed_until <= now)
            self._subset_now = list(islice(free, size))
            self._ring = sorted(self._subset_now, key=lambda u: u.salt)
            self._salts = [u.salt for u in self._ring]
            self._subset_until = now + REFRESH
            self._measure_load(now, self._subset_now or self._all())
            self._wheel.fill(now, self._subset_now if len(self._subset_now) > WHEEL_FROM else ())
        return self._subset_now

    def _key_window(self, now: float, key: int) -> list[Upstream]:
        """The upstreams of the subset that follow a key on the ring."""
        self._subset(now)
        if len(self._ring) <= KEY_WINDOW:
            return self._ring
        start = bisect_left(self._salts, key)
        part = self._ring[start : start + KEY_WINDOW]
        return part + self._ring[: KEY_WINDOW - len(part)]

    def _pick(self, now: float, request: RequestState) -> Upstream | None:
        """Filter, then wheel (docs/design.md)."""
        warm = request.key  # 0 where keys do not stay warm
        if not request.attempts:
            pool = self._key_window(now, warm) if warm else self._subset(now)
            free = [u for u in pool if u.jailed_until <= now] or self._all()
            if not free:
                return None
            drawn = self._draw(now) if not warm and len(self._wheel) else self._spin(now, free, warm)
            if drawn is None or self._has_room(now, drawn, request):
                return drawn
            free = [u for u in free if u.ramp >= 1.0 and self._has_room(now, u, request)]
            return self._spin(now, free, warm) if free else None
        # A further attempt goes elsewhere, and never to a cold upstream: trouble among the warm ones
        # must not be turned on those that can bear least.
        pool = self._all() if request.anchor() is not None else self._subset(now)
        if (
            request.anchor() is not None
            and request.cls.deduplication_scope is DeduplicationScope.REPLICA_GROUP
        ):
            pool = self._replica_groups.get(request.attempts[0].upstream.member.replica_group, pool)
        tried = [attempt.upstream for attempt in request.attempts]

        def open_to(upstream: Upstream) -> bool:
            return (
                upstream not in tried
                and self._same_group(request, upstream.member)
                and upstream.jailed_until <= now
                and slow_start.ramp(self._settings.safety, upstream.member.started, now) >= 1.0
                and self._has_room(now, upstream, request)
            )

        if len(pool) > SAMPLE and (free := list(filter(open_to, self._random.sample(pool, SAMPLE)))):
            return self._spin(now, free, warm)
        free = list(filter(open_to, pool))
        return self._spin(now, free, warm) if free else None

    def _has_room(self, now: float, upstream: Upstream, request: RequestState) -> bool:
        """Whether what an upstream holds, as it told last and by own attempts since, is so little that one
        more is answered in time. Guards against the jam: all wait too long, and keep the upstream slow.
        """
        most = ROOM * (request.latest - now) / request.stats.latency
        return now - upstream.told > records.WINDOW or upstream.others + upstream.open < max(most, ROOM_LEAST)

    def _draw(self, now: float) -> Upstream | None:
        """Spin the wheel over a large subset without laying it out: draw a survivor at random and take it
        with a chance of its slice over the largest that a slice can be, else draw again. The odds are those
        of the whole wheel (von Neumann's rejection), by what was last seen of each.
        """
        index, random = self._wheel, self._random
        index.refresh(now)
        left, struck = index.survivors, index.struck
        fallback = not left.members or left.warm < (left.warm + struck.warm) * (1.0 - LOW_LOAD_RATIO)
        sides = (left, struck) if fallback else (left,)
        mean = 0.0 if fallback else left.rate()
        number = sum(len(side.members) for side in sides)
        views = max(sum(side.views() for side in sides), 1e-9)
        held = sum(side.open for side in sides) / views + 1.0
        unit = mean if mean > 0.0 else 1.0

        def drawn() -> Upstream:
            at, first = int(random.random() * number), left.members
            return first[at] if at < len(first) else struck.members[at - len(first)]

        def part(upstream: Upstream) -> float:
            if mean <= 0.0:
                return upstream.view
            return upstream.view / ((upstream.rate / upstream.size if upstream.rate >= 0.0 else mean) + mean)

        for _ in range(DRAWS):
            upstream = drawn()
            lazy = LAZY if upstream.ramp >= 1.0 and not upstream.overdue else 0.0
            if now >= upstream.fresh_until + lazy and not index.look(now, upstream) and not fallback:
                number = len(left.members)  # it is struck out
                if not number:
                    break
                continue
            mine = part(upstream)
            over = upstream.open / (held * upstream.view * LEAN_FROM)
            if over > 1.0:
                mine *= over**-LEAN
            if upstream.ramp < 1.0 and self._warm:  # against the even slice of some warm ones, drawn likewise
                warm = [part(u) for u in (drawn() for _ in range(SAMPLE)) if u.ramp >= 1.0]
                if warm:
                    mine = min(mine, upstream.ramp * self._cold_slice(warm))
            if random.random() * index.most >= mine * unit:
                continue
            if self._warm or not self._spares(now, upstream, mine * (2.0 * mean or 1.0) / views):
                return upstream
            return None  # what all are spared goes nowhere
        return self._spin(now, self._subset_now, 0)

    def _spin(self, now: float, candidates: list[Upstream], key: int) -> Upstream | None:
        survivors, total, known = [], 0.0, 0
        for upstream in candidates:
            if now >= upstream.fresh_until:
                self._look(now, upstream)
            if upstream.utilisation <= BUSY:
                survivors.append(upstream)
                if upstream.rate >= 0.0:
                    total += upstream.rate / upstream.size
                    known += 1
        # Only warm upstreams are counted: a cold one has not reported yet and survives, which shows no room.
        # Guards against a cold one that is left to take what the others are struck out for.
        warm = len([u for u in candidates if u.ramp >= 1.0])
        warm_left = warm if len(survivors) == len(candidates) else sum(u.ramp >= 1.0 for u in survivors)
        least = (warm or len(candidates)) * (1.0 - LOW_LOAD_RATIO)
        fallback = not survivors or (warm_left if warm else len(survivors)) < least
        if fallback or total <= 0.0:  # at random; only size, ramp and own trouble count
            chosen = candidates if fallback else survivors
            slices = [u.view for u in chosen]
        else:
            chosen, mean = survivors, total / known
            slices = [u.view / ((u.rate / u.size if u.rate >= 0.0 else mean) + mean) for u in survivors]
        self._lean(chosen, slices)
        if warm < len(candidates):
            return self._spin_cold(now, dict(zip(chosen, slices, strict=True)), key)
        return self._turn(chosen, slices, key)

    def _turn(self, chosen: list[Upstream], slices: Iterable[float], key: int) -> Upstream:
        return by_key(chosen, slices, key) if key else by_chance(chosen, slices, self._random.random())

    def _lean(self, chosen: list[Upstream], slices: list[float]) -> None:
        """Lean away from upstreams that hold far more of the own attempts than their part. Guards against the
        crowd: until reports, which are old and averaged, tell of a queue, every pick makes it longer. Within
        LEAN_FROM nothing leans, for that would move keys off the upstreams that have them warm.
        """
        mean = sum([u.open for u in chosen]) / sum([u.view for u in chosen]) + 1.0
        for i, upstream in enumerate(chosen):
            if upstream.open and (over := upstream.open / (mean * upstream.view * LEAN_FROM)) > 1.0:
                slices[i] *= over**-LEAN

    def _look(self, now: float, upstream: Upstream) -> None:
        """Work out what the wheel needs of an upstream; good until news of it, or for a moment."""
        upstream.average(now)
        upstream.size = self._size(upstream)
        upstream.ramp = slow_start.ramp(self._settings.safety, upstream.member.started, now)
        upstream.view = upstream.size * upstream.ramp / upstream.slowness(now)
        if upstream.overdue:
            # Guards against the hang: it takes work and reports nothing, so only the age of own
            # attempts tells.
            upstream.view *= SUSPECT
        if self._settings.prices.cross_zone > 0.0 and upstream.member.zone == self._settings.zone:
            upstream.view *= HOME_PULL
        upstream.fresh_until = now + REFRESH

    def _spread_key(self, key: int) -> int:
        """Spread a hot key: as many virtual keys as it takes for none to fill an upstream."""
        share = self._keys.share(key)
        ways = 1 + int(share * len(self._ring) * HOT_KEY_SPREAD)
        return mix(key, self._random.randrange(ways) + 1) if ways > 1 else mix(key, 1)

    # --- slow start -----------------------------------------------------------------------------

    def _measure_load(self, now: float, used: list[Upstream]) -> None:
        """How busy what is asked for would keep the upstreams in use were they warm, and which part of the
        fleet's traffic passes through here. A load is forgotten slowly: after a start nobody reports it.
        """
        self._warm = sum(u.ramp >= 1.0 for u in used)
        mean_size = sum(u.size for u in used) / max(len(used), 1)  # in ejection: counted as like the others
        self._full_size = mean_size * min(max(len(used), SUBSET_LEAST), len(self._serving))
        rates = [u.rate / u.size for u in used if u.rate >= 0.0]
        if rates and self._capacity.state()[0] > 0.0:
            mean = sum(rates) / len(rates)
            asked, answered = self._arrivals.value(now) / RATE_TAU, self._in_time.value(now) / LATE_TAU
            load = mean / math.exp(self._capacity.value()) * max((asked + FEW) / (answered + FEW), 1.0)
            self._load = max(load, (self._load or 0.0) * LOAD_KEPT)
            fleet = mean * mean_size * len(self._serving) + 1e-9
            self._share = min(answered / fleet, 1.0) if self._settings.sidecars > 1 else 1.0

    def _surplus(self) -> float:
        """Attempts for each answer: with more, more is sent than the fleet can do."""
        return max(self._sends / max(self._served, 1.0), 1.0)

    def _cold_slice(self, warm: Collection[float]) -> float:
        """What a cold upstream may have at most beside these slices of warm ones, before its ramp."""
        part = slow_start.slice_part(self._settings.safety, self._surplus())
        return sum(warm) / len(warm) * part

    def _spares(self, now: float, upstream: Upstream, part: float) -> bool:
        """Whether this request is to spare a cold upstream that would get this part of the own ones."""
        safety, surplus = self._settings.safety, self._surplus()
        if self._load is not None:
            capacity = upstream.ramp * upstream.scale * math.exp(upstream.capacity.value())
            slot = (now - upstream.member.started) // (safety.overload_window / 2.0)
            if slot != upstream.slot:
                upstream.slot, upstream.slot_left = slot, slow_start.slot_quota(safety, capacity, self._share)
            if upstream.slot_left <= 0:
                return True
        present = upstream.ramp * upstream.size / self._full_size
        most = slow_start.traffic_part(safety, present, self._load, surplus)
        if most < part and self._random.random() * part >= most:
            return True
        upstream.slot_left -= 1
        return False

    def _spin_cold(self, now: float, parts: dict[Upstream, float], key: int) -> Upstream | None:
        """Spin where some are cold: chance alone decides whether it is a cold one that gets the request, not
        the key, for all sidecars agree on a key. Beside warm ones its slice is bounded by theirs. Where none
        is warm, what all are spared goes nowhere: None.
        """
        total = sum(parts.values())
        warm = {u: part for u, part in parts.items() if u.ramp >= 1.0}
        cold = {u: part for u, part in parts.items() if u.ramp < 1.0}
        if warm:
            even = self._cold_slice(warm.values())
            cold = {u: min(part, u.ramp * even) for u, part in cold.items()}
            total = sum(warm.values()) + sum(cold.values())
        if self._random.random() * total < sum(cold.values()):
            among = mix(key, self._random.randrange(COLD_KEY_SPREAD) + 1) if key else 0
            upstream = self._turn(list(cold), cold.values(), among)
            seen = len(parts) / max(len(self._subset_now), len(parts))  # a key sees a part of the subset
            if warm or not self._spares(now, upstream, cold[upstream] / total * seen):
                return upstream
        return self._turn(list(warm), warm.values(), key) if warm else None

    # --- ejection -----------------------------------------------------------------------------

    def _fail_commonly(self, failures: int = 1) -> None:
        """Take in failures that speak of the fleet and not of the one upstream."""
        self._failure_share = 1.0 - (1.0 - self._failure_share) * 0.97**failures

    def _failed(self, now: float, upstream: Upstream, weight: int = 1, silent: bool = False) -> None:
        upstream.failures += weight
        common = min(max(self._failure_share, 0.01), 0.99)
        enough = min(math.ceil(math.log(QUARANTINE_DOUBT) / math.log(common)), QUARANTINE_MOST)
        if upstream.failures < enough or upstream.jailed_until > now:
            return
        if self._random.random() < QUARANTINE_RATIO:
            jailed = sum(1 for u in self._all() if u.jailed_until > now)
            if jailed < len(self._serving) / 2:  # never most of the fleet
                # A quiet sidecar would not have come back any sooner: its time out must outlast that.
                visits = len(self._subset_now) / (self._arrivals.value(now) / RATE_TAU + 0.1)
                time_out = max(upstream.jail_time, QUARANTINE_VISITS * visits)
                upstream.jailed_until, upstream.silent = now + min(time_out, QUARANTINE_LONGEST), silent
                self._subset_until = -math.inf
                upstream.jail_time = min(upstream.jail_time * 2.0, QUARANTINE_LONGEST)
                upstream.failures = enough - 1  # on its return one more failure is enough
                upstream.errors = 0
                self._actions.append(LogMessage(f"quarantine: {upstream.member.id}"))

    # --- requests -------------------------------------------------------------------------------

    def _on_request(self, now: float, event: RequestArrived) -> None:
        cls = self._classes.get(event.class_name)
        if cls is None:
            raise ValueError(f"request of a class that the settings do not name: {event.class_name}")
        key = 0
        if event.key and self._settings.key_affinity:
            key = self._spread_key(hash64(event.key))
        stats = self._stats[cls.name]
        request = RequestState(event, cls, stats, self._settings.limits.max_attempts, key, now)
        self._requests[event.id] = request
        self._shed_base.add(now, 1.0)
        self._arrivals.add(now, 1.0)
        stats.arrivals.add(now, 1.0)
        tenant = self._tenants.get(event.tenant, self._other)
        tenant.arrivals.add(now, 1.0)
        if now >= self._shed_until:
            self._set_shedding(now)
        if self._random.random() < tenant.shed.get(cls.name, 0.0):
            self._end(request)
            return
        self._advance(now, request)
        self._maybe_probe(now)

    def _advance(self, now: float, request: RequestState) -> None:
        """Send a request that has no attempt out; hold or end it where that is not possible."""
        if not self._may_repeat(now, request):
            self._end(request)
            return
        upstream = self._pick(now, request)
        if upstream is not None:
            self._held.pop(request.id, None)
            self._send(now, request, upstream)
        elif request.deadline - now < MARGIN or (self._serving and not request.attempts):
            self._end(request)  # late, or no upstream has room: told at once
        elif request.id not in self._held:
            # Nowhere to go: news of the list may come in time.
            self._held[request.id] = request
            # Not much longer than a client could use the time elsewhere: nothing was tried for it.
            wait = min((request.deadline - now) * HELD_PART, request.deadline - now - MARGIN)
            self._timer(wait, lambda late: self._give_up_held(request))

    def _give_up_held(self, request: RequestState) -> None:
        if request.id in self._held:
            self._end(request)

    def _send(self, now: float, request: RequestState, upstream: Upstream) -> None:
        expected = request.stats.expected(request.hint)
        attempt = AttemptState(upstream, now, expected)
        request.attempts.append(attempt)
        upstream.open += 1
        if upstream.index is not None:
            upstream.index.opened(upstream, 1)
        self._sends = 0.98 * self._sends + 1.0
        self._served *= 0.98
        self._idle.pop(upstream.member.id, None)
        patience = self._patience(now, request, expected)
        timeout = 0.0
        if request.latest < request.deadline:
            # Guards against the jam: work on answers that are worth nothing any more keeps an upstream
            # from those that are, until all come late.
            timeout = max(request.latest - now, MARGIN)
        if patience < request.latest - now:
            if not self._settings.limits.hedging and self._may_repeat(now + patience, request):
                timeout = patience
            else:
                self._timer(patience, lambda late: self._overdue(late, request, attempt))
        self._actions.append(SendAttempt(request.id, upstream.member.id, timeout))

    def _patience(self, now: float, request: RequestState, expected: float) -> float:
        """How long an attempt may take before it counts as overdue: long enough for most answers,
        short enough to leave time for another attempt within the aim.
        """
        latest = request.objective_at - now - 1.2 * expected
        return max(min(PATIENCE * expected, latest), 1.5 * expected)

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        request = self._requests.get(event.id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.out:
            return
        attempt.out = False
        attempt.begun = event.outcome is not AttemptOutcome.NOT_SENT
        attempt.may_have_run = not event.outcome.never_ran
        upstream = attempt.upstream
        upstream.open -= 1
        if upstream.index is not None:
            upstream.index.opened(upstream, -1)
        if attempt.overdue:
            upstream.overdue -= 1
            upstream.changed()
        self._take_report(now, upstream, event.load)
        self._learn(now, request, attempt, event)
        self._close_surplus(upstream)
        request.done = request.done or event.final
        if request.done:
            self._forget(request)
        elif request.out() == 0:
            self._after_failure(now, request, event.outcome)

    def _learn(self, now: float, request: RequestState, attempt: AttemptState, event: AttemptEnded) -> None:
        upstream, outcome = attempt.upstream, event.outcome
        if outcome is AttemptOutcome.OK:
            self._served += 1.0
            # Errors of an upstream that then serves tell how common they are on a healthy one. Guards against
            # the sick ones' own errors, by which a sidecar asked for more and more of them.
            self._failure_share *= 0.97
            if upstream.errors:
                self._fail_commonly(upstream.errors)
                upstream.errors = 0
            if event.final and now <= request.objective_at:
                # Success pays for further attempts: a fleet that serves little gets few.
                self._retry_tokens = min(self._retry_tokens + RETRY_SHARE, RETRY_BURST)
                self._in_time.add(now, 1.0)
                # A copy that won was worth its price and gives it back. Guards against doubling the
                # heaviest requests, which are overdue at any upstream, while hangs are still answered.
                self._copy_tokens += 1.0 if attempt.copy else COPY_SHARE
                self._copy_tokens = min(self._copy_tokens, RETRY_BURST)
            upstream.failures, upstream.answered = 0, now
            upstream.jail_time = records.QUARANTINE_FIRST
            if upstream.silent and upstream.jailed_until > now:
                # It paused. Guards against doing without a sound one for 2 s, where the rest have no room.
                upstream.jailed_until, self._subset_until = now, -math.inf
                self._actions.append(LogMessage(f"quarantine ends: {upstream.member.id} answers"))
            upstream.felt(now, event.elapsed / attempt.expected)
            request.stats.seen(event.elapsed, request.hint)
        elif outcome is AttemptOutcome.CANCELLED:
            if event.elapsed > attempt.expected:  # at least as slow as this
                upstream.felt(now, event.elapsed / attempt.expected)
        elif outcome is AttemptOutcome.TIMED_OUT:
            self._late.add(now, 1.0)
            self._fail_commonly()  # a jam, more likely than this one
            if event.elapsed >= attempt.expected:  # else the client's time was just too short to tell
                upstream.felt(now, event.elapsed / attempt.expected)
                # One that has answered others since was not hanging but full. Guards against ejection in a
                # jam: it turns the work of one full upstream on the others. Far beyond any queue it is a
                # hang, and a quiet sidecar may meet that but once.
                if upstream.answered < attempt.sent:
                    self._failed(now, upstream, 1 + (event.elapsed > HANG_FELT * attempt.expected), True)
        elif outcome in (
            AttemptOutcome.ERROR,
            AttemptOutcome.BROKEN,
            AttemptOutcome.NO_CONNECTION,
            AttemptOutcome.REJECTED,
        ):
            upstream.felt(now, FAILURE_FELT)
            if outcome is AttemptOutcome.REJECTED:
                self._fail_commonly()
            else:
                upstream.errors += 1
            self._failed(now, upstream)

    def _on_started(self, now: float, event: ResponseStarted) -> None:
        request = self._requests.get(event.id)
        if request is not None:
            request.started = True  # its deadline no longer runs, and no copy is wanted

    def _on_left(self, now: float, event: ClientDisconnected) -> None:
        request = self._requests.get(event.id)
        if request is not None:
            request.done = True
            self._forget(request)

    def _forget(self, request: RequestState) -> None:
        """A finished request stays known until its last attempt ends; what is still out is called off."""
        self._held.pop(request.id, None)
        if request.done and not request.started and self._settings.limits.cancellation:
            for number, attempt in enumerate(request.attempts):
                if attempt.out and not attempt.called_off:
                    attempt.called_off = True
                    self._actions.append(CancelAttempt(request.id, number))
        if request.done and request.out() == 0:
            self._requests.pop(request.id, None)

    def _end(self, request: RequestState) -> None:
        """Give the one final answer: a refusal where that is true and allowed, else a failure."""
        if request.done:
            return
        cls = request.cls
        all_drop_it = (
            cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL
        )
        if cls.idempotency is Idempotency.SAFE or all_drop_it or request.anchor() is None:
            self._actions.append(RejectRequest(request.id, self._refusal_wait))
        else:
            self._actions.append(FailRequest(request.id))
        request.done = True
        self._forget(request)

    # --- further attempts -----------------------------------------------------------------------

    def _may_repeat(self, at: float, request: RequestState) -> bool:
        """Whether rule 2 lets another attempt go out at this time (to the right upstream)."""
        anchor = request.anchor()
        if anchor is None or request.cls.idempotency is Idempotency.SAFE:
            return True
        in_window = at < anchor.sent + request.cls.idempotency_window - MARGIN
        return in_window and request.cls.idempotency is not Idempotency.UNSAFE

    def _same_group(self, request: RequestState, member: Member) -> bool:
        """Whether this upstream drops a repeat of what may have run."""
        anchor, cls = request.anchor(), request.cls
        if (
            anchor is None
            or cls.idempotency is not Idempotency.KEYED
            or cls.deduplication_scope is DeduplicationScope.ALL
        ):
            return True
        first = anchor.upstream.member
        return (
            member.zone == first.zone
            if cls.deduplication_scope is DeduplicationScope.ZONE
            else member.replica_group == first.replica_group
        )

    def _worth_trying(self, now: float, request: RequestState) -> bool:
        """Whether another attempt is allowed and can still earn something."""
        if request.spent() or not self._may_repeat(now, request):
            return False
        return now + 0.5 * request.stats.expected(request.hint) < request.latest

    def _after_failure(self, now: float, request: RequestState, outcome: AttemptOutcome) -> None:
        """No attempt is out and none was served. The retry budget pays for further ones: a storm of them jams
        the fleet. One that reached no upstream is free: guards against a list long out of date.
        """
        price = 0.0 if outcome in (AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT) else 1.0
        if request.started or self._retry_tokens < price or not self._worth_trying(now, request):
            self._end(request)
            return
        self._retry_tokens -= price
        self._advance(now, request)

    def _overdue(self, now: float, request: RequestState, attempt: AttemptState) -> None:
        """An answer is overdue: suspect the upstream, and send a second copy where that is allowed."""
        if not attempt.out or request.started:
            return
        attempt.overdue = True
        attempt.upstream.overdue += 1
        attempt.upstream.changed()
        if request.done or not self._settings.limits.hedging or self._copy_tokens < 1.0:
            return
        if not self._worth_trying(now, request):
            return
        upstream = self._pick(now, request)
        if upstream is not None and all(a.upstream is not upstream for a in request.attempts):
            self._copy_tokens -= 1.0
            self._send(now, request, upstream)
            request.attempts[-1].copy = True

    # --- admission ------------------------------------------------------------------------------

    def _set_shedding(self, now: float) -> None:
        """Load shedding: refuse at once what the fleet shows it cannot answer in time, least worth first:
        more by a part while too many are late, less by a step when not. Only lateness counts: guards against
        shedding for answers that peers spoil, and against the refused that come again and count as load.
        """
        self._shed_until = now + REFRESH
        if self._late.value(now) > SHED_LATE * self._in_time.value(now) + SHED_LEAST:
            self._admitted = max(self._admitted * SHED_STEP_DOWN, 1.0 - SHED_MOST)
        else:
            self._admitted = min(self._admitted + SHED_STEP_UP, 1.0)
        for tenant, excess in self._over_share(now, 1.0 - self._admitted):
            tenant.shed = {stats.name: part for stats, part in self._apportion(now, excess)}
        shedding = self._admitted < 1.0
        if shedding != self._shedding:
            self._shedding = shedding
            self._actions.append(LogMessage("shedding load" if shedding else "shedding ends"))

    def _over_share(self, now: float, excess: float) -> list[tuple[TenantStats, float]]:
        """What part of each tenant's requests is to go for ``excess`` of all to go: first what a tenant asks
        for beyond the others, each measured by its quota. Guards against the burst of one tenant, most of it
        worth little, that has the others' requests refused. The own part of all traffic cancels out.
        """
        tenants = list(self._tenants.values())
        if self._settings.over_quota_weight >= 1.0:
            return [(tenant, excess) for tenant in (*tenants, self._other)]
        counts = [tenant.arrivals.value(now) for tenant in tenants]
        kept = trim_max_min(counts, list(self._quotas.values()), excess * sum(counts))
        parts = [1.0 - rest / count if count > 0.0 else 0.0 for count, rest in zip(counts, kept, strict=True)]
        return [(self._other, excess), *zip(tenants, parts, strict=True)]

    def _apportion(self, now: float, excess: float) -> list[tuple[ClassStats, float]]:
        """What part of each class is to go for ``excess`` of all requests to go, least worth first."""
        left, parts = excess * self._shed_base.value(now), []
        for stats in sorted(self._stats.values(), key=self._density):
            count = stats.arrivals.value(now)
            part = min(left / count, SHED_MOST) if count > 0.0 else 0.0
            left -= part * count
            parts.append((stats, part))
        return parts

    def _on_lagged(self, now: float, event: LagSampled) -> None:
        """The sidecar itself falls behind: what it takes in then only makes all of it late. What is let in
        shrinks by a part while that lasts, and grows by a step when not.
        """
        # A beat that is late the second time in a row counts for all that it has missed.
        late, self._late_beat = self._late_beat, event.seconds > self._lag_most
        beats = (
            min(max(event.seconds / LAG_SAMPLE_INTERVAL_S, 1.0), LAG_BEATS)
            if late and self._late_beat
            else 1.0
        )
        self._lag += (1.0 - (1.0 - LAG_WEIGHT) ** beats) * (event.seconds - self._lag)
        behind = self._let_in < 1.0
        if self._lag > self._lag_most and self._late_beat:
            self._let_in = max(self._let_in * LAG_STEP_DOWN**beats, 1.0 - SHED_MOST)
        elif behind and self._lag <= self._lag_most:
            room = 1.0 - self._lag / self._lag_most  # less of a step, the less is left
            self._let_in = min(self._let_in + LAG_STEP_UP * room, 1.0)
        for stats, part in self._apportion(now, 1.0 - self._let_in) if behind or self._let_in < 1.0 else ():
            stats.kept_out = part
        if behind != (self._let_in < 1.0):
            text = "in step again" if behind else "behind with the work: fewer are let in"
            self._actions.append(LogMessage(text))

    def is_overloaded(self) -> bool:
        """Whether turn_away may turn anything away now."""
        return self._let_in < 1.0 or self._lag > self._lag_most

    def shed_early(self, now: float, class_name: str, budget: float) -> float | None:
        """Asked before a request costs anything: None to take it, else how long its client is to wait, for
        it could not be answered in time or keeps the sidecar from what is worth more.
        """
        stats = self._stats.get(class_name)
        if stats is None or not self.is_overloaded():
            return None
        hopeless = LAG_TURNS * self._lag + stats.latency > budget
        if not hopeless and self._random.random() >= stats.kept_out:
            return None
        self._shed_base.add(now, 1.0)
        stats.arrivals.add(now, 1.0)
        return self._refusal_wait

    def _density(self, stats: ClassStats) -> float:
        """Worth for each unit of an upstream's time."""
        priority_weight = self._classes[stats.name].priority_weight
        return priority_weight if self._settings.weight_by_work else priority_weight / stats.latency

    # --- connections ----------------------------------------------------------------------------

    def _close_surplus(self, upstream: Upstream) -> None:
        """Keep few idle connections: a full table takes an upstream's capacity, and refuses others."""
        if upstream.open == 0:
            self._idle[upstream.member.id] = None
            self._idle.move_to_end(upstream.member.id)
            if len(self._idle) > self._idle_kept:
                self._actions.append(CloseIdleConnections(self._idle.popitem(last=False)[0]))

    # --- probes ---------------------------------------------------------------------------------

    def _maybe_probe(self, now: float) -> None:
        """Probe the upstream of the subset whose report is oldest; own traffic sets the pace."""
        if (
            self._settings.load_report_source is not LoadReportSource.HEALTH_CHECKS
            or not self._settings.limits.health_checks
        ):
            return
        self._probe_tokens += min(PROBE_SHARE, PROBE_COST / max(self._settings.prices.health_check, 1e-9))
        if self._probe_tokens < 1.0:
            return
        self._probe_tokens -= 1.0
        pool = [u for u in self._subset(now) if not u.probing and u.ramp >= 1.0]
        if pool:
            target = min(pool, key=lambda u: u.probed)
            target.probing, target.probed = True, now
            self._actions.append(SendHealthCheck(target.member.id))

    def _on_probe_ended(self, now: float, event: HealthCheckEnded) -> None:
        upstream = self._upstreams.get(event.upstream)
        if upstream is None:
            return
        upstream.probing = False
        if event.outcome is AttemptOutcome.OK:
            self._take_report(now, upstream, event.load)
        elif event.outcome not in (AttemptOutcome.REJECTED, AttemptOutcome.NOT_SENT):
            self._failed(now, upstream)
