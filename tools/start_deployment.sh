#!/usr/bin/env bash
# Starts one deployment on loopback: the platform's stand-ins, a stand-in backend beside each target, the daemons.
# Usage: tools/start_deployment.sh SETTINGS RUN_DIR. Writes process ids to RUN_DIR/pids and logs to RUN_DIR/*.log.
set -euo pipefail
cd "$(dirname "$0")/.."
settings=$1
run=$2
build=${BUILD_DIR:-build}
mkdir -p "$run"
: >"$run/pids"

start() {
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    echo "$! $name" >>"$run/pids"
}

# name, kind of service, backend address, max_running and cache_capacity of each target; names of the entries.
plan=$(tools/read_plan.py "$settings")
store=$(awk '$1 == "store" {print $2}' <<<"$plan")
vms=$(awk '$1 == "vms" {print $2}' <<<"$plan")
start platform-store "$build/platform-store" --listen "$store"
start vm-list "$build/vm-list" --listen "$vms"
while read -r _ name kind backend max_running cache fencing; do
    if [[ $kind == model ]]; then
        fence=()
        [[ $fencing == true ]] && fence=(--check-fencing)
        start "backend-$name" "$build/model-engine" --listen "$backend" --max-running "$max_running" \
            --cache-capacity "$cache" "${fence[@]}"
    else
        start "backend-$name" "$build/plain-service" --listen "$backend"
    fi
done < <(awk '$1 == "target"' <<<"$plan")
tools/wait_for.sh "http://$store/stats" "http://$vms/vms"
curl -sS -X PUT --data-binary @<(awk '$1 == "list" {sub(/^list /, ""); print}' <<<"$plan") "http://$vms/vms" >/dev/null
while read -r _ name _; do
    start "$name" "$build/masticcourse-target" --settings "$settings" --name "$name"
done < <(awk '$1 == "target"' <<<"$plan")
ready=()
while read -r _ name http; do
    start "$name" "$build/masticcourse-entry" --settings "$settings" --name "$name"
    ready+=("http://$http/readyz")
done < <(awk '$1 == "entry"' <<<"$plan")
tools/wait_for.sh "${ready[@]}"
# A process that could not bind its address has ended by now, and another one answers in its place.
while read -r pid name; do
    kill -0 "$pid" 2>/dev/null || { echo "$name ended: $(tail -1 "$run/$name.log")" >&2; exit 1; }
done <"$run/pids"
