"""How many connections the process may hold, by the descriptors that it is allowed."""

from __future__ import annotations

from dataclasses import dataclass

from indigokeel.config import Config
from indigokeel.net.admin import MAX_CONNECTIONS as MAX_ADMIN_CONNECTIONS

# Descriptors kept for the log, discovery, the event loop and the system.
_RESERVED_DESCRIPTORS = 32
# Of the others, for clients, whose number varies more; the rest is for upstreams.
_CLIENT_RATIO = 0.55
_MIN_CONNECTIONS = 8  # of each side


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """The descriptors of the process, and the connections to clients and to upstreams among them."""

    descriptors: int
    clients: int
    upstreams: int

    @classmethod
    def plan(cls, config: Config, system_limit: int | None) -> ConnectionBudget:
        """Divide the descriptors; ``system_limit`` is the system's limit on them, None for no limit."""
        descriptors = config.sockets if system_limit is None else min(config.sockets, system_limit)
        if config.listen_fd >= 0:  # the next process may run beside this one, within the same limits
            descriptors //= 2
        if config.mgmt is not None:
            descriptors -= MAX_ADMIN_CONNECTIONS
        available = descriptors - _RESERVED_DESCRIPTORS
        clients = max(int(available * _CLIENT_RATIO), _MIN_CONNECTIONS)
        return cls(descriptors, clients, max(available - clients, _MIN_CONNECTIONS))
