"""Registers the open client connections, and selects which to evict when there are too many. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Generic, Protocol, TypeVar

# Clients have descriptor limits of their own, which connections that nobody uses any more would exhaust.
_CROWDED_RATIO = 1 / 6  # of all descriptors
_MIN_CROWD = 4  # connections
_NEW_CONNECTION_GRACE_S = 0.3  # for a connection without a request, before it is evicted for another
_SAFE_IDLE_S = 2.0  # without a request, after which clients expect a connection to be closed
_STALLED_REQUEST_S = 0.5  # without progress, after which a partially received request does not protect
_MAX_EXAMINED = 8  # connections of a kind: each may cost a system call


class Connection(Protocol):
    """A client connection, as far as its eviction depends on it."""

    def is_idle(self) -> bool:
        """Return whether it awaits a request and has no unread input."""

    def idle_for(self, now: float) -> float:
        """Return the seconds since its last request or response, or 0.0 if a request is pending."""

    def stalled_for(self, now: float) -> float:
        """Return the seconds since the last byte of a partially received request, or 0.0 without one."""

    def has_unwritten_output(self) -> bool:
        """Return whether a close would lose output now."""

    def __hash__(self) -> int:
        """Return a hash by identity."""


ConnectionT = TypeVar("ConnectionT", bound=Connection)


class ClientRegistry(Generic[ConnectionT]):
    """Keep the open connections by how far they have come, each group in order of age."""

    def __init__(self, descriptors: int, max_connections: int) -> None:
        """``descriptors`` is the limit of the process; ``max_connections`` of them are for clients."""
        self._crowded_above = max(int(descriptors * _CROWDED_RATIO), _MIN_CROWD)
        self._max_connections = max_connections
        self._all: dict[ConnectionT, None] = {}
        self._new: dict[ConnectionT, float] = {}  # without a request so far; when each was opened
        self._active: dict[ConnectionT, None] = {}  # ordered by their last request
        self._closing: dict[ConnectionT, None] = {}  # wait for their peer to close

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._all)

    def __iter__(self) -> Iterator[ConnectionT]:
        """Iterate over a snapshot of the open connections."""
        return iter(list(self._all))

    def connection_opened(self, connection: ConnectionT, now: float) -> None:
        """Register a connection."""
        self._all[connection] = None
        self._new[connection] = now

    def is_over_limit(self, spare: int = 0) -> bool:
        """Return whether there are more connections than the limit and ``spare`` allow."""
        return len(self._all) > self._max_connections + spare

    def request_received(self, connection: ConnectionT) -> None:
        """Note a request: the connection becomes the youngest active one."""
        self._new.pop(connection, None)
        self._active.pop(connection, None)
        self._active[connection] = None

    def connection_closing(self, connection: ConnectionT) -> None:
        """Note that a connection has been ended and waits for its peer to close."""
        self._new.pop(connection, None)
        self._active.pop(connection, None)
        self._closing[connection] = None

    def connection_closed(self, connection: ConnectionT) -> None:
        """Remove a connection."""
        self._new.pop(connection, None)
        for group in (self._all, self._active, self._closing):
            group.pop(connection, None)

    def is_crowded(self) -> bool:
        """Return whether there are so many active connections that each closes after its response."""
        return len(self._active) > self._crowded_above

    # --- eviction -------------------------------------------------------------------------------------

    def select_eviction(self, newest: ConnectionT, now: float) -> ConnectionT:
        """Return the connection to evict for the newest one, perhaps that itself.

        Closing connections go first, then the oldest of those without a request: on an active one the next
        request may be on its way.
        """
        return (
            self._find_closing()
            or self._find_silent(now)
            or self._find_long_idle(newest, now)
            or self._find_stalled(newest, now)
            or newest
        )

    def _find_closing(self) -> ConnectionT | None:
        """Return a closing connection whose output has been received."""
        examined = islice(self._closing, _MAX_EXAMINED)
        return next((c for c in examined if not c.has_unwritten_output()), None)

    def _find_silent(self, now: float) -> ConnectionT | None:
        """Return the oldest idle connection without a request, or else one whose request has stalled.

        Ends at the first that is still within its grace period, so that a look stays cheap in a crowd.
        """
        stalled = None
        for connection, opened_at in self._new.items():
            if now - opened_at <= _NEW_CONNECTION_GRACE_S:
                break
            if connection.idle_for(now) > _NEW_CONNECTION_GRACE_S and connection.is_idle():
                return connection
            if stalled is None and connection.stalled_for(now) > _STALLED_REQUEST_S:
                stalled = connection
        return stalled

    def _find_long_idle(self, newest: ConnectionT, now: float) -> ConnectionT | None:
        """Return an active connection that has been idle for long, or else any that is idle."""
        active = next((c for c in self._active if c.is_idle()), None)
        if active is not None and active.idle_for(now) >= _SAFE_IDLE_S:
            return active
        return next((c for c in self._new_but(newest) if c.is_idle()), active)

    def _find_stalled(self, newest: ConnectionT, now: float) -> ConnectionT | None:
        """Return a new connection with part of a request; the newest may bring a whole one."""
        return next((c for c in self._new_but(newest) if c.stalled_for(now) > 0.0), None)

    def select_eviction_for_backlog(self, now: float) -> ConnectionT | None:
        """Return the connection to evict so that a client can be accepted, or None if none can be spared."""
        return self._find_closing() or self._find_new_idle(now) or self._find_safe_idle(now)

    def _find_new_idle(self, now: float) -> ConnectionT | None:
        """Return an idle connection without a request that is past its grace period."""
        for connection, opened_at in islice(self._new.items(), _MAX_EXAMINED):
            if now - opened_at > _NEW_CONNECTION_GRACE_S and connection.is_idle():
                return connection
        return None

    def _find_safe_idle(self, now: float) -> ConnectionT | None:
        """Return the first idle active connection, if its client expects a close by now."""
        found = next((c for c in islice(self._active, _MAX_EXAMINED) if c.is_idle()), None)
        return found if found is not None and found.idle_for(now) >= _SAFE_IDLE_S else None

    def _new_but(self, newest: ConnectionT) -> Iterator[ConnectionT]:
        """Iterate over the connections without a request, except the newest."""
        return (connection for connection in self._new if connection is not newest)
