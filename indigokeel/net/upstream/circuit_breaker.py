"""Circuit breakers for connects: after consecutive failures, connects to an address are paused.

The states are closed, open and half-open (Nygard, "Release It!"). The open time has full jitter (Brooker,
"Exponential Backoff And Jitter"), so that many sidecars do not reconnect to an upstream at the same time.
"""

from __future__ import annotations

from random import Random

from indigokeel.endpoints.endpoint_list import Address

FAILURE_THRESHOLD = 4  # consecutive failed connects that open the circuit
_INITIAL_OPEN_S = 0.2  # the open time is uniform between 0 and this, which doubles after each failed trial
_MAX_OPEN_S = 2.0
_RETENTION_S = 30.0  # from the end of the open time until an unused breaker is dropped


class CircuitBreaker:
    """The circuit breaker of one address. Times are in seconds of the caller's clock."""

    __slots__ = ("_failures", "_open_time_s", "_random", "_trial_running", "open_until")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures = 0
        self._open_time_s = _INITIAL_OPEN_S
        self._trial_running = False
        self.open_until = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a connect may start. While the circuit is half-open, one may be in progress."""
        if self._failures < FAILURE_THRESHOLD:
            return True
        return now >= self.open_until and not self._trial_running

    def on_connect_started(self) -> None:
        """Record the start of a connect."""
        self._trial_running = self._failures >= FAILURE_THRESHOLD

    def on_connected(self) -> None:
        """Record a successful connect and close the circuit."""
        self._failures = 0
        self._open_time_s = _INITIAL_OPEN_S
        self._trial_running = False

    def on_connect_cancelled(self) -> None:
        """Record a connect that was cancelled without a result."""
        self._trial_running = False

    def on_connect_failed(self, now: float) -> bool:
        """Record a failed connect. Return whether it opens the circuit, which was closed before."""
        self._failures += 1
        self._trial_running = False
        if self._failures < FAILURE_THRESHOLD:
            return False
        self.open_until = now + self._random.uniform(0.0, self._open_time_s)
        self._open_time_s = min(self._open_time_s * 2.0, _MAX_OPEN_S)
        return self._failures == FAILURE_THRESHOLD


class CircuitBreakers:
    """The circuit breakers by upstream and address. Only addresses with failures have one."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._breakers: dict[tuple[str, Address], CircuitBreaker] = {}

    def has_failures(self, upstream: str, address: Address) -> bool:
        """Return whether a connect to an address has failed since the last one that succeeded."""
        return (upstream, address) in self._breakers

    def allows(self, upstream: str, address: Address, now: float) -> bool:
        """Return whether a connect may start."""
        breaker = self._breakers.get((upstream, address))
        return breaker is None or breaker.allows(now)

    def on_connect_started(self, upstream: str, address: Address) -> None:
        """Record the start of a connect."""
        breaker = self._breakers.get((upstream, address))
        if breaker is not None:
            breaker.on_connect_started()

    def on_connected(self, upstream: str, address: Address) -> None:
        """Record a successful connect and drop the breaker."""
        self._breakers.pop((upstream, address), None)

    def on_connect_cancelled(self, upstream: str, address: Address) -> None:
        """Record a connect that was cancelled without a result."""
        breaker = self._breakers.get((upstream, address))
        if breaker is not None:
            breaker.on_connect_cancelled()

    def on_connect_failed(self, upstream: str, address: Address, now: float) -> bool:
        """Record a failed connect. Return whether it opens the circuit, which was closed before."""
        key = upstream, address
        breaker = self._breakers.get(key)
        if breaker is None:
            breaker = self._breakers[key] = CircuitBreaker(self._random)
        return breaker.on_connect_failed(now)

    def drop_expired(self, now: float) -> None:
        """Drop the breakers whose open time ended long ago."""
        expired = [key for key, breaker in self._breakers.items() if now > breaker.open_until + _RETENTION_S]
        for key in expired:
            del self._breakers[key]
