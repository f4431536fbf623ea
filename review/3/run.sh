#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
review/build.sh || exit 2
exec .venv/bin/python -B -m review.3.case
