"""The upstream side: attempts carried over HTTP/1.1, and how each of them ended."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.metrics import Counters
from indigokeel.net import http
from indigokeel.net.errors import LocalError
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.net.streams import RequestStream, ResponseStream
from indigokeel.net.upstream import (
    ConnectFailure,
    ConnectionLimits,
    ConnectionPool,
    ConnectionWaiter,
    UpstreamConnection,
)
from indigokeel.net.upstream.backoff import Backoff
from indigokeel.net.upstream.response_parser import InvalidResponseError, ResponseParser
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Attempt

_IDLE_PART = 0.5  # of keepalive-s; an idle connection is not used beyond it: the upstream closes at the whole
_PROBE_TIME = 1.0  # s for a probe
# s after an answer in which its connection is not used. Guards against the second answer that comes some
# milliseconds late (0.4 to 4.0 were seen) and would be taken for the next request's: nothing on it tells
# whose it is.
_REST = 0.005
# Of an attempt's time, that its connection may take to come up, and the least of that in s. Guards against
# machines that are gone without a word: what was never written may go elsewhere, while there is time for it.
_CONNECT_PART, _CONNECT_LEAST = 0.35, 0.02
# Of an pending's time, that its connection may take at most, however short that is: who waits is told before
# the time is over, or a wait that was this machine's own fault would pass for an upstream's silence.
_CONNECT_MOST = 0.7

Message = Callable[[], list[bytes] | None]
Done = Callable[[Attempt, UpstreamResponse], None]


class UpstreamExchange:
    """What is said on one connection: one exchange at a time."""

    __slots__ = (
        "_begun",
        "_done",
        "_parser",
        "_link",
        "_stream",
        "_request_stream",
        "host",
        "has_unexpected_bytes",
    )

    def __init__(self, connection: UpstreamConnection) -> None:
        self._link = connection
        self.host = http.host(connection.address)  # as a head names it
        self.has_unexpected_bytes = False  # something came that nobody asked for: it must not be used again
        self._parser: ResponseParser | None = None
        self._done: Callable[[UpstreamResponse, bool], None] | None = None
        self._begun: Callable[[UpstreamResponse], None] | None = None
        self._stream: ResponseStream | None = None
        self._request_stream: RequestStream | None = None

    def ask(
        self,
        message: Message,
        done: Callable[[UpstreamResponse, bool], None],
        begun: Callable[[UpstreamResponse], None] | None = None,
        request_stream: RequestStream | None = None,
    ) -> bool:
        """Write a message and have ``done`` called with what comes of it, and whether the connection is
        clean after it; never before this returns. Where the answer is long, ``begun`` is called with it
        first, and ``done`` at its end. ``request_stream`` follows the message.

        ``message`` is called right before the write, with nothing left to do between the two: whatever the
        message rests on (the clock, the client, the list) is asked there. Where it gives None, nothing is
        written and ``done`` is not called: False. So it is where this raises LocalError, for this machine
        cannot write now."""
        parser = ResponseParser()
        pieces = message()
        if pieces is None:
            return False
        written = self._link.begin(pieces)
        self._parser, self._done, self._begun = parser, done, begun
        self._stream, self._request_stream = None, request_stream
        if not written:
            self._broken()
        if request_stream is not None:
            request_stream.attach(self)
        return True

    def write(self, pieces: list[bytes]) -> None:
        if not self._link.say(pieces):
            self._broken()

    def _broken(self) -> None:
        """Not all of the message was written, so it cannot have run."""
        asyncio.get_running_loop().call_soon(self._finish, UpstreamResponse(AttemptOutcome.NO_CONNECTION))

    def clear(self) -> bool:
        return not self._link.spent()

    def drained(self) -> None:
        if self._request_stream is not None:
            self._request_stream.flush()

    def heard(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            self.has_unexpected_bytes = True
            return
        try:
            parser.feed(data)
        except InvalidResponseError:
            self._finish(UpstreamResponse(AttemptOutcome.BROKEN))
            return
        if self._stream is None and self._begun is not None and parser.long():
            stream = self._stream = ResponseStream(self._link, parser.length)
            self._begun(UpstreamResponse(AttemptOutcome.OK, parser.response().load, None, stream))
        if self._stream is not None:
            self._stream.feed(parser.take())
        if parser.complete:
            self._finish(parser.response(), parser.clean)

    def lost(self, unsent: bool, ended: bool, local: bool) -> None:
        if ended and self._parser is not None and self._parser.ends_here():
            self._finish(self._parser.response())
            return
        unsent = unsent or (self._request_stream is not None and not self._request_stream.passed)
        if unsent and local:  # it cannot have run, and it was not the upstream that failed
            self._finish(UpstreamResponse(AttemptOutcome.NOT_SENT))
        else:
            self._finish(UpstreamResponse(AttemptOutcome.NO_CONNECTION if unsent else AttemptOutcome.BROKEN))

    def _finish(self, response: UpstreamResponse, clean: bool = False) -> None:
        done, self._parser, self._done, self._begun = self._done, None, None, None
        stream, request_stream, self._stream, self._request_stream = (
            self._stream,
            self._request_stream,
            None,
            None,
        )
        if stream is not None:
            stream.end(response.outcome is AttemptOutcome.OK)
        if request_stream is not None:
            clean = clean and request_stream.passed
            request_stream.drop()
        if done is not None:
            done(response, clean)


@dataclass(slots=True)
class _PendingAttempt:
    """An attempt on its way to its first byte."""

    attempt: Attempt
    outbound: OutboundRequest
    done: Done
    patience_until: float  # clock time; when a connection must have come up and taken the first byte
    backoff: Backoff | None = None  # between the writes that this machine could not make

    @property
    def key(self) -> tuple[str, int]:
        return self.attempt.request, self.attempt.number


class UpstreamClient:
    """Attempts on their way to upstreams, over the connections kept for them."""

    def __init__(
        self,
        coordinator: RequestCoordinator,
        counters: Counters,
        connect_timeout: float,
        keepalive: float,
        most: int,
        seed: int = 0,
        warm: bool = False,
    ) -> None:
        """``most`` is the bound on connections; ``warm``: open one ahead to an upstream that is new, where
        connections have no price."""
        self._coordinator, self._counters, self._warm = coordinator, counters, warm
        self._connect_timeout = connect_timeout
        self._out: dict[
            tuple[str, int], UpstreamConnection | ConnectionWaiter | asyncio.Handle
        ] = {}  # attempts, by request and number
        self.connections = ConnectionPool(
            ConnectionLimits.of(most),
            UpstreamExchange,
            counters.add,
            lambda level, text: counters.log(text, level),
            time.monotonic,
            seed,
            connect_timeout,
            keepalive * _IDLE_PART,
        )
        self._idle_resets = self.connections.idle_resets

    def apply_timeouts(self, connect_timeout: float, keepalive: float) -> None:
        """Take other times, in seconds, for what is opened or kept from now on."""
        self._connect_timeout = connect_timeout
        self.connections.apply_timeouts(connect_timeout, keepalive * _IDLE_PART)

    @property
    def open(self) -> int:
        """Connections that are opening, idle or in use."""
        return len(self.connections.table)

    def send_attempt(self, attempt: Attempt, outbound: OutboundRequest, done: Done) -> None:
        """Carry an attempt through. ``done`` is called once, unless the attempt is given up before; never
        before this returns."""
        now = time.monotonic()
        left = attempt.until - now
        if left <= 0.0:  # the process was held up: nobody was asked, so nobody has failed
            self._end_soon(attempt, UpstreamResponse(AttemptOutcome.NOT_SENT), done)
            return
        patience = max(left * _CONNECT_PART, min(_CONNECT_LEAST, left * _CONNECT_MOST))
        self._connect(
            _PendingAttempt(attempt, outbound, done, now + min(self._connect_timeout, patience)), now
        )

    def _connect(self, pending: _PendingAttempt, now: float) -> None:
        """Have a connection for an pending."""
        attempt = pending.attempt
        address = self._coordinator.address(attempt.upstream)
        if address is None:
            self._end_soon(attempt, UpstreamResponse(AttemptOutcome.NOT_SENT), pending.done)
            return

        def ready(found: UpstreamConnection | ConnectFailure) -> None:
            if isinstance(found, UpstreamConnection):
                self._send(found, pending)
            else:
                outcome = (
                    AttemptOutcome.NOT_SENT if found is ConnectFailure.LOCAL else AttemptOutcome.NO_CONNECTION
                )
                self._ended(attempt, UpstreamResponse(outcome), pending.done)

        patience = max(pending.patience_until - now, 0.0)
        found = self.connections.acquire(attempt.upstream, address, patience, ready, pending.outbound.unsafe)
        if isinstance(found, UpstreamConnection):
            self._send(found, pending)
        else:
            self._out[pending.key] = found

    def _send(self, connection: UpstreamConnection, pending: _PendingAttempt) -> None:
        """Write an attempt on a connection, unless it may not go out any more: its upstream has begun to
        drain or has moved, its client has left, its time is over."""
        attempt, outbound, done = pending.attempt, pending.outbound, pending.done
        self._out.pop(pending.key, None)
        exchange = connection.handler
        assert isinstance(exchange, UpstreamExchange)
        front = b"%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: " % (
            outbound.method,
            outbound.target,
            exchange.host,
            outbound.id,
        )
        rest = b"\r\n" if outbound.key is None else b"\r\nIdempotency-Key: %s\r\n" % outbound.key
        request_stream = outbound.request_stream
        if request_stream is not None and request_stream.length < 0:
            rest += b"Transfer-Encoding: chunked\r\n"
        elif outbound.has_body:
            rest += b"Content-Length: %d\r\n" % (
                request_stream.length if request_stream else sum(map(len, outbound.body))
            )
        rest += b"\r\n"
        body = outbound.body if outbound.has_body and request_stream is None else []
        age, abandoned = -1.0, False

        def message() -> list[bytes] | None:
            # Called right before the write. The client is asked after the clock, for it allows the least
            # delay: the process may be held up in between, and a deadline may be told 0.15 s too late, where
            # an pending must not begin 0.1 s after a close. What follows makes no call of the system.
            nonlocal age, abandoned
            now = time.monotonic()
            left = int((attempt.until - now) * 1000.0)
            if connection.idle_since > 0.0:
                age = now - connection.idle_since
            pieces = [b"%s%d%s" % (front, left, rest), *body]
            if outbound.left():
                abandoned = True
                return None
            return (
                pieces
                if left >= 1 and not self._moved(connection) and self._coordinator.may_begin(now, attempt)
                else None
            )

        served = False  # by an answer that is still coming

        def begun(response: UpstreamResponse) -> None:
            nonlocal served
            served = True
            self._idle_resets.add(time.monotonic(), age, False)
            stream = response.stream
            assert stream is not None
            stream.owned(lambda: self.connections.close(connection))
            self._counters.add("answers_begun")
            self._ended(attempt, response, done)
            if not stream.taken():
                stream.abandon()

        def finished(response: UpstreamResponse, clean: bool) -> None:
            if not served:
                self._idle_resets.add(time.monotonic(), age, response.outcome is AttemptOutcome.BROKEN)
            if clean:
                asyncio.get_running_loop().call_later(_REST, self._rested, connection, exchange)
            else:
                self.connections.release(connection, False)
            if not served:
                self._ended(attempt, response, done)

        try:
            if exchange.ask(message, finished, begun, request_stream):
                self._counters.add("attempts_sent")
                self._out[pending.key] = connection
                return
        except LocalError as error:
            self._counters.add("writes_not_begun")
            self.connections.release(connection, not self._moved(connection))
            self._write_later(pending, error)
            return
        self.connections.release(connection, not self._moved(connection))
        # Who has left has been told on, and with it an attempt that was not begun has its ending. One whose
        # write was made before and failed here counts as begun there.
        if not abandoned or (pending.backoff is not None and self._coordinator.is_open(attempt.request)):
            self._end_soon(attempt, UpstreamResponse(AttemptOutcome.NOT_SENT), done)

    def _write_later(self, pending: _PendingAttempt, error: LocalError) -> None:
        """This machine could not write the first byte of an pending: it is made again, from the start, after
        a backoff, while there is time to wait for a connection."""
        pending.backoff = pending.backoff or Backoff(Random())
        delay = pending.backoff.next()
        if time.monotonic() + delay >= pending.patience_until:
            self._counters.log(f"an attempt was not begun: {error}", "warning")
            self._end_soon(pending.attempt, UpstreamResponse(AttemptOutcome.NOT_SENT), pending.done)
            return
        self._out[pending.key] = asyncio.get_running_loop().call_later(
            delay, lambda: self._connect(pending, time.monotonic())
        )

    def _moved(self, connection: UpstreamConnection) -> bool:
        """Whether an upstream wants nothing new any more, or listens elsewhere than a connection leads."""
        return self._coordinator.address(connection.upstream) != connection.address

    def _rested(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        """Nothing more has come on a connection since its answer, or it has been closed meanwhile."""
        if exchange.has_unexpected_bytes:
            self._counters.add("stray_answers")
        self.connections.release(
            connection, not exchange.has_unexpected_bytes and not self._moved(connection)
        )

    def _end_soon(self, attempt: Attempt, response: UpstreamResponse, done: Done) -> None:
        self._out[attempt.request, attempt.number] = asyncio.get_running_loop().call_soon(
            self._ended, attempt, response, done
        )

    def _ended(self, attempt: Attempt, response: UpstreamResponse, done: Done) -> None:
        self._out.pop((attempt.request, attempt.number), None)
        self._counters.add(_ENDED[response.outcome])
        done(attempt, response)

    def cancel_attempt(self, request: str, number: int) -> None:
        """Stop an attempt, and close its connection."""
        out = self._out.pop((request, number), None)
        if out is None:
            return
        self._counters.add("attempt_cancelled")
        if isinstance(out, UpstreamConnection):
            self.connections.close(out)
        elif isinstance(out, ConnectionWaiter):
            self.connections.cancel(out)
        else:
            out.cancel()

    def close_idle(self, upstream: str) -> None:
        self.connections.close_to(upstream)

    def warm_up(self, upstreams: list[str]) -> None:
        """These upstreams are new to the list: attempts on them will come."""
        if self._warm:
            for upstream in upstreams:
                address = self._coordinator.address(upstream)
                if address is not None:
                    self.connections.warm(upstream, address)

    def close_expired(self, now: float) -> None:
        """Close connections that were idle for long."""
        self.connections.close_expired(now)

    async def probe(self, upstream: str) -> tuple[AttemptOutcome, dict[str, float] | None]:
        """Ask an upstream for its load, on a connection that stays for the next attempt or probe."""
        outcome, load = await self._probe(upstream)
        self._counters.add("upstream_health_check_" + outcome.name.lower())
        if outcome is AttemptOutcome.OK and load is None:  # that report is lost, and nothing else
            self._counters.add("upstream_health_checks_without_report")
        return outcome, load

    async def _probe(self, upstream: str) -> tuple[AttemptOutcome, dict[str, float] | None]:
        address = self._coordinator.address(upstream)
        if address is None:
            return AttemptOutcome.NOT_SENT, None
        loop = asyncio.get_running_loop()
        up: asyncio.Future[UpstreamConnection | ConnectFailure] = loop.create_future()
        answer: asyncio.Future[tuple[UpstreamResponse, bool]] = loop.create_future()
        clean, exchange = False, None
        found = self.connections.acquire(
            upstream,
            address,
            self._connect_timeout,
            lambda connection: None if up.done() else up.set_result(connection),
        )
        connection = found if isinstance(found, UpstreamConnection) else None
        try:
            async with asyncio.timeout(_PROBE_TIME):
                if connection is None:
                    came = await up
                    if not isinstance(came, UpstreamConnection):
                        return (
                            AttemptOutcome.NOT_SENT
                            if came is ConnectFailure.LOCAL
                            else AttemptOutcome.NO_CONNECTION,
                            None,
                        )
                    connection = came
                assert isinstance(connection.handler, UpstreamExchange)
                exchange = connection.handler
                question = b"GET /_load HTTP/1.1\r\nHost: %s\r\n\r\n" % exchange.host
                exchange.ask(
                    lambda: [question],
                    lambda *answered: None if answer.done() else answer.set_result(answered),
                )
                response, clean = await answer
        except LocalError:
            return AttemptOutcome.NOT_SENT, None
        except TimeoutError:
            if connection is not None:
                return AttemptOutcome.TIMED_OUT, None
            held_back = isinstance(found, ConnectionWaiter) and self.connections.held_back(found)
            return AttemptOutcome.NOT_SENT if held_back else AttemptOutcome.NO_CONNECTION, None
        finally:
            # Given up at the very step at which it came up, it is in the future and must not stay there.
            if connection is None and up.done() and not up.cancelled():
                came = up.result()
                connection = came if isinstance(came, UpstreamConnection) else None
            if connection is not None and exchange is not None and clean:
                loop.call_later(_REST, self._rested, connection, exchange)
            elif connection is not None:
                self.connections.close(connection)
            elif isinstance(found, ConnectionWaiter):
                self.connections.cancel(found)
        if response.outcome in (AttemptOutcome.BROKEN, AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT):
            return response.outcome, None
        if response.outcome is not AttemptOutcome.OK:
            # 503 is the one other answer to a probe: not now, which is no fault of the upstream.
            return AttemptOutcome.REJECTED, response.load
        text = b"".join(response.body or ()).decode("latin-1").removeprefix("Server-Load:")
        return AttemptOutcome.OK, response.load or http.load_figures(text)


_ENDED = {outcome: "attempt_" + outcome.name.lower() for outcome in AttemptOutcome}
