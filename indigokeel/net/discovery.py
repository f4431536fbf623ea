"""The discovery client: one call for the whole endpoint list, or a watch on its changes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from enum import Enum

import httptools

from indigokeel.endpoints.endpoint_list import EndpointList, EndpointListError, NotJSONError, decode
from indigokeel.metrics import Counters
from indigokeel.net import http

_PATH = b"/catalog/members"
_CONNECT_TIMEOUT_S = 2.0
# A watch without a line for this long is broken: a line comes every 2 s. What it misses counts as notified
# 6 s after it fell silent; the rest of that time is for the next call, which may be rejected once.
_SILENCE_S = 3.0
_LONG_SILENCE_S = 6.0  # for an answer to begin where the call before had none either: discovery is busy
_AGENT_INTERVAL_S = 0.05  # between calls of an agent that pushes, which serves this machine alone
_BYTES_PER_EXTRA_S = 32_000  # of a message, for which its line is given a second more
_MAX_MESSAGE_BYTES = 1 << 20
_READ_BYTES = 64 * 1024


class _CallEnd(Enum):
    """How a call ended."""

    COMPLETE = "complete"
    FAILED = "failed"  # without an answer, or with an invalid one
    SILENT = "silent"  # nothing was received for too long


class DiscoveryClient:
    """Keeps a watch while one is wanted, and passes each endpoint list on."""

    def __init__(
        self,
        address: tuple[str, int],
        counters: Counters,
        on_list: Callable[[EndpointList], None],
        on_failure: Callable[[], None],
        on_first_answer: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a client of the discovery service at ``address``.

        ``on_list`` takes each list, ``on_failure`` is called for each call that failed and each watch that
        ended, ``on_first_answer`` once, before the first list of the first call that was answered.
        """
        self._address = address
        self._counters = counters
        self._on_list = on_list
        self._on_failure = on_failure
        self._on_first_answer = on_first_answer
        self._watches: dict[int, asyncio.Task[None]] = {}  # by serial number; two while the watch moves
        self._last_watch = 0
        self._connections: dict[asyncio.StreamWriter, int] = {}  # the open ones, with their descriptors
        self.version = 0
        self.pushed = False  # lists come from an agent of this machine: the watch is kept without an order
        self.answered = False  # a call was answered, so that changes since ``version`` arrive at once

    def descriptors(self) -> list[int]:
        """Return the descriptors of the open connections."""
        return list(self._connections.values())

    async def watch(self) -> None:
        """Watch until the watch ends, and report that; do nothing if there is one already."""
        if self._last_watch not in self._watches:
            await self._watch()

    async def move(self, address: tuple[str, int]) -> None:
        """Watch at another address. The old watch is kept until the new one is answered."""
        if address == self._address:
            if self.pushed:  # the watch is kept, whatever ended the last one
                await self.watch()
            return
        self._address = address
        self._counters.add("discovery_moves")
        await self._watch()

    async def fetch(self) -> None:
        """Call for the whole list once."""
        end = _CallEnd.FAILED
        try:
            end = await self._call(_PATH)
        except Exception as error:
            self._counters.add("task_faults")
            self._counters.log(f"fault in a call to discovery: {type(error).__name__}: {error}", "error")
        if end is not _CallEnd.COMPLETE:
            self._on_failure()

    # --- watching -------------------------------------------------------------------------------------

    async def _watch(self) -> None:
        self._last_watch += 1
        serial = self._last_watch
        task = asyncio.current_task()
        assert task is not None
        self._watches[serial] = task
        try:
            await self._keep_watching(lambda: self._end_older_watches(serial))
        except asyncio.CancelledError:
            if serial == self._last_watch:  # the process ends
                raise
            task.uncancel()  # a newer watch has replaced this one
        except Exception as error:  # the watch has ended all the same, which is reported
            self._counters.add("task_faults")
            self._counters.log(f"fault in the watch: {type(error).__name__}: {error}", "error")
            if self.pushed:  # nobody would order the next watch, so the supervisor restarts this one
                raise
        finally:
            del self._watches[serial]
        if serial == self._last_watch:
            self._counters.add("watches_ended")
            self._on_failure()

    def _end_older_watches(self, serial: int) -> None:
        for other, task in self._watches.items():
            if other < serial:
                task.cancel()

    async def _keep_watching(self, on_answer: Callable[[], None]) -> None:
        """Watch until a call ends for another reason than silence.

        A silent watch is opened again at once, because what it misses has to be notified in time. Where lists
        are pushed this never returns: what the agent has counts as notified also without a watch.
        """
        clock = asyncio.get_running_loop().time
        silence_s = _SILENCE_S
        while True:
            started_at = clock()
            answered = False

            def answer() -> None:
                """Record that the call is answered."""
                nonlocal answered
                answered = True
                on_answer()

            target = b"%s?watch=1&after=%d" % (_PATH, self.version)
            end = await self._call(target, answer, silence_s)
            if end is _CallEnd.SILENT:
                self._counters.add("watches_silent")
            if self.pushed:
                await asyncio.sleep(max(started_at + _AGENT_INTERVAL_S - clock(), 0.0))
            elif end is not _CallEnd.SILENT or (not answered and silence_s == _LONG_SILENCE_S):
                return
            silence_s = _LONG_SILENCE_S if end is _CallEnd.SILENT and not answered else _SILENCE_S

    # --- calls ----------------------------------------------------------------------------------------

    async def _call(
        self, target: bytes, on_answer: Callable[[], None] = lambda: None, timeout_s: float = _LONG_SILENCE_S
    ) -> _CallEnd:
        """Pass on each list of one call.

        ``on_answer`` is called once its answer begins, within ``timeout_s`` seconds.
        """
        self._counters.add("discovery_calls")
        writer = None
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._address)
            self._connections[writer] = writer.get_extra_info("socket").fileno()
            writer.write(b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, http.host(self._address)))
            response = _DiscoveryResponse(reader)
            async with asyncio.timeout(timeout_s):
                await response.read_head()
            if response.status != 200:
                self._counters.add("discovery_refusals")
                return _CallEnd.FAILED
            self._record_answer()
            on_answer()
            async for update in response.lists():
                self._pass_on(update)
            return _CallEnd.COMPLETE
        except Exception as error:  # whatever it was, the call has failed, and the list must not grow old
            self._counters.add("discovery_failures")
            self._counters.log(f"discovery: {type(error).__name__}: {error}")
            is_silent = writer is not None and isinstance(error, TimeoutError)
            return _CallEnd.SILENT if is_silent else _CallEnd.FAILED
        finally:
            if writer is not None:
                self._connections.pop(writer, None)
                writer.transport.abort()

    def _record_answer(self) -> None:
        if not self.answered:
            self.answered = True
            self._on_first_answer()

    def _pass_on(self, update: EndpointList) -> None:
        if not update.is_snapshot and update.version < self.version:
            return  # an earlier watch has passed on this and more
        self._counters.add("endpoint_lists")
        self._on_list(update)
        self.version = update.version  # a list that could not be applied is requested again


