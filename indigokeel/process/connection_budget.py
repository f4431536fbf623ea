"""How many connections the process may have, derived from its limit on descriptors."""

from __future__ import annotations

from dataclasses import dataclass

from indigokeel.config import Config
from indigokeel.net.admin import MAX_CONNECTIONS as MAX_ADMIN_CONNECTIONS
from indigokeel.process.memory_budget import MemoryBudget

# Descriptors reserved for the log, discovery, the event loop and the system.
_RESERVED_DESCRIPTORS = 32
# The part of the others that is for clients, whose number varies more; the rest is for upstreams.
_CLIENT_FRACTION = 0.55
_MIN_CONNECTIONS = 8  # minimum for clients and for upstreams, each


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """The descriptors of the process, and how many of them are for clients and for upstreams."""

    descriptors: int
    clients: int
    upstreams: int

    @classmethod
    def plan(cls, config: Config, system_limit: int | None, memory: MemoryBudget) -> ConnectionBudget:
        """Divide the descriptors; ``system_limit`` is the limit that the system sets, or None.

        There are at most as many connections as there is ``memory`` for.
        """
        descriptors = (
            config.max_descriptors if system_limit is None else min(config.max_descriptors, system_limit)
        )
        if config.listen_fd >= 0:  # the next process may run at the same time, under the same limit
            descriptors //= 2
        if config.admin_address is not None:
            descriptors -= MAX_ADMIN_CONNECTIONS
        available = min(descriptors - _RESERVED_DESCRIPTORS, memory.connections)
        clients = max(int(available * _CLIENT_FRACTION), _MIN_CONNECTIONS)
        return cls(descriptors, clients, max(available - clients, _MIN_CONNECTIONS))
