"""Stores the cordons on disk: each change is written and synced, and retried until that succeeds.

A sync may block while the disk is busy, so each try runs in its own thread.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import threading
import time
from collections.abc import Callable

from indigokeel.endpoints.cordons import Cordons
from indigokeel.hot_restart.state_files import StateFiles
from indigokeel.metrics import Counters

_CALL_TIMEOUT_S = 2.0  # after that an admin call is answered although its cordon is not on disk
_MIN_RETRY_S = 0.05  # after the first failed try; doubled after each further one
_MAX_RETRY_S = 0.5
_EXIT_POLL_S = 0.01  # between checks at the end of the process
_NEVER_STORED = -1  # differs from every revision

StoredCallback = Callable[[bool], None]


class CordonStore:
    """Stores the cordons of one process, and reports to admin calls whether theirs is on disk."""

    def __init__(
        self, files: StateFiles, cordons: Cordons, encode: Callable[[], bytes], counters: Counters
    ) -> None:
        """``encode`` returns the contents of a file with the current cordons."""
        self._files = files
        self._cordons = cordons
        self._encode = encode
        self._counters = counters
        self._stored_revision = cordons.revision
        self._last_try_failed = False
        self._changed = asyncio.Event()
        self._callbacks: dict[int, StoredCallback] = {}  # of admin calls, by call id
        self._last_call_id = 0

    def is_behind(self) -> bool:
        """Return True if a change of the cordons is not on disk yet."""
        return self._stored_revision != self._cordons.revision

    def invalidate(self) -> None:
        """Mark all cordons as not stored, because the stored file is gone."""
        self._stored_revision = _NEVER_STORED

    def notify(self) -> None:
        """Wake up ``run`` if the cordons have changed."""
        if self.is_behind():
            self._changed.set()

    def call_when_stored(self, callback: StoredCallback) -> None:
        """Call ``callback`` with True once all cordons are on disk, or with False after a time limit.

        After the time limit the store is still retried.
        """
        self._last_call_id += 1
        self._callbacks[self._last_call_id] = callback
        self._changed.set()
        if self.is_behind():
            loop = asyncio.get_running_loop()
            loop.call_later(_CALL_TIMEOUT_S, self._invoke_callback, self._last_call_id, False)
        else:
            self._invoke_callback(self._last_call_id, True)

    async def run(self) -> None:
        """Store the cordons whenever they have changed, until cancelled."""
        pause_s = _MIN_RETRY_S
        while True:
            if not self.is_behind():
                for call_id in list(self._callbacks):
                    self._invoke_callback(call_id, True)
                self._changed.clear()
                await self._changed.wait()
            elif await self._try_to_store():
                pause_s = _MIN_RETRY_S
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2.0, _MAX_RETRY_S)

    async def finish(self, until: float) -> None:
        """Wait at the end of the process until all cordons are on disk, or until clock time ``until``."""
        while self.is_behind() and time.monotonic() < until:
            await asyncio.sleep(_EXIT_POLL_S)
        if self.is_behind():
            self._counters.log("cordons are not on disk as the process ends", "error")

    def _invoke_callback(self, call_id: int, stored: bool) -> None:
        callback = self._callbacks.pop(call_id, None)
        if callback is not None:
            callback(stored)

    async def _try_to_store(self) -> bool:
        """Store all cordons; return True on success."""
        revision = self._cordons.revision
        data = self._encode()
        name = self._files.reserve()
        try:
            await _run_in_thread(lambda: self._files.put(name, data, synced=True))
        except (OSError, RuntimeError) as error:  # RuntimeError if no thread can be started
            self._files.release(name)
            self._record_failure(error)
            return False
        self._files.adopt(name, synced=True)
        self._stored_revision = revision
        if self._last_try_failed:
            self._counters.log("cordons are on disk")
        self._last_try_failed = False
        return True

    def _record_failure(self, error: Exception) -> None:
        self._counters.add("cordons_not_stored")
        if not self._last_try_failed:  # logged once per series of failures
            self._counters.log(f"cordons are not on disk; retrying: {error}", "warning")
        self._last_try_failed = True


async def _run_in_thread(call: Callable[[], None]) -> None:
    """Run a call in its own thread.

    Signals are blocked in the thread, and the exit of the process does not wait for one that the disk blocks.
    """
    loop = asyncio.get_running_loop()
    done: asyncio.Future[None] = loop.create_future()

    def finish(error: OSError | None) -> None:
        """Set the result; runs in the thread of the event loop."""
        if done.done():  # the caller was cancelled
            return
        if error is None:
            done.set_result(None)
        else:
            done.set_exception(error)

    def run() -> None:
        """Make the call; runs in the new thread."""
        failure: OSError | None = None
        try:
            call()
        except OSError as error:
            failure = error
        with contextlib.suppress(RuntimeError):  # the event loop is closed
            loop.call_soon_threadsafe(finish, failure)

    previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
    try:
        threading.Thread(target=run, name="store", daemon=True).start()
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
    await done
