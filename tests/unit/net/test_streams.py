"""Flow control of long bodies in transit."""

from __future__ import annotations

import pytest

from indigokeel.net.streams import RequestStream, ResponseStream


class StreamEnds:
    """Both ends: a source that can be told to wait, a sink that can be full, a reader."""

    def __init__(self) -> None:
        self.paused, self.full, self.written, self.ended = False, False, b"", ""
        self.gone = False  # the client

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False

    def has_disconnected(self) -> bool:
        return self.gone

    def is_writable(self) -> bool:
        return not self.full

    def write(self, pieces: list[bytes]) -> None:
        self.written += b"".join(pieces)

    def body(self, pieces: list[bytes]) -> None:
        self.write(pieces)

    def body_ended(self, whole: bool) -> None:
        self.ended = "whole" if whole else "broken"


def test_request_stream_pauses_its_source_while_its_sink_is_full() -> None:
    source, sink = StreamEnds(), StreamEnds()
    request_stream = RequestStream(source, -1, [b"ab"])
    request_stream.attach(sink)
    sink.full = True
    request_stream.add(b"x" * (64 * 1024))
    assert sink.written == b"2\r\nab\r\n" and not source.paused
    request_stream.add(b"y")
    assert source.paused
    sink.full = False
    request_stream.flush()
    assert not source.paused and not request_stream.is_fully_written
    request_stream.end()
    assert request_stream.is_fully_written and sink.written.endswith(b"y\r\n0\r\n\r\n")


def test_discarded_request_stream_drops_what_follows() -> None:
    source = StreamEnds()
    request_stream = RequestStream(source, 1 << 20, [])
    request_stream.add(b"x" * 70_000)
    assert source.paused
    request_stream.discard()
    assert not source.paused
    request_stream.add(b"x" * 70_000)
    assert not source.paused and request_stream.buffered() == []


@pytest.mark.parametrize("length", [4, -1])
def test_last_byte_is_not_written_after_the_client_has_disconnected(length: int) -> None:
    source, sink = StreamEnds(), StreamEnds()
    request_stream = RequestStream(source, length, [b"ab"])
    request_stream.attach(sink)
    before, source.gone = sink.written, True
    request_stream.add(b"c")
    request_stream.add(b"d")
    request_stream.end()
    written = sink.written[len(before) :]
    assert not request_stream.is_fully_written and written == (
        b"c" if length > 0 else b"1\r\nc\r\n1\r\nd\r\n"
    )


def test_ended_response_stream_leaves_its_source_reading() -> None:
    source, reader = StreamEnds(), StreamEnds()
    stream = ResponseStream(source, 5)
    stream.attach(reader)
    stream.feed([b"he", b"llo"])
    stream.pause()
    assert source.paused
    stream.end(True)
    stream.pause()
    assert not source.paused and (reader.written, reader.ended) == (b"hello", "whole")
