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
        self._watches: dict[int, trio.CancelScope] = {}  # by serial number: one, but while it moves
        self._begun = 0  # watches so far
        self.version = 0

    async def watch(self) -> None:
        """Watch until it ends, then say so once. One watch at a time."""
        if not self._watches:
            await self._watch()

    async def move(self, address: tuple[str, int]) -> None:
        """Discovery listens elsewhere now: watch there at once. The old watch goes on until the new one
        is up, so that no news is missed between them."""
        if address == self._address:
            return
        self._address = address
        self._counters.add("discovery_moves")
        if self._watches:
            await self._watch()

    async def _watch(self) -> None:
        self._begun += 1
        mine = self._begun

        def up() -> None:
            for serial, older in self._watches.items():
                if serial < mine:
                    older.cancel()

        with trio.CancelScope() as scope:
            self._watches[mine] = scope
            try:
                await self._call(b"%s?watch=1&after=%d" % (_PATH, self.version), up)
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
            up()
            async for line in _lines(wire):
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
