"""When one client connection is read and parsed, and when it is left to wait: backpressure, which is no error
of the client's."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from indigokeel.net import http
from indigokeel.net.downstream.pipeline import MOST_AHEAD, Pipeline
from indigokeel.net.downstream.request_parser import RequestReader
from indigokeel.net.http import RequestError

# Errors in a row after which a connection is left alone for a moment, and for how long, in s. Guards against
# the client that sends the same again as soon as it is turned away, on a connection that stays open.
_ERRORS_IN_A_ROW = 16
_ERROR_PAUSE = 0.01


class Owner(Protocol):
    """The session whose connection it is."""

    def process_pipeline(self) -> None:
        """Answer what was read, and call ``regulate``."""

    def fail(self, error: RequestError) -> None:
        """The connection cannot be read any further."""

    def fault(self, error: Exception) -> None:
        """Something of this side failed while the connection was read."""

    def waited_since(self, paused: float) -> None:
        """It is read again, and was not since ``paused``, which was no fault of the client's."""


class ReadFlow:
    """The flow of one connection's bytes into its queue of requests."""

    __slots__ = (
        "_backlog_since", "_errors", "_owner", "_pipeline", "_reader", "_scheduled", "_timer", "_transport",
        "arrived", "grew", "paused", "resting", "stopped", "upload_full", "upload_waits",
    )  # fmt: skip

    def __init__(self, owner: Owner, reader: RequestReader, pipeline: Pipeline) -> None:
        self._owner, self._reader, self._pipeline = owner, reader, pipeline
        self._transport: asyncio.Transport
        self._scheduled = False  # to parse more, or at it
        self._backlog_since = 0.0  # since when bytes may have waited that are read next
        self._errors = 0  # told in a row
        self._timer: asyncio.TimerHandle | None = None  # until it is not left alone any more
        self.arrived = 0.0  # when what was read last may have come to this machine
        self.grew = 0.0  # when anything was read last
        self.paused = 0.0  # since when nothing is read, or 0
        self.resting = False  # left alone after many errors
        self.upload_full = False  # what came of a long body has to go on first
        self.upload_waits = False  # a long body's request has to be taken first
        self.stopped = False  # for good: nothing more is parsed

    def connected(self, transport: asyncio.Transport) -> None:
        """The connection is up."""
        self._transport = transport

    def received(self) -> None:
        """Bytes were read now."""
        self.grew = time.monotonic()
        self.arrived, self._backlog_since = self._backlog_since or self.grew, 0.0

    def stop(self) -> None:
        """Nothing that is not parsed yet is taken any more."""
        self.stopped = True
        self._reader.stop()
        self._pipeline.drop_bytes()

    def lost(self) -> None:
        """The connection is gone, and its owner with it."""
        self.stop()
        if self._timer is not None:
            self._timer.cancel()

    def advance(self) -> None:
        """Parse what was read, and have it answered: in one turn of the loop no more than what fills the
        queue, so that no client has the loop to itself."""
        if self.stopped:
            return
        self._scheduled = True
        queued = self._pipeline.queued
        try:
            while self._pipeline.unparsed() and not self._held_up():
                self._reader.feed(self._pipeline.next_slice(self._reader.body_left()))
                if self._pipeline.queued - queued >= MOST_AHEAD:
                    break
        except RequestError as error:
            self._owner.fail(error)
        except Exception as error:  # a fault costs this connection and no other
            self._owner.fault(error)
        self._scheduled = False
        self._owner.process_pipeline()

    def _held_up(self) -> bool:
        """Whether what was read has to be dealt with before more is."""
        return self.upload_full or self.upload_waits or self.resting or self._pipeline.full()

    def regulate(self) -> None:
        """Read on, parse on, or wait, as what was read allows."""
        if self.stopped:
            return
        waits = self._held_up()
        if waits or self._pipeline.unparsed():
            self.pause()
            if not waits and not self._scheduled:
                self._scheduled = True
                asyncio.get_running_loop().call_soon(self.advance)
        elif self.paused:
            self._owner.waited_since(self.paused)
            # Guards against a deadline passed on that is longer than what the client has left: the request
            # may have come while nothing was read.
            if http.readable(self._transport.get_extra_info("socket").fileno()):
                self._backlog_since = self.paused
            self.resume()

    def pause(self) -> None:
        """Read nothing for now."""
        if not self.paused and not self._transport.is_closing():
            self.paused = time.monotonic()
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on, whatever held it up."""
        self.paused = 0.0
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def took(self) -> None:
        """A request is served."""
        self._errors = 0

    def told_error(self) -> None:
        """A request got its error, and the connection stays open."""
        self._errors += 1
        if self._errors % _ERRORS_IN_A_ROW == 0:
            self.resting = True
            self._timer = asyncio.get_running_loop().call_later(_ERROR_PAUSE, self._rested)

    def _rested(self) -> None:
        self.resting = False
        self._owner.process_pipeline()
