#!/usr/bin/env bash
# Formats every source in place; with --check only says what differs, and fails then.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[[ ${1:-} == --check ]] && mode=(--dry-run --Werror)
find include src apps platform standins tests bench \( -name '*.cpp' -o -name '*.hpp' \) -print0 |
    xargs -0 -r clang-format-16 "${mode[@]}"
