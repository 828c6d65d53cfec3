#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts. They are plain Python: the project's own store
# (packages/standins) and what lies beside each run.sh, and they use the libraries of target/deps.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
[ -d "$root/target/deps" ] || { echo "the build of deploy/system.toml comes first" >&2; exit 1; }
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="$root/target/deps:$root/packages/standins/src" \
  python3 -c 'import aiohttp, thorncleat_standins.platform_store'
