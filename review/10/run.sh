#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
python=$here/../../.venv/bin/python
[ -x "$python" ] || { echo "run the build of the deploy file first" >&2; exit 2; }
exec "$python" -B "$here/case.py"
