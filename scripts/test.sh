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

passed=0
failed=0
log="$(mktemp)"
trap 'rm -f "$log"' EXIT

# Runs one test program and adds the counts of its closing line.
run_tests()
{
    local title="$1"
    shift
    echo "== $title"
    "$@" >"$log" 2>&1
    local code=$?
    local line
    line="$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "$log" | tail -1)"
    if [ -z "$line" ]; then
        tail -40 "$log"
        echo "$title: ended with code $code and no closing line"
        failed=$((failed + 1))
        return
    fi
    passed=$((passed + $(echo "$line" | cut -d' ' -f1)))
    failed=$((failed + $(echo "$line" | cut -d' ' -f3)))
    if [ "$code" -ne 0 ]; then
        cat "$log"
        # a sanitizer reports after the last test, and only by the exit code
        if echo "$line" | grep -q ', 0 failed$'; then
            echo "$title: ended with code $code after its last test"
            failed=$((failed + 1))
        fi
    fi
    echo "$title: $line"
}

run_tests "decisions" build/decisions_test
run_tests "model" build/model_test
run_tests "decisions under ThreadSanitizer" build-tsan/decisions_test
run_tests "entry" build/entry_test
run_tests "entry under AddressSanitizer" build-asan/entry_test
[ -x build/runtime_test ] && run_tests "runtime" build/runtime_test
[ -x build-asan/runtime_test ] &&
    run_tests "runtime under AddressSanitizer" build-asan/runtime_test
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
[ -x build/system_test ] && run_tests "system" build/system_test

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
