#!/usr/bin/env bash
# Measures what control costs each process while nothing changes: three hosts, the store and
# the host list on loopback, examples/demo.json in force, no requests. One line a process.
# Usage: scripts/bench_control.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

seconds="${1:-30}"
hosts=3
ticks="$(getconf CLK_TCK)"
work="$(mktemp -d)"
pids=()
names=()

stop_all()
{
    kill "${pids[@]}" 2>/dev/null || true
    wait
    rm -rf "$work"
}
trap stop_all EXIT

# Starts a program in the background under a name.
start()
{
    local name="$1"
    shift
    "$@" >"$work/$name.out" 2>/dev/null &
    pids+=("$!")
    names+=("$name")
}

# Prints the address after a word of a program's output, when it is there.
address_of()
{
    until grep -qo "$2 [0-9.:]*" "$work/$1.out"; do
        sleep 0.05
    done
    grep -o "$2 [0-9.:]*" "$work/$1.out" | head -1 | cut -d' ' -f2
}

# Prints the processor time of a process in clock ticks.
ticks_of()
{
    awk '{print $14 + $15}' "/proc/$1/stat"
}

# Prints the sum of one metric of a gateway.
metric_of()
{
    curl -s "http://$1/metrics" | awk -v name="$2" 'index($1, name) == 1 {sum += $2} END {print sum + 0}'
}

start store build/kv-store --listen=127.0.0.1:0
store="$(address_of store listening)"
calls="$(address_of store control)"
start host-list build/host-list --listen=127.0.0.1:0
host_list="$(address_of host-list listening)"
callers=()
for i in $(seq "$hosts"); do
    start "gateway-$i" build/medlar-gateway --host_id="h$i" --failure_domain="d$i" \
        --poll_interval_ms=0
    link="$(address_of "gateway-$i" link)"
    callers+=("$(address_of "gateway-$i" listening)")
    start "controller-$i" build/medlar-controller --host_id="h$i" --failure_domain="d$i" \
        --gateway="$link" --store="$store" --host_list="$host_list"
    start "operator-$i" build/medlar-operator --store="$store" --gateway="$link"
done
operator="$(address_of operator-1 listening)"
build/medlarctl --operator="$operator" --author=bench apply examples/demo.json >/dev/null
for caller in "${callers[@]}"; do
    until curl -sf "http://$caller/readyz" >/dev/null; do
        sleep 0.1
    done
done
sleep 8

before=()
for pid in "${pids[@]}"; do
    before+=("$(ticks_of "$pid")")
done
bytes_before="$(metric_of "${callers[0]}" medlar_control_bytes_total)"
curl -s "http://$calls/test/calls" >"$work/calls.before"
sleep "$seconds"
bytes_after="$(metric_of "${callers[0]}" medlar_control_bytes_total)"
curl -s "http://$calls/test/calls" >"$work/calls.after"

for i in "${!pids[@]}"; do
    spent=$(($(ticks_of "${pids[$i]}") - before[i]))
    rss="$(awk '/^VmRSS/ {print $2}' "/proc/${pids[$i]}/status")"
    echo "process name=${names[$i]} cpu_percent=$(awk -v t="$spent" -v k="$ticks" \
        -v s="$seconds" 'BEGIN {printf "%.3f", 100 * t / k / s}') rss_kb=$rss"
done
echo "links hosts=$hosts client_bytes_per_second=$(((bytes_after - bytes_before) / seconds))"
echo "store seconds=$seconds before=$(cat "$work/calls.before") after=$(cat "$work/calls.after")"
