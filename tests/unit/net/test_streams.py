"""Tests of the flow control of long bodies."""

from __future__ import annotations

import pytest

from indigokeel.net.streams import RequestStream, ResponseStream


class StreamEnds:
    """A fake source, sink and reader of a stream."""

    def __init__(self) -> None:
        self.is_paused = False
        self.is_full = False
        self.is_disconnected = False
        self.written = b""
        self.ended = ""

    def pause(self) -> None:
        """Stop reading (Source)."""
        self.is_paused = True

    def resume(self) -> None:
        """Start reading again (Source)."""
        self.is_paused = False

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected (RequestStreamSource)."""
        return self.is_disconnected

    def is_writable(self) -> bool:
        """Return whether more can be written, unless ``is_full`` is set (Sink)."""
        return not self.is_full

    def write(self, chunks: list[bytes]) -> None:
        """Record a part of the body (Sink)."""
        self.written += b"".join(chunks)

    def body(self, pieces: list[bytes]) -> None:
        """Record a part of the body (Reader)."""
        self.write(pieces)

    def body_ended(self, is_complete: bool) -> None:
        """Record how the body ended (Reader)."""
        self.ended = "complete" if is_complete else "truncated"


def test_request_stream_pauses_its_source_while_its_sink_is_full() -> None:
    source, sink = StreamEnds(), StreamEnds()
    request_stream = RequestStream(source, -1, [b"ab"])
    request_stream.attach(sink)
    sink.is_full = True
    request_stream.add(b"x" * (64 * 1024))
    assert sink.written == b"2\r\nab\r\n" and not source.is_paused
    request_stream.add(b"y")
    assert source.is_paused
    sink.is_full = False
    request_stream.flush()
    assert not source.is_paused and not request_stream.is_fully_written
    request_stream.end()
    assert request_stream.is_fully_written and sink.written.endswith(b"y\r\n0\r\n\r\n")


def test_discarded_request_stream_drops_later_data() -> None:
    source = StreamEnds()
    request_stream = RequestStream(source, 1 << 20, [])
    request_stream.add(b"x" * 70_000)
    assert source.is_paused
    request_stream.discard()
    assert not source.is_paused
    request_stream.add(b"x" * 70_000)
    assert not source.is_paused and request_stream.buffered() == []


@pytest.mark.parametrize("length", [4, -1])
def test_last_byte_is_not_written_after_the_client_has_disconnected(length: int) -> None:
    source, sink = StreamEnds(), StreamEnds()
    request_stream = RequestStream(source, length, [b"ab"])
    request_stream.attach(sink)
    before = sink.written
    source.is_disconnected = True
    request_stream.add(b"c")
    request_stream.add(b"d")
    request_stream.end()
    written = sink.written[len(before) :]
    assert not request_stream.is_fully_written and written == (
        b"c" if length > 0 else b"1\r\nc\r\n1\r\nd\r\n"
    )


def test_ended_response_stream_resumes_its_source() -> None:
    source, reader = StreamEnds(), StreamEnds()
    stream = ResponseStream(source, 5)
    stream.attach(reader)
    stream.feed([b"he", b"llo"])
    stream.pause()
    assert source.is_paused
    stream.end(True)
    stream.pause()
    assert not source.is_paused and (reader.written, reader.ended) == (b"hello", "complete")
