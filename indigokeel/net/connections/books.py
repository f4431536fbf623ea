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


class State(Enum):
    """The life of a connection. DRAINING: in use, and to be closed once it is not."""

    __hash__ = object.__hash__  # Enum's own is not C, and every exchange looks states up

    OPENING = "opening"
    IDLE = "idle"
    IN_USE = "in use"
    DRAINING = "draining"
    CLOSED = "closed"


_NEXT = {
    State.OPENING: {State.IDLE, State.IN_USE, State.CLOSED},
    State.IDLE: {State.IN_USE, State.CLOSED},
    State.IN_USE: {State.IDLE, State.DRAINING, State.CLOSED},
    State.DRAINING: {State.CLOSED},
    State.CLOSED: set[State](),
}


@dataclass(frozen=True, slots=True)
class Bounds:
    """How many connections there may be: in all, to one node while others hold some too, and being opened
    to one node at a time."""

    total: int
    node: int
    opening: int

    @classmethod
    def of(cls, total: int) -> Bounds:
        """The usual parts of a total. One node that hangs must not hold all: half is left to the others."""
        return cls(total, max(total // 2, min(total, 8)), max(min(total // 4, 32), 2))


class Entry(Protocol):
    """What the books hold."""

    node: str
    state: State


E = TypeVar("E", bound=Entry)


class _Node(dict[State, dict[E, None]], Generic[E]):
    """The connections to one node, by state, each in the order of its coming; the idle one used last at the
    end."""

    def __init__(self) -> None:
        super().__init__({state: {} for state in State if state is not State.CLOSED})

    def total(self) -> int:
        return sum(map(len, self.values()))


class Books(Generic[E]):
    """All connections that are not closed."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self._all: dict[E, None] = {}
        self._nodes: dict[str, _Node[E]] = {}
        self._idle: OrderedDict[E, None] = OrderedDict()  # over all nodes, idle for longest first

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[E]:
        return iter(self._all)

    def count(self, node: str, state: State) -> int:
        """How many connections to a node are in a state."""
        shelves = self._nodes.get(node)
        return 0 if shelves is None else len(shelves[state])

    def move(self, entry: E, state: State) -> None:
        """Enter a connection that is OPENING, or take a known one to its next state."""
        if entry not in self._all:
            if state is not State.OPENING or entry.state is not State.OPENING:
                raise ValueError(f"a connection that is not in the books cannot be {state.value}")
            self._all[entry] = None
            self._nodes.setdefault(entry.node, _Node())[State.OPENING][entry] = None
            return
        if state not in _NEXT[entry.state]:
            raise ValueError(f"a connection cannot go from {entry.state.value} to {state.value}")
        shelves = self._nodes[entry.node]
        del shelves[entry.state][entry]
        if entry.state is State.IDLE:
            del self._idle[entry]
        entry.state = state
        if state is not State.CLOSED:
            shelves[state][entry] = None
            if state is State.IDLE:
                self._idle[entry] = None
            return
        del self._all[entry]
        if not any(shelves.values()):  # names come and go for ever; only those in use are kept
            del self._nodes[entry.node]

    def idle(self) -> int:
        """How many connections are idle."""
        return len(self._idle)

    def youngest_idle(self, node: str) -> E | None:
        """The idle connection to a node that was used last."""
        shelves = self._nodes.get(node)
        return next(reversed(shelves[State.IDLE]), None) if shelves is not None else None

    def oldest_idle(self) -> E | None:
        """The connection to any node that has stood idle for longest."""
        return next(iter(self._idle), None)

    def oldest_opening(self, node: str) -> E | None:
        shelves = self._nodes.get(node)
        return next(iter(shelves[State.OPENING]), None) if shelves is not None else None

    def idle_to(self, node: str) -> list[E]:
        shelves = self._nodes.get(node)
        return list(shelves[State.IDLE]) if shelves is not None else []

    def opening_to(self, node: str) -> list[E]:
        shelves = self._nodes.get(node)
        return list(shelves[State.OPENING]) if shelves is not None else []

    def used_to(self, node: str) -> list[E]:
        shelves = self._nodes.get(node)
        return list(shelves[State.IN_USE]) if shelves is not None else []

    def room(self, node: str) -> bool:
        """Whether the bounds of this node let one more be opened to it."""
        shelves = self._nodes.get(node)
        if shelves is None:
            return True
        total = shelves.total()
        alone = total == len(self._all)  # nobody else wants what is left
        most = self.bounds.total if alone else self.bounds.node
        return total < most and len(shelves[State.OPENING]) < self.bounds.opening

    def full(self) -> bool:
        """Whether the bound on all connections is reached."""
        return len(self._all) >= self.bounds.total
