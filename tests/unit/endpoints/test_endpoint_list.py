"""Tests of decoding endpoint lists and addresses."""

from __future__ import annotations

import json

import pytest

from indigokeel.balancing.events import EndpointState
from indigokeel.endpoints.endpoint_list import EndpointListError, decode, parse_address
from tests.peers import entry, make_endpoint_list


@pytest.mark.parametrize("text", ["", "a", "a:", ":1", "a:0", "a:65536", "a:x", "a:٣"])
def test_invalid_address_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="not an address"):
        parse_address(text)


@pytest.mark.parametrize(("text", "address"), [("a:1", ("a", 1)), ("[::1]:30", ("::1", 30))])
def test_address_is_split(text: str, address: tuple[str, int]) -> None:
    assert parse_address(text) == address


def test_endpoint_list_is_decoded() -> None:
    removed = {"name": "s-2", "status": "Gone"}
    data = make_endpoint_list(entry("s-1", 30, "Terminating", 3, 1500), removed, index=7, snapshot=False)
    decoded = decode(json.dumps(data).encode())
    first, second = decoded.endpoints
    assert (decoded.version, decoded.is_snapshot) == (7, False)
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
def test_malformed_endpoint_list_is_rejected(text: str) -> None:
    with pytest.raises(EndpointListError):
        decode(text.encode())
