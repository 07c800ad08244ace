#!/usr/bin/env bash
# Installs, builds, starts both deployments' stand-ins and daemons on loopback one after the other, runs a foreman's
# plan and a claimant's draft end to end, prints the replies and where the time line is, and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
tools/build.sh | tail -1

demo() {
    local settings=$1 token=$2 model=$3 tool=$4 opening=$5 action=$6
    local run entries first second reply program
    run=$(mktemp -d)
    # shellcheck disable=SC2064 # the folder is this call's, whenever the trap runs
    trap "tools/stop_deployment.sh '$run'" EXIT
    tools/start_deployment.sh "$settings" "$run"
    mapfile -t entries < <(tools/read_plan.py "$settings" | awk '$1 == "entry" {print $3}')
    first=${entries[0]} second=${entries[1]}
    local auth=(-H "Authorization: Bearer $token")
    echo "== $settings: a program at $first"
    reply=$(curl -sS "${auth[@]}" -d '{"budget": 20000}' "http://$first/v1/programs")
    echo "$reply"
    program=$(python3 -c 'import json, sys; print(json.load(sys.stdin)["program"])' <<<"$reply")
    echo "== a model call, streamed"
    curl -sS "${auth[@]}" -H 'Idempotency-Key: turn-1' -H 'Accept: text/event-stream' \
        -d "{\"service\": \"$model\", \"input\": \"$opening\", \"max_tokens\": 12, \"after\": 0}" \
        "http://$first/v1/programs/$program/calls"
    echo "== an action that must not run twice, sent to another entry, twice with one key"
    for _ in 1 2; do
        curl -sS "${auth[@]}" -H 'Idempotency-Key: turn-2' \
            -d "{\"service\": \"$tool\", \"input\": \"$action\", \"idempotent\": false, \"after\": 1}" \
            "http://$second/v1/programs/$program/calls"
        echo
    done
    echo "== the last model call, and the history, by another entry"
    curl -sS "${auth[@]}" -H 'Idempotency-Key: turn-3' \
        -d "{\"service\": \"$model\", \"input\": \"close\", \"max_tokens\": 6, \"after\": 2}" \
        "http://$second/v1/programs/$program/calls"
    echo
    curl -sS "${auth[@]}" "http://$second/v1/programs/$program/history"
    echo
    echo "== the end"
    curl -sS -X DELETE "${auth[@]}" "http://$first/v1/programs/$program"
    echo
    "${BUILD_DIR:-build}/masticcourse" timeline --settings "$settings" --out "$run/timeline" >/dev/null
    echo "time line (Chrome trace and listing): $run/timeline*, logs: $run/*.log"
    tools/stop_deployment.sh "$run"
    trap - EXIT
}

demo deploy/atlas-voie-verte.toml demo-atlas-voie-verte-planning agent-llm field-app \
    "Plan the clearance of km 12 to 15 before the possession window" "work order: fell two pines at km 13"
demo deploy/urad.toml demo-urad-claimants navrhy-model podatelna \
    "Draft a claim for unpaid notice" "file the claim"
echo "demo finished"