class _DiscoveryResponse:
    """Reads one response, whose body may never end. httptools calls the ``on_`` methods."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._parser = httptools.HttpResponseParser(self)
        self._unread = b""  # of the body
        self._is_complete = False
        self._is_framed = False  # its head tells where it ends
        self.status = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._is_framed = self._is_framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Take the status."""
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._unread += data

    def on_message_complete(self) -> None:
        """Note the end, unless it is that of an interim response."""
        self._is_complete = self.status >= 200

    async def _read(self) -> bool:
        """Read once; return False at the end of the connection."""
        data = await self._reader.read(_READ_BYTES)
        if data:
            self._parser.feed_data(data)
        elif self._is_framed and not self._is_complete:
            raise EndpointListError("the answer breaks off")
        return bool(data)

    async def read_head(self) -> None:
        """Read until the head of the final response is complete."""
        reads = 0
        while self.status < 200:
            reads += 1
            if reads > _MAX_MESSAGE_BYTES // _READ_BYTES or not await self._read():
                raise EndpointListError("an answer without a head")

    async def lists(self) -> AsyncIterator[EndpointList]:
        """Yield the lists of the body, each on one line or indented over many; skip empty lines.

        Raise TimeoutError where no line, or no message, is completed in time, whatever bytes arrive.
        """
        clock = asyncio.get_running_loop().time
        heard_at = clock()
        partial = b""  # the lines so far of a message that continues
        has_more = True
        while has_more:
            *lines, unread = self._unread.split(b"\n")
            self._unread = unread
            if len(partial) + len(self._unread) > _MAX_MESSAGE_BYTES:
                raise EndpointListError("a message without an end")
            for line in lines:
                if not line.strip():
                    continue
                update = _read_list(partial, line)
                if update is None:
                    partial += line
                else:
                    partial = b""
                    yield update
            if lines and not partial:
                heard_at = clock()
            if self._is_complete:
                break
            size = len(partial) + len(self._unread)
            async with asyncio.timeout_at(heard_at + _SILENCE_S + size / _BYTES_PER_EXTRA_S):
                has_more = await self._read()
        if partial or self._unread.strip():
            yield decode(partial + self._unread)


def _read_list(partial: bytes, line: bytes) -> EndpointList | None:
    """Return the list that ends with this line, or None if it continues; ``partial`` are its lines before.

    Raise EndpointListError on a line that belongs to no list.
    """
    text = line.strip()
    if not partial and text[:1] != b"{":
        raise EndpointListError("a line that is no list")
    if not text.endswith(b"}"):
        # It may continue, but only between two of its parts: no string spans lines, and ``{`` opens one.
        if text.count(b'"') % 2 or (not partial and text[1:].lstrip()[:1] not in (b"", b'"')):
            raise EndpointListError("a line that breaks off")
        return None
    try:
        return decode(partial + line)
    except NotJSONError:
        # The last entry of an indented list ends so, too; an object that begins this line is the next list.
        if not partial or line.startswith(b"{"):
            raise
        return None
