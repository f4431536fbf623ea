"""The execute-node side: claims carried over HTTP/1.1, and how each of them ended."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from indigokeel.facade import Facade
from indigokeel.net import http
from indigokeel.net.bodies import Stream, Upload
from indigokeel.net.connections import Bounds, Connections, Link, NoConnection, Ticket
from indigokeel.net.connections.backoff import Backoff
from indigokeel.net.counters import Counters
from indigokeel.net.errors import LocalError
from indigokeel.net.exchange import Exchange, Reply, Task, UnsoundError
from indigokeel.orders import Claim, Outcome

_IDLE_PART = 0.5  # of keepalive-s; an idle connection is not used beyond it: the node closes at the whole
_PROBE_TIME = 1.0  # s for a probe
# s after an answer in which its connection is not used. Guards against the second answer that comes some
# milliseconds late (0.4 to 4.0 were seen) and would be taken for the next job's: nothing on it tells whose
# it is.
_REST = 0.005
# Of a claim's time, that its connection may take to come up, and the least of that in s. Guards against
# machines that are gone without a word: what was never written may go elsewhere, while there is time for it.
_CONNECT_PART, _CONNECT_LEAST = 0.35, 0.02
# Of an attempt's time, that its connection may take at most, however short that is: who waits is told before
# the time is over, or a wait that was this machine's own fault would pass for an upstream's silence.
_CONNECT_MOST = 0.7

Message = Callable[[], list[bytes] | None]
Done = Callable[[Claim, Reply], None]


class Talk:
    """What is said on one connection: one exchange at a time."""

    __slots__ = ("_begun", "_done", "_exchange", "_link", "_stream", "_upload", "host", "strays")

    def __init__(self, link: Link) -> None:
        self._link = link
        self.host = http.host(link.address)  # as a head names it
        self.strays = False  # something came that nobody asked for: it must not be used again
        self._exchange: Exchange | None = None
        self._done: Callable[[Reply, bool], None] | None = None
        self._begun: Callable[[Reply], None] | None = None
        self._stream: Stream | None = None
        self._upload: Upload | None = None

    def ask(
        self,
        message: Message,
        done: Callable[[Reply, bool], None],
        begun: Callable[[Reply], None] | None = None,
        upload: Upload | None = None,
    ) -> bool:
        """Write a message and have ``done`` called with what comes of it, and whether the connection is
        clean after it; never before this returns. Where the answer is long, ``begun`` is called with it
        first, and ``done`` at its end. ``upload`` follows the message.

        ``message`` is called right before the write, with nothing left to do between the two: whatever the
        message rests on (the clock, the client, the list) is asked there. Where it gives None, nothing is
        written and ``done`` is not called: False. So it is where this raises LocalError, for this machine
        cannot write now."""
        exchange = Exchange()
        pieces = message()
        if pieces is None:
            return False
        written = self._link.begin(pieces)
        self._exchange, self._done, self._begun = exchange, done, begun
        self._stream, self._upload = None, upload
        if not written:
            self._broken()
        if upload is not None:
            upload.attach(self)
        return True

    def write(self, pieces: list[bytes]) -> None:
        if not self._link.say(pieces):
            self._broken()

    def _broken(self) -> None:
        """Not all of the message was written, so it cannot have run."""
        asyncio.get_running_loop().call_soon(self._finish, Reply(Outcome.NO_CONNECTION))

    def clear(self) -> bool:
        return not self._link.spent()

    def drained(self) -> None:
        if self._upload is not None:
            self._upload.flush()

    def heard(self, data: bytes) -> None:
        exchange = self._exchange
        if exchange is None:
            self.strays = True
            return
        try:
            exchange.feed(data)
        except UnsoundError:
            self._finish(Reply(Outcome.BROKEN))
            return
        if self._stream is None and self._begun is not None and exchange.long():
            stream = self._stream = Stream(self._link, exchange.length)
            self._begun(Reply(Outcome.SERVED, exchange.reply().load, None, stream))
        if self._stream is not None:
            self._stream.feed(exchange.take())
        if exchange.complete:
            self._finish(exchange.reply(), exchange.clean)

    def lost(self, unsent: bool, ended: bool, local: bool) -> None:
        if ended and self._exchange is not None and self._exchange.ends_here():
            self._finish(self._exchange.reply())
            return
        unsent = unsent or (self._upload is not None and not self._upload.passed)
        if unsent and local:  # it cannot have run, and it was not the upstream that failed
            self._finish(Reply(Outcome.MOOT))
        else:
            self._finish(Reply(Outcome.NO_CONNECTION if unsent else Outcome.BROKEN))

    def _finish(self, reply: Reply, clean: bool = False) -> None:
        done, self._exchange, self._done, self._begun = self._done, None, None, None
        stream, upload, self._stream, self._upload = self._stream, self._upload, None, None
        if stream is not None:
            stream.end(reply.outcome is Outcome.SERVED)
        if upload is not None:
            clean = clean and upload.passed
            upload.drop()
        if done is not None:
            done(reply, clean)


@dataclass(slots=True)
class _Attempt:
    """An attempt on its way to its first byte."""

    claim: Claim
    task: Task
    done: Done
    patience_until: float  # clock time; when a connection must have come up and taken the first byte
    backoff: Backoff | None = None  # between the writes that this machine could not make

    @property
    def key(self) -> tuple[str, int]:
        return self.claim.job, self.claim.number


class Pool:
    """Claims on their way to execute nodes, over the connections kept for them."""

    def __init__(
        self,
        facade: Facade,
        counters: Counters,
        connect_timeout: float,
        keepalive: float,
        most: int,
        seed: int = 0,
        warm: bool = False,
    ) -> None:
        """``most`` is the bound on connections; ``warm``: open one ahead to a node that is new, where
        connections have no price."""
        self._facade, self._counters, self._warm = facade, counters, warm
        self._connect_timeout = connect_timeout
        self._out: dict[tuple[str, int], Link | Ticket | asyncio.Handle] = {}  # claims, by job and number
        self.connections = Connections(
            Bounds.of(most),
            Talk,
            counters.add,
            lambda level, text: counters.log(text, level),
            time.monotonic,
            seed,
            connect_timeout,
            keepalive * _IDLE_PART,
        )
        self._risk = self.connections.risk

    def reconfigure(self, connect_timeout: float, keepalive: float) -> None:
        """Take other times, in seconds, for what is opened or kept from now on."""
        self._connect_timeout = connect_timeout
        self.connections.reconfigure(connect_timeout, keepalive * _IDLE_PART)

    @property
    def open(self) -> int:
        """Connections that are opening, idle or in use."""
        return len(self.connections.books)

    def start(self, claim: Claim, task: Task, done: Done) -> None:
        """Carry a claim through. ``done`` is called once, unless the claim is given up before; never
        before this returns."""
        now = time.monotonic()
        left = claim.until - now
        if left <= 0.0:  # the process was held up: nobody was asked, so nobody has failed
            self._end_soon(claim, Reply(Outcome.MOOT), done)
            return
        patience = max(left * _CONNECT_PART, min(_CONNECT_LEAST, left * _CONNECT_MOST))
        self._connect(_Attempt(claim, task, done, now + min(self._connect_timeout, patience)), now)

    def _connect(self, attempt: _Attempt, now: float) -> None:
        """Have a connection for an attempt."""
        claim = attempt.claim
        address = self._facade.address(claim.node)
        if address is None:
            self._end_soon(claim, Reply(Outcome.MOOT), attempt.done)
            return

        def ready(found: Link | NoConnection) -> None:
            if isinstance(found, Link):
                self._send(found, attempt)
            else:
                outcome = Outcome.MOOT if found is NoConnection.LOCAL else Outcome.NO_CONNECTION
                self._ended(claim, Reply(outcome), attempt.done)

        patience = max(attempt.patience_until - now, 0.0)
        found = self.connections.borrow(claim.node, address, patience, ready, attempt.task.unsafe)
        if isinstance(found, Link):
            self._send(found, attempt)
        else:
            self._out[attempt.key] = found

    def _send(self, link: Link, attempt: _Attempt) -> None:
        """Write an attempt on a connection, unless it may not go out any more: its node has begun to drain or
        has moved, its client has left, its time is over."""
        claim, task, done = attempt.claim, attempt.task, attempt.done
        self._out.pop(attempt.key, None)
        talk = link.conversation
        assert isinstance(talk, Talk)
        front = b"%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: " % (
            task.method,
            task.target,
            talk.host,
            task.id,
        )
        rest = b"\r\n" if task.key is None else b"\r\nIdempotency-Key: %s\r\n" % task.key
        upload = task.upload
        if upload is not None and upload.length < 0:
            rest += b"Transfer-Encoding: chunked\r\n"
        elif task.has_body:
            rest += b"Content-Length: %d\r\n" % (upload.length if upload else sum(map(len, task.body)))
        rest += b"\r\n"
        body = task.body if task.has_body and upload is None else []
        age, abandoned = -1.0, False

        def message() -> list[bytes] | None:
            # Called right before the write. The client is asked after the clock, for it allows the least
            # delay: the process may be held up in between, and a deadline may be told 0.15 s too late, where
            # an attempt must not begin 0.1 s after a close. What follows makes no call of the system.
            nonlocal age, abandoned
            now = time.monotonic()
            left = int((claim.until - now) * 1000.0)
            if link.idle_since > 0.0:
                age = now - link.idle_since
            pieces = [b"%s%d%s" % (front, left, rest), *body]
            if task.left():
                abandoned = True
                return None
            return pieces if left >= 1 and not self._moved(link) and self._facade.begin(now, claim) else None

        served = False  # by an answer that is still coming

        def begun(reply: Reply) -> None:
            nonlocal served
            served = True
            self._risk.add(time.monotonic(), age, False)
            stream = reply.stream
            assert stream is not None
            stream.owned(lambda: self.connections.close(link))
            self._counters.add("answers_begun")
            self._ended(claim, reply, done)
            if not stream.taken():
                stream.abandon()

        def finished(reply: Reply, clean: bool) -> None:
            if not served:
                self._risk.add(time.monotonic(), age, reply.outcome is Outcome.BROKEN)
            if clean:
                asyncio.get_running_loop().call_later(_REST, self._rested, link, talk)
            else:
                self.connections.give_back(link, False)
            if not served:
                self._ended(claim, reply, done)

        try:
            if talk.ask(message, finished, begun, upload):
                self._counters.add("claims_sent")
                self._out[attempt.key] = link
                return
        except LocalError as error:
            self._counters.add("writes_not_begun")
            self.connections.give_back(link, not self._moved(link))
            self._write_later(attempt, error)
            return
        self.connections.give_back(link, not self._moved(link))
        # Who has left has been told on, and with it an attempt that was not begun has its ending. One whose
        # write was made before and failed here counts as begun there.
        if not abandoned or (attempt.backoff is not None and self._facade.knows(claim.job)):
            self._end_soon(claim, Reply(Outcome.MOOT), done)

    def _write_later(self, attempt: _Attempt, error: LocalError) -> None:
        """This machine could not write the first byte of an attempt: it is made again, from the start, after
        a backoff, while there is time to wait for a connection."""
        attempt.backoff = attempt.backoff or Backoff(Random())
        delay = attempt.backoff.next()
        if time.monotonic() + delay >= attempt.patience_until:
            self._counters.log(f"an attempt was not begun: {error}", "warning")
            self._end_soon(attempt.claim, Reply(Outcome.MOOT), attempt.done)
            return
        self._out[attempt.key] = asyncio.get_running_loop().call_later(
            delay, lambda: self._connect(attempt, time.monotonic())
        )

    def _moved(self, link: Link) -> bool:
        """Whether an upstream wants nothing new any more, or listens elsewhere than a connection leads."""
        return self._facade.address(link.node) != link.address

    def _rested(self, link: Link, talk: Talk) -> None:
        """Nothing more has come on a connection since its answer, or it has been closed meanwhile."""
        if talk.strays:
            self._counters.add("stray_answers")
        self.connections.give_back(link, not talk.strays and not self._moved(link))

    def _end_soon(self, claim: Claim, reply: Reply, done: Done) -> None:
        self._out[claim.job, claim.number] = asyncio.get_running_loop().call_soon(
            self._ended, claim, reply, done
        )

    def _ended(self, claim: Claim, reply: Reply, done: Done) -> None:
        self._out.pop((claim.job, claim.number), None)
        self._counters.add(_ENDED[reply.outcome])
        done(claim, reply)

    def give_up(self, job: str, number: int) -> None:
        """Stop a claim, and close its connection."""
        out = self._out.pop((job, number), None)
        if out is None:
            return
        self._counters.add("claim_given_up")
        if isinstance(out, Link):
            self.connections.close(out)
        elif isinstance(out, Ticket):
            self.connections.cancel(out)
        else:
            out.cancel()

    def close_idle(self, node: str) -> None:
        self.connections.close_to(node)

    def listed(self, nodes: list[str]) -> None:
        """These nodes are new to the list: claims on them will come."""
        if self._warm:
            for node in nodes:
                address = self._facade.address(node)
                if address is not None:
                    self.connections.warm(node, address)

    def retire(self, now: float) -> None:
        """Close connections that were idle for long."""
        self.connections.retire(now)

    async def probe(self, node: str) -> tuple[Outcome, dict[str, float] | None]:
        """Ask an execute node for its load, on a connection that stays for the next claim or probe."""
        outcome, load = await self._probe(node)
        self._counters.add("probe_" + outcome.name.lower())
        if outcome is Outcome.SERVED and load is None:  # that report is lost, and nothing else
            self._counters.add("probes_without_figures")
        return outcome, load

    async def _probe(self, node: str) -> tuple[Outcome, dict[str, float] | None]:
        address = self._facade.address(node)
        if address is None:
            return Outcome.MOOT, None
        loop = asyncio.get_running_loop()
        up: asyncio.Future[Link | NoConnection] = loop.create_future()
        answer: asyncio.Future[tuple[Reply, bool]] = loop.create_future()
        clean, talk = False, None
        found = self.connections.borrow(
            node, address, self._connect_timeout, lambda link: None if up.done() else up.set_result(link)
        )
        link = found if isinstance(found, Link) else None
        try:
            async with asyncio.timeout(_PROBE_TIME):
                if link is None:
                    came = await up
                    if not isinstance(came, Link):
                        return Outcome.MOOT if came is NoConnection.LOCAL else Outcome.NO_CONNECTION, None
                    link = came
                assert isinstance(link.conversation, Talk)
                talk = link.conversation
                question = b"GET /_load HTTP/1.1\r\nHost: %s\r\n\r\n" % talk.host
                talk.ask(
                    lambda: [question],
                    lambda *answered: None if answer.done() else answer.set_result(answered),
                )
                reply, clean = await answer
        except LocalError:
            return Outcome.MOOT, None
        except TimeoutError:
            if link is not None:
                return Outcome.TIMED_OUT, None
            held_back = isinstance(found, Ticket) and self.connections.held_back(found)
            return Outcome.MOOT if held_back else Outcome.NO_CONNECTION, None
        finally:
            # Given up at the very step at which it came up, it is in the future and must not stay there.
            if link is None and up.done() and not up.cancelled():
                came = up.result()
                link = came if isinstance(came, Link) else None
            if link is not None and talk is not None and clean:
                loop.call_later(_REST, self._rested, link, talk)
            elif link is not None:
                self.connections.close(link)
            elif isinstance(found, Ticket):
                self.connections.cancel(found)
        if reply.outcome in (Outcome.BROKEN, Outcome.NO_CONNECTION, Outcome.MOOT):
            return reply.outcome, None
        if reply.outcome is not Outcome.SERVED:
            # 503 is the one other answer to a probe: not now, which is no fault of the node.
            return Outcome.TURNED_AWAY, reply.load
        text = b"".join(reply.body or ()).decode("latin-1").removeprefix("Server-Load:")
        return Outcome.SERVED, reply.load or http.load_figures(text)


_ENDED = {outcome: "claim_" + outcome.name.lower() for outcome in Outcome}
