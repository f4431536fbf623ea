#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be imported; they need the build of the deploy file and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -B -c 'import review.standins.platform, review.standins.port_server'
