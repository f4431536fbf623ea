"""The submitter side: reads jobs off connections, hands them to the desk, writes the answers."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from indigokeel.decision.interface import Settings
from indigokeel.net import http
from indigokeel.net.bodies import Stream, Upload
from indigokeel.net.counters import Counters
from indigokeel.net.exchange import Reply, Task
from indigokeel.net.http import MalformedError
from indigokeel.net.jobs import read_job, read_plain
from indigokeel.orders import Job, Verdict

_MESSAGE_TIME = 2.5  # s from a message's first byte (of the first one: from the connection) to its last
# s after which a connection with no open job is closed, also one that never said anything. Guards against
# those who ask once and stay for good: they use up what descriptors the others have, here and there.
_IDLE = 2.2
_PACE = 32_000  # bytes of a body for which a message gets a second more
_ANSWER_TIME = 5.0  # s for more of an answer to be taken ...
_STREAM_TIME = 10.0  # ... and, of one that passes in pieces, also to come
# s from the end of the own side of a connection to its close, where the peer does not close it first, and
# bytes that are read and thrown away in that time: a close over unread bytes resets the connection, and what
# was written last goes with it.
_LINGER = 1.0
_MOST_DISCARDED = 256 * 1024
_MOST_AHEAD = 8  # messages read behind the one that is being answered

_STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 500}


@dataclass(slots=True)
class Final:
    """What is written to a submitter."""

    verdict: Verdict
    retry_in: float = 0.0
    reply: Reply | None = None  # the execute node's, where it was served


class Desk(Protocol):
    """What the submitter side needs of the sidecar."""

    closing: bool
    settings: Settings  # those in force

    def healthy(self) -> bool: ...

    def knows(self, job_id: str) -> bool: ...

    def take(self, session: Session, arrived: float, job: Job, task: Task) -> None:
        """Take a job. Its answer comes by ``Session.answer``, perhaps before this returns."""

    def uploaded(self, job_id: str) -> None:
        """The last byte of a job's long body has come."""

    def left(self, job_id: str) -> None: ...

    behind: bool  # the sidecar itself: some jobs are turned away

    def turn_away(self, session: Session, arrived: float, job_class: str, budget: float) -> float | None:
        """Whether the sidecar is too far behind to take a job: the wait to advise, or None."""

    def crowded(self) -> bool:
        """Whether submitters' connections have become so many that each ends with its answer."""

    def joined(self, session: Session) -> None: ...

    def ending(self, session: Session) -> None:
        """It has had its last word, and only waits for its peer."""

    def gone(self, session: Session) -> None: ...


