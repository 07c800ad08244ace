#!/usr/bin/env bash
# Runs clang-tidy over every translation unit of the build, or over the files named.
# A file whose text, headers and checks passed before is not read again (.cache/lint).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
export build
if (($# == 0)); then
    mapfile -t files < <(find src apps platform standins tests bench -name '*.cpp' ! -path 'src/rpc/*' | sort)
else
    files=("$@")
fi
mkdir -p .cache/lint
headers=$(find include src platform standins tests bench -name '*.hpp' -print0 | sort -z | xargs -0 cat .clang-tidy | sha256sum)
export headers
check() {
    local stamp
    stamp=.cache/lint/$( (echo "$headers"; cat "$1"; echo "$1") | sha256sum | cut -c1-40)
    [[ -e $stamp ]] && return 0
    clang-tidy-16 -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$1" 2>/dev/null && touch "$stamp" || { echo "lint: $1 failed"; return 1; }
}
export -f check
printf '%s\0' "${files[@]}" | xargs -0 -P "${JOBS:-$(nproc)}" -I{} bash -c 'check {}'
