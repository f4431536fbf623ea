"""The upstreams, discovery and clients of a run, in one event loop. Each records what it sees."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import re
import time
from random import Random
from typing import Any

from tests.peers import entry, make_endpoint_list, ok, request, status
from tests.soak.history import Answer, Arrival, ClientRequest, History
from tests.soak.schedule import DiscoveryFault, UpstreamFault

MIN_ANSWER_S, MAX_ANSWER_S = 0.0, 0.02
BLANK_LINE_INTERVAL_S = 1.0
CLIENT_WAIT_S = 12.0  # how long a client waits for an answer: far longer than every request timeout
CONNECT_RETRY_S = 0.02
MAX_BODY_BYTES = 3000


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes, float]:
    """Read one message framed by Content-Length; return its first line, headers, body and begin time."""
    first = await reader.readexactly(1)
    begun_at = time.monotonic()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = head.split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return line, headers, body, begun_at


class Upstream:
    """An upstream that echoes each body, unless a fault is set."""

    def __init__(self, name: str, group: int, history: History, random: Random) -> None:
        self.name, self.group = name, group
        self.port = 0
        self.since_ms = 0
        self.state = "Ready"
        self.fault: UpstreamFault | None = None
        self._history, self._random = history, random

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        return entry(self.name, self.port, self.state, self.group, self.since_ms)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._exchange(reader, writer):
                pass
        writer.close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        _, headers, body, begun_at = await read_message(reader)
        fault = self.fault
        arrival = Arrival(
            headers["request-id"], self.name, self.group, begun_at, fault is not UpstreamFault.BUSY
        )
        self._history.arrivals.append(arrival)
        answer = ok(body or b"none")
        if fault is UpstreamFault.BUSY:
            answer = status(503, "Not-Started: 1\r\n")
        elif fault is UpstreamFault.ERROR:
            answer = status(500)
        elif fault is UpstreamFault.RESET:
            writer.transport.abort()
            return False
        elif fault is UpstreamFault.CUT_OFF:
            writer.write(answer[:-2])
            return False
        while self.fault is UpstreamFault.HANG:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self._random.uniform(MIN_ANSWER_S, MAX_ANSWER_S))
        writer.write(answer)
        await writer.drain()
        return True


class Discovery:
    """Discovery that sends each new watch the whole endpoint list, then every change."""

    def __init__(self, upstreams: list[Upstream]) -> None:
        self.port = 0
        self.fault: DiscoveryFault | None = None
        self.fault_ended_at = 0.0
        self._upstreams = upstreams
        self._watches: set[asyncio.StreamWriter] = set()
        self._index = 1

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def whole_list(self) -> dict[str, Any]:
        return make_endpoint_list(*(each.entry() for each in self._upstreams), index=self._index)

    def watch_count(self) -> int:
        return len(self._watches)

    def begin_fault(self, fault: DiscoveryFault) -> None:
        self.fault = fault
        if fault is DiscoveryFault.DOWN:
            for watch in list(self._watches):
                watch.transport.abort()

    def end_fault(self) -> None:
        self.fault = None
        self.fault_ended_at = time.monotonic()
        for watch in list(self._watches):  # the fault has kept changes from these watches
            watch.transport.abort()

    def publish(self, upstream: Upstream) -> None:
        """Send a changed endpoint to each watch."""
        self._index += 1
        change = make_endpoint_list(upstream.entry(), index=self._index, snapshot=False)
        if self.fault is None:
            for watch in list(self._watches):
                _write_line(watch, change)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is DiscoveryFault.DOWN:
            writer.transport.abort()
            return
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            _write_line(writer, self.whole_list())
            self._watches.add(writer)
            while not writer.transport.is_closing():
                await asyncio.sleep(BLANK_LINE_INTERVAL_S)
                if self.fault is None:
                    writer.write(b"1\r\n\n\r\n")
        self._watches.discard(writer)
        writer.close()


def _write_line(writer: asyncio.StreamWriter, value: dict[str, Any]) -> None:
    line = json.dumps(value).encode() + b"\n"
    writer.write(b"%x\r\n%s\r\n" % (len(line), line))


class Client:
    """One client application, which reuses its connection for as long as that stays open."""

    def __init__(self, address: tuple[str, int], history: History, random: Random) -> None:
        self.stopping = False
        self._address, self._history, self._random = address, history, random
        self._numbers = itertools.count(random.randrange(1 << 40))
        self._closes_after_answer = False  # the last answer carried "Connection: close"
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        while not self.stopping:
            if self._connection is None:
                await self._connect()
                continue
            await self._use_connection()
            await asyncio.sleep(self._random.choice((0.0, 0.005, 0.05)))
        self._disconnect()

    async def _connect(self) -> None:
        try:
            self._connection = await asyncio.open_connection(*self._address)
        except OSError:
            await asyncio.sleep(CONNECT_RETRY_S)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def _use_connection(self) -> None:
        """Send one or several pipelined requests, then read the answers or disconnect before they come."""
        disconnects_early = self._random.random() < 0.05
        count = self._random.choice((1, 1, 1, 2, 4))
        sent = [await self._send() for _ in range(count)]
        for ahead, behind in itertools.pairwise(sent):
            behind.pipeline_due_at = max(ahead.pipeline_due_at, ahead.sent_at + ahead.timeout_s)
        if disconnects_early:
            await asyncio.sleep(self._random.choice((0.0, 0.002, 0.02)))
            self._abandon(sent)
            return
        for number, each in enumerate(sent):
            if not await self._read_answer(each):
                self._mark_closed(sent[number:])
                return
        if self._random.random() < 0.1:
            self._disconnect()

    async def _send(self) -> ClientRequest:
        random = self._random
        class_name = random.choice(("pay", "view", "order"))
        body = b"%d." % next(self._numbers) + b"x" * random.choice((0, 10, MAX_BODY_BYTES))
        timeout_ms = random.choice((1500, 2500, 5000))
        raw = request(class_name, body, timeout_ms, more=f"Idempotency-Key: {body[:12].decode()}\r\n")
        found = re.search(rb"Request-Id: (\w+)", raw)
        assert found is not None and self._connection is not None
        sent = ClientRequest(found[1].decode(), class_name, body, 0.0, timeout_ms / 1000.0)
        self._history.requests[sent.id] = sent
        sent.sent_at = time.monotonic()  # provisional: the program may answer before the last write returns
        writer = self._connection[1]
        if random.random() < 0.1:
            at = random.randrange(1, len(raw))
            writer.write(raw[:at])
            await asyncio.sleep(random.choice((0.001, 0.03)))
            raw = raw[at:]
        writer.write(raw)
        sent.sent_at = time.monotonic()
        return sent

    async def _read_answer(self, sent: ClientRequest) -> bool:
        """Read one answer; return whether the connection can be used for another request."""
        assert self._connection is not None
        reader = self._connection[0]
        try:
            async with asyncio.timeout(CLIENT_WAIT_S):
                line, headers, body, _ = await read_message(reader)
        except TimeoutError:
            sent.client_timed_out = True
            return False
        except asyncio.IncompleteReadError as error:
            if error.partial:
                sent.answers.append(Answer(time.monotonic(), 0, is_complete=False))
            sent.closed_at = time.monotonic()
            return False
        except OSError:
            sent.closed_at = time.monotonic()
            return False
        sent.answers.append(Answer(time.monotonic(), int(line.split(" ")[1]), True, body))
        self._closes_after_answer = headers.get("connection") == "close"
        return not self._closes_after_answer

    def _mark_closed(self, requests: list[ClientRequest]) -> None:
        """Record that the connection ended under those of these requests that have no answer."""
        for each in requests:
            if not each.answers:
                each.closed_at = min(each.closed_at, time.monotonic())
                each.after_connection_close = self._closes_after_answer
        self._disconnect()

    def _abandon(self, requests: list[ClientRequest]) -> None:
        self._disconnect()
        for each in requests:
            each.client_disconnected_at = time.monotonic()
