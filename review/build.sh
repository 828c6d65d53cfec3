#!/bin/sh
# Checks that the stand-ins which the scripts start can be compiled and imported. They are Python
# and take their libraries from target/deps, so nothing else has to be built.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root/packages/standins/src:$root/review/lib" \
    PYTHONDONTWRITEBYTECODE=1 python3 -c "import world, thorncleat_standins.platform_worker"
