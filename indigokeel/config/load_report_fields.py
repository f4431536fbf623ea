"""The names under which load reports bring their figures."""

from __future__ import annotations

# Each pair holds the name in ``telemetry.columns`` of the settings and that of the protocol's examples; the
# value is the field of ``LoadReport``.
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
