#!/usr/bin/env bash
# Stops what tools/start_deployment.sh started, by process id. Usage: tools/stop_deployment.sh RUN_DIR
set -euo pipefail
run=$1
mapfile -t pids < <(awk '{print $1}' "$run/pids")
kill -TERM "${pids[@]}" 2>/dev/null || true
for _ in $(seq 100); do
    alive=0
    for pid in "${pids[@]}"; do
        kill -0 "$pid" 2>/dev/null && alive=1
    done
    ((alive)) || exit 0
    sleep 0.1
done
kill -KILL "${pids[@]}" 2>/dev/null || true
