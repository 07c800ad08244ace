#!/usr/bin/env bash
# Starts a stand-in of the users' platform and two gateways on loopback; runs a turn and an action through the first and
# the next turn through the second; shows what the engine was asked; stops what it started. Needs a build.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
run=$(mktemp -d)
pids=()
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
}
trap stop EXIT

settings() {
    cat <<EOF
node = "$1"
failure_domain = "here"
[listen]
callers = "127.0.0.1:$2"
readiness = "127.0.0.1:$(($2 + 1))"
peers = "127.0.0.1:$(($2 + 2))"
metrics = "127.0.0.1:$(($2 + 3))"
[store]
address = "127.0.0.1:7700"
row_bytes = 65536
[limits]
memory_mb = 128
cores = 1
stop_grace_s = 8
EOF
}

call() {
    curl -sS -H 'Host: demo.example' -H "Masticcourse-Request-Id: $3" -H 'Masticcourse-Program-Id: plan' \
        -H 'Masticcourse-Token-Budget: 1000' -H 'Masticcourse-Token-Usage: 10,100' "${@:5}" \
        -d "$4" "http://127.0.0.1:$1$2"
}

"$build/users-platform" 127.0.0.1:7700 >"$run/platform.log" &
pids+=($!)
for port in 7710 7720; do
    settings "gateway-$port" "$port" >"$run/$port.toml"
    "$build/masticcourse-gateway" "$run/$port.toml" >"$run/$port.log" &
    pids+=($!)
done
for port in 7711 7721; do
    until curl -sf -o /dev/null "http://127.0.0.1:$port/readyz"; do sleep 0.1; done
done
echo "== a turn, streamed by the first gateway"
call 7710 /turn/1 turn-1 "Plan the clearance of km 12 to 15. "
echo "== an action that must not run twice"
call 7710 /order/1 order-1 "fell two pines at km 13"
echo
echo "== the next turn, by the second gateway"
call 7720 /turn/1 turn-2 "And the night shift? " -H 'Masticcourse-Previous-Turn: turn-1'
echo "== what the gateways logged of them"
sleep 0.2 # the log is written every 50 ms
grep -h "request_answered" "$run"/77*.log | cut -c1-160
stop
trap - EXIT
echo "== what the targets were asked"
cat "$run/platform.log"
echo "gateway demo finished"
