#!/usr/bin/env bash
# Configures and builds everything, warnings as errors. BUILD_DIR and JOBS may be set.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
# One compiler cache serves every checkout on the machine.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-$(nproc)}"
