"""The queue of bytes and requests of a client connection."""

from __future__ import annotations

import pytest

from indigokeel.net.downstream.pipeline import Pipeline


@pytest.mark.parametrize("sizes", [[10, 5000, 1], [3000] * 4])
def test_bytes_that_wait_are_handed_out_once_in_order(sizes: list[int]) -> None:
    pipeline, sent, got = Pipeline(), b"", b""
    for number, size in enumerate(sizes):
        data = bytes([number]) * size
        pipeline.append_bytes(data, 0.0)
        sent += data
        got += bytes(pipeline.next_slice(number))
    while pipeline.has_unparsed_bytes():
        got += bytes(pipeline.next_slice(0))
    assert got == sent and pipeline.is_empty()
