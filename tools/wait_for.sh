#!/usr/bin/env bash
# Waits until every URL answers with a status below 400, a minute at most each.
set -euo pipefail
for url in "$@"; do
    for attempt in $(seq 600); do
        curl -sf -o /dev/null --max-time 2 "$url" && break
        [[ $attempt == 600 ]] && { echo "no answer: $url" >&2; exit 1; }
        sleep 0.1
    done
done
