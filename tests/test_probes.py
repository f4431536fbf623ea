"""Reports by probe only, on the real program: an upstream tells what it holds, and gets no more than it can
do."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from tests.peers import SETTINGS, Message, echo, entry, ok, parse_endpoint_list, request, running, until
from tests.test_endings import Held

PROBED: dict[str, Any] = {
    **SETTINGS,
    "telemetry": {"how": "probe", "columns": ["rif", "busy", "lat_ms", "rate"]},
    "limits": {**SETTINGS["limits"], "probes": True},
}


class Telling:
    """An upstream's script: its load, as it is told to tell it, or what a request brought."""

    def __init__(self, load: bytes) -> None:
        self.load, self.health_checks = load, 0

    def __call__(self, message: Message) -> bytes:
        if "/_load" not in message.line:
            return echo(message)
        self.health_checks += 1
        return ok(self.load)


def test_node_that_tells_that_it_holds_too_many_gets_no_more_until_it_tells_otherwise(tmp_path: Path) -> None:
    upstream = Telling(b"inflight=500,util=1.0,latency_ms=80,qps=20")
    with running(tmp_path, upstream, settings=PROBED) as (program, (peer,), _):
        until(lambda: program.ask(request("pay", b"x"))[0] == 503)
        assert upstream.health_checks > 0 and program.counters()["upstream_health_check_ok"] > 0
        upstream.load = b"inflight=0,util=0.1,latency_ms=80,qps=20"
        until(lambda: program.ask(request("pay", b"y"))[0] == 200)
        counters = program.counters()
        assert (
            counters["requests_unanswered"] == 0
            and counters.get("upstream_health_checks_without_report", 0) == 0
        )


def test_probes_without_figures_cost_no_request(tmp_path: Path) -> None:
    upstream = Telling(b"")
    with running(tmp_path, upstream, settings=PROBED) as (program, _, _d):
        for number in range(40):
            assert program.ask(request("pay", b"%d" % number))[0] == 200
        until(lambda: program.counters().get("upstream_health_checks_without_report", 0) >= 8)


def test_probe_that_is_out_while_its_node_drains_and_goes_costs_nothing(tmp_path: Path) -> None:
    """One of two upstreams answers nothing, neither probes nor requests, while it drains and is gone."""
    held, other = Held(Telling(b"inflight=0")), Telling(b"inflight=0")
    with running(tmp_path, held, other, settings=PROBED) as (program, _, discovery):
        until(lambda: bool(discovery.watches))
        conns = [program.connect() for _ in range(8)]
        for conn in conns:
            conn.sendall(request("pay", b"x", wait_ms=60_000))
        until(lambda: any("/_load" in message.line for message in held.got))
        for index, state in ((2, "Terminating"), (3, "Gone")):
            entries = parse_endpoint_list(entry("s-0", held.port, state), index=index, whole=False)
            discovery.push(json.dumps(entries).encode())
            until(lambda: program.counters().get("endpoint_lists", 0) == index - 1)  # noqa: B023
            for number in range(12):
                assert program.ask(request("pay", b"%d" % number))[1].body == b"%d" % number
            # What it reads late was written before: probes, and the requests of before the drain.
            assert {message.body for message in held.got} <= {b"", b"x"}
        held.let.set()
        until(lambda: program.counters()["requests_unanswered"] == 0)
        assert program.counters().get("task_faults", 0) == 0
        for conn in conns:
            conn.close()
