#!/usr/bin/env bash
# Measures what a gateway adds to direct calls of the same targets, at 1, 32 and 256 streams,
# in one run. A part of scripts/bench.sh.
set -euo pipefail
cd "$(dirname "$0")/.."

MEDLAR_BUILD_TARGETS="medlar-gateway engine plain-service path-bench" scripts/build.sh build
work="$(mktemp -d)"
pids=()
stop_all()
{
    kill "${pids[@]}" 2>/dev/null || true
    wait
    rm -rf "$work"
}
trap stop_all EXIT

# Starts a program and waits for the address that it prints.
start()
{
    local name="$1"
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=("$!")
    until grep -q listening "$work/$name.out"; do sleep 0.05; done
    address="$(awk '{ print $2 }' "$work/$name.out")"
}

start engine build/engine --slots=512 --token_us=1000 --batch_slowdown=0
engine="$address"
start plain build/plain-service --slots=512 --fixed_us=1000 --per_byte_us=0
plain="$address"
cat >"$work/configuration.json" <<CONFIGURATION
{"pools": [
  {"name": "engines", "model": "m", "targets": [{"name": "engine-1", "address": "127.0.0.1",
    "port": ${engine##*:}, "failure_domain": "a"}]},
  {"name": "plain", "targets": [{"name": "plain-1", "address": "127.0.0.1",
    "port": ${plain##*:}, "failure_domain": "a"}]}],
 "pipelines": [{"name": "path", "admission": "none", "stages": [
  {"name": "encode", "kind": "encode", "pool": "plain"},
  {"name": "retrieve", "kind": "retrieve", "pool": "plain", "after": ["encode"]},
  {"name": "generate", "kind": "generate", "pool": "engines", "after": ["retrieve"],
   "max_tokens": 16}]}],
 "organisations": [{"name": "bench"}]}
CONFIGURATION
for streams in 1 32 256; do
    start gateway build/medlar-gateway --host_id=bench --drain_wait_ms=0 \
        --config_file="$work/configuration.json"
    build/path-bench --streams="$streams" --gateway="$address" --engine="$engine" \
        --plain="$plain" --gateway_pid="${pids[-1]}"
    kill "${pids[-1]}"
    wait "${pids[-1]}" || true
    unset 'pids[-1]'
    rm "$work/gateway.out"
done
