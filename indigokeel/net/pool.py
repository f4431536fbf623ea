"""The execute-node side: connections, claims on them, and what an answer says of how a claim ended."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from indigokeel.facade import Claim, Facade, Outcome
from indigokeel.net import http
from indigokeel.net.counters import Counters

_IDLE_PART = 0.5  # of keepalive-s; an idle connection is not used beyond it: the node closes at the whole
_PROBE_TIME = 1.0  # s for a probe
# Of a claim's time, that its connection may take to come up, and the least of that in s. Guards against
# machines that are gone without a word: what was never written may go elsewhere, while there is time for it.
_CONNECT_PART, _CONNECT_LEAST = 0.35, 0.02
_YOUNGEST = 0.025  # s idle; ages are told apart from here on, each span twice as long as the one before ...
_AGES = 12  # ... and so many of them
_RISK_TAU = 20.0  # s in which what was seen of an age loses most of its weight
_RISK_PRIOR, _RISK_COUNT = (
    0.02,
    5.0,
)  # the part of claims that break anywhere, and how much that belief weighs
_RISK_MORE = 0.06  # a connection is not used at an age at which so many more break than on new ones
_MOST_AHEAD = 16  # 1xx answers before the final one


@dataclass(frozen=True, slots=True)
class Task:
    """What of a submitter's message goes on to an execute node, unchanged."""

    method: bytes
    target: bytes
    id: bytes
    key: bytes | None
    body: http.Body
    has_body: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """What came of a claim."""

    outcome: Outcome
    load: dict[str, float] | None = None
    body: http.Body | None = None


class UnsoundError(Exception):
    """An answer that cannot be trusted to be whole, or to be an answer at all."""


class Exchange:
    """Reads the one answer that is owed on a connection. httptools calls the ``on_`` methods."""

    __slots__ = (
        "_ahead", "_body_at", "_got", "_head", "_keep", "_parser", "_size", "body", "chunked", "clean",
        "complete", "headers", "length", "status",
    )  # fmt: skip

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._ahead = 0  # 1xx answers so far
        self._got = self._size = 0  # bytes in all, and of the body
        self._head = b""  # the bytes up to the body, while that has not begun
        self._body_at = -1
        self.headers: dict[bytes, bytes] = {}
        self.body: http.Body = []
        self.length = -1
        self.chunked = self.complete = self._keep = False
        self.status = 0
        self.clean = False  # complete, with nothing behind it: the connection may serve again

    def feed(self, data: bytes) -> None:
        """Take in bytes; raises UnsoundError on an answer that will never be one."""
        self._got += len(data)
        if self._body_at < 0:
            self._head += data
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:  # else it is what came behind a good answer
                raise UnsoundError(str(error)) from None
            return
        if self._body_at < 0:
            if self.status >= 200:
                at = 0
                for _ in range(self._ahead + 1):
                    at = self._head.find(b"\r\n\r\n", at) + 4
                self._body_at, self._head = at, b""
            elif len(self._head) > http.MAX_HEAD:
                raise UnsoundError("a head without an end")
        if self.complete:
            # Guards against the answer that brings more than belongs to it: what is left over would pass
            # for the next job's answer. llhttp skips empty lines, so the bytes are counted.
            exact = data.endswith(b"0\r\n\r\n") if self.chunked else self._got == self._body_at + self.length
            self.clean = exact and self._keep

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if self.complete:
            return
        if name in (b"content-length", b"transfer-encoding") and name in self.headers:
            raise UnsoundError("two lengths")
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._ahead += 1
            if self._ahead > _MOST_AHEAD or status == 101:
                raise UnsoundError("an answer that does not come")
            self.headers.clear()
            return
        # An answer says in one way, and one way only, where it ends. Without a length a broken one passes
        # for whole; with two, what follows it may be taken for its body or the other way round.
        length, coding = self.headers.get(b"content-length"), self.headers.get(b"transfer-encoding")
        if (length is None) == (coding is None):
            raise UnsoundError("no length, or two")
        if coding is not None and coding.strip().lower() != b"chunked":
            raise UnsoundError("a coding that nobody asked for")
        self.chunked = coding is not None
        if length is not None:
            self.length = int(length)
            if self.length > http.MAX_BODY:
                raise UnsoundError("the body is too large")
        self.status = status

    def on_body(self, data: bytes) -> None:
        if self.complete:
            return
        self._size += len(data)
        if self._size > http.MAX_BODY:
            raise UnsoundError("the body is too large")
        self.body.append(data)

    def on_message_complete(self) -> None:
        if self.status and not self.complete:
            self.complete = True
            self._keep = self._parser.should_keep_alive()  # known only here

    def reply(self) -> Reply:
        """What the complete answer means for the claim."""
        report = self.headers.get(b"server-load")
        load = http.load_figures(report.decode("latin-1")) if report else None
        if self.status == 200:
            return Reply(Outcome.SERVED, load, self.body)
        # Only the node's own word proves that it never began.
        if self.status in (503, 504) and self.headers.get(b"not-started") == b"1":
            return Reply(Outcome.TURNED_AWAY, load)
        return Reply(Outcome.ERROR, load)


