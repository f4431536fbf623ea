"""The machine list from discovery: one call for the whole, or a watch on changes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import httptools

from indigokeel.machine_list import ListError, MachineList, decode
from indigokeel.net import http
from indigokeel.net.counters import Counters

_PATH = b"/catalog/members"
_CONNECT = 2.0  # s
_HEAD = 6.0  # s for an answer to begin: calls wait in turn there
# s without a line, of which one comes each 2 s, after which a watch is broken. What a silent one misses
# counts as told 6 s after it fell silent: 2 s of these are for the next call, which waits in turn.
_SILENCE = 4.0
_MOST = 1 << 20  # bytes of one message
_READ = 64 * 1024  # bytes asked of the connection at a time


class Discovery:
    """Keeps a watch while one is wanted and hands each list on."""

    def __init__(
        self,
        address: tuple[str, int],
        counters: Counters,
        listed: Callable[[MachineList], None],
        failed: Callable[[], None],
    ) -> None:
        self._address, self._counters = address, counters
        self._listed, self._failed = listed, failed
        self._watches: dict[int, asyncio.Task[None]] = {}  # by serial number: one, but while it moves
        self._begun = 0  # watches so far
        self._open: dict[asyncio.StreamWriter, int] = {}  # calls that are up, with their descriptors
        self.version = 0
        self.answered = False  # once a call was: what changed since the version asked for comes at once

    def descriptors(self) -> list[int]:
        """The descriptors of the calls that are up."""
        return list(self._open.values())

    async def watch(self) -> None:
        """Watch until it ends, then say so once. One watch at a time."""
        if self._begun not in self._watches:
            await self._watch()

    async def move(self, address: tuple[str, int]) -> None:
        """Discovery listens elsewhere now: watch there at once. The old watch goes on until the new one
        is up, so that no news is missed between them."""
        if address == self._address:
            return
        self._address = address
        self._counters.add("discovery_moves")
        await self._watch()

    async def _watch(self) -> None:
        self._begun += 1
        mine = self._begun

        def up() -> None:
            for serial, older in self._watches.items():
                if serial < mine:
                    older.cancel()

        task = asyncio.current_task()
        assert task is not None
        self._watches[mine] = task
        try:
            await self._call(b"%s?watch=1&after=%d" % (_PATH, self.version), up)
        except asyncio.CancelledError:
            if mine == self._begun:  # not by a newer watch, but because the program ends
                raise
            task.uncancel()
        finally:
            del self._watches[mine]
        if mine == self._begun:  # else a newer one has taken its place
            self._counters.add("watches_ended")
            self._failed()

    async def fetch(self) -> None:
        """Ask for the whole list once."""
        if not await self._call(_PATH):
            self._failed()

    async def _call(self, target: bytes, up: Callable[[], None] = lambda: None) -> bool:
        """Hand on each message of one call; False if it failed before its end. ``up`` is called once it
        is answered."""
        self._counters.add("discovery_calls")
        writer = None
        try:
            async with asyncio.timeout(_CONNECT):
                reader, writer = await asyncio.open_connection(*self._address)
            self._open[writer] = writer.get_extra_info("socket").fileno()
            writer.write(b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, http.host(self._address)))
            answer = _Answer(reader)
            async with asyncio.timeout(_HEAD):
                await answer.head()
            if answer.status != 200:
                self._counters.add("discovery_refusals")
                return False
            up()
            self.answered = True
            async for line in answer.lines():
                news = decode(line)
                if not news.whole and news.version < self.version:
                    continue  # the watch before this one has told it already, and more
                self.version = news.version
                self._counters.add("machine_lists")
                self._listed(news)
            return True
        except Exception as error:
            # Broken, too slow, not a machine list: whatever it was, the call has failed and is told so,
            # or the module would wait for ever and the list grow old.
            self._counters.add("discovery_failures")
            self._counters.log(f"discovery: {type(error).__name__}: {error}")
            return False
        finally:
            if writer is not None:
                self._open.pop(writer, None)
                writer.transport.abort()


class _Answer:
    """Reads one answer of discovery, whose body may go on for ever. httptools calls the ``on_`` methods."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._parser = httptools.HttpResponseParser(self)
        self._rest = b""
        self._complete = self._framed = False
        self.status = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._framed = self._framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self._rest += data

    def on_message_complete(self) -> None:
        self._complete = self.status >= 200

    async def _read(self) -> bool:
        data = await self._reader.read(_READ)
        if data:
            self._parser.feed_data(data)
        elif self._framed and not self._complete:
            raise ListError("the answer breaks off")
        return bool(data)

    async def head(self) -> None:
        """Wait for the head of the final answer."""
        size = 0
        while self.status < 200:
            size += 1
            if size > _MOST // _READ or not await self._read():
                raise ListError("an answer without a head")

    async def lines(self) -> AsyncIterator[bytes]:
        """The lines of the body; empty ones, which only show that it lives, are left out."""
        more = True
        while more:
            *whole, self._rest = self._rest.split(b"\n")
            if len(self._rest) > _MOST:
                raise ListError("a message without an end")
            for line in whole:
                if line.strip():
                    yield line
            if self._complete:
                break
            async with asyncio.timeout(_SILENCE):
                more = await self._read()
        if self._rest.strip():
            yield self._rest
