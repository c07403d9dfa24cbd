#!/usr/bin/env bash
# Installs what is missing, builds, starts the stand-ins and three entry hosts' processes on
# loopback ports, applies examples/demo.json, sends several hundred requests of each user and
# stops everything. Closes with "demo: N sent, N answered, N refused, N lost, N doubled" and
# fails if anything was lost or doubled.
# Usage: scripts/demo.sh [REQUESTS_OF_EACH_USER]
set -euo pipefail
cd "$(dirname "$0")/.."

requests="${1:-300}"
hosts=3
store=127.0.0.1:7500
work="$(mktemp -d)"
pids=()

stop_all()
{
    # gateways first, so that they finish and hand over while the rest still runs
    local pid
    for pid in "${gateway_pids[@]:-}" "${pids[@]:-}"; do
        [ -n "$pid" ] && kill "$pid" 2>/dev/null || true
    done
    wait
    rm -rf "$work"
}
gateway_pids=()
trap stop_all EXIT

# Starts a program in the background; its output goes to a file of the given name.
start()
{
    local name="$1"
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=("$!")
}

# Waits until a command succeeds, at most 60 s.
wait_for()
{
    local what="$1"
    shift
    for _ in $(seq 600); do
        if "$@" >/dev/null 2>&1; then
            return
        fi
        sleep 0.1
    done
    echo "demo: $what did not come about" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}

# Prints the ports of the targets of one kind: engines have a model, others have none.
ports_of()
{
    python3 - "$1" <<'PYTHON'
import json, sys
pools = json.load(open("examples/demo.json"))["pools"]
for pool in pools:
    if (sys.argv[1] == "engine") == bool(pool.get("model")):
        for target in pool["targets"]:
            print(target["port"])
PYTHON
}

all_ready()
{
    local i
    for i in $(seq "$hosts"); do
        curl -sf -m 2 "http://127.0.0.1:$((7300 + i))/readyz" >/dev/null || return 1
    done
}

# Every host has adopted one view and holds its lease.
all_leased()
{
    build/medlarctl --operator="$operators" --output=json status |
        python3 -c 'import sys; text = sys.stdin.read()
sys.exit(0 if text.replace(" ", "").count("\"lease_valid\":true") == int(sys.argv[1]) else 1)' \
            "$hosts"
}

scripts/install_packages.sh
MEDLAR_BUILD_TARGETS="medlar-gateway medlar-controller medlar-operator medlarctl \
medlar-replay engine plain-service kv-store" scripts/build.sh build

echo "starting the stand-ins"
targets=()
start kv-store build/kv-store --listen="$store"
for port in $(ports_of engine); do
    start "engine-$port" build/engine --listen="127.0.0.1:$port" --token_us=1000
    targets+=("127.0.0.1:$port")
done
for port in $(ports_of plain); do
    start "plain-$port" build/plain-service --listen="127.0.0.1:$port" --per_byte_us=0.1
    targets+=("127.0.0.1:$port")
done

echo "starting $hosts entry hosts"
gateways=()
operators=""
for i in $(seq "$hosts"); do
    link="127.0.0.1:$((7400 + i))"
    start "gateway-$i" build/medlar-gateway --host_id="host-$i" --failure_domain="domain-$i" \
        --listen="127.0.0.1:$((7300 + i))" --link="$link" --gateways="$hosts" \
        --drain_wait_ms=200
    gateway_pids+=("$!")
    start "controller-$i" build/medlar-controller --host_id="host-$i" \
        --failure_domain="domain-$i" --gateway="$link" --store="$store"
    start "operator-$i" build/medlar-operator --listen="127.0.0.1:$((7600 + i))" \
        --store="$store" --gateway="$link"
    gateways+=("127.0.0.1:$((7300 + i))")
    operators+="${operators:+,}127.0.0.1:$((7600 + i))"
done

wait_for "the configuration" \
    build/medlarctl --operator="$operators" --author=demo apply examples/demo.json
wait_for "readiness of every gateway" all_ready
wait_for "a lease of every gateway" all_leased

echo "sending $requests requests of each user"
IFS=, eval 'gateway_list="${gateways[*]}"; target_list="${targets[*]}"'
replays=()
for user in patrimonia archive; do
    scripts/write_demo_trace.py "$user" "$requests" >"$work/$user.jsonl"
    build/medlar-replay --trace="$work/$user.jsonl" --gateways="$gateway_list" \
        --executions="$target_list" >"$work/replay-$user.out" 2>"$work/replay-$user.log" &
    replays+=("$!")
done
replayed=0
for pid in "${replays[@]}"; do
    wait "$pid" || replayed=1
done
cat "$work"/replay-*.out
build/medlarctl --operator="$operators" status || true

# The closing line adds those of both replays.
closing="$(cat "$work"/replay-*.out |
    sed -n 's/^replay: \([0-9]*\) sent, \([0-9]*\) answered, \([0-9]*\) refused, \([0-9]*\) lost, \([0-9]*\) doubled$/\1 \2 \3 \4 \5/p' |
    awk '{ for (i = 1; i <= 5; ++i) sum[i] += $i }
         END { print sum[1] + 0, sum[2] + 0, sum[3] + 0, sum[4] + 0, sum[5] + 0 }')"
read -r sent answered refused lost doubled <<<"$closing"

echo "stopping"
trap - EXIT
stop_all
echo "demo: $sent sent, $answered answered, $refused refused, $lost lost, $doubled doubled"
[ "$replayed" -eq 0 ] && [ "$sent" -eq $((2 * requests)) ] && [ "$lost" -eq 0 ] &&
    [ "$doubled" -eq 0 ]
