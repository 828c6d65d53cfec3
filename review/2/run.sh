#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
"$root/review/build.sh" || exit 2
PYTHONPATH="$root/target/deps:$root/packages/standins/src" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 "$here/case.py" "$here"
