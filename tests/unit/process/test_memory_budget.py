"""Tests of how the limits on memory and descriptors are divided."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from indigokeel.config import Config, load_config
from indigokeel.process.connection_budget import ConnectionBudget
from indigokeel.process.memory_budget import MemoryBudget, resident_bytes
from tests.peers import SETTINGS, make_configuration, make_endpoint_list

MB = 1_000_000
RESIDENT_BYTES = 30 * MB


def load(tmp_path: Path, sockets: int, memory_mb: int, **env: str) -> Config:
    path = tmp_path / "config.json"
    known = make_endpoint_list()
    path.write_text(json.dumps(make_configuration(("127.0.0.1", 1), 2, sockets, known, SETTINGS, memory_mb)))
    return load_config({"BALANCER_CONFIG": str(path), **env})


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "connections"),
    [
        (1024, 192, 992),
        (1024, 96, 992),
        (512, 96, 480),
        (4096, 96, 1290),
        (4096, 2048, 4064),
        (1024, 40, 100),
    ],
)
def test_connections_and_what_they_hold_fit_into_the_memory(
    tmp_path: Path, sockets: int, memory_mb: int, connections: int
) -> None:
    config = load(tmp_path, sockets, memory_mb)
    memory = MemoryBudget.plan(config, RESIDENT_BYTES)
    budget = ConnectionBudget.plan(config, None, memory)
    held_bytes = memory.held_bytes(budget.clients + budget.upstreams)
    assert budget.clients + budget.upstreams == connections
    if memory_mb > 40:  # else less is left than the least that the process is given
        assert RESIDENT_BYTES + 10_000 * connections + 1.25 * held_bytes <= 0.85 * memory_mb * MB


def test_processes_that_replace_each_other_share_the_memory(tmp_path: Path) -> None:
    alone = MemoryBudget.plan(load(tmp_path, 1024, 192), 0)
    together = MemoryBudget.plan(load(tmp_path, 1024, 192, BALANCER_LISTEN_FD="7"), 0)
    assert together.available_bytes == alone.available_bytes // 2


def test_resident_memory_is_read_from_the_system() -> None:
    assert 5 * MB < resident_bytes() < 10_000 * MB
