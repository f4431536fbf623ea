"""The submitter side: reads jobs off connections, waits for their answers, writes these."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import h11
import trio

from indigokeel.decision.interface import Effect, Settings
from indigokeel.facade import Job, Verdict
from indigokeel.net import http
from indigokeel.net.counters import Counters
from indigokeel.net.pool import Task

_MESSAGE_TIME = 10.0  # s from a message's first byte to its last, and for an answer to be written
_AHEAD = 2 * http.MAX_BODY  # bytes read ahead of the job that runs
_LONGEST = 3600.0  # s that a submitter may be willing to wait

_STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 500}


class MalformedError(Exception):
    """A message that is no job; ``status`` is what its sender is told."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Final:
    """What is written to a submitter."""

    verdict: Verdict
    retry_in: float = 0.0
    body: http.Body | None = None


class Desk(Protocol):
    """What the submitter side needs of the sidecar."""

    closing: bool

    def healthy(self) -> bool: ...

    def knows(self, job_id: str) -> bool: ...

    async def serve(self, arrived: float, job: Job, task: Task) -> Final: ...

    def left(self, job_id: str) -> None: ...


def read_job(request: h11.Request, body: http.Body, settings: Settings) -> tuple[Job, Task]:
    """Turn a message into a job and what of it goes on; raises MalformedError."""
    headers = list(request.headers)
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    parts = path.split("/")
    if request.method not in (b"GET", b"POST"):
        raise MalformedError(405, "the method is neither GET nor POST")
    name = http.header(headers, b"request-class") or ""
    cls = next((cls for cls in settings.classes if cls.name == name), None)
    if cls is None:
        raise MalformedError(400, "Request-Class is missing or not known")
    if len(parts) < 2 or parts[1] != name:
        raise MalformedError(404, "the path does not begin with the class")
    job_id = http.header(headers, b"request-id") or ""
    if not job_id or len(job_id) > 200 or not job_id.isprintable():
        raise MalformedError(400, "Request-Id is missing or bad")
    wait = http.header(headers, b"request-timeout-ms") or ""
    if not wait.isascii() or not wait.isdigit() or len(wait) > 9 or int(wait) == 0:
        raise MalformedError(400, "Request-Timeout-Ms is missing or bad")
    key = http.header(headers, b"idempotency-key")
    if cls.effect is Effect.KEYED and not key:
        raise MalformedError(400, "Idempotency-Key is missing")
    extras = dict(
        pair.strip().split("=", 1)
        for pair in (http.header(headers, b"request-info") or "").split(",")
        if "=" in pair
    )
    try:
        hint = float(http.header(headers, b"work-hint") or extras.get("hint-s") or 0.0)
    except ValueError:
        hint = 0.0
    job = Job(
        id=job_id,
        job_class=name,
        budget=min(int(wait) / 1000.0, _LONGEST),
        tenant=http.header(headers, b"tenant") or "",
        key=parts[-1] if len(parts) > 2 else "",
        hint=hint if 0.0 <= hint < _LONGEST else 0.0,
        repeat=http.header(headers, b"client-retry") == "1",
        write=extras.get("mutates") == "1",
    )
    framed = any(field in (b"content-length", b"transfer-encoding") for field, _ in headers)
    task = Task(
        method=request.method,
        target=request.target,
        id=job_id.encode("latin-1"),
        key=key.encode("latin-1") if key is not None else None,
        body=body,
        has_body=framed,
    )
    return job, task


def _head(status: int, headers: http.Headers) -> h11.Response:
    return h11.Response(status_code=status, headers=headers, reason=HTTPStatus(status).phrase.encode())