class Wire(asyncio.Protocol):
    """One connection to an execute node: idle, or with one exchange on it."""

    __slots__ = ("_closed", "_done", "_exchange", "_fd", "_transport", "address", "idle_since", "made")

    def __init__(self, address: tuple[str, int], closed: Callable[[Wire], None]) -> None:
        self.address, self._closed = address, closed
        self._exchange: Exchange | None = None
        self._done: Callable[[Reply], None] | None = None
        self._transport: asyncio.Transport
        self._fd = -1
        self.made = False  # came up
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport, self.made = cast(asyncio.Transport, transport), True
        self._fd = transport.get_extra_info("socket").fileno()

    def alive(self) -> bool:
        """Whether an idle connection is still up, and there is nothing on it that nobody asked for."""
        return self._fd >= 0 and not self._transport.is_closing() and not http.readable(self._fd)

    def ask(self, pieces: list[bytes], done: Callable[[Reply], None]) -> None:
        """Write a message and have ``done`` called with what comes of it."""
        self._exchange, self._done = Exchange(), done
        try:
            sent = http.write(self._fd, pieces)
        except OSError:
            # Not all of it was written, so it cannot have run. Told a little later, as every ending is.
            self.close()
            asyncio.get_running_loop().call_soon(done, Reply(Outcome.NO_CONNECTION))
            return
        if sent < sum(map(len, pieces)):
            self._transport.write(b"".join(pieces)[sent:])

    def data_received(self, data: bytes) -> None:
        exchange = self._exchange
        if exchange is None:  # nobody asked for it, and nobody shall be served it
            self.close()
            return
        try:
            exchange.feed(data)
        except UnsoundError:
            self._finish(Reply(Outcome.BROKEN))
            return
        if exchange.complete:
            self._finish(exchange.reply(), exchange.clean)

    def _finish(self, reply: Reply, clean: bool = False) -> None:
        done, self._exchange, self._done = self._done, None, None
        if not clean:
            self.close()
        if done is not None:
            done(reply)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fd = -1
        self._closed(self)
        if self._done is not None:
            self._finish(Reply(Outcome.BROKEN))

    def close(self) -> None:
        """Close at once. What is still to come is nobody's."""
        self._done = None
        if self._fd >= 0:
            self._fd = -1
            self._transport.abort()


