#!/usr/bin/env bash
# Starts one deployment and measures what the path adds to a model call (bench/path_cost.py).
set -euo pipefail
cd "$(dirname "$0")/.."
run=$(mktemp -d)
trap 'tools/stop_deployment.sh "$run"' EXIT
tools/start_deployment.sh deploy/urad.toml "$run"
python3 bench/path_cost.py 127.0.0.1:22210 127.0.0.1:22001 demo-urad-claimants navrhy-model "${1:-100}"
