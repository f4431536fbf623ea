"""A port server: begins a request at its last byte, works on it, and answers 200 with a body made for it.

It runs as a process of its own, prints its port, and writes one JSON object a line to its log. What it does
beyond a sound server is set by options, each of which the pages name:

``--full SHARE``: so many requests are turned away unseen, as by a port server whose queue is full.
``--second SHARE,MIN_MS,MAX_MS``: so many answers are sent a second time, so many milliseconds later.
``--long SHARE,BYTES,PIECE,PAUSE_S``: so many answers are long and chunked; the port server takes a pause
after the first piece.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import select
import socket
import sys
import time
from typing import TextIO

from review.standins.http import BrokenMessageError, Message, Stream, listen

_CHUNK_BYTES = 32 * 1024
_TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"


class PortServer:
    """One port server."""

    def __init__(self, options: argparse.Namespace, log: TextIO) -> None:
        self._options = options
        self._log_file = log
        self._random = random.Random(options.seed)
        self._made = 0
        self._in_work = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def log(self, event: str, **more: float | str) -> None:
        """Write a line to the log."""
        line = {"t": round(time.monotonic(), 6), "server": self._options.name, "event": event, **more}
        self._log_file.write(json.dumps(line) + "\n")
        self._log_file.flush()

    async def run(self, server: socket.socket) -> None:
        """Serve until the process is ended."""
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(server)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.create_task(self._serve(Stream(sock)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, stream: Stream) -> None:
        with contextlib.suppress(BrokenMessageError, OSError):
            while (message := await stream.read(keep_body=False)) is not None:
                request_id = message.headers.get("request-id")
                if request_id is None:
                    await stream.send(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
                    continue
                if self._random.random() < self._options.full:
                    self.log("turned away", id=request_id)
                    await self._send(stream, _TURNED_AWAY, request_id)
                    continue
                self.log("begin", id=request_id, body_bytes=message.body_bytes)
                if not await self._work(stream, request_id):
                    break
                if not await self._answer(stream, message, request_id):
                    break
        stream.close()

    async def _work(self, stream: Stream, request_id: str) -> bool:
        """Work on a request; return False if it is cancelled by a close of its connection."""
        self._in_work += 1
        until = time.monotonic() + self._random.lognormvariate(0.0, 0.4) * self._options.work_ms / 1000.0
        cancelled = False
        while time.monotonic() < until and not cancelled:
            await asyncio.sleep(min(0.02, max(until - time.monotonic(), 0.0)))
            cancelled = _is_closed(stream.sock)
        self._in_work -= 1
        if cancelled:
            self.log("cancelled", id=request_id)
        return not cancelled

    async def _answer(self, stream: Stream, message: Message, request_id: str) -> bool:
        """Answer a request; return whether the connection goes on."""
        self._made += 1
        token = f"{request_id} {self._options.name} {self._made}"
        share, size, piece, pause_s = self._options.long
        if self._random.random() < share and message.headers.get("request-id"):
            return await self._answer_long(stream, request_id, token, (int(size), int(piece), pause_s))
        self.log("answer", id=request_id, token=token)
        await self._send(stream, self._format(token.encode()), request_id)
        return True

    async def _send(self, stream: Stream, answer: bytes, request_id: str) -> None:
        """Send an answer, and have some sent a second time."""
        await stream.send(answer)
        share, min_ms, max_ms = self._options.second
        if self._random.random() < share:
            delay_s = self._random.uniform(min_ms, max_ms) / 1000.0
            task = asyncio.create_task(self._answer_again(stream, answer, request_id, delay_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _format(self, body: bytes) -> bytes:
        load = f"util={min(self._in_work / 2.0, 1.0):.2f},qps={10.0 * self._in_work:.1f}"
        return (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nServer-Load: {load}\r\n\r\n"
        ).encode() + body

    async def _answer_again(self, stream: Stream, answer: bytes, request_id: str, delay_s: float) -> None:
        """Send an answer a second time, some milliseconds after the first."""
        await asyncio.sleep(delay_s)
        with contextlib.suppress(OSError):
            await stream.send(answer)
            self.log("second answer", id=request_id, after_ms=round(1000.0 * delay_s, 2))

    async def _answer_long(
        self, stream: Stream, request_id: str, token: str, shape: tuple[int, int, float]
    ) -> bool:
        """Answer with a long chunked body: a first piece, a pause, and the rest."""
        size, piece, pause_s = shape
        body = (token.encode() + b"\n").ljust(size, b".")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        first = body[:piece]
        self.log("long answer begins", id=request_id, token=token, bytes=size, first=piece)
        await stream.send(head + b"%x\r\n%s\r\n" % (len(first), first))
        until = time.monotonic() + pause_s
        while time.monotonic() < until:
            await asyncio.sleep(0.02)
            if _is_closed(stream.sock):
                self.log("long answer cut off", id=request_id)
                return False
        try:
            for start in range(piece, size, _CHUNK_BYTES):
                part = body[start : start + _CHUNK_BYTES]
                await stream.send(b"%x\r\n%s\r\n" % (len(part), part))
            await stream.send(b"0\r\n\r\n")
        except OSError:
            self.log("long answer cut off", id=request_id)
            return False
        self.log("long answer ends", id=request_id)
        return True


def _is_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def _numbers(text: str) -> tuple[float, ...]:
    return tuple(float(part) for part in text.split(","))


def main() -> None:
    """Run one port server."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--work-ms", type=float, default=30.0)
    parser.add_argument("--full", type=float, default=0.0)
    parser.add_argument("--second", type=_numbers, default=(0.0, 0.0, 0.0))
    parser.add_argument("--long", type=_numbers, default=(0.0, 0.0, 0.0, 0.0))
    parser.add_argument("--receive-buffer", type=int, default=0)
    options = parser.parse_args()
    server = listen(options.receive_buffer)
    with open(options.log, "w", encoding="utf-8") as log:
        sys.stdout.write(f"{server.getsockname()[1]}\n")
        sys.stdout.flush()
        asyncio.run(PortServer(options, log).run(server))


if __name__ == "__main__":
    main()
