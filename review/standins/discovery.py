"""Discovery: the list of port servers, whole or as a watch with an empty line every 2 s."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Coroutine
from typing import Any

from review.standins.http import BrokenMessageError, Stream, listen

_EMPTY_LINE_EVERY_S = 2.0


class Discovery:
    """One discovery service, in the event loop of the case."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        self._listener = listen()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.index = 1
        self.endpoints = endpoints
        self._tasks: set[asyncio.Task[None]] = set()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": self.endpoints}

    def start(self) -> None:
        """Start to serve."""
        self._spawn(self._accept())

    def stop(self) -> None:
        """End all calls."""
        for task in list(self._tasks):
            task.cancel()
        self._listener.close()

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._spawn(self._serve(Stream(sock)))

    async def _serve(self, stream: Stream) -> None:
        with contextlib.suppress(BrokenMessageError, OSError), contextlib.closing(stream):
            while (message := await stream.read()) is not None:
                body = json.dumps(self.whole()).encode() + b"\n"
                if "watch=1" not in message.start:
                    await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    continue
                await stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await stream.send(b"%x\r\n%s\r\n" % (len(body), body))
                while True:
                    await asyncio.sleep(_EMPTY_LINE_EVERY_S)
                    await stream.send(b"1\r\n\n\r\n")
