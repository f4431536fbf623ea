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
    """Run the sidecar; return 0 after a graceful shutdown, 1 if it cannot listen, 2 if misconfigured."""
    # A SIGHUP that arrives before its handler is installed waits for it, because the file may have been
    # replaced just after it was read here. Before this line ``run`` of the deploy file ignores the signal.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"indigokeel: bad configuration: {error}", file=sys.stderr)
        return 2
    # The objects of the imports are never freed, so full collections need not visit them.
    gc.freeze()
    # Requests leave no reference cycles behind, so that collections can be rare.
    gc.set_threshold(10_000, 20, 20)
    try:
        # Bound before anything else is opened, which could get the number of a descriptor that was not
        # inherited.
        listener = http.bind(config.listen, config.listen_fd)
        uvloop.run(_serve_until_end(config, listener))
    except OSError as error:
        print(f"indigokeel: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


async def _serve_until_end(config: Config, listener: socket.socket) -> None:
    await serve(config, listener)
    # The loop removes its handlers as it is closed, and without them a signal would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


if __name__ == "__main__":
    sys.exit(main())
