"""The connections to all upstreams by state, and the limits on their number. No I/O.

No connection counters are kept beside the table: every count is derived from its entries, so that none can
diverge from them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Generic, Protocol, TypeVar

_UPSTREAM_LIMIT_FLOOR = 8  # connections to one upstream, if the total limit allows them
_OPENING_LIMIT_FLOOR = 2
_OPENING_LIMIT_CEILING = 32


class ConnectionState(Enum):
    """The state of a connection.

    QUIET: without a call and not reused yet, as a second response to the last request may still come.
    DRAINING: in use, and to be closed when its last call has ended.
    """

    __hash__ = object.__hash__  # faster than that of Enum; every exchange hashes states

    OPENING = "opening"
    IDLE = "idle"
    IN_USE = "in use"
    QUIET = "quiet"
    DRAINING = "draining"
    CLOSED = "closed"


UNUSED_STATES = (ConnectionState.IDLE, ConnectionState.QUIET)  # without a call

_TRANSITIONS = {
    ConnectionState.OPENING: {ConnectionState.IDLE, ConnectionState.IN_USE, ConnectionState.CLOSED},
    ConnectionState.IDLE: {ConnectionState.IN_USE, ConnectionState.CLOSED},
    ConnectionState.IN_USE: {
        ConnectionState.IDLE,
        ConnectionState.QUIET,
        ConnectionState.DRAINING,
        ConnectionState.CLOSED,
    },
    ConnectionState.QUIET: {ConnectionState.IDLE, ConnectionState.IN_USE, ConnectionState.CLOSED},
    ConnectionState.DRAINING: {ConnectionState.CLOSED},
    ConnectionState.CLOSED: set[ConnectionState](),
}


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The maximum numbers of connections.

    ``total`` covers all upstreams. ``upstream`` applies to each upstream while others have connections too.
    ``opening`` applies to the connects in progress to each upstream.
    """

    total: int
    upstream: int
    opening: int

    @classmethod
    def of(cls, total: int) -> ConnectionLimits:
        """Return the default limits for a total, so that a hanging upstream leaves half of it to others."""
        upstream = max(total // 2, min(total, _UPSTREAM_LIMIT_FLOOR))
        opening = max(min(total // 4, _OPENING_LIMIT_CEILING), _OPENING_LIMIT_FLOOR)
        return cls(total, upstream, opening)


class TableEntry(Protocol):
    """The part of a connection that the table uses. Only the table changes ``state``."""

    upstream: str
    state: ConnectionState


EntryT = TypeVar("EntryT", bound=TableEntry)


class _UpstreamEntries(dict[ConnectionState, dict[EntryT, None]], Generic[EntryT]):
    """The connections to one upstream by state, in the order in which they entered it."""

    def __init__(self) -> None:
        super().__init__({state: {} for state in ConnectionState if state is not ConnectionState.CLOSED})

    def total(self) -> int:
        """Return the number of connections in all states."""
        return sum(map(len, self.values()))


class ConnectionTable(Generic[EntryT]):
    """All connections that are not closed."""

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self._all: dict[EntryT, None] = {}
        self._by_upstream: dict[str, _UpstreamEntries[EntryT]] = {}
        # To any upstream by state, the longest unused first.
        self._unused: dict[ConnectionState, OrderedDict[EntryT, None]] = {
            state: OrderedDict() for state in UNUSED_STATES
        }

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[EntryT]:
        return iter(self._all)

    def count(self, upstream: str, state: ConnectionState) -> int:
        """Return the number of connections to an upstream in a state."""
        entries = self._by_upstream.get(upstream)
        return 0 if entries is None else len(entries[state])

    def connections(self, upstream: str, state: ConnectionState) -> list[EntryT]:
        """Return the connections to an upstream in a state, in the order in which they entered it."""
        entries = self._by_upstream.get(upstream)
        return [] if entries is None else list(entries[state])

    def move(self, entry: EntryT, state: ConnectionState) -> None:
        """Add a new connection in state OPENING, or change the state of one in the table.

        Raises ValueError on a transition that is not allowed.
        """
        if entry not in self._all:
            self._add(entry, state)
            return
        if state not in _TRANSITIONS[entry.state]:
            raise ValueError(f"a connection cannot go from {entry.state.value} to {state.value}")
        entries = self._by_upstream[entry.upstream]
        del entries[entry.state][entry]
        if entry.state in self._unused:
            del self._unused[entry.state][entry]
        entry.state = state
        if state is ConnectionState.CLOSED:
            self._remove(entry, entries)
            return
        entries[state][entry] = None
        if state in self._unused:
            self._unused[state][entry] = None

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return len(self._unused[ConnectionState.IDLE])

    def most_recently_used(self, upstream: str) -> EntryT | None:
        """Return the idle connection to an upstream that was used most recently."""
        entries = self._by_upstream.get(upstream)
        return None if entries is None else next(reversed(entries[ConnectionState.IDLE]), None)

    def longest_idle(self) -> EntryT | None:
        """Return the connection to any upstream that has been idle for longest."""
        return next(iter(self._unused[ConnectionState.IDLE]), None)

    def longest_unused(self) -> EntryT | None:
        """Return the idle connection to any upstream that is idle for longest, or else such a quiet one."""
        return self.longest_idle() or next(iter(self._unused[ConnectionState.QUIET]), None)

    def replaceable(self, upstream: str) -> EntryT | None:
        """Return the quiet connection whose close allows to open another one to its upstream, if any."""
        entries = self._by_upstream.get(upstream)
        if entries is None or len(entries[ConnectionState.OPENING]) >= self.limits.opening:
            return None
        return next(iter(entries[ConnectionState.QUIET]), None)

    def oldest_opening(self, upstream: str) -> EntryT | None:
        """Return the connection to an upstream whose connect started first."""
        entries = self._by_upstream.get(upstream)
        return None if entries is None else next(iter(entries[ConnectionState.OPENING]), None)

    def may_open(self, upstream: str) -> bool:
        """Return whether the limits of an upstream allow one more connection to it."""
        entries = self._by_upstream.get(upstream)
        if entries is None:
            return True
        total = entries.total()
        is_only_upstream = total == len(self._all)
        limit = self.limits.total if is_only_upstream else self.limits.upstream
        return total < limit and len(entries[ConnectionState.OPENING]) < self.limits.opening

    def is_full(self) -> bool:
        """Return whether the limit on all connections is reached."""
        return len(self._all) >= self.limits.total

    def _add(self, entry: EntryT, state: ConnectionState) -> None:
        if state is not ConnectionState.OPENING or entry.state is not ConnectionState.OPENING:
            raise ValueError(f"a connection that is not in the table cannot be {state.value}")
        self._all[entry] = None
        self._by_upstream.setdefault(entry.upstream, _UpstreamEntries())[ConnectionState.OPENING][entry] = (
            None
        )

    def _remove(self, entry: EntryT, entries: _UpstreamEntries[EntryT]) -> None:
        del self._all[entry]
        if not any(entries.values()):  # upstream names change over time, so unused ones must not accumulate
            del self._by_upstream[entry.upstream]
