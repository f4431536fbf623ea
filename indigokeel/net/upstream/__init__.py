"""The upstream side: connections, their pool, and attempts carried over HTTP/1.1.

``connection_table``, ``circuit_breaker``, ``backoff`` and ``idle_resets`` decide and do no I/O;
``connection`` holds one descriptor; ``connection_pool`` ties them together; ``descriptor_audit`` compares the
table with the descriptors that the process really holds; ``client`` carries attempts."""

from indigokeel.net.upstream.connection import ConnectionHandler, UpstreamConnection
from indigokeel.net.upstream.connection_pool import ConnectFailure, ConnectionPool, ConnectionWaiter
from indigokeel.net.upstream.connection_table import ConnectionLimits, ConnectionState
from indigokeel.net.upstream.descriptor_audit import DescriptorLeakDetector, DescriptorMismatch
from indigokeel.net.upstream.idle_resets import IdleResetEstimator

__all__ = [
    "ConnectFailure",
    "ConnectionHandler",
    "ConnectionLimits",
    "ConnectionPool",
    "ConnectionState",
    "ConnectionWaiter",
    "DescriptorLeakDetector",
    "DescriptorMismatch",
    "IdleResetEstimator",
    "UpstreamConnection",
]
