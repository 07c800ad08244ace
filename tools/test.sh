#!/usr/bin/env bash
# Installs, builds with warnings as errors, checks format and lint, runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
tools/build.sh
tools/format.sh --check
tools/lint.sh
tools/run_tests.sh
# The whole path on the users' platform, over real processes.
tools/gateway_demo.sh | tail -1
