#!/usr/bin/env bash
# Configures and builds all targets. Usage: tools/build.sh [BUILD_DIRECTORY], by default build/.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
directory=${1:-$root/build}
cmake -S "$root" -B "$directory" -G Ninja > /dev/null
ninja -C "$directory"
