#!/usr/bin/env bash
# Runs every test of the build by ctest. Tests listed in KNOWN-RED.txt are run, printed, and don't fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
red=$(grep -v '^#' KNOWN-RED.txt 2>/dev/null | cut -d, -f1 | paste -sd'|' || true)
if [[ -n $red ]]; then
    echo "known red (KNOWN-RED.txt):"
    grep -v '^#' KNOWN-RED.txt
    ctest --test-dir "$build" -R "^($red)\$" --output-on-failure || echo "known red: still failing, as listed"
    ctest --test-dir "$build" -j "${JOBS:-6}" -E "^($red)\$" --output-on-failure
else
    ctest --test-dir "$build" -j "${JOBS:-6}" --output-on-failure
fi
