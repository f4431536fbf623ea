"""The transitions between the states of connections."""

from __future__ import annotations

import pytest

from indigokeel.net.upstream import (
    ConnectionLimits,
    ConnectionState,
)
from indigokeel.net.upstream.connection_table import ConnectionTable


def test_table_rejects_a_transition_that_is_not_allowed() -> None:
    class Entry:
        upstream, state = "n", ConnectionState.OPENING

    table: ConnectionTable[Entry] = ConnectionTable(ConnectionLimits.of(10))
    entry = Entry()
    with pytest.raises(ValueError, match="not in the table"):
        table.move(entry, ConnectionState.IDLE)
    table.move(entry, ConnectionState.OPENING)
    with pytest.raises(ValueError, match="cannot go from opening to draining"):
        table.move(entry, ConnectionState.DRAINING)
    table.move(entry, ConnectionState.CLOSED)
    assert len(table) == 0 and table.count("n", ConnectionState.OPENING) == 0
