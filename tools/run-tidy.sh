#!/usr/bin/env bash
# Runs clang-tidy on the given C++ sources, or on all. Usage: tools/run-tidy.sh [FILE...]
# A file that passed is not checked again until the file, a header, .clang-tidy or this script changes;
# the results are cached in build/tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
mkdir -p "$build/tidy"
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp'); fi
# All headers are part of each cache key, so a changed header causes all files to be checked again.
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy tools/run-tidy.sh | xargs cat | sha256sum | cut -c1-16)
check() {
  local file=$1 stamp
  stamp=$build/tidy/$(printf '%s' "$file" | tr / _)-$headers-$(sha256sum < "$file" | cut -c1-16)
  [ -e "$stamp" ] && return 0
  # clang 14 parses the coroutines of libstdc++ 12 only with these definitions.
  local out
  if ! out=$(clang-tidy --quiet -p "$build" "$file" --extra-arg=-fcoroutines-ts \
      --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
      --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 --extra-arg=-Wno-deprecated-experimental-coroutine \
      --extra-arg=-Wno-unknown-warning-option 2>&1); then
    printf '%s\n' "$out" | grep -vE '^[0-9]+ warnings? |^Suppressed|^Use -header' >&2
    return 1
  fi
  touch "$stamp"
}
export -f check
export build headers
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check {}'
