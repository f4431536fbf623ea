"""The balancer of one sidecar: takes events and returns actions.

It reads no clock, performs no input or output, and draws from a random generator of its own; all it knows
comes from events. docs/design.md describes how it selects upstreams. This module connects the components and
dispatches events to them.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import Action
from indigokeel.balancing.attempt_dispatcher import AttemptDispatcher
from indigokeel.balancing.attempt_results import AttemptResults
from indigokeel.balancing.attempt_sender import AttemptSender
from indigokeel.balancing.attempt_timeouts import AttemptTimeouts
from indigokeel.balancing.capacity_estimates import CapacityEstimates
from indigokeel.balancing.early_admission import EarlyAdmissionControl
from indigokeel.balancing.endpoint_refresh import EndpointRefresh
from indigokeel.balancing.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    LagSampled,
    MembershipUpdate,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from indigokeel.balancing.hashing import hash64
from indigokeel.balancing.health_checks import HealthChecks
from indigokeel.balancing.idle_connections import IdleConnections
from indigokeel.balancing.learned_statistics import LearnedStatistics
from indigokeel.balancing.load_shedding import LoadShedding
from indigokeel.balancing.outlier_ejection import OutlierEjection
from indigokeel.balancing.rejection_sampling import RejectionSampler
from indigokeel.balancing.request_mix import RequestMix
from indigokeel.balancing.request_registry import RequestRegistry
from indigokeel.balancing.request_state import AttemptState, RequestState
from indigokeel.balancing.retry_policy import RetryBudget
from indigokeel.balancing.selection_index import SelectionIndex
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.settings_validation import validate_settings
from indigokeel.balancing.subsetting import HotKeySpreader, Subset
from indigokeel.balancing.timers import Timers
from indigokeel.balancing.traffic_statistics import TrafficStatistics
from indigokeel.balancing.upstream_registry import UpstreamRegistry
from indigokeel.balancing.upstream_selection import UpstreamSelector
from indigokeel.balancing.upstream_weights import UpstreamWeights
from indigokeel.balancing.warm_up_admission import WarmUpAdmission
from indigokeel.balancing.weighted_selection import BUSY_UTILISATION, WeightedSelection


class Balancer:
    """Decides which actions one sidecar takes in response to events."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Raise ValueError, naming the key of the settings, if a setting is out of range."""
        validate_settings(settings)
        random = Random(seed)
        self._settings = settings
        self._sink = ActionSink()
        self._timers = Timers(self._sink)

        self._traffic = TrafficStatistics()
        self._mix = RequestMix(settings)
        self._capacities = CapacityEstimates()
        self._registry = UpstreamRegistry(settings, self._capacities)
        self._refresh = EndpointRefresh(settings, self._timers, random, self._sink)

        self._weights = UpstreamWeights(settings, self._capacities)
        self._warm_up = WarmUpAdmission(settings, self._registry, self._capacities, self._traffic, random)
        index = SelectionIndex(self._weights.update, BUSY_UTILISATION)
        self._subset = Subset(self._registry, self._traffic, self._warm_up, index)
        self._hot_keys = HotKeySpreader(self._subset, random)
        selection = WeightedSelection(self._weights, self._warm_up, self._subset, random)
        sampler = RejectionSampler(index, self._warm_up, selection, self._subset, random)
        self._selector = UpstreamSelector(settings, self._registry, self._subset, selection, sampler, random)

        self._shedding = LoadShedding(settings, self._mix, self._traffic, random, self._sink)
        self._early_admission = EarlyAdmissionControl(settings, self._mix, random, self._sink)
        ejection = OutlierEjection(self._registry, self._subset, self._traffic, random, self._sink)
        self._health_checks = HealthChecks(settings, self._registry, self._subset, ejection, self._sink)

        self._idle_connections = IdleConnections(settings, self._sink)
        self._requests = RequestRegistry(settings, self._timers, self._sink)
        budget = RetryBudget()
        self._results = AttemptResults(ejection, self._traffic, budget)
        self._timeouts = AttemptTimeouts(settings, budget, self._early_admission.loop_lag_s)
        sender = AttemptSender(
            self._timeouts, self._results, self._traffic, self._idle_connections, self._timers, self._sink
        )
        self._dispatcher = AttemptDispatcher(
            settings, self._registry, self._requests, self._selector, sender, budget
        )
        self._handlers: dict[type, Callable[..., None]] = {
            MembershipUpdate: self._on_membership_update,
            RequestArrived: self._on_request_arrived,
            ResponseStarted: self._on_response_started,
            AttemptEnded: self._on_attempt_ended,
            ClientDisconnected: self._on_client_disconnected,
            TimerFired: self._on_timer_fired,
            HealthCheckEnded: self._on_health_check_ended,
            LagSampled: self._on_lag_sampled,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event at clock time ``now``, and return the actions to carry out, in order.

        Raises ValueError for a request of an unknown class.
        """
        self._sink.reset()
        self._handlers[type(event)](now, event)
        return self._sink.actions

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings, or raise ValueError and keep the previous ones.

        Open requests keep the settings of their class. The statistics of classes and tenants that remain
        configured are kept.
        """
        validate_settings(settings)
        self._settings = settings
        self._mix.apply_settings(settings)
        self._registry.apply_settings(settings)
        self._refresh.apply_settings(settings)
        self._weights.apply_settings(settings)
        self._warm_up.apply_settings(settings)
        self._selector.apply_settings(settings)
        self._shedding.apply_settings(settings)
        self._early_admission.apply_settings(settings)
        self._health_checks.apply_settings(settings)
        self._idle_connections.apply_settings(settings)
        self._requests.apply_settings(settings)
        self._timeouts.apply_settings(settings)
        self._dispatcher.apply_settings(settings)

    def learned_statistics(self) -> LearnedStatistics:
        """Return the learned statistics, not copied, for hand-over to the next process of this sidecar."""
        return LearnedStatistics(
            self._mix.statistics,
            self._registry.upstreams,
            self._capacities.fleet,
            self._capacities.kinds,
            self._hot_keys.key_counts,
        )

    def is_overloaded(self) -> bool:
        """Return whether ``shed_early`` may reject any request now."""
        return self._early_admission.is_overloaded()

    def shed_early(self, now: float, class_name: str, budget: float) -> float | None:
        """Return None to admit a request, or the retry delay in seconds to advise if it is rejected.

        Call this before any work is done for the request. ``budget`` is its remaining time in seconds.
        """
        return self._early_admission.rejection_delay_s(now, class_name, budget)

    def _on_membership_update(self, now: float, event: MembershipUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            # A failed discovery call says nothing about the known upstreams, so they are kept.
            self._refresh.schedule_retry()
            return
        self._registry.apply_update(now, event)
        self._subset.invalidate()
        if event.kind is not UpdateKind.CACHED:
            self._refresh.reset_delay()
        self._refresh.start()
        self._dispatcher.dispatch_waiting(now)

    def _on_request_arrived(self, now: float, event: RequestArrived) -> None:
        request = self._open_request(now, event)
        self._traffic.record_arrival(now)
        self._mix.record_arrival(now, request.class_statistics)
        self._shedding.record_arrival(now, event.tenant)
        if self._shedding.should_reject(event.tenant, event.class_name):
            self._requests.answer_unserved(request)
            return
        self._dispatcher.dispatch(now, request)
        self._health_checks.send_if_due(now)

    def _open_request(self, now: float, event: RequestArrived) -> RequestState:
        settings = event.settings or self._settings
        class_settings = settings.find_class(event.class_name)
        if class_settings is None:
            raise ValueError(f"request of a class that the settings do not name: {event.class_name}")
        key = 0
        if event.key and self._settings.key_affinity:
            key = self._hot_keys.spread(hash64(event.key))
        statistics = self._mix.statistics_of(class_settings)
        request = RequestState(event, class_settings, statistics, settings.limits.max_attempts, key, now)
        self._requests.add(request)
        return request

    def _on_response_started(self, now: float, event: ResponseStarted) -> None:
        request = self._requests.get(event.id)
        if request is not None:
            request.response_started = True

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        request = self._requests.get(event.id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.open:
            return
        _close_attempt(attempt, event.outcome)
        if event.load is not None:
            attempt.upstream.record_load_report(now, event.load)
        self._results.record(now, request, attempt, event)
        self._idle_connections.attempt_ended(attempt.upstream)
        if request.done or event.final:
            self._requests.close(request)
        elif request.open_attempts() == 0:
            self._dispatcher.retry(now, request, event.outcome)

    def _on_client_disconnected(self, now: float, event: ClientDisconnected) -> None:
        request = self._requests.get(event.id)
        if request is not None:
            self._requests.close(request)

    def _on_timer_fired(self, now: float, event: TimerFired) -> None:
        self._timers.fire(now, event.token)

    def _on_health_check_ended(self, now: float, event: HealthCheckEnded) -> None:
        self._health_checks.record_result(now, event)

    def _on_lag_sampled(self, now: float, event: LagSampled) -> None:
        self._early_admission.record_lag(now, event.seconds)


def _close_attempt(attempt: AttemptState, outcome: AttemptOutcome) -> None:
    """Mark an attempt as ended, and update the counts of open attempts of its upstream."""
    attempt.open = False
    attempt.was_sent = outcome is not AttemptOutcome.NOT_SENT
    attempt.may_have_run = not outcome.never_ran
    attempt.upstream.add_open_attempts(-1)
    if attempt.overdue:
        attempt.upstream.add_overdue_attempts(-1)
