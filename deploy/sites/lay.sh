#!/bin/sh
# Lay beside these deployments what the operators' bench wants there: lay.sh FOLDER, the folder that holds
# real.json, wire.json and unlock.txt. They belong to the operators and are not committed.
set -eu
from=${1:?usage: lay.sh FOLDER}
here=$(dirname "$0")
for name in real.json wire.json unlock.txt; do
    cp -f "$from/$name" "$here/$name"
done
