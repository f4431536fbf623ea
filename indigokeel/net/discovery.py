"""The discovery client: fetches the endpoint list once, or watches it for changes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from enum import Enum

import httptools

from indigokeel.endpoints.endpoint_list import EndpointList, EndpointListError, NotJSONError, decode
from indigokeel.metrics import Counters
from indigokeel.net import http
from indigokeel.net.framing_limit import FramingLimit
from indigokeel.net.response_callbacks import ResponseCallbacks

_PATH = b"/catalog/members"
_CONNECT_TIMEOUT_S = 2.0
# Discovery sends a line every 2 s, so a watch without a line for this long is broken. The sidecar counts as
# notified of a missed change 6 s after the watch fell silent; the rest of these 6 s is left for the next
# call, which may be rejected once.
_SILENCE_TIMEOUT_S = 3.0
# For an answer to begin if the previous call was not answered either: discovery may be overloaded.
_LONG_SILENCE_TIMEOUT_S = 6.0
_AGENT_CALL_INTERVAL_S = 0.05  # minimum between calls to an agent that pushes: it serves this machine alone
_BYTES_PER_EXTRA_S = 32_000  # size of a message for which one more second is allowed
_MAX_MESSAGE_BYTES = 1 << 20
_READ_BYTES = 16 * 1024  # at most, per turn of the event loop


class _CallEnd(Enum):
    """How a call to discovery ended."""

    COMPLETE = "complete"
    FAILED = "failed"  # without an answer, or with an invalid one
    SILENT = "silent"  # nothing was received for too long


class DiscoveryClient:
    """Calls discovery, and passes each endpoint list it receives to a callback."""

    def __init__(
        self,
        address: tuple[str, int],
        counters: Counters,
        on_list: Callable[[EndpointList], None],
        on_failure: Callable[[], None],
        on_first_answer: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a client of the discovery service at ``address``.

        ``on_list`` is called with each list, ``on_failure`` for each call that failed and each watch that
        ended, and ``on_first_answer`` once, before the first list of the first call that is answered.
        """
        self._address = address
        self._counters = counters
        self._on_list = on_list
        self._on_failure = on_failure
        self._on_first_answer = on_first_answer
        self._watches: dict[int, asyncio.Task[None]] = {}  # by serial number; two during a move
        self._last_watch = 0
        self._connections: dict[asyncio.StreamWriter, int] = {}  # open connections, with their descriptors
        self.version = 0
        self.pushed = False  # an agent on this machine pushes the lists: the watch reopens by itself
        self.answered = False  # a call was answered, so changes after ``version`` arrive at once

    def descriptors(self) -> list[int]:
        """Return the descriptors of the open connections."""
        return list(self._connections.values())

    async def watch(self) -> None:
        """Watch until the watch ends, and report its end; do nothing if there is a watch already."""
        if self._last_watch not in self._watches:
            await self._watch()

    async def change_address(self, address: tuple[str, int]) -> None:
        """Move the watch to another address; the old watch is kept until the new one is answered."""
        if address == self._address:
            if self.pushed:  # reopened if it has ended for any reason
                await self.watch()
            return
        self._address = address
        self._counters.add("discovery_moves")
        await self._watch()

    async def fetch(self) -> None:
        """Fetch the whole endpoint list once."""
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
        except Exception as error:  # the watch has ended in this case too, which is reported below
            self._counters.add("task_faults")
            self._counters.log(f"fault in the watch: {type(error).__name__}: {error}", "error")
            if self.pushed:  # the balancer does not request the next watch, so the supervisor restarts it
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

        A silent watch is reopened at once, because the changes that it misses have to be received in time. If
        lists are pushed, this never returns: changes that the agent knows count as notified even without a
        watch.
        """
        clock = asyncio.get_running_loop().time
        silence_timeout_s = _SILENCE_TIMEOUT_S
        while True:
            started_at = clock()
            answered = False

            def answer() -> None:
                """Record that the call was answered."""
                nonlocal answered
                answered = True
                on_answer()

            target = b"%s?watch=1&after=%d" % (_PATH, self.version)
            end = await self._call(target, answer, silence_timeout_s)
            if end is _CallEnd.SILENT:
                self._counters.add("watches_silent")
            if self.pushed:
                await asyncio.sleep(max(started_at + _AGENT_CALL_INTERVAL_S - clock(), 0.0))
            elif end is not _CallEnd.SILENT or (
                not answered and silence_timeout_s == _LONG_SILENCE_TIMEOUT_S
            ):
                return
            silence_timeout_s = (
                _LONG_SILENCE_TIMEOUT_S if end is _CallEnd.SILENT and not answered else _SILENCE_TIMEOUT_S
            )

    # --- calls ----------------------------------------------------------------------------------------

    async def _call(
        self,
        target: bytes,
        on_answer: Callable[[], None] = lambda: None,
        timeout_s: float = _LONG_SILENCE_TIMEOUT_S,
    ) -> _CallEnd:
        """Make one call, and deliver each list of its answer.

        ``on_answer`` is called once the answer begins, which it must do within ``timeout_s`` seconds.
        """
        self._counters.add("discovery_calls")
        writer = None
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._address)
            self._connections[writer] = writer.get_extra_info("socket").fileno()
            writer.write(b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, http.format_host(self._address)))
            response = _DiscoveryResponse(reader)
            async with asyncio.timeout(timeout_s):
                await response.read_head()
            if response.status != 200:
                self._counters.add("discovery_refusals")
                return _CallEnd.FAILED
            self._record_answer()
            on_answer()
            async for update in response.lists():
                self._deliver(update)
            return _CallEnd.COMPLETE
        except Exception as error:  # any error is a failed call, so that the list is requested again
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

    def _deliver(self, update: EndpointList) -> None:
        if not update.is_snapshot and update.version < self.version:
            return  # an earlier watch has delivered this version or a newer one
        self._counters.add("endpoint_lists")
        self._on_list(update)
        self.version = update.version  # not reached if the list could not be applied: it is requested again


class _DiscoveryResponse:
    """Reads one response, whose body may be endless (``ResponseHandler``)."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._parser = httptools.HttpResponseParser(ResponseCallbacks(self))
        self._framing_limit = FramingLimit()
        self._unread = bytearray()  # the part of the body that was not decoded yet
        self._has_line = False  # a line may be complete in it
        self._is_complete = False
        self._is_framed = False  # the head states where the body ends
        self.status = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header."""
        self._is_framed = self._is_framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Record the status."""
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self._unread += data
        self._has_line = self._has_line or b"\n" in data

    def on_message_complete(self) -> None:
        """Record the end, unless it is that of an interim (1xx) response."""
        self._is_complete = self.status >= 200

    async def _read(self) -> bool:
        """Read once; return False at the end of the stream."""
        await asyncio.sleep(0)  # a read of data that has arrived does not wait
        data = await self._reader.read(_READ_BYTES)
        unread_bytes = len(self._unread)
        if data:
            self._parser.feed_data(data)
            if self._framing_limit.is_exceeded_by(len(data), len(self._unread) > unread_bytes):
                raise EndpointListError("response head, chunk header or trailer section too large")
        elif self._is_framed and not self._is_complete:
            raise EndpointListError("connection closed before the end of the response")
        return bool(data)

    async def read_head(self) -> None:
        """Read until the head of the final response is complete."""
        while self.status < 200:
            if not await self._read():
                raise EndpointListError("no complete response head")

    def _take_lines(self) -> list[bytes]:
        """Remove and return the complete lines of the body."""
        if not self._has_line:
            return []
        self._has_line = False
        *lines, rest = bytes(self._unread).split(b"\n")
        self._unread = bytearray(rest)
        return lines

    async def lists(self) -> AsyncIterator[EndpointList]:
        """Yield the lists of the body, each on one line or indented over several; skip empty lines.

        Raise TimeoutError if no line or no message is completed in time, whatever bytes arrive.
        """
        clock = asyncio.get_running_loop().time
        last_message_at = clock()
        partial: list[bytes] = []  # the lines received so far of an incomplete message
        partial_bytes = 0
        has_more = True
        while has_more:
            lines = self._take_lines()
            if partial_bytes + len(self._unread) > _MAX_MESSAGE_BYTES:
                raise EndpointListError("message too long")
            for line in lines:
                if not line.strip():
                    continue
                update = _read_list(partial, line)
                if update is None:
                    partial.append(line)
                    partial_bytes += len(line)
                else:
                    partial.clear()
                    partial_bytes = 0
                    yield update
            if lines and not partial:
                last_message_at = clock()
            if self._is_complete:
                break
            size = partial_bytes + len(self._unread)
            async with asyncio.timeout_at(last_message_at + _SILENCE_TIMEOUT_S + size / _BYTES_PER_EXTRA_S):
                has_more = await self._read()
        if partial or self._unread.strip():
            yield decode(b"".join([*partial, self._unread]))


def _read_list(partial: list[bytes], line: bytes) -> EndpointList | None:
    """Return the list that ends with this line, or None if it continues; ``partial`` holds earlier lines.

    Raise EndpointListError on a line that cannot be part of a list.
    """
    text = line.strip()
    if not partial and text[:1] != b"{":
        raise EndpointListError("line is not an endpoint list")
    if not text.endswith(b"}"):
        # A list may continue on the next line, but only between two tokens: no string spans lines, and after
        # the opening ``{`` only a string may follow on the same line.
        if text.count(b'"') % 2 or (not partial and text[1:].lstrip()[:1] not in (b"", b'"')):
            raise EndpointListError("truncated line")
        return None
    try:
        return decode(b"".join([*partial, line]))
    except NotJSONError:
        # Entries of an indented list also end with ``}``. A line that begins with ``{`` would be the next
        # list.
        if not partial or line.startswith(b"{"):
            raise
        return None
