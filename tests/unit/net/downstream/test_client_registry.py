"""Which client connection is evicted when there are too many."""

from __future__ import annotations

import pytest

from indigokeel.net.downstream.client_registry import ClientRegistry


class FakeConnection:
    """A connection that gives fixed answers to the registry."""

    def __init__(self, idle: float = 0.0, stalled: float = 0.0, has_unwritten_output: bool = False) -> None:
        self._idle = idle
        self._stalled = stalled
        self._unwritten = has_unwritten_output

    def is_idle(self) -> bool:
        return self._idle > 0.0

    def idle_for(self, now: float) -> float:
        return self._idle

    def stalled_for(self, now: float) -> float:
        return self._stalled

    def has_unwritten_output(self) -> bool:
        return self._unwritten


def make_registry(
    new: list[FakeConnection],
    active: list[FakeConnection],
    closing: list[FakeConnection],
    opened_at: float = -10.0,
) -> ClientRegistry[FakeConnection]:
    """Return a registry that is at its limit with these connections."""
    registry: ClientRegistry[FakeConnection] = ClientRegistry(1024, len(new + active + closing))
    for connection in (*new, *active, *closing):
        registry.connection_opened(connection, opened_at)
        assert not registry.is_over_limit()
    for connection in active:
        registry.request_received(connection)
    for connection in closing:
        registry.connection_closing(connection)
    return registry


_CLOSING = FakeConnection()
_CLOSING_UNREAD = FakeConnection(has_unwritten_output=True)
_SILENT = FakeConnection(idle=1.0)
_NEW = FakeConnection(idle=0.1)
_STALLED = FakeConnection(stalled=0.6)
_BUSY = FakeConnection()
_IDLE = FakeConnection(idle=3.0)
_JUST_IDLE = FakeConnection(idle=0.5)


@pytest.mark.parametrize(
    ("new", "active", "closing", "evicted"),
    [
        ([_SILENT], [_IDLE], [_CLOSING_UNREAD, _CLOSING], _CLOSING),
        ([_BUSY, _SILENT], [_IDLE], [_CLOSING_UNREAD], _SILENT),
        ([_NEW, _STALLED], [_IDLE], [], _STALLED),
        ([_NEW], [_BUSY, _IDLE, _JUST_IDLE], [], _IDLE),
        ([_NEW], [_BUSY, _JUST_IDLE], [], _NEW),
        ([], [_BUSY, _JUST_IDLE], [], _JUST_IDLE),
        ([], [_BUSY], [_CLOSING_UNREAD], None),  # the newest itself is evicted
    ],
)
def test_selects_the_connection_to_evict_for_the_newest(
    new: list[FakeConnection],
    active: list[FakeConnection],
    closing: list[FakeConnection],
    evicted: FakeConnection | None,
) -> None:
    registry = make_registry(new, active, closing)
    newest = FakeConnection()
    registry.connection_opened(newest, 0.0)
    assert registry.is_over_limit()
    assert registry.select_eviction(newest, 0.0) is (evicted or newest)
    for connection in list(registry):
        registry.connection_closed(connection)
    assert len(registry) == 0 and not registry.has_too_many_active_connections()


class CountingConnection(FakeConnection):
    """A connection that counts, over all instances, the examinations that would cost a system call."""

    examined = 0

    def is_idle(self) -> bool:
        CountingConnection.examined += 1
        return super().is_idle()

    def has_unwritten_output(self) -> bool:
        CountingConnection.examined += 1
        return super().has_unwritten_output()


@pytest.mark.parametrize(
    ("new", "active", "closing"),
    [
        ([CountingConnection(idle=0.1) for _ in range(500)], [CountingConnection(idle=1.0)], []),
        ([CountingConnection(stalled=0.1) for _ in range(500)], [CountingConnection(idle=3.0)], []),
        (
            [CountingConnection(idle=1.0) for _ in range(500)],
            [],
            [CountingConnection(has_unwritten_output=True) for _ in range(500)],
        ),
    ],
)
def test_eviction_examines_a_limited_number_of_connections(
    new: list[FakeConnection], active: list[FakeConnection], closing: list[FakeConnection]
) -> None:
    registry = make_registry(new, active, closing, opened_at=0.0)
    newest = CountingConnection()
    registry.connection_opened(newest, 0.2)
    CountingConnection.examined = 0
    for now in (0.2, 0.25, 0.9):
        registry.select_eviction(newest, now)
    assert CountingConnection.examined <= 60
