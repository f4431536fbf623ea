"""Tests of reading a list of discovery that comes in small pieces."""

from __future__ import annotations

import asyncio
import json

import pytest

from indigokeel.net.discovery import _DiscoveryResponse
from tests.peers import entry, make_endpoint_list

ENDPOINTS = 500


async def read_lists(raw: bytes) -> tuple[int, int]:
    """Return the endpoints in a response that has arrived, and the turns of the event loop meanwhile."""
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    counter = asyncio.create_task(count_turns())
    reader = asyncio.StreamReader(limit=len(raw))
    reader.feed_data(raw)
    reader.feed_eof()
    response = _DiscoveryResponse(reader)
    await response.read_head()
    endpoints = [len(update.endpoints) async for update in response.lists()]
    counter.cancel()
    return sum(endpoints), turns


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("chunk_bytes", [1, 1000])
def test_list_in_small_chunks_is_read_in_many_turns_of_the_event_loop(
    indent: int | None, chunk_bytes: int
) -> None:
    members = make_endpoint_list(*(entry(f"s-{number}", 1) for number in range(ENDPOINTS)))
    body = json.dumps(members, indent=indent).encode() + b"\n"
    pieces = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    endpoints, turns = asyncio.run(read_lists(raw))
    assert endpoints == ENDPOINTS and turns >= len(raw) // (16 * 1024)
