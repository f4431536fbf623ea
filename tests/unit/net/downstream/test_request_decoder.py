"""The decoder of a client message's head into a request."""

from __future__ import annotations

from typing import Any

import pytest

from indigokeel.config import decode_settings
from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.downstream.request_decoder import read_request
from indigokeel.net.http import RequestError
from tests.peers import SETTINGS

VALID_HEADERS = {
    "Request-Id": "a1",
    "Request-Class": "order",
    "Request-Timeout-Ms": "480",
    "Idempotency-Key": "k",
}


def read(target: str, method: str = "POST", **header_changes: str | None) -> ReceivedRequest:
    headers = {**VALID_HEADERS, **{name.replace("_", "-"): value for name, value in header_changes.items()}}
    pairs = {n.lower().encode(): value.encode() for n, value in headers.items() if value is not None}
    return read_request(method.encode(), target.encode(), pairs, lambda name: decode_settings(SETTINGS))


def test_request_is_decoded() -> None:
    received = read("/order/x/7f?a=/b", Tenant="t", Client_Retry="1", Request_Info="a=1,mutates=1,odd")
    request, outbound = received.request, received.outbound
    assert (request.id, request.class_name, request.budget, request.tenant, request.key) == (
        "a1",
        "order",
        0.48,
        "t",
        "7f",
    )
    assert request.hint == 0.0
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
def test_invalid_request_is_rejected(target: str, changes: dict[str, Any], status: int) -> None:
    with pytest.raises(RequestError) as raised:
        read(target, **changes)
    assert raised.value.status == status
