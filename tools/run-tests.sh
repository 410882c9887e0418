#!/usr/bin/env bash
# Builds everything and runs all tests. The tests listed in KNOWN-RED.txt run separately first; their
# results are printed but do not affect the exit status.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
tools/build.sh "$build" > "$build-build.log" 2>&1 || { tail -40 "$build-build.log"; exit 1; }
rm -f "$build-build.log"
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2> /dev/null | paste -sd'|' -)
[ -f KNOWN-RED.txt ] || { echo 'KNOWN-RED.txt is missing' >&2; exit 1; }
if [ -n "$red" ]; then
  echo "Known failing tests (KNOWN-RED.txt), not counted:"
  cat KNOWN-RED.txt
  ctest --test-dir "$build" -R "^($red)$" --timeout 300 || true
  ctest --test-dir "$build" --output-on-failure -j 4 -E "^($red)$"
else
  ctest --test-dir "$build" --output-on-failure -j 4
fi
