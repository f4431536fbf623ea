#!/bin/sh
# Build the stand-ins of the cases 6 to 10: Python files that need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/peers2