class Session(asyncio.Protocol):
    """One submitter's connection. httptools calls the ``on_`` methods."""

    __slots__ = (
        "_counters", "_desk", "_discarded", "_fresh", "_grew", "_head_size", "_headers", "_in_head", "_job",
        "_keep", "_left", "_parser", "_passed", "_paused", "_queue", "_reading", "_since", "_size", "_stream",
        "_target", "_transport", "_trouble", "_upload", "_working", "busy", "ended", "fd", "heard", "job_id",
    )  # fmt: skip

    def __init__(self, desk: Desk, counters: Counters) -> None:
        self._desk, self._counters = desk, counters
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self.fd = -1
        # Messages read whole, each with whether the connection is good for more after it. None: a check.
        self._queue: deque[tuple[float, tuple[Job, Task] | None, bool]] = deque()
        self._trouble: MalformedError | None = None  # what came behind them
        self._reading = False  # within a message
        self._in_head = False  # ... and its head
        self._working = False
        self._passed = False  # the door, before it was parsed
        self._keep = True  # the connection, after the answer that is owed now and the message it is for
        self._grew = 0.0  # when anything came last
        self._since = 0.0  # when the message, the silence between two, or the answer's writing began
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._head_size = self._size = 0
        self._job: tuple[Job, Task] | None = None
        self._upload: Upload | None = None  # the long body that is being read
        self._fresh: tuple[Job, Task] | None = None  # its job, until that is taken
        self._stream: Stream | None = None  # the long answer that is being written
        self._paused = 0.0  # since when nothing is read, because what came has to go on first
        self._left = 0  # bytes of answers that wait to be written, when last looked at
        self._discarded = 0  # bytes that came where nothing more is read
        self.heard = False  # has sent anything at all
        self.busy = False  # a message was read whole and its answer is not written
        self.ended = False  # has had its last word, or is gone
        self.job_id = ""  # of the job that is being served

    # --- the socket -----------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.fd = transport.get_extra_info("socket").fileno()
        self._since = time.monotonic()
        self._desk.joined(self)

    def data_received(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            self._discard(data)
            return
        self._grew = time.monotonic()
        if not self._reading and self.heard:
            self._since = self._grew
        self.heard = True
        if self._desk.behind and not (self._reading or self.busy or self._queue) and self._turned_away(data):
            return
        whole = len(self._queue)
        try:
            parser.feed_data(data)
            if self._in_head and len(self._queue) == whole:  # all of it was head
                self._head_size += len(data)
                if self._head_size > http.MAX_HEAD:
                    raise MalformedError(431, "the head is too large")
        except httptools.HttpParserError as error:
            self._fail(MalformedError.of(error))
        except MalformedError as error:
            self._fail(error)
        except Exception as error:  # a fault costs this connection and no other
            self._fault(error)
        self._work()

    def _turned_away(self, data: bytes) -> bool:
        """Turn a job away unparsed, if it is one whole and plain message and the module says so. Guards
        against the sidecar whose time goes into reading, line by line, what it then refuses."""
        plain = read_plain(data)
        if plain is None:
            return False
        advice = self._desk.turn_away(self, time.monotonic(), *plain)
        if advice is None:
            # It has passed the door, and is not asked again as it is parsed.
            self._passed = True
            return False
        self._counters.add("jobs_turned_away")
        self._keep, self.busy = True, True
        self.answer(Final(Verdict.REFUSED, advice))
        return True

    def eof_received(self) -> None:
        """The submitter sends no more, which is how it leaves: whatever is still written, nothing more is
        done for it."""
        self._left_early()

    def connection_lost(self, exc: Exception | None) -> None:
        self.fd = -1
        self._left_early()
        self._desk.gone(self)

    def _left_early(self) -> None:
        if self.busy and not self.ended:
            self._counters.add("submitters_left")
        self.ended, self._parser = True, None  # the parser holds this object: the two are let go together
        self._queue.clear()
        self._let_go()

    def _let_go(self) -> None:
        """Nothing more is passed on for this submitter."""
        self._fresh = None
        job_id, self.job_id = self.job_id, ""
        if job_id:
            self._desk.left(job_id)
        if self._upload is not None:
            self._upload.drop()
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abandon()

    def idle(self) -> bool:
        """Whether it stands between two messages, or before the first, with nothing of the next one here."""
        return not (self.busy or self._reading or self.ended) and not http.readable(self.fd)

    def unread(self) -> bool:
        """Whether something has come that is not read yet, and will be."""
        return not self.ended and http.readable(self.fd)

    def idle_for(self, now: float) -> float:
        """How long it has had no open job and no message begun, or 0."""
        return 0.0 if self.busy or self._reading or self.ended else now - self._since

    def stuck_for(self, now: float) -> float:
        """How long a message that is half here has not grown, or 0; what has come of it and is not read yet
        counts as growth."""
        if not self._reading or self.busy or self.ended or http.readable(self.fd):
            return 0.0
        return now - self._grew

    # --- the end: every one goes through ``close`` or ``abort`` -----------------------------------------

    def close(self) -> None:
        """End it in order: what was written goes out, then the own side ends, and what still comes is thrown
        away until the peer closes or ``look`` finds that it takes too long. Nothing is parsed or taken
        after this. One that never said anything is closed at once: nothing was written to it."""
        if self.ended:
            return
        self.ended, self._parser = True, None
        self._queue.clear()
        self._let_go()
        if not self.heard:
            self._transport.close()
            return
        self._since = time.monotonic()
        if not self._transport.is_closing():
            self._transport.write_eof()
            self._paused = 0.0
            self._transport.resume_reading()
            self._desk.ending(self)

    def abort(self) -> None:
        """Close it at once, whatever is unread or unwritten."""
        self.ended = True
        self._transport.abort()

    def give_way(self) -> bool:
        """There is no room for it: end it. False where it is half of a message that has come: its sender, who
        may be about to write the last byte, is told first, and the connection lingers."""
        if self._reading and not self.busy and not self.ended:
            self._fail(MalformedError(503, "there is no room for a message that comes slowly"))
            self._work()
            return False
        self.abort()
        return True

    def unwritten(self) -> bool:
        """Whether some of what was written would be lost, were the connection closed now."""
        return self.fd >= 0 and (self._transport.get_write_buffer_size() > 0 or self._at_risk() > 0)

    def _at_risk(self) -> int:
        """Bytes written that the peer's system has not got yet, where a close would be a reset, over bytes
        that are unread, and they would go with it."""
        return http.unsent(self.fd) if http.readable(self.fd) else 0

    def left_by_now(self) -> bool:
        """Whether the submitter has closed, asked of the system: the loop may not have got to that yet. Then
        nothing more is done for it."""
        if not self.ended and http.hung_up(self.fd):
            self._left_early()
        return self.ended

    def _discard(self, data: bytes) -> None:
        """Throw away what is not read any more. Beyond a bound it waits in the system: guards against those
        who send 60 MB behind what was refused, and go."""
        self._discarded += len(data)
        if self._discarded > _MOST_DISCARDED and not self._transport.is_closing():
            self._paused = self._paused or time.monotonic()
            self._transport.pause_reading()

    def look(self, now: float) -> None:
        """Called now and then: guards against those who say nothing, half of a message, or do not read; and
        against those who have left while nothing is read of them, so that nobody was told."""
        if self._paused and http.hung_up(self.fd):
            self._left_early()
            self.abort()
            return
        left = 0 if self.fd < 0 else self._transport.get_write_buffer_size()
        if self.ended and self.fd >= 0:  # it is closed after this
            left += self._at_risk()
        if left != self._left:
            self._left, self._since = left, now if left else self._since
        waited = now - self._since
        if left or self._stream is not None:
            if waited > (_ANSWER_TIME if self._stream is None else _STREAM_TIME):
                self.abort()
        elif self.ended:
            if waited > _LINGER:
                self.abort()
        elif self._reading and (not self.busy or self._upload is not None):
            if not self._paused and waited > _MESSAGE_TIME + self._size / _PACE:
                self._fail(MalformedError(408, "the message took too long"))
                self._work()
        elif not self.busy and waited > _IDLE and self.idle():
            self._counters.add("submitters_idle" if self.heard else "submitters_silent")
            self.close()

    # --- reading --------------------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self._reading = self._in_head = True
        self._target, self._headers, self._job = b"", {}, None
        self._head_size = self._size = 0

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(name) + len(value) > http.MAX_HEAD or len(self._headers) > 100:
            raise MalformedError(431, "the head is too large")
        # The blanks round a value are none of it; llhttp leaves those behind it that came in another piece.
        self._headers.setdefault(name.lower(), value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        self._in_head = False
        if len(self._target) + sum(map(len, self._headers.values())) > http.MAX_HEAD:
            raise MalformedError(431, "the head is too large")
        http.one_framing(self._headers)
        length = self._headers.get(b"content-length")
        if length is not None and int(length) > http.MOST_BODY:
            raise MalformedError(413, "the body is too large")
        if parser.should_upgrade():
            raise MalformedError(400, "no other protocol is spoken here")
        if self._target != b"/_health":
            # Refused from the head, with the body unread: what is no job costs no more than that.
            self._job = read_job(parser.get_method(), self._target, self._headers, self._desk.settings)
            self._job[1].left = self.left_by_now
        if self._headers.get(b"expect", b"").lower() == b"100-continue" and not self.busy:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._upload is not None:
            if self._size > http.MOST_BODY:
                raise MalformedError(413, "the body is too large")
            self._upload.add(data)
            return
        if self._job is None:
            if self._size > http.MAX_BODY:
                raise MalformedError(413, "the body is too large")
            return
        task = self._job[1]
        task.body.append(data)
        if self._size > http.MAX_BODY:
            length = self._headers.get(b"content-length")
            task.upload = self._upload = Upload(self, -1 if length is None else int(length), task.body)
            task.body = []
            self._job[0].long = True
            self._fresh = self._job
        elif len(task.body) >= 64:  # a body in crumbs: joined, so that they stay few
            task.body[:] = [b"".join(task.body)]

    def on_message_complete(self) -> None:
        assert self._parser is not None
        self._reading = False
        job, self._job = self._job, None
        keep = self._parser.should_keep_alive()
        upload, self._upload = self._upload, None
        now = self._since = time.monotonic()
        if upload is not None and self._fresh is None:  # its job was taken before
            self._keep = self._keep and keep
            upload.end()
            if self.job_id:
                self._desk.uploaded(self.job_id)
            elif self._stream is None and not self._keep:
                self.close()
            return
        if upload is not None and job is not None:  # it was all here before its job could be taken
            job[1].body, job[1].upload, self._fresh = upload.all(), None, None
            job[0].long = False
        self._queue.append((now, job, keep))
        if len(self._queue) > _MOST_AHEAD:
            raise MalformedError(429, "too many messages at once")

    def _sent_on(self) -> Upload | None:
        """The long body that is being read, if it is that of the job in service and not of the next."""
        return self._upload if self._fresh is None else None

    # --- long bodies ------------------------------------------------------------------------------------

    def pause(self) -> None:
        """Read nothing for now."""
        if not self._paused and not self._transport.is_closing():
            self._paused = time.monotonic()
            self._transport.pause_reading()

    def resume(self) -> None:
        if self._paused and not self._transport.is_closing() and self._parser is not None:
            self._since += time.monotonic() - self._paused  # it was not the submitter who waited
            self._paused = 0.0
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        if self._stream is not None:
            self._stream.wait()

    def resume_writing(self) -> None:
        if self._stream is not None:
            self._stream.go_on()

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
        self._work()

    # --- answering ------------------------------------------------------------------------------------

    def _work(self) -> None:
        """Answer what was read whole, one after another; then say what was wrong with the rest."""
        if self._working:  # an answer may come while its job is being taken
            return
        self._working = True
        try:
            while self._queue and not self.busy and not self.ended:
                arrived, job, self._keep = self._queue.popleft()
                self.busy = True
                self._begin(arrived, job)
            if self._fresh is not None and not self.busy and not self.ended:
                job, self._fresh = self._fresh, None
                self.busy, self._keep = True, True
                self._begin(time.monotonic(), job)
                self.resume()
            elif self._fresh is not None:
                self.pause()  # what is ahead of it is answered first
        except Exception as error:  # a fault costs this connection and no other
            self._fault(error)
        finally:
            self._working = False
        if self._trouble is not None and not self.busy and not self.ended:
            self._turn_down(self._trouble)

    def _begin(self, arrived: float, job: tuple[Job, Task] | None) -> None:
        passed, self._passed = self._passed, False
        if job is None:
            self._counters.add("health_checks")
            self._write(http.response(200 if self._desk.healthy() else 503, []))
        elif self._desk.knows(job[0].id):
            self._trouble = MalformedError(409, "a job of this id is open")
            self._queue.clear()
            self.busy = False
        elif (
            wait := None if passed else self._desk.turn_away(self, arrived, job[0].job_class, job[0].budget)
        ) is not None:
            self._counters.add("jobs_turned_away")
            self.answer(Final(Verdict.REFUSED, wait))
        else:
            self._counters.add("jobs_taken")
            self.job_id = job[0].id
            self._desk.take(self, arrived, *job)

    def answer(self, final: Final) -> None:
        """The final answer to the job that is being served."""
        self.job_id = ""
        if self.ended:
            return
        # What was sent ahead is answered first.
        over = self._desk.closing or self._desk.crowded()
        upload = self._sent_on()
        self._keep = self._keep and not (over and not self._queue and (upload or not self._reading))
        self._counters.add("answers_written")
        if upload is not None:
            upload.drop()  # what is still to come of it is read and thrown away
        reply = final.reply
        if reply is not None and reply.stream is not None:
            self._stream = reply.stream
            self._since = time.monotonic()
            self._transport.write(http.head(200, reply.stream.length, close=not self._keep))
            reply.stream.attach(self)
            return
        body = reply.body if reply is not None else None
        self._write(http.response(_STATUS[final.verdict], body or [], final.retry_in, not self._keep))
        self._work()

    def _write(self, pieces: list[bytes]) -> None:
        self._transport.write(b"".join(pieces) if len(pieces) > 1 else pieces[0])
        self._written()

    def _written(self) -> None:
        """The answer is out. A body that still comes is read to its end first: a close would reset it."""
        self.busy = False
        if self._sent_on() is None:
            self._since = time.monotonic()
            if not self._keep:
                self.close()

    # --- what is no job -------------------------------------------------------------------------------

    def _fail(self, error: MalformedError) -> None:
        """Nothing more is read; told once what was read before is answered."""
        if self._trouble is None and not self.ended:
            if self._sent_on() is not None and self.job_id:  # its body will not be whole
                self._let_go()
                self.busy = False
            self._fresh = self._upload = None
            self._trouble, self._parser, self._reading, self._in_head = error, None, False, False

    def _fault(self, error: Exception) -> None:
        self._counters.add("session_faults")
        self._counters.log(f"fault in a session: {type(error).__name__}: {error}")
        self._let_go()
        self.busy = False
        self._queue.clear()
        self._fail(MalformedError(500, "internal error"))

    def _turn_down(self, error: MalformedError) -> None:
        """Tell the sender what is wrong, then close."""
        self._counters.add("messages_malformed")
        self._transport.write(
            b"".join(http.response(error.status, [str(error).encode() + b"\n"], close=True))
        )
        self.close()
