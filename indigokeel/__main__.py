"""One real sidecar: ``python -m indigokeel``. What it needs to know is told in BALANCER_CONFIG."""

from __future__ import annotations

import gc
import os
import signal
import sys

import uvloop

from indigokeel.config import ConfigError, load_config
from indigokeel.net import http
from indigokeel.process.sidecar import serve


def main() -> int:
    """Entry point: 0 at an ordered end, 1 if the address cannot be had, 2 on a bad configuration."""
    # A SIGHUP that comes before the sidecar listens for it waits until it does, and is not lost: the file may
    # have been replaced just after it was read here. Before this line ``run`` has it ignored.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"indigokeel: bad configuration: {error}", file=sys.stderr)
        return 2
    # What the imports made stays for good. Without this each full collection walks it again: 13 ms in which
    # no request moves.
    gc.freeze()
    # What a request leaves behind is freed by count alone; cycles are rare, and looking for them is not free.
    gc.set_threshold(10_000, 20, 20)
    try:
        # Before anything else is opened, which could get the number of a descriptor that was not handed on.
        listener = http.bind(config.listen, config.listen_fd)
        uvloop.run(serve(config, listener))
    except OSError as error:
        print(f"indigokeel: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
