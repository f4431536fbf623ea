"""The names under which load reports bring their figures."""

from __future__ import annotations

# The first name of each pair is that of ``telemetry.columns`` in the settings, the second that of the protocol's
# examples; the value is the field of ``LoadReport``.
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
