"""The client for upstreams: a connection pool, and attempts sent over HTTP/1.1.

``connection_table``, ``circuit_breaker``, ``backoff``, ``idle_resets`` and ``response_parser`` do no I/O.
``connection`` owns one descriptor, with ``socket_reader`` and ``socket_writer``; ``upstream_exchange`` is the
protocol spoken on it. ``connection_pool`` hands connections out, with ``connector``, ``waiter_queue`` and
``dispatcher``. ``client`` is what the process uses, with ``attempt_sender`` and ``health_check``.
``descriptor_audit`` compares the table with the descriptors that the process holds.
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
