"""The pipeline: the queued bytes and requests of a client connection."""

from __future__ import annotations

import pytest

from indigokeel.net.downstream.pipeline import Pipeline


@pytest.mark.parametrize("sizes", [[10, 5000, 1], [3000] * 4])
def test_queued_bytes_are_returned_once_in_order(sizes: list[int]) -> None:
    pipeline, sent, received = Pipeline(), b"", b""
    for number, size in enumerate(sizes):
        data = bytes([number]) * size
        pipeline.append_bytes(data, 0.0, 0.0)
        sent += data
        received += bytes(pipeline.next_slice(number))
    while pipeline.has_unparsed_bytes():
        received += bytes(pipeline.next_slice(0))
    assert received == sent and pipeline.is_empty()
