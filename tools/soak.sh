#!/usr/bin/env bash
# Long randomised run in virtual time: tools/soak.sh SEED SECONDS. Fails with the seeds that show a violation.
set -euo pipefail
cd "$(dirname "$0")/.."
exec "${BUILD_DIR:-build}/soak" --seed "${1:?first seed}" --seconds "${2:?seconds}"
