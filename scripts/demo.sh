#!/usr/bin/env bash
# Starts control hosts, entry hosts and stand-in backend servers, sends requests, prints a summary.
set -euo pipefail
cd "$(dirname "$0")/.."
python="${VENV:-.venv}/bin/python"
work="$(mktemp -d)"
pids=()
entry_pids=()
# Entry daemons deliver their last bills before they exit, so the control hosts stop after them.
stop_all() {
    for pid in "${entry_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${entry_pids[@]}"; do
        for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
        kill -KILL "$pid" 2>/dev/null && echo "demo: entry process $pid did not stop" >&2 || true
    done
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT
"$python" scripts/demo_settings.py "$work"
. "$work/environment"
start() {
    local name="$1"
    shift
    "$python" -m baobabstream.cli.app "$@" >"$work/$name.log" 2>&1 &
    pids+=("$!")
}
announce=(--control-url "$URL_1" --control-url "$URL_2" --control-url "$URL_3")
for name in control-1 control-2 control-3; do start "$name" control --settings "$work/$name.toml"; done
for name in entry-1 entry-2; do
    start "$name" entry --settings "$work/$name.toml"
    entry_pids+=("$!")
done
start rating emulate rating --port "$((BASE_PORT + 50))"
index=0
for load in small@1 small@1 small@2 large@1; do
    index=$((index + 1))
    start "engine-$index" emulate engine --identity "engine-$index" --load "$load" \
        --port "$((BASE_PORT + 30 + index))" --availability-zone "zone-$((index % 3 + 1))" \
        --timeline-file "$work/timeline/engine-$index.jsonl" "${announce[@]}"
done
for index in 1 2; do
    start "waivers-$index" emulate service --identity "waivers-$index" --service waivers \
        --port "$((BASE_PORT + 40 + index))" --availability-zone "zone-$index" \
        --timeline-file "$work/timeline/waivers-$index.jsonl" "${announce[@]}"
done
"$python" scripts/demo_client.py "$work"
