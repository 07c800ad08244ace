#!/usr/bin/env bash
# Stops what tools/start_deployment.sh started, by process id: entries first, so that they can hand over, then target
# processes, then what stands in for the platform. Usage: tools/stop_deployment.sh RUN_DIR
set -euo pipefail
run=$1

stop() {
    local pids=("$@") alive
    ((${#pids[@]} > 0)) || return 0
    kill -TERM "${pids[@]}" 2>/dev/null || true
    for _ in $(seq 100); do
        alive=0
        for pid in "${pids[@]}"; do
            kill -0 "$pid" 2>/dev/null && alive=1
        done
        ((alive)) || return 0
        sleep 0.1
    done
    kill -KILL "${pids[@]}" 2>/dev/null || true
}

mapfile -t platform < <(awk '$2 ~ /^(platform-store|vm-list|backend-)/ {print $1}' "$run/pids")
mapfile -t entries < <(awk '$2 ~ /^entry/ {print $1}' "$run/pids")
mapfile -t targets < <(awk '$2 !~ /^(platform-store|vm-list|backend-|entry)/ {print $1}' "$run/pids")
stop "${entries[@]}"
stop "${targets[@]}"
stop "${platform[@]}"
