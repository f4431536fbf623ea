"""Runs one sidecar: ``python -m indigokeel``, configured by the file that BALANCER_CONFIG names."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys

import uvloop

from indigokeel.config import Config, ConfigError, load_config
from indigokeel.net import http
from indigokeel.process.sidecar import HANDLED_SIGNALS, serve


def main() -> int:
    """Run the sidecar; return 0 after a graceful shutdown, 1 if it cannot serve, 2 if misconfigured."""
    # A SIGHUP that arrives before its handler is installed stays pending until then, because the file may be
    # replaced right after it is read here. Before this line, ``run`` of the deploy file ignores the signal.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"indigokeel: bad configuration: {error}", file=sys.stderr)
        return 2
    # The imported objects are never freed, so full garbage collections need not traverse them.
    gc.freeze()
    # Requests create no reference cycles, so garbage collections can be rare.
    gc.set_threshold(10_000, 20, 20)
    try:
        # Called before anything else is opened: if the descriptor was not inherited, another file could get
        # its number.
        listener = http.bind(config.listen, config.listen_fd)
        uvloop.run(_serve_until_end(config, listener))
    except OSError as error:
        print(f"indigokeel: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


async def _serve_until_end(config: Config, listener: socket.socket) -> None:
    await serve(config, listener)
    # The event loop removes its signal handlers when it is closed; a signal would then end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


if __name__ == "__main__":
    sys.exit(main())
