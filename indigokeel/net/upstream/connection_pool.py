"""The manager: hands out connections to attempts in order, opens and closes them within the bounds."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from enum import Enum
from random import Random

from indigokeel.net.errors import LocalError
from indigokeel.net.upstream.backoff import ConnectBackoff
from indigokeel.net.upstream.circuit_breaker import CircuitBreaker
from indigokeel.net.upstream.connection import ConnectionHandler, UpstreamConnection
from indigokeel.net.upstream.connection_table import ConnectionLimits, ConnectionState, ConnectionTable
from indigokeel.net.upstream.idle_resets import IdleResetEstimator

Address = tuple[str, int]
_CIRCUIT_KEPT = 30.0  # s after which what is known of a failing address is forgotten
# s between two log lines on what this machine lacks, which may be met hundreds of times a second.
_LOCAL_LOGGED = 1.0


class ConnectFailure(Enum):
    """Why there is none."""

    UPSTREAM = "upstream"  # connects to it fail, or none came up in time
    LOCAL = "local"  # this machine could not begin a connect for some of the time: the upstream may be well


Ready = Callable[[UpstreamConnection | ConnectFailure], None]


class ConnectionWaiter:
    """A wait for a connection to an upstream. Good for one call of ``ready`` or of
    ``ConnectionPool.cancel``."""

    __slots__ = ("address", "upstream", "ready", "since", "timer")

    def __init__(self, upstream: str, address: Address, since: float, ready: Ready) -> None:
        self.upstream, self.address, self.since, self.ready = upstream, address, since, ready
        self.timer: asyncio.Handle | None = None


class ConnectionPool:
    """All connections of one kind, and who waits for one."""

    def __init__(
        self,
        bounds: ConnectionLimits,
        speak: Callable[[UpstreamConnection], ConnectionHandler],
        count: Callable[[str], None],
        log: Callable[[str, str], None],
        clock: Callable[[], float],
        seed: int = 0,
        connect_timeout: float = 0.25,
        idle_most: float = 15.0,
        calls: int = 1,
    ) -> None:
        """``speak`` makes what is said on a new connection; ``calls`` is how many one carries at a time;
        ``log`` takes a level and a text. Times are seconds, ``clock``'s."""
        self._speak, self._count, self._log, self._clock = speak, count, log, clock
        self._random = Random(seed)
        self._connect_timeout, self._idle_most, self._calls = connect_timeout, idle_most, calls
        self.table: ConnectionTable[UpstreamConnection] = ConnectionTable(bounds)
        self.idle_resets = IdleResetEstimator()
        self._waiting: dict[str, dict[ConnectionWaiter, None]] = {}
        self._breakers: dict[tuple[str, Address], CircuitBreaker] = {}
        self._began: dict[UpstreamConnection, float] = {}  # when those that are opening did
        self._serving_waiters = False
        self._connect_backoff = ConnectBackoff(self._random)
        self._local_logged = -math.inf

    def apply_timeouts(self, connect_timeout: float, idle_most: float) -> None:
        """Take other times, in seconds."""
        self._connect_timeout, self._idle_most = connect_timeout, idle_most

    # --- what is asked ------------------------------------------------------------------------------

    def acquire(
        self,
        upstream: str,
        address: Address,
        patience: float,
        ready: Ready,
        unsafe: bool = False,
    ) -> UpstreamConnection | ConnectionWaiter:
        """A connection to ``upstream`` for one call: at once where one is free, else a ticket, whose
        ``ready`` is called once, later: with a connection, or with the reason where none came up within
        ``patience`` seconds. While this machine cannot begin a connect, it tries again, with a backoff, all
        that time. An ``unsafe`` request gets none that may break under it."""
        connection = self._free(upstream, address, unsafe)
        if connection is not None:
            connection.calls += 1
            return connection
        now = self._clock()
        waiter = ConnectionWaiter(upstream, address, now, ready)
        breaker = self._breakers.get((upstream, address))
        if (
            breaker is not None
            and not breaker.allows(now)
            and not self.table.count(upstream, ConnectionState.OPENING)
        ):
            self._count("connects_not_tried")
            self._tell_soon(waiter)
            return waiter
        waiter.timer = asyncio.get_running_loop().call_later(patience, self._too_late, waiter)
        self._waiting.setdefault(upstream, {})[waiter] = None
        self._serve_waiters(upstream)
        return waiter

    def cancel(self, waiter: ConnectionWaiter) -> None:
        """Nobody waits on a ticket any more: ``ready`` is not called."""
        if waiter.timer is not None:
            waiter.timer.cancel()
            waiter.timer = None
        if self._leave(waiter):
            self._drop_surplus(waiter, failed=False)

    def held_back(self, waiter: ConnectionWaiter) -> bool:
        """Whether this machine could not begin a connect for some of the time of a wait, so that it tells
        nothing of the upstream."""
        return self._connect_backoff.any_since(waiter.upstream, waiter.since)

    def release(self, connection: UpstreamConnection, clean: bool) -> None:
        """A call on a connection is over. It is kept, for who waits first, where it is ``clean``."""
        connection.calls -= 1
        if connection.state is ConnectionState.CLOSED:
            return
        if not clean:
            self.close(connection)
            return
        if connection.calls > 0 and connection.state is ConnectionState.IN_USE:
            self._serve(connection)
        elif connection.calls <= 0:
            if connection.state is ConnectionState.DRAINING or connection.spent():
                self.close(connection)
            else:
                self._offer(connection)

    def close(self, connection: UpstreamConnection) -> None:
        """Close a connection, whatever it does."""
        if connection.state is not ConnectionState.CLOSED:
            self._shed(connection)
            self._serve_all_waiters()

    def discard(self, connection: UpstreamConnection) -> None:
        """Repair: a connection whose descriptor is gone leaves the books, and its calls have ended."""
        if connection.state is not ConnectionState.CLOSED:
            self._discard(connection)
            connection.abandon()
            self._serve_all_waiters()

    def close_to(self, upstream: str) -> None:
        """Nothing new goes to an upstream: idle connections are closed now, those in use once they are
        free."""
        for connection in self.table.idle_to(upstream):
            self.close(connection)
        for connection in self.table.used_to(upstream):
            self.table.move(connection, ConnectionState.DRAINING)

    def warm(self, upstream: str, address: Address) -> None:
        """Open a connection ahead of the first attempt, where there is room and none yet."""
        taken = self.table.count(upstream, ConnectionState.IDLE) + self.table.count(
            upstream, ConnectionState.OPENING
        )
        free = not self.table.full() and not self._connect_backoff.active(upstream)
        if not taken and not self.table.count(upstream, ConnectionState.IN_USE) and free:
            breaker = self._breakers.get((upstream, address))
            if breaker is None and self._open(upstream, address):
                self._count("connections_warmed")

    def close_expired(self, now: float) -> None:
        """Close what was idle for long, and forget what is old."""
        while (old := self.table.oldest_idle()) is not None and now - old.idle_since >= self._idle_most:
            self.close(old)
        for key in [k for k, c in self._breakers.items() if now > c.open_until + _CIRCUIT_KEPT]:
            del self._breakers[key]
        self._connect_backoff.forget(now - _CIRCUIT_KEPT)

    def shed_idle(self) -> bool:
        """Close the connection that has stood idle for longest; False where none does."""
        oldest = self.table.oldest_idle()
        if oldest is None:
            return False
        self._shed(oldest)
        self._count("idle_shed")
        return True

    def idle(self) -> int:
        """How many connections stand idle."""
        return self.table.idle()

    def waiting(self) -> int:
        """How many attempts wait for a connection."""
        return sum(map(len, self._waiting.values()))

    def end(self) -> None:
        """Close all; nobody is told."""
        for waiters in list(self._waiting.values()):
            for waiter in list(waiters):
                self.cancel(waiter)
        for connection in list(self.table):
            self.close(connection)

    # --- what links tell ----------------------------------------------------------------------------

    def came_up(self, connection: UpstreamConnection) -> None:
        self._began.pop(connection, None)
        self._breakers.pop((connection.upstream, connection.address), None)
        self._count("upstream_connections")
        try:
            connection.handler = self._speak(connection)
        except Exception as error:  # an unforeseen fault costs this connection
            self.fault(error)
            self.close(connection)
            return
        self._offer(connection)
        self._serve_all_waiters()  # one connect fewer is out, and the circuit is closed again

    def went_down(self, connection: UpstreamConnection, error: OSError | None) -> None:
        opening = connection.state is ConnectionState.OPENING
        if connection.state is not ConnectionState.CLOSED:
            self._discard(connection)
        if opening and isinstance(error, LocalError):
            breaker = self._breakers.get((connection.upstream, connection.address))
            if breaker is not None:
                breaker.called_off()
            self._hold(connection.upstream, error)
        elif opening:
            self._count("connects_failed")
            self._connect_failed(connection)
            waiter = self._first(connection)
            if waiter is not None and self._leave(waiter):
                self._tell(waiter, ConnectFailure.UPSTREAM)
            self._fail_if_hopeless(connection.upstream)
        self._serve_all_waiters()

    def fault(self, error: Exception) -> None:
        self._count("connection_faults")
        self._log("error", f"fault on a connection: {type(error).__name__}: {error}")

    # --- the inside ---------------------------------------------------------------------------------

    def _discard(self, connection: UpstreamConnection) -> None:
        """Out of the books."""
        self._began.pop(connection, None)
        self.table.move(connection, ConnectionState.CLOSED)

    def _shed(self, connection: UpstreamConnection) -> None:
        """Close one to make room, and offer that room to nobody else."""
        self._discard(connection)
        connection.close()

    def _first(self, connection: UpstreamConnection) -> ConnectionWaiter | None:
        """Who waits first for a connection such as this."""
        return next(
            (t for t in self._waiting.get(connection.upstream, ()) if t.address == connection.address), None
        )

    def _free(self, upstream: str, address: Address, unsafe: bool) -> UpstreamConnection | None:
        """The idle connection used last, if it is young, leads to the address of now, and is alive with
        nothing to read: asked here, right before the first byte."""
        if self._calls > 1:
            for connection in self.table.used_to(upstream):
                if connection.calls < self._calls and connection.address == address:
                    return connection
        now = -1.0
        while (idle := self.table.youngest_idle(upstream)) is not None:
            connection, now = idle, self._clock() if now < 0.0 else now
            age = now - connection.idle_since
            if connection.address != address or age >= self._idle_most:
                self.close(connection)  # and all older ones after it
            elif self.idle_resets.too_old(now, age, unsafe):
                if not self.idle_resets.too_old(now, age):
                    return None  # good enough for other requests
                self.close(connection)
            elif not connection.alive():
                self.close(connection)
            else:
                self.table.move(connection, ConnectionState.IN_USE)
                return connection
        return None

    def _open(self, upstream: str, address: Address) -> bool:
        """Begin a connect, if it can be had. Where it is this machine that cannot, none begins to there for a
        moment."""
        if self.table.full():
            oldest = self.table.oldest_idle()
            if oldest is None:
                return False
            self._shed(oldest)
            self._count("idle_shed")
        for last in (False, True):
            connection = UpstreamConnection(asyncio.get_running_loop(), self, upstream, address)
            try:
                connection.open(self._connect_timeout)
            except LocalError as error:
                oldest = self.table.oldest_idle()
                if error.exhausted and not last and oldest is not None:
                    self._tell_operators(upstream, error)
                    self._shed(oldest)
                    continue
                self._hold(upstream, error)
                return False
            except OSError:
                self._count("connects_failed")
                self._connect_failed(connection)
                return False
            break
        self.table.move(connection, ConnectionState.OPENING)
        self._began[connection] = self._clock()
        self._connect_backoff.begun(upstream)
        breaker = self._breakers.get((upstream, address))
        if breaker is not None:
            breaker.began()
        return True

    def _hold(self, upstream: str, error: LocalError) -> None:
        """This machine could not connect. Nothing is booked for the upstream; who waits goes on waiting, and
        the connect is made again after a backoff."""
        self._tell_operators(upstream, error)
        where = None if error.exhausted else upstream
        delay = self._connect_backoff.start(self._clock(), where)
        asyncio.get_running_loop().call_later(delay, self._release, where)

    def _tell_operators(self, upstream: str, error: LocalError) -> None:
        """Count what this machine lacks, and log it now and then."""
        self._count("descriptors_run_out" if error.exhausted else "connects_without_a_way")
        now = self._clock()
        if now - self._local_logged >= _LOCAL_LOGGED:
            self._local_logged = now
            what = "no descriptor for a connection" if error.exhausted else f"no way from here to {upstream}"
            self._log("error", f"{what}: {error}")

    def _release(self, upstream: str | None) -> None:
        """The backoff is over: connects to ``upstream``, or to any, may begin again."""
        self._connect_backoff.release(self._clock(), upstream)
        if upstream is None:
            self._serve_all_waiters()
        else:
            self._serve_waiters(upstream)

    def _connect_failed(self, connection: UpstreamConnection) -> None:
        key = connection.upstream, connection.address
        breaker = self._breakers.get(key)
        if breaker is None:
            breaker = self._breakers[key] = CircuitBreaker(self._random)
        if breaker.failed(self._clock()):
            self._count("circuit_breakers_opened")
            self._log(
                "warning", f"connects to {connection.upstream} fail, one after another: fewer are tried"
            )

    def _offer(self, connection: UpstreamConnection) -> None:
        """A connection is free: for who waits first, else idle."""
        if connection.state is ConnectionState.OPENING or connection.calls <= 0:
            waiter = self._first(connection)
            if waiter is None:
                connection.idle_since = self._clock()
                self.table.move(connection, ConnectionState.IDLE)
                if self._waiting:
                    self._serve_all_waiters()  # it may have to make room for who waits elsewhere
                return
            if connection.state is not ConnectionState.IN_USE:
                self.table.move(connection, ConnectionState.IN_USE)
            self._leave(waiter)
            connection.calls += 1
            self._tell(waiter, connection)
        self._serve(connection)

    def _serve(self, connection: UpstreamConnection) -> None:
        """Let others who wait use a connection that carries more than one call."""
        while 0 < connection.calls < self._calls and connection.state is ConnectionState.IN_USE:
            waiter = self._first(connection)
            if waiter is None:
                return
            self._leave(waiter)
            connection.calls += 1
            self._tell(waiter, connection)

    def _tell(self, waiter: ConnectionWaiter, connection: UpstreamConnection | ConnectFailure) -> None:
        if waiter.timer is not None:
            waiter.timer.cancel()
            waiter.timer = None
        try:
            waiter.ready(connection)
        except Exception as error:  # costs this call
            self.fault(error)
            if isinstance(connection, UpstreamConnection):
                self.release(connection, False)

    def _tell_soon(self, waiter: ConnectionWaiter) -> None:
        """Tell that there is none, a little later: whoever is at work now may be deep in its own books."""
        if waiter.timer is not None:
            waiter.timer.cancel()
        waiter.timer = asyncio.get_running_loop().call_soon(self._tell, waiter, ConnectFailure.UPSTREAM)

    def _leave(self, waiter: ConnectionWaiter) -> bool:
        """Take a ticket out of its queue; False where it was out already."""
        waiters = self._waiting.get(waiter.upstream)
        if waiters is None or waiter not in waiters:
            return False
        del waiters[waiter]
        if not waiters:
            del self._waiting[waiter.upstream]
        return True

    def _too_late(self, waiter: ConnectionWaiter) -> None:
        waiter.timer = None
        for connection in self.table.opening_to(waiter.upstream):
            if waiter in self._waiting.get(waiter.upstream, ()):
                connection.settle()  # it may be up, and the loop too late to say so
        if self._leave(waiter):
            local = self.held_back(waiter)
            self._drop_surplus(waiter, failed=not local)
            self._tell(waiter, ConnectFailure.LOCAL if local else ConnectFailure.UPSTREAM)

    def _drop_surplus(self, waiter: ConnectionWaiter, failed: bool) -> None:
        """One waits less: of the connects that are out for the upstream one may be too many."""
        upstream = waiter.upstream
        if self.table.count(upstream, ConnectionState.OPENING) <= len(self._waiting.get(upstream, ())):
            return
        connection = self.table.oldest_opening(upstream)
        if connection is None:
            return
        breaker = self._breakers.get((connection.upstream, connection.address))
        if failed and self._began.get(connection, waiter.since) <= waiter.since:
            self._count("connects_failed")
            self._connect_failed(connection)  # it had all the time that its attempt could give
        elif breaker is not None:
            breaker.called_off()
        self.close(connection)
        self._fail_if_hopeless(upstream)

    def _fail_if_hopeless(self, upstream: str) -> None:
        """End the waits for an upstream that no connect is out for, where its circuit lets none begin."""
        if self.table.count(upstream, ConnectionState.OPENING):
            return
        now = self._clock()
        for waiter in list(self._waiting.get(upstream, ())):
            breaker = self._breakers.get((upstream, waiter.address))
            if breaker is not None and not breaker.allows(now) and self._leave(waiter):
                self._count("connects_not_tried")
                self._tell_soon(waiter)

    def _serve_waiters(self, upstream: str) -> None:
        """Open what those who wait for an upstream need, within the bounds."""
        while True:
            waiters = self._waiting.get(upstream)
            if not waiters or self.table.count(upstream, ConnectionState.OPENING) * self._calls >= len(
                waiters
            ):
                return
            if self._connect_backoff.active(upstream):
                return
            waiter = next(iter(waiters))
            breaker = self._breakers.get((upstream, waiter.address))
            if breaker is not None and not breaker.allows(self._clock()):
                return
            if not self.table.room(upstream) or not self._open(upstream, waiter.address):
                if not self._all_taken(upstream) and self._leave(waiter):
                    # Not even a connect could begin, and no connection will come free for it.
                    self._tell_soon(waiter)
                    continue
                return

    def _all_taken(self, upstream: str) -> bool:
        """Whether something may come free for who waits: bounds are reached, connects are out, or this
        machine is to try again."""
        out = bool(self.table.count(upstream, ConnectionState.OPENING)) or self._connect_backoff.active(
            upstream
        )
        return out or self.table.full() or not self.table.room(upstream)

    def _serve_all_waiters(self) -> None:
        """A connection has gone: there may be room for those who wait."""
        if self._serving_waiters or not self._waiting:
            return
        self._serving_waiters = True
        try:
            for upstream in list(self._waiting):
                self._serve_waiters(upstream)
                if self.table.full() and self.table.oldest_idle() is None:
                    break
        finally:
            self._serving_waiters = False
