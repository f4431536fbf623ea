"""Registers the open client connections, and selects which to evict when there are too many. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Generic, Protocol, TypeVar

# Clients have descriptor limits of their own, which connections that are no longer used would exhaust. With
# more active connections than this share of the process's descriptors, each closes after its response.
_CROWDED_THRESHOLD_RATIO = 1 / 6
_MIN_CROWDED_THRESHOLD = 4  # connections; the lower limit of that threshold
_NEW_CONNECTION_GRACE_S = 0.3  # until a connection without a request may be evicted for another
_EXPECTED_CLOSE_IDLE_S = 2.0  # idle time after which clients expect a connection to be closed
_STALLED_REQUEST_TIMEOUT_S = 0.5  # without progress; later a partial request does not prevent eviction
_MAX_EXAMINED = 8  # connections of a group in one search: each may cost a system call


class Connection(Protocol):
    """The state of a client connection that decides whether it is evicted."""

    def is_idle(self) -> bool:
        """Return whether it waits for a request and has no unread input."""

    def idle_for(self, now: float) -> float:
        """Return the seconds since its last request or response, or 0.0 if a request is pending."""

    def stalled_for(self, now: float) -> float:
        """Return the seconds since the last byte of a partially received request, or 0.0 without one."""

    def has_unwritten_output(self) -> bool:
        """Return whether a close now would lose output."""

    def __hash__(self) -> int:
        """Return a hash by identity."""


ConnectionT = TypeVar("ConnectionT", bound=Connection)


class ClientRegistry(Generic[ConnectionT]):
    """Keep the open connections in groups (new, active and closing), each in order of age."""

    def __init__(self, descriptors: int, max_connections: int) -> None:
        """Create a registry; ``max_connections`` of the process's ``descriptors`` are for clients."""
        self._crowded_threshold = max(int(descriptors * _CROWDED_THRESHOLD_RATIO), _MIN_CROWDED_THRESHOLD)
        self._max_connections = max_connections
        self._all: dict[ConnectionT, None] = {}
        self._new: dict[ConnectionT, float] = {}  # without a request so far; the time when each was opened
        self._active: dict[ConnectionT, None] = {}  # ordered by their last request
        self._closing: dict[ConnectionT, None] = {}  # waiting for their client to close

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._all)

    def __iter__(self) -> Iterator[ConnectionT]:
        """Iterate over the connections that are open at the time of the call."""
        return iter(list(self._all))

    def connection_opened(self, connection: ConnectionT, now: float) -> None:
        """Register a connection."""
        self._all[connection] = None
        self._new[connection] = now

    def is_over_limit(self, spare: int = 0) -> bool:
        """Return whether there are more connections than the limit and ``spare`` allow."""
        return len(self._all) > self._max_connections + spare

    def request_received(self, connection: ConnectionT) -> None:
        """Record a request: the connection becomes the most recently active one."""
        self._new.pop(connection, None)
        self._active.pop(connection, None)
        self._active[connection] = None

    def connection_closing(self, connection: ConnectionT) -> None:
        """Record that a connection has been ended and waits for its client to close."""
        self._new.pop(connection, None)
        self._active.pop(connection, None)
        self._closing[connection] = None

    def connection_closed(self, connection: ConnectionT) -> None:
        """Remove a connection."""
        self._new.pop(connection, None)
        for group in (self._all, self._active, self._closing):
            group.pop(connection, None)

    def has_too_many_active_connections(self) -> bool:
        """Return whether there are so many active connections that each has to close after its response."""
        return len(self._active) > self._crowded_threshold

    # --- eviction -------------------------------------------------------------------------------------

    def select_eviction(self, newest: ConnectionT, now: float) -> ConnectionT:
        """Return the connection to evict for the newest one, which may be the newest itself.

        Closing connections are evicted first, then the oldest without a request, and active ones later,
        because their next request may be in transit.
        """
        return (
            self._find_closing()
            or self._find_silent(now)
            or self._find_long_idle(newest, now)
            or self._find_stalled(newest, now)
            or newest
        )

    def _find_closing(self) -> ConnectionT | None:
        """Return a closing connection whose output the client has received."""
        examined = islice(self._closing, _MAX_EXAMINED)
        return next((c for c in examined if not c.has_unwritten_output()), None)

    def _find_silent(self, now: float) -> ConnectionT | None:
        """Return the oldest idle connection without a request, or else one whose request has stalled.

        The search ends at the first connection within its grace period, so that it stays cheap when there are
        many.
        """
        stalled = None
        for connection, opened_at in self._new.items():
            if now - opened_at <= _NEW_CONNECTION_GRACE_S:
                break
            if connection.idle_for(now) > _NEW_CONNECTION_GRACE_S and connection.is_idle():
                return connection
            if stalled is None and connection.stalled_for(now) > _STALLED_REQUEST_TIMEOUT_S:
                stalled = connection
        return stalled

    def _find_long_idle(self, newest: ConnectionT, now: float) -> ConnectionT | None:
        """Return an active connection that has been idle for long, or else any new or active idle one."""
        active = next((c for c in self._active if c.is_idle()), None)
        if active is not None and active.idle_for(now) >= _EXPECTED_CLOSE_IDLE_S:
            return active
        return next((c for c in self._new_except(newest) if c.is_idle()), active)

    def _find_stalled(self, newest: ConnectionT, now: float) -> ConnectionT | None:
        """Return a new connection with a partial request; the newest one may send a complete one."""
        return next((c for c in self._new_except(newest) if c.stalled_for(now) > 0.0), None)

    def select_eviction_for_backlog(self, now: float) -> ConnectionT | None:
        """Return the connection to evict so that a client can be accepted, or None if there is none."""
        return self._find_closing() or self._find_new_idle(now) or self._find_idle_with_close_expected(now)

    def _find_new_idle(self, now: float) -> ConnectionT | None:
        """Return an idle connection without a request that is past its grace period."""
        for connection, opened_at in islice(self._new.items(), _MAX_EXAMINED):
            if now - opened_at > _NEW_CONNECTION_GRACE_S and connection.is_idle():
                return connection
        return None

    def _find_idle_with_close_expected(self, now: float) -> ConnectionT | None:
        """Return the first idle active connection if its client expects it to be closed by now."""
        found = next((c for c in islice(self._active, _MAX_EXAMINED) if c.is_idle()), None)
        return found if found is not None and found.idle_for(now) >= _EXPECTED_CLOSE_IDLE_S else None

    def _new_except(self, newest: ConnectionT) -> Iterator[ConnectionT]:
        """Iterate over the connections without a request, except the newest."""
        return (connection for connection in self._new if connection is not newest)
