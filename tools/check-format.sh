#!/usr/bin/env bash
# Checks the format of all C++ files with clang-format; --fix formats them in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run -Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs -P "$(nproc)" -n 8 clang-format "${mode[@]}"
