"""The endpoint list from discovery: one call for the whole, or a watch on changes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from enum import Enum

import httptools

from indigokeel.endpoints.endpoint_list import EndpointList, EndpointListError, NotJSONError, decode
from indigokeel.metrics import Counters
from indigokeel.net import http

_PATH = b"/catalog/members"
_CONNECT = 2.0  # s
# s without a line, of which one comes each 2 s, after which a watch is broken: half as much again. What a
# silent one misses counts as told 6 s after it fell silent, and it may fall silent before its answer begins.
# The rest of the 6 s is for the next call, which waits in turn and may be refused once.
_SILENCE = 3.0
_WAIT = 6.0  # s for an answer to begin, where the call before had none either: discovery has many callers
_AGENT = 0.05  # s between calls of an agent that pushes, which serves this machine alone
_PACE = 32_000  # bytes of a message for which its line gets a second more
_MOST = 1 << 20  # bytes of one message
_READ = 64 * 1024  # bytes asked of the connection at a time


class _Ending(Enum):
    """How a call ended: with its answer whole, with none or a bad one, or by saying nothing any more."""

    WHOLE, FAILED, SILENT = range(3)


class DiscoveryClient:
    """Keeps a watch while one is wanted and hands each list on."""

    def __init__(
        self,
        address: tuple[str, int],
        counters: Counters,
        listed: Callable[[EndpointList], None],
        failed: Callable[[], None],
        first: Callable[[], None] = lambda: None,
    ) -> None:
        """``listed`` takes each list, ``failed`` is called for each call that failed or watch that ended,
        ``first`` once, before the list of the first call that was answered."""
        self._address, self._counters = address, counters
        self._listed, self._failed, self._first = listed, failed, first
        self._watches: dict[int, asyncio.Task[None]] = {}  # by serial number: one, but while it moves
        self._begun = 0  # watches so far
        self._open: dict[asyncio.StreamWriter, int] = {}  # calls that are up, with their descriptors
        self.version = 0
        self.pushed = False  # lists come from an agent of this machine: the watch is kept without an order
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
        is up, so that no update is missed between them."""
        if address == self._address:
            if self.pushed:  # kept for good, whatever ended the last one
                await self.watch()
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
            await self._keep_watching(up)
        except asyncio.CancelledError:
            if mine == self._begun:  # not by a newer watch, but because the program ends
                raise
            task.uncancel()
        except Exception as error:  # whatever it was, the watch has ended, and who waits for it is told so
            self._counters.add("task_faults")
            self._counters.log(f"fault in the watch: {type(error).__name__}: {error}", "error")
            if self.pushed:  # nobody would order the next one: this one's owner starts it again
                raise
        finally:
            del self._watches[mine]
        if mine == self._begun:  # else a newer one has taken its place
            self._counters.add("watches_ended")
            self._failed()

    async def _keep_watching(self, up: Callable[[], None]) -> None:
        """Watch until a call ends otherwise than by silence. One that falls silent is opened anew at once:
        no answer said that discovery has too many callers, and what it misses is bound to a clock. Where
        lists are pushed, a watch is wanted for good: what the agent has counts as told without one, too."""
        patience, clock = _SILENCE, asyncio.get_running_loop().time
        while True:
            answered, begun = False, clock()

            def answering() -> None:
                nonlocal answered
                answered = True
                up()

            target = b"%s?watch=1&after=%d" % (_PATH, self.version)
            ending = await self._call(target, answering, patience)
            if ending is _Ending.SILENT:
                self._counters.add("watches_silent")
            if self.pushed:
                await asyncio.sleep(max(begun + _AGENT - clock(), 0.0))
            elif ending is not _Ending.SILENT or (not answered and patience == _WAIT):
                return
            patience = _WAIT if ending is _Ending.SILENT and not answered else _SILENCE

    async def fetch(self) -> None:
        """Ask for the whole list once."""
        ending = _Ending.FAILED
        try:
            ending = await self._call(_PATH)
        except Exception as error:
            self._counters.add("task_faults")
            self._counters.log(f"fault in a call to discovery: {type(error).__name__}: {error}", "error")
        if ending is not _Ending.WHOLE:
            self._failed()

    async def _call(
        self, target: bytes, up: Callable[[], None] = lambda: None, patience: float = _WAIT
    ) -> _Ending:
        """Hand on each message of one call. ``up`` is called once it is answered, which may take
        ``patience`` seconds."""
        self._counters.add("discovery_calls")
        writer = None
        try:
            async with asyncio.timeout(_CONNECT):
                reader, writer = await asyncio.open_connection(*self._address)
            self._open[writer] = writer.get_extra_info("socket").fileno()
            writer.write(b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, http.host(self._address)))
            answer = _Answer(reader)
            async with asyncio.timeout(patience):
                await answer.head()
            if answer.status != 200:
                self._counters.add("discovery_refusals")
                return _Ending.FAILED
            if not self.answered:
                self.answered = True
                self._first()
            up()
            async for update in answer.lists():
                if not update.is_snapshot and update.version < self.version:
                    continue  # the watch before this one has told it already, and more
                self._counters.add("endpoint_lists")
                self._listed(update)
                self.version = update.version  # of what was taken in: a list that was not is asked for again
            return _Ending.WHOLE
        except Exception as error:
            # Broken, too slow, not an endpoint list: whatever it was, the call has failed and is told so,
            # or the module would wait for ever and the list grow old.
            self._counters.add("discovery_failures")
            self._counters.log(f"discovery: {type(error).__name__}: {error}")
            silent = writer is not None and isinstance(error, TimeoutError)
            return _Ending.SILENT if silent else _Ending.FAILED
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
            raise EndpointListError("the answer breaks off")
        return bool(data)

    async def head(self) -> None:
        """Wait for the head of the final answer."""
        size = 0
        while self.status < 200:
            size += 1
            if size > _MOST // _READ or not await self._read():
                raise EndpointListError("an answer without a head")

    async def lists(self) -> AsyncIterator[EndpointList]:
        """The lists of the body: each on one line, or indented over many. Empty lines, which only show that
        it lives, are left out. Raises TimeoutError once it is silent: where no line becomes whole in time,
        whatever bytes come, or no message does."""
        clock = asyncio.get_running_loop().time
        heard, more, begun = clock(), True, b""  # a message that goes on over lines
        while more:
            *whole, self._rest = self._rest.split(b"\n")
            if len(begun) + len(self._rest) > _MOST:
                raise EndpointListError("a message without an end")
            for line in whole:
                if line.strip():
                    update = _read_list(begun, line)
                    begun = b"" if update is not None else begun + line
                    if update is not None:
                        yield update
            if whole and not begun:
                heard = clock()
            if self._complete:
                break
            size = len(begun) + len(self._rest)
            async with asyncio.timeout_at(heard + _SILENCE + size / _PACE):
                more = await self._read()
        if begun or self._rest.strip():
            yield decode(begun + self._rest)


def _read_list(begun: bytes, line: bytes) -> EndpointList | None:
    """The list that ends with this line, or None where it goes on; ``begun`` is what came of it before.
    Raises ListError on a line that belongs to none."""
    text = line.strip()
    if not begun and text[:1] != b"{":
        raise EndpointListError("a line that is no list")
    if not text.endswith(b"}"):
        # It may go on, but between two of its parts: no string holds the end of a line, and ``{`` opens one.
        if text.count(b'"') % 2 or (not begun and text[1:].lstrip()[:1] not in (b"", b'"')):
            raise EndpointListError("a line that breaks off")
        return None
    try:
        return decode(begun + line)
    except NotJSONError:
        # The last of an indented list's entries ends so, too; a whole object on its line is the next list.
        if not begun or line.startswith(b"{"):
            raise
        return None
