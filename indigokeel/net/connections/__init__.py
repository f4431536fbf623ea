"""Connections to execute nodes, for any protocol: one owner for every descriptor, and books that are true.

``books``, ``circuit``, ``backoff`` and ``risk`` decide and do no I/O; ``link`` holds one descriptor;
``manager`` ties them together; ``audit`` compares the books with what the process really holds.
"""

from indigokeel.net.connections.audit import Audit, Finding
from indigokeel.net.connections.books import Bounds, State
from indigokeel.net.connections.link import Conversation, Link
from indigokeel.net.connections.manager import Connections, NoConnection, Ticket
from indigokeel.net.connections.risk import IdleRisk

__all__ = [
    "Audit",
    "Bounds",
    "Connections",
    "Conversation",
    "Finding",
    "IdleRisk",
    "Link",
    "NoConnection",
    "State",
    "Ticket",
]
