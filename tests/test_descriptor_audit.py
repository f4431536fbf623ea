"""The descriptor audit, with real sockets."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from indigokeel.net.upstream import (
    ConnectionState,
    MismatchKind,
)
from tests.pool_harness import PoolHarness, RecordingHandler


@pytest.fixture
def harness() -> Iterator[PoolHarness]:
    """Return a pool harness that is checked and closed after the test."""
    made = PoolHarness()
    yield made
    made.close()


def test_missing_and_leaked_descriptors_are_found_and_repaired(harness: PoolHarness) -> None:
    connection = harness.establish_connection()
    assert isinstance(connection.handler, RecordingHandler)
    recording_handler = connection.handler
    os.close(connection.fd)  # without notice to the connection that owns it
    leaked = socket.create_connection(harness.addresses["up"])
    harness.accept()
    found = harness.run(harness.audit.run_audit)
    assert isinstance(found, list) and [f.kind for f in found] == [MismatchKind.MISSING]
    assert recording_handler.closed_calls == 1 and len(harness.pool.table) == 0
    for _ in range(5):  # no leak yet: an accepted socket that the loop has not handed over looks the same
        assert harness.run(harness.audit.run_audit) == []
    harness.now += 8.0
    found = harness.run(harness.audit.run_audit)
    assert isinstance(found, list) and [f.kind for f in found] == [MismatchKind.LEAKED]
    assert leaked.recv(1) == b""  # shut down, so that an owner sees the end of the stream
    assert [level for level, _ in harness.logged] == ["error", "error"]
    assert (harness.counts["descriptor_audit_missing"], harness.counts["descriptor_audit_leaked"]) == (1, 1)
    leaked.close()
    assert harness.run(harness.audit.run_audit) == []


def test_connection_omitted_from_the_descriptor_list_is_not_missing(
    harness: PoolHarness, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    connections = [harness.establish_connection() for _ in range(3)]
    # An empty list.
    monkeypatch.setattr("indigokeel.net.upstream.descriptor_audit._DESCRIPTOR_DIRECTORY", str(tmp_path))
    assert harness.run(harness.audit.run_audit) == []
    assert [connection.state for connection in connections] == [ConnectionState.IN_USE] * 3 and len(
        harness.pool.table
    ) == 3
    os.close(connections[1].fd)  # one that is really missing is still found
    found = harness.run(harness.audit.run_audit)
    assert isinstance(found, list) and [f.kind for f in found] == [MismatchKind.MISSING]


def test_listener_that_other_processes_may_share_is_not_shut_down(harness: PoolHarness) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        for _ in range(5):
            harness.run(harness.audit.run_audit)
        harness.now += 8.0
        found = harness.run(harness.audit.run_audit)
        assert isinstance(found, list) and [f.kind for f in found] == [MismatchKind.LEAKED]
        with socket.create_connection(listener.getsockname(), timeout=5.0):
            listener.accept()[0].close()
