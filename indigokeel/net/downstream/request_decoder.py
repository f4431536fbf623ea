"""Decodes the head of a client's HTTP message into a request. No I/O."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Callable, Mapping
from typing import NamedTuple

from indigokeel.balancing.settings import ClassSettings, Idempotency, Settings
from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.http import RequestError
from indigokeel.net.messages import OutboundRequest
from indigokeel.requests.effects import Request

_METHODS = (b"GET", b"POST")
_MAX_REQUEST_ID_CHARS = 200
_MAX_TIMEOUT_DIGITS = 9
_MAX_BUDGET_S = 3600.0
_MAX_WORK_HINT_S = 3600.0
_MAX_PLAIN_LENGTH_CHARS = 8

# A complete head in its simplest form, which an overloaded sidecar can reject without the full parser.
_PLAIN_HEAD = re.compile(rb"(?:GET|POST) [^ \r\n]+ HTTP/1\.1\r\n(?:[!-9;-~]+:[^\r\n]*\r\n)+\r\n")
_FRAMING_HEADER = re.compile(rb"\r\n(?:transfer-encoding|connection|expect|upgrade):", re.IGNORECASE)
_CLASS_HEADER = re.compile(rb"\r\nrequest-class: *([^\r\n]+)\r", re.IGNORECASE)
_TIMEOUT_HEADER = re.compile(rb"\r\nrequest-timeout-ms: *(\d{1,9})\r", re.IGNORECASE)
_LENGTH_HEADER = re.compile(rb"\r\ncontent-length:([^\r]*)(?=\r)", re.IGNORECASE)

Headers = Mapping[bytes, bytes]  # names in lower case


class PlainRequest(NamedTuple):
    """The fields of an unparsed request that load shedding decides on."""

    class_name: str
    budget_s: float


def scan_plain_request(data: bytes) -> PlainRequest | None:
    """Scan bytes that are exactly one complete request in plain form; return None for anything else.

    None does not mean that the message is invalid: only the parser decides that.
    """
    head = _PLAIN_HEAD.match(data)
    if head is None or _FRAMING_HEADER.search(data, 0, head.end()):
        return None
    end = head.end()
    class_name = _CLASS_HEADER.search(data, 0, end)
    timeout = _TIMEOUT_HEADER.search(data, 0, end)
    body_length = _plain_body_length(_LENGTH_HEADER.findall(data, 0, end))
    if class_name is None or timeout is None or body_length is None or len(data) != end + body_length:
        return None
    return PlainRequest(class_name[1].decode("latin-1"), int(timeout[1]) / 1000.0)


def _plain_body_length(values: list[bytes]) -> int | None:
    """Return the body's length in bytes by Content-Length, or None unless it is a single short number."""
    if not values:
        return 0
    if len(values) > 1 or not values[0].strip().isdigit() or len(values[0]) > _MAX_PLAIN_LENGTH_CHARS:
        return None
    return int(values[0])


def read_request(
    method: bytes, target: bytes, headers: Headers, settings_for: Callable[[str], Settings]
) -> ReceivedRequest:
    """Decode a message's head. Raises RequestError if the request cannot be served.

    ``settings_for`` returns the settings for a request of a class, by its name.
    """
    if method not in _METHODS:
        raise RequestError(405, "the method is neither GET nor POST")
    class_name = _read_class_name(headers)
    settings = settings_for(class_name)
    class_settings = settings.find_class(class_name)
    if class_settings is None:
        raise RequestError(400, "Request-Class is missing or not known")
    path = _read_path(target, class_settings.name)
    request_id = _read_request_id(headers)
    budget_s = _read_budget(headers)
    idempotency_key = _read_idempotency_key(headers, class_settings)
    info = _read_request_info(headers)
    request = Request(
        id=request_id,
        class_name=class_settings.name,
        budget=budget_s,
        tenant=headers.get(b"tenant", b"").decode("latin-1"),
        key=path[-1] if len(path) > 2 else "",
        hint=_read_work_hint(headers, info),
        settings=settings,
    )
    has_body = b"content-length" in headers or b"transfer-encoding" in headers
    unsafe = class_settings.idempotency is Idempotency.UNSAFE
    outbound = OutboundRequest(method, target, headers[b"request-id"], idempotency_key, [], has_body, unsafe)
    return ReceivedRequest(request, outbound)


def _read_class_name(headers: Headers) -> str:
    """Return the name of the request's class."""
    return headers.get(b"request-class", b"").decode("latin-1")


def _read_path(target: bytes, class_name: str) -> list[str]:
    """Return the path's segments, including the empty one before the first slash."""
    segments = target.split(b"?", 1)[0].decode("latin-1").split("/")
    if len(segments) < 2 or segments[1] != class_name:
        raise RequestError(404, "the path does not begin with the class")
    return segments


def _read_request_id(headers: Headers) -> str:
    """Return the request's id."""
    request_id = headers.get(b"request-id", b"").decode("latin-1")
    if not request_id or len(request_id) > _MAX_REQUEST_ID_CHARS or not request_id.isprintable():
        raise RequestError(400, "Request-Id is missing or bad")
    return request_id


def _read_budget(headers: Headers) -> float:
    """Return the seconds for which the client waits for its response."""
    timeout_ms = headers.get(b"request-timeout-ms", b"")
    if not timeout_ms.isdigit() or len(timeout_ms) > _MAX_TIMEOUT_DIGITS or int(timeout_ms) == 0:
        raise RequestError(400, "Request-Timeout-Ms is missing or bad")
    return min(int(timeout_ms) / 1000.0, _MAX_BUDGET_S)


def _read_idempotency_key(headers: Headers, class_settings: ClassSettings) -> bytes | None:
    """Return the idempotency key, which is mandatory in classes that are idempotent by key."""
    key = headers.get(b"idempotency-key")
    if class_settings.idempotency is Idempotency.KEYED and not key:
        raise RequestError(400, "Idempotency-Key is missing")
    return key


def _read_request_info(headers: Headers) -> dict[str, str]:
    """Return the pairs of ``Request-Info: name=value,...``."""
    if b"request-info" not in headers:
        return {}
    pairs = headers[b"request-info"].decode("latin-1").split(",")
    return dict(pair.strip().split("=", 1) for pair in pairs if "=" in pair)


def _read_work_hint(headers: Headers, info: dict[str, str]) -> float:
    """Return the seconds of work that the client expects, or 0.0 without a valid figure."""
    if not info and b"work-hint" not in headers:
        return 0.0
    hint_s = 0.0
    with contextlib.suppress(ValueError):
        hint_s = float(headers.get(b"work-hint", b"").decode("latin-1") or info.get("hint-s") or 0.0)
    return hint_s if 0.0 <= hint_s < _MAX_WORK_HINT_S else 0.0
