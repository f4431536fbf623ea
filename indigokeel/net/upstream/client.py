"""The upstream client: attempts in flight, health checks and the connection pool that they share."""

from __future__ import annotations

import time
from dataclasses import dataclass

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.metrics import Counters
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.net.upstream.attempt_sender import AttemptSender, AttemptServices, OnEnded
from indigokeel.net.upstream.connection_pool import ConnectionPool, PoolOptions, ScheduleRead, read_now
from indigokeel.net.upstream.connection_releaser import ConnectionReleaser
from indigokeel.net.upstream.connection_table import ConnectionLimits
from indigokeel.net.upstream.health_check import HealthChecker, HealthCheckResult
from indigokeel.net.upstream.telemetry import Telemetry
from indigokeel.net.upstream.upstream_exchange import UpstreamExchange
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Attempt

# Idle connections are closed after this share of the keep-alive time, at whose end the upstream closes them.
_MAX_IDLE_RATIO = 0.5
# The share of an attempt's time in which its connection must be established, so that an unresponsive upstream
# leaves time for another attempt.
_CONNECT_TIME_RATIO = 0.35
_MIN_CONNECT_TIME_S = 0.02
# Takes precedence over the minimum: a wait for a connection that local errors prolong must end before the
# attempt's time is up, or it would count as a timeout of the upstream.
_MAX_CONNECT_TIME_RATIO = 0.7

_OUTCOME_COUNTERS = {outcome: "attempt_" + outcome.name.lower() for outcome in AttemptOutcome}


@dataclass(frozen=True, slots=True)
class UpstreamClientOptions:
    """The timeouts and limits of an upstream client."""

    connect_timeout_s: float
    keepalive_s: float  # upstreams close a connection that has been idle for this long
    max_connections: int
    seed: int = 0  # for the jitter of circuit breakers and connect backoff
    preconnects: bool = False  # whether to connect to a new upstream before its first attempt
    schedule_read: ScheduleRead = read_now  # when the responses are read


class UpstreamClient:
    """Sends attempts and health checks to upstreams."""

    def __init__(
        self, coordinator: RequestCoordinator, counters: Counters, options: UpstreamClientOptions
    ) -> None:
        """Create a client for the attempts of ``coordinator``."""
        self._coordinator = coordinator
        self._counters = counters
        self._preconnects = options.preconnects
        self._connect_timeout_s = options.connect_timeout_s
        self._in_flight: dict[tuple[str, int], AttemptSender] = {}  # by request id and attempt number
        self.connections = ConnectionPool(
            ConnectionLimits.of(options.max_connections),
            UpstreamExchange,
            Telemetry(counters.add, lambda level, text: counters.log(text, level), time.monotonic),
            PoolOptions(
                options.seed,
                options.connect_timeout_s,
                options.keepalive_s * _MAX_IDLE_RATIO,
                schedule_read=options.schedule_read,
            ),
        )
        releaser = ConnectionReleaser(self.connections, coordinator.address)
        self._health_checker = HealthChecker(
            self.connections, releaser, coordinator.address, options.connect_timeout_s
        )
        self._services = AttemptServices(
            coordinator, self.connections, releaser, self.connections.idle_resets, counters, self
        )

    def apply_timeouts(self, connect_timeout: float, keepalive: float) -> None:
        """Set the timeouts, in seconds, for connections that are opened or reused from now on."""
        self._connect_timeout_s = connect_timeout
        self._health_checker.connect_timeout_s = connect_timeout
        self.connections.apply_timeouts(connect_timeout, keepalive * _MAX_IDLE_RATIO)

    @property
    def open_connections(self) -> int:
        """The number of open connections, including those still connecting."""
        return len(self.connections.table)

    def send_attempt(self, attempt: Attempt, outbound: OutboundRequest, done: OnEnded) -> None:
        """Send an attempt. ``done`` is called once, after this returns, unless the attempt is cancelled."""
        now = time.monotonic()
        remaining_s = attempt.times_out_at - now
        sender = AttemptSender(
            self._services, attempt, outbound, done, now + self._connect_time_s(remaining_s)
        )
        self._in_flight[sender.key] = sender
        if remaining_s <= 0.0:  # too late to send it, which is no failure of the upstream
            sender.end_soon(AttemptOutcome.NOT_SENT)
        else:
            sender.connect(now)

    def cancel_attempt(self, request: str, number: int) -> None:
        """Cancel an attempt that is in flight, and close its connection."""
        sender = self._in_flight.get((request, number))
        if sender is None or not sender.is_cancellable:
            return
        del self._in_flight[request, number]
        self._counters.add("attempt_cancelled")
        sender.cancel()

    def drain_connections(self, upstream: str) -> None:
        """Close the idle connections to an upstream now, and those in use when their calls have ended."""
        self.connections.drain_upstream(upstream)

    def preconnect(self, upstreams: list[str]) -> None:
        """Open a connection to each of some new upstreams, if ``preconnects`` is set."""
        if not self._preconnects:
            return
        for upstream in upstreams:
            address = self._coordinator.address(upstream)
            if address is not None:
                self.connections.preconnect(upstream, address)

    def close_expired(self, now: float) -> None:
        """Close the connections that have been idle for too long."""
        self.connections.close_expired(now)

    async def check_health(self, upstream: str) -> HealthCheckResult:
        """Request a load report from an upstream, on a connection of the pool."""
        result = await self._health_checker.check(upstream)
        self._counters.add("upstream_health_check_" + result.outcome.name.lower())
        if result.outcome is AttemptOutcome.OK and result.load is None:
            self._counters.add("upstream_health_checks_without_report")
        return result

    def on_attempt_ended(self, sender: AttemptSender, response: UpstreamResponse) -> None:
        """Report the result of an attempt (AttemptOwner)."""
        self._in_flight.pop(sender.key, None)
        self._counters.add(_OUTCOME_COUNTERS[response.outcome])
        sender.on_ended(sender.attempt, response)

    def on_attempt_dropped(self, sender: AttemptSender) -> None:
        """Forget an attempt without a result (AttemptOwner)."""
        self._in_flight.pop(sender.key, None)

    def _connect_time_s(self, remaining_s: float) -> float:
        """Return the time limit for acquiring a connection, given the time left for the attempt."""
        minimum_s = min(_MIN_CONNECT_TIME_S, remaining_s * _MAX_CONNECT_TIME_RATIO)
        return min(self._connect_timeout_s, max(remaining_s * _CONNECT_TIME_RATIO, minimum_s))