class IdleRisk:
    """What became of claims, by how long their connection had stood idle before.

    Guards against nodes, or what stands before them, that drop idle connections long before keepalive-s and
    say nothing: a job written to one may have run for all anyone knows, and is lost where it must not be
    sent again. Where that is common at some age, connections are not used at that age or over it."""

    def __init__(self) -> None:
        self._of: list[list[float]] = [[0.0, 0.0, 0.0] for _ in range(_AGES + 1)]  # claims, broken, when

    def add(self, now: float, age: float, broken: bool) -> None:
        """``age`` is negative for a connection that was made for its claim."""
        entry = self._entry(now, self._index(age))
        entry[0] += 1.0
        entry[1] += broken

    def too_old(self, now: float, age: float) -> bool:
        bound = self._risk(now, 0) + _RISK_MORE
        return any(self._risk(now, index) > bound for index in range(1, self._index(age) + 1))

    @staticmethod
    def _index(age: float) -> int:
        return 0 if age < 0.0 else min(max(int(math.log2(age / _YOUNGEST + 1e-9)) + 2, 1), _AGES)

    def _entry(self, now: float, index: int) -> list[float]:
        entry = self._of[index]
        keep = math.exp((entry[2] - now) / _RISK_TAU)
        entry[:] = entry[0] * keep, entry[1] * keep, now
        return entry

    def _risk(self, now: float, index: int) -> float:
        claims, broken, _ = self._entry(now, index)
        return (broken + _RISK_PRIOR * _RISK_COUNT) / (claims + _RISK_COUNT)


