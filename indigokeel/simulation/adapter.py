"""Runs balancers for the simulator: ``python -m indigokeel.simulation.adapter``.

Reads batches from standard input, and writes one reply per batch to standard output.
"""

from __future__ import annotations

import sys
from typing import TextIO

from indigokeel.simulation.host import Host
from indigokeel.simulation.wire import WireError

_MAX_QUOTED_CHARACTERS = 300  # of a line, in an error message


def read_batch(source: TextIO) -> list[str] | None:
    """Return the lines of the next batch, or None at the end of the input."""
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if not line and not lines:
            continue
        if not lines and line.split(" ", 1)[0] != "ROUND":
            raise WireError(f"a batch must begin with ROUND: {line[:_MAX_QUOTED_CHARACTERS]}")
        lines.append(line)
        if line == "YOUR_TURN":
            return lines
    if lines:
        raise WireError(f"the input ends within a batch, after: {lines[-1][:_MAX_QUOTED_CHARACTERS]}")
    return None


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends. Each reply is written completely or not at all."""
    host = Host()
    while (lines := read_batch(source)) is not None:
        sink.write("\n".join(host.reply(lines)) + "\n")
        sink.flush()


def main() -> int:
    """Run the adapter; return 0 at the end of the input, 1 on an invalid message."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"indigokeel: {error}", file=sys.stderr)
        return 1
    except UnicodeDecodeError:
        print("indigokeel: the input is not UTF-8 text", file=sys.stderr)
        return 1
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
