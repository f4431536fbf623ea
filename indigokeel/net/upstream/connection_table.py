"""The books of connections: which there are, in which state, and whether one more may be opened. No I/O.

A connection is counted by its presence here and by nothing else: no number is kept beside the books, so
none can come to differ from them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Generic, Protocol, TypeVar


class ConnectionState(Enum):
    """The life of a connection. DRAINING: in use, and to be closed once it is not."""

    __hash__ = object.__hash__  # Enum's own is not C, and every exchange looks states up

    OPENING = "opening"
    IDLE = "idle"
    IN_USE = "in use"
    DRAINING = "draining"
    CLOSED = "closed"


_NEXT = {
    ConnectionState.OPENING: {ConnectionState.IDLE, ConnectionState.IN_USE, ConnectionState.CLOSED},
    ConnectionState.IDLE: {ConnectionState.IN_USE, ConnectionState.CLOSED},
    ConnectionState.IN_USE: {ConnectionState.IDLE, ConnectionState.DRAINING, ConnectionState.CLOSED},
    ConnectionState.DRAINING: {ConnectionState.CLOSED},
    ConnectionState.CLOSED: set[ConnectionState](),
}


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections there may be: in all, to one upstream while others hold some too, and being opened
    to one upstream at a time."""

    total: int
    upstream: int
    opening: int

    @classmethod
    def of(cls, total: int) -> ConnectionLimits:
        """The usual parts of a total. One upstream that hangs must not hold all: half is left to the
        others."""
        return cls(total, max(total // 2, min(total, 8)), max(min(total // 4, 32), 2))


class Entry(Protocol):
    """What the books hold."""

    upstream: str
    state: ConnectionState


E = TypeVar("E", bound=Entry)


class _Node(dict[ConnectionState, dict[E, None]], Generic[E]):
    """The connections to one upstream, by state, each in the order of its coming; the idle one used last at
    the end."""

    def __init__(self) -> None:
        super().__init__({state: {} for state in ConnectionState if state is not ConnectionState.CLOSED})

    def total(self) -> int:
        return sum(map(len, self.values()))


class ConnectionTable(Generic[E]):
    """All connections that are not closed."""

    def __init__(self, bounds: ConnectionLimits) -> None:
        self.bounds = bounds
        self._all: dict[E, None] = {}
        self._nodes: dict[str, _Node[E]] = {}
        self._idle: OrderedDict[E, None] = OrderedDict()  # over all upstreams, idle for longest first

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[E]:
        return iter(self._all)

    def count(self, upstream: str, state: ConnectionState) -> int:
        """How many connections to an upstream are in a state."""
        shelves = self._nodes.get(upstream)
        return 0 if shelves is None else len(shelves[state])

    def move(self, entry: E, state: ConnectionState) -> None:
        """Enter a connection that is OPENING, or take a known one to its next state."""
        if entry not in self._all:
            if state is not ConnectionState.OPENING or entry.state is not ConnectionState.OPENING:
                raise ValueError(f"a connection that is not in the books cannot be {state.value}")
            self._all[entry] = None
            self._nodes.setdefault(entry.upstream, _Node())[ConnectionState.OPENING][entry] = None
            return
        if state not in _NEXT[entry.state]:
            raise ValueError(f"a connection cannot go from {entry.state.value} to {state.value}")
        shelves = self._nodes[entry.upstream]
        del shelves[entry.state][entry]
        if entry.state is ConnectionState.IDLE:
            del self._idle[entry]
        entry.state = state
        if state is not ConnectionState.CLOSED:
            shelves[state][entry] = None
            if state is ConnectionState.IDLE:
                self._idle[entry] = None
            return
        del self._all[entry]
        if not any(shelves.values()):  # names come and go for ever; only those in use are kept
            del self._nodes[entry.upstream]

    def idle(self) -> int:
        """How many connections are idle."""
        return len(self._idle)

    def youngest_idle(self, upstream: str) -> E | None:
        """The idle connection to an upstream that was used last."""
        shelves = self._nodes.get(upstream)
        return next(reversed(shelves[ConnectionState.IDLE]), None) if shelves is not None else None

    def oldest_idle(self) -> E | None:
        """The connection to any upstream that has stood idle for longest."""
        return next(iter(self._idle), None)

    def oldest_opening(self, upstream: str) -> E | None:
        shelves = self._nodes.get(upstream)
        return next(iter(shelves[ConnectionState.OPENING]), None) if shelves is not None else None

    def idle_to(self, upstream: str) -> list[E]:
        shelves = self._nodes.get(upstream)
        return list(shelves[ConnectionState.IDLE]) if shelves is not None else []

    def opening_to(self, upstream: str) -> list[E]:
        shelves = self._nodes.get(upstream)
        return list(shelves[ConnectionState.OPENING]) if shelves is not None else []

    def used_to(self, upstream: str) -> list[E]:
        shelves = self._nodes.get(upstream)
        return list(shelves[ConnectionState.IN_USE]) if shelves is not None else []

    def room(self, upstream: str) -> bool:
        """Whether the bounds of this upstream let one more be opened to it."""
        shelves = self._nodes.get(upstream)
        if shelves is None:
            return True
        total = shelves.total()
        alone = total == len(self._all)  # nobody else wants what is left
        most = self.bounds.total if alone else self.bounds.upstream
        return total < most and len(shelves[ConnectionState.OPENING]) < self.bounds.opening

    def full(self) -> bool:
        """Whether the bound on all connections is reached."""
        return len(self._all) >= self.bounds.total
