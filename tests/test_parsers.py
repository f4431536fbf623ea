"""Tables of cases for what is decoded: endpoint lists, addresses, configuration, load reports, requests."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from indigokeel.balancing.events import EndpointState
from indigokeel.balancing.settings import ClassSettings, Idempotency, Limits, LoadReportSource, Settings
from indigokeel.config import ConfigError, decode_settings, load_config
from indigokeel.endpoints.endpoint_list import EndpointListError, decode, parse_address
from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.downstream.request_decoder import read_request
from indigokeel.net.http import RequestError, load_figures
from tests.peers import SETTINGS, entry, parse_endpoint_list


@pytest.mark.parametrize("text", ["", "a", "a:", ":1", "a:0", "a:65536", "a:x", "a:٣"])
def test_bad_addresses(text: str) -> None:
    with pytest.raises(ValueError, match="not an address"):
        parse_address(text)


@pytest.mark.parametrize(("text", "address"), [("a:1", ("a", 1)), ("[::1]:30", ("::1", 30))])
def test_addresses(text: str, address: tuple[str, int]) -> None:
    assert parse_address(text) == address


def test_machine_list() -> None:
    gone = {"name": "s-2", "status": "Gone"}
    data = parse_endpoint_list(entry("s-1", 30, "Terminating", 3, 1500), gone, index=7, whole=False)
    news = decode(json.dumps(data).encode())
    first, second = news.endpoints
    assert (news.version, news.is_snapshot) == (7, False)
    assert (first.name, first.port, first.replica_group, first.since) == ("s-1", 30, 3, 1.5)
    assert (first.state, second.state) == (EndpointState.DRAINING, EndpointState.GONE)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "null",
        '{"index":1}',
        '{"index":"x","snapshot":true,"endpoints":[]}',
        '{"index":1,"snapshot":true,"endpoints":[1]}',
        '{"index":1,"snapshot":true,"endpoints":null}',
        '{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"b:1","status":"Odd"}]}',
        '{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"b","status":"Ready"}]}',
        '{"index":1,"snapshot":true,"endpoints":[{"name":1,"address":"b:1","status":"Ready"}]}',
        '{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"b:1","status":"Ready","since_ms":"x"}]}',
    ],
)
def test_what_is_no_machine_list(text: str) -> None:
    with pytest.raises(EndpointListError):
        decode(text.encode())


@pytest.mark.parametrize(
    ("text", "figures"),
    [
        (None, None),
        ("", None),
        ("inflight=7,queue=2,util=0.61", {"in_flight": 7.0, "queued": 2.0, "utilisation": 0.61}),
        ("qps=-1,util=0.5", {"utilisation": 0.5}),
        ("busy=0.920,rate=4.357", {"utilisation": 0.92, "rate": 4.357}),  # as telemetry.columns names them
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
def test_load_reports(text: str | None, figures: dict[str, float] | None) -> None:
    assert load_figures(text) == figures


GOOD = {"Request-Id": "a1", "Request-Class": "order", "Request-Timeout-Ms": "480", "Idempotency-Key": "k"}


def read(target: str, method: str = "POST", **changes: str | None) -> ReceivedRequest:
    headers = {**GOOD, **{name.replace("_", "-"): value for name, value in changes.items()}}
    pairs = {n.lower().encode(): value.encode() for n, value in headers.items() if value is not None}
    return read_request(method.encode(), target.encode(), pairs, decode_settings(SETTINGS))


def test_job() -> None:
    received = read("/order/x/7f?a=/b", Tenant="t", Client_Retry="1", Request_Info="a=1,mutates=1,odd")
    request, outbound = received.request, received.outbound
    assert (request.id, request.class_name, request.budget, request.tenant, request.key) == (
        "a1",
        "order",
        0.48,
        "t",
        "7f",
    )
    assert request.repeat and request.write and request.hint == 0.0
    assert (outbound.target, outbound.key, outbound.has_body) == (b"/order/x/7f?a=/b", b"k", False)
    assert read("/order").request.key == "" and read("/order/", Work_Hint="x").request.hint == 0.0


@pytest.mark.parametrize(
    ("target", "changes", "status"),
    [
        ("/order/1", {"Request_Class": None}, 400),
        ("/odd/1", {"Request_Class": "odd"}, 400),
        ("/pay/1", {}, 404),
        ("/", {}, 404),
        ("/order/1", {"Request_Id": None}, 400),
        ("/order/1", {"Request_Id": "x" * 201}, 400),
        ("/order/1", {"Idempotency_Key": None}, 400),
        ("/order/1", {"method": "PUT"}, 405),
        *[
            ("/order/1", {"Request_Timeout_Ms": bad}, 400)
            for bad in (None, "", "0", "-5", "1.5", "x", "9" * 10)
        ],
    ],
)
def test_what_is_no_job(target: str, changes: dict[str, Any], status: int) -> None:
    with pytest.raises(RequestError) as found:
        read(target, **changes)
    assert found.value.status == status


CONFIG = {
    "name": "n3",
    "listen": "127.0.0.1:3000",
    "discovery": "127.0.0.1:85",
    "seed": "ff",
    "known": parse_endpoint_list(),
    "settings": SETTINGS,
}


def test_config(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    config = load_config({"BALANCER_CONFIG": str(path), "BALANCER_LISTEN": "127.0.0.1:4000"})
    assert (config.name, config.listen[1], config.discovery[1], config.seed) == ("n3", 4000, 85, 255)
    assert config.settings.limits.max_attempts == 5 and config.sockets == 1024


@pytest.mark.parametrize(
    ("change", "told"),
    [
        ({"listen": "nowhere"}, "not an address"),
        ({"listen": None}, None),
        ({"seed": "xyz"}, None),
        ({"settings": []}, "not an object"),
        ({"settings": {"classes": 1}}, "wrong shape"),
        ({"settings": {}}, "'classes' is missing"),
        ({"known": {"index": 1}}, "not a machine list"),
        *[
            ({"settings": {**SETTINGS, key: value}}, told)
            for key, value, told in [
                (
                    "classes",
                    [{**SETTINGS["classes"][0], "effect": "odd"}],
                    r"settings\.classes\[0\]\.effect: 'odd'",
                ),
                ("classes", [{"name": "view"}], r"settings\.classes\[0\]: 'objective-s' is missing"),
                ("classes", [{**SETTINGS["classes"][2], "group": 7}], r"settings\.classes\[0\]\.group: '7'"),
                ("limits", {"max-attempts": "many"}, r"settings\.limits\.max-attempts: 'many'"),
                ("limits", 5, r"settings\.limits: not an object"),
                ("safety", {"warm-within-s": "1e999"}, r"settings\.safety\.warm-within-s: '1e999'"),
                ("prices", {"probe": []}, r"settings\.prices\.probe: '\[\]'"),
                ("telemetry", {"how": "pigeon"}, r"settings\.telemetry\.how: 'pigeon'"),
                ("tenants", [{"share": 1}], r"settings\.tenants\[0\]: 'name' is missing"),
                ("me", "x", r"settings\.me: 'x'"),
            ]
        ],
        ({"limits": 3}, None),
    ],
)
def test_bad_config(tmp_path: Path, change: dict[str, Any], told: str | None) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**CONFIG, **change}))
    with pytest.raises(ConfigError, match=told):
        load_config({"BALANCER_CONFIG": str(path)})
    with pytest.raises(ConfigError):
        load_config({})


def test_settings_without_what_can_be_done_without_have_the_defaults() -> None:
    least = {"classes": [{"name": "view", "objective-s": 0.5, "deadline-s": 1.0, "effect": "safe"}]}
    optional = (
        "limits",
        "safety",
        "prices",
        "telemetry",
        "tenants",
        "specifics",
        "membership-mode",
        "weights",
    )
    assert decode_settings(least) == decode_settings({**least, **dict.fromkeys(optional)})
    assert decode_settings(least) == Settings(
        classes=(ClassSettings("view", latency_objective=0.5, deadline=1.0, idempotency=Idempotency.SAFE),),
        limits=Limits(cancellation=False, hedging=False, max_attempts=1),
        load_report_source=LoadReportSource.NONE,
    )
