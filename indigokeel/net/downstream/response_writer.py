"""Writes responses to one client connection."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from indigokeel.metrics import Counters
from indigokeel.net import http
from indigokeel.net.downstream.client_timeouts import ClientTimeouts
from indigokeel.net.downstream.request_handler import FinalResponse, encode_error
from indigokeel.net.http import RequestError
from indigokeel.net.streams import ResponseStream

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class ResponseWriterHandler(Protocol):
    """Receives the callbacks of the writer, which report the end of a streamed response."""

    def on_response_written(self) -> None:
        """Handle the end of a complete streamed response."""

    def on_response_truncated(self) -> None:
        """Handle a truncated streamed response: the client must see that it is incomplete."""


class ResponseWriter:
    """Write responses; implements ``streams.Reader`` for streamed ones."""

    __slots__ = ("_counters", "_handler", "_stream", "_timeouts", "_transport", "write_paused")

    def __init__(self, handler: ResponseWriterHandler, timeouts: ClientTimeouts, counters: Counters) -> None:
        self._handler = handler
        self._timeouts = timeouts
        self._counters = counters
        self._transport: asyncio.Transport
        self._stream: ResponseStream | None = None
        self.write_paused = False  # the client does not accept more output at present

    def connected(self, transport: asyncio.Transport) -> None:
        """Set the transport to write to."""
        self._transport = transport

    def is_streaming(self) -> bool:
        """Return whether a streamed response is being written."""
        return self._stream is not None

    def write_continue(self) -> None:
        """Write ``100 Continue``: the client may send the body that it holds back."""
        self._transport.write(_CONTINUE)

    def write_health(self, healthy: bool, close: bool) -> None:
        """Write the response to a health check; ``close`` if the connection ends with it."""
        self._transport.write(http.format_response_head(200 if healthy else 503, 0, close=close))

    def write_error(self, error: RequestError, close: bool) -> None:
        """Write the response to a request that cannot be served."""
        self._transport.write(encode_error(error, close=close))

    def write_response(self, final: FinalResponse, close: bool) -> bool:
        """Write a final response, or start it if it is streamed; return whether it is complete."""
        response = final.response
        if response is not None and response.stream is not None:
            self._start_stream(response.stream, close)
            return False
        parts = final.encode(close=close)
        self._transport.write(b"".join(parts) if len(parts) > 1 else parts[0])
        return True

    # --- streamed responses ---------------------------------------------------------------------------

    def _start_stream(self, stream: ResponseStream, close: bool) -> None:
        """Write the head; the body follows as it arrives."""
        self._stream = stream
        self._timeouts.restart(time.monotonic())
        self._transport.write(http.format_response_head(200, stream.length, close=close))
        stream.attach(self)
        if self.write_paused:  # the transport reports only a change
            stream.pause()

    def body(self, chunks: http.Body) -> None:
        """Write a part of the streamed body."""
        assert self._stream is not None
        self._timeouts.restart(time.monotonic())
        self._transport.write(
            b"".join(http.encode_chunk(chunks, False) if self._stream.length < 0 else chunks)
        )

    def body_ended(self, is_complete: bool) -> None:
        """End the streamed response, which is incomplete unless ``whole``."""
        stream = self._stream
        self._stream = None
        if stream is None:
            return
        if not is_complete:
            self._counters.add("answers_cut_off")
            self._handler.on_response_truncated()
            return
        if stream.length < 0:
            self._transport.write(_LAST_CHUNK)
        self._handler.on_response_written()

    def abandon_stream(self) -> None:
        """Cancel the streamed response, if there is one."""
        stream = self._stream
        self._stream = None
        if stream is not None:
            stream.cancel()

    def pause(self) -> None:
        """Pause the streamed response: the client does not accept more output at present."""
        self.write_paused = True
        if self._stream is not None:
            self._stream.pause()

    def resume(self) -> None:
        """Continue the streamed response after a pause."""
        self.write_paused = False
        if self._stream is not None:
            self._stream.resume()
