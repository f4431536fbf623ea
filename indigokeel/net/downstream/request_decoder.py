"""A client's message, read as a request. No I/O."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Mapping

from indigokeel.balancing.settings import Idempotency, Settings
from indigokeel.net.http import RequestError
from indigokeel.net.messages import OutboundRequest
from indigokeel.requests.effects import Request

_LONGEST = 3600.0  # s that a client may be willing to wait

# A plain message, for a sidecar that is behind: its head from end to end, and what is read off it unparsed.
_PLAIN = re.compile(rb"(?:GET|POST) [^ \r\n]+ HTTP/1\.1\r\n(?:[!-9;-~]+:[^\r\n]*\r\n)+\r\n")
_FRAMED = re.compile(rb"\r\n(?:transfer-encoding|connection|expect|upgrade):", re.IGNORECASE)
_CLASS = re.compile(rb"\r\nrequest-class: *([^\r\n]+)\r", re.IGNORECASE)
_WAIT = re.compile(rb"\r\nrequest-timeout-ms: *(\d{1,9})\r", re.IGNORECASE)
_LENGTH = re.compile(rb"\r\ncontent-length:([^\r]*)(?=\r)", re.IGNORECASE)

Headers = Mapping[bytes, bytes]  # names in lower case


def read_plain(data: bytes) -> tuple[str, float] | None:
    """The class of a whole and plain message and the seconds that its sender waits, or None where it is not
    plain: then it is for the parser to say what it is."""
    plain = _PLAIN.match(data)
    if plain is None or _FRAMED.search(data, 0, plain.end()):
        return None
    head = plain.end()
    name, wait, length = _CLASS.search(data, 0, head), _WAIT.search(data, 0, head), 0
    lengths = _LENGTH.findall(data, 0, head)
    if lengths:
        if not lengths[0].strip().isdigit() or len(lengths[0]) > 8:
            return None
        length = int(lengths[0])
    if name is None or wait is None or len(lengths) > 1 or len(data) != head + length:
        return None
    return name[1].decode("latin-1"), int(wait[1]) / 1000.0


def read_request(
    method: bytes, target: bytes, headers: Headers, settings: Settings
) -> tuple[Request, OutboundRequest]:
    """Turn a message's head into a request and what of it goes on; raises MalformedError."""

    get = headers.get
    if method not in (b"GET", b"POST"):
        raise RequestError(405, "the method is neither GET nor POST")
    name = get(b"request-class", b"").decode("latin-1")
    for cls in settings.classes:
        if cls.name == name:
            break
    else:
        raise RequestError(400, "Request-Class is missing or not known")
    parts = target.split(b"?", 1)[0].decode("latin-1").split("/")
    if len(parts) < 2 or parts[1] != name:
        raise RequestError(404, "the path does not begin with the class")
    request_id = get(b"request-id", b"").decode("latin-1")
    if not request_id or len(request_id) > 200 or not request_id.isprintable():
        raise RequestError(400, "Request-Id is missing or bad")
    wait = get(b"request-timeout-ms", b"")
    if not wait.isdigit() or len(wait) > 9 or int(wait) == 0:
        raise RequestError(400, "Request-Timeout-Ms is missing or bad")
    key = headers.get(b"idempotency-key")
    if cls.idempotency is Idempotency.KEYED and not key:
        raise RequestError(400, "Idempotency-Key is missing")
    extras = {}
    if b"request-info" in headers:
        pairs = headers[b"request-info"].decode("latin-1").split(",")
        extras = dict(pair.strip().split("=", 1) for pair in pairs if "=" in pair)
    hint = 0.0
    if extras or b"work-hint" in headers:
        with contextlib.suppress(ValueError):
            hint = float(get(b"work-hint", b"").decode("latin-1") or extras.get("hint-s") or 0.0)
    request = Request(
        id=request_id,
        class_name=name,
        budget=min(int(wait) / 1000.0, _LONGEST),
        tenant=get(b"tenant", b"").decode("latin-1"),
        key=parts[-1] if len(parts) > 2 else "",
        hint=hint if 0.0 <= hint < _LONGEST else 0.0,
        repeat=headers.get(b"client-retry") == b"1",
        write=extras.get("mutates") == "1",
    )
    framed = b"content-length" in headers or b"transfer-encoding" in headers
    unsafe = cls.idempotency is Idempotency.UNSAFE
    return request, OutboundRequest(method, target, headers[b"request-id"], key, [], framed, unsafe)
