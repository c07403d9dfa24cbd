#!/usr/bin/env bash
# Installs what is missing, builds with warnings as errors and runs all tests, the
# decision modules also under ThreadSanitizer and the socket modules under
# AddressSanitizer. Tests listed in KNOWN-RED.txt are run, printed and passed over.
# Closes with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh || exit 1
scripts/build.sh build || exit 1
MEDLAR_BUILD_TARGETS="decisions_test" scripts/build.sh build-tsan thread || exit 1
MEDLAR_BUILD_TARGETS="runtime_test entry_test" scripts/build.sh build-asan address,undefined || exit 1

work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# Runs one test program, and records the counts of its closing line.
run_tests()
{
    local title="$1" log
    shift
    log="$(mktemp -p "$work")"
    echo "== $title"
    "$@" >"$log" 2>&1
    local code=$?
    local line
    line="$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "$log" | tail -1)"
    # a soak is listed by its title; the tests of a suite by name, see test/runner
    if [ "$code" -ne 0 ] && [ -n "$line" ] && grep -qxF "test: $title" KNOWN-RED.txt; then
        cat "$log"
        echo "known red: $title: $line ($SECONDS s)"
        echo "$line" | awk '{print $1, 0}' >>"$work/counts"
        return
    fi
    if [ -z "$line" ]; then
        tail -40 "$log"
        echo "$title: ended with code $code and no closing line"
        echo "0 1" >>"$work/counts"
        return
    fi
    echo "$line" | awk '{print $1, $3}' >>"$work/counts"
    grep '^known red: ' "$log"
    if [ "$code" -ne 0 ]; then
        cat "$log"
        # a sanitizer reports after the last test, and only by the exit code
        if echo "$line" | grep -q ', 0 failed$'; then
            echo "$title: ended with code $code after its last test"
            echo "0 1" >>"$work/counts"
        fi
    fi
    echo "$title: $line ($SECONDS s)"
}

# Suites that share nothing run side by side. Those of the entry host mostly wait, so they
# run in parts.
entry_parts=4
lane_runtime()
{
    [ -x build-asan/runtime_test ] &&
        run_tests "runtime under AddressSanitizer" build-asan/runtime_test
    [ -x build/runtime_test ] && run_tests "runtime" build/runtime_test
    [ -x build/system_test ] && run_tests "system" build/system_test
}
lane_decisions()
{
    run_tests "decisions" build/decisions_test
    run_tests "model" build/model_test
    run_tests "decisions under ThreadSanitizer" build-tsan/decisions_test
}
SECONDS=0
for lane in lane_runtime lane_decisions; do
    "$lane" >"$work/$lane" 2>&1 &
done
for ((part = 0; part < entry_parts; ++part)); do
    run_tests "entry, part $part" build/entry_test part "$part" "$entry_parts" \
        >"$work/lane_entry_$part" 2>&1 &
    run_tests "entry under AddressSanitizer, part $part" \
        build-asan/entry_test part "$part" "$entry_parts" >"$work/lane_asan_$part" 2>&1 &
done
wait
cat "$work"/lane_*

# These look at memory and descriptors, or use many processes: one at a time.
run_tests "overload" build/overload_test
run_tests "soak" build/medlar-soak --failed_seeds=test/soak/failed_seeds.txt --seeds=3 \
    --fault_ms=4000 --nocheck_times --crash_targets --crash_under_request
run_tests "soak of ending targets" build/medlar-soak --end_targets --noother_faults \
    --failed_seeds=test/soak/failed_ending_seeds.txt --seeds=0 --callers=24 \
    --fault_ms=5000 --nocheck_times
run_tests "soak of ending targets among other faults" build/medlar-soak --end_targets \
    --first_seed=722 --seeds=2 --callers=16 --fault_ms=5000 --nocheck_times
run_tests "soak of cold targets" build/medlar-soak --cold_targets --first_seed=100 \
    --seeds=2 --fault_ms=5000 --nocheck_times

passed="$(awk '{sum += $1} END {print sum + 0}' "$work/counts")"
failed="$(awk '{sum += $2} END {print sum + 0}' "$work/counts")"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