class Session:
    """One submitter's connection."""

    def __init__(
        self, sock: trio.socket.SocketType, desk: Desk, settings: Settings, counters: Counters
    ) -> None:
        self._wire = http.Wire(sock, h11.SERVER)
        self._desk, self._settings, self._counters = desk, settings, counters
        self._idle_scope: trio.CancelScope | None = None
        self.busy = False  # a message was read whole and its answer is not written

    @property
    def idle(self) -> bool:
        """Whether it stands between two messages with nothing of the next one read."""
        return self._idle_scope is not None and not self._wire.readable()

    def close_if_idle(self) -> None:
        """Close a connection that waits for its next message. One with something to read is left."""
        if self._idle_scope is not None and self.idle:
            self._idle_scope.cancel()

    async def run(self) -> None:
        """Serve jobs one after another until a side closes."""
        try:
            while await self._serve_one():
                self._wire.http.start_next_cycle()
        except h11.RemoteProtocolError as error:
            await self._turn_down(error.error_status_hint, str(error))
        except MalformedError as error:
            await self._turn_down(error.status, str(error))
        except http.BodyTooLargeError:
            await self._turn_down(413, "the body is too large")
        except trio.TooSlowError:
            await self._turn_down(408, "the message took too long")
        except http.BROKEN:
            self._counters.add("submitter_connections_broken")
        except Exception as error:  # a fault costs this connection and no other
            self._counters.add("session_faults")
            self._counters.log(f"fault in a session: {type(error).__name__}: {error}")
            await self._turn_down(500, "internal error")
        finally:
            self._wire.close()

    async def _await_message(self) -> bool:
        """Wait for the first byte of the next message; False if none will come."""
        if self._wire.http.trailing_data[0]:
            return True
        if self._desk.closing and not self._wire.readable():
            return False
        with trio.CancelScope() as self._idle_scope:
            try:
                return await self._wire.receive()
            finally:
                self._idle_scope = None
        return False

    async def _serve_one(self) -> bool:
        """Read one message and answer it; False when the connection has come to its end."""
        if not await self._await_message():
            return False
        with trio.fail_after(_MESSAGE_TIME):
            request = await self._wire.next_event()
            if not isinstance(request, h11.Request):
                return False
            names = [name for name, _ in request.headers]
            if b"content-length" in names and b"transfer-encoding" in names:
                # Guards against the smuggled job: h11 takes both and lets one win, but a node may let the
                # other, and find a second job inside the body.
                raise MalformedError(400, "both Content-Length and Transfer-Encoding")
            body = await self._wire.read_body()
        self.busy = True
        try:
            return await self._answer_one(trio.current_time(), request, body)
        finally:
            self.busy = False

    async def _answer_one(self, arrived: float, request: h11.Request, body: http.Body) -> bool:
        if request.target == b"/_health":
            self._counters.add("health_checks")
            await self._answer(200 if self._desk.healthy() else 503)
            return self._wire.http.our_state is h11.DONE
        try:
            job, task = read_job(request, body, self._settings)
            if self._desk.knows(job.id):
                raise MalformedError(409, "a job of this id is open")
        except MalformedError as error:
            # Read whole, so the connection is good for the next one.
            self._counters.add("jobs_malformed")
            await self._answer(error.status, why=str(error))
            return self._wire.http.our_state is h11.DONE
        self._counters.add("jobs_taken")
        final = await self._while_there(job.id, lambda: self._desk.serve(arrived, job, task))
        if final is None:
            return False
        extra = [(b"Retry-After", b"%.3f" % final.retry_in)] if final.retry_in > 0.0 else []
        await self._answer(_STATUS[final.verdict], final.body or [], extra)
        self._counters.add("answers_written")
        return self._wire.http.our_state is h11.DONE

    async def _while_there(self, job_id: str, serve: Callable[[], Awaitable[Final]]) -> Final | None:
        """Wait for the answer, and watch for the submitter to leave; None if it did."""
        final: Final | None = None

        async def watch(scope: trio.CancelScope) -> None:
            while len(self._wire.http.trailing_data[0]) < _AHEAD:
                try:
                    if await self._wire.receive():
                        continue
                except http.BROKEN:
                    pass
                self._counters.add("submitters_left")
                self._desk.left(job_id)
                scope.cancel()
                return

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            final = await serve()
            nursery.cancel_scope.cancel()
        return final

    async def _answer(
        self, status: int, body: http.Body | None = None, extra: http.Headers | None = None, why: str = ""
    ) -> None:
        pieces = body if body is not None else []
        if why:
            pieces = [memoryview(why.encode() + b"\n")]
        headers: http.Headers = [(b"Content-Length", b"%d" % sum(len(piece) for piece in pieces))]
        headers += extra or []
        # What was sent ahead is answered first.
        if self._desk.closing and not self._wire.http.trailing_data[0]:
            headers.append((b"Connection", b"close"))
        with trio.fail_after(_MESSAGE_TIME):
            await self._wire.send_message(_head(status, headers), pieces)

    async def _turn_down(self, status: int, why: str) -> None:
        """Tell the sender of what cannot be read, if it can be told, before the connection is closed."""
        self._counters.add("messages_malformed")
        if self._wire.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        text = memoryview(why.encode() + b"\n")
        headers = [(b"Content-Length", b"%d" % len(text)), (b"Connection", b"close")]
        with trio.move_on_after(1.0):
            try:
                await self._wire.send_message(_head(status, headers), [text])
                self._wire.sock.shutdown(trio.socket.SHUT_WR)
                # Closing with unread bytes would reset the connection and take the answer with it.
                while await self._wire.sock.recv(http.READ):
                    pass
            except http.BROKEN:
                return
