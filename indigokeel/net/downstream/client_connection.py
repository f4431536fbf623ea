"""The client side: reads requests off connections, hands them to the desk, writes the answers."""

from __future__ import annotations

import asyncio
import time
import weakref
from typing import cast

from indigokeel.metrics import Counters
from indigokeel.net import http
from indigokeel.net.downstream.client_timeouts import Awaited
from indigokeel.net.downstream.flow_control import ReadFlow
from indigokeel.net.downstream.pipeline import PendingRequest, Pipeline
from indigokeel.net.downstream.request_decoder import read_plain
from indigokeel.net.downstream.request_handler import FinalResponse as FinalResponse
from indigokeel.net.downstream.request_handler import RequestHandler, error_answer
from indigokeel.net.downstream.request_parser import RequestReader
from indigokeel.net.http import RequestError
from indigokeel.net.messages import OutboundRequest
from indigokeel.net.streams import RequestStream, ResponseStream
from indigokeel.requests.effects import FinalStatus, Request
from indigokeel.requests.open_requests import RESPONSE_MARGIN_S

# Bytes that are read and thrown away after the own side of a connection has ended: a close over unread bytes
# resets the connection, and what was written last goes with it.
_MOST_DISCARDED = 256 * 1024
_INTERNAL = RequestError(500, "internal error")
_ENDING = RequestError(503, "the process ends")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    __slots__ = (
        "__weakref__", "_counters", "_handler", "_discarded", "_expected", "_flow", "_fresh",
        "_keep", "_left", "_passed", "_pipeline", "_reader", "_since", "_stream", "_transport", "_trouble",
        "_working", "_write_full", "busy", "ended", "fd", "heard", "request_id",
    )  # fmt: skip

    def __init__(self, handler: Handler, counters: Counters) -> None:
        self._handler, self._counters = handler, counters
        self._transport: asyncio.Transport
        self.fd = -1
        # These live no longer than the session: a circle of them would stay for the collector.
        client = weakref.proxy(self)
        self._reader = RequestReader(client, lambda: handler.settings)
        self._pipeline = Pipeline()
        self._flow = ReadFlow(client, self._reader, self._pipeline)
        self._trouble: RequestError | None = None  # what came behind all that was read, and is told last
        self._working = False
        self._passed = False  # the door, before it was parsed
        self._keep = True  # the connection, after the answer that is owed now and the message it is for
        self._since = 0.0  # when the message, the silence between two, or the answer's writing began
        self._fresh: tuple[Request, OutboundRequest] | None = (
            None  # whose long body is being read, until it is taken
        )
        self._stream: ResponseStream | None = None  # the long answer that is being written
        self._write_full = False  # the client does not take what was written
        self._expected = False  # the client waits for a word before it sends its message's body
        self._left = 0  # bytes of answers that wait to be written, when last looked at
        self._discarded = 0  # bytes that came where nothing more is read
        self.heard = False  # has sent anything at all
        self.busy = False  # a message was read whole and its answer is not written
        self.ended = False  # has had its last word, or is gone
        self.request_id = ""  # of the request that is being served

    # --- the socket -----------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._flow.connected(self._transport)
        self.fd = transport.get_extra_info("socket").fileno()
        self._since = time.monotonic()
        self._handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if self._flow.stopped:
            self._discard(data)
            return
        self._flow.received()
        if not self._reader.reading and self.heard:
            self._since = self._flow.grew
        self.heard = True
        if self._handler.overloaded and self._is_idle() and self._shed_early(data):
            return
        self._pipeline.hold(data)
        self._flow.advance()

    def _shed_early(self, data: bytes) -> bool:
        """Turn a request away unparsed, if it is one whole and plain message and the module says so. Guards
        against the sidecar whose time goes into reading, line by line, what it then refuses."""
        plain = read_plain(data)
        if plain is None:
            return False
        advice = self._handler.shed_early(self, time.monotonic(), *plain)
        if advice is None:
            # It has passed the door, and is not asked again as it is parsed.
            self._passed = True
            return False
        self._counters.add("requests_shed_early")
        self._keep, self.busy = True, True
        self.send_final_response(FinalResponse(FinalStatus.REJECTED, advice))
        return True

    def eof_received(self) -> None:
        """The client sends no more, which is how it leaves: whatever is still written, nothing more is
        done for it."""
        self._client_disconnected()

    def connection_lost(self, exc: Exception | None) -> None:
        self.fd = -1
        self._client_disconnected()
        self._flow.lost()
        self._handler.connection_closed(self)

    def _client_disconnected(self) -> None:
        if self.busy and not self.ended:
            self._counters.add("clients_disconnected")
        self.ended = True
        self._pipeline.clear()
        self._release_request()
        self._flow.stop()

    def _release_request(self) -> None:
        """Nothing more is passed on for this client."""
        self._fresh = None
        request_id, self.request_id = self.request_id, ""
        if request_id:
            self._handler.client_disconnected(request_id)
        if self._reader.request_stream is not None:
            self._reader.request_stream.drop()
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abandon()

    def _is_idle(self) -> bool:
        """Whether nothing that was read waits for anything."""
        return not (self.busy or self._reader.reading or self.ended) and self._pipeline.empty()

    def is_idle(self) -> bool:
        """Whether it stands between two messages, or before the first, with nothing of the next one here."""
        return self._is_idle() and not http.readable(self.fd)

    def has_unread_input(self) -> bool:
        """Whether something has come that has no answer yet, and will have one."""
        return not self.ended and (not self._pipeline.empty() or http.readable(self.fd))

    def idle_for(self, now: float) -> float:
        """How long it has had no open request and no message begun, or 0."""
        return now - self._since if self._is_idle() else 0.0

    def stalled_for(self, now: float) -> float:
        """How long a message that is half here has not grown, or 0; what has come of it and is not read yet
        counts as growth."""
        if not self._reader.reading or self.busy or self.ended or self._flow.paused or http.readable(self.fd):
            return 0.0
        return now - self._flow.grew

    # --- the end: every one goes through ``_end`` or ``abort`` ------------------------------------------

    def close(self) -> None:
        """The last moment: what was read has its answer, and nothing more is begun, parsed or taken."""
        if self.ended:
            return
        if self._stream is None:  # else that is cut off, and nothing can follow it
            self._refuse_what_was_read(_ENDING)
        self._end()

    def _refuse_what_was_read(self, error: RequestError) -> None:
        """Tell all that was read and has no answer that it will not be served, in its order."""
        if self.busy:
            self.busy = False
            self._release_request()
            self._transport.write(b"".join(FinalResponse(FinalStatus.FAILED).pieces(close=True)))
        while True:
            self._pipeline.fail(error)
            while (request := self._pipeline.first()) is not None:
                self._pipeline.pop()
                self._transport.write(error_answer(request.error or error, close=True))
            if not self._pipeline.unparsed() or self._flow.stopped:
                break
            try:
                self._reader.feed(self._pipeline.next_slice(self._reader.body_left()))
            except RequestError as broken:
                self.fail(broken)
        if self._trouble is not None:
            self._transport.write(error_answer(self._trouble, close=True))

    def _end(self) -> None:
        """End it in order: what was written goes out, then the own side ends, and what still comes is thrown
        away until the peer closes or ``check_timeouts`` finds that it takes too long. Nothing is parsed or
        taken after this. One that never said anything is closed at once: nothing was written to it."""
        if self.ended:
            return
        self.ended = True
        self._pipeline.clear()
        self._release_request()
        self._flow.stop()
        if not self.heard:
            self._transport.close()
            return
        self._since = time.monotonic()
        if not self._transport.is_closing():
            self._transport.write_eof()
            self._flow.resume()
            self._handler.connection_closing(self)

    def abort(self) -> None:
        """Close it at once, whatever is unread or unwritten."""
        self.ended = True
        self._transport.abort()

    def evict(self) -> bool:
        """There is no room for it: end it. False where it is half of a message that has come: its sender, who
        may be about to write the last byte, is told first, and the connection lingers."""
        if self._reader.reading and not self.busy and not self.ended:
            self.fail(RequestError(503, "there is no room for a message that comes slowly"))
            self.process_pipeline()
            return False
        self.abort()
        return True

    def has_unwritten_output(self) -> bool:
        """Whether some of what was written would be lost, were the connection closed now."""
        return self.fd >= 0 and (self._transport.get_write_buffer_size() > 0 or self._at_risk() > 0)

    def _at_risk(self) -> int:
        """Bytes written that the peer's system has not got yet, where a close would be a reset, over bytes
        that are unread, and they would go with it."""
        return http.unsent(self.fd) if http.readable(self.fd) else 0

    def has_disconnected(self) -> bool:
        """Whether the client has closed, asked of the system: the loop may not have got to that yet. Then
        nothing more is done for it."""
        if not self.ended and http.hung_up(self.fd):
            self._client_disconnected()
        return self.ended

    def _discard(self, data: bytes) -> None:
        """Throw away what is not read any more. Beyond a bound it waits in the system: guards against those
        who send 60 MB behind what was refused, and go."""
        self._discarded += len(data)
        if self._discarded > _MOST_DISCARDED and not self._transport.is_closing():
            self._flow.pause()

    def check_timeouts(self, now: float) -> None:
        """Called now and then: guards against those who say nothing, half of a message, or do not read; and
        against those who have left while nothing is read of them, so that nobody was told."""
        if self._flow.paused and http.hung_up(self.fd):
            self._client_disconnected()
            self.abort()
            return
        left = 0 if self.fd < 0 else self._transport.get_write_buffer_size()
        if self.ended and self.fd >= 0:  # it is closed after this
            left += self._at_risk()
        if left != self._left:
            self._left, self._since = left, now if left else self._since
        awaited = self._awaited(left)
        if awaited is None or not awaited.overdue(now - self._since, self._reader.size):
            return
        if awaited is Awaited.REST_OF_MESSAGE:
            self.fail(RequestError(408, "the message took too long"))
            self.process_pipeline()
        elif awaited is Awaited.NEXT_REQUEST:
            if http.readable(self.fd):  # it has come, and is about to be read
                return
            self._counters.add("clients_idle" if self.heard else "clients_silent")
            self._end()
        else:
            self.abort()

    def _awaited(self, left: int) -> Awaited | None:
        """What it is the turn of others to do; ``left``: bytes that the client has not taken."""
        if self._stream is not None:
            return Awaited.STREAM_GOES_ON
        if left:
            return Awaited.CLIENT_TAKES_ANSWER
        if self.ended:
            return Awaited.CLIENT_CLOSES
        if self._reader.reading and (not self.busy or self._reader.request_stream is not None):
            return None if self._flow.paused else Awaited.REST_OF_MESSAGE
        return Awaited.NEXT_REQUEST if self._is_idle() else None

    # --- reading --------------------------------------------------------------------------------------

    def waited_since(self, paused: float) -> None:
        self._since += time.monotonic() - max(paused, self._since)

    def body_expected(self) -> None:
        self._expected = self.busy or self._pipeline.first() is not None
        if not self._expected:
            self._transport.write(_CONTINUE)

    def request_read(
        self, request: tuple[Request, OutboundRequest] | None, error: RequestError | None, keep_alive: bool
    ) -> None:
        self._since = time.monotonic()
        self._pipeline.add(PendingRequest(self._flow.arrived, keep_alive, request, error))

    def discarded(self) -> None:
        self._since = time.monotonic()
        if not self._keep and not self.busy and self._pipeline.first() is None:
            self._end()

    def upload_begun(self, request: tuple[Request, OutboundRequest]) -> None:
        self._fresh, self._flow.upload_waits = request, True

    def upload_read(
        self, request_stream: RequestStream, request: tuple[Request, OutboundRequest], keep_alive: bool
    ) -> None:
        self._since = time.monotonic()
        if self._fresh is not None:  # it was all here before its request could be taken
            incoming, outbound = request
            outbound.body, outbound.request_stream, incoming.long = request_stream.all(), None, False
            self._fresh, self._flow.upload_waits, self._flow.upload_full = None, False, False
            self._pipeline.add(PendingRequest(self._flow.arrived, keep_alive, request))
            return
        self._keep = self._keep and keep_alive
        request_stream.end()
        if self.request_id:
            self._handler.request_body_received(self.request_id)
        elif self._stream is None and not self._keep:
            self._end()

    def _sent_on(self) -> RequestStream | None:
        """The long body that is being read, if it is that of the request in service and not of the next."""
        return self._reader.request_stream if self._fresh is None else None

    # --- long bodies ------------------------------------------------------------------------------------

    def pause(self) -> None:
        """Read nothing for now: what came of a long body has to go on first."""
        self._flow.upload_full = True
        self._flow.regulate()

    def resume(self) -> None:
        self._flow.upload_full = False
        self._flow.regulate()

    def pause_writing(self) -> None:
        self._write_full = True
        if self._stream is not None:
            self._stream.wait()

    def resume_writing(self) -> None:
        self._write_full = False
        if self._stream is not None:
            self._stream.go_on()
        self.process_pipeline()

    def body(self, pieces: http.Body) -> None:
        """More of the long answer."""
        assert self._stream is not None
        self._since = time.monotonic()
        self._transport.write(b"".join(http.chunk(pieces, False) if self._stream.length < 0 else pieces))

    def body_ended(self, whole: bool) -> None:
        stream, self._stream = self._stream, None
        if stream is None:
            return
        if not whole:  # closed before its end: that shows
            self._counters.add("answers_cut_off")
            self.abort()
            return
        if stream.length < 0:
            self._transport.write(b"0\r\n\r\n")
        self._written()
        self.process_pipeline()

    # --- answering ------------------------------------------------------------------------------------

    def process_pipeline(self) -> None:
        """Answer what was read, one after another; then say what was wrong with the rest, and read on."""
        if self._working:  # an answer may come while its request is being taken
            return
        self._working = True
        while not self.ended:
            try:
                self._serve()
                break
            except Exception as error:  # a fault costs this connection and no other
                self._fault_in_service(error)
        self._working = False
        self._flow.regulate()

    def _serve(self) -> None:
        while not self.busy and not self.ended and (request := self._pipeline.first()) is not None:
            if self._flow.resting or (self._write_full and request.request is None):
                return
            self._pipeline.pop()
            self.busy, self._keep = True, request.keep_alive
            self._begin(request)
        if self.busy or self.ended:
            return
        if self._fresh is not None:
            (incoming, outbound), self._fresh, self._flow.upload_waits = self._fresh, None, False
            self.busy, self._keep = True, True
            self._take(time.monotonic(), incoming, outbound, False)
        elif self._flow.stopped and self._trouble is not None:
            self._counters.add("messages_malformed")
            self._transport.write(error_answer(self._trouble, close=True))
            self._end()
        elif self._flow.stopped:
            self._end()
        elif self._expected:
            self._expected = False
            if self._reader.reading and self._reader.size == 0 and not self._reader.answered:
                self._transport.write(_CONTINUE)

    def _begin(self, request: PendingRequest) -> None:
        passed, self._passed = self._passed, False
        if request.error is not None:
            self._write_error(request.error)
        elif request.request is not None:
            self._take(request.arrived, *request.request, passed)
        else:
            self._counters.add("health_checks")
            self._write(http.response(200 if self._handler.is_healthy() else 503, [], close=not self._keep))

    def _take(self, arrived: float, request: Request, outbound: OutboundRequest, passed: bool) -> None:
        """Have a request served, within what its client has left. ``passed``: the door."""
        now = time.monotonic()
        left = request.budget - (now - arrived)
        if self._handler.is_open(request.id):
            self._write_error(RequestError(409, "a job of this id is open"))
        elif left <= min(RESPONSE_MARGIN_S, request.budget / 2.0):
            # It waited behind another on its connection, which is no fault of any upstream.
            self._counters.add("requests_out_of_time")
            self.send_final_response(FinalResponse(FinalStatus.REJECTED))
        elif (
            wait := None if passed else self._handler.shed_early(self, now, request.class_name, left)
        ) is not None:
            self._counters.add("requests_shed_early")
            self.send_final_response(FinalResponse(FinalStatus.REJECTED, wait))
        else:
            self._counters.add("requests_accepted")
            self._flow.took()
            self.request_id, request.budget, request.waited = request.id, left, now - arrived
            self._handler.handle_request(self, now, request, outbound)

    def send_final_response(self, final: FinalResponse) -> None:
        """The final answer to the request that is being served."""
        self.request_id = ""
        if self.ended:
            return
        try:
            self._write_answer(final)
        except Exception as error:  # a fault costs this connection and no other
            self._fault_in_service(error)
        self.process_pipeline()

    def _write_answer(self, final: FinalResponse) -> None:
        self._counters.add("answers_written")
        self._drop_upload()
        self._keep_or_end()
        response = final.response
        if response is not None and response.stream is not None:
            self._stream = response.stream
            self._since = time.monotonic()
            self._transport.write(http.head(200, response.stream.length, close=not self._keep))
            response.stream.attach(self)
            return
        self._write(final.pieces(close=not self._keep))

    def _drop_upload(self) -> None:
        """What is still to come of the body of the request that is answered now is read and thrown away."""
        request_stream = self._sent_on()
        if request_stream is not None:
            request_stream.drop()
            self._reader.answered = True

    def _keep_or_end(self) -> None:
        """Decide whether the connection ends with this answer. What was sent ahead is answered first."""
        if not (self._handler.closing or self._handler.is_crowded()):
            return
        behind = self._reader.reading and not self._reader.answered
        if self._pipeline.empty() and not behind and not self._flow.stopped:
            self._keep = False

    def _write(self, pieces: list[bytes]) -> None:
        self._transport.write(b"".join(pieces) if len(pieces) > 1 else pieces[0])
        self._written()

    def _written(self) -> None:
        """The answer is out. A body that still comes is read to its end first: a close would reset it."""
        self.busy = False
        if self._sent_on() is None:
            self._since = time.monotonic()
            if not self._keep and not (self._reader.reading and self._reader.answered):
                self._end()

    # --- errors ---------------------------------------------------------------------------------------

    def _write_error(self, error: RequestError) -> None:
        """The answer to a request that is well framed and cannot be served."""
        self._counters.add("messages_malformed")
        self._flow.told_error()
        self._drop_upload()
        self._keep_or_end()
        self._write([error_answer(error, close=not self._keep)])

    def fail(self, error: RequestError) -> None:
        """The connection cannot be read any further: told once what was read before is answered, unless the
        message that it was within has its answer."""
        if self._flow.stopped:
            return
        if self._sent_on() is not None and self.request_id:  # its body will not be whole
            self._release_request()
            self.busy = False
        self._fresh = None
        # Made anew: an error that was raised keeps alive all that was at work then.
        self._trouble = None if self._reader.answered else RequestError(error.status, str(error))
        self._flow.stop()

    def fault(self, error: Exception) -> None:
        """A fault of this side while the connection was read: what came before it is answered."""
        if not self.ended:
            self._note_fault(error)
            self.fail(_INTERNAL)

    def _fault_in_service(self, error: Exception) -> None:
        """A fault of this side while a request was served or its answer written: all that was read gets an
        error, in its order, and the connection ends."""
        self._note_fault(error)
        try:
            if self._stream is not None:
                raise error
            self._refuse_what_was_read(_INTERNAL)
            self._end()
        except Exception:  # nothing that is whole can be written any more
            self.abort()

    def _note_fault(self, error: Exception) -> None:
        self._counters.add("client_connection_faults")
        self._counters.log(f"fault in a session: {type(error).__name__}: {error}")


Handler = RequestHandler[ClientConnection]
