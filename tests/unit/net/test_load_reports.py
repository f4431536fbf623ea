"""Tests of parsing the load reports that upstreams attach to responses."""

from __future__ import annotations

import pytest

from indigokeel.balancing.events import LoadReport
from indigokeel.net.http import parse_load_report


@pytest.mark.parametrize(
    ("text", "figures"),
    [
        (None, None),
        ("", None),
        ("inflight=7,queue=2,util=0.61", {"in_flight": 7.0, "queued": 2.0, "utilisation": 0.61}),
        ("qps=-1,util=0.5", {"utilisation": 0.5}),
        ("busy=0.920,rate=4.357", {"utilisation": 0.92, "rate": 4.357}),  # names of telemetry.columns
        (
            "rif=7,q=2,lat_ms=20,fail_rate=0.5",
            {"in_flight": 7.0, "queued": 2.0, "latency": 0.02, "error_rate": 0.5},
        ),
        ("util=x, qps=3 ,odd=1,=,latency_ms=20", {"rate": 3.0, "latency": 0.02}),
        ("util=nan,qps=inf", None),
        ("util=1e9,qps=1e300", None),
        ("util=7,qps=12", {"rate": 12.0}),
    ],
)
def test_load_report_is_parsed(text: str | None, figures: dict[str, float] | None) -> None:
    assert parse_load_report(text) == (LoadReport(**figures) if figures else None)
