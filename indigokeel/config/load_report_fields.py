"""The names of the figures of a load report."""

from __future__ import annotations

# Each field of ``LoadReport`` has two names: first the one in ``telemetry.columns`` of the settings, then the
# one in the examples of the protocol.
LOAD_REPORT_FIELDS = {
    "busy": "utilisation",
    "util": "utilisation",
    "rate": "rate",
    "qps": "rate",
    "rif": "in_flight",
    "inflight": "in_flight",
    "q": "queued",
    "queue": "queued",
    "lat_ms": "latency",
    "latency_ms": "latency",
    "fail_rate": "error_rate",
    "eps": "error_rate",
}
