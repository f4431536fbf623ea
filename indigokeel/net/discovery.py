"""The machine list from discovery: one call for the whole, or a watch on changes."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import h11
import trio

from indigokeel.machine_list import ListError, MachineList, decode
from indigokeel.net import http
from indigokeel.net.counters import Counters

_PATH = b"/catalog/members"
_CONNECT = 2.0  # s
_HEAD = 6.0  # s for an answer to begin: calls wait in turn there
_SILENCE = 7.0  # s; an empty line comes every 2 s, so a watch that says nothing for this long is cut off
_MOST = 1 << 20  # bytes of one message


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
        self._watching = False
        self.version = 0

    async def watch(self) -> None:
        """Watch until it ends, then say so once. One watch at a time."""
        if self._watching:
            return
        self._watching = True
        try:
            await self._call(b"%s?watch=1&after=%d" % (_PATH, self.version))
        finally:
            self._watching = False
        self._counters.add("watches_ended")
        self._failed()

    async def fetch(self) -> None:
        """Ask for the whole list once."""
        if not await self._call(_PATH):
            self._failed()

    async def _call(self, target: bytes) -> bool:
        """Hand on each message of one call; False if it failed before its end."""
        self._counters.add("discovery_calls")
        wire = None
        try:
            with trio.fail_after(_CONNECT):
                wire = await http.connect(self._address, h11.CLIENT)
            host = f"{self._address[0]}:{self._address[1]}".encode()
            await wire.send_message(h11.Request(method=b"GET", target=target, headers=[(b"Host", host)]))
            with trio.fail_after(_HEAD):
                event = await wire.next_event()
            if not isinstance(event, h11.Response) or event.status_code != 200:
                self._counters.add("discovery_refusals")
                return False
            async for line in _lines(wire):
                news = decode(line)
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
            if wire is not None:
                wire.close()


async def _lines(wire: http.Wire) -> AsyncIterator[bytes]:
    """The lines of an answer's body; empty ones, which only show that it lives, are left out."""
    rest = b""
    while True:
        with trio.fail_after(_SILENCE):
            event = await wire.next_event()
        if not isinstance(event, h11.Data):
            if rest.strip():
                yield rest
            return
        *whole, rest = (rest + bytes(event.data)).split(b"\n")
        if len(rest) > _MOST:
            raise ListError("a message without an end")
        for line in whole:
            if line.strip():
                yield line
