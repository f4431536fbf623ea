"""Which client connections are open, and which one goes when there are too many. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Generic, Protocol, TypeVar

# Of all descriptors: with more connections that brought a request than this, each ends with its answer.
# Guards against clients that run out of their own share, a third, over connections that nobody uses any more.
_CROWD = 1 / 6
_YOUNG = 0.3  # s in which one that has brought no request yet is left alone, where others can go
_MAY_CLOSE = 2.0  # s without an open request after which a client reckons with a close
_LOOKS = 8  # at those that had their last word, and may not have read it
_STUCK = 0.5  # s without more of it after which half a message keeps no connection, where room is needed


class Connection(Protocol):
    """One client connection, as its session tells of it."""

    def is_idle(self) -> bool: ...

    def idle_for(self, now: float) -> float: ...

    def stalled_for(self, now: float) -> float: ...

    def has_unwritten_output(self) -> bool:
        """Whether some of what was written to it would be lost, were it closed now."""

    def __hash__(self) -> int: ...


C = TypeVar("C", bound=Connection)


class ClientRegistry(Generic[C]):
    """All of them, by what they are good for."""

    def __init__(self, descriptors: int, most: int) -> None:
        """``descriptors`` that the process may hold; ``most`` of these for clients."""
        self._crowd, self._most = max(int(descriptors * _CROWD), 4), most
        self._all: dict[C, None] = {}
        # Those that have brought no request, in the order they came, and when each did.
        self._newcomers: dict[C, float] = {}
        self._workers: dict[C, None] = {}  # the others, by their last request
        self._ending: dict[C, None] = {}  # those that had their last word, in that order

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[C]:
        """All that are open now; any of them may go meanwhile."""
        return iter(list(self._all))

    def connection_opened(self, connection: C, now: float) -> None:
        """One more."""
        self._all[connection] = None
        self._newcomers[connection] = now

    def is_over_limit(self, spare: int = 0) -> bool:
        """Whether one has to go for the newest; ``spare``: of those that may stand beside the others."""
        return len(self._all) > self._most + spare

    def request_received(self, connection: C) -> None:
        """It has brought a request: it goes to the young end of the workers."""
        self._newcomers.pop(connection, None)
        self._workers.pop(connection, None)
        self._workers[connection] = None

    def connection_closing(self, connection: C) -> None:
        """It had its last word and waits for its peer's."""
        self._newcomers.pop(connection, None)
        self._workers.pop(connection, None)
        self._ending[connection] = None

    def connection_closed(self, connection: C) -> None:
        self._newcomers.pop(connection, None)
        for connections in (self._all, self._workers, self._ending):
            connections.pop(connection, None)

    def is_crowded(self) -> bool:
        """Whether they have become so many that each ends with its answer."""
        return len(self._workers) > self._crowd

    def select_eviction(self, newest: C, now: float) -> C:
        """Which one goes so that the newest has a place; perhaps that itself. Guards against crowds: what
        had its last word goes first; then those that never brought a request, the oldest of them, for on one
        that did another may be on its way. Looked for from the old end, and no further than the old ones go:
        a crowd may come by a thousand a second, and each look may ask the system."""
        ending = next((c for c in islice(self._ending, _LOOKS) if not c.has_unwritten_output()), None)
        if ending is not None:
            return ending
        found = None
        for connection, came in self._newcomers.items():
            if now - came <= _YOUNG:
                break
            if connection.idle_for(now) > _YOUNG and connection.is_idle():
                return connection
            if found is None and connection.stalled_for(now) > _STUCK:
                found = connection
        if found is None:  # the one that did nothing for longest, where that is long
            found = next((c for c in self._workers if c.is_idle()), None)
            if found is None or found.idle_for(now) < _MAY_CLOSE:
                found = next((c for c in self._others(newest) if c.is_idle()), found)
        if found is None:  # the newest may bring a whole request in a moment
            found = next((c for c in self._others(newest) if c.stalled_for(now) > 0.0), newest)
        return found

    def select_eviction_for_backlog(self, now: float) -> C | None:
        """Which one goes so that a client that waits in the backlog can be accepted; None where all are at
        work, or came just now."""
        ending = next((c for c in islice(self._ending, _LOOKS) if not c.has_unwritten_output()), None)
        if ending is not None:
            return ending
        for connection, came in islice(self._newcomers.items(), _LOOKS):
            if now - came > _YOUNG and connection.is_idle():
                return connection
        found = next((c for c in islice(self._workers, _LOOKS) if c.is_idle()), None)
        return found if found is not None and found.idle_for(now) >= _MAY_CLOSE else None

    def _others(self, newest: C) -> Iterator[C]:
        return (connection for connection in self._newcomers if connection is not newest)
