"""The upstream client: a connection pool and HTTP/1.1 exchanges that carry attempts and health checks.

``client`` is the interface for the rest of the process; it uses ``attempt_sender`` and ``health_check``.
``connection_pool`` hands out connections; it uses ``connector``, ``waiter_queue`` and ``dispatcher``.
``connection`` owns one socket, read by ``socket_reader`` and written by ``socket_writer``, and
``upstream_exchange`` implements HTTP/1.1 on it. ``connection_table``, ``circuit_breaker``, ``backoff``,
``idle_resets`` and ``response_parser`` do no I/O. ``descriptor_audit`` compares the connection table with the
open descriptors of the process.
"""

from indigokeel.net.upstream.connection import CloseReason, ConnectionHandler, UpstreamConnection
from indigokeel.net.upstream.connection_pool import ConnectionPool, PoolOptions
from indigokeel.net.upstream.connection_table import ConnectionLimits, ConnectionState
from indigokeel.net.upstream.descriptor_audit import (
    DescriptorLeakDetector,
    DescriptorMismatch,
    MismatchKind,
)
from indigokeel.net.upstream.idle_resets import IdleResetEstimator
from indigokeel.net.upstream.telemetry import Telemetry
from indigokeel.net.upstream.waiter_queue import ConnectFailure, ConnectionWaiter

__all__ = [
    "CloseReason",
    "ConnectFailure",
    "ConnectionHandler",
    "ConnectionLimits",
    "ConnectionPool",
    "ConnectionState",
    "ConnectionWaiter",
    "DescriptorLeakDetector",
    "DescriptorMismatch",
    "IdleResetEstimator",
    "MismatchKind",
    "PoolOptions",
    "Telemetry",
    "UpstreamConnection",
]