class Pool:
    """Connections to execute nodes; idle ones are kept for the next claim."""

    def __init__(
        self, facade: Facade, counters: Counters, connect_timeout: float, keepalive: float, most: int
    ) -> None:
        self._facade, self._counters = facade, counters
        self._connect_timeout, self._idle_most = connect_timeout, keepalive * _IDLE_PART
        self._most = most
        self._idle: dict[str, list[Wire]] = {}
        self._out: dict[tuple[str, int], Wire | asyncio.Task[None]] = {}  # claims, by job and number
        self._risk = IdleRisk()
        self.open = 0

    def start(self, claim: Claim, task: Task, done: Callable[[Claim, Reply], None]) -> None:
        """Carry a claim through. ``done`` is called once, unless the claim is given up before; never
        before this returns."""
        address = self._facade.address(claim.node)
        wire = self._take_idle(claim.node, address) if address is not None else None
        if wire is None:
            self._out[claim.job, claim.number] = asyncio.create_task(
                self._connect_and_send(claim, task, address, done)
            )
        else:
            self._send(wire, claim, task, done)

    async def _connect_and_send(
        self,
        claim: Claim,
        task: Task,
        address: tuple[str, int] | None,
        done: Callable[[Claim, Reply], None],
    ) -> None:
        if address is None:
            self._ended(claim, Reply(Outcome.MOOT), done)
            return
        try:
            left = (claim.until - time.monotonic()) * _CONNECT_PART
            wire = await self._open(address, min(self._connect_timeout, max(left, _CONNECT_LEAST)))
        except (OSError, TimeoutError):
            self._ended(claim, Reply(Outcome.NO_CONNECTION), done)
            return
        except asyncio.CancelledError:
            raise
        except Exception as error:  # an unforeseen fault is this claim's ending and nobody else's
            self._counters.add("claim_faults")
            self._counters.log(f"fault in a claim: {type(error).__name__}: {error}")
            self._ended(claim, Reply(Outcome.NO_CONNECTION), done)
            return
        self._send(wire, claim, task, done)

    def _send(self, wire: Wire, claim: Claim, task: Task, done: Callable[[Claim, Reply], None]) -> None:
        # The node may have begun to drain or moved, or the job be over, while the connection came up.
        now = time.monotonic()
        moved = self._facade.address(claim.node) != wire.address
        if moved or not self._facade.begin(now, claim):
            if moved:
                wire.close()
            else:
                self._keep(claim.node, wire)
            asyncio.get_running_loop().call_soon(self._ended, claim, Reply(Outcome.MOOT), done)
            return
        remaining = max(int((claim.until - now) * 1000.0), 1)
        head = b"%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\n" % (
            task.method,
            task.target,
            http.host(wire.address),
            task.id,
            remaining,
        )
        if task.key is not None:
            head += b"Idempotency-Key: %s\r\n" % task.key
        if task.has_body:
            head += b"Content-Length: %d\r\n" % sum(map(len, task.body))
        self._counters.add("claims_sent")
        self._out[claim.job, claim.number] = wire

        age = now - wire.idle_since if wire.idle_since > 0.0 else -1.0

        def finished(reply: Reply) -> None:
            self._risk.add(time.monotonic(), age, reply.outcome is Outcome.BROKEN)
            if wire.alive():
                self._keep(claim.node, wire)
            else:
                wire.close()
            self._ended(claim, reply, done)

        wire.ask([head + b"\r\n", *task.body] if task.has_body else [head + b"\r\n"], finished)

    def _ended(self, claim: Claim, reply: Reply, done: Callable[[Claim, Reply], None]) -> None:
        self._out.pop((claim.job, claim.number), None)
        self._counters.add("claim_" + reply.outcome.name.lower())
        done(claim, reply)

    def give_up(self, job: str, number: int) -> None:
        """Stop a claim, and close its connection."""
        out = self._out.pop((job, number), None)
        if out is None:
            return
        self._counters.add("claim_given_up")
        if isinstance(out, Wire):
            out.close()
        else:
            out.cancel()

    def close_idle(self, node: str) -> None:
        for wire in self._idle.pop(node, ()):
            wire.close()

    def retire(self, now: float) -> None:
        """Close connections that were idle for long."""
        for node, kept in list(self._idle.items()):
            old = [wire for wire in kept if now - wire.idle_since >= self._idle_most or not wire.alive()]
            for wire in old:
                kept.remove(wire)
                wire.close()
            if not kept:  # names come and go for ever; only those in use are kept
                del self._idle[node]

    async def probe(self, node: str) -> tuple[Outcome, dict[str, float] | None]:
        """Ask an execute node for its load."""
        address = self._facade.address(node)
        if address is None:
            return Outcome.MOOT, None
        wire, body = None, b""
        try:
            async with asyncio.timeout(_PROBE_TIME):
                wire = await self._open(address, self._connect_timeout)
                answer: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
                message = b"GET /_load HTTP/1.1\r\nHost: %s\r\n\r\n" % http.host(address)
                wire.ask([message], lambda reply: None if answer.done() else answer.set_result(reply))
                reply = await answer
        except TimeoutError:
            return Outcome.NO_CONNECTION if wire is None else Outcome.TIMED_OUT, None
        except OSError:
            return Outcome.NO_CONNECTION, None
        finally:
            if wire is not None:
                wire.close()
        if reply.outcome in (Outcome.BROKEN, Outcome.NO_CONNECTION):
            return reply.outcome, None
        if reply.outcome is not Outcome.SERVED:
            # 503 is the one other answer to a probe: not now, which is no fault of the node.
            return Outcome.TURNED_AWAY, reply.load
        body = b"".join(reply.body or ())
        text = body.decode("latin-1").removeprefix("Server-Load:")
        return Outcome.SERVED, reply.load or http.load_figures(text)

    async def _open(self, address: tuple[str, int], patience: float) -> Wire:
        if self.open >= self._most:
            self._shed_idle()
        if self.open >= self._most:
            raise OSError("no descriptor to spare for a connection")
        self.open += 1
        wire = Wire(address, self._lost)
        try:
            async with asyncio.timeout(patience):
                await asyncio.get_running_loop().create_connection(lambda: wire, *address)
        except BaseException:
            if wire.made:  # given up just as it came up
                wire.close()
            else:
                self.open -= 1
            raise
        self._counters.add("node_connections")
        return wire

    def _lost(self, wire: Wire) -> None:
        self.open -= 1

    def _keep(self, node: str, wire: Wire) -> None:
        if self._facade.address(node) == wire.address:
            wire.idle_since = time.monotonic()
            self._idle.setdefault(node, []).append(wire)
        else:
            wire.close()

    def _take_idle(self, node: str, address: tuple[str, int]) -> Wire | None:
        """The idle connection used last, if it is young, leads to the address of now, and is alive with
        nothing to read: asked here, right before the first byte."""
        kept = self._idle.get(node)
        now = time.monotonic()
        while kept:
            wire = kept.pop()
            age = now - wire.idle_since
            young = age < self._idle_most and not self._risk.too_old(now, age)
            if wire.address == address and young and wire.alive():
                return wire
            wire.close()
        return None

    def _shed_idle(self) -> None:
        oldest = min(
            (kept for kept in self._idle.values() if kept), key=lambda kept: kept[0].idle_since, default=None
        )
        if oldest:
            oldest.pop(0).close()
